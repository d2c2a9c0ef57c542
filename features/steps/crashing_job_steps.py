"""Steps about jobs that run the same as a job that failed for crashes."""

from __future__ import annotations

import behave

from features import job_bench as benches
from features.steps import crash_steps
from features.steps import isolation_steps
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import attribution
from rackvalve.scheduling import messages


def submit(bench, number, spec="x", **fields):
    """Submit a job of one task."""
    state = progress.JobState(
        f"{number:016x}",
        "queue",
        definition.Job(
            spec=spec, steps=(definition.Step(tasks=1, cpu=1, **fields),)
        ),
        bench.now,
    )
    bench.cluster.add_job(state, bench.now, bench.now)
    return state


@behave.given("{count:d} workers, and a job that was given up for {what}")
def make_failed(context, count, what):
    context.bench = bench = benches.Bench([f"w{n}" for n in range(count)])
    context.made = 0
    context.failed_job = state = submit(bench, 1)
    if what == "failures":
        bench.cluster.finish_job(
            state, progress.Phase.FAILED, bench.now, "its task failed"
        )
        return
    isolation_steps.count_crashes(bench, state, 2)
    bench.cluster.owned_since = bench.now - attribution.LEARNING_S
    while not state.is_final:
        # The decision is made some time after the crash.
        bench.now += 0.1
        isolation_steps.report_all(bench)
        for order in bench.start_all():
            bench.now += isolation_steps.PROOF_S
            isolation_steps.replace_worker(context, order.worker)


@behave.when("one that runs {what} is handed in beside others")
def submit_matching(context, what):
    bench = context.bench
    spec = "x" if what == "the same" else "y"
    context.matching = submit(bench, 2, spec)
    others = progress.JobState(
        f"{9:016x}",
        "queue",
        definition.Job(spec="z", steps=(definition.Step(tasks=100, cpu=1),)),
        bench.now,
    )
    bench.cluster.add_job(others, bench.now, bench.now)
    context.orders = bench.start_all()


def find_neighbours(context, state):
    (order,) = [
        order for order in context.orders if order.job == state.identity
    ]
    context.order = order
    return [
        other
        for other in context.orders
        if other.worker == order.worker and other is not order
    ]


@behave.then("it starts {where}")
def check_where(context, where):
    neighbours = find_neighbours(context, context.matching)
    assert bool(neighbours) == (where == "beside others"), neighbours


@behave.when("the worker crashes that it runs on")
def crash_matching(context):
    find_neighbours(context, context.matching)
    context.bench.now += isolation_steps.PROOF_S
    isolation_steps.replace_worker(context, context.order.worker)
    context.bench.now += attribution.SETTLING_S
    context.bench.plan()


@behave.then("it is given up, and its reason names one crash")
def check_given_up_at_once(context):
    assert context.matching.phase is progress.Phase.FAILED
    assert context.matching.reason.startswith("1 workers crashed under task")


@behave.when("it ends well")
def end_well(context):
    find_neighbours(context, context.matching)
    context.bench.end(context.order, messages.Ending.DONE)


@behave.then("the next one that runs the same starts beside others")
def check_next(context):
    state = submit(context.bench, 3)
    assert not state.known_time_to_crash, state.known_time_to_crash


@behave.when(
    "a new owner reads its record, and then one that runs the same comes"
)
def read_failed(context):
    context.failed_job = crash_steps.hand_over(
        context.bench, context.failed_job
    )
    context.matching = submit(context.bench, 2)


@behave.then("that one is known to run the same")
def check_matching(context):
    assert context.matching.known_time_to_crash > 0


@behave.then("it is forgotten with the records of the first")
def check_forgotten(context):
    cluster = context.bench.cluster
    cluster.crash_history.crashing_jobs.forget(context.failed_job)
    assert not submit(context.bench, 3).known_time_to_crash
