"""Values for workers' resources and entries, VMs and maintenance waves."""

from __future__ import annotations

import dataclasses
import enum

from rackvalve.jobs import definition
from rackvalve.jobs import progress


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Resources:
    """Resources that a worker has or a task requests.

    :param cpu: Thousandths of a core.
    :param memory: Memory, in MB.
    :param gpu: Number of GPUs.
    """

    cpu: int
    memory: int
    gpu: int

    def fits(self, need: Resources) -> bool:
        """Return whether a request fits into these resources.

        :param need: The request.
        """
        return (
            need.cpu <= self.cpu
            and need.memory <= self.memory
            and need.gpu <= self.gpu
        )

    def plus(self, other: Resources) -> Resources:
        """Return the sum of these and other resources.

        :param other: The resources to add.
        """
        return Resources(
            cpu=self.cpu + other.cpu,
            memory=self.memory + other.memory,
            gpu=self.gpu + other.gpu,
        )

    def minus(self, other: Resources) -> Resources:
        """Return these resources less others.

        :param other: The resources to subtract.
        """
        return Resources(
            cpu=self.cpu - other.cpu,
            memory=self.memory - other.memory,
            gpu=self.gpu - other.gpu,
        )

    def within(self, other: Resources) -> Resources:
        """Return the minimum of these and other resources, for each one.

        :param other: The resources to stay within.
        """
        return Resources(
            cpu=min(self.cpu, other.cpu),
            memory=min(self.memory, other.memory),
            gpu=min(self.gpu, other.gpu),
        )

    def count_vms(self, unit: Resources) -> float:
        """Return how many VMs these resources fill, by the scarcest of them.

        :param unit: The resources of a VM.
        """
        return max(
            self.cpu / max(1, unit.cpu),
            self.memory / max(1, unit.memory),
            self.gpu / unit.gpu if unit.gpu else 0.0,
        )


NO_RESOURCES = Resources(cpu=0, memory=0, gpu=0)


def get_resource_request(step: definition.Step) -> Resources:
    """Return the resources that one task of a step takes on a worker.

    :param step: The step.
    """
    cpu = 0 if step.uses_leftover else step.cpu
    return Resources(cpu=cpu, memory=step.memory, gpu=step.gpu)


def get_charge(step: definition.Step) -> Resources:
    """Return what one task of a step counts against its workspace's bound.

    Unlike a worker's resources, the bound is also charged with the CPU of
    tasks that run on leftover CPU, as they do use it.

    :param step: The step.
    """
    return Resources(cpu=step.cpu, memory=step.memory, gpu=step.gpu)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Entry:
    """Entry that one incarnation of a worker registers in the store.

    :param identity: Its identity, as :mod:`incarnations` makes it.
    :param pool: Pool that it serves.
    :param host: IP address.
    :param port: Port.
    :param vm: VM that it runs on.
    :param rack: Rack of the VM.
    :param hall: Data hall of the VM, as the worker states it.
    :param labels: All labels.
    :param capacity: All its resources.
    :param draining: Whether it will leave.
    :param remaining: Least time that it stays while it drains, in seconds.
    :param cold_left: How long it is still slow after its start, in seconds,
        from the time at which the entry was written.
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
    cold_left: float = 0.0

    @property
    def location(self) -> progress.Location:
        """Address of the worker, and its VM."""
        return progress.Location(host=self.host, port=self.port, vm=self.vm)


class Condition(enum.Enum):
    """State of a VM."""

    UP = "up"
    # On its way to another pool.
    MOVING = "moving"
    MAINTAINED = "maintained"
    # Off or failed: no worker runs on it.
    DOWN = "down"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Vm:
    """A VM as the platform lists it.

    :param identity: Its permanent name.
    :param pool: Its pool.
    :param condition: Its state.
    :param worker: Name of the worker that runs on it; empty for none.
    :param hall: The data hall that it is in.
    :param rack: The rack that it is in; empty if it is not listed.
    """

    identity: str
    pool: str
    condition: Condition
    worker: str
    hall: str
    rack: str = ""

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
