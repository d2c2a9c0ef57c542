"""Steps about durable jobs: their lifecycle, placement, and histories."""

from __future__ import annotations

import behave

from features import job_bench as benches
from features import job_history as histories
from features import job_models as models
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve.manager import timing
from rackvalve.scheduling import eviction
from rackvalve.scheduling import fleet
from rackvalve.scheduling import messages
from rackvalve.scheduling import start_results

HISTORY_STEPS = 300
ONE = definition.TaskName(repetition=0, step=0, index=0)


def make_steps(first, second):
    return (
        definition.Step(tasks=first, cpu=1),
        definition.Step(tasks=second, cpu=1, after=(0,)),
    )


@behave.when("{count:d} generated job histories run")
def run_histories(context, count):
    context.violations = histories.explore(
        count, HISTORY_STEPS, models.Rules(), 1000
    )


@behave.when(
    "{count:d} generated job histories run beside a list up to {lag:g} s "
    "behind"
)
def run_beside_late_list(context, count, lag):
    context.violations = histories.explore(
        count, HISTORY_STEPS, models.Rules(lag=lag), 1000
    )


@behave.then("no promise to callers was broken")
def check_no_violation(context):
    assert not context.violations, context.violations


@behave.when("up to {count:d} job histories run without {part}")
def run_without(context, count, part):
    rules = models.Rules(**{part: False})
    context.violations = []
    for seed in range(1, count + 1):
        context.violations = histories.explore(1, HISTORY_STEPS, rules, seed)
        if context.violations:
            return


@behave.then("a promise to callers was broken")
def check_violation(context):
    assert context.violations


@behave.given("a job of {first:d} task and then {second:d} task")
@behave.given("a job of {first:d} tasks and then {second:d} task")
def make_job(context, first, second):
    context.bench = benches.Bench(["w1"])
    context.state = context.bench.add(*make_steps(first, second))


@behave.given("{count:d} workers and a job of 1 task and then 1 task")
def make_workers(context, count):
    context.bench = benches.Bench(
        [f"w{number}" for number in range(1, count + 1)]
    )
    context.state = context.bench.add(*make_steps(1, 1))


@behave.when("both first tasks are planned and one of them is done")
def finish_one(context):
    context.orders = context.bench.start_all()
    assert len(context.orders) == 2
    context.bench.end(context.orders[0], messages.Ending.DONE)


@behave.then("the last task does not wait yet")
def check_blocked(context):
    assert not context.state.waiting


@behave.when("the other first task is done")
def finish_other(context):
    context.bench.end(context.orders[1], messages.Ending.DONE)


@behave.then("the last task waits")
def check_waits(context):
    assert [str(name) for name in context.state.waiting] == ["0.1.0"]


@behave.when("its first task fails {count:d} times")
def fail_often(context, count):
    for number in range(count):
        assert not context.state.is_final, f"after {number} failures"
        (order,) = context.bench.start_all()
        context.bench.end(order, messages.Ending.FAILED)
        context.bench.now += 0.1
        context.bench.report("w1")


@behave.then("the job is failed and says which task failed")
def check_failed(context):
    assert context.state.phase is progress.Phase.FAILED
    assert "0.0.0" in context.state.reason


@behave.when("its first task fails once")
def fail_once(context):
    (context.order,) = context.bench.start_all()
    context.bench.end(context.order, messages.Ending.FAILED)


@behave.then("its next run is on the other worker")
def check_other(context):
    (order,) = context.bench.start_all()
    assert order.worker != context.order.worker


@behave.when("its first task makes no progress for {seconds:g} seconds")
def stall(context, seconds):
    (context.order,) = context.bench.start_all()
    bench = context.bench
    until = bench.now + seconds
    while bench.now < until:
        bench.now += 0.25
        for name in ("w1", "w2"):
            running = []
            if name == context.order.worker:
                running.append(
                    messages.RunningRow(
                        task=f"{benches.IDENTITY}.0.0.0",
                        run=context.order.run,
                        checkpoint="",
                        percent=10.0,
                        load=0.0,
                    )
                )
            bench.report(name, running)
    bench.planner.stop_and_release(bench.now, bench.now)


@behave.then("a stop is ordered")
def check_stop(context):
    assert len(context.bench.stops()) == 1


@behave.then("its next run is on the other worker once the stop is reported")
def check_restart(context):
    context.bench.plan()
    assert not context.bench.starts(), "started while the first may run"
    context.bench.end(context.order, messages.Ending.CUT_SHORT)
    check_other(context)


@behave.when("a new owner finds a recorded run that its worker does not list")
def take_over(context):
    (order,) = context.bench.start_all()
    payload = records.encode_progress(context.state)
    defined = records.encode_definition(context.state.job, 1000.0)
    context.bench = benches.Bench([])
    state = records.decode_definition("queue", benches.IDENTITY, defined)
    records.decode_progress(state, payload, context.bench.now)
    context.bench.cluster.add_job(state, 1000.0, 1000.0)
    assert not state.waiting, "may still run"
    context.before = order.run
    context.state = state
    context.bench.numbers["w1"] = 0
    context.bench.cluster.set_entry(
        models.FakeWorker(models.World(), "w1", models.Rules(), 1.0).entry()
    )
    context.bench.report("w1")


