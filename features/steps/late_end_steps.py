"""Steps about ends that are reported after their runs were released."""

from __future__ import annotations

import behave

from features import job_bench as benches
from features import job_cores as cores
from features import job_models as models
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve.scheduling import messages

FAILED = messages.Ending.FAILED
# Longer than any lease lasts, in seconds.
LEASE_OVER_S = 10.0


@behave.given("a task whose first run was on a worker that fell silent")
def fall_silent(context):
    context.bench = bench = benches.Bench(["w1", "w2"])
    context.state = bench.add(definition.Step(tasks=1, cpu=1))
    (context.lost,) = bench.start_all()
    bench.now += LEASE_OVER_S
    context.other = "w2" if context.lost.worker == "w1" else "w1"
    bench.report(context.other)


@behave.given("whose lease was over, so that it runs elsewhere")
def start_elsewhere(context):
    (context.order,) = context.bench.start_all()
    assert context.order.worker == context.other


@behave.given("the next owner has read its record")
def change_owner(context):
    bench, old = context.bench, context.state
    payload = records.encode_progress(old)
    made = cores.make_cores(bench.now, inherited_lease=5.0)
    bench.cluster, bench.handler = made.cluster, made.handler
    bench.planner = made.planner
    for name in bench.numbers:
        worker = models.FakeWorker(models.World(), name, models.Rules(), 1.0)
        bench.cluster.set_entry(worker.entry())
    state = progress.JobState(old.identity, "queue", old.job, 0.0)
    records.decode_progress(state, payload, bench.now)
    bench.cluster.add_job(state, bench.now, bench.now)
    context.state = state


@behave.when("the first worker answers again and tells that its run failed")
def report_late(context):
    lost = context.lost
    ended = [(f"{lost.job}.{lost.task}", lost.run, FAILED)]
    context.bench.report(lost.worker, ended=ended)


@behave.when("it tells so once more to the next owner")
def report_twice(context):
    change_owner(context)
    context.bench.numbers[context.lost.worker] = 0
    report_late(context)


@behave.then("{count:d} failure counts against the task")
def check_failures(context, count):
    (task,) = context.state.tasks.values()
    assert task.failures == count, task.failures


@behave.given("a gang of {count:d} tasks at work on {workers:d} workers")
def make_gang(context, count, workers):
    context.bench = benches.Bench([f"w{n}" for n in range(workers)])
    step = definition.Step(
        tasks=count, cpu=1, gang=True, most_per_worker=count // workers
    )
    context.state = context.bench.add(step)
    context.orders = context.bench.start_all()
    assert len(context.orders) == count


@behave.when("one worker crashes and the other tells the good end {when}")
def crash_one(context, when):
    bench = context.bench
    first, second = context.orders
    if when == "before":
        bench.end(second, messages.Ending.DONE)
    bench.end_incarnation(first.worker)
    if when == "after":
        bench.end(second, messages.Ending.DONE)


@behave.then("the job is completed, and nothing of it starts again")
def check_completed(context):
    assert context.state.phase is progress.Phase.COMPLETED
    assert not context.bench.start_all()
