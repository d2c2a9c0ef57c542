"""Weighted fair queue of the waiting jobs of one class in one pool.

The pool's scheduler uses it for start-time fair queueing over workspaces:
each account has a virtual time that advances by the run time charged to it,
divided by its weight; the waiting account with the smallest virtual time is
next.  A workspace that was idle starts at the virtual clock of the pool, so
that idle time earns no credit.  Removing a job takes constant time, however
many jobs wait.
"""

from __future__ import annotations

import collections
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rackvalve.requests import job as jobs


class Account:
    """Usage of a pool by one workspace.

    :param workspace: Name of the workspace.
    :param weight: Weight of its share.
    :param quota: Maximum of slots in use at once, ``None`` for no limit.
    """

    __slots__ = (
        "workspace",
        "weight",
        "quota",
        "running",
        "waiting",
        "virtual_time",
    )

    def __init__(
        self, workspace: str, weight: float, quota: int | None
    ) -> None:
        self.workspace = workspace
        self.weight = weight
        self.quota = quota
        self.running = 0
        self.waiting = 0
        self.virtual_time = 0.0

    def has_room(self) -> bool:
        """Return whether the quota allows another slot."""
        return self.quota is None or self.running < self.quota


class _Flow:
    """Waiting jobs of one workspace and class."""

    __slots__ = ("account", "jobs", "cost", "sequence")

    def __init__(self, account: Account) -> None:
        self.account = account
        self.jobs: collections.OrderedDict[int, tuple[jobs.Job, float]] = (
            collections.OrderedDict()
        )
        self.cost = 0.0
        # Sequence number of this flow's valid heap entry; 0 for none.
        self.sequence = 0


class FairQueue:
    """Fair queue of the waiting jobs of one class."""

    __slots__ = ("_flows", "_heap", "_sequence", "_size", "cost", "weight")

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._sequence = 0
        self._size = 0
        # Sum of the expected run times of the waiting jobs, in seconds.
        self.cost = 0.0
        # Sum of the weights of the workspaces with waiting jobs.
        self.weight = 0.0

    def __len__(self) -> int:
        return self._size

    def push(
        self, account: Account, job: jobs.Job, cost: float, *, first: bool
    ) -> None:
        """Add a waiting job.

        :param account: Account of its workspace.
        :param job: The job.
        :param cost: Its expected run time, in seconds.
        :param first: Whether it goes before its workspace's other jobs.
        """
        flow = self._flows.get(account.workspace)
        if flow is None:
            flow = _Flow(account)
            self._flows[account.workspace] = flow
        if not flow.jobs:
            self.weight += account.weight
        flow.jobs[job.number] = (job, cost)
        if first:
            flow.jobs.move_to_end(job.number, last=False)
        flow.cost += cost
        self.cost += cost
        self._size += 1
        account.waiting += 1
        self.activate(account)

    def activate(self, account: Account) -> None:
        """Push a heap entry for a workspace at its current virtual time.

        Does nothing if no job of the workspace waits or its quota is used up.

        :param account: Its account, after a change of virtual time or of
            slots in use.
        """
        flow = self._flows.get(account.workspace)
        if flow is None or not flow.jobs or not account.has_room():
            return
        self._sequence += 1
        flow.sequence = self._sequence
        heapq.heappush(
            self._heap,
            (account.virtual_time, flow.sequence, account.workspace),
        )
        if len(self._heap) > 2 * len(self._flows) + 64:
            self._compact_heap()

    def peek(self) -> Account | None:
        """Return the next account, ``None`` if no job may start."""
        while self._heap:
            time, sequence, workspace = self._heap[0]
            flow = self._flows.get(workspace)
            if flow is not None and flow.sequence == sequence and flow.jobs:
                if flow.account.has_room():
                    if flow.account.virtual_time <= time:
                        return flow.account
                    self.activate(flow.account)
                else:
                    flow.sequence = 0
            heapq.heappop(self._heap)
        return None

    def pop(self) -> tuple[Account, jobs.Job, float] | None:
        """Remove and return the next job.

        :return: Its account, the job and its expected run time in seconds;
            ``None`` if no job may start.
        """
        account = self.peek()
        if account is None:
            return None
        flow = self._flows[account.workspace]
        number, (job, cost) = next(iter(flow.jobs.items()))
        self._remove_job(flow, number, cost)
        return account, job, cost

    def remove(self, workspace: str, number: int) -> bool:
        """Remove one job.

        :param workspace: Its workspace.
        :param number: Its number.
        :return: Whether it was waiting.
        """
        flow = self._flows.get(workspace)
        if flow is None or number not in flow.jobs:
            return False
        self._remove_job(flow, number, flow.jobs[number][1])
        return True

    def reweigh(self, workspace: str, change: float) -> None:
        """Apply a change of a workspace's weight to the sum of weights.

        :param workspace: Name of the workspace.
        :param change: New weight minus old weight.
        """
        if workspace in self._flows:
            self.weight += change

    def get_backlog(self, workspace: str) -> float:
        """Return the expected run time of a workspace's waiting jobs.

        :param workspace: Name of the workspace.
        :return: The sum, in seconds.
        """
        flow = self._flows.get(workspace)
        return flow.cost if flow is not None else 0.0

    def list_jobs(self) -> list[jobs.Job]:
        """List the waiting jobs, workspace by workspace."""
        return [
            job for flow in self._flows.values() for job, _ in
            flow.jobs.values()
        ]  # fmt: skip

    def _remove_job(self, flow: _Flow, number: int, cost: float) -> None:
        del flow.jobs[number]
        flow.cost -= cost
        flow.account.waiting -= 1
        self.cost -= cost
        self._size -= 1
        if not flow.jobs:
            self.weight -= flow.account.weight
            del self._flows[flow.account.workspace]
        if self._size == 0:
            # The float sums gather rounding errors; an empty queue is zero.
            self.cost = 0.0
            self.weight = 0.0

    def _compact_heap(self) -> None:
        self._heap = [
            entry
            for entry in self._heap
            if entry[2] in self._flows
            and self._flows[entry[2]].sequence == entry[1]
        ]
        heapq.heapify(self._heap)
