"""Steps about relaying requests, with fake peers."""

from __future__ import annotations

import collections
import time

import behave
import gevent
from gevent import event
import grpc

from features import job_api_bench
from features.steps import currency_steps
from rackvalve.manager.api import forwarding
from rackvalve.manager.api import relaying
from rackvalve.manager.api import replies
from rackvalve.manager.peers import membership
from rackvalve.manager.peers import relay
from rackvalve.manager.peers import relay_client
from rackvalve.manager.peers import relay_server
from rackvalve.manager.peers import relay_service
from rackvalve.platform import store as stores
from rackvalve.rpc import hub_bridge
from rackvalve.rpc import rackvalve_pb2
from rackvalve import telemetry
from rackvalve import version

BUDGET_S = 0.4
PEERS = 3
SLACK_S = 0.1
# Outcomes of attempts, each with the time until it is known, in seconds.
SILENT = (0.0, None)
REFUSED = (0.0, relay.Answered(status=503))
SERVED = (0.0, relay.Answered(status=200))
# After the second peer was asked, and in time.
LATE_S = 0.75 * BUDGET_S


def make_member(number):
    return membership.Member(
        process=f"vm-{number} 0", vm="", hall="a", cores=1, address=f"{number}"
    )


class FakePeers:
    """Peers that end attempts as the test says; loads and sends at once."""

    def __init__(self, outcomes):
        self.outcomes = list(outcomes)
        self.sent = []

    def get_client(self):
        return self

    def send(self, address, request, on_end):
        self.sent.append(time.monotonic())
        delay, outcome = self.outcomes.pop(0) if self.outcomes else SILENT
        if outcome is not None:
            gevent.spawn_later(delay, on_end, outcome)


def make_forwarder(peers):
    known = membership.Membership()
    items = [
        stores.Item(
            key=membership.make_key(member.process),
            payload=member.encode(),
            revision=1,
            created=1,
        )
        for member in map(make_member, range(1, PEERS + 1))
    ]
    known.apply_range(items, time.monotonic())
    return forwarding.Forwarder(
        membership.Member(process="own", vm="", hall="b", cores=1),
        known,
        peers,
        service=relaying.StoreService(),
        telemetry=telemetry.Telemetry(),
    )


def read_outcome(words):
    verb, _, what = words.partition(" ")
    if what == "late":
        return LATE_S, SERVED[1]
    if verb == "answer":
        return 0.0, relay.Answered(status=int(what), reason="r")
    return {
        "are unreachable": (0.0, relay.NotSent(reason="refused")),
        "break off": (0.0, relay.Unanswered(reason="reset")),
        "are silent": SILENT,
    }[words]


def forward(context, method="POST", uncertain=False):
    unserved = replies.Unserved(reason="lost", uncertain=uncertain)
    return context.forwarder.forward(
        relay.RelayedRequest(
            method=method, host="h", path="/", key=None, body=b"", remaining=0
        ),
        unserved,
        time.monotonic() + BUDGET_S,
    )


@behave.given("a request to {method} a job, its own commit {local}")
def make_request(context, method, local):
    context.method, context.uncertain = method, local == "unknown"


@behave.when("its peers in turn {outcomes}")
def relay_request(context, outcomes):
    found = [read_outcome(words) for words in outcomes.split(", ")]
    # A peer that is reached beyond those named says that it did nothing.
    found += [REFUSED] * PEERS
    context.peers = FakePeers(found)
    context.forwarder = make_forwarder(context.peers)
    context.began = time.monotonic()
    context.reply = forward(context, context.method, context.uncertain)


@behave.then("its caller is told {status:d}")
def check_status(context, status):
    assert context.reply.status == status, context.reply
    assert time.monotonic() - context.began < BUDGET_S + SLACK_S


@behave.then("the second peer was asked after half of the time")
def check_half(context):
    first, second = context.peers.sent
    assert abs(second - first - BUDGET_S / 2) < SLACK_S, second - first


@behave.given("{count:d} relayed requests whose peers are silent")
def fill(context, count):
    context.peers = FakePeers([])
    context.forwarder = make_forwarder(context.peers)
    for _ in range(count):
        gevent.spawn(forward, context)
    gevent.sleep(0.01)
    context.sent = len(context.peers.sent)


class FakeContext:
    """Context of a gRPC call that has 9 s left."""

    def time_remaining(self):
        return 9.0


