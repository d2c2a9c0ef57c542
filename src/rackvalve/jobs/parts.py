"""Parts of a large job's record: which tasks are in which part.

The store bounds the size of a value.  A progress that outgrows it is a head
and up to ``MAX_PARTS`` parts, each of which holds the tasks of one range and
is written only when one of them has changed.  One commit takes a head with all
of its parts, so that a record never is half of an earlier one.
"""

from __future__ import annotations

from rackvalve.jobs import definition
from rackvalve.jobs import progress

# Most tasks of a job whose commit reserves no room for parts.
MAX_SINGLE_TASKS = 2048
# Of a commit's 32 entries the ownership takes one, and the head and each part
# take two.
MAX_PARTS = 14
# Tasks of a part, unless that makes more than ``MAX_PARTS``.
PART_TASKS = 256


def count_parts(tasks: int) -> int:
    """Return how many parts the record of a job has that is divided.

    :param tasks: How many tasks the job has.
    """
    return max(1, min(MAX_PARTS, -(-tasks // PART_TASKS)))


def divide(state: progress.JobState) -> None:
    """Have a job's record written in parts from now on.

    :param state: The job.
    """
    state.parts = count_parts(definition.count_tasks(state.job))
    note_changed(state)


def note_changed(
    state: progress.JobState, task: progress.Task | None = None
) -> None:
    """Note which part of a job's record must be written.

    :param state: The job.
    :param task: The task that has changed; ``None`` if any may have.
    """
    if not state.parts:
        return
    if task is None:
        state.changed_parts.update(range(state.parts))
    else:
        state.changed_parts.add(find_part(state, task.name))


def find_part(state: progress.JobState, name: definition.TaskName) -> int:
    """Return the number of the part that holds a task.

    :param state: The job, whose record has parts.
    :param name: The task's name.
    """
    steps = state.job.steps
    number = name.repetition * sum(step.tasks for step in steps)
    number += sum(step.tasks for step in steps[: name.step]) + name.index
    return number * state.parts // definition.count_tasks(state.job)


def list_tasks(state: progress.JobState, part: int) -> list[progress.Task]:
    """Return the known tasks of a part.

    :param state: The job, whose record has parts.
    :param part: Number of the part.
    """
    total = definition.count_tasks(state.job)
    # The least number whose part is this one or a later one.
    first = -(-part * total // state.parts)
    end = -(-(part + 1) * total // state.parts)
    found = (
        state.tasks.get(definition.name_task(state.job, number))
        for number in range(first, end)
    )
    return [task for task in found if task is not None]
