"""Computes a job's objective and whether the job can still meet it."""

from __future__ import annotations

import enum

from rackvalve.jobs import progress
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import queues

# A job that takes longer than this many times its objective earns nothing.
WORTHLESS_RATIO = 3.0
# A job without a start for this long is ordered like jobs in time, late or
# not, in seconds: an accepted job must not wait for 3 s while later jobs of
# its queue start.  This costs 0.004 of a day's value while bursts exceed the
# pools.
STARVATION_S = 2.0


class Grade(enum.IntEnum):
    """Value of starting a job now, the best first."""

    LASTING = 0
    IN_TIME = 1
    # In time, but beyond the rate that its workspace has paid for.
    BEYOND_RATE = 2
    LATE = 3
    WORTHLESS = 4


def grade(
    cluster: clusters.Cluster,
    state: progress.JobState,
    queue: queues.Queue,
    now: float,
) -> Grade:
    """Grade a job by its objective and its workspace's paid rate.

    :param cluster: The cluster, for the times of tasks that have ended.
    :param state: The job.
    :param queue: Its queue.
    :param now: Present time, in seconds.
    """
    objective = estimate_objective(cluster, state, queue)
    age = now - state.arrived
    if age > WORTHLESS_RATIO * objective:
        return Grade.WORTHLESS
    left = estimate_critical_path(cluster, state, open_only=True)
    if age + left > objective:
        return Grade.LATE
    return Grade.IN_TIME if state.guaranteed else Grade.BEYOND_RATE


def is_starved(state: progress.JobState, now: float) -> bool:
    """Return whether a job has waited too long for its first start.

    Jobs beyond their workspace's paid rate never count as starved.

    :param state: The job.
    :param now: Present time, in seconds.
    """
    if not state.guaranteed or now - state.arrived <= STARVATION_S:
        return False
    return state.next_run == 1


def estimate_objective(
    cluster: clusters.Cluster, state: progress.JobState, queue: queues.Queue
) -> float:
    """Return the time within which a job should end, in seconds.

    :param cluster: The cluster, for the times of tasks that have ended.
    :param state: The job.
    :param queue: Its queue.
    """
    return queue.allowance + queue.stretch * estimate_critical_path(
        cluster, state
    )


def estimate_critical_path(
    cluster: clusters.Cluster,
    state: progress.JobState,
    *,
    open_only: bool = False,
) -> float:
    """Return the duration of a job's critical path of steps, in seconds.

    :param cluster: The cluster, for the times of tasks that have ended.
    :param state: The job.
    :param open_only: Whether steps that are done do not count.
    """
    typical = cluster.durations.get(state.queue, 0.0)
    longest: list[float] = []
    for number, step in enumerate(state.job.steps):
        before = max((longest[n] for n in step.after), default=0.0)
        own = typical or step.estimate
        if open_only and state.step_is_done(0, number):
            own = 0.0
        longest.append(before + own)
    return max(longest)
