"""The plan of an emulated day, and its result."""

from __future__ import annotations

import dataclasses

from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import fleet
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import speeds
from tools.emulator import faults as fault_kinds
from tools.emulator import loads


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Fleet:
    """The VMs of a day.

    :param vms: Number of VMs.
    :param per_rack: Number of VMs in a rack.
    :param halls: Number of data halls.
    :param capacity: Capacity of each VM.
    """

    vms: int = 30
    per_rack: int = 4
    halls: int = 3
    capacity: fleet.Resources = fleet.Resources(cpu=16000, memory=32768, gpu=0)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """The load and the faults of a day.

    :param fleet: The VMs.
    :param kinds: The kinds of jobs.
    :param shape: How their rates change.
    :param bursts: Times of higher rates.
    :param faults: The faults.
    :param length: How long jobs are submitted, in seconds.
    """

    fleet: Fleet
    kinds: tuple[loads.Kind, ...]
    shape: loads.Shape
    bursts: tuple[loads.Burst, ...] = ()
    faults: tuple[fault_kinds.Fault, ...] = ()
    length: float = 55.0


@dataclasses.dataclass(slots=True, kw_only=True)
class JobOutcome:
    """The outcome of a job.

    :param arrival: The job.
    :param ended: When it was completed; ``None`` if it never was.
    """

    arrival: loads.Arrival
    ended: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """The result of a day.

    :param jobs: All jobs.
    :param lasting: Samples of the lasting tasks at work: time, share.
    :param pool_seconds: Seconds that VMs spent in pools.
    :param moves: Number of moves of VMs.
    """

    jobs: list[JobOutcome]
    lasting: list[tuple[float, float]]
    pool_seconds: float = 0.0
    moves: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Policy:
    """Which parts of the product decide.

    :param planner: Plans starts.
    :param detector: Detects silent workers and halls.
    :param speeds: Detects slow workers.
    """

    planner: type[planners.Planner] = planners.Planner
    detector: type[failure_detector.FailureDetector] = (
        failure_detector.FailureDetector
    )
    speeds: type[speeds.Speeds] = speeds.Speeds


PRODUCT = Policy()
