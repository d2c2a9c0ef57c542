"""Encodes a job's progress as values that the store can keep.

A job that is accepted can always be kept: a record that outgrows a value is
written in parts, and where checkpoints don't fit, tasks start anew without
them.  As long as it fits it is one value, which owners of earlier releases
read, too.
"""

from __future__ import annotations

from collections.abc import Sequence

from rackvalve.jobs import definition
from rackvalve.jobs import parts
from rackvalve.jobs import progress
from rackvalve.jobs import records


def count_values(state: progress.JobState) -> int:
    """Return how many values a commit of a job's progress has at the most.

    A record that outgrows its value unforeseen is refused beside others and
    sent alone (``Writer``).

    :param state: The job.
    """
    is_large = definition.count_tasks(state.job) > parts.MAX_SINGLE_TASKS
    return parts.MAX_PARTS + 1 if state.parts or is_large else 1


def encode(state: progress.JobState, limit: int) -> dict[str, bytes]:
    """Encode what has changed of a job's progress.

    :param state: The job; its changed parts are taken as written.
    :param limit: Largest value that the store keeps, in bytes.
    :return: Values by key, that of the progress first.
    """
    key = records.format_key(
        state.queue, state.identity, records.Part.PROGRESS
    )
    if not state.parts:
        payload = records.encode_progress(state)
        if len(payload) <= limit:
            return {key: payload}
        parts.divide(state)
    values = {key: records.encode_division(state)}
    for number in sorted(state.changed_parts):
        part_key = records.format_tasks_key(
            state.queue, state.identity, number
        )
        tasks = parts.list_tasks(state, number)
        values[part_key] = _encode_within(tasks, limit)
    state.changed_parts.clear()
    return values


def list_keys(state: progress.JobState) -> list[str]:
    """Return the keys of the parts of a job's progress.

    :param state: The job.
    """
    return [
        records.format_tasks_key(state.queue, state.identity, number)
        for number in range(state.parts)
    ]


def _encode_within(tasks: Sequence[progress.Task], limit: int) -> bytes:
    """Encode tasks, without the longest checkpoints if they don't fit."""
    payload = records.encode_tasks(tasks)
    by_length = sorted(
        (task for task in tasks if task.checkpoint and not task.done),
        key=lambda task: -len(task.checkpoint),
    )
    without: set[str] = set()
    while len(payload) > limit and len(without) < len(by_length):
        count = max(1, 2 * len(without))
        without = {str(task.name) for task in by_length[:count]}
        payload = records.encode_tasks(tasks, without)
    return payload
