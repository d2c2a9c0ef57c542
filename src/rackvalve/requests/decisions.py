"""Decisions of the scheduler about jobs: started, waiting or ended.

The entry's dispatcher carries them out.  A job here is one request.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from rackvalve import outcomes

if TYPE_CHECKING:
    from rackvalve.requests import job as jobs
    from rackvalve.targets import group as groups


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Started:
    """A job got a slot on a target.

    :param job: The job.
    :param attempt: Number of this attempt within the pool.
    :param vm: Identity of the target.
    :param host: IP number of the target.
    :param port: Port of the target.
    :param waited: Time from arrival to this start, in seconds.
    :param expected_run: Expected run time, in seconds.
    :param choice: How the target was chosen.
    """

    job: jobs.Job
    attempt: int
    vm: str
    host: str
    port: int
    waited: float
    expected_run: float
    choice: groups.Choice


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Waiting:
    """A job waits in the queue.

    :param job: The job.
    :param expected_wait: Expected time until its start, in seconds.
    """

    job: jobs.Job
    expected_wait: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Ended:
    """A waiting job is refused.

    :param job: The job.
    :param refused: The refusal.
    """

    job: jobs.Job
    refused: outcomes.Refused


Admission = Started | Waiting | outcomes.Refused
Decision = Started | Ended
