"""Steps about the sizes of pools."""

from __future__ import annotations

import dataclasses

import behave

from features import job_bench as benches
from features import job_models as models
from features import vm_bench as vms
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import fleet
from rackvalve.scheduling import forecast
from rackvalve.scheduling import sizing


@behave.given("a pool of {count:d} VMs and {spares:d} spare VMs")
def make_sizing(context, count, spares):
    vms.make_sizing(context, count, spares)


@behave.given(
    "a pool of {count:d} VMs, all of them busy, and {spares:d} spare VMs"
)
def make_busy_pool(context, count, spares):
    vms.make_sizing(context, count, spares)
    # As much demand as makes the pool keep all its VMs.
    busy = int((count - sizing.RESERVE_VMS) / sizing.HEADROOM)
    context.bench.add(definition.Step(tasks=busy, cpu=vms.WIDE.cpu))
    context.bench.start_all()
    assert not vms.step_sizing(context, 1.0)


@behave.when("a wave closes {count:d} of its VMs")
def close_vms(context, count):
    wave = fleet.Wave(
        number=1,
        vms=tuple(context.names[:count]),
        duration=60.0,
        most_away=count,
    )
    context.maintenance.add_wave(wave, context.bench.now)
    context.maintenance.waves[1].closed.update(wave.vms)
    context.moves = vms.step_sizing(context, 0.5)


@behave.when("work for {count:d} VMs waits")
def add_work(context, count):
    context.state = context.bench.add(
        definition.Step(tasks=count, cpu=vms.WIDE.cpu)
    )
    context.moves = vms.step_sizing(context, 0.5)


@behave.then("{count:d} VMs move to the pool")
def check_grown(context, count):
    assert len(context.moves) == count
    assert {move.pool for move in context.moves} == {models.POOL}
    for move in context.moves:
        context.listed[move.vm] = vms.list_vm(move.vm)
        context.names.append(move.vm)
        context.bench.numbers[move.vm] = 0
        context.bench.cluster.set_entry(
            models.FakeWorker(
                models.World(), move.vm, models.Rules(), 1.0
            ).entry()
        )


@behave.when("the work is done and some time has passed")
def finish_work(context):
    context.bench.cluster.cancel_job(benches.IDENTITY, context.bench.now)
    context.moves = vms.step_sizing(
        context, forecast.PEAK_WINDOW_S + sizing.MIN_STAY_S + 1.0
    )


@behave.then("the pool goes back to {count:d} VMs")
def check_shrunk(context, count):
    assert {move.pool for move in context.moves} == {vms.SPARE}, context.moves
    assert len(context.names) - len(context.moves) == count
    assert count == sizing.MIN_POOL_VMS


@behave.when("a job for {count:d} VMs comes")
def add_wide_job(context, count):
    vms.step_sizing(context, forecast.RISE_WINDOW_S)
    context.bench.add(definition.Step(tasks=count, cpu=vms.WIDE.cpu))
    vms.step_sizing(context, 0.1)


@behave.then("the pool is expected to need {count:d} VMs")
def check_not_rising(context, count):
    size = context.sizing.pools[models.POOL]
    assert size.forecast.predict(context.bench.now) == count


@behave.when("{count:d} jobs for 1 VM come each 0.1 s for 0.8 s")
def add_rising_work(context, count):
    context.moves = vms.step_sizing(context, forecast.RISE_WINDOW_S)
    began = context.bench.now
    for number in range(8 * count):
        context.bench.add(
            definition.Step(cpu=vms.WIDE.cpu), identity=f"{number:016x}"
        )
        if number % count == count - 1:
            context.moves.extend(vms.step_sizing(context, 0.1))
    context.arrived_jobs = 8 * count
    context.rate = context.arrived_jobs / (context.bench.now - began)


@behave.then("VMs for {part:d} % of what will come in 1.6 s are on their way")
def check_expected(context, part):
    ordered = len(context.names) + len(context.moves)
    coming = (
        context.arrived_jobs + part / 100 * context.rate * forecast.LEAD_TIME_S
    )
    assert abs(ordered - coming) <= 5, (ordered, coming)


