"""Steps about workers that accept no other job beside an isolated run."""

from __future__ import annotations

import behave

from features import job_bench as benches
from features import job_models as models
from features.steps import isolation_steps
from features.steps import reservation_steps
from rackvalve.jobs import definition
from rackvalve.manager import timing
from rackvalve.scheduling import blockers
from rackvalve.scheduling import demand

FULL = f"{8:016x}"
OTHER = f"{9:016x}"


@behave.given(
    "a task under which {count:d} workers have crashed, at an age of "
    "{age:g} s at the most, beside {full:d} full workers"
)
def make_last(context, count, age, full):
    names = [f"w{number}" for number in range(1 + full)]
    context.bench = bench = benches.Bench(names)
    step = definition.Step(
        tasks=full, cpu=models.CAPACITY.cpu, lasting=True, most_per_worker=1
    )
    if full:
        bench.add(step, identity=FULL)
        bench.start_all()
    step = definition.Step(tasks=1, cpu=1, lasting=True)
    context.state = bench.add(step)
    isolation_steps.count_crashes(bench, context.state, count, age=age)
    (context.order,) = bench.start_all()
    step = definition.Step(tasks=1, cpu=1)
    context.others = bench.add(step, identity=OTHER)
    context.began = bench.now


@behave.when("it has worked alone for {seconds:g} s beside others that wait")
def work_alone(context, seconds):
    context.orders = work_until(context, seconds)


def work_until(context, seconds):
    """Have all runs work for some time, and start what waits."""
    bench = context.bench
    for worker in bench.cluster.workers.values():
        worker.note_extension(bench.now, 2 * seconds)
    bench.now = context.began + seconds
    for name in bench.numbers:
        bench.report(name, bench.rows(name))
    return bench.start_all()


@behave.then("nothing else starts on its worker")
def check_nothing(context):
    assert not context.orders, context.orders


@behave.then("others do once it has worked for {seconds:g} s")
def check_others(context, seconds):
    orders = work_until(context, seconds)
    assert [order.worker for order in orders] == [context.order.worker]


@behave.when("the only worker that accepts other jobs {how}")
def lose_open(context, how):
    (name,) = context.bench.numbers.keys() - {context.order.worker}
    worker = context.bench.cluster.workers[name]
    reservation_steps.lose(context, worker, how)
    if how == "crashes":
        del context.bench.numbers[name]


@behave.then("others start beside it")
def check_beside(context):
    found = {(order.job, order.worker) for order in context.orders}
    assert found == {(OTHER, context.order.worker)}, context.orders


@behave.then("the pool needs a VM more than the 1 that it keeps")
def check_more(context):
    found = demand.measure_isolation(context.bench.cluster)
    assert found == {models.POOL: 2}, found


@behave.then("a crash of its worker then doesn't count in isolation")
def check_not_isolated(context):
    context.bench.end_incarnation(context.order.worker)
    (task,) = context.state.tasks.values()
    assert (task.crashes, task.isolated_crashes) == (5, 0)


@behave.then(
    "the others are told to have no worker with room, and the worker to be "
    "kept"
)
def check_reason(context):
    bench = context.bench
    finder = blockers.BlockerFinder(
        bench.cluster, bench.planner, bench.now, timing.FRESHNESS_S
    )
    found = finder.find(context.others, context.others.waiting, ())
    assert found.cause is blockers.Cause.NO_ROOM, found
    counts = finder.pool(models.POOL).counts
    expected = {
        blockers.Availability.RESERVED: 1,
        blockers.Availability.TAKING: 1,
    }
    assert counts == expected, counts
