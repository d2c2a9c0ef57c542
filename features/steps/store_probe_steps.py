"""Steps about the detection of the store's recovery."""

from __future__ import annotations

import time

import behave
import gevent
from gevent import server as gevent_server

from features.steps import site_steps
from rackvalve.manager import store_probe
from rackvalve.platform import store as stores
from tools import fleet as fleets
from tools import site as sites


# Timeout of the watch that hangs, in seconds.
WATCH_S = 60.0


class ProbedStore:
    """Store that counts probes and may be silent."""

    def __init__(self, delay):
        self.delay = delay
        self.probes = 0
        self.silent_until = 0.0

    def read(self, key, *, timeout):
        self.probes += 1
        is_silent = time.monotonic() < self.silent_until
        if is_silent or self.delay > timeout:
            gevent.sleep(timeout)
            return stores.Unavailable(reason="no answer in time")
        gevent.sleep(self.delay)
        return stores.Missing()


@behave.given("a prober of a store that answers after {delay:g} s")
def make_prober(context, delay):
    context.store = ProbedStore(delay)
    context.recoveries = []
    context.prober = store_probe.StoreProber(
        context.store,
        key="owner/term",
        on_recovery=lambda: context.recoveries.append(time.monotonic()),
    )
    context.probing = gevent.spawn(context.prober.run)
    context.add_cleanup(context.probing.kill)


@behave.when("a call fails {count:d} times, {pause:g} s apart")
def fail_calls(context, count, pause):
    for _ in range(count):
        context.prober.note_call("no answer")
        gevent.sleep(pause)
    for _ in range(10):
        context.prober.note_call("200")
        gevent.sleep(pause)


@behave.when("{count:d} calls are cancelled")
def cancel_calls(context, count):
    for _ in range(count):
        context.prober.note_call(stores.CANCELLED)
        gevent.sleep(0.1)


@behave.then("calls that are cancelled are counted as such")
def check_cancelled(context):
    found = []
    server = gevent_server.StreamServer(
        ("127.0.0.1", 0), lambda sock, _: gevent.sleep(9.0)
    )
    server.start()
    context.add_cleanup(server.stop, 0)
    store = stores.Store(
        *server.address,
        timeout=1.0,
        on_call=lambda _, outcome: found.append(outcome),
    )
    reading = gevent.spawn(store.read, "a")
    watching = gevent.spawn(store.watch, "a/", 0, 1.0, slack=0.5)
    gevent.sleep(0.1)
    store.cancel_calls()
    gevent.joinall([reading, watching], timeout=0.5)
    assert found == [stores.CANCELLED] * 2, found


@behave.then("the store got {count:d} probes and no recovery is reported")
def check_probes(context, count):
    assert context.store.probes == count, context.store.probes
    assert not context.recoveries


@behave.when("the store is silent to it for {seconds:g} s after a failed call")
def silence_probes(context, seconds):
    context.store.silent_until = time.monotonic() + seconds
    context.prober.note_call("no answer")
    gevent.sleep(seconds)
    context.returned = time.monotonic()
    gevent.sleep(0.5)


@behave.when("other calls are answered for {seconds:g} s after a failed call")
def answer_others(context, seconds):
    context.returned = time.monotonic()
    context.prober.note_call("503")
    while time.monotonic() < context.returned + seconds:
        gevent.sleep(0.05)
        context.prober.note_call("200")


@behave.then(
    "a recovery is reported {count:d} times, within {limit:g} s of its return"
)
def check_recoveries(context, count, limit):
    assert len(context.recoveries) == count, context.recoveries
    assert context.recoveries[0] - context.returned <= limit


@behave.given("a site of {count:d} managers with standbys")
def start_site(context, count):
    context.own_fleet = sites.Site(
        count, settings=lambda number: {"standby": "on"}
    )
    context.own_fleet.start()


@behave.when("the store is silent for {seconds:g} s")
def silence_store(context, seconds):
    context.own_fleet.set_store_fault("silent")
    time.sleep(seconds)
    context.own_fleet.set_store_fault("")
    context.returned = time.monotonic()


def is_ready(manager):
    try:
        reply = fleets.call(manager["ready"], "GET", "/ready", timeout=1.0)
    except OSError:
        return False
    return reply.status == 200


def has_noticed(site, number):
    text = (site.folder / f"vm-{number + 1}.log").read_text()
    return '"store.recovered"' in text


@behave.then("each manager is ready again, and has noticed it by a probe")
def check_ready(context):
    site = context.own_fleet
    site_steps.wait_for(
        lambda: all(
            is_ready(manager) and has_noticed(site, number)
            for number, manager in enumerate(site.managers)
        ),
        "all managers",
    )
    context.submitted = []


@behave.then("a job that is submitted is accepted")
def check_accepted(context):
    assert context.own_fleet.submit("lookup", [{"count": 1}])


class SilentStore:
    """HTTP server that answers reads and watches, or nothing at all."""

    def __init__(self):
        self.is_silent = True
        self.watches = 0
        self.server = gevent_server.StreamServer(("127.0.0.1", 0), self._serve)

    def _serve(self, sock, _):
        request = sock.recv(65536)
        is_watch = request.startswith(b"GET /kv-watch")
        self.watches += is_watch
        if self.is_silent:
            gevent.sleep(WATCH_S)
            return
        body = b'{"events": [], "at": 5}' if is_watch else b"{}"
        status = b"200 OK" if is_watch else b"404 Not Found"
        sock.sendall(
            b"HTTP/1.1 %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
            % (status, len(body), body)
        )
        if is_watch:
            # The next watch hangs, as a store does that has nothing to tell.
            self.is_silent = True


@behave.given("a prober, and a watch of 60 s, on a store that is silent")
def start_watch(context):
    context.silent = SilentStore()
    context.silent.server.start()
    context.add_cleanup(context.silent.server.stop, 0)
    probed = stores.Store(
        *context.silent.server.address, timeout=0.25, on_call=lambda *_: None
    )
    watched = stores.Store(
        *context.silent.server.address, timeout=1.0, on_call=lambda *_: None
    )
    prober = store_probe.StoreProber(
        probed, key="owner/term", on_recovery=watched.cancel_calls
    )
    context.found = []

    def watch():
        # As watchers do, which make a failed watch again.
        while not context.found:
            changes = watched.watch("a/", 1, WATCH_S, slack=0.0)
            if isinstance(changes, stores.Changes):
                context.found.append(changes)

    for run in (prober.run, watch):
        context.add_cleanup(gevent.spawn(run).kill)
    gevent.sleep(0.1)
    prober.note_call("no answer")
    # Two probes without an answer make an outage.
    gevent.sleep(0.8)


@behave.when("the store answers again")
def answer_again(context):
    assert context.silent.watches == 1
    context.silent.is_silent = False


@behave.then("the watch is made again, long before its timeout")
def check_watch(context):
    with gevent.Timeout(WATCH_S / 2):
        while not context.found:
            gevent.sleep(0.01)
    assert context.silent.watches == 2, context.silent.watches
