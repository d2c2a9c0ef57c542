"""Steps about starts in isolation, and about what ends a job by crashes."""

from __future__ import annotations

import collections
import time

import behave

from features import job_bench as benches
from features import job_history as histories
from features import job_models as models
from features import job_owner as owners
from features.steps import crash_steps
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import crash_series
from rackvalve.scheduling import fleet
from rackvalve.scheduling import messages
from tools.experiments import crashes as experiment
from tools import site as sites
from tools.soak import checks

# Seeds of histories in which a good job was given up, by the part of the jobs
# that crash their workers.
SEEDS = {
    0.05: (5081, 5151),
    0.15: (3049, 3094, 3109),
    0.3: (3094, 3198, 3226, 3235),
}
# Seeds in which a new owner did not know how often a task had been started.
BOUND_SEEDS = {0.3: (3243, 3287)}
# Time until a worker's crash is proved, in seconds.
PROOF_S = 0.7
LEASE_S = 4.0
MAX_TRIES = 60


@behave.when(
    "the histories run again that gave up a job beside others that crash "
    "their workers"
)
def run_histories(context):
    context.violations = []
    for seeds in (SEEDS, BOUND_SEEDS):
        for crashing, numbers in seeds.items():
            for is_asking in (False, True):
                rules = models.Rules(
                    lag=crash_steps.LAG_S,
                    crashing=crashing,
                    asking=is_asking,
                )
                for seed in numbers:
                    context.violations += histories.explore(
                        1, crash_steps.HISTORY_STEPS, rules, seed
                    )


@behave.given("a site of {count:d} managers with {vms:d} VMs for the jobs")
def start_site(context, count, vms):
    pools = {"lookups": vms, "rebuilds": 1, "spare": 0}
    context.own_fleet = sites.Site(count, pools=pools)
    context.own_fleet.start()


@behave.when(
    "{count:d} jobs crash a worker of the pool every {every:g} s beside jobs "
    "that last, start together and end"
)
def crash_pool(context, count, every):
    case = experiment.Case(
        name="", vms=4, crashing=count, every=every, lasting=4, gangs=4
    )
    context.good, context.crashing = [], []
    experiment.submit(
        context.own_fleet,
        case,
        context.good,
        context.crashing,
        seconds=count * every,
    )


@behave.then(
    "no job that could be done is shown as failed within {seconds:d} s"
)
def check_good(context, seconds):
    site = context.own_fleet
    time.sleep(seconds)
    states = {job: site.state(experiment.QUEUE, job) for job in context.good}
    failed = [job for job, state in states.items() if state == "failed"]
    assert not failed, (failed, str(site.folder))


@behave.then(
    "no task that crashes its workers is started three times more after "
    "three crashes"
)
def check_bound(context):
    crashes, late = collections.Counter(), collections.Counter()
    for _, kind, _, task, _, how in context.own_fleet.journal()["journal"]:
        if task.partition(".")[0] not in context.crashing:
            continue
        crashes[task] += kind == "end" and how == "crash"
        late[task] += kind == "start" and crashes[task] >= checks.MAX_CRASHES
    assert max(late.values()) < checks.MAX_CRASHES, late


@behave.given(
    "{count:d} workers and a job of {tasks:d} task, beside which another one "
    "crashes its worker"
)
def make_pair(context, count, tasks):
    context.bench = bench = benches.Bench([f"w{n}" for n in range(count)])
    context.made = 0
    step = definition.Step(tasks=tasks, cpu=1, lasting=True)
    context.first = bench.add(step, identity=f"{1:016x}")
    # Starts on the worker of the first a moment later.
    step = definition.Step(tasks=tasks, cpu=1)
    context.other = bench.add(step, identity=f"{2:016x}")


@behave.when("{times:d} workers crash under both")
def crash_pair(context, times):
    bench = context.bench
    for _ in range(times):
        name = next(iter(bench.numbers))
        for state in (context.first, context.other):
            bench.now += 0.2
            run_on(bench, state, name)
        bench.now += PROOF_S
        replace_worker(context, name)
        bench.now += crash_series.SAME_CAUSE_S


def run_on(bench, state, name):
    """Start the one task of a job on a worker."""
    (task,) = state.tasks.values()
    number = state.take_run_number()
    worker = bench.cluster.workers[name]
    bench.cluster.place(state, task, worker, number, bench.now)
    bench.cluster.order_recorded(
        state.identity, state.list_planned(), bench.now
    )
    (order,) = bench.starts()
    bench.confirm(order)


