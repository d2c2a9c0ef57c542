"""A server that answers each call twice, and what its clients take of it."""

from __future__ import annotations

import json
import time
import urllib.parse

import gevent
from gevent import server as gevent_server

from rackvalve.platform import advisers
from rackvalve.platform import connections
from rackvalve.platform import machines
from rackvalve.platform import store as stores
from rackvalve.platform import workers
from rackvalve.scheduling import worker_clock

TIMEOUT_S = 0.5
# How long a call takes, how much later its answer comes again, and the pause
# before the next call, in seconds: the second answer meets the next call.
WORK_S = 0.012
SECOND_S = 0.008
PAUSE_S = 0.002
# The platform's clock and revisions are beyond 0 from the beginning.
REVISION = 100
IDENTITY = "i-1"


class Stutterer:
    """Answers each call with its number, and once more.

    :param at_once: Whether the second answer is sent with the first.
    """

    def __init__(self, *, at_once):
        self.calls = 0
        # What the worker's clock showed as each call was answered.
        self.clocks = {}
        self._at_once = at_once
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", 0), self._serve
        )
        self._server.start()
        self.port = self._server.server_port

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, address):
        try:
            while head := sock.recv(65536):
                self.calls += 1
                gevent.sleep(WORK_S)
                answer = self._write(self.calls, head)
                if self._at_once:
                    sock.sendall(answer + answer)
                    continue
                sock.sendall(answer)
                gevent.spawn_later(SECOND_S, _send, sock, answer)
        except OSError:
            return

    def _write(self, number, head):
        path = head.split()[1].decode()
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(path).query)
        self.clocks[number] = int(time.monotonic() * 1000)
        body = self._describe(number, path, query)
        text = json.dumps(body).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        return head % len(text) + text

    def _describe(self, number, path, query):
        revision = REVISION + number
        if path == "/hold":
            row = [f"{0:016x}.0.0.{number}", 1, "", 0, 0]
            return {
                "clock-ms": self.clocks[number],
                "running": [row],
                "ended": [],
            }
        if path.startswith("/run-"):
            return {"clock-ms": self.clocks[number]}
        if path == "/kv-txn":
            return {"rev": revision}
        if path.startswith("/kv-key"):
            item = {"key": query["key"][0], "value": "", "rev": revision}
            return {**item, "made": 1, "lease": 0, "at": revision}
        if path.startswith("/kv-range"):
            return {"items": [], "more": False, "at": revision}
        if path.startswith("/kv-watch"):
            after = int(query["after-rev"][0])
            events = [
                {"key": "k", "value": "", "rev": one, "made": 1}
                for one in range(max(after, REVISION) + 1, revision + 1)
            ]
            return {"events": events, "at": revision}
        if path == "/kv-lease":
            return {"lease": number, "ttl_ms": 1000}
        if path == "/machines":
            row = {"machine": f"m-{number}", "state": "up"}
            return {"machines": [row], "next-token": None}
        return {"good": [[IDENTITY, f"ticket-{number}"]], "valid_ms": 1000}


def _send(sock, answer):
    try:
        sock.sendall(answer)
    except OSError:
        # Its client has closed the connection.
        return


