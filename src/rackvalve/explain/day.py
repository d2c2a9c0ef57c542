"""Attributes the delay of late jobs to causes, from log lines.

A job is late if it took longer than its queue's objective: a multiple of the
longest chain of its own runs, plus an allowance.  The time beyond that chain
is attributed to what the last task of each step waited for.
"""

from __future__ import annotations

import collections
import dataclasses
import statistics

from rackvalve.explain import events as log_events

# Length of the windows of acceptance times by which jobs are counted, in
# seconds: callers notice the worst seconds.
WINDOW_S = 2.0
# A run that took longer than this multiple of its step's median was slowed
# down by its worker.
SLOW_RATIO = 2.0
# Shorter waits are the usual time to record and order a start, in seconds.
MIN_WAIT_S = 0.1

ROOM = "room in the pool"
OWNER = "change of owner"
SLOW = "slow or silent worker"
FAILED = "failed run"
LOST = "lost worker"
# Causes for the owner's reasons of a stalled job; other reasons are kept.
_STALL_CAUSES = {"no worker has room": ROOM}
_STOP_CAUSES = {
    "its worker is slow": SLOW,
    "it makes no progress": SLOW,
    "its VM is to leave": "VM that leaves",
    "its worker leaves": "VM that leaves",
}

Event = log_events.Event


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """One run according to the log lines.

    :param ordered: When it was ordered.
    :param ended: When its end was reported; ``None`` if it never was.
    :param cause: How it ended.
    :param stopped: Why it was stopped, empty if it was not.
    """

    ordered: float
    ended: float | None = None
    cause: str = ""
    stopped: str = ""

    @property
    def duration(self) -> float:
        """Its duration in seconds; 0 if no line reports its end."""
        return 0.0 if self.ended is None else self.ended - self.ordered


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Assessment:
    """The assessment of one job.

    :param job: Its identifier.
    :param queue: Its queue.
    :param pool: The pool of its workers.
    :param accepted: When it was accepted, seconds since 1970.
    :param tasks: Number of its tasks.
    :param late: Whether it missed its objective.
    :param waits: How long it waited by cause, in seconds.
    """

    job: str
    queue: str
    pool: str
    accepted: float
    tasks: int
    late: bool
    waits: dict[str, float]

    @property
    def main_cause(self) -> str:
        """The cause with the longest wait."""
        return max(self.waits, key=lambda cause: self.waits[cause], default="")


