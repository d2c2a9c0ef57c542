"""Messages between the tasks of an entry."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rackvalve import outcomes
    from rackvalve.requests import admission
    from rackvalve.requests import decisions
    from rackvalve.requests import job as jobs
    from rackvalve.targets import group
    from rackvalve import tasks

    Reply = decisions.Started | decisions.Waiting | outcomes.Refused


@dataclasses.dataclass(slots=True, frozen=True)
class JobSubmitted:
    """A request wants a slot.

    :param job: The request.
    :param mailbox: Gets the decisions about it.
    """

    job: jobs.Job
    mailbox: tasks.Mailbox[Reply]


@dataclasses.dataclass(slots=True, frozen=True)
class JobCancelled:
    """The caller of a waiting request went away.

    :param job: The request.
    """

    job: jobs.Job


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt gives its slot back.

    :param started: The attempt.
    :param result: How the target dealt with it.
    """

    started: decisions.Started
    result: group.Result


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptSilent:
    """A target does not answer in time; the attempt keeps its slot.

    :param started: The attempt.
    """

    started: decisions.Started


@dataclasses.dataclass(slots=True, frozen=True)
class RetryWanted:
    """A request wants another target.

    :param job: The request.
    :param tried: Targets that it has tried.
    :param sent: Whether a byte of it reached one of them.
    :param mailbox: Gets the decision: a start, or a refusal.
    """

    job: jobs.Job
    tried: tuple[str, ...]
    sent: bool
    mailbox: tasks.Mailbox[Reply]


@dataclasses.dataclass(slots=True, frozen=True)
class ViewOffered:
    """Newer documents arrived.

    :param view: The documents.
    """

    view: admission.View


@dataclasses.dataclass(slots=True, frozen=True)
class ProbeEnded:
    """An ejected target was probed.

    :param pool: Its pool.
    :param vm: The target.
    :param healthy: Whether it answered.
    """

    pool: str
    vm: str
    healthy: bool


@dataclasses.dataclass(slots=True, frozen=True)
class TimePassed:
    """Deadlines and ejections may be over."""


@dataclasses.dataclass(slots=True, frozen=True)
class StopOrdered:
    """A planned stop begins."""
