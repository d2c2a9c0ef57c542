"""The operator's orders as this process knows them, and how fresh they are."""

from __future__ import annotations

from rackvalve import clocks
from rackvalve import errors
from rackvalve import logs
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from rackvalve.scheduling import fleet
from rackvalve.scheduling import queues


class View:
    """The newest configuration and waves that were seen."""

    __slots__ = (
        "configuration",
        "revision",
        "waves",
        "evacuated",
        "confirmed_at",
        "_heard",
    )

    def __init__(self) -> None:
        self.configuration: queues.Configuration | None = None
        # Store revision of the configuration.
        self.revision = 0
        self.waves: dict[int, fleet.Wave] = {}
        # Halls to whose VMs nothing more is to be sent.
        self.evacuated: frozenset[str] = frozenset()
        # The last time, in seconds, at which this view is known to have been
        # the newest.
        self.confirmed_at = float("-inf")
        self._heard = float("-inf")

    def note_confirmed(self, now: float) -> None:
        """Note that this view was the newest at a time.

        :param now: The time, in seconds.
        """
        self.confirmed_at = max(self.confirmed_at, now)

    def note_contact(self) -> None:
        """Note that the store has just answered."""
        self._heard = clocks.read_steady()

    def silence(self, now: float) -> float:
        """Return for how long the store has not answered, in seconds.

        :param now: Present time, in seconds.
        """
        return now - self._heard

    def apply_range(self, items: tuple[stores.Item, ...]) -> None:
        """Take all that the operator has written.

        :param items: All items under the operator's prefix.
        """
        for item in items:
            self.apply_item(item)
        found = [documents.evacuated_hall_of(item.key) for item in items]
        self._set_evacuated({hall for hall in found if hall is not None})

    def apply_changes(self, changes: stores.Changes) -> None:
        """Take what the operator has just written.

        :param changes: The changes.
        """
        for item in changes.written:
            self.apply_item(item)
        halls = set(self.evacuated)
        for key, is_asked in _list_changes(changes):
            hall = documents.evacuated_hall_of(key)
            if hall is not None and is_asked:
                halls.add(hall)
            elif hall is not None:
                halls.discard(hall)
        self._set_evacuated(halls)

    def _set_evacuated(self, halls: set[str]) -> None:
        """Take which halls are evacuated, and tell if that has changed."""
        found = frozenset(halls)
        if found == self.evacuated:
            return
        self.evacuated = found
        logs.write_event("halls.evacuated", halls=sorted(found))

    def apply_item(self, item: stores.Item) -> None:
        """Take one document.

        :param item: The document.
        """
        try:
            if item.key == documents.CONFIGURATION_KEY:
                self._take_configuration(item)
            elif item.key.startswith(documents.WAVE_PREFIX):
                wave = documents.read_wave(item.payload)
                self.waves[wave.number] = wave
        except errors.DocumentInvalidError as error:
            logs.write_warning(
                "document.rejected",
                key=item.key,
                revision=item.revision,
                reason=error.reason,
            )

    def _take_configuration(self, item: stores.Item) -> None:
        if item.revision <= self.revision:
            return
        newer = documents.read_configuration(item.payload)
        if (
            self.configuration is not None
            and newer.version < self.configuration.version
        ):
            logs.write_warning(
                "document.rejected",
                key=item.key,
                revision=item.revision,
                reason=f"version {newer.version} is older than the one held",
            )
            return
        self.configuration = newer
        self.revision = item.revision
        logs.write_event(
            "configuration.applied",
            version=newer.version,
            revision=item.revision,
            queues=len(newer.queues),
            workspaces=len(newer.workspaces),
            keys=newer.workspaces.key_count,
        )


def _list_changes(changes: stores.Changes) -> list[tuple[str, bool]]:
    """Return the keys that changed, in order, and whether they are there."""
    rows = [(item.revision, item.key, True) for item in changes.written]
    rows += [(revision, key, False) for key, revision in changes.removed]
    return [(key, is_there) for _, key, is_there in sorted(rows)]
