"""Estimates how much memory a job takes in the process that schedules it."""

from __future__ import annotations

from rackvalve.jobs import definition

# Memory of a job without its tasks, of each task with its run, and of each
# byte of its definition, which a new owner holds encoded and decoded while it
# loads the jobs, in bytes.
JOB_BYTES = 4096
TASK_BYTES = 768
BYTES_PER_DEFINITION_BYTE = 2
# Share of a VM's memory that the jobs of an owner may take.
JOB_SHARE = 0.35


def weigh(job: definition.Job, definition_bytes: int) -> int:
    """Return the memory that a job takes until it is forgotten, in bytes.

    :param job: The job.
    :param definition_bytes: Length of its encoded definition.
    """
    return (
        JOB_BYTES
        + TASK_BYTES * definition.count_tasks(job)
        + BYTES_PER_DEFINITION_BYTE * definition_bytes
    )


def share_memory(memory: int) -> int:
    """Return the memory that the jobs of an owner may take, in bytes.

    :param memory: Memory of its VM, in bytes.
    """
    return int(memory * JOB_SHARE)
