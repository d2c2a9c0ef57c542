"""Where the time of late jobs went, from log lines alone.

A job is late if it took longer than its queue's objective: so many times the
longest chain of its own runs, and an allowance.  The time beyond that chain is
put down to what its last task of each step waited for.
"""

from __future__ import annotations

import collections
import dataclasses
import statistics

from rackvalve.explain import events as log_events

# Jobs are counted together by the time at which they were accepted, in
# seconds: callers feel the worst seconds.
WINDOW_S = 2.0
# A run that took more than this many times as long as the median of its step
# was held up by its worker.
SLOW_FROM = 2.0
# Waits shorter than this are the usual way of a start through its record, in
# seconds.
NOTABLE_S = 0.1

ROOM = "room in the pool"
OWNER = "change of owner"
SLOW = "slow or silent worker"
FAILED = "failed run"
LOST = "lost worker"
# What the owner says of a job that stands, where that has a name of ours.
_REASONS = {"no worker has room": ROOM}
_STOPS = {
    "its worker is slow": SLOW,
    "it makes no progress": SLOW,
    "its VM is to leave": "VM that leaves",
    "its worker leaves": "VM that leaves",
}

Event = log_events.Event


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """One run as the lines tell of it.

    :param ordered: When it was ordered.
    :param ended: When its end was told; ``None`` if it never was.
    :param cause: How it ended.
    :param stopped: Why it was stopped, empty if it was not.
    """

    ordered: float
    ended: float | None = None
    cause: str = ""
    stopped: str = ""

    @property
    def taken(self) -> float:
        """How long it took, in seconds; 0 if no line tells of its end."""
        return 0.0 if self.ended is None else self.ended - self.ordered


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Verdict:
    """What the lines say of one job.

    :param job: Its identifier.
    :param queue: Its queue.
    :param pool: The pool of its workers.
    :param accepted: When it was accepted, seconds since 1970.
    :param tasks: How many tasks it has.
    :param late: Whether it missed its objective.
    :param waits: For how long it waited for what, in seconds.
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
        """What it waited for longest."""
        return max(self.waits, key=lambda cause: self.waits[cause], default="")


@dataclasses.dataclass(slots=True, kw_only=True)
class _Record:
    """What was read of one job so far."""

    accepted: float = 0.0
    tasks: int = 0
    lasting: bool = False
    ended: Event | None = None
    # When the owner said that it stood still, and why.
    standing: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    # Runs by step and task, in order.
    steps: dict[int, dict[str, list[Run]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(
            lambda: collections.defaultdict(list)
        )
    )


def judge(lines: log_events.Lines) -> list[Verdict]:
    """Judge all jobs that ended, the first accepted one first.

    :param lines: Log lines of all managers.
    """
    records = _read_records(lines)
    changes = [
        event.time for event in lines.events if event.name == "ownership.taken"
    ]
    verdicts = [
        _judge_job(job, record, changes)
        for job, record in records.items()
        if record.accepted and record.ended is not None and not record.lasting
    ]
    return sorted(verdicts, key=lambda verdict: verdict.accepted)


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
            records[job].standing.append((event.time, reason))
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
    """Return job and task of an event as one name, if it names any."""
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


def _judge_job(job: str, record: _Record, changes: list[float]) -> Verdict:
    ended = record.ended
    assert ended is not None
    waits: dict[str, float] = collections.defaultdict(float)
    chain = 0.0
    ready = record.accepted
    for number in sorted(record.steps):
        tasks = record.steps[number]
        usual = _usual_time(tasks)
        critical = max(tasks.values(), key=_last_end)
        cause = _find_wait(ready, critical[0].ordered, record, changes)
        if critical[0].ordered - ready >= NOTABLE_S:
            waits[cause] += critical[0].ordered - ready
        _explain_runs(critical, usual, waits)
        chain += min(critical[-1].taken, SLOW_FROM * usual) or usual
        ready = max(ready, _last_end(critical))
    stretch = float(ended.get("stretch") or 0.0)
    objective = stretch * chain + float(ended.get("allowance") or 0.0)
    completed = ended.get("phase") == "completed"
    return Verdict(
        job=job,
        queue=str(ended.get("queue")),
        pool=str(ended.get("pool")),
        accepted=record.accepted,
        tasks=record.tasks,
        late=completed and ended.time - record.accepted > objective > 0,
        waits={cause: wait for cause, wait in waits.items() if wait > 0},
    )


def _usual_time(tasks: dict[str, list[Run]]) -> float:
    times = [
        run.taken
        for runs in tasks.values()
        for run in runs
        if run.cause == "done"
    ]
    return statistics.median(times) if times else 0.0


def _last_end(runs: list[Run]) -> float:
    return max((run.ended or run.ordered for run in runs), default=0.0)


def _find_wait(
    ready: float, ordered: float, record: _Record, changes: list[float]
) -> str:
    """Find out what a task waited for from its turn to its first order."""
    told = [
        reason for time, reason in record.standing if ready <= time <= ordered
    ]
    if told:
        return _REASONS.get(told[-1], told[-1])
    changed = any(ready <= time <= ordered for time in changes)
    return OWNER if changed else ROOM


def _explain_runs(
    runs: list[Run], usual: float, waits: dict[str, float]
) -> None:
    """Put down the time of runs that came to nothing, and of slow ones."""
    for run, following in zip(runs, runs[1:], strict=False):
        cause = _STOPS.get(run.stopped, LOST)
        if not run.stopped and run.cause == "failed":
            cause = FAILED
        waits[cause] += following.ordered - run.ordered
    if runs and usual and runs[-1].taken > SLOW_FROM * usual:
        waits[SLOW] += runs[-1].taken - usual


@dataclasses.dataclass(slots=True, kw_only=True)
class Cell:
    """Jobs of one pool that were accepted within one window.

    :param jobs: How many.
    :param late: How many were late.
    :param causes: What the late ones waited for longest, with their number.
    """

    jobs: int = 0
    late: int = 0
    causes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def tabulate(
    verdicts: list[Verdict], began: float
) -> dict[tuple[int, str], Cell]:
    """Count jobs by window and pool.

    :param verdicts: All jobs.
    :param began: Where the first window begins, seconds since 1970.
    :return: Cells by number of the window and pool.
    """
    cells: dict[tuple[int, str], Cell] = {}
    for verdict in verdicts:
        window = int((verdict.accepted - began) // WINDOW_S)
        cell = cells.setdefault((window, verdict.pool), Cell())
        cell.jobs += 1
        if verdict.late:
            cell.late += 1
            cell.causes[verdict.main_cause or "its own runs"] += 1
    return cells


def sum_waits(verdicts: list[Verdict]) -> dict[str, float]:
    """Sum up what late jobs waited for, in seconds, the longest first.

    :param verdicts: All jobs.
    """
    total: dict[str, float] = collections.defaultdict(float)
    for verdict in verdicts:
        if verdict.late:
            for cause, wait in verdict.waits.items():
                total[cause] += wait
    return dict(sorted(total.items(), key=lambda item: -item[1]))


@dataclasses.dataclass(slots=True, kw_only=True)
class Standing:
    """Jobs of one pool that stood still for the same reason.

    :param seconds: In how many seconds a line told of any.
    :param most: The most at once.
    :param longest: The longest that any stood, in seconds, where it was the
        oldest of its pool.
    """

    seconds: int = 0
    most: int = 0
    longest: float = 0.0


def sum_standing(lines: log_events.Lines) -> dict[tuple[str, str], Standing]:
    """Sum up which jobs stood still, by pool and reason.

    :param lines: Log lines of all managers.
    """
    found: dict[tuple[str, str], Standing] = {}
    for event in lines.events:
        if event.name != "pool.standing":
            continue
        pool = str(event.get("pool"))
        for text in event.get("reasons") or ():
            reason, _, count = str(text).rpartition(": ")
            cell = found.setdefault((pool, reason), Standing())
            cell.seconds += 1
            cell.most = max(cell.most, int(count))
        oldest = found.get((pool, str(event.get("reason"))))
        if oldest is not None:
            oldest.longest = max(oldest.longest, float(event.get("seconds")))
    return found
