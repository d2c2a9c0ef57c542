"""Steps about calls that reach a later incarnation of their worker."""

from __future__ import annotations

import behave

from rackvalve.jobs import incarnations
from rackvalve.platform import workers as clients
from standins import gangs
from standins import serving
from standins import worker as standins
from tools import fleet as fleets

HOST = "127.0.0.1"
NAME = "i-1"
TIMEOUT_S = 2.0
LEASE_S = 4.0
SPEC = "work_ms=1"


class FakeSite:
    """The part of a site that the stand-in of a worker uses."""

    tick = 0.005

    def __init__(self):
        self.host = HOST
        self.reports_start_times = True
        self.started = []
        self.gangs = gangs.Gangs()

    def note(self, kind, worker, task, run, detail):
        if kind == "start":
            self.started.append((worker.born, task, run))

    def note_known(self, worker, row):
        pass


class Incarnations:
    """Incarnations of a worker, one after the other at one address."""

    def __init__(self):
        self.site = FakeSite()
        self.port = fleets.find_port()
        self.current = None

    def begin(self, born):
        """Start the next incarnation."""
        if self.current is not None:
            self.current.end("crash")
            self.current.server.stop(timeout=0)
            self.current.close_connections()
        self.current = standins.Worker(
            self.site, "m-1", "pool", self.port, {}, identity=NAME
        )
        self.current.born = born
        self.current.server = serving.make_server(
            HOST, self.port, self.current
        )
        self.current.server.start()

    def order(self, path, **fields):
        """Have the present incarnation carry out an order."""
        self.current.execute(path, {"fence": 1, **fields})


def hold(client, acknowledged=0, fence=1):
    return client.hold(
        lease_until=None,
        fence=fence,
        acknowledged=acknowledged,
        wait=0.0,
        timeout=TIMEOUT_S,
        min_clock=0.0,
    )


def start(client, task, fence=1):
    return client.start(
        task=task,
        run=1,
        spec=SPEC,
        lease_until=LEASE_S,
        fence=fence,
        checkpoint="",
        ticket="",
        min_clock=0.0,
    )


def stop(client):
    return client.stop(task="t.0.0.9", run=1, fence=1, min_clock=0.0)


CALLS = {
    "a start": lambda client: start(client, "t.0.0.2"),
    "a stop": stop,
    "a hold that lets it forget 8 ends": lambda client: hold(client, 8),
    "a start while all answers end their connection": (
        lambda client: start(client, "t.0.0.2")
    ),
}


@behave.given(
    "a worker that has answered a hold and an order, and then starts again"
)
def restart_worker(context):
    context.sequence = Incarnations()
    context.sequence.begin(1000)
    first = incarnations.Incarnation(worker=NAME, born=1000)
    context.client = clients.Worker(
        HOST, context.sequence.port, first.identity, timeout=TIMEOUT_S
    )
    assert isinstance(hold(context.client), clients.Report)
    assert isinstance(stop(context.client), clients.Done)
    context.sequence.begin(2000)


@behave.when(
    "its next incarnation has a task that has ended, and is sent {call} meant "
    "for the one before"
)
def send_call(context, call):
    if "end their connection" in call:
        context.sequence.current.fault = "closing"
    fields = {"task": "t.0.0.1", "run": 1, "spec": "work_ms=0"}
    context.sequence.order("/run-start", **fields, **{"until-ms": 9000})
    context.sequence.current.run_ended.wait(TIMEOUT_S)
    assert len(context.sequence.current.ended) == 1
    context.outcome = CALLS[call](context.client)


@behave.then("the answer is that another incarnation is there")
def check_other(context):
    assert isinstance(context.outcome, clients.OtherLife), context.outcome
    assert context.outcome.born == 2000, context.outcome


@behave.then("the next incarnation has started nothing and keeps its end")
def check_kept(context):
    worker = context.sequence.current
    assert context.sequence.site.started == [(2000, "t.0.0.1", 1)]
    assert [row[0] for row in worker.ended] == [1], worker.ended
    worker.end("over")
    worker.server.stop(timeout=0)
    context.client.close()
