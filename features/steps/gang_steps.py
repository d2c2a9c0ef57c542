"""Steps about gangs: checkpoints, and members that start or not."""

from __future__ import annotations

import behave

from features import job_bench as benches
from features import job_cores as cores
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve.scheduling import messages
from rackvalve.scheduling import start_results

STEP = definition.Step(
    tasks=3, cpu=1, gang=True, checkpoints=True, most_per_worker=1
)
MAX_ROUNDS = 5


def name_task(order):
    return f"{order.job}.{order.task}"


def report(bench, worker, running=(), ended=()):
    """Have a worker report runs, with checkpoints and progress."""
    rows = []
    for order, ending, checkpoint in ended:
        bench.numbers[worker] += 1
        rows.append(
            messages.EndedRow(
                number=bench.numbers[worker],
                task=name_task(order),
                run=order.run,
                ending=ending,
                cause=ending.value,
                checkpoint=checkpoint,
            )
        )
    bench.now += 0.01
    bench.handler.apply(
        bench.cluster.workers[worker],
        messages.Report(
            sent=bench.now,
            running=tuple(
                messages.RunningRow(
                    task=name_task(order),
                    run=order.run,
                    checkpoint=checkpoint,
                    percent=float(percent),
                    load=0.0,
                )
                for order, checkpoint, percent in running
            ),
            ended=tuple(rows),
        ),
        now=bench.now,
        wall=bench.now,
    )


def start(context):
    """Have the members start, on a bench of three workers."""
    context.bench = bench = benches.Bench(["w0", "w1", "w2"])
    context.state = bench.add(STEP)
    context.orders = bench.start_all()
    assert len(context.orders) == 3


def tell(context, percents):
    for order, percent in zip(context.orders, percents, strict=True):
        text = f"saved-{order.worker}-{percent}" if percent else ""
        report(context.bench, order.worker, [(order, text, percent)])


@behave.given(
    "a gang of 3 at work on 3 workers, with checkpoints at 40, 60 and 50 %"
)
def start_saving(context):
    start(context)
    tell(context, (40, 60, 50))


@behave.given(
    "a gang of 3 at work on 3 workers, of which {who} have told a checkpoint"
)
def start_telling(context, who):
    start(context)
    tell(context, (0, 0, 0) if who == "none" else (0, 30, 30))


@behave.given("a gang of 3 that is being started on 3 workers")
def start_unconfirmed(context):
    context.bench = bench = benches.Bench(["w0", "w1", "w2"])
    context.state = bench.add(STEP)
    bench.plan()
    context.orders = bench.starts()
    for order in context.orders[1:]:
        bench.confirm(order)


def crash(context, order):
    """Let a member's worker crash; a new one comes in its place."""
    bench = context.bench
    bench.end_incarnation(order.worker)
    del bench.numbers[order.worker]
    name = f"n{len(bench.cluster.workers)}-{order.run}"
    add_worker(bench, name)


def add_worker(bench, name):
    fresh = benches.Bench([name])
    bench.cluster.set_entry(fresh.cluster.workers[name].entry)
    bench.numbers[name] = 0
    report(bench, name)


def break_rest(context, besides, checkpoint=""):
    """Have the other members' workers tell that the run is over."""
    for order in context.orders:
        if order not in besides:
            report(
                context.bench,
                order.worker,
                ended=[(order, messages.Ending.CUT_SHORT, checkpoint)],
            )


@behave.when("its run ends by {what}")
def end_run(context, what):
    first, second, third = context.orders
    if "failure" in what:
        ended = [(second, messages.Ending.FAILED, "")]
        report(context.bench, second.worker, ended=ended)
        break_rest(context, [second])
    elif "stop" in what:
        saved = "saved-at-stop"
        report(context.bench, third.worker, [(third, "", 70)])
        ended = [(third, messages.Ending.CUT_SHORT, saved)]
        report(context.bench, third.worker, ended=ended)
        context.expected = saved
        break_rest(context, [third])
    elif "late" in what:
        crash(context, first)
        break_rest(context, [first, third])
        assert not context.bench.start_all()
        context.expected = "saved-late"
        report(context.bench, third.worker, [(third, "saved-late", 70)])
        break_rest(context, [first, second])
    else:
        lost = second if "second" in what else first
        crash(context, lost)
        break_rest(context, [lost])


@behave.when(
    "the next run saves at {percent:d} % on one worker and ends by a crash"
)
def save_next(context, percent):
    context.orders = context.bench.start_all()
    first, second, _ = context.orders
    text = f"saved-again-{percent}"
    report(context.bench, second.worker, [(second, text, percent)])
    context.expected = text
    crash(context, first)
    break_rest(context, [first])


