"""Steps about waves where the platform's list of VMs lags."""

from __future__ import annotations

import behave

from features import vm_bench as vms
from rackvalve.scheduling import fleet

# How long a VM is away for its maintenance, in seconds.
AWAY_S = 2.0


@behave.given(
    "a pool of {count:d} VMs without work, all of which a wave of {most:d} at "
    "a time is to maintain"
)
def make_idle_pool(context, count, most):
    vms.make_sizing(context, count, spares=0)
    wave = fleet.Wave(
        number=1, vms=tuple(context.names), duration=20.0, most_away=most
    )
    context.maintenance.add_wave(wave, context.bench.now)


@behave.when(
    "maintenance and moves are decided for {seconds:d} seconds, by a list "
    "that lags by {lag:g} s"
)
def decide_both(context, seconds, lag):
    context.maintained_at, context.moved_at = {}, {}
    bench = context.bench
    until = bench.now + seconds
    while bench.now < until:
        bench.now += 0.1
        show_maintenance(context, lag)
        context.maintenance.take_list(list(context.listed.values()), bench.now)
        for name in context.names:
            bench.report(name, bench.rows(name))
        # In the order in which an owner decides.
        for order in context.maintenance.decide(bench.now):
            context.maintenance.note_ordered(order, bench.now)
            context.maintained_at[order.vm] = bench.now
        for move in context.sizing.decide(bench.now):
            context.moved_at.setdefault(move.vm, bench.now)


def show_maintenance(context, lag):
    """Have the list of VMs show maintenance with its lag."""
    for vm, began in context.maintained_at.items():
        passed = context.bench.now - began
        is_away = lag <= passed < lag + AWAY_S
        context.listed[vm] = vms.list_vm(vm, up=not is_away)


@behave.then(
    "each was maintained or moved, at most {most:d} were away at once, and "
    "none was ordered to move meanwhile"
)
def check_orders(context, most):
    ordered = context.maintained_at.keys() | context.moved_at.keys()
    assert ordered == set(context.names)
    assert len(context.maintained_at) > most
    for vm, began in context.maintained_at.items():
        away = [
            at
            for at in context.maintained_at.values()
            if began - AWAY_S + 0.01 < at <= began
        ]
        assert len(away) <= most, (vm, context.maintained_at)
        moved = context.moved_at.get(vm)
        assert moved is None or not began <= moved < began + AWAY_S, vm
