"""Admission of requests at one entry, as the accepted documents allow.

The entry's dispatcher uses it.  It has a scheduler for each pool and applies
configuration and hall records to them; a lower revision is never applied.
"""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from rackvalve.fleet import record
from rackvalve.fleet import shares
from rackvalve import outcomes
from rackvalve.requests import decisions
from rackvalve.requests import job as jobs
from rackvalve.requests import scheduler
from rackvalve.targets import budget
from rackvalve.targets import group as groups

if TYPE_CHECKING:
    from collections.abc import Collection

    from rackvalve.configuration import document


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class View:
    """Accepted documents in force at an entry.

    :param configuration: The operators' configuration.
    :param configuration_revision: Revision of the configuration.
    :param hall: Record of the entry's hall.
    :param hall_revision: Revision of the hall record.
    """

    configuration: document.Configuration
    configuration_revision: int
    hall: record.Hall
    hall_revision: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Acknowledgement:
    """Documents in force and target states that an entry reports.

    :param configuration_revision: Revision of the configuration in force;
        0 for none.
    :param hall_revision: Revision of the hall record in force; 0 for none.
    :param busy: Targets in use without a share.
    :param excess: Targets in use beyond their share.
    :param unhealthy: Targets ejected because of failures.
    """

    configuration_revision: int
    hall_revision: int
    busy: tuple[str, ...]
    excess: tuple[str, ...]
    unhealthy: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Counts:
    """Numbers of jobs and targets by state.

    :param waiting: Jobs in queues.
    :param running: Jobs on targets.
    :param ejected: Ejected targets.
    """

    waiting: int
    running: int
    ejected: int


