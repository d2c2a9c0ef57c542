"""What a day is made of, and what it came to."""

from __future__ import annotations

import dataclasses

from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import fleet
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import speeds
from tools.emulator import loads
from tools.emulator import troubles as kinds_of_trouble


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Fleet:
    """The VMs of a day.

    :param vms: How many.
    :param per_rack: How many stand in a rack.
    :param halls: Number of data halls.
    :param capacity: What each has.
    """

    vms: int = 30
    per_rack: int = 4
    halls: int = 3
    capacity: fleet.Resources = fleet.Resources(cpu=16000, memory=32768, gpu=0)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """All that happens in a day from outside.

    :param fleet: The VMs.
    :param kinds: What is handed in.
    :param shape: How rates change.
    :param bursts: Times of greater rates.
    :param troubles: What goes wrong.
    :param length: How long jobs are handed in, in seconds.
    """

    fleet: Fleet
    kinds: tuple[loads.Kind, ...]
    shape: loads.Shape
    bursts: tuple[loads.Burst, ...] = ()
    troubles: tuple[kinds_of_trouble.Trouble, ...] = ()
    length: float = 55.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Served:
    """What became of a job.

    :param arrival: The job.
    :param ended: When it was completed; ``None`` if it never was.
    """

    arrival: loads.Arrival
    ended: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """What a day came to.

    :param jobs: All jobs.
    :param lasting: Samples of the lasting tasks at work: time, share.
    :param pool_seconds: Seconds that VMs spent in pools.
    :param moves: How many VMs were moved.
    """

    jobs: list[Served]
    lasting: list[tuple[float, float]]
    pool_seconds: float = 0.0
    moves: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Policy:
    """Which parts of the product decide.

    :param planner: Plans starts.
    :param detector: Detects silent workers and halls.
    :param speeds: Tells which workers are slow.
    """

    planner: type[planners.Planner] = planners.Planner
    detector: type[failure_detector.FailureDetector] = (
        failure_detector.FailureDetector
    )
    speeds: type[speeds.Speeds] = speeds.Speeds


PRODUCT = Policy()
