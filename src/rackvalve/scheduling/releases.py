"""Releases: runs that ended by proof, without a report of their worker."""

from __future__ import annotations

import dataclasses
import enum

from rackvalve.jobs import progress
from rackvalve.scheduling import workers

LEASE_OVER = "its lease is over"
LISTED_OFF = "its VM is listed as off"
RESTARTED = "its worker has started again"


class Fate(enum.Enum):
    """How an incarnation of a worker ended, as far as its owner can tell."""

    # The worker ended unannounced.
    CRASHED = "crashed"
    # The worker announced its end, or still answered without its entry.
    LEFT = "left"
    # The worker's VM was ordered to move, or to be maintained.
    ORDERED_AWAY = "ordered away"
    # The worker does not answer, and may still be running.
    OUT_OF_REACH = "out of reach"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ReleasedRun:
    """One run of a release.

    :param task: Full name of the task.
    :param number: Number of the run.
    :param age: How long ago it was ordered, in seconds.
    :param crashes: How many crashes now count against the task.
    :param isolated_crashes: How many of them only its job can have caused.
    """

    task: str
    number: int
    age: float
    crashes: int
    isolated_crashes: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Release:
    """Runs of one worker that ended by one proof.

    :param worker: Identity of the worker.
    :param vm: The VM that the worker ran on; empty if not known.
    :param proof: What proves that the runs ended.
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
    """Return the release of a worker's runs.

    Planned runs are left out: no worker was told of them.

    :param worker: The worker, with its runs.
    :param proof: What proves that the runs ended.
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
    """Return what proves that a worker without a lease runs nothing.

    :param worker: The worker, whose lease is over.
    """
    return LISTED_OFF if worker.lease_expiry == float("-inf") else LEASE_OVER


def determine_fate(worker: workers.WorkerState, proof: str) -> Fate:
    """Return what became of a worker whose runs ended by proof.

    :param worker: The worker.
    :param proof: What proves that the runs ended.
    """
    if worker.ordered_away:
        return Fate.ORDERED_AWAY
    if proof == LEASE_OVER:
        return Fate.OUT_OF_REACH
    gone = worker.entry_missing_since
    served_on = gone is not None and worker.last_alive_at > gone
    said_so = worker.entry is not None and worker.entry.draining
    return Fate.LEFT if said_so or served_on else Fate.CRASHED