class Admission:
    """Admission control for all pools of one entry.

    :param entry: Identity of the entry's VM.
    :param policy: When targets are ejected.
    :param retry_ratio: Retries allowed for each first attempt.
    :param rng: Source of random choices.
    """

    def __init__(
        self,
        entry: str,
        *,
        policy: groups.Policy,
        retry_ratio: float,
        rng: random.Random,
    ) -> None:
        self._entry = entry
        self._policy = policy
        self._retry_ratio = retry_ratio
        self._rng = rng
        self._view: View | None = None
        self._pools: dict[str, scheduler.PoolScheduler] = {}
        self._budgets: dict[str, budget.RetryBudget] = {}
        self._stopping = False

    @property
    def view(self) -> View | None:
        """The documents in force, ``None`` before the first."""
        return self._view

    @property
    def pools(self) -> dict[str, scheduler.PoolScheduler]:
        """The pools' schedulers by name, for queries."""
        return self._pools

    def apply(self, view: View) -> list[decisions.Ended]:
        """Apply newer documents.

        :param view: The documents; one that is older than that in force is
            ignored.
        :return: Waiting jobs that the change ends.
        """
        known = self._view
        if known is not None:
            view = _merge_views(known, view)
        self._view = view
        return self._apply_pools(view)

    def stop(self) -> list[decisions.Ended]:
        """Refuse new and waiting jobs from now on, for a planned stop.

        :return: The waiting jobs, refused.
        """
        self._stopping = True
        refused = outcomes.Refused(
            reason=outcomes.Reason.STOPPING,
            detail="this entry is leaving; another one serves",
            retry_after=scheduler.MIN_RETRY_AFTER_S,
        )
        return [
            ended
            for pool in self._pools.values()
            for ended in pool.refuse_waiting(refused)
        ]

    def check(self, job: jobs.Job) -> outcomes.Refused | None:
        """Refuse a job that the configuration does not allow.

        :param job: The job.
        """
        if self._stopping:
            return outcomes.Refused(
                reason=outcomes.Reason.STOPPING,
                retry_after=scheduler.MIN_RETRY_AFTER_S,
            )
        if self._view is None:
            return outcomes.Refused(
                reason=outcomes.Reason.NOT_CONFIGURED,
                detail="no configuration has been accepted here yet",
                retry_after=scheduler.NO_TARGET_RETRY_AFTER_S,
            )
        configuration = self._view.configuration
        workspace = configuration.workspaces.get(job.workspace)
        if workspace is None:
            return outcomes.Refused(
                reason=outcomes.Reason.WORKSPACE_UNKNOWN,
                detail=f"{jobs.WORKSPACE_HEADER}: unknown",
            )
        if job.pool not in configuration.pools:
            return outcomes.Refused(
                reason=outcomes.Reason.POOL_UNKNOWN,
                detail=f"{jobs.POOL_HEADER}: unknown",
            )
        if job.pool not in workspace.pools:
            return outcomes.Refused(
                reason=outcomes.Reason.POOL_FORBIDDEN,
                detail=f"{jobs.POOL_HEADER}: not paid for by this workspace",
            )
        return None

    def submit(self, job: jobs.Job, now: float) -> decisions.Admission:
        """Admit a job: start it, let it wait, or refuse it.

        :param job: The job.
        :param now: Present time, in seconds.
        """
        refused = self.check(job)
        if refused is not None:
            return refused
        admission = self._pools[job.pool].submit(job, now)
        if not isinstance(admission, outcomes.Refused):
            self._budgets[job.pool].count_attempt()
        return admission

    def retry(
        self, job: jobs.Job, tried: Collection[str], now: float
    ) -> decisions.Admission | None:
        """Retry a job on another target, if its pool's retry budget allows.

        :param job: The job, whose last attempt is finished.
        :param tried: Targets that the job has tried.
        :param now: Present time, in seconds.
        :return: ``None`` if there is no other target or no retry budget.
        """
        pool = self._pools[job.pool]
        others = any(
            target.usable and vm not in tried
            for vm, target in pool.group.get_targets().items()
        )
        if not others or not self._budgets[job.pool].take():
            return None
        return pool.retry(job, tried, now)

    def reroute(
        self, job: jobs.Job, tried: Collection[str], now: float
    ) -> decisions.Admission:
        """Start a job on another target after one was unreachable.

        No byte was sent, so this takes nothing from the retry budget.

        :param job: The job, whose last attempt is finished.
        :param tried: Targets that the job has tried.
        :param now: Present time, in seconds.
        """
        return self._pools[job.pool].retry(job, tried, now)

    def finish(
        self, pool: str, attempt: int, result: groups.Result, now: float
    ) -> None:
        """Record that an attempt ended, and free its slot.

        :param pool: Name of the pool.
        :param attempt: Number of the attempt.
        :param result: How the target handled the attempt.
        :param now: Present time, in seconds.
        """
        self._pools[pool].finish(attempt, result, now)

    def dispatch(
        self, pool: str, now: float
    ) -> list[decisions.Started | decisions.Ended]:
        """Start a pool's waiting jobs that may start; refuse those too late.

        :param pool: Name of the pool.
        :param now: Present time, in seconds.
        """
        found = self._pools[pool]
        return found.dispatch(now) if found.waiting else []

    def count_excess(self) -> int:
        """Count the targets with more slots in use than their share."""
        return sum(pool.group.count_excess() for pool in self._pools.values())

    def acknowledge(self) -> Acknowledgement:
        """Return the revisions in force and the targets to report."""
        busy: list[str] = []
        excess: list[str] = []
        unhealthy: list[str] = []
        for pool in self._pools.values():
            pool_busy, pool_excess = pool.group.list_excess()
            busy.extend(pool_busy)
            excess.extend(pool_excess)
            if pool.group.ejected:
                unhealthy.extend(pool.group.list_ejected())
        view = self._view
        return Acknowledgement(
            configuration_revision=view.configuration_revision if view else 0,
            hall_revision=view.hall_revision if view else 0,
            busy=tuple(sorted(busy)),
            excess=tuple(sorted(excess)),
            unhealthy=tuple(sorted(unhealthy)),
        )

    def is_pending(self) -> bool:
        """Return whether jobs or targets wait for a deadline or a probe."""
        return any(
            pool.waiting or pool.group.ejected for pool in self._pools.values()
        )

    def count(self) -> Counts:
        """Return the numbers of jobs and targets by state."""
        pools = self._pools.values()
        return Counts(
            waiting=sum(pool.waiting for pool in pools),
            running=sum(pool.running for pool in pools),
            ejected=sum(pool.group.ejected for pool in pools),
        )

    def _apply_pools(self, view: View) -> list[decisions.Ended]:
        allotments = compute_allotments(view.hall, self._entry)
        ended: list[decisions.Ended] = []
        for name, policy in view.configuration.pools.items():
            pool = self._pools.get(name)
            if pool is None:
                group = groups.TargetGroup(self._policy, rng=self._rng)
                pool = scheduler.PoolScheduler(group, policy)
                self._pools[name] = pool
                self._budgets[name] = budget.RetryBudget(self._retry_ratio)
            pool.set_policy(policy)
        for name, pool in self._pools.items():
            pool.group.update(allotments.get(name, {}))
            if name not in view.configuration.pools:
                ended.extend(pool.refuse_waiting(_POOL_REMOVED))
        self._apply_workspaces(view)
        return ended

    def _apply_workspaces(self, view: View) -> None:
        for name, workspace in view.configuration.workspaces.items():
            for pool in workspace.pools:
                quota = workspace.quota
                if quota:
                    share = shares.compute_share(
                        view.hall.division,
                        f"{pool}/{name}",
                        quota,
                        self._entry,
                    )
                    quota = max(1, share)
                self._pools[pool].set_account(
                    name, float(workspace.priority), quota
                )


_POOL_REMOVED = outcomes.Refused(
    reason=outcomes.Reason.POOL_UNKNOWN,
    detail=f"{jobs.POOL_HEADER}: removed from the configuration",
)


def compute_allotments(
    hall: record.Hall, entry: str
) -> dict[str, dict[str, groups.Allotment]]:
    """Return an entry's allotments on targets, by pool and VM.

    :param hall: Record of the hall.
    :param entry: Identity of the entry's VM.
    """
    allotments: dict[str, dict[str, groups.Allotment]] = {}
    for vm, target in hall.targets.items():
        if target.state is not record.State.SERVING:
            continue
        share = shares.compute_share(hall.division, vm, target.slots, entry)
        allotments.setdefault(target.pool, {})[vm] = groups.Allotment(
            host=target.host, port=target.port, share=share
        )
    return allotments


def _merge_views(known: View, offered: View) -> View:
    """Return a view with the newer revision of each document."""
    merged = known
    if offered.configuration_revision > known.configuration_revision:
        merged = dataclasses.replace(
            merged,
            configuration=offered.configuration,
            configuration_revision=offered.configuration_revision,
        )
    if offered.hall_revision > known.hall_revision:
        merged = dataclasses.replace(
            merged,
            hall=offered.hall,
            hall_revision=offered.hall_revision,
        )
    return merged
