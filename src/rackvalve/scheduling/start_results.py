"""Applies the results of orders to start runs to the owner's view."""

from __future__ import annotations

from rackvalve.jobs import progress
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import job_starts
from rackvalve.scheduling import messages
from rackvalve.scheduling import workers

# Backoff of a worker after it rejected a start, in seconds: its free room
# agrees with the owner's count again once runs being stopped have ended.
REJECTION_BACKOFFS_S = {
    messages.StartResult.NO_ROOM: 0.3,
    messages.StartResult.UNWELL: 2.0,
    messages.StartResult.NOT_SENT: 0.5,
    messages.StartResult.MALFORMED: 2.0,
}
# Delay before a task whose start was rejected is placed again, in seconds.
REJECTED_RETRY_DELAY_S = 0.02


def apply_start_result(
    cluster: clusters.Cluster,
    placed: workers.PlacedRun,
    result: messages.StartResult,
    *,
    uncertain: bool,
    now: float,
) -> None:
    """Apply the result of an order to start a run.

    :param cluster: The owner's view of the cluster.
    :param placed: The run.
    :param result: Result of the last attempt.
    :param uncertain: Whether an earlier attempt of the order may still be
        carried out.
    :param now: Present time, in seconds.
    """
    run = placed.run
    if placed.task.runs.get(run.number) is not run:
        return
    if result is messages.StartResult.STARTED:
        run.confirmed_at = run.percent_since = now
        if run.stage is progress.Stage.ORDERED:
            run.stage = progress.Stage.CONFIRMED
        if job_starts.note_run_seen(placed):
            cluster.note_begun(placed.state)
        return
    if result is messages.StartResult.OUTDATED:
        # The next report lists its end, or does not list the run at all.
        run.confirmed_at = now
        return
    worker = cluster.workers.get(run.worker)
    if worker is not None:
        pause = REJECTION_BACKOFFS_S.get(result, 0.0)
        worker.backoff_until = max(worker.backoff_until, now + pause)
    placed.task.avoid |= {run.worker}
    if uncertain:
        cluster.stop(placed.state, placed.task, run, result.value)
        return
    cluster.release(placed, now, delay=REJECTED_RETRY_DELAY_S)
