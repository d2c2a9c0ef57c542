"""Keeps which VMs are closed to new runs, for all incarnations of workers.

A VM is ordered to move, or to be maintained, once no run is left on it, and a
worker may start on it between that check and the order.
"""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses

from rackvalve.scheduling import workers


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Closure:
    """Why the workers on a VM take no new runs.

    :param reason: Reason, as stored in the worker's state.
    :param open_to_pool: Pool whose workers still take work there; empty for
        none.
    """

    reason: str
    open_to_pool: str = ""


class Closures:
    """The VMs that are closed."""

    __slots__ = ("_by_vm",)

    def __init__(self) -> None:
        self._by_vm: Mapping[str, Closure] = {}

    def set(self, by_vm: Mapping[str, Closure]) -> None:
        """Replace the set of closed VMs.

        :param by_vm: Closure by VM.
        """
        self._by_vm = by_vm

    def apply(self, worker: workers.WorkerState) -> None:
        """Close a worker if its VM is closed, or reopen it.

        :param worker: The worker.
        """
        entry = worker.entry
        found = self._by_vm.get(entry.vm) if entry is not None else None
        if entry is None or found is None or entry.pool == found.open_to_pool:
            worker.close_reason = ""
        else:
            worker.close_reason = found.reason
