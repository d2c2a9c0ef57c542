"""Which jobs have begun, and how many not; cluster and reports use it.

A job has begun once a worker has reported a run of one of its tasks.  A start
that is planned, recorded or in flight does not count: it may be rejected or
lost.  Callers see this phase, so it is kept in the job's record and never
reverted.
"""

from __future__ import annotations

from collections.abc import Iterable

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import gangs
from rackvalve.scheduling import messages
from rackvalve.scheduling import workers

# Endings that prove that the tasks of a gang have worked.  With others they
# may have waited for each other in vain.
_WORKED = frozenset({messages.Ending.DONE, messages.Ending.FAILED})


def note_run_seen(placed: workers.PlacedRun) -> bool:
    """Record that a worker reports a run as running.

    :param placed: The run.
    :return: Whether the job has begun with this run.
    """
    placed.run.begun = True
    return _is_gang_seen(placed) and _begin(placed.state)


def note_run_ended(
    state: progress.JobState, step: definition.Step, ending: messages.Ending
) -> bool:
    """Record that a worker reports a run as ended.

    :param state: The run's job.
    :param step: The run's step.
    :param ending: How the run ended.
    :return: Whether the job has begun with this run.
    """
    if step.gang and ending not in _WORKED:
        return False
    return _begin(state)


def count_waiting(jobs: Iterable[progress.JobState]) -> dict[str, int]:
    """Return how many jobs of each queue have not begun.

    :param jobs: Jobs that have not ended.
    """
    counts: dict[str, int] = {}
    for state in jobs:
        if state.phase is progress.Phase.QUEUED:
            counts[state.queue] = counts.get(state.queue, 0) + 1
    return counts


def count_ordered(jobs: Iterable[progress.JobState]) -> int:
    """Return how many jobs have not begun though a start is under way.

    :param jobs: Jobs that have not ended.
    """
    return sum(
        state.phase is progress.Phase.QUEUED
        and any(task.runs for task in state.tasks.values())
        for state in jobs
    )


def _begin(state: progress.JobState) -> bool:
    if state.phase is not progress.Phase.QUEUED:
        return False
    state.phase = progress.Phase.RUNNING
    return True


def _is_gang_seen(placed: workers.PlacedRun) -> bool:
    """Return whether all runs that must work together have been seen.

    A gang has begun once all its runs have been reported by their workers.
    """
    if not placed.step.gang:
        return True
    return gangs.is_assembled(placed)
