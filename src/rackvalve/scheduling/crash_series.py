"""Detection of repeated worker crashes in a pool, used in attribution.

A single crash, or several at the same time, is most often caused by the VM or
by what the VMs share.  Crashes that follow each other are more likely caused
by a task that is started again.
"""

from __future__ import annotations

import collections

# Crashes within this time (seconds) of each other may have one cause, such as
# a rack that lost its power: they are detected one after the other.
SAME_CAUSE_S = 1.5
# How long a crash counts, in seconds.
RETENTION_S = 10.0


class CrashSeries:
    """The recent crashes that one owner has detected."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        # Times of crashes by pool, oldest first.
        self._times: dict[str, collections.deque[float]] = {}

    def note(self, pool: str, now: float) -> bool:
        """Record that a worker has crashed.

        :param pool: The worker's pool.
        :param now: Present time, in seconds.
        :return: Whether a worker of the pool crashed earlier, for what is
            likely another cause.
        """
        times = self._times.setdefault(pool, collections.deque())
        times.append(now)
        while times[0] < now - RETENTION_S:
            times.popleft()
        return times[0] < now - SAME_CAUSE_S