@behave.then(
    "the pool goes back to {count:d} VMs and each of the {tasks:d} tasks has "
    "a place"
)
def check_spread(context, count, tasks):
    bench, gone = context.bench, set()
    for _ in range(8):
        gone |= {
            move.vm
            for move in vms.step_sizing(context, forecast.PEAK_WINDOW_S)
        }
        for order in bench.stops():
            bench.cluster.orders.remove(order)
            placed = bench.placed_run(order)
            bench.cluster.release(placed, bench.now)
        for name in gone:
            bench.cluster.workers[name].close_reason = sizing.SURPLUS
        bench.start_all()
    assert len(context.names) - len(gone) == count, gone
    placed = [run for t in context.state.tasks.values() for run in t.runs]
    assert len(placed) == tasks and not context.state.waiting


@behave.when("it gives a VM away and at once lacks room")
def release_and_add_work(context):
    moves = vms.step_sizing(context, forecast.PEAK_WINDOW_S + 1.0)
    assert moves
    context.gone = {move.vm for move in moves}
    context.bench.add(definition.Step(tasks=6, cpu=vms.WIDE.cpu))
    context.moves = vms.step_sizing(context, 0.5)


@behave.then("the worker of that VM is closed and is not taken back")
def check_closed(context):
    assert context.gone <= context.sizing.find_closures().keys()
    for vm in context.gone:
        assert context.bench.cluster.workers[vm].close_reason == sizing.SURPLUS
        assert not context.bench.cluster.workers[vm].takes_work(
            context.bench.now, 10.0
        )


@behave.then(
    "a worker that comes there meanwhile ends with the move, unless of the "
    "new pool"
)
def check_new_incarnations(context):
    cluster = context.bench.cluster
    (vm, *_) = context.gone
    known = cluster.workers[vm].entry
    cluster.closures.set(context.sizing.find_closures())
    for name, pool in (("old", known.pool), ("new", vms.SPARE)):
        cluster.set_entry(dataclasses.replace(known, identity=name, pool=pool))
    assert cluster.workers["old"].close_reason == sizing.SURPLUS
    assert not cluster.workers["new"].close_reason


@behave.when("work for {count:d} VMs has just ended there")
def end_work(context, count):
    context.bench.add(definition.Step(tasks=count, cpu=vms.WIDE.cpu))
    vms.step_sizing(context, forecast.RISE_WINDOW_S)
    context.bench.cluster.cancel_job(benches.IDENTITY, context.bench.now)


@behave.when("another pool lacks room")
def add_work_elsewhere(context):
    queue = dataclasses.replace(
        models.QUEUE, name="other-queue", pool=vms.OTHER
    )
    cluster = context.bench.cluster
    vms.make_pools(cluster, vms.OTHER)
    cluster.set_configuration(
        dataclasses.replace(
            cluster.configuration, queues=(models.QUEUE, queue)
        )
    )
    cluster.set_entry(
        dataclasses.replace(
            cluster.workers[context.names[0]].entry,
            identity="o0",
            vm="o0",
            pool=vms.OTHER,
        )
    )
    context.listed["o0"] = vms.list_vm("o0", pool=vms.OTHER)
    context.bench.numbers["o0"] = 0
    context.names.append("o0")
    state = progress.JobState(
        "f" * 16,
        "other-queue",
        definition.Job(
            spec="x", steps=(definition.Step(tasks=8, cpu=vms.WIDE.cpu),)
        ),
        context.bench.now,
    )
    cluster.add_job(state, context.bench.now, context.bench.now)
    context.moves = vms.step_sizing(context, 1.0)


@behave.then("empty VMs of the first pool move to the other")
def check_direct(context):
    assert len(context.moves) == 6 - sizing.MIN_POOL_VMS
    assert {move.pool for move in context.moves} == {vms.OTHER}
