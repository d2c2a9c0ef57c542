"""Decisions about jobs: a start on a target, a wait, or an end."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from rackvalve import outcomes

if TYPE_CHECKING:
    from rackvalve.requests import job as jobs
    from rackvalve.targets import board as boards


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Started:
    """A job has a slot on a target.

    :param job: The job.
    :param attempt: Number of this attempt within the pool.
    :param vm: Identity of the target.
    :param host: IP number of the target.
    :param port: Port of the target.
    :param waited: Time from its arrival to this start, in seconds.
    :param expected_run: Run time to expect, in seconds.
    :param choice: How the target was chosen.
    """

    job: jobs.Job
    attempt: int
    vm: str
    host: str
    port: int
    waited: float
    expected_run: float
    choice: boards.Choice


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Waiting:
    """A job waits.

    :param job: The job.
    :param expected_wait: Time until its start, in seconds, as expected.
    """

    job: jobs.Job
    expected_wait: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Ended:
    """A job that waited is refused.

    :param job: The job.
    :param refused: The refusal.
    """

    job: jobs.Job
    refused: outcomes.Refused


Admission = Started | Waiting | outcomes.Refused
Decision = Started | Ended
