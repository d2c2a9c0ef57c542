"""The keys of the ownership in the store, and the commits that write them.

The term key has no lease; its revision is the fencing token.  The holder key
ends with the owner's lease.
"""

from __future__ import annotations

from rackvalve.platform import store as stores

PREFIX = "owner/"
# The holder key, which ends with the owner's lease.
HOLDER = PREFIX + "scheduling"
# The term key, whose revision is the fencing token.
TERM = PREFIX + "term"
# The last process that requested a handover from the owner.
REQUEST = PREFIX + "request"


class OwnershipKeys:
    """Writes the keys of the ownership.

    :param store: The store.
    """

    __slots__ = ("_store",)

    def __init__(self, store: stores.Store) -> None:
        self._store = store

    def take(self, payload: bytes, lease: int) -> int | None | stores.Unknown:
        """Begin a term while nobody holds the ownership.

        :param payload: Value of both keys, which no other commit writes.
        :param lease: The lease of the holder key.
        :return: The fencing token; ``None`` if another process was first.
        """
        return self._begin_term(
            stores.Condition(key=HOLDER, revision=0), payload, lease
        )

    def succeed(
        self, payload: bytes, lease: int, fence: int
    ) -> int | None | stores.Unknown:
        """Begin another term after the own one, without a time between them.

        :param payload: Value of both keys, which no other commit writes.
        :param lease: The lease of the holder key.
        :param fence: Fencing token of the own term.
        :return: The fencing token; ``None`` if another process was first.
        """
        return self._begin_term(
            stores.Condition(key=TERM, revision=fence), payload, lease
        )

    def _begin_term(
        self, condition: stores.Condition, payload: bytes, lease: int
    ) -> int | None | stores.Unknown:
        outcome = self._store.commit(
            [condition],
            [
                stores.Put(key=HOLDER, payload=payload, lease=lease),
                stores.Put(key=TERM, payload=payload),
            ],
        )
        if isinstance(outcome, stores.Committed):
            return outcome.revision
        if not isinstance(outcome, stores.Unknown):
            return None
        # Should the commit take effect even later, its lease has expired by
        # then, unless the prober has cut the call.
        found = self._store.read(TERM)
        if isinstance(found, stores.Item) and found.payload == payload:
            return found.revision
        return outcome

    def write_holder(
        self, payload: bytes, lease: int, *, fence: int, known: int
    ) -> object:
        """Write the holder key if neither it nor the term key has changed.

        :param payload: Its value.
        :param lease: Its lease.
        :param fence: Fencing token of the term.
        :param known: Revision of the holder key; 0 if it is absent.
        :return: The outcome of the commit.
        """
        return self._store.commit(
            [
                stores.Condition(key=HOLDER, revision=known),
                stores.Condition(key=TERM, revision=fence),
            ],
            [stores.Put(key=HOLDER, payload=payload, lease=lease)],
        )

    def request(self, payload: bytes, *, holder: int, known: int) -> object:
        """Request a handover from the present owner.

        :param payload: Who requests it.
        :param holder: Revision of the holder key.
        :param known: Revision of the last request; 0 if there is none.
        :return: The outcome of the commit.
        """
        return self._store.commit(
            [
                stores.Condition(key=HOLDER, revision=holder),
                stores.Condition(key=REQUEST, revision=known),
            ],
            [stores.Put(key=REQUEST, payload=payload)],
        )
