"""Workers, their room, and orders of maintenance, as plain values."""

from __future__ import annotations

import dataclasses
import enum

from rackvalve.jobs import definition
from rackvalve.jobs import progress


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Resources:
    """What a worker has or a task needs.

    :param cpu: Thousandths of a core.
    :param memory: Memory, in MB.
    :param gpu: Accelerators.
    """

    cpu: int
    memory: int
    gpu: int

    def fits(self, need: Resources) -> bool:
        """Return whether a need fits into this room.

        :param need: What is needed.
        """
        return (
            need.cpu <= self.cpu
            and need.memory <= self.memory
            and need.gpu <= self.gpu
        )

    def plus(self, other: Resources) -> Resources:
        """Return the sum of two rooms.

        :param other: The other one.
        """
        return Resources(
            cpu=self.cpu + other.cpu,
            memory=self.memory + other.memory,
            gpu=self.gpu + other.gpu,
        )

    def minus(self, other: Resources) -> Resources:
        """Return what is left without another room.

        :param other: The other one.
        """
        return Resources(
            cpu=self.cpu - other.cpu,
            memory=self.memory - other.memory,
            gpu=self.gpu - other.gpu,
        )

    def within(self, other: Resources) -> Resources:
        """Return the part of this room that lies within another one.

        :param other: The other one.
        """
        return Resources(
            cpu=min(self.cpu, other.cpu),
            memory=min(self.memory, other.memory),
            gpu=min(self.gpu, other.gpu),
        )

    def count_vms(self, unit: Resources) -> float:
        """Return how many VMs this room fills, by what it takes most of.

        :param unit: What a VM has.
        """
        return max(
            self.cpu / max(1, unit.cpu),
            self.memory / max(1, unit.memory),
            self.gpu / unit.gpu if unit.gpu else 0.0,
        )


NO_RESOURCES = Resources(cpu=0, memory=0, gpu=0)


def get_resource_request(step: definition.Step) -> Resources:
    """Return the room that one task of a step takes.

    :param step: The step.
    """
    cpu = 0 if step.uses_leftover else step.cpu
    return Resources(cpu=cpu, memory=step.memory, gpu=step.gpu)


def get_charge(step: definition.Step) -> Resources:
    """Return what one task of a step counts against its workspace's bound.

    Unlike a worker's room, the bound counts the processor of tasks that run
    on what others leave unused: they use it all the same.

    :param step: The step.
    """
    return Resources(cpu=step.cpu, memory=step.memory, gpu=step.gpu)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Entry:
    """What one life of a worker says of itself.

    :param identity: Identity of the life, as :mod:`lives` makes it.
    :param pool: The pool that it works for.
    :param host: IP number.
    :param port: Port.
    :param vm: The VM that it lives on.
    :param rack: The VM's rack.
    :param hall: The data hall that it says it stands in.
    :param labels: All labels.
    :param capacity: What it has.
    :param draining: Whether it will leave.
    :param remaining: How long it stays at least while it drains, in seconds.
    """

    identity: str
    pool: str
    host: str
    port: int
    vm: str
    rack: str
    hall: str
    labels: frozenset[str]
    capacity: Resources
    draining: bool
    remaining: float | None

    @property
    def location(self) -> progress.Location:
        """Where the worker can be asked, and its VM."""
        return progress.Location(host=self.host, port=self.port, vm=self.vm)


class Condition(enum.Enum):
    """What state a VM is in."""

    UP = "up"
    # On its way to another pool.
    MOVING = "moving"
    MAINTAINED = "maintained"
    # Off or failed: nothing lives on it.
    DOWN = "down"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Vm:
    """A VM as the platform lists it.

    :param identity: Its name, which stays with it.
    :param pool: Its pool.
    :param condition: What state it is in.
    :param worker: Name of the worker that lives on it, empty for none.
    :param hall: The data hall that it stands in.
    """

    identity: str
    pool: str
    condition: Condition
    worker: str
    hall: str

    @property
    def up(self) -> bool:
        """Whether it is up."""
        return self.condition is Condition.UP

    @property
    def lost(self) -> bool:
        """Whether it is off or has failed."""
        return self.condition is Condition.DOWN


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Wave:
    """An operator's order to maintain VMs.

    :param number: Number of the wave.
    :param vms: The VMs.
    :param duration: Time within which all are to be maintained, in seconds.
    :param most_away: Most of them that may be away at once.
    """

    number: int
    vms: tuple[str, ...]
    duration: float
    most_away: int
