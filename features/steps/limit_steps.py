"""Steps about the limits of a server's clients."""

from __future__ import annotations

import json
import re

import behave
import gevent
from gevent import socket

from rackvalve.platform import documents
from rackvalve import servers
from rackvalve.serving import ledger as ledgers
from rackvalve.serving import limits

NOW = 100.0
MB = 1000 * 1000
BODY = 262144
LIMITS = limits.Limits(header_timeout=0.4, idle_timeout=0.4)
ANSWER_TIMEOUT_S = 5.0


# -- the ledger --------------------------------------------------------------


def make_ledger(context, connections, body_bytes=0):
    context.closed = []
    context.ledger = ledgers.Ledger(
        limits.Capacity(connections=connections, body_bytes=body_bytes),
        on_close=lambda reason: None,
    )


@behave.given("a server for {count:d} connections")
def start_ledger(context, count):
    make_ledger(context, count)


@behave.given(
    "a server for {count:d} connections and {size:d} bytes of bodies"
)
def start_ledger_of_bodies(context, count, size):
    make_ledger(context, count, size)


def add_connection(context, what, held=0):
    """Open a connection and bring it into the state that a text describes."""
    connection = context.ledger.open(
        lambda one: context.closed.append(what), NOW - 10
    )
    connection.is_working = what.startswith("works")
    seconds = float(re.search(r"[\d.]+", what)[0])
    connection.progressed = NOW - seconds
    if what.startswith("has been silent"):
        connection.opened = NOW - seconds
    if held:
        assert context.ledger.hold(connection, held, NOW - 10)
    return connection


@behave.given("connections that {states}")
def add_connections(context, states):
    for what in re.split(r", | and ", states):
        add_connection(context, what)


@behave.when("another connection comes")
def add_another(context):
    context.added = context.ledger.open(lambda one: None, NOW)


@behave.then("the one that {what} is closed")
def check_closed(context, what):
    assert context.added is not None
    assert context.closed == [what], context.closed


@behave.then("it is refused, and none is closed")
def check_refused(context):
    assert context.added is None and not context.closed


@behave.when("a body of {held:d} bytes {what} and one of {size:d} bytes comes")
def add_bodies(context, held, what, size):
    state = f"sends each {re.search(r'[0-9.]+', what)[0]} s"
    add_connection(context, state, held)
    added = context.ledger.open(lambda one: None, NOW)
    context.has_memory = context.ledger.hold(added, size, NOW)


@behave.then(
    "there is memory for it, and the connection of the first is closed"
)
def check_memory(context):
    assert context.has_memory and len(context.closed) == 1


@behave.then("there is no memory for it, and no connection is closed")
def check_no_memory(context):
    assert not context.has_memory and not context.closed


@behave.then(
    "{few:d} connection leaves it open for long bodies, and {many:d} close it "
    "to them"
)
def check_full(context, few, many):
    for _ in range(few):
        add_connection(context, "sent 0 s ago")
    assert not context.ledger.is_full(NOW)
    for _ in range(many - few):
        add_connection(context, "sent 0 s ago")
    assert context.ledger.is_full(NOW)


@behave.then(
    "a VM of {memory:d} MB and {descriptors:d} descriptors holds {least:d} "
    "callers or more"
)
def check_capacity(context, memory, descriptors, least):
    capacity = limits.share_capacity(memory * MB, descriptors)
    assert capacity.connections >= least, capacity
    context.capacity = capacity
    context.vm = (memory * MB, descriptors)


@behave.then("what they may take leaves half of its memory and descriptors")
def check_rest(context):
    memory, descriptors = context.vm
    taken = context.capacity.connections * limits.CONNECTION_BYTES
    assert taken + context.capacity.body_bytes <= memory / 2
    assert context.capacity.connections <= descriptors / 2


# -- the server --------------------------------------------------------------


def tell_length(environ, start_response):
    """WSGI application that answers with the length of the body."""
    length = len(environ["wsgi.input"].read(BODY + 1))
    start_response("200 OK", [("Content-Type", "text/plain")])
    return [str(length).encode()]


