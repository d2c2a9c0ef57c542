"""A lower bound of a worker's steady clock, for the checks of its answers."""

from __future__ import annotations

from rackvalve.scheduling import workers

# Workers report their clocks in whole milliseconds, rounded down.
RESOLUTION_S = 0.001


class WorkerClock:
    """Estimates a worker's steady clock from its last reported reading."""

    __slots__ = ("_reading", "_heard_at")

    def __init__(self) -> None:
        self._reading: float | None = None
        self._heard_at = 0.0

    def note(self, reading: float, now: float) -> None:
        """Record a reading.

        :param reading: What the worker's clock showed, in seconds.
        :param now: When the answer came, on this process's clock, in seconds.
        """
        self._reading = reading
        self._heard_at = now

    def read(self, now: float) -> float | None:
        """Return a lower bound of what the worker's clock shows now.

        :param now: Present time, in seconds.
        :return: The bound, in seconds; ``None`` before the first reading.
        """
        if self._reading is None:
            return None
        return self._reading + (now - self._heard_at) * (
            1 - workers.CLOCK_TOLERANCE
        )

    def find_min(self, now: float) -> float:
        """Return the lowest reading that an answer to a call now can report.

        :param now: Present time, in seconds.
        """
        shown = self.read(now)
        if shown is None or self._reading is None:
            return float("-inf")
        return max(self._reading, shown - RESOLUTION_S)