@behave.then("the task waits and its next run has a greater number")
def check_number(context):
    assert list(context.state.waiting) == [ONE]
    (order,) = context.bench.start_all()
    assert order.run > context.before


@behave.when("the worker of its first task falls silent")
def fall_silent(context):
    (context.order,) = context.bench.start_all()
    bench = context.bench
    silent = bench.cluster.workers[context.order.worker]
    silent.lease_expiry = 0.0
    silent.note_extension(bench.now, timing.WORKER_LEASE_S)
    context.silent_since = bench.now
    context.restarted = None
    other = "w2" if context.order.worker == "w1" else "w1"
    for _ in range(200):
        bench.now += 0.05
        bench.report(other, bench.rows(other))
        bench.plan()
        if bench.starts():
            context.restarted = bench.now - context.silent_since
            return


@behave.then("its task is not started elsewhere within its lease")
def check_not_within(context):
    assert context.restarted is not None
    # The worker's clock may be two percent slow.
    assert context.restarted >= timing.WORKER_LEASE_S / models.SLOWEST


@behave.then("it is started elsewhere once the lease is proved over")
def check_restarted(context):
    assert context.restarted <= timing.WORKER_LEASE_S * 1.2 + 0.5


@behave.when("it is cancelled while both first tasks run")
def cancel(context):
    context.orders = context.bench.start_all()
    context.bench.cluster.cancel_job(benches.IDENTITY, context.bench.now)


@behave.then("{count:d} stops are ordered and the job is cancelled")
def check_cancelled(context, count):
    assert len(context.bench.stops()) == count
    assert context.state.phase is progress.Phase.CANCELLED


@behave.then("a later good end does not complete it")
def check_stays_cancelled(context):
    for order in context.orders:
        context.bench.end(order, messages.Ending.DONE)
    assert context.state.phase is progress.Phase.CANCELLED
    assert not context.state.waiting


@behave.when("its start got no answer and then was rejected for want of room")
def reject_uncertain(context):
    context.bench.plan()
    (context.order,) = context.bench.starts()
    start_results.apply_start_result(
        context.bench.cluster,
        context.bench.placed(context.order),
        messages.StartResult.NO_ROOM,
        uncertain=True,
        now=context.bench.now,
    )


@behave.then("the task does not wait until the stop is reported")
def check_sealed(context):
    bench, order = context.bench, context.order
    bench.plan()
    assert not bench.starts()
    bench.now += 0.01
    bench.cluster.confirm_stop(
        order.worker, (f"{benches.IDENTITY}.0.0.0", order.run), bench.now
    )
    bench.now += 0.01
    bench.report(order.worker)
    bench.now += 0.4
    for name in ("w1", "w2"):
        bench.report(name)
    bench.plan()
    assert len(bench.starts()) == 1


@behave.when("a new owner's first word from a worker is also the last")
def hear_once(context):
    (context.order,) = context.bench.start_all()
    worker = context.bench.cluster.workers[context.order.worker]
    worker.established = False
    worker.lease_expiry = context.bench.now + 100.0
    context.bench.report(worker.identity, context.bench.rows(worker.identity))
    context.worker = worker


@behave.then("the worker's runs are over after one lease, not after two")
def check_one_lease(context):
    now = context.bench.now
    lease = timing.WORKER_LEASE_S
    assert not context.worker.is_expired(now + lease / models.SLOWEST)
    assert context.worker.is_expired(now + 2 * lease)


@behave.given("a lasting job of {count:d} tasks of which {most:d} may be away")
def make_lasting(context, count, most):
    names = [f"w{number}" for number in range(count)]
    context.bench = benches.Bench(
        names, capacity=fleet.Resources(cpu=1, memory=0, gpu=0)
    )
    context.state = context.bench.add(
        definition.Step(tasks=count, cpu=1, lasting=True, most_away=most)
    )
    context.orders = context.bench.start_all()
    for order in context.orders:
        placed = context.bench.placed(order)
        placed.run.percent = eviction.READY_PERCENT


@behave.when("{count:d} of the others are {cause}")
def take_away(context, count, cause):
    for order in context.orders[1 : count + 1]:
        placed = context.bench.placed(order)
        if cause == "silent":
            worker = context.bench.cluster.workers[order.worker]
            worker.last_alive_at = context.bench.now - eviction.SILENCE_S - 0.1
        elif cause == "stopping":
            context.bench.cluster.stop(
                placed.state, placed.task, placed.run, "test"
            )
        else:
            placed.run.percent = 0.0


@behave.when(
    "the entry of the first task's worker is gone for {time:f} s, and "
    "{away:d} others are silent"
)
def remove_entry(context, time, away):
    bench = context.bench
    bench.cluster.remove_entry(context.orders[0].worker, bench.now)
    bench.now += time
    for worker in bench.cluster.workers.values():
        worker.last_alive_at = bench.now
    take_away(context, away, "silent")
    bench.planner.stop_and_release(bench.now, bench.now)


