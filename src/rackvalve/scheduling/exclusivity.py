"""Workers that accept no job but one, and how many a pool may have.

A run in isolation has its worker to itself until its task is cleared, and a
worker is reserved ahead for such a run.  Each pool keeps a worker that accepts
all jobs: once it has lost the others, a worker with a run in isolation is
shared.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Container
from collections.abc import Sequence
import math

from rackvalve.scheduling import crashes
from rackvalve.scheduling import workers

# Part of a pool's workers that may be reserved or isolating at the same time.
MAX_EXCLUSIVE_PART = 0.5


def find_limit(members: Sequence[workers.WorkerState]) -> int:
    """Return how many workers of a pool may accept no job but one.

    :param members: The workers of the pool on which runs may be placed.
    """
    part = math.ceil(len(members) * MAX_EXCLUSIVE_PART)
    return max(0, min(part, len(members) - 1))


def find_shared(members: Sequence[workers.WorkerState]) -> Collection[str]:
    """Return the workers whose isolated runs no longer keep others away.

    Those are shared first whose runs have worked longest and so are nearest to
    being cleared, and none whose run may still crash promptly.

    :param members: The workers of the pool on which runs may be placed.
    :return: Their identities.
    """
    isolating = [
        worker
        for worker in members
        if worker.suspects and crashes.is_isolating(worker)
    ]
    excess = len(isolating) - find_limit(members)
    if excess <= 0:
        return ()
    work = {
        worker.identity: crashes.find_isolated_work(worker)
        for worker in isolating
    }
    longest = sorted(work, key=work.__getitem__, reverse=True)
    return frozenset(
        identity
        for identity in longest[:excess]
        if work[identity] > crashes.PROMPT_CRASH_S
    )


def list_open(
    members: Sequence[workers.WorkerState], reserved: Container[str]
) -> list[workers.WorkerState]:
    """Return the workers of a pool that accept all jobs.

    :param members: The workers of the pool on which runs may be placed.
    :param reserved: Identities of those that are reserved for one job.
    """
    shared = find_shared(members)
    return [
        worker
        for worker in members
        if worker.identity not in reserved
        and (worker.identity in shared or not crashes.is_isolating(worker))
    ]
