"""Steps about lost, unreachable and slow VMs and workers."""

from __future__ import annotations

import behave

from features import job_models as models
from features import vm_bench as vms
from rackvalve.jobs import definition
from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import fleet
from rackvalve.scheduling import listings
from rackvalve.scheduling import maintenance

# Half of a VM, so that two tasks fill one.
HALF = vms.WIDE.cpu // 2
TICK_S = 0.1
# Progress of a run a second, in percent.
USUAL_RATE = 50


@behave.given(
    "a pool of {count:d} VMs, a job of {tasks:d} tasks on them, and "
    "{spares:d} spare VMs"
)
def make_working_pool(context, count, tasks, spares):
    vms.make_sizing(context, count, spares)
    context.state = context.bench.add(
        definition.Step(tasks=tasks, cpu=HALF, estimate=2.0)
    )
    context.bench.start_all()
    context.silent = set()
    context.moves = []
    context.list_read = None


def runs_of(context, name):
    return list(context.bench.cluster.workers[name].runs.values())


def busiest(context):
    """Return the VM with most runs, the first of them."""
    return max(context.names, key=lambda name: len(runs_of(context, name)))


def pass_time(context, seconds):
    """Let time pass: list VMs, let workers answer, decide and plan."""
    bench = context.bench
    until = bench.now + seconds
    while bench.now < until:
        bench.now += TICK_S
        read = bench.now if context.list_read is None else context.list_read
        context.maintenance.take_list(list(context.listed.values()), read)
        for name in context.names:
            if name not in context.silent:
                bench.report(name, bench.rows(name))
        context.detector.check(bench.now)
        context.moves.extend(context.sizing.decide(bench.now))
        for order in context.bench.start_all():
            assert order.worker not in context.silent, order


def silence_one(context, **listed):
    context.lost = busiest(context)
    context.silent = {context.lost}
    context.tasks = [placed.task for placed in runs_of(context, context.lost)]
    assert len(context.tasks) == 2
    for placed in runs_of(context, context.lost):
        context.bench.cluster.workers[context.lost].note_extension(
            context.bench.now, 4.0
        )
        assert placed.run.worker == context.lost
    context.listed[context.lost] = vms.list_vm(context.lost, **listed)
    # Resources for its tasks elsewhere.
    context.bench.cluster.set_entry(
        models.FakeWorker(
            models.World(), "another", models.Rules(), 1.0
        ).entry()
    )
    context.names.append("another")
    context.bench.numbers["another"] = 0
    context.listed["another"] = vms.list_vm("another")


@behave.given("the platform's list has named all of them")
def list_all(context):
    read = context.bench.now - 2.0
    context.maintenance.take_list(list(context.listed.values()), read)
    context.detector.check(context.bench.now)


CONDITIONS = {
    "off": {"lost": True, "worker": ""},
    "up": {},
    "up with another incarnation": {"worker": "w99"},
    "moved": {"up": False, "worker": ""},
}


@behave.when(
    "the worker of one VM is silent and the VM is listed as {condition}"
)
def silence_listed(context, condition):
    silence_one(context, **CONDITIONS[condition])


@behave.when("the worker of one VM is silent and the VM is listed no more")
def silence_unlisted(context):
    silence_one(context)
    del context.listed[context.lost]


@behave.when(
    "the worker of one VM is silent and the VM is listed no more, and only "
    "records name it"
)
def silence_recorded(context):
    silence_unlisted(context)
    context.bench.cluster.workers[context.lost].entry = None


@behave.when("the worker of one VM is silent and one list leaves that VM out")
def silence_left_out(context):
    silence_one(context)
    pass_time(context, failure_detector.OVERDUE_S + TICK_S)
    left_out = context.listed.pop(context.lost)
    pass_time(context, TICK_S)
    context.detector.check(context.bench.now)
    context.listed[context.lost] = left_out


@behave.when(
    "the worker of one VM is silent and an old list says that it is off"
)
def silence_old_list(context):
    context.list_read = context.bench.now - 1.0
    silence_one(context, lost=True, worker="")


@behave.then("its tasks run on the other VMs within {seconds:g} s")
def check_elsewhere(context, seconds):
    pass_time(context, seconds)
    for task in context.tasks:
        (run,) = task.runs.values()
        assert run.worker != context.lost, run.worker


@behave.then("its tasks run on no other VM within {seconds:g} s")
def check_kept(context, seconds):
    pass_time(context, seconds)
    for task in context.tasks:
        (run,) = task.runs.values()
        assert run.worker == context.lost, run.worker


@behave.when("the workers of {count:d} VMs are silent for 2 s")
def silence_many(context, count):
    pass_time(context, 0.5)
    assert not context.moves, context.moves
    context.silent = set(context.names[:count])
    pass_time(context, 2.0)


@behave.then("{count:d} VMs are ordered, for what runs, growth and a reserve")
def check_ordered(context, count):
    coming = [move for move in context.moves if move.pool == models.POOL]
    assert len(coming) == count, context.moves


