"""Metering of jobs against the guaranteed rates of their workspaces.

Each workspace has a generic cell rate algorithm (ITU-T I.371), whose state
is one number whatever the rate.  After a pause a workspace may send the jobs
of :data:`BURST_S` at once; it gathers no further credit.
"""

from __future__ import annotations

from rackvalve.workspaces import account

# Burst allowed after a pause, in seconds of the guaranteed rate.  1 s keeps
# a rate per second in each second.
BURST_S = 1.0
# Tolerance for rounding errors, in seconds.
_EPSILON_S = 1e-6


class Rates:
    """Counts the jobs of each workspace against its guaranteed rate."""

    __slots__ = ("_expected", "_latest")

    def __init__(self) -> None:
        # Theoretical arrival time of the next job at the guaranteed rate, by
        # workspace, in seconds since 1970.
        self._expected: dict[str, float] = {}
        # Latest time of a counted job, by workspace, seconds since 1970.
        self._latest: dict[str, float] = {}

    def count_job(
        self, workspace: account.Workspace | None, accepted: float
    ) -> bool:
        """Count a job against its workspace's guaranteed rate.

        :param workspace: Workspace of the job; ``None`` if it has none.
        :param accepted: Time of acceptance, in seconds since 1970.
        :return: Whether the job conforms to the rate.
        """
        if workspace is None:
            return True
        if workspace.rate <= 0:
            return False
        # Several processes accept jobs, so they arrive slightly out of order.
        latest = max(self._latest.get(workspace.name, 0.0), accepted)
        self._latest[workspace.name] = latest
        expected = max(self._expected.get(workspace.name, 0.0), latest)
        interval = 1 / workspace.rate
        depth = max(BURST_S, interval) + _EPSILON_S
        if expected + interval - latest > depth:
            # A job beyond the rate uses up no part of the guarantee.
            return False
        self._expected[workspace.name] = expected + interval
        return True
