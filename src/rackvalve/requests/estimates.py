"""Run time estimates of one pool by workspace and class.

The pool's scheduler uses them.  A run time that the caller declares counts
for the first requests only; observed run times override it.
"""

from __future__ import annotations

import math

DEFAULT_RUN_S = 0.05
MIN_RUN_S = 1e-4
MEAN_WEIGHT = 0.1
HIGH_QUANTILE = 0.95
HIGH_STEP = 0.2
OBSERVATIONS_TO_TRUST = 5


class Estimate:
    """Mean and high quantile of one stream of run times, in seconds."""

    __slots__ = ("count", "mean", "high")

    def __init__(self, first: float) -> None:
        self.count = 0
        self.mean = first
        self.high = first

    def observe(self, run: float) -> None:
        """Add one observed run time.

        :param run: Run time, in seconds.
        """
        run = max(run, MIN_RUN_S)
        self.count += 1
        weight = max(MEAN_WEIGHT, 1.0 / self.count)
        self.mean += weight * (run - self.mean)
        # The quantile moves by a fixed ratio per step, more up than down, so
        # that it converges where the share of longer runs is 1 - quantile.
        step = HIGH_STEP if self.count > OBSERVATIONS_TO_TRUST else 1.0
        if run > self.high:
            self.high *= math.exp(step * HIGH_QUANTILE)
            self.high = min(self.high, max(run, MIN_RUN_S))
        else:
            self.high *= math.exp(-step * (1.0 - HIGH_QUANTILE))


class Estimates:
    """Estimates by workspace and class within one pool."""

    __slots__ = ("_streams",)

    def __init__(self) -> None:
        self._streams: dict[tuple[str, str], Estimate] = {}

    def predict(
        self, workspace: str, job_class: str, declared: float | None
    ) -> float:
        """Return the expected run time, in seconds.

        :param workspace: Name of the workspace.
        :param job_class: Name of the class.
        :param declared: Run time that the caller declared, in seconds, or
            ``None``.
        """
        stream = self._streams.get((workspace, job_class))
        if stream is not None and stream.count >= OBSERVATIONS_TO_TRUST:
            return stream.mean
        if declared is not None:
            return max(declared, MIN_RUN_S)
        return stream.mean if stream is not None else DEFAULT_RUN_S

    def is_trusted(self, workspace: str, job_class: str) -> bool:
        """Return whether enough runs were observed to predict from them.

        :param workspace: Name of the workspace.
        :param job_class: Name of the class.
        """
        stream = self._streams.get((workspace, job_class))
        return stream is not None and stream.count >= OBSERVATIONS_TO_TRUST

    def predict_high(self, workspace: str, job_class: str) -> float | None:
        """Return a run time that few runs exceed, in seconds.

        :param workspace: Name of the workspace.
        :param job_class: Name of the class.
        :return: The run time; ``None`` until enough runs were observed.
        """
        stream = self._streams.get((workspace, job_class))
        if stream is None or stream.count < OBSERVATIONS_TO_TRUST:
            return None
        return stream.high

    def observe(self, workspace: str, job_class: str, run: float) -> None:
        """Add one observed run time.

        :param workspace: Name of the workspace.
        :param job_class: Name of the class.
        :param run: Run time, in seconds.
        """
        stream = self._streams.get((workspace, job_class))
        if stream is None:
            stream = Estimate(max(run, MIN_RUN_S))
            self._streams[workspace, job_class] = stream
        stream.observe(run)
