"""Checks of the promises against the records of callers and workers."""

from __future__ import annotations

import collections
import dataclasses
import math

from tools.soak import callers
from tools.soak import defects

# A killed manager's connections may end this much earlier or later than its
# recorded end, in seconds.
CUT_SLACK_S = 0.25
# A call that begins less than this time before a manager's last one, in
# seconds, or later, may arrive too late to be read: connections are closed
# before the interpreter ends.
LATE_CALL_S = 0.3
# Time after SIGTERM from which a manager may refuse new connections, in
# seconds; it serves open ones until its process ends.
REFUSING_AFTER_S = 2.0
# After this many crashes a task must not be started this many times more.
MAX_CRASHES = 3
# A job that was accepted this long before must be counted, in seconds.
COUNTED_AFTER_S = 5.0
# Limit of the characters of an error line that are printed.
MAX_ERROR_CHARS = 600


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Downtime:
    """A time at which a manager was down.

    :param manager: Its number.
    :param asked: When it was signalled to end, on the monotonic clock.
    :param began: When its process ended.
    :param ended: When it accepted connections again.
    :param planned: Whether it ended after SIGTERM.
    :param stopped: When it accepted its last call, by its own log; a starved
        process, or one on a busy machine, ends long after that.
    """

    manager: int
    asked: float
    began: float
    ended: float
    planned: bool
    stopped: float = math.inf

    def explains(self, call):
        """Return whether this downtime explains that a call was cut off."""
        if call.manager != self.manager:
            return False
        if call.began > self.ended + CUT_SLACK_S:
            return False
        if self.planned and call.refused:
            return call.began >= self.asked + REFUSING_AFTER_S
        if self.planned:
            last = min(self.stopped, self.began)
            return call.began >= last - LATE_CALL_S
        return call.ended >= self.began - CUT_SLACK_S


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Violation:
    """A violation of a promise.

    :param promise: The name of the promise.
    :param detail: What was observed.
    """

    promise: str
    detail: str


def check_all(jobs, calls, downtimes, journal, orders):
    """Return all violations.

    :param jobs: All jobs, with the states that callers were answered.
    :param calls: All calls.
    :param downtimes: Times at which a manager was down.
    :param journal: Rows of the workers' journal, oldest first.
    :param orders: Orders to VMs.
    """
    return [
        *check_runs(jobs, journal),
        *check_jobs(jobs, journal),
        *check_crashes(jobs, journal),
        *check_calls(calls, downtimes),
        *check_orders(orders),
    ]


def check_runs(jobs, journal):
    """Check that a task runs once at a time, in order, and not once done."""
    running = collections.defaultdict(set)
    done, known = set(), set()
    by_identity = {job.identity: job for job in jobs}
    for _, kind, worker, task, run, detail in journal:
        if kind == "start":
            if running[task]:
                yield Violation(
                    promise="one run at a time",
                    detail=f"{task}: {run} on {worker} beside {running[task]}",
                )
            if task in known:
                yield Violation(
                    promise="not again once done",
                    detail=f"{task}: run {run} on {worker}",
                )
            yield from _check_turn(by_identity, task, done)
            running[task].add((worker, run))
        elif kind == "end":
            running[task].discard((worker, run))
            if detail == "done":
                done.add(task)
        elif kind == "known" and detail == "done":
            known.add(task)


def _check_turn(by_identity, task, done):
    identity, _, step, _ = task.split(".")
    job = by_identity.get(identity)
    if job is None:
        yield Violation(promise="only what was handed in", detail=task)
        return
    for earlier in job.steps[int(step)].get("after-rev", []):
        for index in range(job.steps[earlier]["count"]):
            if f"{identity}.0.{earlier}.{index}" not in done:
                yield Violation(
                    promise="steps in order",
                    detail=f"{task} before {earlier}.{index}",
                )


def check_jobs(jobs, journal):
    """Check that accepted jobs end and that refused ones never run."""
    started = collections.Counter(
        row[3].split(".")[0] for row in journal if row[1] == "start"
    )
    good = {row[3] for row in journal if row[1] == "end" and row[5] == "done"}
    for job in jobs:
        last = job.states[-1] if job.states else None
        if job.accepted:
            wanted = {"failed" if job.crashing else "completed"}
            if job.cancel_sent:
                wanted.add("cancelled")
            if last not in wanted:
                yield Violation(
                    promise="what is accepted ends",
                    detail=f"{job.identity}: {job.states[-5:]}",
                )
        elif job.refused and started[job.identity]:
            yield Violation(promise="refused did not run", detail=job.identity)
        yield from _check_states(job)
        if "completed" in job.states:
            yield from _check_tasks(job, good)


