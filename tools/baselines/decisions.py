"""Decision classes that lack knowledge of the product, for comparison."""

from __future__ import annotations

from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import speeds


class FirstComePlanner(planners.Planner):
    """Starts jobs in the order of arrival, regardless of their objectives."""

    __slots__ = ()

    def _urgency(self, state, now):
        return (state.arrived,)


class PassiveFailureDetector(failure_detector.FailureDetector):
    """Considers each worker reachable until its entry or lease has expired."""

    __slots__ = ()

    def check(self, now):
        """Detect no silent worker.

        :param now: Present time, in seconds.
        """
        return []


class UniformSpeeds(speeds.Speeds):
    """Considers all workers equally fast."""

    __slots__ = ()

    def detect_slowness(self, worker, durations, now):
        """Detect no slow worker.

        :param worker: The worker.
        :param durations: Mean time of a task by queue, in seconds.
        :param now: Present time, in seconds.
        """
