"""Runs that are over by proof, without their worker's word."""

from __future__ import annotations

import dataclasses

from rackvalve.jobs import progress
from rackvalve.scheduling import workers

LEASE_OVER = "its lease is over"
LISTED_OFF = "its VM is listed as off"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Release:
    """Runs of one worker that one proof has ended.

    :param worker: Identity of the worker.
    :param proof: What proves it.
    :param runs: Full names of the tasks and numbers of the runs.
    """

    worker: str
    proof: str
    runs: tuple[workers.RunKey, ...]


def make(worker: workers.WorkerState, proof: str) -> Release:
    """Return what a proof about a worker releases.

    Runs that no worker has heard of are left out: they never were.

    :param worker: The worker, with its runs.
    :param proof: What proves that they are over.
    """
    return Release(
        worker=worker.identity,
        proof=proof,
        runs=tuple(
            key
            for key, placed in worker.runs.items()
            if placed.run.stage is not progress.Stage.PLANNED
        ),
    )


def find_proof(worker: workers.WorkerState) -> str:
    """Return what proves that nothing runs on a worker that is over.

    :param worker: The worker.
    """
    return LISTED_OFF if worker.lease_over == float("-inf") else LEASE_OVER
