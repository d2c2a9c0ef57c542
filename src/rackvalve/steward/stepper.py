"""Takes the steps of a hall while this steward acts for it.

The lease that makes a steward act saves calls and gives no safety: each
step is a compare-and-swap on the hall's record, so that two stewards that
act at once cost a conflict and nothing else.
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
    """Steps through drains and changes of the entries.

    :param hall: Name of the hall.
    :param platform: The port to the platform.
    :param keeper: What the steward knows.
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
        self._listed: frozenset[str] | None = None
        self._listed_at = 0.0
        # The round that confirms a step, and the revision it is for.
        self._asked: tuple[int, str] | None = None
        self.waits: list[transitions.Waiting] = []

    def step(self) -> None:
        """Take at most one step."""
        if not self._keeper.acting:
            self.waits = []
            self._asked = None
            return
        self._list_vms()
        hall, revision = self._keeper.get_hall()
        if not revision:
            return
        changed, waits = transitions.step(
            hall,
            revision,
            self._keeper.reports,
            self._listed,
            self._clock(),
        )
        self._note_waits(waits)
        if changed is None:
            changed = self._step_waves(hall)
            if changed is not None:
                # Revoking takes a right from nobody before it is heard of;
                # only what follows needs the holders.
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
        self._listed = frozenset(listed)
        self._keeper.post(keepers.VmsListed(self._listed))

    def _confirm(self, hall: record.Hall, revision: int) -> bool:
        """Return whether every holder has reported since it was asked."""
        if self._asked is None or self._asked[0] != revision:
            name = str(uuid.uuid4())
            self._keeper.tell(keepers.RoundBegun(name))
            self._asked = (revision, name)
            return False
        missing = transitions.list_unconfirmed(
            hall, self._listed, self._keeper.reports, self._asked[1]
        )
        return not missing

    def _write(self, changed: transitions.Changed, revision: int) -> None:
        result = self._writer.write_hall(self._hall, changed.hall, revision)
        self._asked = None
        if not isinstance(result, writers.Accepted):
            return
        logs.write_event(
            "hall.stepped", note=changed.note, revision=result.revision
        )

    def _note_waits(self, waits: list[transitions.Waiting]) -> None:
        if waits != self.waits:
            for wait in waits:
                logs.write_event(
                    "hall.waiting",
                    subject=wait.subject,
                    holders=wait.holders,
                )
        self.waits = waits
