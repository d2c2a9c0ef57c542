"""Metrics through statsd, gathered in the process and sent at intervals.

:data:`METRICS` names every metric and its meaning; the reference page is
made from it.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import gevent
import statsd

if TYPE_CHECKING:
    from rackvalve.settings import kinds

METRICS: dict[str, str] = {
    "requests.served": "counter: requests answered whole",
    "requests.refused": "counter: requests refused that did not run",
    "requests.unknown": "counter: requests that may have run",
    "requests.retried": "counter: further attempts on another target",
    "requests.cancelled": "counter: callers gone before the start",
    "requests.waiting": "gauge: requests in the queues",
    "requests.running": "gauge: requests on targets",
    "targets.ejected": "gauge: targets without work because of failures",
    "platform.calls": "counter: calls to the platform, each watch as one",
    "platform.failures": "counter: calls to the platform that failed",
}


class Metrics:
    """Counters and gauges of one process.

    :param address: The statsd receiver.
    :param program: Prefix of each name.
    :param interval: Time between two sendings, in seconds.
    """

    def __init__(
        self, address: kinds.Address, program: str, *, interval: float
    ) -> None:
        self._client = statsd.StatsClient(
            address.host, address.port, prefix=f"rackvalve.{program}"
        )
        self._interval = interval
        self._counts: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter.

        :param name: A name of :data:`METRICS`.
        :param number: What to add.
        """
        self._counts[name] += number

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge.

        :param name: A name of :data:`METRICS`.
        :param value: Its present value.
        """
        self._gauges[name] = value

    def run(self) -> None:
        """Send at each interval, until the greenlet is killed."""
        while True:
            gevent.sleep(self._interval)
            self.send()

    def send(self) -> None:
        """Send what has been gathered and start the counters anew."""
        counts, self._counts = self._counts, collections.Counter()
        with self._client.pipeline() as pipeline:
            for name, number in counts.items():
                pipeline.incr(name, number)
            for name, value in self._gauges.items():
                pipeline.gauge(name, value)
