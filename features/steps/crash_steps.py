"""Steps about tasks that crash the workers that start them."""

from __future__ import annotations

import collections
import dataclasses
import time

import behave

from features import job_bench as benches
from features import job_cores as cores
from features import job_history as histories
from features import job_models as models
from features.steps import site_steps
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve.scheduling import crashes
from rackvalve.scheduling import messages
from rackvalve.scheduling import releases
from tools import site as sites

HISTORY_STEPS = 300
LAG_S = 0.8
POOLS = {"lookups": 6, "rebuilds": 2, "spare": 4}
# A task that crashes its worker right after its start.
CRASHING = "crash_ms=10"
# When the owner is killed, in seconds after the jobs were submitted.
KILLS_AT_S = (1.0, 3.0, 5.0)
GIVEN_UP_S = 20.0


@behave.when(
    "{count:d} job histories run in which some tasks crash their workers"
)
def run_histories(context, count):
    rules = models.Rules(lag=LAG_S, crashing=0.15)
    context.violations = histories.explore(count, HISTORY_STEPS, rules, 3000)


@behave.then(
    "no history starts a task three times more after three crashes, or gives "
    "up another job"
)
def check_histories(context):
    assert not context.violations, context.violations[:5]


@behave.given(
    "a site of {count:d} managers with VMs of their own for the jobs"
)
def start_site(context, count, platform=()):
    context.own_fleet = sites.Site(count, pools=POOLS, platform=platform)
    context.own_fleet.start()
    context.submitted = []


@behave.given(
    "a site of {count:d} managers whose crashed workers keep their names"
)
def start_keeping_site(context, count):
    start_site(context, count, ("--keep-names",))


@behave.when(
    "{count:d} jobs crash each worker beside {others:d} others, {when}"
)
def crash_workers(context, count, others, when):
    site = context.own_fleet
    site.submit(
        "lookup",
        [{"count": 3, "cpu": 100, "long-running": True}],
        "lasting work_ms=500",
    )
    began = time.monotonic()
    context.crashing = [
        site.submit("lookup", [{"count": 1, "cpu": 500}], CRASHING)
        for _ in range(count)
    ]
    for _ in range(others):
        site_steps.submit(context, spec="work_ms=300")
    if "killed" in when:
        kill_owners(site, began)


def kill_owners(site, began):
    for at in KILLS_AT_S:
        time.sleep(max(0.0, began + at - time.monotonic()))
        process = site.owner()["process"]
        process.kill()
        process.start()


@behave.then(
    "both are shown as failed, after {most:d} starts each at the most"
)
def check_given_up(context, most):
    site = context.own_fleet
    until = time.monotonic() + GIVEN_UP_S
    states = {}
    while time.monotonic() < until:
        states = {one: site.state("lookup", one) for one in context.crashing}
        if set(states.values()) == {"failed"}:
            break
        time.sleep(0.1)
    starts = collections.Counter(
        row[3].partition(".")[0]
        for row in site_steps.read_runs(context)
        if row[1] == "start"
    )
    found = {one: (states[one], starts[one]) for one in context.crashing}
    is_bounded = all(
        state == "failed" and count <= most for state, count in found.values()
    )
    assert is_bounded, found


@behave.then(
    "all others are shown as completed and none starts again once its good "
    "end was taken note of"
)
def check_others(context):
    site_steps.check_shown(context)
    seen = context.own_fleet.journal()
    known = [[row[0], "known", *row[1:]] for row in seen["known"]]
    done, settled = set(), set()
    for _, kind, _, task, _, how in sorted(seen["journal"] + known):
        if kind == "start":
            assert task not in settled, task
        elif how == "done":
            (settled if kind == "known" else done).add(task)
    for _, identity in context.submitted:
        own = [task for task in done if task.startswith(identity)]
        assert len(own) == site_steps.TASKS, (identity, own)


KINDS = {
    "2 plain tasks": ({}, {}),
    "2 lasting tasks": ({"lasting": True}, {}),
    "2 tasks that start together": ({"gang": True}, {}),
    "2 tasks that bear two runs": ({"copies_allowed": True}, {}),
    "2 tasks of each of two times": ({}, {"repetitions": 2, "interval": 0.1}),
}
# Time until a worker's crash is proved, in seconds; copies start before that.
PROOF_S = 1.0
MAX_ROUNDS = 200


