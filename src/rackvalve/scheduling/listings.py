"""When the platform's list of VMs proves that a worker's life is over.

The list is behind reality: it may tell that a VM is off that is back by now,
with another life on it.  So a VM that is listed without a worker proves
nothing by itself.  It proves that a life is over if an earlier list has named
its worker, since lists are taken not to go back, or if the list was read so
long after the life's last answer that it must tell of a time after it.  Lists
name workers, which may start again under their names: one that may tell of a
time before a life began has not named that life.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from rackvalve.scheduling import fleet

# How far the list may be behind at most, in seconds.  The pages name no bound;
# the sheets give 0.8 s for what workers say of themselves, and the rest is for
# a busy machine.  More would only delay the proof for a life that was lost
# before an owner's first list.
LIST_LAG_S = 2.0


class Listings:
    """What the lists that one owner has read say of workers' lives."""

    __slots__ = ("_vms", "_before", "_present", "_named", "_read")

    def __init__(self) -> None:
        self._vms: Mapping[str, fleet.Vm] = {}
        self._before: Mapping[str, fleet.Vm] = {}
        # Workers that the newest list names, and when the reading of the last
        # list began that has named each, in seconds.
        self._present: set[str] = set()
        self._named: dict[str, float] = {}
        # When the reading of the newest list began, in seconds.
        self._read = float("-inf")

    def take(
        self,
        vms: Mapping[str, fleet.Vm],
        read: float,
        known: Collection[str],
    ) -> None:
        """Take the platform's newest list.

        :param vms: All VMs by identity.
        :param read: When the reading began, in seconds.
        :param known: Names of all workers that the owner knows.
        """
        if read <= self._read:
            return
        self._before, self._vms, self._read = self._vms, vms, read
        self._present = {vm.worker for vm in vms.values() if vm.worker}
        self._named = {
            name: when for name, when in self._named.items() if name in known
        }
        self._named.update(dict.fromkeys(self._present, read))

    def prove_over(
        self, name: str, vm: str, *, began: float, alive: float
    ) -> bool:
        """Return whether the lists prove that a life is over.

        :param name: Name of the worker.
        :param vm: The VM that it lived on.
        :param began: When the life began at the earliest, in seconds.
        :param alive: The last time that it is known to have lived, in seconds.
        """
        if self._lists(name, vm):
            return False
        # A list that may tell of a time before may mean the life before.
        named = self._named.get(name, float("-inf"))
        if named > began + LIST_LAG_S:
            return self._read > alive
        return self._read > alive + LIST_LAG_S

    def _lists(self, name: str, vm: str) -> bool:
        """Return whether a worker may be on its VM by the newest list."""
        if not vm or name in self._present:
            return True
        listed = self._vms.get(vm)
        if listed is None:
            # The pages of a list are no snapshot: one that misses a VM may
            # have been read while the VM passed from one page to another.
            return vm in self._before or not self._before
        if listed.worker:
            return listed.worker == name
        return listed.up
