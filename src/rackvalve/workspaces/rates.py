"""Which jobs were sent within the rate that their workspace has paid for.

A generic cell rate algorithm (ITU-T I.371) for each workspace: one number,
whatever the rate.  A workspace that was idle may send what it has paid for in
:data:`BURST_S` at once, and gathers no credit beyond that.
"""

from __future__ import annotations

from rackvalve.workspaces import account

# What a workspace may send at once after a pause, as the time in which it
# has paid for it, in seconds: a rate a second is kept in each second.
BURST_S = 1.0
# Against rounding, in seconds.
_EPSILON_S = 1e-6


class Rates:
    """Counts the jobs of each workspace against its rate."""

    __slots__ = ("_expected", "_latest")

    def __init__(self) -> None:
        # When the next job is expected at the guaranteed rate, by workspace,
        # seconds since 1970.
        self._expected: dict[str, float] = {}
        # The latest that was counted, by workspace, seconds since 1970.
        self._latest: dict[str, float] = {}

    def count_job(
        self, workspace: account.Workspace | None, accepted: float
    ) -> bool:
        """Count a job.

        :param workspace: Its workspace; ``None`` for a job of none.
        :param accepted: When it was accepted, seconds since 1970.
        :return: Whether it was sent within the workspace's rate.
        """
        if workspace is None:
            return True
        if workspace.rate <= 0:
            return False
        # Jobs come a little out of order: accepted by several processes.
        latest = max(self._latest.get(workspace.name, 0.0), accepted)
        self._latest[workspace.name] = latest
        expected = max(self._expected.get(workspace.name, 0.0), latest)
        interval = 1 / workspace.rate
        depth = max(BURST_S, interval) + _EPSILON_S
        if expected + interval - latest > depth:
            # Beyond the rate: it takes nothing from what is guaranteed.
            return False
        self._expected[workspace.name] = expected + interval
        return True