@behave.when(
    "the first task has not come to work for {time:d} s, and {away:d} others "
    "are silent"
)
def stay_at_start(context, time, away):
    bench = context.bench
    bench.now += time
    for worker in bench.cluster.workers.values():
        worker.last_alive_at = worker.inherited_stops_end = bench.now
        worker.note_extension(bench.now, timing.WORKER_LEASE_S)
    bench.placed(context.orders[0]).run.percent = 0.0
    take_away(context, away, "silent")
    bench.planner.stop_and_release(bench.now, bench.now)


@behave.then("the first task {answer} ordered to stop")
def check_first_stop(context, answer):
    stopped = {order.task for order in context.bench.stops()}
    first = f"{context.orders[0].job}.{context.orders[0].task}"
    assert stopped == ({first} if answer == "is" else set()), stopped


@behave.when("none of them is known to be at work")
def start_anew(context):
    for order in context.orders:
        context.bench.placed(order).run.percent = 0.0


SETTLING_S = 1.5


@behave.when("a new owner has just heard of all workers")
def hear_all(context):
    for worker in context.bench.cluster.workers.values():
        worker.note_established(
            context.bench.now, timing.WORKER_LEASE_S, SETTLING_S
        )


@behave.then(
    "another task may be moved once stops of the old owner have ended"
)
def check_settled(context):
    bench = context.bench
    bench.now += SETTLING_S
    for worker in bench.cluster.workers.values():
        worker.last_alive_at = bench.now
    placed = bench.placed(context.orders[1])
    assert eviction.may_evict(bench.cluster, placed, bench.now)


@behave.then("the first task {may} be moved")
def check_evict(context, may):
    placed = context.bench.placed(context.orders[0])
    allowed = eviction.may_evict(
        context.bench.cluster, placed, context.bench.now
    )
    assert allowed is (may == "may")


@behave.given("workers with room for {count:d} tasks")
def make_room(context, count):
    context.bench = benches.Bench(
        [f"w{number}" for number in range(count)],
        capacity=fleet.Resources(cpu=1, memory=0, gpu=0),
    )


@behave.when("a gang of {count:d} tasks is planned")
def plan_gang(context, count):
    step = definition.Step(tasks=count, cpu=1, gang=True)
    context.bench.add(step, identity=f"{count:016x}")
    context.bench.plan()
    context.orders = context.bench.starts()


@behave.then("none of them is placed")
def check_none(context):
    assert not context.orders
    for worker in context.bench.cluster.workers.values():
        assert worker.free == worker.entry.capacity


@behave.then("all of them have one run number")
def check_gang(context):
    assert len(context.orders) == 3
    assert len({order.run for order in context.orders}) == 1
    assert len({order.worker for order in context.orders}) == 3


@behave.given("3 workers on 2 racks, one of them labelled")
def make_racks(context):
    context.bench = benches.Bench(
        ["w1", "w2", "w3"],
        racks={"w1": "r1", "w2": "r1", "w3": "r2"},
        labels={"w2": ("fast",)},
    )


def place(context, step, identity):
    context.bench.add(step, identity=identity)
    return [order.worker for order in context.bench.start_all()]


@behave.then("a task that needs the label goes to the labelled worker")
def check_label(context):
    step = definition.Step(cpu=1, labels=("fast",))
    assert place(context, step, "1" * 16) == ["w2"]


@behave.then("a task whose data lies on a rack goes to that rack")
def check_rack(context):
    step = definition.Step(cpu=1, data_rack="r2")
    assert place(context, step, "2" * 16) == ["w3"]


@behave.then("at most 1 task of a spread step is on each worker")
def check_spread(context):
    step = definition.Step(tasks=5, cpu=0, most_per_worker=1)
    found = place(context, step, "3" * 16)
    assert sorted(found) == ["w1", "w2", "w3"]


@behave.given("a job of {count:d} times, {interval:d} seconds apart")
def make_schedule(context, count, interval):
    context.bench = benches.Bench(["w1"])
    context.state = context.bench.add(
        definition.Step(cpu=0),
        first_run=context.bench.now + 5,
        interval=float(interval),
        repetitions=count,
    )
    context.interval = interval


@behave.then("as many times are open as are due")
def check_due(context):
    state, start = context.state, context.bench.now
    for seconds, expected in ((0, 0), (4.9, 0), (5.1, 1), (15.1, 2), (99, 3)):
        state.open_steps(start + seconds)
        assert len(state.opened) == expected, (seconds, state.opened)


@behave.then("its records read back tell the same")
def check_round_trip(context):
    state = context.state
    payload = records.encode_progress(state)
    defined = records.encode_definition(state.job, state.accepted)
    copy = records.decode_definition("queue", benches.IDENTITY, defined)
    records.decode_progress(copy, payload, 0.0)
    assert copy.job == state.job
    assert records.encode_progress(copy) == payload
    assert copy.next_run == state.next_run
    assert records.decode_summary(payload).phase is state.phase
    key = records.format_key("queue", benches.IDENTITY, records.Part.PROGRESS)
    assert records.parse_key(key) == records.Key(
        queue="queue", identity=benches.IDENTITY, part=records.Part.PROGRESS
    )