@dataclasses.dataclass(slots=True, kw_only=True)
class _Record:
    """Events of one job."""

    accepted: float = 0.0
    tasks: int = 0
    lasting: bool = False
    ended: Event | None = None
    # When the owner reported it as stalled, and the reasons.
    stalls: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    # Runs by step and task, in order.
    steps: dict[int, dict[str, list[Run]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(
            lambda: collections.defaultdict(list)
        )
    )


def assess(lines: log_events.Lines) -> list[Assessment]:
    """Assess all jobs that ended, by time of acceptance.

    :param lines: Log lines of all managers.
    """
    records = _read_records(lines)
    changes = [
        event.time for event in lines.events if event.name == "ownership.taken"
    ]
    assessments = [
        _assess_job(job, record, changes)
        for job, record in records.items()
        if record.accepted and record.ended is not None and not record.lasting
    ]
    return sorted(assessments, key=lambda assessment: assessment.accepted)


def _read_records(lines: log_events.Lines) -> dict[str, _Record]:
    records: dict[str, _Record] = collections.defaultdict(_Record)
    runs: dict[tuple[str, int], Run] = {}
    for event in lines.events:
        job, _, task = _full_task(event).partition(".")
        if event.name == "job.accepted":
            records[job].accepted = event.time
        elif event.name == "job.taken":
            records[job].tasks = event.get("tasks") or 0
            records[job].lasting = bool(event.get("lasting"))
        elif event.name == "job.standing":
            reason = str(event.get("reason"))
            records[job].stalls.append((event.time, reason))
        elif event.name == "job.ended":
            records[job].ended = event
        elif event.name == "run.ordered":
            run = Run(ordered=event.time)
            runs[f"{job}.{task}", event.get("run")] = run
            records[job].steps[_step_of(task)][task].append(run)
        elif event.name in ("run.ended", "run.stopping"):
            known = runs.get((f"{job}.{task}", event.get("run")))
            if known is not None:
                _note_end(known, event)
    return records


def _full_task(event: Event) -> str:
    """Return the job and task of an event as one name, empty without them."""
    task, job = str(event.get("task")), str(event.get("job"))
    return f"{job}.{task}" if job else task


def _step_of(task: str) -> int:
    parts = task.split(".")
    return int(parts[1]) if len(parts) == 3 and parts[1].isdigit() else 0


def _note_end(run: Run, event: Event) -> None:
    if event.name == "run.stopping":
        run.stopped = str(event.get("reason"))
    elif run.ended is None:
        run.ended = event.time
        run.cause = str(event.get("cause"))


def _assess_job(job: str, record: _Record, changes: list[float]) -> Assessment:
    ended = record.ended
    assert ended is not None
    waits: dict[str, float] = collections.defaultdict(float)
    chain = 0.0
    ready = record.accepted
    for number in sorted(record.steps):
        tasks = record.steps[number]
        median = _find_median_duration(tasks)
        critical = max(tasks.values(), key=_last_end)
        cause = _find_wait_cause(ready, critical[0].ordered, record, changes)
        if critical[0].ordered - ready >= MIN_WAIT_S:
            waits[cause] += critical[0].ordered - ready
        _attribute_runs(critical, median, waits)
        chain += min(critical[-1].duration, SLOW_RATIO * median) or median
        ready = max(ready, _last_end(critical))
    stretch = float(ended.get("stretch") or 0.0)
    objective = stretch * chain + float(ended.get("allowance") or 0.0)
    completed = ended.get("phase") == "completed"
    return Assessment(
        job=job,
        queue=str(ended.get("queue")),
        pool=str(ended.get("pool")),
        accepted=record.accepted,
        tasks=record.tasks,
        late=completed and ended.time - record.accepted > objective > 0,
        waits={cause: wait for cause, wait in waits.items() if wait > 0},
    )


def _find_median_duration(tasks: dict[str, list[Run]]) -> float:
    times = [
        run.duration
        for runs in tasks.values()
        for run in runs
        if run.cause == "done"
    ]
    return statistics.median(times) if times else 0.0


def _last_end(runs: list[Run]) -> float:
    return max((run.ended or run.ordered for run in runs), default=0.0)


def _find_wait_cause(
    ready: float, ordered: float, record: _Record, changes: list[float]
) -> str:
    """Return what a task waited for from its turn to its first order."""
    reasons = [
        reason for time, reason in record.stalls if ready <= time <= ordered
    ]
    if reasons:
        return _STALL_CAUSES.get(reasons[-1], reasons[-1])
    changed = any(ready <= time <= ordered for time in changes)
    return OWNER if changed else ROOM


def _attribute_runs(
    runs: list[Run], median: float, waits: dict[str, float]
) -> None:
    """Attribute the time of unsuccessful runs and of slow ones."""
    for run, following in zip(runs, runs[1:], strict=False):
        cause = _STOP_CAUSES.get(run.stopped, LOST)
        if not run.stopped and run.cause == "failed":
            cause = FAILED
        waits[cause] += following.ordered - run.ordered
    if runs and median and runs[-1].duration > SLOW_RATIO * median:
        waits[SLOW] += runs[-1].duration - median


@dataclasses.dataclass(slots=True, kw_only=True)
class Cell:
    """Jobs of one pool that were accepted within one window.

    :param jobs: Number of jobs.
    :param late: Number of late jobs.
    :param causes: Number of late jobs by main cause.
    """

    jobs: int = 0
    late: int = 0
    causes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def tabulate(
    assessments: list[Assessment], began: float
) -> dict[tuple[int, str], Cell]:
    """Count jobs by window and pool.

    :param assessments: All jobs.
    :param began: Beginning of the first window, seconds since 1970.
    :return: Cells by window number and pool.
    """
    cells: dict[tuple[int, str], Cell] = {}
    for assessment in assessments:
        window = int((assessment.accepted - began) // WINDOW_S)
        cell = cells.setdefault((window, assessment.pool), Cell())
        cell.jobs += 1
        if assessment.late:
            cell.late += 1
            cell.causes[assessment.main_cause or "its own runs"] += 1
    return cells


def sum_waits(assessments: list[Assessment]) -> dict[str, float]:
    """Return the total wait of late jobs by cause, the longest first.

    :param assessments: All jobs.
    """
    total: dict[str, float] = collections.defaultdict(float)
    for assessment in assessments:
        if assessment.late:
            for cause, wait in assessment.waits.items():
                total[cause] += wait
    return dict(sorted(total.items(), key=lambda item: -item[1]))


@dataclasses.dataclass(slots=True, kw_only=True)
class Stalls:
    """Jobs of one pool that were stalled for the same reason.

    :param seconds: Number of seconds in which a line reported any.
    :param most: Largest number at once.
    :param longest: Longest stall of a job that was the oldest stalled one of
        its pool, in seconds.
    """

    seconds: int = 0
    most: int = 0
    longest: float = 0.0


def sum_stalls(lines: log_events.Lines) -> dict[tuple[str, str], Stalls]:
    """Summarize stalled jobs by pool and reason.

    :param lines: Log lines of all managers.
    """
    found: dict[tuple[str, str], Stalls] = {}
    for event in lines.events:
        if event.name != "pool.standing":
            continue
        pool = str(event.get("pool"))
        for text in event.get("reasons") or ():
            reason, _, count = str(text).rpartition(": ")
            cell = found.setdefault((pool, reason), Stalls())
            cell.seconds += 1
            cell.most = max(cell.most, int(count))
        oldest = found.get((pool, str(event.get("reason"))))
        if oldest is not None:
            oldest.longest = max(oldest.longest, float(event.get("seconds")))
    return found
