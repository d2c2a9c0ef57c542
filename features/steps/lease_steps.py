"""Steps about the leases on workers that answer late."""

from __future__ import annotations

import time
from unittest import mock

import behave
import gevent

from features import job_bench as benches
from features.steps import late_start_steps
from rackvalve.jobs import definition
from rackvalve.manager.owner import worker_session as worker_sessions
from rackvalve.manager import timing
from rackvalve.platform import connections
from rackvalve.platform import workers as clients
from rackvalve.scheduling import messages


class _OverError(Exception):
    """Ends a scenario at the end of its time."""


class SlowWorker:
    """A worker whose answers to holds come late, with a clock of its own."""

    def __init__(self):
        self.now = 100.0
        self.lease = self.now + timing.WORKER_LEASE_S
        self.has_expired = False
        # Delay of each answer, and stall of the owner in its first hold, in
        # seconds.
        self.delay = 0.0
        self.pause = 0.0
        # End of the lease that each hold asked for.
        self.asked = []

    def hold(self, *, lease_until, wait, timeout=timing.ORDER_TIMEOUT_S, **_):
        sent = self.now
        self.asked.append(lease_until)
        # A delayed answer includes the wait.
        answered = sent + (self.delay or wait)
        # A delayed worker applies the new lease at the end of the delay.
        self.has_expired |= sent + self.delay > self.lease
        if lease_until is not None:
            self.lease = max(self.lease, lease_until)
        pause, self.pause = self.pause, 0.0
        self.now = max(min(answered, sent + wait + timeout), sent + pause)
        if self.now < answered or pause:
            return connections.NoAnswer(reason="no answer in time", sent=True)
        return clients.Report(clock=self.now, running=(), ended=())


class Owner(late_start_steps.FakeOwner):
    """An owner that accepts reports."""

    def apply_report(self, worker, report, now):
        worker.last_alive_at = now


@behave.given("an owner that has just extended a worker's lease")
def make_session(context):
    worker = benches.Bench(["w1"]).cluster.workers["w1"]
    context.client = SlowWorker()
    context.session = worker_sessions.WorkerSession(
        Owner(True), worker, context.client
    )
    context.session._clock.note(context.client.now, context.client.now)


@behave.when("for 20 s each hold is answered 1.2 s later")
def delay_answers(context):
    context.client.delay = 1.2
    run_holds(context)


@behave.when("for 20 s no hold is answered")
def lose_answers(context):
    context.client.delay = 100.0
    run_holds(context)


@behave.then("only the first of them has asked for a longer lease")
def check_asked(context):
    asked = context.client.asked
    assert len(asked) > 5 and asked[0] is not None, asked
    assert set(asked[1:]) == {None}, asked


@behave.when("for 20 s the owner stands still once, 3.5 s")
def stall_owner(context):
    context.client.pause = 3.5
    run_holds(context)


def run_holds(context):
    client = context.client
    until = client.now + 20.0

    def pause(seconds):
        client.now += seconds

    def read():
        if client.now > until:
            raise _OverError
        return client.now

    with (
        mock.patch.object(worker_sessions.gevent, "sleep", pause),
        mock.patch.object(worker_sessions.clocks, "read_steady", read),
    ):
        try:
            context.session._hold_forever()
        except _OverError:
            pass


@behave.then("the lease has not lapsed")
def check_lease(context):
    client = context.client
    assert not client.has_expired and client.now < client.lease


@behave.given("a session whose client fails at each hold and stop")
def make_failing(context):
    context.client = mock.Mock()
    for call in (context.client.hold, context.client.stop):
        call.side_effect = TypeError("an odd document")
    worker = benches.Bench(["w1"]).cluster.workers["w1"]
    context.owner = mock.Mock(**{"is_stored.return_value": False})
    context.session = worker_sessions.WorkerSession(
        context.owner, worker, context.client
    )


@behave.given("a session whose owner fails at each report")
def make_failing_owner(context):
    client = mock.Mock()
    client.hold.return_value = clients.Report(clock=1.0, running=(), ended=())
    client.stop.return_value = clients.Done(clock=1.0)
    worker = benches.Bench(["w1"]).cluster.workers["w1"]
    context.owner = mock.Mock(**{"is_stored.return_value": False})
    context.owner.apply_report.side_effect = KeyError("half changed")
    context.session = worker_sessions.WorkerSession(
        context.owner, worker, client
    )


@behave.when("it is started and told to stop a run")
def start_and_stop(context):
    context.session.start()
    context.session.send(
        messages.StopRun(worker="w1", task="t", run=1, reason="")
    )
    with mock.patch.object(worker_sessions.logs, "write_failure") as told:
        gevent.sleep(0.3)
    context.told = told.call_args_list
    context.session.close()


@behave.then("its owner stays, the failures are told, and each is tried again")
def check_stays(context):
    context.owner.depose.assert_not_called()
    context.owner.fail.assert_not_called()
    assert len(context.told) > 1
    assert context.client.hold.call_count > 1
    assert context.client.stop.call_count > 1


@behave.then("its owner fails on that worker, and says so")
def check_given_up(context):
    context.owner.fail.assert_called_once_with("w1")


@behave.given(
    "a session whose worker answers holds, and starts after {late:g} seconds"
)
def make_late_starts(context, late):
    context.answers_from = time.monotonic() + late
    context.client = mock.Mock()
    context.client.start.side_effect = lambda **fields: answer_start(context)


def answer_start(context):
    gevent.sleep(0.2)
    if time.monotonic() < context.answers_from:
        return connections.NoAnswer(reason="timed out", sent=True)
    return clients.Done(clock=1.0)


@behave.when("it is to start a task that {lasts}")
def start_task(context, lasts):
    bench = benches.Bench(["w1"])
    bench.add(definition.Step(cpu=1, lasting=lasts == "lasts"))
    bench.plan()
    (order,) = bench.starts()
    context.owner = mock.Mock(**{"is_stored.return_value": False})
    session = worker_sessions.WorkerSession(
        context.owner, bench.cluster.workers["w1"], context.client
    )
    session._clock.note(1.0, time.monotonic())
    with gevent.Timeout(3.5, False):
        session.start_run(order)


@behave.then("the start {result} within 3.5 seconds")
def check_start(context, result):
    expected = {
        "is taken": messages.StartResult.STARTED,
        "is given up": messages.StartResult.UNWELL,
    }
    (call,) = context.owner.apply_start_result.call_args_list
    assert call.args[1] is expected[result], call
