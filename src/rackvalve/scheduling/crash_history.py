"""An owner's memory of crashes beyond the counts of single tasks."""

from __future__ import annotations

from rackvalve.scheduling import crash_series
from rackvalve.scheduling import crashing_jobs


class CrashHistory:
    """Recent crashes by pool, and the jobs that failed for crashes."""

    __slots__ = ("series", "crashing_jobs")

    def __init__(self) -> None:
        self.series = crash_series.CrashSeries()
        self.crashing_jobs = crashing_jobs.CrashingJobs()
