"""What the scheduler wants done and what it is told, as values."""

from __future__ import annotations

import dataclasses
import enum
import math

from rackvalve.jobs import definition


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StartRun:
    """Start a run on a worker, once its job's record is in the store.

    :param worker: Identity of the worker.
    :param job: The job's identifier.
    :param task: The task's name within the job.
    :param run: Number of the run.
    """

    worker: str
    job: str
    task: definition.TaskName
    run: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StopRun:
    """Stop a run on a worker, or reject it there if it comes later.

    :param worker: Identity of the worker.
    :param task: Full name of the task.
    :param run: Number of the run.
    :param reason: Why, for logs.
    """

    worker: str
    task: str
    run: int
    reason: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SetPace:
    """Let a run work at a share of its speed.

    :param worker: Identity of the worker.
    :param task: Full name of the task.
    :param run: Number of the run.
    :param percent: The share, 0 to 100.
    """

    worker: str
    task: str
    run: int
    percent: int


class StartResult(enum.Enum):
    """What became of an order to start a run."""

    STARTED = "started"
    # The worker has no room; its own count differs from ours.
    NO_ROOM = "no room"
    # The run was stopped or has ended there; its end is, or was, listed.
    OUTDATED = "outdated"
    UNWELL = "unwell"
    TICKET = "ticket"
    # The worker does not understand the order.
    MALFORMED = "malformed"
    # No byte of the order was sent.
    NOT_SENT = "not sent"


class Ending(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    # It did not end by itself: stopped, lapsed, or without its gang.
    CUT_SHORT = "cut short"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RunningRow:
    """A run that the worker has.

    :param task: Full name of the task.
    :param run: Number of the run.
    :param checkpoint: Newest checkpoint, empty for none.
    :param percent: Part of the work that is done; 100 for a task that lasts
        and is at work.
    :param load: Tail of a serving task's answers in milliseconds, else cpu
        in use in thousandths of a core.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EndedRow:
    """A run that has ended on the worker.

    :param number: Rises by one with each end of the worker's life.
    :param task: Full name of the task.
    :param run: Number of the run.
    :param ending: How it ended.
    :param cause: The worker's own word for it, for logs.
    :param checkpoint: Newest checkpoint, empty for none.
    """

    number: int
    task: str
    run: int
    ending: Ending
    cause: str
    checkpoint: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Report:
    """What a worker answered to a hold.

    :param sent: When the hold was sent, in seconds.
    :param running: What runs.
    :param ended: What ended and was not acknowledged.
    :param clock: What the worker's steady clock showed, in seconds: how long
        this life has lasted at least; endless if that is not known.
    """

    sent: float
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    clock: float = math.inf


Order = StartRun | StopRun | SetPace
