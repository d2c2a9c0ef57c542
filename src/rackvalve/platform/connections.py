"""HTTP/1.1 client with pooled connections, used by all platform clients.

A connection carries one call at a time and is closed after any failure: the
platform's servers send nothing more on a connection once an answer is lost.

A call that times out or is cancelled resets its connection.  Otherwise data
that a cut link holds up would arrive when the link is back, seconds after the
sender lost the ownership: an order to a VM under a fencing token that is no
longer the greatest.

A faulty server may answer a call twice, the second time during the next call
on the connection.  An answer therefore says whether it is the first one on its
connection.  For a later one the caller has to check that it belongs to the
call; where the content cannot show this, each call uses a connection once.
"""

from __future__ import annotations

import dataclasses
import socket
import struct

import gevent
from gevent import socket as gevent_socket
from geventhttpclient import response as http_response

from rackvalve.platform import _answers

IDLE_CONNECTIONS = 4
# Cause of the failure of a call that was cancelled.
CANCELLED = "cancelled"
# Connections that were idle for longer are not used again (seconds): a close
# by the peer is detected on the next use only.
IDLE_LIMIT_S = 10.0
# SO_LINGER options.  On close, undelivered bytes are dropped and the
# connection is reset, or the system still delivers them in the background.
_RESET = struct.pack("ii", 1, 0)
_FLUSH = struct.pack("ii", 0, 0)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Answer:
    """A complete answer.

    :param status: HTTP status.
    :param body: The body, which may be empty.
    :param first: Whether the call was the first one on its connection, so that
        the answer cannot belong to another call.
    """

    status: int
    body: bytes
    first: bool = True


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class NoAnswer:
    """A call without a complete answer.

    :param reason: Cause of the failure, for logs.
    :param sent: Whether the server may have received the call.
    """

    reason: str
    sent: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class _Connection:
    """An open connection.

    :param sock: The socket.
    :param address: Host and port of the server.
    :param idle_since: End of the last call, in seconds; ``None`` before the
        first call.
    """

    sock: gevent_socket.socket
    address: tuple[str, int]
    idle_since: float | None = None


