"""Failure domains: which rack and hall a VM is in.

A VM without a rack label is a domain of its own.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses

from rackvalve.jobs import progress
from rackvalve.scheduling import fleet
from rackvalve.scheduling import workers

# Rank of a VM among others, lower first.
Rank = tuple[int, ...]
NO_RANK: Rank = ()


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Place:
    """Where a VM is.

    :param hall: Its data hall; empty if it is not known.
    :param rack: Its rack; empty if it is not known.
    :param domain: Key of its rack, or of the VM itself without a rack; unique
        among all halls.
    """

    hall: str
    rack: str
    domain: str


def make_place(vm: str, hall: str, rack: str) -> Place:
    """Make the place of a VM.

    :param vm: The VM.
    :param hall: Its data hall.
    :param rack: Its rack; empty if it is not known.
    """
    domain = f"rack {hall}/{rack}" if rack else f"vm {vm}"
    return Place(hall=hall, rack=rack, domain=domain)


class Locations:
    """The places of all VMs that were seen.

    A VM stays in its rack, so a place is kept when the VM's worker is gone:
    VMs of the spare pool are off and have no worker.
    """

    __slots__ = ("_stated", "_listed")

    def __init__(self) -> None:
        self._stated: dict[str, Place] = {}
        self._listed: dict[str, Place] = {}

    def note_entry(self, entry: fleet.Entry) -> None:
        """Note the place of a worker's VM, as the worker states it.

        :param entry: The worker's entry.
        """
        if entry.rack:
            self._stated[entry.vm] = make_place(
                entry.vm, entry.hall, entry.rack
            )
        elif entry.vm not in self._stated:
            self._listed.setdefault(
                entry.vm, make_place(entry.vm, entry.hall, "")
            )

    def note_list(self, vms: Iterable[fleet.Vm]) -> None:
        """Note the places of VMs by the platform's list.

        :param vms: The VMs.
        """
        for vm in vms:
            known = self._listed.get(vm.identity)
            if known is None or (vm.rack and known.rack != vm.rack):
                self._listed[vm.identity] = make_place(
                    vm.identity, vm.hall, vm.rack
                )

    def find(self, vm: str) -> Place:
        """Return the place of a VM.

        :param vm: The VM.
        """
        known = self._stated.get(vm) or self._listed.get(vm)
        return known or make_place(vm, "", "")


class Counts:
    """How many of some items are in each rack and hall."""

    __slots__ = ("domains", "halls")

    def __init__(self) -> None:
        self.domains: collections.Counter[str] = collections.Counter()
        self.halls: collections.Counter[str] = collections.Counter()

    def add(self, place: Place, count: int = 1) -> None:
        """Add items at a place.

        :param place: The place.
        :param count: How many; negative to remove items.
        """
        self.domains[place.domain] += count
        self.halls[place.hall] += count

    def rate(self, place: Place) -> tuple[int, int]:
        """Return how many items a place's rack and hall have.

        :param place: The place.
        """
        return self.domains[place.domain], self.halls[place.hall]


class TaskSpread:
    """How the tasks of a job or step are spread over racks and halls.

    They are counted on first use, since most choices need no count.

    :param locations: The places of all VMs.
    :param state: The job.
    :param repetition: Number of the repetition.
    :param number: Number of the step.
    """

    __slots__ = ("_locations", "_state", "_name", "_step", "_counts")

    def __init__(
        self,
        locations: Locations,
        state: progress.JobState,
        repetition: int,
        number: int,
    ) -> None:
        self._locations = locations
        self._state = state
        self._name = (repetition, number)
        self._step = state.job.steps[number]
        self._counts: Counts | None = None

    def add(self, worker: workers.WorkerState) -> None:
        """Count one more task on a worker, if the others were counted.

        :param worker: The worker.
        """
        if self._counts is not None and worker.location is not None:
            self._counts.add(self._locations.find(worker.location.vm))

    def count(self) -> Counts:
        """Return how many of the tasks are in each rack and hall."""
        if self._counts is None:
            self._counts = counts = Counts()
            for name, task in self._state.tasks.items():
                if self._step.lasting and self._name != (
                    name.repetition,
                    name.step,
                ):
                    continue
                for run in task.runs.values():
                    if run.location is not None:
                        counts.add(self._locations.find(run.location.vm))
        return self._counts

    def find_domain(self, vm: str) -> str:
        """Return the key of a VM's failure domain.

        :param vm: The VM.
        """
        return self._locations.find(vm).domain

    def count_in_rack(self, vm: str) -> int:
        """Return how many of the tasks a VM's rack has.

        :param vm: The VM.
        """
        return self.count().domains[self._locations.find(vm).domain]

    def rate(self, vm: str) -> tuple[float, float, float]:
        """Rate a VM for one more task of a lasting step; lower is better.

        :param vm: The VM.
        :return: By how many the loss of its rack would exceed what the step
            may miss, and how many tasks its hall and its rack have.
        """
        in_rack, in_hall = self.count().rate(self._locations.find(vm))
        # Without a number that may be away, any spread will do.
        most = self._step.most_away
        excess = max(0, in_rack + 1 - most) if most else 0
        return float(excess), float(in_hall), float(in_rack)


def choose_leaving(
    ranked: Iterable[tuple[Rank, str]],
    locations: Locations,
    counts: Counts,
    most: int,
) -> list[str]:
    """Choose VMs that leave a pool, so that the others are spread.

    :param ranked: VMs with their rank by cost, which decides first.
    :param locations: The places of all VMs.
    :param counts: Working VMs of the pool; those chosen are subtracted.
    :param most: How many are chosen at most.
    """
    left = {vm: (rank, locations.find(vm)) for rank, vm in ranked}
    chosen: list[str] = []
    while left and len(chosen) < most:
        vm = min(left, key=lambda name: _rate_leaving(name, left, counts))
        _, place = left.pop(vm)
        counts.add(place, -1)
        chosen.append(vm)
    return chosen


def choose_joining(
    ranked: Iterable[tuple[Rank, str]], locations: Locations, counts: Counts
) -> str:
    """Choose the VM that joins a pool, so that its VMs are spread.

    :param ranked: VMs with their rank by cost, which decides first; at least
        one.
    :param locations: The places of all VMs.
    :param counts: Working VMs of the pool; the one chosen is added.
    """
    _, vm = min(
        ranked, key=lambda row: (row[0], counts.rate(locations.find(row[1])))
    )
    counts.add(locations.find(vm))
    return vm


def _rate_leaving(
    vm: str, left: dict[str, tuple[Rank, Place]], counts: Counts
) -> tuple[Rank, int, int, str]:
    rank, place = left[vm]
    in_rack, in_hall = counts.rate(place)
    return rank, -in_rack, -in_hall, vm
