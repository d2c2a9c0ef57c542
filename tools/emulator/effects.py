"""How each trouble begins and ends in an emulated day."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from rackvalve.scheduling import fleet
from tools.emulator import troubles

if TYPE_CHECKING:
    from tools.emulator import day as days


@functools.singledispatch
def begin(trouble: object, day: days.Day) -> None:
    """Let a trouble begin, and plan its end.

    :param trouble: The trouble.
    :param day: The day.
    """
    raise TypeError(f"no such trouble: {trouble!r}")


@begin.register(troubles.RackDark)
def _(trouble: troubles.RackDark, day: days.Day) -> None:
    for vm in day.vms.values():
        if vm.rack == trouble.rack and vm.up:
            day.kill(vm)
            when = day.now + trouble.seconds
            day.at(when, functools.partial(day.revive, vm))


@begin.register(troubles.HallCut)
def _(trouble: troubles.HallCut, day: days.Day) -> None:
    day.cut_hall(trouble.hall, cut=True)
    day.at(
        day.now + trouble.seconds,
        functools.partial(day.cut_hall, trouble.hall, cut=False),
    )


@begin.register(troubles.OwnerLost)
def _(trouble: troubles.OwnerLost, day: days.Day) -> None:
    day.lose_owner(trouble.seconds)


@begin.register(troubles.SlowWorkers)
def _(trouble: troubles.SlowWorkers, day: days.Day) -> None:
    for vm in day.draw_vms(trouble.count):
        vm.slow_until = day.now + trouble.seconds
        vm.slowness = trouble.times


@begin.register(troubles.Wave)
def _(trouble: troubles.Wave, day: days.Day) -> None:
    chosen = day.draw_vms(round(trouble.share * len(day.vms)))
    day.maintenance.add_wave(
        fleet.Wave(
            number=1,
            vms=tuple(vm.name for vm in chosen),
            duration=trouble.seconds,
            most_away=trouble.most_away,
        ),
        day.now,
    )
