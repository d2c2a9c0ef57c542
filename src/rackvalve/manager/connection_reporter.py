"""Tells how many connections of callers were closed for others."""

from __future__ import annotations

import collections

import gevent

from rackvalve import logs
from rackvalve import telemetry as telemetries

# Interval of the log lines, in seconds: a crowd has thousands of connections
# closed in that time.
INTERVAL_S = 1.0


class ConnectionReporter:
    """Counts closed connections, and logs their number at an interval.

    :param telemetry: The measures.
    """

    __slots__ = ("_telemetry", "_closed")

    def __init__(self, telemetry: telemetries.Telemetry) -> None:
        self._telemetry = telemetry
        # Connections closed since the last log line, by listener and reason.
        self._closed: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def note_closed(self, listener: str, reason: str) -> None:
        """Record a connection that was refused, or closed for another one.

        :param listener: Name of the listener's setting.
        :param reason: The reason.
        """
        self._closed[listener, reason] += 1

    def run(self) -> None:
        """Report what was recorded, until the greenlet is killed."""
        while True:
            gevent.sleep(INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Report what was recorded since the last report."""
        for (listener, reason), count in self._closed.items():
            self._telemetry.connections_closed.labels(listener, reason).inc(
                count
            )
            logs.write_warning(
                "connections.closed",
                listener=listener,
                reason=reason,
                connections=count,
            )
        self._closed.clear()
