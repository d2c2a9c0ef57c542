"""HTTP servers on gevent's WSGI server, set up alike in all programs.

A server limits what its clients send and hold: ``serving.limits`` has the
limits, ``serving.ledger`` decides which connections are closed for others.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import functools
import http
import re
import socket
from typing import Any

import gevent
from gevent import lock
from gevent import pywsgi
from gevent import socket as gevent_socket

from rackvalve import clocks
from rackvalve import logs
from rackvalve.serving import body as bodies
from rackvalve.serving import errors
from rackvalve.serving import ledger as ledgers
from rackvalve.serving import limits as server_limits
from rackvalve.serving import reader as readers
from rackvalve.serving import refusals

SOCKET_KEY = "rackvalve.socket"
TARGET_KEY = "rackvalve.target"
ABANDON_KEY = "rackvalve.abandon"
# Whether a request was sent before the answer to the one before it.
AHEAD_KEY = "rackvalve.ahead"
# Connections that wait to be accepted.  A full queue drops new ones, whose
# clients try again only a second later.
BACKLOG = 2048
# Sizes of the system's buffer for what was sent on a connection and not read,
# until it is accepted and afterwards, in bytes.
QUEUED_RECEIVE_BUFFER = 4096
RECEIVE_BUFFER = 8192
# Connections that are accepted in a turn of the event loop, and those that are
# refused for each of them.
ACCEPTED_PER_TURN = 8
REFUSED_PER_TURN = 16
# Bytes of a connection that are looked at before it is accepted.
PEEKED_BYTES = 2048
_CONTENT_LENGTH = re.compile(
    rb"\r\ncontent-length:[ \t]*([0-9]{1,18})\r\n", re.I
)
# Part of an answer that a client has the idle time-out for, in bytes.
SEND_BLOCK = 16384
# Requests that were sent before the answer to the one before them and that
# are carried out at the same time; callers that wait for answers go first.
REQUESTS_AHEAD = 8


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Guard:
    """Protects a process from the clients of one server.

    :param capacity: What all clients may make the process hold.
    :param get_limits: Returns what one client may send.
    :param on_close: Called with the reason for each connection that is
        refused, or closed for the sake of another one.
    """

    capacity: server_limits.Capacity
    get_limits: Callable[[], server_limits.Limits] = lambda: (
        server_limits.DEFAULT_LIMITS
    )
    on_close: Callable[[str], None] = lambda reason: None


# For programs that set no limits of their own.
DEFAULT_GUARD = Guard(
    capacity=server_limits.share_capacity(server_limits.DEFAULT_MEMORY, 4096)
)


class Handler(pywsgi.WSGIHandler):
    """Handles one connection, within the limits of its server."""

    def __init__(self, sock: socket.socket, address: Any, server: Any) -> None:
        # Without this, an answer in two writes waits 40 ms for the peer's
        # delayed acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        limits: server_limits.Limits = server.guard.get_limits()
        sock.settimeout(limits.idle_timeout)
        self._connection: ledgers.Connection = server.accounts[sock]
        self._reader = readers.RequestReader(
            sock, self._connection, server.ledger, limits
        )
        self._body: bodies.Body | None = None
        super().__init__(sock, address, server, rfile=self._reader)

    def handle(self) -> None:
        """Answer the connection's requests until it is closed."""
        self._connection.is_working = False
        try:
            super().handle()
        except OSError:
            # The connection has failed, or was closed for another one.
            pass

    def handle_one_request(self) -> Any:
        """Read and answer one request."""
        self._reader.begin_header(self.server.guard.get_limits())
        result = super().handle_one_request()
        if result is True:
            # The next request may be there already, so that no read waits.
            gevent.sleep(0)
        return result

    def get_environ(self) -> dict[str, Any]:
        """Add the socket and the request's target as it was sent."""
        environ: dict[str, Any] = super().get_environ()
        self._reader.end_header()
        expects = environ.get("HTTP_EXPECT", "").lower() == "100-continue"
        self._body = bodies.Body(
            self._reader,
            length=self.content_length or 0,
            chunked=_is_chunked(environ),
            continue_to=self.socket if expects else None,
        )
        self.wsgi_input = environ["wsgi.input"] = self._body
        environ[SOCKET_KEY] = self.socket
        environ[TARGET_KEY] = self.path
        environ[ABANDON_KEY] = self.abandon_input
        environ[AHEAD_KEY] = self._reader.is_ahead
        return environ

    def log_request(self) -> None:
        """Write nothing; the programs log events instead."""

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Answer a request that could not be read; log any other error."""
        if isinstance(v, errors.RequestUnreadError):
            self.close_connection = True
            if not self.headers_sent:
                status = refusals.choose_status(v)
                self.socket.sendall(refusals.encode(status))
            return
        if isinstance(v, OSError):
            # The connection has failed, or was closed for another one.
            self.close_connection = True
            return
        logs.write_failure("task.failed", message="request", error=repr(v))
        super().handle_error(t, v, tb)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Return the answer to a header that could not be read."""
        status = refusals.choose_status(ex)
        return str(status.value), refusals.encode(status)

    def handle_one_response(self) -> None:
        """Answer, then drop what the client still sends of its body."""
        if self._is_hopeless():
            self.close_connection = True
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            self.socket.sendall(refusals.encode(status))
            return
        application: Any = self.server.application
        self.application: Any = functools.partial(self._take_turn, application)
        self._connection.is_working = True
        try:
            super().handle_one_response()
        finally:
            self._connection.is_working = False
        body = self._body
        if body is not None and not body.is_complete:
            body.drain()
            if body.is_abandoned or not body.is_complete:
                self.close_connection = True
        self.server.ledger.release(self._connection)

    def _is_hopeless(self) -> bool:
        """Return whether there surely is no memory for the request's body."""
        if server_limits.weigh_body(self.content_length or 0) == 0:
            return False
        ledger: ledgers.Ledger = self.server.ledger
        return ledger.is_full(clocks.read_steady())

    def abandon_input(self) -> None:
        """Leave the rest of a request's body unread and close after it."""
        self.close_connection = True
        if self._body is not None:
            self._body.is_abandoned = True

    def _take_turn(
        self, application: Any, environ: dict[str, Any], start_response: Any
    ) -> Any:
        """Call the application, once it is the turn of the request."""
        if not self._reader.is_ahead:
            return application(environ, start_response)
        self._connection.is_working = False
        with self.server.ahead_turns:
            self._connection.is_working = True
            return application(environ, start_response)

    def _sendall(self, data: bytes | bytearray) -> None:
        """Send a part of the answer; the client may take it slowly."""
        connection = self._connection
        was_working = connection.is_working
        connection.is_working = False
        try:
            for start in range(0, len(data), SEND_BLOCK):
                super()._sendall(data[start : start + SEND_BLOCK])
                connection.progressed = clocks.read_steady()
        finally:
            connection.is_working = was_working


