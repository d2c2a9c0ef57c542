"""Steps about late starts, stops of unlisted workers, and late answers."""

from __future__ import annotations

from unittest import mock

import behave
import gevent

from features import job_bench as benches
from features import job_models as models
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.manager.owner import worker_registry as worker_registries
from rackvalve.manager.owner import worker_session as worker_sessions
from rackvalve.manager import timing
from rackvalve.platform import connections
from rackvalve.platform import documents
from rackvalve.platform import workers as clients
from rackvalve.scheduling import fencing_tokens
from rackvalve.scheduling import messages
from rackvalve.scheduling import worker_clock
from rackvalve.scheduling import workers

RUNNING_ON = "w9"


class FakeOwner:
    """An owner that may or may not extend leases."""

    committed_revision = 0

    def __init__(self, may_extend):
        self.allowed = may_extend
        self.results = []
        self.tokens = fencing_tokens.FencingTokens(7)

    def is_stored(self, job, write):
        return False

    def may_extend(self, now):
        return self.allowed

    def apply_start_result(self, placed, result, uncertain):
        self.results.append(result)


class FakeClient:
    """A worker that rejects the first start since its lease is over."""

    def __init__(self):
        self.leases = []

    def start(self, *, lease_until, **fields):
        self.leases.append(lease_until)
        if len(self.leases) == 1:
            return clients.Rejected(
                clock=100.0, reason=clients.Reason.LEASE_OVER
            )
        return clients.Done(clock=100.0)


@behave.given(
    "an owner that {may} extend leases, and a start that its worker found "
    "too late"
)
def make_session(context, may):
    bench = benches.Bench(["w1"])
    bench.add(definition.Step(tasks=1, cpu=1))
    bench.plan()
    (context.order,) = bench.starts()
    worker = bench.cluster.workers["w1"]
    context.client = FakeClient()
    context.owner = FakeOwner(True)
    context.session = worker_sessions.WorkerSession(
        context.owner, worker, context.client
    )
    context.session._clock.note(50.0, 1000.0)
    context.may = may == "may"


@behave.when("the start is tried again")
def try_again(context):
    def pause(seconds):
        # The owner may lose the right to extend leases between two attempts.
        context.owner.allowed = context.may
        if len(context.pauses) > 3:
            context.bench_placed.run.stop_wanted = True
        context.pauses.append(seconds)

    context.pauses = []
    key = (f"{context.order.job}.{context.order.task}", context.order.run)
    context.bench_placed = context.session._worker.runs[key]
    with (
        mock.patch.object(worker_sessions.gevent, "sleep", pause),
        mock.patch.object(
            worker_sessions.clocks, "read_steady", lambda: 1000.0
        ),
    ):
        context.session.start_run(context.order)


@behave.then("a new lease is asked for")
def check_lease(context):
    assert len(context.client.leases) == 2, context.client.leases
    assert context.owner.results == [messages.StartResult.STARTED]


@behave.then("a new lease is not asked for")
def check_no_lease(context):
    assert len(context.client.leases) == 1, context.client.leases


@behave.given(
    "a new owner that has read a cancelled job with a run on a worker"
)
def read_cancelled(context):
    context.bench = benches.Bench([])
    state = progress.JobState(
        benches.IDENTITY,
        "queue",
        definition.Job(spec="x", steps=(definition.Step(tasks=1, cpu=1),)),
        context.bench.now,
    )
    name = definition.TaskName(repetition=0, step=0, index=0)
    run = progress.Run(1, RUNNING_ON, progress.Stage.ORDERED, 0.0)
    run.inherited = True
    state.task(name).runs[1] = run
    cluster = context.bench.cluster
    cluster.add_job(state, context.bench.now, context.bench.now)
    cluster.cancel_job(benches.IDENTITY, context.bench.now)
    context.registry = worker_registries.WorkerRegistry(
        FakeOwner(True), cluster, on_change=lambda: None
    )


@behave.when("the order to stop is due before the worker has an entry")
def send_early(context):
    (order,) = context.bench.stops()
    assert order.worker == RUNNING_ON, order
    assert not context.registry.send(order)
    context.order = order


class FakeSession:
    """Records the orders that it is given."""

    def __init__(self, owner, worker, client):
        self.sent = []

    def start(self):
        pass

    def close(self):
        pass

    def send(self, order):
        self.sent.append(order)


