"""HTTP client for targets, with a pool of connections.

One :class:`Exchange` is one attempt on one connection.  Its result tells
whether any byte was sent.  Framing is validated up to the end, and a
connection is reused only after a complete answer with no bytes after it.
"""

from __future__ import annotations

import dataclasses
import socket
from typing import TYPE_CHECKING

import gevent
from gevent import socket as gevent_socket
import geventhttpclient
from geventhttpclient import response as http_response

from rackvalve import outcomes
from rackvalve.requests import job as jobs
from rackvalve import sockets

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

READ_SIZE = 64 * 1024
IDLE_LIMIT = 64
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Request:
    """A request to a target.

    :param method: HTTP method.
    :param path: Request target as the caller sent it.
    :param headers: Headers, without hop-by-hop headers.
    :param body: The complete body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Answered:
    """The target's answer.

    :param status: Status code.
    :param phrase: Reason phrase.
    :param headers: Headers, including hop-by-hop headers.
    :param body: The body; only its beginning if it is incomplete.
    :param whole: Whether the body is complete and validated; if not, the rest
        is read by :meth:`Exchange.stream`.
    """

    status: int
    phrase: str
    headers: list[tuple[str, str]]
    body: bytes
    whole: bool


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class NotSent:
    """No byte of the request was sent.

    :param detail: Description of the failure.
    """

    detail: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Broken:
    """The request was sent at least in part, without a complete answer.

    :param reason: Reason of the failure.
    :param detail: Description of the failure.
    """

    reason: outcomes.Reason
    detail: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Pending:
    """The request was sent and has not been answered yet."""


Result = Answered | NotSent | Broken | Pending


class _Parser(http_response.HTTPResponse):
    """Parses exactly one answer; a second one after it is an error."""

    def _on_message_begin(self) -> None:
        if self.message_complete and self.status_code >= 200:
            raise http_response.HTTPProtocolViolationError("second answer")
        super()._on_message_begin()

    def count_buffered(self) -> int:
        """Return the number of body bytes that are buffered."""
        return len(self._body_buffer)

    def take_body(self) -> bytes:
        """Remove and return the buffered part of the body."""
        body = bytes(self._body_buffer)
        self._body_buffer.clear()
        return body


class _Renderer(geventhttpclient.HTTPClient):
    """Serializes request heads; never opens a connection itself."""

    def render(self, request: Request) -> bytes:
        """Return the head of a request.

        :param request: The request.
        :raises ValueError: The request cannot be written as HTTP.
        """
        head = self._build_request(
            request.method,
            request.path,
            body=request.body,
            headers=request.headers,
            chunked=False,
        )
        return head.encode("latin-1")


class Sender:
    """Owns the connections to all targets.

    :param connect_timeout: Timeout of connecting, in seconds.
    :param answer_limit: Answers up to this size are buffered, in bytes.
    """

    def __init__(self, *, connect_timeout: float, answer_limit: int) -> None:
        self.connect_timeout = connect_timeout
        self.answer_limit = answer_limit
        self._idle: dict[tuple[str, int], list[gevent_socket.socket]] = {}
        self._renderers: dict[tuple[str, int], _Renderer] = {}

    def render(self, address: tuple[str, int], request: Request) -> bytes:
        """Return the head of a request to a target.

        :param address: The target's IP number and port.
        :param request: The request.
        :raises ValueError: The request cannot be written as HTTP.
        """
        renderer = self._renderers.get(address)
        if renderer is None:
            renderer = _Renderer(address[0], address[1])
            self._renderers[address] = renderer
        return renderer.render(request)

    def connect(
        self, address: tuple[str, int], *, fresh: bool
    ) -> gevent_socket.socket:
        """Return a connection to a target.

        :param address: The target's IP number and port.
        :param fresh: Whether to open a new connection instead of reusing an
            idle one, which the target may close during the send.
        :raises OSError: The connection failed.
        """
        idle = self._idle.get(address)
        while idle and not fresh:
            sock = idle.pop()
            if sockets.peek(sock) is sockets.Peek.QUIET:
                return sock
            sock.close()
        sock = gevent_socket.create_connection(address, self.connect_timeout)
        _set_options(sock)
        return sock

    def put_back(
        self, address: tuple[str, int], sock: gevent_socket.socket
    ) -> None:
        """Return a connection to the pool of idle ones.

        :param address: The target's IP number and port.
        :param sock: The connection, with no outstanding answer.
        """
        idle = self._idle.setdefault(address, [])
        if len(idle) >= IDLE_LIMIT:
            sock.close()
            return
        idle.append(sock)

    def prune(self, addresses: set[tuple[str, int]]) -> None:
        """Close the idle connections to targets that are not in use.

        :param addresses: Targets in use.
        """
        for address in [key for key in self._idle if key not in addresses]:
            for sock in self._idle.pop(address):
                sock.close()
            self._renderers.pop(address, None)


class Exchange:
    """One attempt of a request on one target.

    :param sender: Owns the connections.
    :param address: The target's IP number and port.
    :param request: The request.
    :param request_id: Identifier that the target must return.
    :param echo_required: Whether an answer without it is rejected.
    """

    __slots__ = (
        "_sender",
        "_address",
        "_request",
        "_request_id",
        "_echo_required",
        "_sock",
        "_parser",
    )

    def __init__(
        self,
        sender: Sender,
        address: tuple[str, int],
        request: Request,
        *,
        request_id: str,
        echo_required: bool,
    ) -> None:
        self._sender = sender
        self._address = address
        self._request = request
        self._request_id = request_id
        self._echo_required = echo_required
        self._sock: gevent_socket.socket | None = None
        self._parser = _Parser(request.method)

    def send(self, *, fresh: bool, timeout: float) -> Result:
        """Send the request and wait for the answer.

        :param fresh: Whether to use a new connection.
        :param timeout: Timeout, in seconds.
        """
        try:
            head = self._sender.render(self._address, self._request)
            sock = self._sender.connect(self._address, fresh=fresh)
        except (OSError, ValueError) as error:
            return NotSent(detail=repr(error))
        self._sock = sock
        sent = False
        timer = gevent.Timeout(timeout)
        timer.start()
        try:
            sock.sendall(head + self._request.body)
            sent = True
            return self._read()
        except gevent.Timeout as raised:
            if raised is not timer:
                raise
            if sent:
                return Pending()
            # The target did not receive the complete request, hence there
            # is no answer to wait for.
            return self._fail(outcomes.Reason.ANSWER_LATE, "not read")
        except OSError as error:
            return self._fail(outcomes.Reason.ANSWER_BROKEN, repr(error))
        finally:
            timer.close()

    def wait(self, timeout: float | None) -> Result:
        """Continue to wait for the answer after :class:`Pending`.

        :param timeout: Timeout, in seconds; ``None`` for no limit.
        """
        with gevent.Timeout(timeout, False):
            try:
                return self._read()
            except OSError as error:
                return self._fail(outcomes.Reason.ANSWER_BROKEN, repr(error))
        return Pending()

    def stream(self, timeout: float) -> Iterator[bytes]:
        """Yield the rest of an incomplete answer.

        :param timeout: Timeout of the whole rest, in seconds.
        :raises OSError: The answer was truncated or timed out; the chunks
            yielded are incomplete.
        """
        timer = gevent.Timeout(timeout)
        timer.start()
        try:
            while not self._parser.message_complete:
                self._receive()
                chunk = self._parser.take_body()
                if chunk:
                    yield chunk
            self._finish()
        except (gevent.Timeout, http_response.HTTPParseError) as error:
            self.close()
            raise OSError(f"answer broke off: {error!r}") from error
        except OSError:
            self.close()
            raise
        finally:
            timer.close()

    def drain(self) -> None:
        """Wait until the target has finished the request; drop the answer."""
        try:
            while not self._parser.message_complete:
                self._receive()
                self._parser.take_body()
        except (OSError, http_response.HTTPParseError):
            pass
        self.close()

    def close(self) -> None:
        """Close the connection if this attempt still owns it."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def _read(self) -> Result:
        parser = self._parser
        limit = self._sender.answer_limit
        try:
            while not parser.message_complete:
                if parser.count_buffered() > limit:
                    break
                self._receive()
        except http_response.HTTPParseError as error:
            return self._fail(outcomes.Reason.ANSWER_BROKEN, repr(error))
        fault = self._check_request_id()
        if fault is not None:
            return fault
        answer = Answered(
            status=parser.status_code,
            phrase=parser.status_message or "",
            headers=list(parser.headers),
            body=self._parser.take_body(),
            whole=parser.message_complete,
        )
        if answer.whole:
            self._finish()
        return answer

    def _receive(self) -> None:
        """Receive the next bytes and pass them to the parser.

        :raises OSError: The connection ended before the answer was complete.
        """
        if self._sock is None:
            raise ConnectionError("connection is closed")
        data = self._sock.recv(READ_SIZE)
        if not data:
            # An answer that is delimited only by the end of the connection
            # cannot be distinguished from a truncated one, so it counts as
            # incomplete.
            raise ConnectionError("connection ended within the answer")
        self._parser.feed(data)

    def _check_request_id(self) -> Broken | None:
        echo = self._parser.get(jobs.REQUEST_ID_HEADER)
        if echo == self._request_id:
            return None
        if echo is None and not self._echo_required:
            return None
        return self._fail(
            outcomes.Reason.ANSWER_MISMATCHED,
            f"answer carries request identifier {echo!r}",
        )

    def _finish(self) -> None:
        sock = self._sock
        self._sock = None
        if sock is None:
            return
        if self._parser.should_close():
            sock.close()
        else:
            self._sender.put_back(self._address, sock)

    def _fail(self, reason: outcomes.Reason, detail: str) -> Broken:
        self.close()
        return Broken(reason=reason, detail=detail)


def _set_options(sock: gevent_socket.socket) -> None:
    sock.settimeout(None)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    # A VM that crashed without closing its connections is detected by the
    # keepalive probes, so that its slots are freed.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
