"""Keys kept in memory only: no owner, no creation time."""

from __future__ import annotations

from rackvalve import outcomes
from rackvalve.requests import keys


class MemoryRegistry:
    """Implements the interface of the key registry."""

    def __init__(self, entry, *, started, policy):
        self._used = {}

    def claim(self, division, workspace, key, claimant, now):
        """Grant a key that this process has not seen."""
        if (workspace, key) in self._used:
            return outcomes.Refused(reason=outcomes.Reason.KEY_USED)
        self._used[workspace, key] = claimant
        return keys.Granted()

    def settle(self, workspace, key, claimant, outcome, request_id):
        """Release a key after a refusal."""
        if outcome == "refused":
            self._used.pop((workspace, key), None)
