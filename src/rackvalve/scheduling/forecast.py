"""Predicts a pool's demand at the time a VM ordered now can serve it."""

from __future__ import annotations

import collections
import math

from rackvalve.scheduling import demand as demands

# A pool keeps VMs for the peak demand of this time, in seconds.  Holding a VM
# for 2.3 s costs as much as moving it away and back; 1.5 s costs less than
# 3 s, since demand that has gone mostly stays away for longer.
PEAK_WINDOW_S = 1.5
# Rising demand is assumed to go on rising until a VM ordered now can serve it,
# in seconds: 1.5 s for the move, 0.1 s for the decision and the start.
LEAD_TIME_S = 1.6
# Time over which a rise is measured, in seconds.
RISE_WINDOW_S = 0.5
# Shorter time over which the onset of a burst is measured, in seconds, so that
# its first VMs are ordered 0.3 s sooner: a burst of 50 jobs a second needs 55
# more VMs each second from the start, and its first jobs can wait for 1.4 s.
ONSET_WINDOW_S = 0.2
# The onset counts only if this many jobs arrived within that time: with fewer
# the slope is off by more than a third, and VMs move to and fro for nothing.
MIN_ONSET_JOBS = 8
# And only if the rise is at least this many times the largest of these jobs.
MIN_ONSET_RATIO = 2.5
# A rise within this many standard deviations of random arrivals is noise; with
# two, large pools get their VMs late.
NOISE_DEVIATIONS = 1.0


class Forecast:
    """Recent samples of one pool's demand, and the prediction from them."""

    __slots__ = ("_samples", "_largest", "_arrivals")

    def __init__(self) -> None:
        # Time and demand in VMs, oldest first.
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # Demand of the largest new job, in VMs.
        self._largest = 0.0
        self._arrivals = 0

    def add_sample(self, demand: demands.Demand, now: float) -> None:
        """Add a sample of the demand.

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

    def predict(self, now: float, ahead: float = LEAD_TIME_S) -> float:
        """Return the demand when a VM ordered now can serve it, in VMs.

        Only a rise beyond the noise of random arrivals is extrapolated.

        :param now: Present time, in seconds.
        :param ahead: How far to look ahead, in seconds.
        """
        if not self._samples:
            return 0.0
        slope = self._measure_slope(now, RISE_WINDOW_S, least=0.0)
        if self._arrivals >= MIN_ONSET_JOBS:
            least = MIN_ONSET_RATIO * self._largest
            onset = self._measure_slope(now, ONSET_WINDOW_S, least=least)
            slope = max(slope, onset)
        return self.newest + slope * ahead

    def _measure_slope(
        self, now: float, window: float, *, least: float
    ) -> float:
        """Return the slope of the demand, in VMs a second.

        :param now: Present time, in seconds.
        :param window: Time over which the slope is measured, in seconds.
        :param least: Smallest rise that counts, in VMs.
        """
        began, before = self._samples[0]
        for time, demand in self._samples:
            if time > now - window:
                break
            began, before = time, demand
        rise = max(0.0, self.newest - before)
        if rise < least:
            return 0.0
        rise = max(
            0.0, rise - NOISE_DEVIATIONS * math.sqrt(rise * self._largest)
        )
        return rise / max(now - began, window)

    def peak(self) -> float:
        """Return the peak demand of the window, in VMs."""
        return max((demand for _, demand in self._samples), default=0.0)
