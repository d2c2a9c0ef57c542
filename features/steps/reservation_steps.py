"""Steps about workers reserved for tasks that must start alone."""

from __future__ import annotations

import dataclasses

import behave

from features import job_bench as benches
from features import job_models as models
from rackvalve.jobs import definition
from rackvalve.scheduling import demand
from rackvalve.scheduling import messages
from rackvalve.scheduling import queues

OTHER = f"{9:016x}"
SPREAD = definition.Step(tasks=3, cpu=1, most_per_worker=1, lasting=True)
# Steps of suspects that cannot start on two workers with one free core each.
STEPS = {
    "lasting tasks take the room of each worker": definition.Step(
        tasks=1, cpu=2
    ),
    "no worker has its label": definition.Step(
        tasks=1, cpu=1, labels=("kind",)
    ),
    "no worker is admitted": definition.Step(tasks=1, cpu=1),
    "its gang is larger than the pool": definition.Step(
        tasks=9, cpu=1, gang=True
    ),
    "its gang needs a worker for each task": definition.Step(
        tasks=3, cpu=1, gang=True, most_per_worker=1
    ),
}


@behave.given("a task that must start alone and cannot start: {why}")
def make_unplaceable(context, why):
    if "of its step" in why:
        names = ["w0"] if "only" in why else ["w0", "w1"]
        context.bench = bench = benches.Bench(names)
        step = dataclasses.replace(SPREAD, tasks=len(names) + 1)
        context.state = bench.add(step)
        bench.start_all()
    else:
        context.bench = bench = benches.Bench(["w0", "w1"])
        lasting = definition.Step(
            tasks=6, cpu=1, lasting=True, most_per_worker=3
        )
        bench.add(lasting, identity=f"{8:016x}")
        bench.start_all()
        context.state = bench.add(STEPS[why])
    if "admitted" in why:
        admit_none(bench)
    for name in context.state.waiting:
        task = context.state.tasks[name]
        task.crashes, task.time_to_crash = 3, 0.5
        task.youngest_crashes, task.not_before = 1, bench.now
        context.state.suspects.add(name)


def admit_none(bench):
    """Let an admission service admit the job of the suspect nowhere."""
    cluster = bench.cluster
    queue = dataclasses.replace(
        models.QUEUE,
        name="asking",
        prefix="/a/",
        admission=queues.AdmissionLimits(
            decide_time=0.0, worker_time=0.0, valid=10.0
        ),
    )
    cluster.queues["asking"] = queue
    cluster.jobs[benches.IDENTITY].queue = "asking"


@behave.when("others wait and what waits is planned")
def plan_beside_others(context):
    bench = context.bench
    bench.now += 0.1
    context.other = bench.add(definition.Step(tasks=1, cpu=1), identity=OTHER)
    context.orders = bench.start_all()


@behave.then("no worker is reserved, and others start")
def check_open(context):
    bench = context.bench
    assert not bench.planner.list_reserved(models.POOL)
    assert OTHER in {order.job for order in context.orders}, context.orders
    assert context.state.waiting


def lose(context, worker, how):
    """Let a worker accept no more work."""
    bench = context.bench
    if how == "crashes":
        bench.end_incarnation(worker.identity)
    elif how == "drains":
        worker.set_entry(dataclasses.replace(worker.entry, draining=True))
    elif how == "is closed":
        worker.close_reason = "closed as surplus"
    else:
        worker.set_evacuated(frozenset({worker.entry.hall}))


@behave.when("the first worker {how}, and others wait")
def lose_first(context, how):
    bench = context.bench
    bench.plan()
    assert bench.planner.list_reserved(models.POOL)
    lose(context, bench.cluster.workers["w0"], how)
    bench.report("w1", bench.rows("w1"))
    left = [order for order in context.orders if order.worker == "w1"]
    bench.end(left[0], messages.Ending.DONE)
    context.orders = bench.start_all()


@behave.then("no worker is reserved, and others start on the second")
def check_second(context):
    assert not context.bench.planner.list_reserved(models.POOL)
    found = {(order.job, order.worker) for order in context.orders}
    assert found == {(OTHER, "w1")}, context.orders


@behave.then("the pool needs {count:d} VMs")
def check_need(context, count):
    found = demand.measure_isolation(context.bench.cluster)
    assert found == {models.POOL: count}, found