def add_worker(bench, name):
    worker = models.FakeWorker(models.World(), name, models.Rules(), 1.0)
    bench.cluster.set_entry(worker.entry())
    bench.numbers[name] = 0
    bench.report(name, bench.rows(name))


def hand_over(bench, state):
    """Replace the owner by a new one that reads a job's record."""
    (read,) = take_over(bench, [state])
    return read


def take_over(bench, states):
    """Replace the owner by a new one that reads jobs' records."""
    payloads = [records.encode_progress(state) for state in states]
    made = cores.make_cores(bench.now, inherited_lease=5.0)
    bench.cluster, bench.handler = made.cluster, made.handler
    bench.planner = made.planner
    found = []
    for state, payload in zip(states, payloads, strict=True):
        read = progress.JobState(state.identity, "queue", state.job, 0.0)
        records.decode_progress(read, payload, bench.now)
        bench.cluster.add_job(read, bench.now, bench.now)
        found.append(read)
    for name in list(bench.numbers):
        add_worker(bench, name)
    return found


@behave.given("{count:d} workers and a job of {kind} that crash their workers")
def make_crashing(context, count, kind):
    context.bench = benches.Bench([f"w{n}" for n in range(count)])
    step, job = KINDS[kind]
    step = definition.Step(tasks=2, cpu=1, **step)
    context.state = context.bench.add(step, **job)


@behave.when("it is started until it is given up")
def start_until(context):
    bench, made = context.bench, 0
    context.starts = collections.Counter()
    for number in range(MAX_ROUNDS):
        crashed = {}
        for moment in range(2):
            for order in bench.start_all():
                context.starts[str(order.task)] += 1
                crashed[order.worker] = None
            bench.now += PROOF_S / 2
            for name in bench.numbers.keys() - crashed.keys():
                bench.report(name, bench.rows(name))
        for name in crashed:
            bench.end_incarnation(name)
            del bench.numbers[name]
            made += 1
            add_worker(bench, f"n{made}")
        if context.state.is_final:
            return
        if crashed and number % 2:
            context.state = hand_over(bench, context.state)


@behave.then("no task of it was started more than {most:d} times")
def check_starts(context, most):
    assert context.state.phase is progress.Phase.FAILED, context.state.phase
    assert max(context.starts.values()) <= most, context.starts


@behave.then("its reason names the crashes")
def check_reason(context):
    assert "workers crashed under task" in context.state.reason


@behave.given(
    "a task at work on a worker beside one under which a worker has crashed"
)
def make_neighbours(context):
    context.bench = bench = benches.Bench(["w1"])
    bench.add(definition.Step(tasks=1, cpu=1), identity=f"{1:016x}")
    state = bench.add(definition.Step(tasks=1, cpu=1), identity=f"{2:016x}")
    context.suspect = state.tasks[next(iter(state.tasks))]
    bench.start_all()
    (placed,) = [
        one
        for one in bench.cluster.workers["w1"].runs.values()
        if one.task is context.suspect
    ]
    crashes.count_crash(placed, releases.Fate.CRASHED, bench.now)
    # Longer than the run works in this scenario, so that it is not cleared.
    context.suspect.time_to_crash = 5.0
    context.tasks = [
        placed.task for placed in bench.cluster.workers["w1"].runs.values()
    ]


@behave.when("their worker {how}")
def end_worker(context, how):
    bench = context.bench
    worker = bench.cluster.workers["w1"]
    bench.now += 1.0
    if how == "is out of reach until its lease is over":
        bench.now = worker.lease_expiry
        bench.planner.stop_and_release(bench.now, bench.now)
        return
    if how == "is lost with its VM":
        worker.note_lost()
        bench.planner.stop_and_release(bench.now, bench.now)
        return
    if how == "ends after it said that it would":
        worker.entry = dataclasses.replace(worker.entry, draining=True)
    elif how == "ends after it had served without an entry":
        bench.cluster.remove_entry("w1", bench.now)
        bench.now += 1.0
        bench.report("w1", bench.rows("w1"))
    elif how == "ends by an order to its VM":
        worker.ordered_away = True
    bench.end_incarnation("w1")


