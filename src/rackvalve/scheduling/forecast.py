"""What a pool will be asked for when a VM that is ordered now is at work."""

from __future__ import annotations

import collections
import math

from rackvalve.scheduling import demand as demands

# A pool keeps room for the greatest demand of this time, in seconds.  To hold
# a VM for 2.3 s costs as much as to move it away and back (the users' prices);
# in trials 1.5 s cost less than 3 s, since a demand that has gone mostly stays
# away for longer.
PEAK_WINDOW_S = 1.5
# Demand that rises is expected to go on rising while a VM is on its way: 1.5 s
# for the move, 0.1 s until it is decided and at work.
LEAD_S = 1.6
# The rise is measured over this time, in seconds.
RISE_WINDOW_S = 0.5
# And over this one, so that the first VMs of a turn are ordered 0.3 s sooner:
# a turn of 50 jobs a second asks for 55 VMs more each second from its first
# one on, and its first jobs bear to wait for 1.4 s.
ONSET_WINDOW_S = 0.2
# It counts if so many jobs came within that time: with fewer the slope is off
# by more than a third, and VMs are moved to and fro for nothing.
ONSET_JOBS = 8
# And if the rise is this many times the largest of them.
ONSET_LARGEST = 2.5
# So many standard deviations of random arrivals are no rise; with two, large
# pools came late (trials).
SCATTER = 1.0


class Forecast:
    """The recent demand of one pool, and what follows from it."""

    __slots__ = ("_samples", "_largest", "_arrivals")

    def __init__(self) -> None:
        # Demand in VMs, with its time.
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # What the largest of the jobs asks for that have just come, in VMs.
        self._largest = 0.0
        self._arrivals = 0

    def add_sample(self, demand: demands.Demand, now: float) -> None:
        """Take a sample.

        :param demand: The demand now.
        :param now: Present time, in seconds.
        """
        self._samples.append((now, demand.vms))
        self._largest = demand.largest
        self._arrivals = demand.arrivals
        while self._samples[0][0] < now - PEAK_WINDOW_S:
            self._samples.popleft()

    @property
    def newest(self) -> float:
        """The newest sample, in VMs."""
        return self._samples[-1][1] if self._samples else 0.0

    def predict(self, now: float, ahead: float = LEAD_S) -> float:
        """Return the demand to come when a VM ordered now is at work, in VMs.

        Only what goes beyond the scatter of jobs that come at random is a
        rise that goes on.

        :param now: Present time, in seconds.
        :param ahead: How far to look ahead, in seconds.
        """
        if not self._samples:
            return 0.0
        slope = self._measure_slope(now, RISE_WINDOW_S, least=0.0)
        if self._arrivals >= ONSET_JOBS:
            least = ONSET_LARGEST * self._largest
            onset = self._measure_slope(now, ONSET_WINDOW_S, least=least)
            slope = max(slope, onset)
        return self.newest + slope * ahead

    def _measure_slope(
        self, now: float, window: float, *, least: float
    ) -> float:
        """Return the rise over a time, in VMs a second.

        :param now: Present time, in seconds.
        :param window: That time, in seconds.
        :param least: A smaller rise does not count, in VMs.
        """
        began, before = self._samples[0]
        for time, demand in self._samples:
            if time > now - window:
                break
            began, before = time, demand
        rise = max(0.0, self.newest - before)
        if rise < least:
            return 0.0
        rise = max(0.0, rise - SCATTER * math.sqrt(rise * self._largest))
        return rise / max(now - began, window)

    def peak(self) -> float:
        """Return the greatest demand of the window, in VMs."""
        return max((demand for _, demand in self._samples), default=0.0)
