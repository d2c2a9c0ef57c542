"""Steps about the records of large jobs."""

from __future__ import annotations

import collections
import time

import behave
import gevent
import msgspec

from features import job_bench
from features.steps import late_start_steps
from features.steps import site_steps
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import record_parts
from rackvalve.jobs import records
from rackvalve.manager.owner import backlog as backlogs
from rackvalve.manager.owner import worker_session as worker_sessions
from rackvalve.platform import store as stores
from rackvalve.platform import workers as clients
from rackvalve.scheduling import fleet
from rackvalve.scheduling import messages
from tools import site as sites

LIMIT = stores.VALUE_BYTES
STEP_TASKS = 4096
NOW = 1000.0
LOCATION = progress.Location(host="10.123.45.67", port=12345, vm="m" * 40)
WORKERS = [f"worker-{number:040d}@{10**12 + number}" for number in range(8)]
WIDE = fleet.Resources(cpu=10**6, memory=10**6, gpu=0)


def make_state(tasks):
    """Make a job of so many tasks, in as few repetitions as may be."""
    times = next(
        times
        for times in range(1, tasks + 1)
        if tasks % times == 0 and tasks // times <= STEP_TASKS
    )
    job = definition.Job(
        spec="x",
        steps=(definition.Step(tasks=tasks // times, cpu=1),),
        repetitions=times if times > 1 else 0,
        interval=0.1,
    )
    state = progress.JobState(job_bench.IDENTITY, "queue", job, NOW)
    state.open_steps(NOW + 10**6)
    return state


def put_state(task, number, state):
    """Give a task a state that a scenario names."""
    if state == "are done":
        task.done = True
        return
    worker = WORKERS[number % len(WORKERS)]
    run = progress.Run(
        number + 1,
        worker,
        progress.Stage.ORDERED,
        NOW,
        location=LOCATION,
    )
    task.runs[run.number] = run
    if state == "have long texts":
        task.note_checkpoint("x" * 100_000, 50.0)


@behave.given("a job of {count:d} tasks, all of which {state}")
def make_job(context, count, state):
    context.state = make_state(count)
    assert len(context.state.tasks) == count
    for number, task in enumerate(context.state.tasks.values()):
        put_state(task, number, state)
    context.state.next_run = count + 1
    context.state.phase = progress.Phase.RUNNING
    context.written = {}


@behave.when("its record is encoded")
@behave.when("its record is encoded again")
def encode(context):
    context.values = record_parts.encode(context.state, LIMIT)
    context.written.update(context.values)


@behave.then("it has {count:d} values, which one commit takes")
def check_values(context, count):
    assert len(context.values) == count, len(context.values)
    assert 1 + 2 * count <= stores.COMMIT_ENTRIES
    largest = max(map(len, context.values.values()))
    assert largest <= LIMIT, largest


def read_again(context):
    """Decode what is stored, as a new owner does."""
    state = context.state
    items = {
        records.parse_key(key): context.written[key] for key in context.written
    }
    parts = {
        key.number: payload
        for key, payload in items.items()
        if key.part is records.Part.TASKS
    }
    (head,) = [
        payload
        for key, payload in items.items()
        if key.part is records.Part.PROGRESS
    ]
    copy = progress.JobState(state.identity, state.queue, state.job, NOW)
    records.decode_progress(copy, head, NOW, parts)
    return copy


def describe(state):
    """Return what must survive an owner."""
    return (
        state.phase,
        state.next_run,
        {
            name: (
                task.done,
                task.failures,
                [(run.number, run.worker) for run in task.runs.values()],
            )
            for name, task in state.tasks.items()
        },
    )


@behave.then("a new owner reads the same job from it")
@behave.then("a new owner reads the same job from all of it")
def check_read(context):
    assert describe(read_again(context)) == describe(context.state)


@behave.when("its task number {number:d} is done")
def finish_task(context, number):
    context.task = list(context.state.tasks.values())[number]
    context.task.done = True
    context.task.runs.clear()
    cluster = job_bench.Bench(["w1"]).cluster
    cluster.mark_changed(context.state, task=context.task)


@behave.then("it has the head and the part of that task")
def check_part(context):
    keys = [records.parse_key(key) for key in context.values]
    parts = [key.part for key in keys]
    assert parts == [records.Part.PROGRESS, records.Part.TASKS], keys
    assert str(context.task.name).encode() in list(context.values.values())[1]


@behave.when("an earlier release has written its record")
def write_earlier(context):
    key = records.format_key(
        "queue", context.state.identity, records.Part.PROGRESS
    )
    context.written = {key: records.encode_progress(context.state)}


@behave.then("its next record has all parts")
def check_divided(context):
    values = record_parts.encode(read_again(context), LIMIT)
    assert len(values) == 15, len(values)


class EarlierPhase(msgspec.Struct):
    """What earlier releases read for callers."""

    phase: str


class EarlierProgress(msgspec.Struct):
    """What owners of earlier releases read."""

    phase: str
    tasks: list = []


@behave.then("an earlier release reads its phase, and no tasks")
def check_earlier(context):
    (head, *_) = context.values.values()
    found = msgspec.json.decode(head, type=EarlierPhase)
    assert found.phase == progress.Phase.RUNNING.value
    try:
        msgspec.json.decode(head, type=EarlierProgress)
    except msgspec.ValidationError:
        return
    raise AssertionError("it would start all tasks anew")


@behave.then("an earlier release reads its phase, and all of its tasks")
def check_read_earlier(context):
    (value,) = context.values.values()
    found = msgspec.json.decode(value, type=EarlierProgress)
    assert found.phase == progress.Phase.RUNNING.value
    assert len(found.tasks) == len(context.state.tasks), len(found.tasks)


@behave.given("{count:d} records and one in parts that wait to be written")
def enqueue_records(context, count):
    context.backlog = backlogs.Backlog()
    for number in range(count + 1):
        context.backlog.enqueue(
            f"r{number}",
            lambda: None,
            1.0,
            urgent=True,
            values=15 if number == 7 else 1,
        )


@behave.when("the commits are taken one after the other")
def take_commits(context):
    context.batches = []
    while context.backlog.find_wait(2.0) is not None:
        batch = context.backlog.take(2.0)
        context.batches.append(batch)
        context.backlog.complete_batch(batch, 2.0)


@behave.then(
    "no commit has more entries than the store takes, and all are written"
)
def check_entries(context):
    for batch in context.batches:
        values = sum(write.values for write in batch.writes.values())
        assert 1 + 2 * values <= stores.COMMIT_ENTRIES, values
    assert sum(len(batch.writes) for batch in context.batches) == 21


@behave.then("the keys that are removed with it are those that were written")
def check_keys(context):
    written = set(context.written)
    head = {
        key
        for key in written
        if records.parse_key(key).part is records.Part.PROGRESS
    }
    assert set(record_parts.list_keys(context.state)) == written - head


# -- the work that a large job makes ---------------------------------------


class CountedTasks(dict):
    """Tasks of a job that count how often all were looked at."""

    looks = 0

    def values(self):
        self.looks += 1
        return super().values()


def make_bench(context, count):
    context.bench = job_bench.Bench(
        ["w1", "w2", "w3", "w4", "w5"], capacity=WIDE
    )
    context.state = context.bench.add(
        *[definition.Step(tasks=count, cpu=1, memory=1)]
    )


@behave.given("a job of {count:d} tasks that wait")
def make_waiting(context, count):
    make_bench(context, count)


@behave.when("it is planned {times:d} times")
def plan_often(context, times):
    bench = context.bench
    context.planned = [
        bench.planner.plan(bench.now, bench.now) for _ in range(times)
    ]


@behave.then("1000, 1000 and 500 runs were planned")
def check_planned(context):
    assert context.planned == [1000, 1000, 500], context.planned


@behave.given("a job of {count:d} tasks, half of which run")
def make_running(context, count):
    make_bench(context, count)
    for _ in range(count // 2000):
        for order in context.bench.start_all():
            assert order.job == context.state.identity
    # The speed of a run is known by two reports.
    for _ in range(2):
        context.bench.now += 0.5
        for name in context.bench.numbers:
            rows = context.bench.rows(name)
            context.bench.report(name, running=rows)


@behave.when("their speeds are compared")
def compare_speeds(context):
    bench = context.bench
    tasks = CountedTasks(context.state.tasks)
    context.state.tasks = tasks
    # Runs that take longer than the mean of their queue are compared.
    bench.cluster.durations["queue"] = 0.001
    bench.planner.stop_and_release(bench.now, bench.now)
    context.looks = tasks.looks


@behave.then("each task was looked at a few times only")
def check_looks(context):
    assert 0 < context.looks < 10, context.looks


# -- a new owner -------------------------------------------------------------


@behave.given("a new owner that inherits a run which its worker never got")
def inherit_run(context):
    bench = context.bench = job_bench.Bench(["w1"])
    state = progress.JobState(
        job_bench.IDENTITY,
        "queue",
        definition.Job(spec="x", steps=(definition.Step(tasks=1),)),
        NOW,
    )
    (context.task,) = [
        state.task(definition.TaskName(repetition=0, step=0, index=0))
    ]
    run = progress.Run(1, "w1", progress.Stage.ORDERED, bench.now)
    run.inherited = True
    context.task.runs[1] = run
    bench.cluster.add_job(state, bench.now, bench.now)
    bench.cluster.workers["w1"].established = False
    context.state = state


@behave.when(
    "the worker's first report lists {count:d} ends, and the second none"
)
def report_twice(context, count):
    ended = [
        (f"{'b' * 16}.0.0.{number}", 1, messages.Ending.DONE)
        for number in range(count)
    ]
    context.bench.report("w1", ended=ended)
    assert context.task.runs
    context.bench.now += 0.1
    context.bench.report("w1")


@behave.then("the run's task waits for another run")
def check_requeued(context):
    assert not context.task.runs
    assert context.task.name in context.state.waiting


# -- stops -------------------------------------------------------------------


class StoppingOwner(late_start_steps.FakeOwner):
    """Owner that is told of stops."""

    def confirm_stop(self, worker, key):
        pass


class StoppingWorker:
    """Client of a worker that answers stops after a time."""

    def __init__(self, delay):
        self.delay = delay
        self.stopped = []
        self.open = self.most = 0

    def stop(self, *, task, run, min_clock, fence):
        self.open += 1
        self.most = max(self.most, self.open)
        gevent.sleep(self.delay)
        self.open -= 1
        self.stopped.append((task, run))
        return clients.Done(clock=1.0)


@behave.given("a worker that takes {delay:g} s to answer a stop")
def make_stopping(context, delay):
    worker = job_bench.Bench(["w1"]).cluster.workers["w1"]
    context.client = StoppingWorker(delay)
    context.session = worker_sessions.WorkerSession(
        StoppingOwner(True), worker, context.client
    )


@behave.when("{count:d} runs are stopped there")
def stop_many(context, count):
    for number in range(count):
        context.session.send(
            messages.StopRun(
                worker="w1", task=f"a.0.0.{number}", run=1, reason="x"
            )
        )
    until = time.monotonic() + site_steps.WAIT_S
    while len(context.client.stopped) < count and time.monotonic() < until:
        gevent.sleep(0.01)


@behave.then("all stops were sent, and {count:d} at the most at a time")
def check_stopped(context, count):
    assert len(set(context.client.stopped)) == 500
    assert context.client.most == count, context.client.most


# -- a site ----------------------------------------------------------------


@behave.given("a site of 2 managers that take values of {limit} at the most")
def start_limited(context, limit):
    context.own_fleet = sites.Site(
        2, settings=lambda number: {"store_value": limit}
    )
    context.own_fleet.start()
    context.submitted = []


@behave.when("a job of {count:d} short tasks runs and the owner ends")
def run_large(context, count):
    site = context.own_fleet
    context.count = count
    context.identity = site_steps.submit(
        context,
        steps=[{"count": count, "cpu": 1, "mem-mb": 1, "estimate-ms": 20}],
        spec="work_ms=20",
    )
    site_steps.wait_for(lambda: count_done(context) > count // 4, "its begin")
    site.owner()["process"].kill()
    key = records.format_tasks_key("lookup", context.identity, 0)
    context.first_part = site.order({"peek": key})["item"]


def count_done(context):
    return sum(list_done(context).values())


def list_done(context):
    """Return how often each task ended well."""
    return collections.Counter(
        row[3]
        for row in site_steps.read_runs(context)
        if row[1] == "end" and row[5] == messages.Ending.DONE.value
    )


@behave.then("it is shown as completed and each of its tasks ended well once")
def check_large(context):
    site_steps.wait_for(
        lambda: count_done(context) == context.count, "the end of all tasks"
    )
    site_steps.check_shown(context)
    assert set(list_done(context).values()) == {1}


@behave.then("its record was in {form}")
def check_form(context, form):
    assert (context.first_part is not None) == (form == "parts")
