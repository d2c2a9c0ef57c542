"""One conditional commit of an owner, and what the store's answers to it mean.

Used by ``writer``.  A commit takes effect only if the ownership and each of
its records have the revisions that the owner knows.  So a deposed owner
overwrites nothing, and a late commit fails if its records were written since.
A commit without an answer is retried unchanged until it is known to be in the
store.
"""

from __future__ import annotations

import enum

from rackvalve.platform import store as stores


class ConflictOutcome(enum.Enum):
    """The meaning of a conflict for the commit that met it."""

    # An earlier attempt at the same commit took effect.
    WRITTEN = "written"
    # The revisions of keys that an earlier owner wrote are now known: retry.
    RETRY = "again"
    # Another process is the owner.
    DEPOSED = "deposed"


class Revisions:
    """The revisions of the records that an owner has read or written."""

    __slots__ = ("_known", "last_committed")

    def __init__(self) -> None:
        self._known: dict[str, int] = {}
        # The greatest revision that a commit of this owner had; 0 before the
        # first commit.
        self.last_committed = 0

    def set(self, key: str, revision: int) -> None:
        """Set the revision of a key.

        :param key: The key.
        :param revision: The key's revision; 0 if the key is absent.
        """
        self._known[key] = revision

    def find(self, key: str) -> int | None:
        """Return a key's revision, ``None`` if unknown.

        :param key: The key.
        """
        return self._known.get(key)

    def forget(self, key: str) -> None:
        """Forget a key that was removed.

        :param key: The key.
        """
        self._known.pop(key, None)


class Commit:
    """A conditional write of several records.

    :param ownership: The condition that this process is the owner.
    :param payloads: The values by key; ``None`` removes the key.
    :param revisions: The known revisions of keys; kept up to date.
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
        """The records that the commit writes."""
        return [
            stores.Put(key=key, payload=payload)
            for key, payload in self.payloads.items()
            if payload is not None
        ]

    @property
    def size(self) -> int:
        """Size of the values that the commit writes, in bytes."""
        return sum(len(payload or b"") for payload in self.payloads.values())

    @property
    def removals(self) -> list[str]:
        """The keys that the commit removes."""
        return [
            key for key, payload in self.payloads.items() if payload is None
        ]

    def make_conditions(self) -> list[stores.Condition]:
        """Return the conditions of the commit.

        A key of unknown revision is assumed absent; if the key exists, the
        conflict tells its revision.  The removal of such a key has no
        condition of its own: its record was submitted by a caller and is
        written only once.
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
        """Record the revision of a commit that took effect.

        :param revision: The store's revision of the commit's writes.
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
        """Find out why a condition failed, and update the known revisions.

        Only this process writes these keys while it is the owner.  So a
        revision that differs comes from its own earlier attempt or, for a key
        of unknown revision, from an earlier owner.

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
        return ConflictOutcome.RETRY

    def _is_in_store(self, conflict: stores.Conflict) -> bool:
        """Return whether the store already holds what this commit writes."""
        for key, payload in self.payloads.items():
            item = conflict.items.get(key)
            if (item.payload if item is not None else None) != payload:
                return False
        return True
