"""Steps about waves and sizes while demand comes in bursts."""

from __future__ import annotations

import behave

from features import job_bench as benches
from features import job_models as models
from features import vm_bench as vms
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import fleet
from rackvalve.scheduling import forecast
from rackvalve.scheduling import messages

TICK_S = 0.1


def add_wave(context, names, most, seconds):
    wave = fleet.Wave(
        number=1, vms=tuple(names), duration=float(seconds), most_away=most
    )
    context.maintenance.add_wave(wave, context.bench.now)


@behave.given(
    "a wave over {count:d} of the spare VMs that bears {most:d} away in "
    "{seconds:d} seconds"
)
def plan_wave(context, count, most, seconds):
    names = [f"s{number}" for number in range(count)]
    context.begin = lambda: add_wave(context, names, most, seconds)


def decide_waves(context):
    return context.maintenance.decide(
        context.bench.now,
        short=context.sizing.is_short,
        reserved=context.sizing.count_reserved(context.bench.now),
    )


@behave.when("no job comes, and the wave begins")
def begin_idle(context):
    vms.step_sizing(context, 1.0)
    context.begin()
    context.orders = decide_waves(context)


@behave.when(
    "a burst has begun {seconds:g} s ago with {count:d} jobs for 1 VM each "
    "0.1 s"
)
def begin_burst(context, seconds, count):
    context.moves = vms.step_sizing(context, forecast.RISE_WINDOW_S)
    context.rate = count / TICK_S
    for number in range(round(seconds / TICK_S) * count):
        context.bench.add(
            definition.Step(cpu=vms.WIDE.cpu), identity=f"{number:016x}"
        )
        if number % count == count - 1:
            context.moves += vms.step_sizing(context, TICK_S)
    context.arrived_jobs = number + 1


@behave.when(
    "{count:d} jobs for 1 VM come each 0.1 s for {seconds:g} s, and the wave "
    "begins"
)
def begin_rising(context, count, seconds):
    begin_burst(context, seconds, count)
    context.begin()
    context.orders = decide_waves(context)


@behave.then("enough of them are left for another 1.6 s of the rise")
def check_left(context):
    spares = sum(1 for vm in context.listed if vm.startswith("s"))
    left = spares - len(context.moves) - len(context.orders)
    have = len(context.names) + len(context.moves)
    needed = context.arrived_jobs + context.rate * forecast.LEAD_TIME_S - have
    assert left >= needed, (left, needed)


@behave.when(
    "a wave over all VMs of the pool bears {most:d} away in {seconds:d} "
    "seconds"
)
def begin_pool_wave(context, most, seconds):
    assert not vms.step_sizing(context, 1.0)
    add_wave(context, context.names, most, seconds)
    context.closed = decide_waves(context)
    context.moves = vms.step_sizing(context, TICK_S)


@behave.then(
    "1 VM is closed, and {count:d} move to the pool for it and for the next 3"
)
def check_places(context, count):
    assert len(context.maintenance.list_leaving()) == 1, (
        context.maintenance.list_leaving()
    )
    assert len(context.moves) == count, context.moves
    assert {move.pool for move in context.moves} == {models.POOL}


@behave.then("the pool is expected to need {count:d} VMs at the most")
def check_no_burst(context, count):
    size = context.sizing.pools[models.POOL]
    assert size.forecast.predict(context.bench.now) <= count


@behave.given("a pool of 1 VM that bears 4 tasks at once, each of 1 s")
def make_full_pool(context):
    context.bench = benches.Bench(["w1"])
    context.jobs = []
    context.overtaken = []


@behave.when("a job of one task comes each 0.1 s for {seconds:d} s")
def overload(context, seconds):
    bench = context.bench
    running = []
    for tick in range(10 * seconds):
        identity = f"{tick:016x}"
        step = definition.Step(tasks=1, cpu=1, estimate=1.0)
        context.jobs.append(bench.add(step, identity=identity))
        bench.now += 0.1
        for began, order in list(running):
            if bench.now - began >= 1.0:
                running.remove((began, order))
                bench.end(order, messages.Ending.DONE)
        bench.report("w1", bench.rows("w1"))
        for order in bench.start_all():
            running.append((bench.now, order))
            note_overtaken(context, order)


def note_overtaken(context, order):
    """Note the queued jobs older than 3 s when a later job starts."""
    arrived = context.bench.cluster.jobs[order.job].arrived
    for state in context.jobs:
        stands = state.phase is progress.Phase.QUEUED
        waited = context.bench.now - state.arrived
        if stands and state.arrived < arrived and waited > 3.0:
            context.overtaken.append((state.identity, order.job, waited))


@behave.then(
    "no job with nothing started waits for 3 s while a later one starts"
)
def check_not_overtaken(context):
    assert not context.overtaken, context.overtaken[-3:]


@behave.then("the pool keeps {count:d} VMs for the waves")
def check_rotating(context, count):
    size = context.sizing.pools[models.POOL]
    assert size.rotating == count, size.rotating