@behave.then("crashes count against {whom}")
def check_counts(context, whom):
    other, suspect = [task.crashes for task in context.tasks]
    expected = {
        "both tasks": (1, 2),
        "no other": (0, 1),
        "the suspect": (0, 2),
    }
    assert (other, suspect) == expected[whom], (other, suspect)


@behave.given(
    "a task under which two workers have crashed, and {count:d} workers"
)
def make_suspect(context, count):
    context.bench = bench = benches.Bench([f"w{n}" for n in range(count)])
    step = definition.Step(tasks=2, cpu=1)
    context.state = bench.add(step, identity=f"{1:016x}")
    for task in context.state.tasks.values():
        task.crashes, task.time_to_crash, task.not_before = 2, 0.5, bench.now
        context.state.suspects.add(task.name)


@behave.when("it is started beside other tasks")
def start_beside(context):
    bench = context.bench
    # More tasks than there is room for.
    bench.add(definition.Step(tasks=20, cpu=1), identity=f"{2:016x}")
    context.orders = bench.start_all()
    (context.order,) = [
        order
        for order in context.orders
        if order.job == context.state.identity
    ]


@behave.then(
    "nothing else starts on its worker, and no other task of its job starts"
)
def check_alone(context):
    hosts = [order.worker for order in context.orders]
    assert hosts.count(context.order.worker) == 1, hosts
    assert len(hosts) == 1 + 2 * models.CAPACITY.cpu, hosts


@behave.then(
    "after {seconds:g} s of work its worker takes other tasks, and nothing "
    "counts against it"
)
def check_cleared(context, seconds):
    bench, name = context.bench, context.order.worker
    bench.now += seconds
    bench.report(name, bench.rows(name))
    orders = bench.start_all()
    assert {order.worker for order in orders} == {name}, orders
    assert context.state.tasks[context.order.task].crashes == 0


@behave.when("its worker crashes {when}")
def crash_worker(context, when):
    bench, name = context.bench, context.order.worker
    # Longer than the 4 s that the run works, so that these clear nothing.
    context.state.tasks[context.order.task].time_to_crash = 10.0
    if when != "at once":
        bench.now += 4.0
    if when == "after another task has come there":
        bench.report(name, bench.rows(name))
        orders = bench.start_all()
        assert name in {order.worker for order in orders}, orders
    bench.end_incarnation(name)


@behave.then("it counts in isolation: {counts}")
def check_isolated(context, counts):
    task = context.state.tasks[context.order.task]
    assert task.isolated_crashes == (counts == "yes"), task.isolated_crashes


@behave.then("a new owner that reads its record keeps its worker for it too")
def check_kept(context):
    bench, name = context.bench, context.order.worker
    state = hand_over(bench, context.state)
    task = state.tasks[context.order.task]
    assert (task.crashes, task.isolated_run) == (2, context.order.run)
    assert crashes.is_isolating(bench.cluster.workers[name])


@behave.given(
    "a task whose runs crashed their workers at an age of {before:g} s at the "
    "most"
)
def make_crashed(context, before):
    context.bench = bench = benches.Bench(["w0"])
    state = bench.add(definition.Step(tasks=1, cpu=1, lasting=True))
    (context.task,) = state.tasks.values()
    context.task.crashes, context.task.time_to_crash = 2, before
    context.task.not_before = bench.now
    state.suspects.add(context.task.name)
    bench.start_all()


@behave.when(
    "its next run has worked for {work:g} s when its worker is asked, which "
    "is heard {late:g} s later"
)
def report_late(context, work, late):
    bench = context.bench
    asked = bench.now + work
    bench.now = asked + late
    bench.handler.apply(
        bench.cluster.workers["w0"],
        messages.Report(sent=asked, running=tuple(bench.rows("w0")), ended=()),
        now=bench.now,
        wall=bench.now,
    )


@behave.then("{count:d} crashes count against it")
def check_count(context, count):
    assert context.task.crashes == count, context.task.crashes
