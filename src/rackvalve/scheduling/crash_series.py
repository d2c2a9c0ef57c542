"""When workers of a pool crash again and again.

One worker that crashes, or several at a moment, is most often the doing of its
VM, or of what the VMs share; crashes that follow each other are more likely
the doing of what is started again.
"""

from __future__ import annotations

import collections

# Crashes so near to each other (seconds) may have one cause, such as a rack
# that has lost its power: they are noticed one after the other.
SAME_CAUSE_S = 1.5
# How long a crash is remembered, in seconds.
KEPT_S = 10.0


class CrashSeries:
    """The crashes that one owner has noticed lately."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        # By pool, oldest first.
        self._times: dict[str, collections.deque[float]] = {}

    def note(self, pool: str, now: float) -> bool:
        """Note that a worker has crashed.

        :param pool: Its pool.
        :param now: Present time, in seconds.
        :return: Whether others have crashed before, at another moment.
        """
        times = self._times.setdefault(pool, collections.deque())
        times.append(now)
        while times[0] < now - KEPT_S:
            times.popleft()
        return times[0] < now - SAME_CAUSE_S
