"""Resource usage of each workspace over all pools.

Every run that may still be running counts: runs that are being stopped, runs
on silent workers, and runs recorded by an earlier owner.  A workspace thus
stays within its bound whatever the outcome of an order in flight.
"""

from __future__ import annotations

from rackvalve.scheduling import fleet
from rackvalve.workspaces import account

# Headroom where there is no bound: more than any fleet has.
_UNBOUNDED = 2**62


class Usage:
    """Sums the resources of runs that may be running, by workspace."""

    __slots__ = ("_used",)

    def __init__(self) -> None:
        self._used: dict[str, fleet.Resources] = {}

    def used(self, workspace: str) -> fleet.Resources:
        """Return the resources that a workspace may be using.

        :param workspace: Name of the workspace.
        """
        return self._used.get(workspace, fleet.NO_RESOURCES)

    def add(self, workspace: str, need: fleet.Resources) -> None:
        """Add the resources of a run.

        :param workspace: Name of the workspace; empty counts nothing.
        :param need: Resources of the run.
        """
        if workspace:
            self._used[workspace] = self.used(workspace).plus(need)

    def subtract(self, workspace: str, need: fleet.Resources) -> None:
        """Subtract the resources of a run that has ended.

        :param workspace: Name of the workspace; empty counts nothing.
        :param need: Resources of the run, as they were added.
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
        """Return the headroom within a workspace's bound, never negative.

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
        """Return how many more tasks fit within a workspace's bound.

        :param workspace: The workspace; ``None`` has no bound.
        :param ask: Resources of each task.
        :param most: Upper limit of the result.
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
