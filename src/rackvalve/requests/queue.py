"""Weighted fair queue of one class of a pool's waiting jobs.

Start-time fair queueing over workspaces: each account has a virtual time
that advances by the run time it was given, divided by its weight; the
waiting account with the smallest virtual time is next.  A workspace that
was idle starts at the clock of the pool and gathers no credit.  Removing a
job takes constant time, whatever the number waiting.
"""

from __future__ import annotations

import collections
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rackvalve.requests import job as jobs


class Account:
    """What one workspace has used of a pool.

    :param workspace: Name of the workspace.
    :param weight: Weight of its share.
    :param quota: Most slots in use at once, ``None`` for no limit.
    """

    __slots__ = ("workspace", "weight", "quota", "running", "waiting", "virtual_time")

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
        """Return whether the quota allows one more slot."""
        return self.quota is None or self.running < self.quota


class _Flow:
    """One workspace's waiting jobs of one class."""

    __slots__ = ("account", "jobs", "cost", "ticket")

    def __init__(self, account: Account) -> None:
        self.account = account
        self.jobs: collections.OrderedDict[int, tuple[jobs.Job, float]] = (
            collections.OrderedDict()
        )
        self.cost = 0.0
        # Number of the one heap entry of this flow that counts; 0 for none.
        self.ticket = 0


class FairQueue:
    """Waiting jobs of one class."""

    __slots__ = ("_flows", "_heap", "_tickets", "_size", "cost", "weight")

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._tickets = 0
        self._size = 0
        # Sum of the expected run times that wait, in seconds.
        self.cost = 0.0
        # Sum of the weights of the workspaces that wait.
        self.weight = 0.0

    def __len__(self) -> int:
        return self._size

    def push(
        self, account: Account, job: jobs.Job, cost: float, *, first: bool
    ) -> None:
        """Let a job wait.

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
        """Let a workspace's flow compete at its present virtual time.

        :param account: Its account, after a change of time or quota use.
        """
        flow = self._flows.get(account.workspace)
        if flow is None or not flow.jobs or not account.has_room():
            return
        self._tickets += 1
        flow.ticket = self._tickets
        heapq.heappush(
            self._heap, (account.virtual_time, flow.ticket, account.workspace)
        )
        if len(self._heap) > 2 * len(self._flows) + 64:
            self._compact()

    def peek(self) -> Account | None:
        """Return the account that is next, ``None`` if none may start."""
        while self._heap:
            time, ticket, workspace = self._heap[0]
            flow = self._flows.get(workspace)
            if flow is not None and flow.ticket == ticket and flow.jobs:
                if flow.account.has_room():
                    if flow.account.virtual_time <= time:
                        return flow.account
                    self.activate(flow.account)
                else:
                    flow.ticket = 0
            heapq.heappop(self._heap)
        return None

    def pop(self) -> tuple[Account, jobs.Job, float] | None:
        """Take the next job.

        :return: Its account, the job and its expected run time in seconds.
        """
        account = self.peek()
        if account is None:
            return None
        flow = self._flows[account.workspace]
        number, (job, cost) = next(iter(flow.jobs.items()))
        self._drop(flow, number, cost)
        return account, job, cost

    def remove(self, workspace: str, number: int) -> bool:
        """Take out one job.

        :param workspace: Its workspace.
        :param number: Its number.
        :return: Whether it was waiting.
        """
        flow = self._flows.get(workspace)
        if flow is None or number not in flow.jobs:
            return False
        self._drop(flow, number, flow.jobs[number][1])
        return True

    def reweigh(self, workspace: str, change: float) -> None:
        """Take a change of a workspace's weight into the sum of weights.

        :param workspace: Name of the workspace.
        :param change: New weight less old weight.
        """
        if workspace in self._flows:
            self.weight += change

    def get_backlog(self, workspace: str) -> float:
        """Return the run time that a workspace has waiting, in seconds.

        :param workspace: Name of the workspace.
        """
        flow = self._flows.get(workspace)
        return flow.cost if flow is not None else 0.0

    def list_jobs(self) -> list[jobs.Job]:
        """List the waiting jobs, workspace by workspace."""
        return [
            job for flow in self._flows.values() for job, _ in
            flow.jobs.values()
        ]  # fmt: skip

    def _drop(self, flow: _Flow, number: int, cost: float) -> None:
        del flow.jobs[number]
        flow.cost -= cost
        flow.account.waiting -= 1
        self.cost -= cost
        self._size -= 1
        if not flow.jobs:
            self.weight -= flow.account.weight
            del self._flows[flow.account.workspace]
        if self._size == 0:
            # Sums of floats drift; an empty queue is exactly zero.
            self.cost = 0.0
            self.weight = 0.0

    def _compact(self) -> None:
        self._heap = [
            entry
            for entry in self._heap
            if entry[2] in self._flows
            and self._flows[entry[2]].ticket == entry[1]
        ]
        heapq.heapify(self._heap)