def report_all(bench, without=""):
    for name in bench.numbers:
        if name != without:
            bench.report(name, bench.rows(name))
            bench.cluster.workers[name].note_extension(bench.now, LEASE_S)


def replace_worker(context, name):
    """Let a worker crash, and add another one."""
    bench = context.bench
    bench.end_incarnation(name)
    del bench.numbers[name]
    context.made += 1
    crash_steps.add_worker(bench, f"n{context.made}")


@behave.when("the other one crashes a worker where it is alone, twice")
def crash_alone(context):
    bench = context.bench
    (other,) = context.other.tasks.values()
    while not context.other.is_final:
        bench.now += 0.1
        report_all(bench)
        bench.start_all()
        for run in list(other.runs.values()):
            assert other.isolated_run == run.number
            bench.now += PROOF_S
            report_all(bench, without=run.worker)
            replace_worker(context, run.worker)


@behave.then("neither job has ended")
def check_open(context):
    assert not context.first.is_final, context.first.reason
    assert not context.other.is_final, context.other.reason


@behave.then("the job of the other one is given up")
def check_given_up(context):
    assert context.other.phase is progress.Phase.FAILED
    assert "no other job can have caused" in context.other.reason


@behave.then("{count:d} crashes may still be caused by the first")
def check_unexplained(context, count):
    (task,) = context.first.tasks.values()
    assert task.unexplained == count, task.unexplained


def count_crashes(bench, state, crashes, *, age=0.5):
    """Count crashes against each task of a job."""
    for task in state.tasks.values():
        task.crashes, task.time_to_crash, task.not_before = (
            crashes,
            age,
            bench.now,
        )
        task.youngest_crashes = min(crashes, 1) if crashes > 1 else 0
        state.suspects.add(task.name)


@behave.given(
    "a task under which {count:d} workers have crashed, and one worker with "
    "{neighbour}"
)
def make_neighbour(context, count, neighbour):
    context.bench = bench = benches.Bench(["w0"])
    if neighbour != "nothing":
        step = definition.Step(tasks=1, cpu=1, lasting=True)
        state = bench.add(step, identity=f"{9:016x}")
        if "suspect" in neighbour:
            count_crashes(bench, state, 1, age=2.5)
        bench.start_all()
        if "2 s" in neighbour:
            bench.now += 2.0
            bench.report("w0", bench.rows("w0"))
    context.state = bench.add(definition.Step(tasks=1, cpu=1))
    count_crashes(bench, context.state, count)


@behave.when("what waits is started")
def start_waiting(context):
    context.orders = context.bench.start_all()


@behave.then("the task is started: {how}")
def check_started(context, how):
    started = [
        order
        for order in context.orders
        if order.job == context.state.identity
    ]
    assert bool(started) == (how == "yes"), context.orders


@behave.given(
    "a task under which {count:d} workers have crashed, and {workers:d} "
    "workers that tasks keep busy"
)
def make_busy(context, count, workers):
    context.bench = bench = benches.Bench([f"w{n}" for n in range(workers)])
    step = definition.Step(tasks=100, cpu=1)
    bench.add(step, identity=f"{9:016x}")
    context.orders = bench.start_all()
    assert len(context.orders) == workers * models.CAPACITY.cpu
    context.state = bench.add(definition.Step(tasks=1, cpu=1))
    count_crashes(bench, context.state, count)


@behave.when("the tasks end one after the other, and others wait")
def end_in_turn(context):
    bench, running = context.bench, list(context.orders)
    for _ in range(MAX_TRIES):
        bench.end(running.pop(0), messages.Ending.DONE)
        context.busy = collections.Counter(one.worker for one in running)
        started = bench.start_all()
        own = [one for one in started if one.job == context.state.identity]
        if own:
            (context.order,) = own
            return
        running += started
    raise AssertionError("the task does not start")


@behave.given("its workspace is at its bound")
def set_bound(context):
    cluster = context.bench.cluster
    cluster.set_configuration(owners.make_configuration(1))
    context.state.workspace = owners.WORKSPACE
    cluster.usage.add(
        owners.WORKSPACE, fleet.Resources(cpu=1, memory=0, gpu=0)
    )


@behave.when(
    "the tasks end one after the other, and others wait, for {count:d} ends"
)
def end_some(context, count):
    bench, running = context.bench, list(context.orders)
    for _ in range(count):
        bench.end(running.pop(0), messages.Ending.DONE)
        running += bench.start_all()
    context.running = running


