"""Gangs: steps whose tasks work only together, in runs of one number.

All members of a run start from the same checkpoint; that of any member is
good.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

from rackvalve.jobs import progress
from rackvalve.scheduling import workers


def share_checkpoint(tasks: Sequence[progress.Task]) -> None:
    """Give all members of a gang the checkpoint with the most progress.

    It is recorded with their next runs, so that each owner knows the same.

    :param tasks: The members, none of which has a run.
    """
    best = max(
        tasks, key=lambda task: (bool(task.checkpoint), task.saved_percent)
    )
    for task in tasks:
        task.checkpoint = best.checkpoint
        task.saved_percent = best.saved_percent


def list_others(
    placed: workers.PlacedRun,
) -> list[tuple[progress.Task, progress.Run]]:
    """Return the runs of the other members of a gang's run.

    :param placed: The run of one member.
    """
    number = placed.run.number
    return [
        (task, task.runs[number])
        for task in _list_members(placed)
        if task is not placed.task and number in task.runs
    ]


def is_assembled(placed: workers.PlacedRun) -> bool:
    """Return whether all members of a gang's run were seen by their workers.

    :param placed: The run of one member.
    """
    number = placed.run.number
    return all(
        number in task.runs and task.runs[number].begun
        for task in _list_members(placed)
    )


def _list_members(placed: workers.PlacedRun) -> Iterable[progress.Task]:
    name = placed.task.name
    return (
        task
        for task in placed.state.tasks.values()
        if (task.name.repetition, task.name.step)
        == (name.repetition, name.step)
    )
