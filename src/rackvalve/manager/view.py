"""The operator's documents as this process knows them, and how fresh they are.

Used by the job API, the revalidator, the owner and the control of VMs.
"""

from __future__ import annotations

from rackvalve import clocks
from rackvalve import errors
from rackvalve import logs
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from rackvalve.scheduling import fleet
from rackvalve.scheduling import queues


class View:
    """The newest configuration, waves and evacuations that were read."""

    __slots__ = (
        "configuration",
        "revision",
        "waves",
        "evacuated",
        "confirmed_at",
        "_last_contact",
    )

    def __init__(self) -> None:
        self.configuration: queues.Configuration | None = None
        # Store revision of the configuration.
        self.revision = 0
        self.waves: dict[int, fleet.Wave] = {}
        # Halls that are evacuated: their VMs get no more work.
        self.evacuated: frozenset[str] = frozenset()
        # The latest time, in seconds, at which this view is known to have been
        # current.
        self.confirmed_at = float("-inf")
        self._last_contact = float("-inf")

    @property
    def version(self) -> int:
        """Version of the configuration; 0 if none has been read."""
        return self.configuration.version if self.configuration else 0

    def note_confirmed(self, now: float) -> None:
        """Record that this view was current at a time.

        :param now: The time, in seconds.
        """
        self.confirmed_at = max(self.confirmed_at, now)

    def note_contact(self) -> None:
        """Record that the store has just answered."""
        self._last_contact = clocks.read_steady()

    def get_contact(self) -> float:
        """Return when the store last answered, in seconds."""
        return self._last_contact

    def silence(self, now: float) -> float:
        """Return the time since the store's last answer, in seconds.

        :param now: Present time, in seconds.
        """
        return now - self._last_contact

    def age(self, now: float) -> float:
        """Return the time since this view was known to be current, in seconds.

        :param now: Present time, in seconds.
        :return: The time; -1 if the view was never read.
        """
        if self.confirmed_at == float("-inf"):
            return -1.0
        return now - self.confirmed_at

    def apply_range(self, items: tuple[stores.Item, ...]) -> None:
        """Apply all of the operator's documents.

        :param items: All items under the operator's prefix.
        """
        for item in items:
            self.apply_item(item)
        found = [documents.parse_evacuation_key(item.key) for item in items]
        self._set_evacuated({hall for hall in found if hall is not None})

    def apply_changes(self, changes: stores.Changes) -> None:
        """Apply changes of the operator's documents.

        :param changes: The changes.
        """
        for item in changes.written:
            self.apply_item(item)
        halls = set(self.evacuated)
        for key, exists in _list_changes(changes):
            hall = documents.parse_evacuation_key(key)
            if hall is not None and exists:
                halls.add(hall)
            elif hall is not None:
                halls.discard(hall)
        self._set_evacuated(halls)

    def _set_evacuated(self, halls: set[str]) -> None:
        """Set the halls that are evacuated, and log a change."""
        found = frozenset(halls)
        if found == self.evacuated:
            return
        self.evacuated = found
        logs.write_event("halls.evacuated", halls=sorted(found))

    def apply_item(self, item: stores.Item) -> None:
        """Apply one document, or log why it was rejected.

        :param item: The document.
        """
        try:
            if item.key == documents.CONFIGURATION_KEY:
                self._apply_configuration(item)
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
        except Exception:
            # One document must not keep the others from being applied.
            logs.write_failure("task.failed", message=item.key)

    def _apply_configuration(self, item: stores.Item) -> None:
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
    """Return the changed keys by revision, and whether each one exists."""
    rows = [(item.revision, item.key, True) for item in changes.written]
    rows += [(revision, key, False) for key, revision in changes.removed]
    return [(key, exists) for _, key, exists in sorted(rows)]
