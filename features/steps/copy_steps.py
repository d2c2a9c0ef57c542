"""Steps about second runs of tasks on silent workers."""

from __future__ import annotations

import behave

from features import job_models as models
from features.steps import bound_steps as bounds
from rackvalve.jobs import progress
from rackvalve.scheduling import messages


@behave.when(
    "a job of {tasks:d} tasks that bears {copies} runs, and its worker falls "
    "silent"
)
def run_and_silence(context, tasks, copies):
    bench = context.bench
    step = bounds.make_step(tasks, 1, copies_allowed=copies == "copies")
    context.state = bounds.add(bench, "north", step)
    context.orders = bench.start_all()
    context.silent = {order.worker for order in context.orders}
    assert len(context.orders) == tasks and len(context.silent) == 1


def list_runs(context):
    return [
        run
        for task in context.state.tasks.values()
        for run in task.runs.values()
    ]


@behave.then(
    "{count:d} copies start after {seconds:f} s on other workers, and no more "
    "of them"
)
def check_copies(context, count, seconds):
    before = len(list_runs(context))
    assert bounds.advance(context.bench, seconds, context.silent) == count
    bounds.advance(context.bench, 0.5, context.silent)
    found = list_runs(context)
    assert len(found) == before + count, found
    copies = [run for run in found if run.worker not in context.silent]
    assert len(copies) == count


@behave.then("nothing starts within {seconds:f} s")
def check_nothing(context, seconds):
    assert bounds.advance(context.bench, seconds, context.silent) == 0


@behave.when("the copy ends well")
def end_copy(context):
    (copy,) = [r for r in list_runs(context) if r.worker not in context.silent]
    worker = context.bench.cluster.workers[copy.worker]
    (placed,) = worker.runs.values()
    bounds.end_run(context.bench, placed, messages.Ending.DONE)


@behave.then("the job is completed and the first run is told to stop")
def check_stopped(context):
    assert context.state.phase is progress.Phase.COMPLETED
    (stop,) = context.bench.stops()
    assert stop.worker in context.silent


@behave.when(
    "a new owner knows {count:d} runs that bear copies on a worker it has not "
    "heard"
)
def inherit(context, count):
    bounds.take_over(context, count, copies_allowed=True)
    context.state = next(iter(context.bench.cluster.jobs.values()))
    context.silent = {"gone"}
    assert context.state.queue == models.QUEUE.name