@behave.given("a peer that is given {count:d} requests of {given:f} s")
def fill_peer(context, count, given):
    context.served, context.ended = [], event.Event()

    def handle(request):
        context.served.append(request.remaining)
        context.ended.wait()
        return relay.Answered(status=200)

    context.servicer = relay_server.RelayServicer(
        hub_bridge.HubBridge(), handle
    )
    context.message = rackvalve_pb2.RelayRequest(
        remaining_ms=int(given * 1000), hops=1, release=version.VERSION
    )
    for _ in range(count):
        gevent.spawn(context.servicer.Relay, context.message, FakeContext())
    gevent.sleep(0.1)


@behave.then(
    "each is served with {left:f} s left, and one more is refused as not run"
)
def check_peer(context, left):
    answer = context.servicer.Relay(context.message, FakeContext())
    context.ended.set()
    assert answer.status == 503, answer
    assert len(context.served) == 64
    assert all(abs(one - left) < 0.001 for one in context.served)


@behave.given("peers that have just said that the store does not serve them")
def refuse_all(context):
    context.peers = FakePeers([REFUSED] * PEERS)
    context.forwarder = make_forwarder(context.peers)
    forward(context)
    context.sent = len(context.peers.sent)


@behave.given("peers of which {count:d} have just not answered")
def leave_unanswered(context, count):
    broken_off = (0.0, relay.Unanswered(reason="timeout"))
    context.peers = FakePeers([broken_off] * count + [REFUSED])
    context.forwarder = make_forwarder(context.peers)
    forward(context)
    # The first request after that shows whether peers can be reached again.
    context.peers.outcomes = [broken_off] * PEERS
    forward(context)
    context.sent = len(context.peers.sent)


@behave.then(
    "{seconds:f} s later one request is relayed, and the next one is refused "
    "at once"
)
def check_trial(context, seconds):
    gevent.sleep(seconds)
    context.trial = gevent.spawn(forward, context)
    gevent.sleep(0.01)
    context.sent = len(context.peers.sent)
    context.began = time.monotonic()
    context.reply = forward(context)
    check_refused(context)


@behave.given("a peer that has twice not answered, and others that refuse")
def leave_one_unanswered(context):
    # Two peers of the hall are targets.
    outcomes = [(0.0, relay.Unanswered(reason="timeout")), REFUSED]
    context.peers = FakePeers(2 * outcomes)
    context.forwarder = make_forwarder(context.peers)
    for _ in range(2):
        forward(context)
    context.sent = len(context.peers.sent)
    assert context.sent == 4, context.sent


@behave.given("peers of which 2 have just answered 504")
def answer_unknown(context):
    unknown = (0.0, relay.Answered(status=504))
    context.peers = FakePeers(4 * [unknown])
    context.forwarder = make_forwarder(context.peers)
    for _ in range(2):
        forward(context)


@behave.when("the attempts that were begun before it have timed out")
def time_out_earlier(context):
    late = relay.Unanswered(reason="timeout")
    for number in range(1, PEERS + 1):
        context.forwarder._health.note(str(number), late, time.monotonic())


@behave.when("a peer has answered the request that was relayed")
def answer_trial(context):
    context.trial.join()
    answer_request(context)


@behave.when("a peer has answered a request")
def answer_request(context):
    context.forwarder._health.note("2", SERVED[1], time.monotonic())


@behave.then("the next request is relayed at once")
def check_relayed(context):
    context.peers.outcomes = [SERVED]
    assert forward(context).status == 200


@behave.then(
    "with a deadline of {deadline} s, a Retry-After of 3 s becomes {told:d} s"
)
def check_limit(context, deadline, told):
    given = None if deadline == "no" else float(deadline)
    assert relaying.limit_retry_after(3, given) == told


class RaisingPeers(FakePeers):
    """Peers to which nothing can be sent."""

    def send(self, address, request, on_end):
        raise RuntimeError("an error that nobody expects")


@behave.then("an unexpected error of the client leaves no attempt in flight")
def check_raising(context):
    context.forwarder = make_forwarder(RaisingPeers([]))
    assert forward(context).status == 504
    assert context.forwarder._active == 0, context.forwarder._active


class FakeCall:
    """A call to a peer that has ended with an answer, or with an error."""

    def __init__(self, answer):
        self.answer = answer

    def code(self):
        return grpc.StatusCode.OK

    def result(self):
        if self.answer is None:
            raise RuntimeError("an error that nobody expects")
        return self.answer


def read_call(answer):
    ended = []
    client = relay_client.RelayClient(None)
    client._end("peer", FakeCall(answer), ended.append)
    (outcome,) = ended
    return outcome


@behave.then("an answer that raises an error counts as no answer")
def check_unreadable(context):
    assert isinstance(read_call(None), relay.Unanswered)


