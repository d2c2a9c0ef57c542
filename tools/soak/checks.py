"""The promises, checked on what callers and workers have seen."""

from __future__ import annotations

import collections
import dataclasses
import math

from tools.soak import callers

# A killed manager's connections may be seen to end this much earlier or later
# than its death was noted, in seconds.
CUT_SLACK_S = 0.25
# A call that begins less than this before a manager's last one, in seconds, or
# later, may come too late to be read: connections are closed before the
# interpreter ends.
LATE_CALL_S = 0.3
# This long after it was told to end a manager may refuse new connections; open
# ones it serves until it is gone.
REFUSING_AFTER_S = 2.0
# After so many crashes a task may not be started that many times more.
CRASHES_MOST = 3
# A job that was accepted this long before has to be counted, in seconds.
COUNTED_AFTER_S = 5.0
# Most characters of an error's line that are shown.
ERROR_SHOWN = 600


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Absence:
    """A time without one of the managers.

    :param manager: Its number.
    :param asked: When it was told to end, on the monotonic clock.
    :param began: When its process ended.
    :param ended: When it listened again.
    :param planned: Whether it ended after SIGTERM.
    :param stopped: When it had taken its last call, as it says itself; a
        starved one, or one on a busy machine, ends long after that.
    """

    manager: int
    asked: float
    began: float
    ended: float
    planned: bool
    stopped: float = math.inf

    def excuses(self, call):
        """Return whether a call may be cut off for it."""
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
class Broken:
    """A promise that was not kept.

    :param promise: Its name.
    :param detail: What was seen.
    """

    promise: str
    detail: str


def check_all(jobs, calls, absences, journal, orders):
    """Return every broken promise.

    :param jobs: All jobs, with the states that were seen last.
    :param calls: All calls.
    :param absences: Times without one of the managers.
    :param journal: Rows of what workers did, oldest first.
    :param orders: Orders to VMs.
    """
    return [
        *check_runs(jobs, journal),
        *check_jobs(jobs, journal),
        *check_crashes(jobs, journal),
        *check_calls(calls, absences),
        *check_orders(orders),
    ]


def check_runs(jobs, journal):
    """Each task runs once at a time, in its turn, not again once done."""
    running = collections.defaultdict(set)
    done, known = set(), set()
    by_identity = {job.identity: job for job in jobs}
    for _, kind, worker, task, run, detail in journal:
        if kind == "start":
            if running[task]:
                yield Broken(
                    promise="one run at a time",
                    detail=f"{task}: {run} on {worker} beside {running[task]}",
                )
            if task in known:
                yield Broken(
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
        yield Broken(promise="only what was handed in", detail=task)
        return
    for earlier in job.steps[int(step)].get("after-rev", []):
        for index in range(job.steps[earlier]["count"]):
            if f"{identity}.0.{earlier}.{index}" not in done:
                yield Broken(
                    promise="steps in order",
                    detail=f"{task} before {earlier}.{index}",
                )


def check_jobs(jobs, journal):
    """What was accepted ends; what was refused never runs."""
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
                yield Broken(
                    promise="what is accepted ends",
                    detail=f"{job.identity}: {job.states[-5:]}",
                )
        elif job.refused and started[job.identity]:
            yield Broken(promise="refused did not run", detail=job.identity)
        yield from _check_states(job)
        if "completed" in job.states:
            yield from _check_tasks(job, good)


def check_crashes(jobs, journal):
    """A task that crashes its workers is not started for ever."""
    crashing = {job.identity for job in jobs if job.crashing}
    crashes, starts = collections.Counter(), collections.Counter()
    for _, kind, worker, task, run, detail in journal:
        if task.partition(".")[0] not in crashing:
            continue
        if kind == "end" and detail == "crash":
            crashes[task] += 1
        elif kind == "start" and crashes[task] >= CRASHES_MOST:
            starts[task] += 1
            if starts[task] >= CRASHES_MOST:
                yield Broken(
                    promise="what crashes workers is given up",
                    detail=f"{task}: run {run} on {worker}",
                )


def _check_states(job):
    for earlier, later in zip(job.states, job.states[1:], strict=False):
        back = earlier in callers.FINAL and later != earlier
        if back or (earlier == "running" and later == "queued"):
            yield Broken(
                promise="states never go back",
                detail=f"{job.identity}: {earlier} then {later}",
            )


def _check_tasks(job, good):
    for task in job.list_tasks():
        if task not in good:
            yield Broken(
                promise="completed means every task is done", detail=task
            )


def check_counts(jobs, told, journal):
    """Of the jobs that have not begun, half at least are told as waiting.

    A number may be 2 s old, and a job counts 3 s after it was accepted.
    """
    began = {}
    for at, kind, _, task, _, _ in journal:
        if kind == "start":
            began.setdefault(task.partition(".")[0], at)
    accepted = collections.defaultdict(list)
    for job in jobs:
        if job.accepted:
            accepted[job.queue].append(job)
    for one in told:
        waiting = sum(
            job.accepted_at < one.began - COUNTED_AFTER_S
            and began.get(job.identity, math.inf) > one.ended
            and job.cancelled_at > one.ended
            for job in accepted[one.queue]
        )
        if one.waiting * 2 < waiting:
            yield Broken(
                promise="what has not begun is told as waiting",
                detail=f"manager {one.manager} told {one.waiting} of {waiting}"
                f" of {one.queue} at {one.began:.3f}",
            )


def check_output(output):
    """No key of a caller is told, and no error is one that nobody expects."""
    if "soak-key-" in output:
        yield Broken(promise="no key is told", detail="soak-key-")
    for line in output.splitlines():
        if '"event":"task.failed"' in line:
            yield Broken(
                promise="no error is unexpected", detail=line[:ERROR_SHOWN]
            )


def check_calls(calls, absences):
    """A call is cut off only where its manager was killed, or is gone.

    One that shows an invented key is told so, or that this is not known.
    """
    for call in calls:
        if call.invented and call.status not in (0, 401, 503):
            yield Broken(
                promise="no right by an invented key",
                detail=f"{call.status} by manager {call.manager}",
            )
        if call.status or call.timed_out:
            continue
        if not any(absence.excuses(call) for absence in absences):
            yield Broken(
                promise="a planned stop cuts nothing off",
                detail=f"manager {call.manager}, {call}",
            )


def check_orders(orders):
    """A VM is moved or maintained only when nothing runs on it."""
    for time, path, machine, holder, fence, running in orders:
        if running:
            yield Broken(
                promise="VMs leave empty",
                detail=f"{machine} {path} by {holder} {fence}, {running} run",
            )