def take_over(context, listed=()):
    """Have a new owner read the record; some workers list their runs."""
    bench, old = context.bench, context.state
    payload = records.encode_progress(old)
    made = cores.make_cores(bench.now, inherited_lease=0.5)
    names = list(bench.numbers)
    bench.cluster, bench.handler = made.cluster, made.handler
    bench.planner = made.planner
    state = progress.JobState(old.identity, "queue", old.job, 0.0)
    records.decode_progress(state, payload, bench.now)
    bench.cluster.add_job(state, bench.now, bench.now)
    context.state = state
    for name in names:
        fresh = benches.Bench([name])
        bench.cluster.set_entry(fresh.cluster.workers[name].entry)
        own = [(order, "", 0) for order in listed if order.worker == name]
        report(bench, name, own)


@behave.when("the owner is killed once the next run is recorded")
def kill_recorded(context):
    context.bench.plan()
    saved = {task.checkpoint for task in context.state.tasks.values()}
    assert len(saved) == 1, saved
    take_over(context)


@behave.when("the owner is killed before the next run is planned")
def kill_unplanned(context):
    take_over(context)


@behave.when("the owner is killed when one member of the next run has started")
def kill_between(context):
    context.bench.plan()
    context.started = context.bench.starts()[0]
    take_over(context, [context.started])


@behave.then("that member is stopped at once")
def check_stopped(context):
    stops = context.bench.stops()
    started = context.started
    found = {(stop.task, stop.run) for stop in stops}
    assert (name_task(started), started.run) in found, stops
    assert {stop.run for stop in stops} == {started.run}, stops
    ended = [(started, messages.Ending.CUT_SHORT, "")]
    report(context.bench, started.worker, ended=ended)


@behave.then("all members start from the checkpoint at {percent:d} %")
def check_newest(context, percent):
    check_one(context)
    expected = getattr(context, "expected", f"saved-w1-{percent}")
    expected = {expected, expected.replace("w1", context.orders[1].worker)}
    assert context.brought in expected, (context.brought, expected)


@behave.then("all members start from the beginning")
def check_afresh(context):
    check_one(context)
    assert context.brought == ""


@behave.then("all members start from a checkpoint")
def check_some(context):
    check_one(context)
    assert context.brought.startswith("saved-"), context.brought


def check_one(context):
    """Start the members, and check that they bring one checkpoint."""
    bench = context.bench
    orders = bench.start_all()
    assert len(orders) == 3, (orders, context.state.waiting)
    assert len({order.run for order in orders}) == 1
    brought = {bench.placed(order).run.checkpoint for order in orders}
    assert len(brought) == 1, brought
    (context.brought,) = brought


@behave.when("one worker {does} its start")
def fail_start(context, does):
    bench, order = context.bench, context.orders[0]
    if "crashed" in does:
        crash(context, order)
        return
    result = messages.StartResult.NO_ROOM
    if "unwell" in does:
        result = messages.StartResult.UNWELL
    start_results.apply_start_result(
        bench.cluster,
        bench.placed(order),
        result,
        uncertain=False,
        now=bench.now,
    )


@behave.then("the other members are stopped at once")
def check_others_stopped(context):
    _, *others = context.orders
    found = {(stop.task, stop.run) for stop in context.bench.stops()}
    assert found == {(name_task(one), one.run) for one in others}, found
    break_rest(context, context.orders[:1])


@behave.then("all members start again with one number")
def check_again(context):
    context.bench.now += start_results.REJECTED_RETRY_DELAY_S
    check_one(context)


@behave.when("the worker of one member crashes")
def crash_member(context):
    crash(context, context.orders[0])


@behave.then("no stop is ordered")
def check_no_stop(context):
    assert not context.bench.stops()


@behave.when(
    "the first member tells a checkpoint before the others have started"
)
def tell_early(context):
    first = context.orders[1]
    report(context.bench, first.worker, [(first, "saved-early", 10)])


@behave.then("the orders of the others are as they were")
def check_orders(context):
    for order in context.orders:
        assert context.bench.placed(order).run.checkpoint == ""


@behave.when("a member tells a checkpoint at {percent} %")
def tell_odd_progress(context, percent):
    order = context.orders[1]
    report(context.bench, order.worker, [(order, "saved-odd", percent)])


@behave.then("the next owner can read the record")
def check_readable(context):
    take_over(context)
    checkpoints = {task.checkpoint for task in context.state.tasks.values()}
    assert "saved-odd" in checkpoints, checkpoints