@behave.then("a peer's reason of {given:d} characters is cut to {kept:d}")
def check_reason(context, given, kept):
    answer = rackvalve_pb2.RelayAnswer(status=503, reason="r" * given)
    assert len(read_call(answer).reason) == kept


class FullHost:
    """Loader, server and registration of a manager without a free port."""

    def __init__(self):
        self.servers = 0
        self.address = None

    def make_server(self, handle):
        self.servers += 1
        return self

    def listen(self, host, ports):
        return ""

    def set_address(self, address):
        self.address = address


@behave.then("a manager that finds no free port tries it once")
def check_full(context):
    own = make_member(1)
    known = membership.Membership()
    item = stores.Item(
        key=membership.make_key(own.process),
        payload=own.encode(),
        revision=1,
        created=1,
    )
    known.apply_range([item], time.monotonic())
    host = FullHost()
    service = relay_service.RelayService(
        own,
        range(1, 3),
        membership=known,
        registration=host,
        loader=host,
        handle=None,
    )
    with gevent.Timeout(1.3, False):
        service.run()
    assert (host.servers, host.address) == (1, ""), host.servers


@behave.when("one more is relayed")
def relay_more(context):
    context.began = time.monotonic()
    context.reply = forward(context)


@behave.then("it is refused at once, as not run")
@behave.then("it is refused at once, as not run, without a call")
def check_refused(context):
    assert context.reply.status == 503, context.reply
    assert time.monotonic() - context.began < SLACK_S
    assert len(context.peers.sent) == context.sent


@behave.then("{seconds:f} s later one request is relayed")
def check_one(context, seconds):
    gevent.sleep(seconds)
    check_relayed(context)


@behave.then("0.4 s later it is relayed again")
def check_again(context):
    gevent.sleep(0.4)
    context.peers.outcomes = [SERVED]
    assert forward(context).status == 200


@behave.then(
    "Retry-After is spread evenly over 1 to 3 s in an outage, and 1 s else"
)
def check_spread(context):
    draws = [n / 300 for n in range(300)]
    found = collections.Counter(
        relaying.choose_retry_after(draw, is_outage=True) for draw in draws
    )
    assert found == {1: 100, 2: 100, 3: 100}, found
    assert relaying.choose_retry_after(0.9, is_outage=False) == 1


class FakeStore(currency_steps.FakeStore):
    """Store that holds one queue's configuration and fails when told to."""

    def __init__(self, item, service):
        super().__init__(item)
        self.service = service
        self.delay, self.failures = 0.0, 0

    def read(self, key, *, timeout=None):
        gevent.sleep(min(self.delay, timeout))
        if self.failures or self.delay > timeout:
            self.failures = max(0, self.failures - 1)
            self.service.note_call("503", time.monotonic())
            return stores.Unavailable(reason="status 503")
        self.service.note_call("200", time.monotonic())
        return stores.Missing()


@behave.given("a relaying manager's store that {behavior}")
def make_store(context, behavior):
    context.peers = FakePeers([SERVED])
    forwarder = make_forwarder(context.peers)
    service, now = forwarder.service, time.monotonic()
    item = currency_steps.make_item(1, currency_steps.KNOWN)
    store = FakeStore(item, service)
    job_api_bench.make_job_api(
        context, store, item, age=0.0, forwarder=forwarder
    )
    service.note_call("200", now - 0.7)
    if behavior == "has served nothing for 0.7 s":
        service.note_call("no answer", now - 0.1)
    store.delay = {"answers after 0.24 s": 0.24, "does not answer": 9.0}.get(
        behavior, 0.0
    )
    store.failures = {
        "fails once and then answers": 1,
        "rejects each call at once": 999,
    }.get(behavior, 0)
    if behavior == "has had calls cancelled":
        service.note_call(stores.CANCELLED, now - 0.1)
    if behavior in ("does not answer", "rejects each call at once"):
        service.note_call("200", now)


@behave.when("a job is read at a manager that relays")
def read_job(context):
    context.began = time.monotonic()
    currency_steps.ask(context, 1, currency_steps.KNOWN)


@behave.then("it is answered and not relayed")
def check_local(context):
    assert context.statuses == ["410"], context.statuses
    assert not context.peers.sent


@behave.then("it is relayed after 0.4 s")
def check_late(context):
    assert context.statuses == ["200"], context.statuses
    assert 0.35 < context.peers.sent[0] - context.began < 0.4 + SLACK_S


@behave.then("it is relayed at once")
def check_at_once(context):
    assert context.statuses == ["200"], context.statuses
    assert context.peers.sent[0] - context.began < 0.05
