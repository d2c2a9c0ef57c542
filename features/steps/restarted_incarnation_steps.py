"""Steps about what the owner knows of a worker that has started again."""

from __future__ import annotations

import dataclasses
import json
from unittest import mock

import behave
import gevent
import gevent.event

from features import job_bench as benches
from features import job_models as models
from features import vm_bench
from rackvalve.jobs import definition
from rackvalve.jobs import incarnations
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve.manager.owner import admission as admissions
from rackvalve.manager.owner import worker_session as worker_sessions
from rackvalve.platform import advisers
from rackvalve.platform import documents
from rackvalve.platform import reports
from rackvalve.platform import workers as clients
from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import fencing_tokens
from rackvalve.scheduling import fleet
from rackvalve.scheduling import maintenance
from rackvalve.scheduling import messages
from rackvalve.scheduling import queues
from rackvalve.scheduling import workers

EARLIER = "w1@1000"
LATER = "w1@2000"
LISTS = "lists it"
DRAINED = "drained before, names nothing"
ENDS = {
    "tells its good end as its 1st": messages.Ending.DONE,
    "tells that it was stopped": messages.Ending.CUT_SHORT,
}


@behave.given("a task that runs on a worker which has told 8 ends")
def start_task(context):
    bench = context.bench = benches.Bench([EARLIER])
    context.state = bench.add(definition.Step(tasks=1, cpu=1))
    (context.order,) = bench.start_all()
    bench.now += 1.0
    strays = [("x.0.0.0", 1, messages.Ending.DONE)] * 8
    bench.report(EARLIER, bench.rows(EARLIER), strays)
    assert bench.cluster.workers[EARLIER].handled == 8


def start_again(bench, running=(), ended=()):
    """Let a later incarnation of the worker report its runs."""
    entry = bench.cluster.workers[EARLIER].entry
    bench.cluster.set_entry(make_entry(LATER, entry))
    bench.numbers[LATER] = 0
    bench.now += 0.5
    bench.report(LATER, running, ended)


def make_entry(identity, entry=None):
    return fleet.Entry(
        identity=identity,
        pool=entry.pool if entry else "pool",
        host="",
        port=0,
        vm=entry.vm if entry else EARLIER,
        rack="r",
        hall="h",
        labels=frozenset(),
        capacity=entry.capacity if entry else vm_bench.WIDE,
        draining=False,
        remaining=None,
    )


def list_run(context):
    return [
        messages.RunningRow(
            task=f"{context.state.identity}.0.0.0",
            run=1,
            checkpoint="",
            percent=5,
            load=0.0,
        )
    ]


@behave.when("the worker starts again and {tells}")
@behave.when("the worker's present incarnation {tells}")
def report(context, tells):
    bench = context.bench
    full = f"{context.state.identity}.0.0.0"
    if tells == DRAINED:
        entry = bench.cluster.workers[EARLIER].entry
        fields = {name: getattr(entry, name) for name in entry.__slots__}
        drained = fleet.Entry(**{**fields, "draining": True})
        bench.cluster.set_entry(drained)
    running = list_run(context) if tells == LISTS else ()
    ended = [(full, 1, ENDS[tells])] if tells in ENDS else ()
    if EARLIER in bench.cluster.workers:
        start_again(bench, running, ended)
        return
    bench.cluster.set_entry(make_entry(LATER))
    bench.numbers[LATER] = 0
    bench.report(LATER, running, ended)


@behave.then("the task {where}, and {crashes} counts against it")
def check_task(context, where, crashes):
    task = next(iter(context.state.tasks.values()))
    assert task.crashes == (crashes == "a crash"), task.crashes
    if where == "waits":
        assert not task.runs and task.name in context.state.waiting
    elif where == "is done":
        assert task.done and not task.runs
    else:
        (run,) = task.runs.values()
        present = context.bench.cluster.find_current("w1").identity
        assert run.worker in (present, EARLIER), run.worker
        worker = context.bench.cluster.workers[run.worker]
        assert worker.established and len(worker.runs) == 1


@behave.then("the earlier incarnation is forgotten")
def check_forgotten(context):
    bench = context.bench
    assert list(bench.cluster.workers) == [LATER]
    assert bench.cluster.workers_by_name.find("w1") == [
        bench.cluster.workers[LATER]
    ]
    (release,) = bench.handler.released
    assert release.worker == EARLIER


@behave.when("it is to be stopped, and the worker starts again and lists it")
def stop_and_list(context):
    task = next(iter(context.state.tasks.values()))
    (run,) = task.runs.values()
    context.bench.cluster.stop(context.state, task, run, "a reason")
    context.bench.cluster.orders.clear()
    start_again(context.bench, list_run(context))


@behave.then("the later incarnation is told to stop it")
def check_stop(context):
    (stop,) = context.bench.stops()
    assert stop.worker == LATER and stop.run == 1


