"""Scheduler of one pool's jobs at one entry, used by the admission.

Between the classes: long jobs never use the slots reserved for quick jobs;
for all other slots both classes compete by virtual time, long jobs with the
weight guaranteed to them.  Within a class: weighted fair queueing among
workspaces (:mod:`rackvalve.requests.queue`).  A job that is not expected to
end by its deadline is refused at once, with the time until a slot is
expected.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from rackvalve import outcomes
from rackvalve.requests import decisions
from rackvalve.requests import estimates
from rackvalve.requests import job as jobs
from rackvalve.requests import queue
from rackvalve.targets import group as groups

if TYPE_CHECKING:
    from collections.abc import Collection

    from rackvalve.configuration import document

QUICK = jobs.Class.QUICK
LONG = jobs.Class.LONG
MIN_WEIGHT = 1e-3
MIN_RETRY_AFTER_S = 0.05
NO_TARGET_RETRY_AFTER_S = 1.0
WAIT_SAFETY_FACTOR = 1.25


class _Run:
    """A running attempt of a job on a target."""

    __slots__ = ("job", "account", "vm", "cost", "started", "trusted")

    def __init__(
        self,
        job: jobs.Job,
        account: queue.Account,
        vm: str,
        cost: float,
        started: float,
        *,
        trusted: bool,
    ) -> None:
        self.job = job
        self.account = account
        self.vm = vm
        self.cost = cost
        self.started = started
        # Whether the cost is estimated from observed runs.
        self.trusted = trusted


class _ClassState:
    """Queue, running jobs and virtual time of one class."""

    __slots__ = ("queue", "running", "virtual_time")

    def __init__(self) -> None:
        self.queue = queue.FairQueue()
        self.running = 0
        self.virtual_time = 0.0


class PoolScheduler:
    """Scheduler of the jobs of one pool at one entry.

    :param group: The pool's targets.
    :param policy: The pool's configuration.
    """

    __slots__ = (
        "group",
        "_policy",
        "_estimates",
        "_classes",
        "_accounts",
        "_runs",
        "_attempts",
        "_virtual_clock",
        "_deadlines",
        "_deadline_sequence",
        "_excluded",
    )

    def __init__(
        self, group: groups.TargetGroup, policy: document.Pool
    ) -> None:
        self.group = group
        self._policy = policy
        self._estimates = estimates.Estimates()
        self._classes = {QUICK: _ClassState(), LONG: _ClassState()}
        self._accounts: dict[str, queue.Account] = {}
        self._runs: dict[int, _Run] = {}
        self._attempts = 0
        self._virtual_clock = 0.0
        self._deadlines: list[tuple[float, int, jobs.Job]] = []
        self._deadline_sequence = 0
        # Targets that a waiting retry has already tried, by job number.
        self._excluded: dict[int, frozenset[str]] = {}

    @property
    def waiting(self) -> int:
        """Number of waiting jobs."""
        return len(self._classes[QUICK].queue) + len(self._classes[LONG].queue)

    @property
    def running(self) -> int:
        """Number of jobs on targets."""
        return len(self._runs)

    def set_policy(self, policy: document.Pool) -> None:
        """Apply a new policy.

        :param policy: The pool's configuration.
        """
        self._policy = policy

    def set_account(
        self, workspace: str, weight: float, quota: int | None
    ) -> None:
        """Set a workspace's weight and quota.

        :param workspace: Name of the workspace.
        :param weight: Weight of its share.
        :param quota: Maximum of slots in use at once, ``None`` for no limit.
        """
        account = self._accounts.get(workspace)
        if account is None:
            account = queue.Account(workspace, weight, quota)
            self._accounts[workspace] = account
        elif account.weight == weight and account.quota == quota:
            return
        for state in self._classes.values():
            state.queue.reweigh(workspace, weight - account.weight)
        account.weight = weight
        account.quota = quota
        self._activate(account)

    def submit(self, job: jobs.Job, now: float) -> decisions.Admission:
        """Admit a job: start it, let it wait, or refuse it.

        :param job: The job; its workspace has an account.
        :param now: Present time, in seconds.
        """
        account = self._accounts[job.workspace]
        if account.quota == 0:
            return outcomes.Refused(
                reason=outcomes.Reason.QUOTA_ZERO,
                detail=f"{jobs.WORKSPACE_HEADER}: its quota is 0",
            )
        if not self.group.has_targets():
            return outcomes.Refused(
                reason=outcomes.Reason.NO_TARGET,
                detail=f"{jobs.POOL_HEADER}: no target serves it here",
                retry_after=NO_TARGET_RETRY_AFTER_S,
            )
        cost = self._predict(job)
        # A job may start before waiting jobs only if none of them may start.
        if account.has_room() and self._choose_class() is None:
            started = self._start(account, job, cost, frozenset(), now)
            if started is not None:
                return started
        return self._enqueue(account, job, cost, now)

    def retry(
        self, job: jobs.Job, tried: Collection[str], now: float
    ) -> decisions.Admission:
        """Start a job on another target, or queue it first in its workspace.

        :param job: The job, whose last attempt is finished.
        :param tried: Targets that the job has tried.
        :param now: Present time, in seconds.
        """
        if now >= job.deadline:
            return outcomes.Refused(
                reason=outcomes.Reason.DEADLINE_PASSED,
                retry_after=max(self.estimate_wait(job), MIN_RETRY_AFTER_S),
            )
        account = self._accounts[job.workspace]
        cost = self._predict(job)
        excluded = frozenset(tried)
        if account.has_room():
            started = self._start(account, job, cost, excluded, now)
            if started is not None:
                return started
        self._excluded[job.number] = excluded
        return self._add_waiting(account, job, cost, now, first=True)

    def finish(self, attempt: int, result: groups.Result, now: float) -> None:
        """Record that an attempt ended, and free its slot.

        :param attempt: Number of the attempt.
        :param result: How the target handled the attempt.
        :param now: Present time, in seconds.
        """
        run = self._runs.pop(attempt)
        job = run.job
        length = max(now - run.started, 0.0)
        slowness = None
        if run.trusted:
            slowness = length / max(run.cost, estimates.MIN_RUN_S)
        self.group.release(run.vm, result, slowness, now)
        if result is groups.Result.GOOD:
            self._estimates.observe(job.workspace, job.job_class.value, length)
        # Corrects the charge: only the time used counts against the share.
        self._charge(job, run.account, length - run.cost)
        run.account.running -= 1
        self._classes[job.job_class].running -= 1
        self._activate(run.account)

    def count_unanswered(self, attempt: int, now: float) -> None:
        """Count an unanswered attempt as a failure of its target.

        :param attempt: Number of the attempt; its slot stays taken.
        :param now: Present time, in seconds.
        """
        run = self._runs.get(attempt)
        if run is not None:
            self.group.count_unanswered(run.vm, now)

    def cancel(self, job: jobs.Job) -> bool:
        """Remove a waiting job.

        :param job: The job.
        :return: Whether the job was waiting; if not, it is on a target.
        """
        self._excluded.pop(job.number, None)
        state = self._classes[job.job_class]
        return state.queue.remove(job.workspace, job.number)

    def dispatch(self, now: float) -> list[decisions.Decision]:
        """Start the waiting jobs that may start; refuse those too late.

        A job is too late if it can no longer end by its deadline.

        :param now: Present time, in seconds.
        """
        decided: list[decisions.Decision] = [*self._expire(now)]
        while True:
            state = self._choose_class()
            if state is None:
                return decided
            popped = state.queue.pop()
            if popped is None:
                return decided
            account, job, cost = popped
            excluded = self._excluded.pop(job.number, frozenset())
            started = self._start(account, job, cost, excluded, now)
            if started is None:
                state.queue.push(account, job, cost, first=True)
                return decided
            decided.append(started)

    def refuse_waiting(
        self, refused: outcomes.Refused
    ) -> list[decisions.Ended]:
        """Refuse all waiting jobs, on removal of the pool or a stop.

        :param refused: The refusal to give.
        """
        ended = []
        for state in self._classes.values():
            for job in state.queue.list_jobs():
                self.cancel(job)
                ended.append(decisions.Ended(job=job, refused=refused))
        return ended

    def predict_high(self, job: jobs.Job) -> float | None:
        """Return a high quantile of the run time of such jobs, in seconds.

        :param job: The job.
        """
        return self._estimates.predict_high(job.workspace, job.job_class.value)

    def estimate_wait(self, job: jobs.Job) -> float:
        """Return the expected time until a new such job starts, in seconds.

        This is the time until a slot is free plus the smaller of two bounds:
        the time to run all waiting jobs of the class, and the time to run
        the workspace's own backlog at its share.

        :param job: The job.
        """
        state = self._classes[job.job_class]
        slots = self._count_class_slots(job.job_class)
        account = self._accounts[job.workspace]
        weight = state.queue.weight
        if not account.waiting:
            weight += account.weight
        total = state.queue.cost / slots
        share = account.weight / max(weight, MIN_WEIGHT)
        own = state.queue.get_backlog(job.workspace) / (slots * share)
        return min(total, own) + self._expect_free_slot()

    def _predict(self, job: jobs.Job) -> float:
        return self._estimates.predict(
            job.workspace, job.job_class.value, job.declared_run
        )

    def _find_latest_start(self, job: jobs.Job) -> float:
        """Return the latest start at which a job can end by its deadline.

        Uses observed run times only, so that no job is refused because of
        a declared or assumed run time.
        """
        class_name = job.job_class.value
        if not self._estimates.is_trusted(job.workspace, class_name):
            return job.deadline
        return job.deadline - self._predict(job)

    def _enqueue(
        self, account: queue.Account, job: jobs.Job, cost: float, now: float
    ) -> decisions.Waiting | outcomes.Refused:
        wait = self.estimate_wait(job)
        retry_after = max(wait, MIN_RETRY_AFTER_S)
        if self.waiting >= self._policy.queue_limit:
            return outcomes.Refused(
                reason=outcomes.Reason.QUEUE_FULL,
                detail=f"{jobs.POOL_HEADER}: its queue is full",
                retry_after=retry_after,
            )
        if account.waiting >= self._policy.workspace_queue_limit:
            return outcomes.Refused(
                reason=outcomes.Reason.WORKSPACE_QUEUE_FULL,
                detail=f"{jobs.WORKSPACE_HEADER}: its queue is full",
                retry_after=retry_after,
            )
        if now + WAIT_SAFETY_FACTOR * wait > self._find_latest_start(job):
            return outcomes.Refused(
                reason=outcomes.Reason.DEADLINE_TOO_SHORT,
                detail=f"{jobs.DEADLINE_HEADER}: no place before it",
                retry_after=retry_after,
            )
        return self._add_waiting(account, job, cost, now, first=False)

    def _add_waiting(
        self,
        account: queue.Account,
        job: jobs.Job,
        cost: float,
        now: float,
        *,
        first: bool,
    ) -> decisions.Waiting:
        wait = self.estimate_wait(job)
        state = self._classes[job.job_class]
        if not state.queue and not state.running:
            other = self._classes[LONG if job.job_class is QUICK else QUICK]
            state.virtual_time = max(state.virtual_time, other.virtual_time)
        self._catch_up(account)
        state.queue.push(account, job, cost, first=first)
        self._deadline_sequence += 1
        latest = self._find_latest_start(job)
        heapq.heappush(self._deadlines, (latest, self._deadline_sequence, job))
        if len(self._deadlines) > 2 * self.waiting + 1024:
            self._compact_deadlines()
        return decisions.Waiting(job=job, expected_wait=wait)

    def _start(
        self,
        account: queue.Account,
        job: jobs.Job,
        cost: float,
        excluded: frozenset[str],
        now: float,
    ) -> decisions.Started | None:
        if not self._has_class_slot(job.job_class):
            return None
        choice = self.group.choose(excluded)
        if choice is None:
            return None
        target = choice.target
        self._catch_up(account)
        self._virtual_clock = max(self._virtual_clock, account.virtual_time)
        self._charge(job, account, cost)
        account.running += 1
        self._classes[job.job_class].running += 1
        self._attempts += 1
        self._runs[self._attempts] = _Run(
            job,
            account,
            target.vm,
            cost,
            now,
            trusted=self._estimates.is_trusted(
                job.workspace, job.job_class.value
            ),
        )
        return decisions.Started(
            job=job,
            attempt=self._attempts,
            vm=target.vm,
            host=target.allotment.host,
            port=target.allotment.port,
            waited=now - job.received,
            expected_run=cost,
            choice=choice,
        )

    def _catch_up(self, account: queue.Account) -> None:
        if not account.waiting and not account.running:
            account.virtual_time = max(
                account.virtual_time, self._virtual_clock
            )

    def _charge(
        self, job: jobs.Job, account: queue.Account, run: float
    ) -> None:
        account.virtual_time += run / account.weight
        guaranteed = self._policy.long_guaranteed
        weight = guaranteed if job.job_class is LONG else 1.0 - guaranteed
        state = self._classes[job.job_class]
        state.virtual_time += run / max(weight, MIN_WEIGHT)

    def _activate(self, account: queue.Account) -> None:
        for state in self._classes.values():
            state.queue.activate(account)

    def _choose_class(self) -> _ClassState | None:
        quick = self._classes[QUICK]
        long = self._classes[LONG]
        ready = [
            state
            for job_class, state in self._classes.items()
            if self._has_class_slot(job_class) and state.queue.peek()
        ]
        if len(ready) == 2:
            return long if long.virtual_time < quick.virtual_time else quick
        return ready[0] if ready else None

    def _has_class_slot(self, job_class: jobs.Class) -> bool:
        if job_class is QUICK:
            return True
        return self._classes[LONG].running < self._count_long_slots()

    def _count_long_slots(self) -> int:
        slots = self.group.slots
        reserved = math.ceil(slots * self._policy.quick_reserved)
        # Long jobs keep one slot even if all are reserved, as with a single
        # slot: they could never start otherwise.
        return max(slots - reserved, min(slots, 1))

    def _count_class_slots(self, job_class: jobs.Class) -> float:
        slots = max(self.group.slots, 1)
        guaranteed = slots * self._policy.long_guaranteed
        if job_class is QUICK:
            held = self._classes[LONG].running
            if self._classes[LONG].queue:
                held = max(held, int(guaranteed))
            return max(1.0, slots - held)
        held = self._classes[QUICK].running
        free = min(self._count_long_slots(), slots - held)
        return max(1.0, guaranteed, free)

    def _expect_free_slot(self) -> float:
        if not self._runs:
            return 0.0
        run = next(iter(self._runs.values()))
        return run.cost / max(len(self._runs), 1)

    def _expire(self, now: float) -> list[decisions.Ended]:
        ended = []
        while self._deadlines and self._deadlines[0][0] <= now:
            job = heapq.heappop(self._deadlines)[2]
            if not self.cancel(job):
                continue
            refused = outcomes.Refused(
                reason=outcomes.Reason.DEADLINE_PASSED,
                detail=f"{jobs.DEADLINE_HEADER}: passed while it waited",
                retry_after=max(self.estimate_wait(job), MIN_RETRY_AFTER_S),
            )
            ended.append(decisions.Ended(job=job, refused=refused))
        return ended

    def _compact_deadlines(self) -> None:
        waiting = {
            job.number
            for state in self._classes.values()
            for job in state.queue.list_jobs()
        }
        self._deadlines = [
            entry for entry in self._deadlines if entry[2].number in waiting
        ]
        heapq.heapify(self._deadlines)
