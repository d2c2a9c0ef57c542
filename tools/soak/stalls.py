"""Checks that no accepted job is stalled in a calm time."""

from __future__ import annotations

import collections
import dataclasses

from tools.soak import checks
from tools.soak import spans as fault_spans

# A job may be without an active run for less than this time, in seconds.
MAX_IDLE_S = 3.0
# A lasting task may take this much longer to be restarted, in seconds.
LASTING_RESTART_S = 6.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Gap:
    """A time in which a job, or one lasting task, had no active run.

    :param name: The job or the task.
    :param pool: Pool of its queue.
    :param began: Its beginning, on the monotonic clock.
    :param ended: Its end.
    """

    name: str
    pool: str
    began: float
    ended: float

    @property
    def length(self):
        """How long it lasted, in seconds."""
        return self.ended - self.began


def find_gaps(jobs, rows, until):
    """Return all gaps of accepted jobs.

    :param jobs: All jobs.
    :param rows: Rows of the workers' journal, oldest first.
    :param until: When the run was over.
    """
    runs = collections.defaultdict(list)
    for row in rows:
        if row[1] in ("start", "end"):
            runs[row[3].split(".")[0]].append(row)
    found = []
    for job in jobs:
        # Crashing jobs are to be given up, which other checks cover.
        if not job.accepted or job.crashing:
            continue
        last = min(until, job.cancelled_at)
        if job.lasting:
            for task in job.list_tasks():
                of_task = [row for row in runs[job.identity] if row[3] == task]
                found += _find_gaps(
                    job, task, of_task, last, LASTING_RESTART_S
                )
        else:
            rows_of_job = runs[job.identity]
            found += _find_gaps(job, job.identity, rows_of_job, last, 0.0)
    return found


def _find_gaps(job, name, rows, last, allowed):
    since, running, done = job.accepted_at, 0, set()
    for time, kind, _, task, _, detail in rows:
        if kind == "start":
            if not running:
                yield _make_gap(job, name, since, min(time, last))
            running += 1
            continue
        running -= 1
        since = time + allowed
        if detail == "done":
            done.add(task)
    if not running and len(done) < len(job.list_tasks()):
        yield _make_gap(job, name, since, last)


def _make_gap(job, name, began, ended):
    return Gap(name=name, pool=job.pool, began=began, ended=ended)


def check_stalls(gaps, rows, spans, slots, *, is_overloaded=False):
    """Return gaps in calm times though the pool could have started a run.

    :param gaps: From :func:`find_gaps`.
    :param rows: Rows of the workers' journal, oldest first.
    :param spans: Faults with their times.
    :param slots: Number of tasks that fit on a worker.
    :param is_overloaded: Whether pools are asked for more than they hold; then
        a gap counts only where less than half of a pool's capacity is in use.
    """
    for gap in gaps:
        calm = fault_spans.find_calm(spans, gap.began, gap.ended, MAX_IDLE_S)
        if calm is None:
            continue
        usage = _measure_usage(rows, gap.pool, calm, calm + MAX_IDLE_S)
        if is_overloaded and not usage.is_below_half(slots):
            continue
        reason = usage.find_reason(slots)
        if reason:
            yield checks.Violation(
                promise="no job stands still",
                detail=f"{gap.name}: {gap.length:.2f} s from "
                f"{gap.began:.3f}, calm from {calm:.3f}, {reason}",
            )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Usage:
    """What the workers of a pool did in a time.

    :param runs: Runs of each worker at its beginning.
    :param starts: Runs that were started in it.
    """

    runs: list[int]
    starts: int

    def find_reason(self, slots):
        """Return evidence that there was room for a run, or an empty text."""
        if not self.starts and all(runs > slots / 2 for runs in self.runs):
            return ""
        return f"{self.starts} other starts, runs of workers {self.runs}"

    def is_below_half(self, slots):
        """Return whether less than half of the capacity was in use."""
        return sum(self.runs) * 2 < slots * len(self.runs)


def _measure_usage(rows, pool, began, ended):
    """Return what the workers of a pool did in a time."""
    incarnations, used, starts = {}, collections.Counter(), 0
    for time, kind, worker, _, _, detail in rows:
        if time > ended:
            break
        if kind == "life":
            # A worker that starts within the time may be too late.
            incarnations[worker] = detail if time < began else ""
        elif kind == "over":
            incarnations.pop(worker, None)
        elif kind == "start" and time >= began:
            starts += incarnations.get(worker) == pool
        elif kind in ("start", "end") and time < began:
            used[worker] += 1 if kind == "start" else -1
    runs = [
        used[worker]
        for worker, incarnation in incarnations.items()
        if incarnation == pool
    ]
    return Usage(runs=runs, starts=starts)


def measure(gaps, spans):
    """Return the longest gap, and the longest one that has a calm time."""
    calm = [
        gap
        for gap in gaps
        if fault_spans.find_calm(spans, gap.began, gap.ended, MAX_IDLE_S)
        is not None
    ]
    return _find_longest(gaps), _find_longest(calm)


def _find_longest(gaps):
    longest = max(gaps, key=lambda gap: gap.length, default=None)
    if longest is None:
        return ()
    return round(longest.length, 2), longest.name, round(longest.began, 2)
