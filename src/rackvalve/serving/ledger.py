"""Accounts for the open connections of a server and the memory they take.

Where a new connection or a body needs what others hold, connections that have
stood still are closed.  A client that sends slowly but steadily is spared:
what counts is the share of its life in which a connection has just been idle.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import math

from rackvalve.serving import limits

# Parts of the capacity that are made free at once, so that a crowd of clients
# does not have all connections compared for each of its own.
EVICTED_SHARE = 1 / 32
# Time for which connections are not compared again after a comparison that
# made nothing free, in seconds.
COMPARISON_PAUSE_S = 0.05
# Time for which longer bodies are refused unread after there was no memory for
# one, in seconds.
REFUSAL_PAUSE_S = 0.05
# Bytes of bodies that nobody wants that are read in a second, and at once
# after a quiet time.
DRAIN_RATE = 4 * 1024 * 1024
DRAIN_BURST = 16 * 1024 * 1024
# Shortest time without a byte after which a body may be given up for another
# one, in seconds.
MIN_STALL_S = 0.5


class Connection:
    """One open connection.

    :param close: Closes it at once.
    :param now: Present time, in seconds.
    """

    __slots__ = (
        "close",
        "opened",
        "progressed",
        "held",
        "is_working",
        "has_begun",
    )

    def __init__(
        self, close: Callable[[Connection], None], now: float
    ) -> None:
        self.close = close
        self.opened = now
        # When the client last sent or took a byte.
        self.progressed = now
        # Memory that its request's body takes, in bytes.
        self.held = 0
        # Whether its request is being carried out; it is not closed then.
        self.is_working = False
        # Whether a part of a request has arrived that was not answered.
        self.has_begun = False

    def measure_stall(self, now: float) -> float:
        """Return how long the connection has stood still, in seconds.

        The time is scaled by the share of the connection's life that it makes
        up.

        :param now: Present time, in seconds.
        """
        idle = now - self.progressed
        age = now - self.opened
        return idle * idle / age if age > 0 else 0.0


class Ledger:
    """The open connections of one server.

    :param capacity: What they may take together.
    :param on_close: Called with the reason for each connection that is closed
        for the sake of another one.
    """

    __slots__ = (
        "_capacity",
        "_on_close",
        "_connections",
        "_held",
        "_compared_at",
        "_refused_at",
        "_drainable",
        "_drained_at",
    )

    def __init__(
        self,
        capacity: limits.Capacity,
        *,
        on_close: Callable[[str], None],
    ) -> None:
        self._capacity = capacity
        self._on_close = on_close
        self._connections: set[Connection] = set()
        # Memory that all bodies take, in bytes.
        self._held = 0
        # When a comparison of bodies last made nothing free, in seconds.
        self._compared_at = -math.inf
        # When there last was no memory for a body, in seconds.
        self._refused_at = -math.inf
        # Bytes that may be read though nobody wants them, and when that was
        # counted, in seconds.
        self._drainable = float(DRAIN_BURST)
        self._drained_at = -math.inf

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def held(self) -> int:
        """Memory that bodies take, in bytes."""
        return self._held

    def open(
        self, close: Callable[[Connection], None], now: float
    ) -> Connection | None:
        """Account for a new connection, closing others if there are too many.

        :param close: Closes it at once.
        :param now: Present time, in seconds.
        :return: The connection; ``None`` if all others are being worked on.
        """
        if len(self._connections) >= self._capacity.connections:
            count = int(self._capacity.connections * EVICTED_SHARE)
            self._evict_idle(max(1, count), now)
        if len(self._connections) >= self._capacity.connections:
            self._on_close("refused")
            return None
        connection = Connection(close, now)
        # What it has sent is not read before its greenlet begins.
        connection.is_working = True
        self._connections.add(connection)
        return connection

    def close(self, connection: Connection) -> None:
        """Forget a connection that was closed.

        :param connection: The connection.
        """
        self.release(connection)
        self._connections.discard(connection)

    def hold(self, connection: Connection, size: int, now: float) -> bool:
        """Account for the memory that a connection's body takes.

        Bodies of connections that stand still make room for it.

        :param connection: The connection.
        :param size: The memory, in bytes.
        :param now: Present time, in seconds.
        :return: Whether there is as much memory.
        """
        wanted = size - connection.held
        if not self._reserve(wanted, now, besides=connection):
            return False
        connection.held = size
        return True

    def reserve(self, size: int, now: float) -> bool:
        """Account for memory of a request that came on no connection.

        :param size: The memory, in bytes.
        :param now: Present time, in seconds.
        :return: Whether there is as much memory.
        """
        return self._reserve(size, now, besides=None)

    def free(self, size: int) -> None:
        """Account for the end of such a request.

        :param size: The memory, in bytes.
        """
        self._held -= size

    def _reserve(
        self, size: int, now: float, *, besides: Connection | None
    ) -> bool:
        excess = self._held + size - self._capacity.body_bytes
        pause_over = now - self._compared_at >= COMPARISON_PAUSE_S
        if excess > 0 and pause_over:
            spare = int(self._capacity.body_bytes * EVICTED_SHARE)
            self._evict_bodies(excess + spare, now, besides=besides)
        if self._held + size > self._capacity.body_bytes:
            if size <= self._capacity.body_bytes:
                self._refused_at = now
            return False
        self._held += size
        return True

    def release(self, connection: Connection) -> None:
        """Account for the end of a connection's body.

        :param connection: The connection.
        """
        self._held -= connection.held
        connection.held = 0

    def is_full(self, now: float) -> bool:
        """Return whether longer bodies surely do not fit.

        There was no memory for one a moment ago, or the server takes none and
        half of its connections are taken.

        :param now: Present time, in seconds.
        """
        if not self._capacity.body_bytes:
            return 2 * len(self._connections) >= self._capacity.connections
        return now - self._refused_at < REFUSAL_PAUSE_S

    def take_drain(self, size: int, now: float) -> bool:
        """Take a part of what may be read though nobody wants it.

        :param size: The part, in bytes.
        :param now: Present time, in seconds.
        :return: Whether it may be read.
        """
        grown = self._drainable + (now - self._drained_at) * DRAIN_RATE
        self._drainable = min(float(DRAIN_BURST), grown)
        self._drained_at = now
        if self._drainable < size:
            return False
        self._drainable -= size
        return True

    def _evict_idle(self, count: int, now: float) -> None:
        idle = [one for one in self._connections if not one.is_working]
        for connection in heapq.nlargest(
            count, idle, key=lambda one: one.measure_stall(now)
        ):
            self._evict(connection, "connections")

    def _evict_bodies(
        self, size: int, now: float, *, besides: Connection | None
    ) -> None:
        stalled = [
            one
            for one in self._connections
            if one.held
            and not one.is_working
            and one is not besides
            and now - one.progressed >= MIN_STALL_S
        ]
        if not stalled:
            self._compared_at = now
        stalled.sort(key=lambda one: one.measure_stall(now))
        while size > 0 and stalled:
            connection = stalled.pop()
            size -= connection.held
            self._evict(connection, "memory")

    def _evict(self, connection: Connection, reason: str) -> None:
        self.close(connection)
        self._on_close(reason)
        connection.close(connection)
