"""What is known of a worker's steady clock."""

from __future__ import annotations

from rackvalve.scheduling import workers

# Clocks are told in whole milliseconds, rounded down.
GRAIN_S = 0.001


class WorkerClock:
    """The last reading of a worker's steady clock, and what follows of it."""

    __slots__ = ("_told", "_heard")

    def __init__(self) -> None:
        self._told: float | None = None
        self._heard = 0.0

    def note(self, told: float, now: float) -> None:
        """Take a reading.

        :param told: What the worker's clock showed, in seconds.
        :param now: When we heard it, on our clock.
        """
        self._told = told
        self._heard = now

    def read(self, now: float) -> float | None:
        """Return the least that the worker's clock shows now.

        :param now: Present time, in seconds.
        """
        if self._told is None:
            return None
        return self._told + (now - self._heard) * (1 - workers.CLOCK_TOLERANCE)

    def find_least(self, now: float) -> float:
        """Return the least that an answer to a call of now can tell.

        :param now: Present time, in seconds.
        """
        shown = self.read(now)
        if shown is None or self._told is None:
            return float("-inf")
        return max(self._told, shown - GRAIN_S)
