"""Ends jobs whose tasks have failed as often as their queue allows."""

from __future__ import annotations

from rackvalve.jobs import progress
from rackvalve.scheduling import cluster as clusters


def is_exhausted(
    cluster: clusters.Cluster, state: progress.JobState, task: progress.Task
) -> bool:
    """Return whether a task has used all its attempts.

    :param cluster: The owner's view of the cluster.
    :param state: The task's job.
    :param task: The task.
    :return: ``False`` also where the job's queue is not known.
    """
    queue = cluster.queues.get(state.queue)
    limit = queue.attempts if queue is not None else 0
    if not limit or task.done or state.step_of(task.name).lasting:
        return False
    return task.failures >= limit


def fail_if_exhausted(
    cluster: clusters.Cluster,
    state: progress.JobState,
    task: progress.Task,
    wall: float,
) -> None:
    """Fail a job one of whose tasks has used all its attempts.

    :param cluster: The owner's view of the cluster.
    :param state: The job.
    :param task: The task.
    :param wall: Present time, seconds since 1970.
    """
    if not state.is_final and is_exhausted(cluster, state, task):
        cluster.finish_job(
            state,
            progress.Phase.FAILED,
            wall,
            f"task {task.name} failed {task.failures} times",
        )


def fail_all_exhausted(cluster: clusters.Cluster, wall: float) -> None:
    """Fail the jobs with a waiting task that has used all its attempts.

    A task may have failed under another configuration, or an earlier owner.

    :param cluster: The owner's view of the cluster.
    :param wall: Present time, seconds since 1970.
    """
    for state in list(cluster.open_jobs.values()):
        for name in list(state.waiting):
            fail_if_exhausted(cluster, state, state.tasks[name], wall)
