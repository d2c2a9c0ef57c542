"""State transitions of a hall, executed by its acting steward.

The lease of the acting steward saves calls but is not needed for safety:
each step is a compare-and-swap on the hall's record, so that two stewards
that act at the same time cause no more than a conflict.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
import uuid

from rackvalve.configuration import document
from rackvalve.fleet import transitions
from rackvalve.fleet import waves
from rackvalve.keyvalue import port
from rackvalve import logs
from rackvalve.steward import keeper as keepers
from rackvalve.steward import writer as writers

if TYPE_CHECKING:
    from collections.abc import Callable

    from rackvalve.fleet import record

LIST_INTERVAL_S = 2.0


class Stepper:
    """Advances drains, waves and changes of the division.

    :param hall: Name of the hall.
    :param platform: The port to the platform.
    :param keeper: State of the steward.
    :param clock: Reads the wall clock, in seconds.
    """

    def __init__(
        self,
        hall: str,
        *,
        platform: port.Platform,
        keeper: keepers.Keeper,
        clock: Callable[[], float],
    ) -> None:
        self._hall = hall
        self._platform = platform
        self._writer = writers.Writer(platform, keeper)
        self._keeper = keeper
        self._clock = clock
        self._listed_vms: frozenset[str] | None = None
        self._listed_at = 0.0
        # Revision that the next step is based on, and the round in which all
        # holders have to confirm it.
        self._confirmation: tuple[int, str] | None = None
        self.waits: list[transitions.Waiting] = []

    def step(self) -> None:
        """Execute at most one step."""
        if not self._keeper.acting:
            self.waits = []
            self._confirmation = None
            return
        self._list_vms()
        hall, revision = self._keeper.get_hall()
        if not revision:
            return
        changed, waits = transitions.step(
            hall,
            revision,
            self._keeper.reports,
            self._listed_vms,
            self._clock(),
        )
        self._record_waits(waits)
        if changed is None:
            changed = self._step_waves(hall)
            if changed is not None:
                # A revocation needs no confirming round: holders keep their
                # rights until they learn of it.  Only the steps after it
                # need the holders' reports.
                self._write(changed, revision)
            return
        if not self._confirm(hall, revision):
            return
        self._write(changed, revision)

    def _step_waves(self, hall: record.Hall) -> transitions.Changed | None:
        configuration, _ = self._keeper.get_configuration()
        return waves.step_waves(
            hall,
            document.list_budgets(configuration),
            self._keeper.list_unhealthy(),
            rack_safe=document.list_rack_safe(configuration),
        )

    def _list_vms(self) -> None:
        now = self._clock()
        if now - self._listed_at < LIST_INTERVAL_S:
            return
        listed = self._platform.list_vms()
        if isinstance(listed, port.Failed):
            return
        self._listed_at = now
        self._listed_vms = frozenset(listed)
        self._keeper.post(keepers.VmsListed(self._listed_vms))

    def _confirm(self, hall: record.Hall, revision: int) -> bool:
        """Return whether all holders have reported in the current round."""
        if self._confirmation is None or self._confirmation[0] != revision:
            name = str(uuid.uuid4())
            self._keeper.tell(keepers.RoundBegun(name))
            self._confirmation = (revision, name)
            return False
        missing = transitions.list_unconfirmed(
            hall, self._listed_vms, self._keeper.reports, self._confirmation[1]
        )
        return not missing

    def _write(self, changed: transitions.Changed, revision: int) -> None:
        result = self._writer.write_hall(self._hall, changed.hall, revision)
        self._confirmation = None
        if not isinstance(result, writers.Accepted):
            return
        logs.write_event(
            "hall.stepped", note=changed.note, revision=result.revision
        )

    def _record_waits(self, waits: list[transitions.Waiting]) -> None:
        if waits != self.waits:
            for wait in waits:
                logs.write_event(
                    "hall.waiting",
                    subject=wait.subject,
                    holders=wait.holders,
                )
        self.waits = waits
