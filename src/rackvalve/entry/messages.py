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
    """A request needs a slot.

    :param job: The request.
    :param mailbox: Receives the decisions about it.
    """

    job: jobs.Job
    mailbox: tasks.Mailbox[Reply]


@dataclasses.dataclass(slots=True, frozen=True)
class JobCancelled:
    """The caller of a queued request disconnected.

    :param job: The request.
    """

    job: jobs.Job


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt releases its slot.

    :param started: The attempt.
    :param result: Result of the attempt on its target.
    """

    started: decisions.Started
    result: group.Result


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptSilent:
    """A target did not answer in time; the attempt keeps its slot.

    :param started: The attempt.
    """

    started: decisions.Started


@dataclasses.dataclass(slots=True, frozen=True)
class RetryWanted:
    """A request needs another target.

    :param job: The request.
    :param tried: Targets that it has tried.
    :param sent: Whether any byte of it was sent to one of them.
    :param mailbox: Receives the decision: a start or a refusal.
    """

    job: jobs.Job
    tried: tuple[str, ...]
    sent: bool
    mailbox: tasks.Mailbox[Reply]


@dataclasses.dataclass(slots=True, frozen=True)
class ViewOffered:
    """Newer documents were received.

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
    """Timer tick: deadlines and ejections may have expired."""


@dataclasses.dataclass(slots=True, frozen=True)
class StopOrdered:
    """A graceful shutdown begins."""
