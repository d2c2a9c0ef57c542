"""Orders that the scheduler sends to workers, and the workers' reports."""

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
    """Stop a run on a worker, which rejects its start if that comes later.

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
    """Limit the speed of a run.

    :param worker: Identity of the worker.
    :param task: Full name of the task.
    :param run: Number of the run.
    :param percent: Allowed share of its full speed, 0 to 100.
    """

    worker: str
    task: str
    run: int
    percent: int


class StartResult(enum.Enum):
    """Result of an order to start a run."""

    STARTED = "started"
    # The worker's own count of its free resources differs from the owner's.
    NO_ROOM = "no room"
    # The run was stopped or has ended there; a report lists, or listed, its
    # end.
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
    # It was stopped, its lease lapsed, or a task of its gang was missing.
    CUT_SHORT = "cut short"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RunningRow:
    """A run that a report lists as present on the worker.

    :param task: Full name of the task.
    :param run: Number of the run.
    :param checkpoint: Newest checkpoint, empty for none.
    :param percent: Share of the work that is done; 100 for a lasting task
        that is ready.
    :param load: Tail latency of a serving task in milliseconds, else cpu in
        use in thousandths of a core.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EndedRow:
    """A run that a report lists as ended.

    :param number: Rises by one with each end in the worker's incarnation.
    :param task: Full name of the task.
    :param run: Number of the run.
    :param ending: How it ended.
    :param cause: Cause as the worker names it, for logs.
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
    """A worker's answer to a hold.

    :param sent: When the hold was sent, in seconds.
    :param running: Runs that the worker has.
    :param ended: Runs that ended and are not acknowledged.
    :param clock: Reading of the worker's steady clock, in seconds: least age
        of this incarnation; infinite if it is not known.
    """

    sent: float
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    clock: float = math.inf


Order = StartRun | StopRun | SetPace
