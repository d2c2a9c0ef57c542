"""Reads the requests of one connection within the limits of its server."""

from __future__ import annotations

import socket

import gevent
from gevent import socket as gevent_socket

from rackvalve import clocks
from rackvalve.serving import errors
from rackvalve.serving import ledger as ledgers
from rackvalve.serving import limits as server_limits

# Largest block read from a connection at once, in bytes.
READ_BLOCK = 16384
# Bytes, and calls, after which a reader lets other greenlets run.  A client
# that sends faster than its bytes are read would otherwise stop the process.
TURN_BYTES = 65536
TURN_CALLS = 100


class RequestReader:
    """The stream from which the server reads a connection's requests.

    :param sock: The connection.
    :param connection: Its account.
    :param ledger: The accounts of the server.
    :param limits: What the client may send.
    """

    __slots__ = (
        "_sock",
        "_connection",
        "_ledger",
        "limits",
        "_buffer",
        "_position",
        "_header_left",
        "_header_until",
        "_turn_bytes",
        "_turn_calls",
        "is_ahead",
        "closed",
    )

    def __init__(
        self,
        sock: gevent_socket.socket,
        connection: ledgers.Connection,
        ledger: ledgers.Ledger,
        limits: server_limits.Limits,
    ) -> None:
        self._sock = sock
        self._connection = connection
        self._ledger = ledger
        self.limits = limits
        # Bytes that were read from the connection, and how many of them were
        # returned.
        self._buffer = b""
        self._position = 0
        # Bytes that the present header may still have; ``None`` in a body.
        self._header_left: int | None = limits.header_bytes
        # When the present header must have arrived, in seconds; ``None``
        # before its first byte.
        self._header_until: float | None = None
        self._turn_bytes = 0
        self._turn_calls = 0
        # Whether the present request began to arrive before the last one was
        # answered.
        self.is_ahead = False
        self.closed = False

    def begin_header(self, limits: server_limits.Limits) -> None:
        """Expect the header of the next request.

        :param limits: What the client may send from now on.
        """
        self.limits = limits
        self._header_left = limits.header_bytes
        self._header_until = None
        self._connection.has_begun = False
        self.is_ahead = self._available > 0
        if self.is_ahead:
            self._start_header_clock()

    def end_header(self) -> None:
        """Expect a body."""
        self._header_left = None
        self._header_until = None

    def readline(self, size: int = -1) -> bytes:
        """Read a line with its end, or the rest of the stream.

        :param size: Longest part of the line that is returned, in bytes; not
            limited if negative.
        :raises RequestUnreadError: The limits were exceeded.
        """
        limit = size if size >= 0 else self.limits.header_bytes
        if self._header_left is not None:
            limit = min(limit, self._header_left + 1)
        scanned = 0
        while (end := self._find_line_end(scanned, limit)) < 0:
            scanned = self._available
            if scanned >= limit or not self._fill():
                end = min(self._available, limit)
                break
        line = self._take(end)
        if self._header_left is not None:
            self._header_left -= len(line)
            if self._header_left < 0:
                raise errors.HeaderTooLongError(
                    f"the header has more than {self.limits.header_bytes} "
                    "bytes; send fewer or shorter fields"
                )
        return line

    def read(self, size: int) -> bytes:
        """Read up to some bytes, at least one unless the stream has ended.

        :param size: Most bytes that are returned.
        :raises RequestUnreadError: The client was too slow.
        """
        if not self._available:
            self._fill()
        return self._take(min(size, self._available))

    def hold(self, length: int) -> None:
        """Account for the memory of a body.

        :param length: Length of the body as far as it was read, in bytes.
        :raises MemoryFullError: There is no memory left for it.
        """
        now = clocks.read_steady()
        size = server_limits.weigh_body(length)
        if size <= self._connection.held:
            return
        if not self._ledger.hold(self._connection, size, now):
            raise errors.MemoryFullError(
                "no memory is left for the body; send the request again later"
            )

    def is_full(self) -> bool:
        """Return whether longer bodies surely do not fit."""
        return self._ledger.is_full(clocks.read_steady())

    def may_drain(self, size: int) -> bool:
        """Return whether bytes that nobody wants may be read.

        :param size: Number of the bytes.
        """
        return self._ledger.take_drain(size, clocks.read_steady())

    def close(self) -> None:
        """Read nothing further."""
        self.closed = True
        self._buffer = b""
        self._position = 0

    @property
    def _available(self) -> int:
        """Number of bytes that were read and not returned."""
        return len(self._buffer) - self._position

    def _find_line_end(self, scanned: int, limit: int) -> int:
        """Return the length of the next line; -1 if its end has not arrived.

        :param scanned: Bytes of the line that hold no end.
        :param limit: Bytes of the line that are searched.
        """
        start = self._position
        found = self._buffer.find(b"\n", start + scanned, start + limit)
        return found + 1 - start if found >= 0 else -1

    def _take(self, length: int) -> bytes:
        end = self._position + length
        taken = self._buffer[self._position : end]
        self._position = end
        if end == len(self._buffer):
            self._buffer = b""
            self._position = 0
        self._turn_bytes += length
        self._turn_calls += 1
        if self._turn_bytes >= TURN_BYTES or self._turn_calls >= TURN_CALLS:
            self._turn_bytes = 0
            self._turn_calls = 0
            gevent.sleep(0)
        return taken

    def _fill(self) -> bool:
        """Wait for bytes; return whether some have arrived."""
        connection = self._connection
        was_working = connection.is_working
        connection.is_working = False
        self._sock.settimeout(self._choose_timeout())
        try:
            block: bytes = self._sock.recv(READ_BLOCK)
        except socket.timeout as error:
            raise errors.RequestTimeoutError(
                "the request did not arrive in time; send it faster"
            ) from error
        finally:
            connection.is_working = was_working
            self._sock.settimeout(self.limits.idle_timeout)
        connection.progressed = clocks.read_steady()
        connection.has_begun = True
        self._buffer = self._buffer[self._position :] + block
        self._position = 0
        if self._header_left is not None and self._header_until is None:
            self._start_header_clock()
        return bool(block)

    def _start_header_clock(self) -> None:
        now = clocks.read_steady()
        self._header_until = now + self.limits.header_timeout

    def _choose_timeout(self) -> float:
        """Return how long to wait for the next bytes, in seconds."""
        if self._header_until is None:
            return self.limits.idle_timeout
        left = self._header_until - clocks.read_steady()
        if left <= 0:
            raise errors.RequestTimeoutError(
                "the header did not arrive within "
                f"{self.limits.header_timeout} s; send it faster"
            )
        return min(left, self.limits.idle_timeout)