@behave.given(
    "a new owner with a record of a run on a worker, without its start time"
)
def read_record(context):
    bench = context.bench = benches.Bench([])
    state = context.state = progress.JobState(
        benches.IDENTITY,
        "queue",
        definition.Job(spec="x", steps=(definition.Step(tasks=1, cpu=1),)),
        bench.now,
    )
    name = definition.TaskName(repetition=0, step=0, index=0)
    run = progress.Run(1, "w1", progress.Stage.ORDERED, bench.now)
    run.inherited = True
    state.task(name).runs[1] = run
    state.next_run = 2
    bench.cluster.add_job(state, bench.now, bench.now)


@behave.given(
    "a worker that is closed, suspected, slow, ordered away and 100 s ahead"
)
def mark_worker(context):
    bench = context.bench = benches.Bench([EARLIER])
    worker = bench.cluster.workers[EARLIER]
    worker.close_reason = "it is closed"
    worker.backoff_until = bench.now + 100.0
    worker.failures = 5
    worker.slowness = 4.0
    worker.ordered_away = True
    worker.handled = 8
    worker.unrecorded = [workers.UnrecordedEnd(8, "a")]


@behave.when("it has started again and has told what it has")
def report_nothing(context):
    start_again(context.bench)


@behave.then("it takes work as a worker that was never seen before")
def check_fresh(context):
    bench = context.bench
    found = bench.cluster.workers[LATER]
    other = benches.Bench([LATER]).cluster.workers[LATER]
    for field in (
        "close_reason",
        "backoff_until",
        "failures",
        "slowness",
        "ordered_away",
        "handled",
        "unrecorded",
    ):
        assert getattr(found, field) == getattr(other, field), field
    assert found.takes_work(bench.now, 0.9)


@behave.when(
    "an entry names another start time of the worker, which still answers"
)
def name_other(context):
    bench = context.bench
    entry = bench.cluster.workers[EARLIER].entry
    bench.cluster.set_entry(make_entry("w1@900", entry))
    bench.now += 0.5
    bench.report(EARLIER, bench.rows(EARLIER))


@behave.given(
    "an incarnation that began {age:d} s ago, after one that lists have named"
)
def add_later(context, age):
    bench = context.bench = benches.Bench([])
    context.maintenance = maintenance.MaintenancePlanner(bench.cluster)
    context.detector = failure_detector.FailureDetector(
        bench.cluster, context.maintenance
    )
    bench.cluster.set_entry(make_entry(LATER))
    bench.add(definition.Step(tasks=1, cpu=1))
    bench.numbers[LATER] = 0
    take_list(context, "w1")
    bench.handler.apply(
        bench.cluster.workers[LATER],
        messages.Report(
            sent=bench.now, running=(), ended=(), clock=float(age)
        ),
        now=bench.now,
        wall=bench.now,
    )
    bench.start_all()
    bench.now += 0.1
    bench.report(LATER, bench.rows(LATER))


def take_list(context, worker):
    bench = context.bench
    row = vm_bench.list_vm(EARLIER, worker=worker, up=bool(worker))
    context.maintenance.take_list([row], bench.now)
    context.detector.check(bench.now)


@behave.when("a list is read right after its last answer and names no worker")
def list_nobody(context):
    context.bench.now += 0.8
    take_list(context, "")


@behave.then("its incarnation is {proved}")
def check_proved(context, proved):
    worker = context.bench.cluster.workers[LATER]
    is_over = worker.lease_expiry == float("-inf")
    assert is_over == (proved == "proved over"), worker.lease_expiry


@behave.given("an entry and a list whose start time is {told}")
def read_births(context, told):
    field = {} if told == "left out" else {"born": json.loads(told)}
    entry = {"addr": "127.0.0.1:7", "service": "p", "state": "ready"}
    text = json.dumps({**entry, **field}).encode()
    read = documents.read_worker("servers/w1", text)
    report = {"clock-ms": 7, "running": [], "ended": []}
    text = json.dumps({**report, **field}).encode()
    context.births = [
        incarnations.parse_incarnation(read.identity).born,
        reports.read_report(text).born,
    ]


@behave.then("it is {taken} for a start time")
def check_births(context, taken):
    expected = 1771263913116 if taken == "taken" else None
    assert context.births == [expected, expected], context.births


@behave.then("these incarnations are read from their identities as they were")
def check_identities(context):
    for row in context.table:
        born = int(row["born"]) if row["born"] else None
        made = incarnations.Incarnation(worker=row["name"], born=born)
        assert made.identity == row["identity"], made.identity
        assert incarnations.parse_incarnation(made.identity) == made, made


@behave.given(
    "an owner and a worker that refuses its token for one that {whose} has "
    "shown"
)
def refuse_token(context, whose):
    bench = benches.Bench([EARLIER])
    context.worker = bench.cluster.workers[EARLIER]
    context.owner = mock.Mock(tokens=fencing_tokens.FencingTokens(7))
    context.owner.is_stored.return_value = False
    if whose == "it itself":
        later = bench.cluster.add_incarnation(LATER)
        context.owner.tokens.raise_for(later, 9)
    client = mock.Mock()
    client.hold.return_value = clients.Rejected(
        clock=1.0, reason=clients.Reason.FENCED
    )
    session = worker_sessions.WorkerSession(
        context.owner, context.worker, client
    )
    session._handle_outcome(session._hold())


