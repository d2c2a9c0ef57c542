"""Evicts runs from workers within each step's availability budget.

While as many tasks of a lasting step are unavailable, for whatever cause, as
the step allows, no order stops another task that is ready.
"""

from __future__ import annotations

from rackvalve.jobs import progress
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import workers

READY_PERCENT = 100
# A worker without an answer for longer than this counts as away, in seconds;
# holds are answered after half a second at the latest.
SILENCE_S = 1.0
# A run that will end within this time is not stopped, however long it has run,
# in seconds: a restart elsewhere takes longer than waiting for its end.
MAX_REST_S = 3.0


def is_ready(
    cluster: clusters.Cluster, task: progress.Task, now: float
) -> bool:
    """Return whether a lasting task is ready, as far as known.

    A task on a silent worker counts as away, and so does a task that an
    earlier owner may just have ordered to stop.

    :param cluster: The owner's view of the cluster.
    :param task: The task.
    :param now: Present time, in seconds.
    """
    for run in task.runs.values():
        worker = cluster.workers.get(run.worker)
        if (
            worker is not None
            and now - worker.last_alive_at <= SILENCE_S
            and now >= worker.inherited_stops_end
            and run.stage is progress.Stage.CONFIRMED
            and run.percent >= READY_PERCENT
            and not run.stop_wanted
            and not worker.is_suspected
        ):
            return True
    return False


def may_evict(
    cluster: clusters.Cluster, placed: workers.PlacedRun, now: float
) -> bool:
    """Return whether a lasting task may be stopped and started elsewhere.

    :param cluster: The owner's view of the cluster.
    :param placed: The run.
    :param now: Present time, in seconds.
    """
    worker = cluster.workers.get(placed.run.worker)
    if worker is None or now < worker.inherited_stops_end:
        return False
    # The task may have become ready since its worker's last report, so its own
    # state does not matter.
    away = count_away(cluster, placed.state, placed.task, now)
    # A step without a limit is still moved one task at a time.
    return away < max(1, placed.step.most_away)


def count_away(
    cluster: clusters.Cluster,
    state: progress.JobState,
    task: progress.Task,
    now: float,
) -> int:
    """Count the other tasks of a lasting step that are not ready.

    :param cluster: The owner's view of the cluster.
    :param state: The job.
    :param task: The task that is left out.
    :param now: Present time, in seconds.
    """
    name = task.name
    return sum(
        1
        for other in state.tasks.values()
        if other.name.step == name.step
        and other.name.repetition == name.repetition
        and other is not task
        and not is_ready(cluster, other, now)
    )


def estimate_rest(run: progress.Run, now: float) -> float:
    """Estimate the remaining time of a run from its progress, in seconds.

    :param run: The run.
    :param now: Present time, in seconds.
    :return: Infinity while no progress is known.
    """
    if run.confirmed_at is None or run.percent <= 0:
        return float("inf")
    worked = now - run.confirmed_at
    return worked * (100 - run.percent) / run.percent


def vacate(
    cluster: clusters.Cluster,
    worker: workers.WorkerState,
    grace: float,
    now: float,
) -> bool:
    """Stop the runs that have to leave a closed worker.

    :param cluster: The owner's view of the cluster.
    :param worker: The worker.
    :param grace: Grace period for tasks that are not lasting, in seconds from
        their start.
    :param now: Present time, in seconds.
    :return: Whether no run is left on the worker.
    """
    for placed in list(worker.runs.values()):
        run = placed.run
        if run.stop_wanted:
            continue
        if placed.step.lasting:
            leave = may_evict(cluster, placed, now)
        else:
            leave = (
                now - run.since > grace
                and estimate_rest(run, now) > MAX_REST_S
            )
        if leave:
            cluster.stop(placed.state, placed.task, run, "its VM is to leave")
    return not worker.runs
