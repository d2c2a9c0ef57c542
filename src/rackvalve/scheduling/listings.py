"""Decides by the platform's VM lists whether a worker's incarnation is over.

The list is stale: it may show a VM as off that is up again with another
incarnation on it.  So a VM that is listed without a worker proves nothing by
itself.  It proves that an incarnation is over if an earlier list has named its
worker, since lists are assumed not to go back in time, or if the list was read
so long after the incarnation's last answer that it must describe a later time.
Lists name workers, which may restart under their names: a list that may
describe a time before an incarnation began has not named that incarnation.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from rackvalve.scheduling import fleet

# Longest staleness of the list, in seconds.  The platform documents no bound
# for it, but 0.8 s for workers' own entries; the rest is margin for load.
# A larger value would only delay the proof for an incarnation that was lost
# before an owner's first list.
LIST_LAG_S = 2.0


class Listings:
    """The lists of VMs that one owner has read, as proof of ended workers."""

    __slots__ = ("_vms", "_previous", "_newest_names", "_named_at", "_read_at")

    def __init__(self) -> None:
        self._vms: Mapping[str, fleet.Vm] = {}
        self._previous: Mapping[str, fleet.Vm] = {}
        # Workers that the newest list names, and by worker the time at which
        # the read of the last list that names it began, in seconds.
        self._newest_names: set[str] = set()
        self._named_at: dict[str, float] = {}
        # When the read of the newest list began, in seconds.
        self._read_at = float("-inf")

    def update(
        self,
        vms: Mapping[str, fleet.Vm],
        read: float,
        known: Collection[str],
    ) -> None:
        """Store the platform's newest list.

        :param vms: All VMs by identity.
        :param read: When the read began, in seconds.
        :param known: Names of all workers that the owner knows.
        """
        if read <= self._read_at:
            return
        self._previous, self._vms, self._read_at = self._vms, vms, read
        self._newest_names = {vm.worker for vm in vms.values() if vm.worker}
        self._named_at = {
            name: when
            for name, when in self._named_at.items()
            if name in known
        }
        self._named_at.update(dict.fromkeys(self._newest_names, read))

    def prove_over(
        self, name: str, vm: str, *, began: float, alive: float
    ) -> bool:
        """Return whether the lists prove that an incarnation is over.

        :param name: Name of the worker.
        :param vm: The VM that it ran on.
        :param began: Earliest time at which it may have started, in seconds.
        :param alive: Last time at which it is known to have lived, in seconds.
        """
        if self._may_be_running(name, vm):
            return False
        # Up to that time a list may have named the incarnation before.
        named = self._named_at.get(name, float("-inf"))
        if named > began + LIST_LAG_S:
            return self._read_at > alive
        return self._read_at > alive + LIST_LAG_S

    def _may_be_running(self, name: str, vm: str) -> bool:
        """Return whether, by the newest list, a worker may be on its VM."""
        if not vm or name in self._newest_names:
            return True
        listed = self._vms.get(vm)
        if listed is None:
            # The pages of a list are no snapshot: a list may miss a VM that
            # moved from one page to another while it was read.
            return vm in self._previous or not self._previous
        if listed.worker:
            return listed.worker == name
        return listed.up