@behave.when("2 VMs of a hall with 4 of the spare VMs are silent for 2 s")
def silence_hall(context):
    pass_time(context, 0.5)
    context.cut = {"s0", "s1", "s2", "s3"}
    for name in context.names[:2]:
        entry = context.bench.cluster.workers[name].entry
        context.bench.cluster.set_entry(
            fleet.Entry(
                **{
                    field: getattr(entry, field)
                    for field in entry.__slots__
                    if field != "hall"
                },
                hall="cut",
            )
        )
    for name in context.cut:
        context.listed[name] = vms.list_vm(
            name, pool=vms.SPARE, worker="", hall="cut"
        )
    context.silent = set(context.names[:2])
    pass_time(context, 2.0)


@behave.then("2 VMs of other halls move to the pool")
def check_other_halls(context):
    moved = {move.vm for move in context.moves}
    assert len(moved) == 2, moved
    assert not moved & context.cut, moved


@behave.when(
    "the runs of one worker get on at {speed:d} % of the others' speed"
)
def slow_one(context, speed):
    bench = context.bench
    context.slow = busiest(context)
    for tick in range(1, 11):
        bench.now += TICK_S
        for name in context.names:
            part = speed / 100 if name == context.slow else 1.0
            percent = int(USUAL_RATE * tick * TICK_S * part)
            for placed in runs_of(context, name):
                placed.run.percent = percent - 1
            bench.report(name, bench.rows(name))
        bench.planner.stop_and_release(bench.now, bench.now)


@behave.then("{count:d} of its 2 runs are stopped to start elsewhere")
def check_stopped(context, count):
    stopped = [
        placed
        for name in context.names
        for placed in runs_of(context, name)
        if placed.run.stop_wanted
    ]
    assert len(runs_of(context, context.slow)) == 2
    assert len(stopped) == count, stopped
    assert {placed.run.worker for placed in stopped} <= {context.slow}


@behave.when("pools are short")
def make_short(context):
    context.short = True


@behave.then("no VM is closed while the wave can still be in time, but later")
def check_waits(context):
    (state,) = context.maintenance.waves.values()
    began = context.bench.now
    closed_at = None
    while closed_at is None:
        context.bench.now += TICK_S
        context.maintenance.decide(context.bench.now, short=True)
        if state.closed:
            closed_at = context.bench.now - began
    aim = maintenance.PLANNED_PART * state.wave.duration
    rounds = -(-len(state.wave.vms) // state.wave.most_away)
    needed = (rounds - 1) * maintenance.AWAY_S + maintenance.CYCLE_S
    assert abs(closed_at - (aim - needed)) <= 2 * TICK_S, closed_at


@behave.when("a wave over the spare VMs bears 5 away and has much time")
def begin_spare_wave(context):
    spares = tuple(name for name in context.listed if name.startswith("s"))
    wave = fleet.Wave(number=1, vms=spares, duration=1000.0, most_away=5)
    context.maintenance.add_wave(wave, context.bench.now)
    context.maintenance.take_list(
        list(context.listed.values()), context.bench.now
    )
    context.orders = context.maintenance.decide(context.bench.now)


@behave.then("{count:d} VMs are maintained at once")
def check_maintained(context, count):
    assert len(context.orders) == count, context.orders


@behave.when("a new owner takes over and 2 of them were ordered just before")
def restore_wave(context):
    context.ordered = context.vms[:2]
    context.maintenance.restore(1, context.ordered, [], context.bench.now)
    context.maintenance.held = frozenset(context.ordered)


@behave.then("no other VM is maintained before those are back")
def check_counted(context):
    bench, planner = context.bench, context.maintenance
    bench.now += 30.0
    assert not planner.decide(bench.now)
    # The platform carries the orders out only now.
    planner.held = frozenset()
    planner.take_list(
        [vms.list_vm(vm, up=vm not in context.ordered) for vm in context.vms],
        bench.now,
    )
    assert not planner.decide(bench.now)
    planner.take_list([vms.list_vm(vm) for vm in context.vms], bench.now)
    assert planner.decide(bench.now)


@behave.given(
    'an incarnation "{name}" on the VM "{vm}", last heard at {heard:d} s'
)
def make_incarnation(context, name, vm, heard):
    context.incarnation = (name, vm, float(heard))


@behave.given(
    'an incarnation "{name}" on the VM "", last heard at {heard:d} s'
)
def make_incarnation_without_vm(context, name, heard):
    context.incarnation = (name, "", float(heard))


@behave.when("lists read at {first:d} s and {second:d} s name {what}")
def take_lists(context, first, second, what):
    name = context.incarnation[0]
    worker = name if what.startswith("the incarnation") else ""
    listed = {"m-2": vms.list_vm("m-2", worker=worker)}
    context.listings = listings.Listings()
    for read in (first, second):
        context.listings.update(listed, float(read), {name})


@behave.then("the incarnation is not proved over")
def check_not_proved(context):
    name, vm, heard = context.incarnation
    began = float("-inf")
    assert not context.listings.prove_over(name, vm, began=began, alive=heard)
