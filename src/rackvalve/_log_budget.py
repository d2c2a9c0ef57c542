"""How many lines of each event are written, whatever the load.

Each event has a budget of its own, so that one that floods leaves the others
readable; what is left out is counted.
"""

from __future__ import annotations

import dataclasses

# Lines of one event a second, and at once after a quiet time.  An owner of
# 180 workers starts and ends 350 runs a second at its peaks.
RATE = 400.0
BURST = 2000.0
# How often it is told what was left out, in seconds.
REPORT_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Lines that one event may still write.

    :param lines: How many.
    :param since: When that was counted, in seconds.
    """

    lines: float
    since: float


class LogBudget:
    """Counts lines by event.

    :param rate: Lines of one event a second.
    :param burst: Lines of one event at once.
    """

    __slots__ = ("_rate", "_burst", "_buckets", "_left_out", "_reported")

    def __init__(self, rate: float = RATE, burst: float = BURST) -> None:
        self._rate = rate
        self._burst = burst
        self._buckets: dict[str, _Bucket] = {}
        self._left_out: dict[str, int] = {}
        self._reported = float("-inf")

    def take(self, event: str, now: float) -> bool:
        """Take one line of an event's budget.

        :param event: Name of the event.
        :param now: Present time, in seconds.
        :return: Whether it may be written; if not, it is counted.
        """
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = _Bucket(self._burst, now)
        grown = bucket.lines + (now - bucket.since) * self._rate
        bucket.lines = min(self._burst, grown)
        bucket.since = now
        if bucket.lines < 1:
            self.note_left_out(event)
            return False
        bucket.lines -= 1
        return True

    def note_left_out(self, event: str) -> None:
        """Count a line that was not written.

        :param event: Name of the event.
        """
        self._left_out[event] = self._left_out.get(event, 0) + 1

    def report(self, now: float) -> dict[str, int]:
        """Return what was left out, by event, if it is time to tell.

        :param now: Present time, in seconds.
        :return: Numbers of lines; empty if there is nothing to tell.
        """
        if not self._left_out or now - self._reported < REPORT_INTERVAL_S:
            return {}
        self._reported = now
        found, self._left_out = self._left_out, {}
        return found