class HttpClient:
    """Client of one server that keeps connections open between calls.

    :param host: IP address of the server.
    :param port: Port of the server.
    """

    __slots__ = ("_address", "_idle", "_closed", "_active")

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._idle: list[_Connection] = []
        self._closed = False
        # Sockets of the calls in flight.
        self._active: set[gevent_socket.socket] = set()

    def set_address(self, host: str, port: int) -> None:
        """Use another address for all further calls.

        :param host: IP address of the server.
        :param port: Port of the server.
        """
        if (host, port) == self._address:
            return
        self._address = (host, port)
        self._close_idle()

    def has_connection(self) -> bool:
        """Return whether an open connection can carry the next call.

        The result holds until the calling greenlet yields.
        """
        connection = self._find_idle()
        if connection is None:
            return False
        self._idle.append(connection)
        return True

    def discard_idle(self) -> None:
        """Close all idle connections.

        Callers use it after an answer that belongs to another call.
        """
        self._close_idle()

    def cancel_calls(self) -> None:
        """Cancel all calls in flight; each ends as one without an answer.

        Callers use it when a server that was silent answers again: it never
        answers the calls that it received before.
        """
        # Closing wakes the greenlet that waits for the socket with an error.
        for sock in list(self._active):
            sock.close()

    def close(self) -> None:
        """Close all idle connections and keep no further ones."""
        self._closed = True
        self._close_idle()

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        headers: tuple[tuple[str, str], ...] = (),
        timeout: float,
        body_timeout: float = 0.0,
        single_use: bool = False,
    ) -> Answer | NoAnswer:
        """Make one call and wait for the complete answer.

        :param method: HTTP method.
        :param path: Path with the query.
        :param body: Body in JSON; empty for none.
        :param headers: Further headers.
        :param timeout: Longest wait for the headers of the answer, in seconds.
        :param body_timeout: Longest wait for the rest of the answer, in
            seconds, since a large one takes long on a slow link; 0 to have it
            within ``timeout`` as well.
        :param single_use: Whether to open a connection for this call and close
            it afterwards.
        :return: The answer, or the cause of the failure.
        """
        request = self._encode(method, path, body, headers)
        connection: _Connection | None = None
        limit = gevent.Timeout(timeout)
        limit.start()
        try:
            connection = (
                self._open() if single_use else self._take_connection()
            )
            sock = connection.sock
            self._active.add(sock)
            sock.sendall(request)
            response = _answers.Response(method)
            response.read(sock, response.has_headers)
            if body_timeout and not response.is_whole():
                limit.close()
                limit = gevent.Timeout.start_new(body_timeout)
            response.read(sock, response.is_whole)
        except gevent.Timeout as expired:
            _reset(connection)
            if expired is not limit:
                raise
            # The other idle connections are probably cut as well, and each
            # would cost a call its whole timeout: up to 3.2 s for four of them
            # to the store.  A new connection costs one round trip.
            self._close_idle()
            sent = connection is not None
            return NoAnswer(reason="no answer in time", sent=sent)
        except (
            OSError,
            # Invalid address, or an answer that is not HTTP.
            OverflowError,
            ValueError,
            http_response.HTTPParseError,
        ) as error:
            _reset(connection)
            sent = connection is not None
            is_cancelled = isinstance(error, gevent_socket.cancel_wait_ex)
            reason = CANCELLED if is_cancelled else repr(error)
            return NoAnswer(reason=reason, sent=sent)
        except gevent.GreenletExit:
            _reset(connection)
            raise
        finally:
            limit.close()
            if connection is not None:
                self._active.discard(connection.sock)
        first = connection.idle_since is None
        if single_use or response.should_close():
            _close_gracefully(connection)
        else:
            self._keep(connection)
        return Answer(
            status=response.status_code, body=response.body, first=first
        )

    def _encode(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> bytes:
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: {}:{}".format(*self._address),
        ]
        if body:
            lines.append("Content-Type: application/json")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        lines.extend(f"{name}: {value}" for name, value in headers)
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body

    def _take_connection(self) -> _Connection:
        """Return the most recently used connection, or a new one."""
        return self._find_idle() or self._open()

    def _find_idle(self) -> _Connection | None:
        """Remove and return the most recently used open connection."""
        now = gevent.get_hub().loop.now()
        while self._idle:
            connection = self._idle.pop()
            since = connection.idle_since
            is_recent = since is not None and now - since < IDLE_LIMIT_S
            if is_recent and not _has_ended(connection.sock):
                return connection
            _close_gracefully(connection)
        return None

    def _open(self) -> _Connection:
        sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            self._active.add(sock)
            sock.connect(self._address)
        except BaseException:
            sock.close()
            raise
        finally:
            self._active.discard(sock)
        return _Connection(sock=sock, address=self._address)

    def _keep(self, connection: _Connection) -> None:
        """Keep a connection for reuse, unless the address has changed."""
        has_moved = connection.address != self._address
        if self._closed or has_moved or len(self._idle) >= IDLE_CONNECTIONS:
            _close_gracefully(connection)
            return
        connection.idle_since = gevent.get_hub().loop.now()
        self._idle.append(connection)

    def _close_idle(self) -> None:
        idle, self._idle = self._idle, []
        for connection in idle:
            _close_gracefully(connection)


def _has_ended(sock: gevent_socket.socket) -> bool:
    """Return whether an idle connection can no longer be used."""
    sock.settimeout(0.0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.settimeout(None)
    # The peer has closed the connection or sent bytes that no call expects.
    return True


def _close_gracefully(connection: _Connection) -> None:
    """Close a connection without a pending call."""
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _FLUSH)
    connection.sock.close()


def _reset(connection: _Connection | None) -> None:
    """Reset a connection whose call has failed."""
    if connection is not None:
        connection.sock.close()
