"""What an owner remembers of crashes beyond the tasks that ran there."""

from __future__ import annotations

from rackvalve.scheduling import crash_series
from rackvalve.scheduling import crashing_jobs


class CrashHistory:
    """Crashes that were noticed lately, and jobs given up for some of them."""

    __slots__ = ("series", "crashing_jobs")

    def __init__(self) -> None:
        self.series = crash_series.CrashSeries()
        self.crashing_jobs = crashing_jobs.CrashingJobs()