def add_entry(context):
    entry = mock.Mock(
        identity=RUNNING_ON,
        pool="pool",
        vm="m9",
        host="127.0.0.1",
        port=1,
        draining=False,
        remaining=None,
    )
    entry.capacity = benches.models.CAPACITY
    item = mock.Mock(key="k", payload=b"", revision=1)
    with (
        mock.patch.object(documents, "read_worker", lambda *_, **__: entry),
        mock.patch.object(worker_sessions, "WorkerSession", FakeSession),
    ):
        context.registry.apply_changes(mock.Mock(written=(item,), removed=()))


@behave.then("it is sent to the worker once its entry is there")
def check_sent(context):
    add_entry(context)
    session = context.registry.find_session(RUNNING_ON)
    assert session.sent == [context.order], session.sent


@behave.then("no such order is kept for a worker whose incarnation is over")
def check_dropped(context):
    context.registry.end_incarnation(RUNNING_ON, "another life answers")
    context.bench.cluster.orders.clear()
    assert not context.registry.send(context.order)
    context.registry.end_incarnation(RUNNING_ON, "its entry is gone")
    add_entry(context)
    assert not context.registry.find_session(RUNNING_ON).sent


@behave.given("a worker whose clock is 2 % slow, read {seconds:g} s ago")
def read_slow_clock(context, seconds):
    context.now = seconds
    context.clock = worker_clock.WorkerClock()
    context.clock.note(0.0, 0.0)


@behave.then("a lease of 4 s that begins now is over by then")
def check_lease_over(context):
    worker = workers.WorkerState("w1", None, 0.0)
    worker.note_extension(context.now, timing.WORKER_LEASE_S)
    until = context.clock.read(context.now) + timing.WORKER_LEASE_S
    assert until / models.SLOWEST <= worker.lease_expiry


@behave.given("a worker whose answer waited {seconds:g} s for its owner")
def handle_late(context, seconds):
    context.bench = benches.Bench(["w1"])
    context.bench.add(definition.Step(tasks=1, cpu=1))
    sent = context.bench.now
    context.bench.now += seconds
    context.bench.handler.apply(
        context.bench.cluster.workers["w1"],
        messages.Report(sent=sent, running=(), ended=()),
        now=context.bench.now,
        wall=context.bench.now,
    )


@behave.then("it gets no work before it answers again")
def check_not_fresh(context):
    context.bench.plan()
    assert not context.bench.starts()
    context.bench.report("w1")
    context.bench.plan()
    assert context.bench.starts()


@behave.when("it has no answer in time, and a report lists the run")
def list_run(context):
    run = context.session._worker.runs[
        f"{context.order.job}.{context.order.task}", context.order.run
    ].run

    def report(seconds):
        assert not context.client.start.call_count > 1
        run.stage = progress.Stage.CONFIRMED

    context.client = context.session._client = mock.Mock()
    context.client.start.return_value = connections.NoAnswer(
        reason="no answer in time", sent=True
    )
    with mock.patch.object(worker_sessions.gevent, "sleep", report):
        context.session.start_run(context.order)


@behave.then("it was sent once")
def check_sent_once(context):
    context.client.start.assert_called_once()


@behave.when("it has no answer for {seconds:d} s")
def leave_unanswered(context, seconds):
    clock = iter(range(1000, 1000 + 100 * seconds))
    context.client = context.session._client = mock.Mock()
    context.client.start.return_value = connections.NoAnswer(
        reason="no answer in time", sent=True
    )
    with (
        mock.patch.object(worker_sessions.gevent, "sleep"),
        mock.patch.object(
            worker_sessions.clocks, "read_steady", clock.__next__
        ),
    ):
        context.session.start_run(context.order)


@behave.then(
    "the run is to be sealed by a stop, which waits for no other order"
)
def check_sealed(context):
    assert context.owner.results == [messages.StartResult.UNWELL]
    context.client.stop.return_value = clients.Done(clock=100.0)
    context.owner.confirm_stop = mock.Mock()
    full = f"{context.order.job}.{context.order.task}"
    # No sender was started, since a stop needs none.
    context.session.send(
        messages.StopRun(
            worker="w1", task=full, run=context.order.run, reason=""
        )
    )
    gevent.sleep(0.01)
    context.owner.confirm_stop.assert_called_once()
