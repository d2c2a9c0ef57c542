"""Which jobs have begun, by their workers' words, and how many have not."""

from __future__ import annotations

from collections.abc import Iterable

from rackvalve.jobs import progress
from rackvalve.scheduling import workers


def note(placed: workers.Placed) -> bool:
    """Note that a worker has said that a run is, or was, there.

    :param placed: The run.
    :return: Whether its job has begun by that.
    """
    placed.run.begun = True
    if placed.state.begun or not _is_complete(placed):
        return False
    placed.state.begun = True
    return True


def count_waiting(jobs: Iterable[progress.JobState]) -> dict[str, int]:
    """Return how many jobs of each queue have not begun.

    :param jobs: Jobs that have not ended.
    """
    counts: dict[str, int] = {}
    for state in jobs:
        if state.phase is progress.Phase.QUEUED:
            counts[state.queue] = counts.get(state.queue, 0) + 1
    return counts


def count_unspoken(jobs: Iterable[progress.JobState]) -> int:
    """Return how many jobs count as begun by no worker's word.

    :param jobs: Jobs that have not ended.
    """
    return sum(
        not state.begun and state.phase is not progress.Phase.QUEUED
        for state in jobs
    )


def _is_complete(placed: workers.Placed) -> bool:
    """Return whether all that must be there with a run is there.

    Tasks that start together begin once all of them are.
    """
    if not placed.step.gang:
        return True
    name, number = placed.task.name, placed.run.number
    return all(
        number in task.runs and task.runs[number].begun
        for task in placed.state.tasks.values()
        if (task.name.repetition, task.name.step)
        == (name.repetition, name.step)
    )
