"""Effects of each fault on an emulated day."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from rackvalve.scheduling import fleet
from tools.emulator import faults

if TYPE_CHECKING:
    from tools.emulator import day as days


@functools.singledispatch
def begin(fault: object, day: days.Day) -> None:
    """Begin a fault and schedule its end.

    :param fault: The fault.
    :param day: The day.
    """
    raise TypeError(f"no such trouble: {fault!r}")


@begin.register(faults.RackOutage)
def _(fault: faults.RackOutage, day: days.Day) -> None:
    for vm in day.vms.values():
        if vm.rack == fault.rack and vm.up:
            day.end_worker(vm)
            when = day.now + fault.seconds
            day.at(when, functools.partial(day.start_worker, vm))


@begin.register(faults.HallPartition)
def _(fault: faults.HallPartition, day: days.Day) -> None:
    day.set_partition(fault.hall, is_partitioned=True)
    day.at(
        day.now + fault.seconds,
        functools.partial(day.set_partition, fault.hall, is_partitioned=False),
    )


@begin.register(faults.OwnerLoss)
def _(fault: faults.OwnerLoss, day: days.Day) -> None:
    day.lose_owner(fault.seconds)


@begin.register(faults.SlowWorkers)
def _(fault: faults.SlowWorkers, day: days.Day) -> None:
    for vm in day.draw_vms(fault.count):
        vm.slow_until = day.now + fault.seconds
        vm.slowness = fault.times


@begin.register(faults.Wave)
def _(fault: faults.Wave, day: days.Day) -> None:
    chosen = day.draw_vms(round(fault.share * len(day.vms)))
    day.maintenance.add_wave(
        fleet.Wave(
            number=1,
            vms=tuple(vm.name for vm in chosen),
            duration=fault.seconds,
            most_away=fault.most_away,
        ),
        day.now,
    )
