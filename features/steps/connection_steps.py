"""Steps about the HTTP client's connections to the platform's servers."""

from __future__ import annotations

import behave
import gevent
from gevent import server as gevent_server

from rackvalve.platform import connections

TIMEOUT_S = 0.3
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class SilencedServer:
    """Answers calls on all connections but the silenced ones."""

    def __init__(self):
        self.silenced = set()
        self.open = set()
        # No call is answered before this many have arrived, so that the first
        # calls open a connection each.
        self.batch = 1
        self.calls = 0
        self.resets = 0
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", 0), self._serve
        )
        self._server.start()
        self.port = self._server.server_port

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, address):
        self.open.add(address)
        while self._receive(sock):
            if address in self.silenced:
                continue
            self.calls += 1
            while self.calls < self.batch:
                gevent.sleep(0.001)
            sock.sendall(ANSWER)

    def _receive(self, sock):
        try:
            return sock.recv(4096)
        except ConnectionResetError:
            self.resets += 1
            return b""


def call(context):
    return context.client.exchange("GET", "/", timeout=TIMEOUT_S)


@behave.given("a server to which {count:d} connections are open and idle")
def open_connections(context, count):
    context.server = SilencedServer()
    context.server.batch = count
    context.client = connections.HttpClient("127.0.0.1", context.server.port)
    calls = [gevent.spawn(call, context) for _ in range(count)]
    gevent.joinall(calls)
    for made in calls:
        assert isinstance(made.value, connections.Answer), made.value
    assert len(context.server.open) == count


@behave.when("all open connections go silent while new ones work")
def silence(context):
    context.server.silenced = set(context.server.open)


@behave.then("the first call to it gets no answer in time")
def check_unanswered(context):
    outcome = call(context)
    assert isinstance(outcome, connections.NoAnswer), outcome


@behave.then("the second call is answered")
def check_answered(context):
    outcome = call(context)
    context.client.close()
    context.server.stop()
    assert isinstance(outcome, connections.Answer), outcome


@behave.when("a call to it is not answered in time")
def wait_for_timeout(context):
    assert isinstance(call(context), connections.NoAnswer)


@behave.when("a call to it is ended together with its caller")
def cancel_caller(context):
    made = gevent.spawn(call, context)
    gevent.sleep(TIMEOUT_S / 3)
    made.kill()


@behave.then("the server sees the connection reset")
def check_reset(context):
    gevent.sleep(TIMEOUT_S / 3)
    context.client.close()
    context.server.stop()
    assert context.server.resets == 1, context.server.resets
