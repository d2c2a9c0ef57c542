"""What each workspace may have running, over all pools.

All that may still run counts: runs that are being stopped, runs on workers
that say nothing, and runs that an earlier owner has recorded.  So a workspace
stays within its bound whatever becomes of an order that is under way.
"""

from __future__ import annotations

from rackvalve.scheduling import fleet
from rackvalve.workspaces import account

# What is left where there is no bound: more than any fleet has.
_UNBOUNDED = 2**62


class Usage:
    """Sums of what may be running, by workspace."""

    __slots__ = ("_used",)

    def __init__(self) -> None:
        self._used: dict[str, fleet.Resources] = {}

    def used(self, workspace: str) -> fleet.Resources:
        """Return what a workspace may have running.

        :param workspace: Its name.
        """
        return self._used.get(workspace, fleet.NO_RESOURCES)

    def add(self, workspace: str, need: fleet.Resources) -> None:
        """Count a run.

        :param workspace: Name of the workspace; empty counts nothing.
        :param need: What the run takes.
        """
        if workspace:
            self._used[workspace] = self.used(workspace).plus(need)

    def subtract(self, workspace: str, need: fleet.Resources) -> None:
        """Count a run no longer: it is over.

        :param workspace: Name of the workspace; empty counts nothing.
        :param need: What the run took.
        """
        if not workspace:
            return
        left = self.used(workspace).minus(need)
        if left == fleet.NO_RESOURCES:
            self._used.pop(workspace, None)
        else:
            self._used[workspace] = left

    def compute_headroom(
        self, workspace: account.Workspace
    ) -> fleet.Resources:
        """Return what a workspace's bound leaves, at least nothing.

        :param workspace: The workspace.
        """
        used = self.used(workspace.name)
        bound = workspace.bound
        return fleet.Resources(
            cpu=_left(bound.cpu, used.cpu),
            memory=_left(bound.memory, used.memory),
            gpu=_left(bound.gpu, used.gpu),
        )

    def count_allowed(
        self,
        workspace: account.Workspace | None,
        ask: fleet.Resources,
        most: int,
    ) -> int:
        """Return how many more tasks a workspace's bound leaves room for.

        :param workspace: The workspace; ``None`` has no bound.
        :param ask: What each of the tasks takes.
        :param most: The most that are wanted.
        """
        if workspace is None or workspace.bound == fleet.NO_RESOURCES:
            return most
        used = self.used(workspace.name)
        count = 0
        while count < most and account.allows(workspace.bound, used, ask):
            used = used.plus(ask)
            count += 1
        return count


def _left(bound: int, used: int) -> int:
    return max(0, bound - used) if bound else _UNBOUNDED
