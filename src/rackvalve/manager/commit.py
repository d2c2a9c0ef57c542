"""One commit of an owner: its conditions, and what its answers mean.

A commit holds only while the ownership and each of its records have the
revisions that the owner knows.  So a deposed owner overwrites nothing, a
commit that takes effect late is stopped by what was written since, and one
without an answer is sent again as it was until it is known to be in the store.
"""

from __future__ import annotations

import enum

from rackvalve.platform import store as stores


class ConflictOutcome(enum.Enum):
    """What a conflict comes to."""

    # An earlier try of the same commit took effect.
    WRITTEN = "written"
    # Keys that an earlier owner wrote have now a known revision: send again.
    AGAIN = "again"
    # Another process is the owner.
    DEPOSED = "deposed"


class Revisions:
    """The revisions of the records that an owner has read or written."""

    __slots__ = ("_known", "last_committed")

    def __init__(self) -> None:
        self._known: dict[str, int] = {}
        # The greatest of them that a commit of this owner had.
        self.last_committed = 0

    def set(self, key: str, revision: int) -> None:
        """Take what a key's revision is.

        :param key: The key.
        :param revision: Its revision; 0 if it is absent.
        """
        self._known[key] = revision

    def find(self, key: str) -> int | None:
        """Return a key's revision, ``None`` if it is not known.

        :param key: The key.
        """
        return self._known.get(key)

    def forget(self, key: str) -> None:
        """Forget a key that was removed.

        :param key: The key.
        """
        self._known.pop(key, None)


class Commit:
    """Some records on their way to the store.

    :param ownership: The condition that this process is the owner.
    :param payloads: The values by key; ``None`` removes the key.
    :param revisions: What is known of keys; kept up to date.
    """

    __slots__ = ("_ownership", "payloads", "_revisions")

    def __init__(
        self,
        ownership: stores.Condition,
        payloads: dict[str, bytes | None],
        revisions: Revisions,
    ) -> None:
        self._ownership = ownership
        self.payloads = payloads
        self._revisions = revisions

    @property
    def puts(self) -> list[stores.Put]:
        """What it writes."""
        return [
            stores.Put(key=key, payload=payload)
            for key, payload in self.payloads.items()
            if payload is not None
        ]

    @property
    def removals(self) -> list[str]:
        """Which keys it removes."""
        return [
            key for key, payload in self.payloads.items() if payload is None
        ]

    def make_conditions(self) -> list[stores.Condition]:
        """Return what must hold for it to take effect.

        A key of which nothing is known is taken as absent: if it is not, the
        conflict tells its revision.  A removal of such a key has no condition
        of its own: those are what callers handed in, written once.
        """
        conditions = [self._ownership]
        for key, payload in self.payloads.items():
            revision = self._revisions.find(key)
            if revision is None and payload is None:
                continue
            conditions.append(
                stores.Condition(key=key, revision=revision or 0)
            )
        return conditions

    def record_committed(self, revision: int) -> None:
        """Note that it took effect.

        :param revision: The store's revision of its writes.
        """
        self._revisions.last_committed = max(
            self._revisions.last_committed, revision
        )
        for key, payload in self.payloads.items():
            if payload is None:
                self._revisions.forget(key)
            else:
                self._revisions.set(key, revision)

    def resolve_conflict(self, conflict: stores.Conflict) -> ConflictOutcome:
        """Find out why a condition did not hold.

        Only this process writes these keys while it is the owner.  So a
        revision that differs is its own earlier try, or, for a key of which
        it knew nothing, the work of an earlier owner.

        :param conflict: The store's answer.
        """
        owner = conflict.items.get(self._ownership.key)
        if owner is None or owner.revision != self._ownership.revision:
            return ConflictOutcome.DEPOSED
        if self._is_in_store(conflict):
            for key, payload in self.payloads.items():
                if payload is None:
                    self._revisions.forget(key)
                else:
                    self._revisions.set(key, conflict.items[key].revision)
            return ConflictOutcome.WRITTEN
        for condition in self.make_conditions()[1:]:
            item = conflict.items.get(condition.key)
            revision = item.revision if item is not None else 0
            known = self._revisions.find(condition.key)
            if known is not None and known != revision:
                return ConflictOutcome.DEPOSED
            self._revisions.set(condition.key, revision)
        return ConflictOutcome.AGAIN

    def _is_in_store(self, conflict: stores.Conflict) -> bool:
        """Return whether the store holds what this commit would write."""
        for key, payload in self.payloads.items():
            item = conflict.items.get(key)
            if (item.payload if item is not None else None) != payload:
                return False
        return True
