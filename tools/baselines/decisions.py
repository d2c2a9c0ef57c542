"""Owners that decide without what the product knows, for comparison."""

from __future__ import annotations

from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import speeds


class FirstComePlanner(planners.Planner):
    """Starts work in the order in which it came, whatever its objective."""

    __slots__ = ()

    def _urgency(self, state, now):
        return (state.arrived,)


class BlindFailureDetector(failure_detector.FailureDetector):
    """Takes each worker as reachable until its entry or lease is gone."""

    __slots__ = ()

    def check(self, now):
        """Detect no silent worker.

        :param now: Present time, in seconds.
        """
        return []


class UniformSpeeds(speeds.Speeds):
    """Takes every worker to be as fast as the others."""

    __slots__ = ()

    def detect_slowness(self, worker, durations, now):
        """Detect no slow worker.

        :param worker: The worker.
        :param durations: Mean time of a task by queue, in seconds.
        :param now: Present time, in seconds.
        """