@behave.given("a server that answers with the length of the body")
def start_server(context):
    guard = servers.Guard(
        capacity=limits.Capacity(connections=8, body_bytes=4 * 3 * BODY),
        get_limits=lambda: LIMITS,
    )
    context.server = servers.make_server(
        "127.0.0.1", 0, tell_length, guard=guard
    )
    context.server.start()
    context.add_cleanup(context.server.stop)
    context.sock = socket.create_connection(
        ("127.0.0.1", context.server.server_port)
    )
    context.sock.settimeout(ANSWER_TIMEOUT_S)
    context.add_cleanup(context.sock.close)


HEAD = b"POST /path HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def make_chunks(size):
    chunk = b"%x\r\n" % size + b"x" * size + b"\r\n"
    return CHUNKED + chunk * (BODY // size) + b"0\r\n\r\n"


def make_body(more=b""):
    return HEAD + more + b"Content-Length: %d\r\n\r\n" % BODY + b"x" * BODY


REQUESTS = {
    "a body of 262144 bytes": make_body(),
    "a body of 262144 bytes in chunks of 1": make_chunks(1),
    "a body of 262144 bytes in chunks of 4096": make_chunks(4096),
    "two requests at once": make_body() * 2,
    "a body that is announced and expected": make_body(
        b"Expect: 100-continue\r\n"
    ),
    "a header of 20000 bytes": HEAD + b"a: " + b"x" * 20000 + b"\r\n\r\n",
    "a header of 200 fields": HEAD + b"a: b\r\n" * 200 + b"\r\n",
    "a chunk without a length": CHUNKED + b"\r\nxx\r\n",
    "a chunk that is longer than it says": CHUNKED + b"1\r\nxx\r\n0\r\n\r\n",
    "a trailer of 20000 bytes": CHUNKED + b"0\r\n" + b"a: b\r\n" * 4000,
    "half a header": HEAD,
    "half a body": make_body()[: BODY // 2],
}


@behave.when("a client has sent {request}")
def send_request(context, request):
    gevent.spawn(_send, context.sock, REQUESTS[request])
    context.answer = b""
    with gevent.Timeout(ANSWER_TIMEOUT_S, False):
        while b"\r\n\r\n" not in context.answer.removeprefix(
            b"HTTP/1.1 100 Continue\r\n\r\n"
        ):
            block = context.sock.recv(65536)
            if not block:
                break
            context.answer += block


def _send(sock, data):
    try:
        sock.sendall(data)
    except OSError:
        # The server has answered without reading everything.
        pass


@behave.when("a client sends its header byte by byte, one each {pause:g} s")
def send_slowly(context, pause):
    context.sent = 0
    header = HEAD + b"a: " + b"x" * 100
    for start in range(len(header)):
        try:
            context.sock.sendall(header[start : start + 1])
        except OSError:
            break
        context.sent += 1
        gevent.sleep(pause)


@behave.then("the server answers {status:d}")
def check_status(context, status):
    answer = context.answer.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 %d " % status), answer[:200]
    if status == 200:
        assert answer.endswith(str(BODY).encode()), answer[-200:]


@behave.then("its connection is closed before the header is whole")
def check_cut(context):
    assert context.sent < len(HEAD) + 100, context.sent


# -- the operator's limits ---------------------------------------------------


@behave.when(
    "the configuration limits headers to {size:d} bytes and idle times to "
    "{idle:d} ms"
)
def configure(context, size, idle):
    document = {
        "version": 1,
        "limits": {
            "max-header-bytes": size,
            "idle-timeout-ms": idle,
            "header-timeout-ms": 0,
        },
    }
    context.configuration = documents.read_configuration(
        json.dumps(document).encode()
    )


@behave.then("callers are limited so, and a limit of 0 is the default")
def check_limits(context):
    found = context.configuration.client_limits
    assert found.header_bytes == 900 and found.idle_timeout == 0.7, found
    default = limits.DEFAULT_LIMITS
    assert found.header_timeout == default.header_timeout, found