@behave.then("no worker is reserved, and both are busy")
def check_none_reserved(context):
    assert not context.bench.planner.list_reserved(models.POOL)
    busy = collections.Counter(order.worker for order in context.running)
    assert set(busy.values()) == {models.CAPACITY.cpu}, busy


@behave.then(
    "the task starts alone on its worker, and the other worker stays busy"
)
def check_alone(context):
    worker = context.bench.cluster.workers[context.order.worker]
    assert len(worker.runs) == 1, worker.runs
    others = context.busy.keys() - {context.order.worker}
    assert [context.busy[name] for name in others] == [models.CAPACITY.cpu]


@behave.given(
    "a job of {tasks:d} tasks under each of which {count:d} workers have "
    "crashed, and {workers:d} workers"
)
def make_siblings(context, tasks, count, workers):
    context.bench = bench = benches.Bench([f"w{n}" for n in range(workers)])
    context.state = bench.add(definition.Step(tasks=tasks, cpu=1))
    count_crashes(bench, context.state, count)
    step = definition.Step(tasks=100, cpu=1)
    bench.add(step, identity=f"{9:016x}")


@behave.then("its tasks are on one worker, and nothing else is")
def check_together(context):
    jobs = collections.defaultdict(set)
    for order in context.orders:
        jobs[order.worker].add(order.job)
    own = context.state.identity
    hosts = [name for name, found in jobs.items() if own in found]
    assert len(hosts) == 1 and jobs[hosts[0]] == {own}, jobs
    assert not context.state.waiting


@behave.given(
    "a gang of {tasks:d} tasks under which {count:d} workers have crashed, "
    "and {workers:d} workers with a task each"
)
def make_gang(context, tasks, count, workers):
    context.bench = bench = benches.Bench([f"w{n}" for n in range(workers)])
    step = definition.Step(tasks=workers, cpu=1, most_per_worker=1)
    bench.add(step, identity=f"{8:016x}")
    context.orders = bench.start_all()
    step = definition.Step(tasks=tasks, cpu=1, gang=True)
    context.state = bench.add(step)
    count_crashes(bench, context.state, count)


@behave.when("these tasks have ended, and others wait")
def end_all(context):
    bench = context.bench
    step = definition.Step(tasks=100, cpu=1)
    bench.add(step, identity=f"{9:016x}")
    context.started = bench.start_all()
    for order in context.orders:
        bench.end(order, messages.Ending.DONE)
    context.started += bench.start_all()


@behave.then("the gang starts on workers of its own")
def check_gang(context):
    bench, state = context.bench, context.state
    runs = [run for task in state.tasks.values() for run in task.runs.values()]
    assert len(runs) == len(state.tasks), state.waiting
    for name in {run.worker for run in runs}:
        jobs = {
            placed.state.identity
            for placed in bench.cluster.workers[name].runs.values()
        }
        assert jobs == {state.identity}, (name, jobs)


@behave.when("a new owner reads their records")
def read_records(context):
    bench = context.bench
    context.first = crash_steps.hand_over(bench, context.first)
    cluster = bench.cluster
    context.other = crash_steps.hand_over(bench, context.other)
    assert cluster is not bench.cluster


@behave.then(
    "the other one is known to have started last before the second crash"
)
def check_youngest(context):
    (first,) = context.first.tasks.values()
    (other,) = context.other.tasks.values()
    assert first.youngest_crashes == 0, first.youngest_crashes
    assert other.youngest_crashes == 1, other.youngest_crashes
    assert first.crashed_incarnations == other.crashed_incarnations


@behave.given(
    "{jobs:d} jobs under each of which 3 workers have crashed, and "
    "{workers:d} busy workers"
)
def make_jobs(context, jobs, workers):
    context.bench = bench = benches.Bench([f"w{n}" for n in range(workers)])
    bench.add(definition.Step(tasks=workers, cpu=models.CAPACITY.cpu))
    assert len(bench.start_all()) == workers
    for number in range(jobs):
        state = bench.add(
            definition.Step(tasks=1, cpu=1), identity=f"{number + 1:016x}"
        )
        count_crashes(bench, state, 3)


@behave.when("what waits is planned")
def plan_waiting(context):
    context.bench.plan()


@behave.then("{count:d} workers are reserved")
def check_reserved(context, count):
    reserved = context.bench.planner.list_reserved(models.POOL)
    assert len(reserved) == count, reserved