class Server(pywsgi.WSGIServer):
    """A server and the accounts of its connections.

    It accepts few connections in each turn of the event loop.  The loop runs
    new greenlets for some milliseconds a turn, and those of other servers
    would wait behind a crowd's.

    :param address: IP number and port.
    :param application: The WSGI application.
    :param guard: Limits of the clients.
    :param handler: Handler of the connections.
    """

    max_accept = ACCEPTED_PER_TURN

    def __init__(
        self,
        address: tuple[str, int],
        application: Any,
        *,
        guard: Guard,
        handler: type[Handler],
    ) -> None:
        super().__init__(
            address,
            application,
            backlog=BACKLOG,
            log=None,
            error_log=_ErrorLog(),
            handler_class=handler,
        )
        self.guard = guard
        self.ledger = ledgers.Ledger(guard.capacity, on_close=guard.on_close)
        self.ahead_turns = lock.BoundedSemaphore(REQUESTS_AHEAD)
        # Accounts of the open connections, by socket.
        self.accounts: dict[gevent_socket.socket, ledgers.Connection] = {}

    def do_read(self) -> Any:
        """Accept a connection; refuse those whose bodies surely do not fit.

        They are refused before their greenlets begin, so that the others wait
        less in the queue of the listener.
        """
        for _ in range(REFUSED_PER_TURN):
            accepted = super().do_read()
            if accepted is None:
                return None
            sock = accepted[0]
            is_full = self.ledger.is_full(clocks.read_steady())
            if not is_full or not _announces_long_body(sock):
                return accepted
            self.guard.on_close("memory")
            refusals.send(sock)
            sock.close()
        return None

    def do_handle(self, *args: Any) -> None:
        """Account for an accepted connection, and handle it."""
        sock = args[0]
        account = self.ledger.open(
            functools.partial(_close_early, sock), clocks.read_steady()
        )
        if account is None:
            refusals.send(sock)
            sock.close()
            return
        self.accounts[sock] = account
        super().do_handle(*args)

    def do_close(self, *args: Any) -> None:
        """Close a connection whose greenlet has ended."""
        account = self.accounts.pop(args[0], None)
        if account is not None:
            self.ledger.close(account)
        super().do_close(*args)

    def init_socket(self) -> None:
        """Listen; accepted connections inherit the size of the buffer."""
        super().init_socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, QUEUED_RECEIVE_BUFFER
        )


class _ErrorLog:
    """Drops the library's own text; the programs log events instead."""

    def write(self, text: str) -> None:
        """Drop a text."""

    def flush(self) -> None:
        """Do nothing."""

    def writelines(self, lines: list[str]) -> None:
        """Drop lines."""


def _is_chunked(environ: dict[str, Any]) -> bool:
    encoding: str = environ.get("HTTP_TRANSFER_ENCODING", "")
    return encoding.lower() == "chunked"


def _announces_long_body(sock: gevent_socket.socket) -> bool:
    """Return whether a new connection's header announces a long body."""
    sock.settimeout(0.0)
    try:
        head: bytes = sock.recv(PEEKED_BYTES, socket.MSG_PEEK)
    except OSError:
        return False
    finally:
        sock.settimeout(None)
    found = _CONTENT_LENGTH.search(head)
    if found is None:
        return len(head) == PEEKED_BYTES
    return server_limits.weigh_body(int(found[1])) > 0


def _close_early(
    sock: gevent_socket.socket, connection: ledgers.Connection
) -> None:
    """Close a connection for the sake of another one."""
    if connection.has_begun:
        refusals.send(sock)
    sock.close()


def make_server(
    host: str,
    port: int,
    application: Any,
    handler: type[Handler] = Handler,
    *,
    guard: Guard = DEFAULT_GUARD,
) -> Server:
    """Make a server; it listens once it is started.

    :param host: IP number.
    :param port: Port.
    :param application: The WSGI application.
    :param handler: Handler of its connections.
    :param guard: Limits of its clients.
    """
    return Server((host, port), application, guard=guard, handler=handler)