def check_crashes(jobs, journal):
    """Check that a task that crashes its workers is given up."""
    crashing = {job.identity for job in jobs if job.crashing}
    crashes, starts = collections.Counter(), collections.Counter()
    for _, kind, worker, task, run, detail in journal:
        if task.partition(".")[0] not in crashing:
            continue
        if kind == "end" and detail == "crash":
            crashes[task] += 1
        elif kind == "start" and crashes[task] >= MAX_CRASHES:
            starts[task] += 1
            if starts[task] >= MAX_CRASHES:
                yield Violation(
                    promise="what crashes workers is given up",
                    detail=f"{task}: run {run} on {worker}",
                )


def _check_states(job):
    for earlier, later in zip(job.states, job.states[1:], strict=False):
        back = earlier in callers.FINAL and later != earlier
        if back or (earlier == "running" and later == "queued"):
            yield Violation(
                promise="states never go back",
                detail=f"{job.identity}: {earlier} then {later}",
            )


def _check_tasks(job, good):
    for task in job.list_tasks():
        if task not in good:
            yield Violation(
                promise="completed means every task is done", detail=task
            )


def check_counts(jobs, count_answers, journal):
    """Check that counts include at least half of the jobs that have not begun.

    A count may be 2 s old, and includes a job 3 s after it was accepted.
    """
    began = {}
    for at, kind, _, task, _, _ in journal:
        if kind == "start":
            began.setdefault(task.partition(".")[0], at)
    accepted = collections.defaultdict(list)
    for job in jobs:
        if job.accepted:
            accepted[job.queue].append(job)
    for one in count_answers:
        waiting = sum(
            job.accepted_at < one.began - COUNTED_AFTER_S
            and began.get(job.identity, math.inf) > one.ended
            and job.cancelled_at > one.ended
            for job in accepted[one.queue]
        )
        if one.waiting * 2 < waiting:
            yield Violation(
                promise="what has not begun is told as waiting",
                detail=f"manager {one.manager} told {one.waiting} of {waiting}"
                f" of {one.queue} at {one.began:.3f}",
            )


def check_output(output):
    """Check that the output has no caller's key and no unexpected error."""
    if "soak-key-" in output:
        yield Violation(promise="no key is told", detail="soak-key-")
    for line in output.splitlines():
        if '"event":"task.failed"' in line and defects.MARK not in line:
            yield Violation(
                promise="no error is unexpected", detail=line[:MAX_ERROR_CHARS]
            )


def check_calls(calls, downtimes):
    """Check that calls are cut off only by a kill or the end of a manager.

    A call with an invented key must be answered 401, or 503 where the manager
    does not know the keys.
    """
    for call in calls:
        if call.invented and call.status not in (0, 401, 503):
            yield Violation(
                promise="no right by an invented key",
                detail=f"{call.status} by manager {call.manager}",
            )
        if call.status or call.timed_out:
            continue
        if not any(downtime.explains(call) for downtime in downtimes):
            yield Violation(
                promise="a planned stop cuts nothing off",
                detail=f"manager {call.manager}, {call}",
            )


def check_orders(orders):
    """Check that a VM is moved or maintained only when nothing runs on it."""
    for _, path, machine, holder, fence, running, _ in orders:
        if running:
            yield Violation(
                promise="VMs leave empty",
                detail=f"{machine} {path} by {holder} {fence}, {running} run",
            )


def check_waves(orders, *, most, away):
    """Check that no more VMs of a wave are maintained at once than it bears.

    :param orders: Orders to VMs.
    :param most: How many VMs of a wave may be away.
    :param away: How long a VM is maintained, in seconds.
    """
    began = collections.defaultdict(list)
    for time, path, machine, _, fence, _, wave in orders:
        if path != "/machine-upkeep":
            continue
        others = [at for at in began[wave] if time - at < away]
        if len(others) >= most:
            yield Violation(
                promise="a wave takes no more VMs at once than it bears",
                detail=f"{machine} of wave {wave} under {fence} at "
                f"{time:.3f}, after {others}",
            )
        began[wave].append(time)