@behave.then("by that refusal the owner {does}")
def check_token(context, does):
    shown = context.owner.tokens.find(context.worker)
    assert shown == (9 if does == "uses that one" else 7), shown
    assert context.owner.depose.called == (does == "is deposed")


@behave.given(
    "an owner with two calls on their way, and a token that it raises "
    "meanwhile"
)
def leave_calls(context):
    bench = benches.Bench([EARLIER])
    context.worker = bench.cluster.workers[EARLIER]
    context.owner = mock.Mock(tokens=fencing_tokens.FencingTokens(7))
    context.owner.is_stored.return_value = False
    context.refused = gevent.event.Event()

    def refuse(**fields):
        context.refused.wait()
        return clients.Rejected(clock=1.0, reason=clients.Reason.FENCED)

    client = mock.Mock(**{"hold.side_effect": refuse})
    session = worker_sessions.WorkerSession(
        context.owner, context.worker, client
    )
    context.calls = [
        gevent.spawn(lambda: session._handle_outcome(session._hold()))
        for _ in range(2)
    ]
    gevent.sleep(0.01)
    later = bench.cluster.add_incarnation(LATER)
    context.owner.tokens.raise_for(later, 9)


@behave.when("the worker refuses both")
def refuse_both(context):
    context.refused.set()
    gevent.joinall(context.calls, timeout=1.0, raise_error=True)


@behave.then("the owner is not deposed, and uses the raised token")
def check_not_deposed(context):
    assert not context.owner.depose.called, context.owner.depose.call_args
    assert context.owner.tokens.find(context.worker) == 9


class FakeAdviser:
    """Admits each worker that it is asked about."""

    def __init__(self):
        self.asked = []

    def ask(self, step, workers, timeout):
        self.asked.append(workers)
        tickets = {worker: f"ticket-{worker}" for worker in workers}
        return advisers.Admitted(tickets=tickets, valid=60.0)


@behave.given("a step whose only worker is admitted for a minute")
def admit(context):
    bench = context.bench = benches.Bench([EARLIER])
    advice = queues.AdmissionLimits(
        decide_time=0.1, worker_time=0.01, valid=60.0
    )
    queue = dataclasses.replace(models.QUEUE, admission=advice)
    bench.cluster.set_configuration(
        dataclasses.replace(models.CONFIGURATION, queues=(queue,))
    )
    context.state = bench.add(definition.Step(tasks=1, cpu=1))
    context.adviser = FakeAdviser()
    context.admission = admissions.Admission(
        context.adviser, bench.cluster, bench.planner, on_change=lambda: None
    )
    ask_next(context)
    assert context.adviser.asked == [[EARLIER]]
    ask_next(context)
    assert context.adviser.asked == [[EARLIER]]


def ask_next(context):
    now = context.bench.now
    with mock.patch.object(admissions.clocks, "read_steady", return_value=now):
        context.admission._ask_next()


@behave.when("the worker starts again")
def begin_later(context):
    start_again(context.bench)
    ask_next(context)


@behave.then(
    "it is asked whether the later incarnation may run the step, and it may"
)
def check_asked(context):
    assert context.adviser.asked == [[EARLIER], [LATER]]
    context.bench.plan()
    (order,) = context.bench.starts()
    assert order.worker == LATER


@behave.given(
    "a job with runs on two incarnations of one worker and on one without a "
    "start time"
)
def make_runs(context):
    context.state = make_state()
    name = definition.TaskName(repetition=0, step=0, index=0)
    context.on = {1: EARLIER, 2: LATER, 3: "w2"}
    for number, identity in context.on.items():
        run = progress.Run(
            number,
            identity,
            progress.Stage.ORDERED,
            0.0,
            location=progress.Location(host="h", port=1, vm="m"),
        )
        context.state.task(name).runs[number] = run


def make_state():
    return progress.JobState(
        benches.IDENTITY,
        "queue",
        definition.Job(spec="x", steps=(definition.Step(tasks=1, cpu=1),)),
        0.0,
    )


@behave.when("its record is written and read")
def write_and_read(context):
    context.record = records.encode_progress(context.state)


def read_workers(payload):
    """Return the workers' identities in a record, by number of the run."""
    state = make_state()
    records.decode_progress(state, payload, 0.0)
    (task,) = state.tasks.values()
    assert all(run.location is not None for run in task.runs.values())
    return {number: run.worker for number, run in task.runs.items()}


@behave.then(
    "the runs are on the same incarnations, and the record's runs have names "
    "alone"
)
def check_record(context):
    assert read_workers(context.record) == context.on
    (task,) = json.loads(context.record)["tasks"]
    assert [[1, "w1"], [2, "w1"], [3, "w2"]] in task, task


@behave.then(
    "a record of an earlier release has incarnations without start times"
)
def check_earlier(context):
    record = json.loads(context.record)
    (task,) = record["tasks"]
    assert task.pop() == [1000, 2000, 0]
    found = read_workers(json.dumps(record).encode())
    assert found == {1: "w1", 2: "w1", 3: "w2"}, found