class Clients:
    """The product's clients of one server.

    :param server: The server.
    """

    def __init__(self, server):
        self._server = server
        host, port = "127.0.0.1", server.port
        self.worker = workers.Worker(host, port, IDENTITY, timeout=TIMEOUT_S)
        self.store = stores.Store(
            host,
            port,
            timeout=TIMEOUT_S,
            on_call=lambda call, outcome: None,
        )
        self.machines = machines.Machines(
            connections.HttpClient(host, port), "vm", timeout=TIMEOUT_S
        )
        self.adviser = advisers.Adviser(connections.HttpClient(host, port))
        self._revision = REVISION
        self._clock = worker_clock.WorkerClock()

    def hold(self):
        """Return whose answer a hold took, by number; ``None`` for none."""
        outcome = self.worker.hold(
            lease_until=None,
            fence=1,
            acknowledged=0,
            wait=0.0,
            timeout=TIMEOUT_S,
            min_clock=self._clock.find_min(time.monotonic()),
        )
        if not isinstance(outcome, workers.Report):
            return None
        self._clock.note(outcome.clock, time.monotonic())
        return int(outcome.running[0].task.split(".")[-1])

    def order(self):
        """The same for an order."""
        outcome = self.worker.stop(
            task="t",
            run=1,
            fence=1,
            min_clock=self._clock.find_min(time.monotonic()),
        )
        if not isinstance(outcome, workers.Done):
            return None
        self._clock.note(outcome.clock, time.monotonic())
        shown = round(outcome.clock * 1000)
        clocks = self._server.clocks
        return next(n for n, clock in clocks.items() if clock == shown)

    def commit(self):
        """The same for a commit."""
        outcome = self.store.commit([], [stores.Put(key="k", payload=b"")])
        if not isinstance(outcome, stores.Committed):
            return None
        return outcome.revision - REVISION

    def read(self):
        """The same for a reading of one key."""
        outcome = self.store.read("k")
        if not isinstance(outcome, stores.Item):
            return None
        return outcome.revision - REVISION

    def read_range(self):
        """The same for a reading of all items."""
        outcome = self.store.read_range("k")
        if not isinstance(outcome, stores.Range):
            return None
        return outcome.revision - REVISION

    def watch(self):
        """The same for a watch that goes on from the last one."""
        outcome = self.store.watch("k", self._revision, 0.0, slack=TIMEOUT_S)
        if not isinstance(outcome, stores.Changes) or not outcome.written:
            return None
        told = [item.revision for item in outcome.written]
        expected = list(range(self._revision + 1, outcome.revision + 1))
        self._revision = outcome.revision
        # An earlier answer serves as well if nothing is missed or told twice.
        return self._server.calls if told == expected else 0

    def open_lease(self):
        """The same for the opening of a lease."""
        outcome = self.store.open_lease(1.0)
        return getattr(outcome, "identity", None)

    def list_vms(self):
        """The same for a list of VMs."""
        outcome = self.machines.list_vms()
        if not isinstance(outcome, list):
            return None
        return int(outcome[0].identity.removeprefix("m-"))

    def ask(self):
        """The same for an admission."""
        outcome = self.adviser.ask("step", [IDENTITY], TIMEOUT_S)
        if not isinstance(outcome, advisers.Admitted):
            return None
        return int(outcome.tickets[IDENTITY].removeprefix("ticket-"))


CALLS = {
    "a hold": (Clients.hold,),
    "an order": (Clients.order,),
    "a hold after an order": (Clients.order, Clients.hold),
    "a commit": (Clients.commit,),
    "a read": (Clients.read,),
    "a range": (Clients.read_range,),
    "a watch": (Clients.watch,),
    "a read after a commit": (Clients.commit, Clients.read),
    "a range after a commit": (Clients.commit, Clients.read_range),
    "a lease": (Clients.open_lease,),
    "a list of VMs": (Clients.list_vms,),
    "an admission": (Clients.ask,),
}


def call_in_turn(name, count, *, at_once):
    """Make calls one after the other.

    :param name: A key of :data:`CALLS`.
    :param count: How many.
    :param at_once: Whether second answers are sent with the first ones.
    :return: How many took another's answer, and how many had their own.
    """
    server = Stutterer(at_once=at_once)
    clients = Clients(server)
    wrong = own = 0
    for number in range(count):
        call = CALLS[name][number % len(CALLS[name])]
        try:
            taken = call(clients)
        except (LookupError, ValueError):
            # It is no answer to such a call.
            taken = 0
        own += taken == server.calls
        wrong += taken is not None and taken != server.calls
        gevent.sleep(PAUSE_S)
    server.stop()
    return wrong, own
