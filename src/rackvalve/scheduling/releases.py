"""Runs that are over by proof, without their worker's word."""

from __future__ import annotations

import dataclasses
import enum

from rackvalve.jobs import progress
from rackvalve.scheduling import workers

LEASE_OVER = "its lease is over"
LISTED_OFF = "its VM is listed as off"
RESTARTED = "its worker has started again"


class Fate(enum.Enum):
    """What a worker's life came to, as far as its owner can tell."""

    # It ended though nothing had announced it.
    CRASHED = "crashed"
    # It said that it would end, or served on after its entry had gone.
    LEFT = "left"
    # Its VM was ordered to move, or to be maintained.
    ORDERED_AWAY = "ordered away"
    # It does not answer; whether it lives is not known.
    OUT_OF_REACH = "out of reach"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ReleasedRun:
    """A run that one proof has ended.

    :param task: Full name of the task.
    :param number: Number of the run.
    :param age: How long ago it was ordered, in seconds.
    :param crashes: How many crashes now count against the task.
    :param isolated_crashes: How many of them no other job can have caused.
    """

    task: str
    number: int
    age: float
    crashes: int
    isolated_crashes: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Release:
    """Runs of one worker that one proof has ended.

    :param worker: Identity of the worker.
    :param vm: The VM that it lived on; empty if it is not known.
    :param proof: What proves it.
    :param fate: What became of the worker.
    :param runs: The runs.
    """

    worker: str
    vm: str
    proof: str
    fate: Fate
    runs: tuple[ReleasedRun, ...]


def make_release(
    worker: workers.WorkerState, proof: str, now: float
) -> Release:
    """Return what a proof about a worker releases.

    Runs that no worker has heard of are left out: they never were.

    :param worker: The worker, with its runs.
    :param proof: What proves that they are over.
    :param now: Present time, in seconds.
    """
    return Release(
        worker=worker.identity,
        vm=worker.location.vm if worker.location is not None else "",
        proof=proof,
        fate=determine_fate(worker, proof),
        runs=tuple(
            ReleasedRun(
                task=placed.full_name,
                number=placed.run.number,
                age=now - placed.run.since,
                crashes=placed.task.crashes,
                isolated_crashes=placed.task.isolated_crashes,
            )
            for placed in worker.runs.values()
            if placed.run.stage is not progress.Stage.PLANNED
        ),
    )


def find_proof(worker: workers.WorkerState) -> str:
    """Return what proves that nothing runs on a worker that is over.

    :param worker: The worker.
    """
    return LISTED_OFF if worker.lease_expiry == float("-inf") else LEASE_OVER


def determine_fate(worker: workers.WorkerState, proof: str) -> Fate:
    """Return what became of a worker whose runs a proof has ended.

    :param worker: The worker.
    :param proof: The proof.
    """
    if worker.ordered_away:
        return Fate.ORDERED_AWAY
    if proof == LEASE_OVER:
        return Fate.OUT_OF_REACH
    gone = worker.entry_missing_since
    served_on = gone is not None and worker.last_alive_at > gone
    said_so = worker.entry is not None and worker.entry.draining
    return Fate.LEFT if said_so or served_on else Fate.CRASHED
