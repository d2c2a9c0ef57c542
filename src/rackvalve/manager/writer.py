"""Writes the owner's records to the store, many at a time, in order.

Each commit is conditional on the ownership key and on the commit before, so
that neither an owner that was deposed nor a commit that takes effect late can
overwrite anything.  A commit without an answer is made again as it was until
it is known which of the two took effect.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import gevent
from gevent import event

from rackvalve import logs
from rackvalve.manager import timing
from rackvalve.platform import store as stores

COMMIT_KEY = "commit"
# Two conditions and the commit's own key take places of a commit.
RECORDS_PER_COMMIT = stores.COMMIT_ENTRIES - 3


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Record:
    """A record as it is written now.

    :param payload: The value; ``None`` to remove the key.
    :param written: Called once it is in the store.
    """

    payload: bytes | None
    written: Callable[[], None] | None = None


class Writer:
    """Writes what one owner marks.

    :param store: The store.
    :param ownership: The condition that this process is the owner.
    :param name: Name of this owner, unlike those of all others.
    :param on_deposed: Called when another owner is found.
    :param on_contact: Called at each answer of the store.
    """

    def __init__(
        self,
        store: stores.Store,
        ownership: stores.Condition,
        *,
        name: str,
        on_deposed: Callable[[str], None],
        on_contact: Callable[[], None],
    ) -> None:
        self._store = store
        self._ownership = ownership
        self._last_commit = 0
        self._name = name
        self._on_deposed = on_deposed
        self._on_contact = on_contact
        self._marked: dict[str, tuple[int, Callable[[], Record]]] = {}
        self._in_flight: list[int] = []
        # Set for a moment after each commit.
        self._committed = event.Event()
        self._wanted = event.Event()
        self._urgent = event.Event()
        self._number = 0
        self._commits = 0

    def set_last_commit(self, revision: int) -> None:
        """Take where the owner before has ended, before :meth:`run`.

        :param revision: Revision of the last commit; 0 for none.
        """
        self._last_commit = revision

    @property
    def number(self) -> int:
        """Number of the last mark."""
        return self._number

    @property
    def durable(self) -> int:
        """Number up to which all marks are in the store."""
        open_marks = [number for number, _ in self._marked.values()]
        open_marks.extend(self._in_flight)
        return min(open_marks, default=self._number + 1) - 1

    def wait(self, timeout: float) -> None:
        """Wait for the end of the next commit.

        :param timeout: Longest wait, in seconds.
        """
        self._committed.wait(timeout)

    def mark(
        self, key: str, make: Callable[[], Record], *, urgent: bool = True
    ) -> None:
        """Have a record written soon.

        :param key: Its key.
        :param make: Makes the record at the time of writing.
        :param urgent: Whether something waits for it; if not, it goes with
            the next that is, or after a short while.
        """
        self._number += 1
        first = self._marked[key][0] if key in self._marked else self._number
        self._marked[key] = (first, make)
        self._wanted.set()
        if urgent:
            self._urgent.set()

    def run(self) -> None:
        """Write what is marked, until the greenlet is killed."""
        while True:
            self._wanted.wait()
            self._wanted.clear()
            self._urgent.wait(timing.WRITE_DELAY_S)
            self._urgent.clear()
            while self._marked:
                if not self._write_batch():
                    return

    def _write_batch(self) -> bool:
        """Write the oldest marked records.

        :return: Whether this process is still the owner.
        """
        # Marks that are made while others are handled go together.
        gevent.sleep(0)
        keys = list(self._marked)[:RECORDS_PER_COMMIT]
        batch = {key: self._marked.pop(key) for key in keys}
        self._in_flight = [number for number, _ in batch.values()]
        records = {key: make() for key, (_, make) in batch.items()}
        if not self._commit(records):
            return False
        self._in_flight = []
        self._committed.set()
        self._committed.clear()
        for record in records.values():
            if record.written is not None:
                record.written()
        return True

    def _commit(self, records: dict[str, Record]) -> bool:
        self._commits += 1
        mark = f"{self._name} {self._commits}".encode()
        conditions = [
            self._ownership,
            stores.Condition(key=COMMIT_KEY, revision=self._last_commit),
        ]
        puts = [stores.Put(key=COMMIT_KEY, payload=mark)]
        puts.extend(
            stores.Put(key=key, payload=record.payload)
            for key, record in records.items()
            if record.payload is not None
        )
        removals = [
            key for key, record in records.items() if record.payload is None
        ]
        while True:
            outcome = self._store.commit(conditions, puts, removals)
            if isinstance(outcome, stores.Committed):
                self._last_commit = outcome.revision
                self._on_contact()
                return True
            if isinstance(outcome, stores.Conflict):
                self._on_contact()
                return self._settle(outcome, mark)
            logs.write_warning(
                "store.failed",
                call="commit",
                outcome=type(outcome).__name__,
                reason=getattr(outcome, "reason", ""),
                records=len(records),
            )
            gevent.sleep(timing.STORE_PAUSE_S)

    def _settle(self, conflict: stores.Conflict, mark: bytes) -> bool:
        """Find out whether an earlier try of this commit took effect."""
        owner = conflict.items.get(self._ownership.key)
        last = conflict.items.get(COMMIT_KEY)
        if owner is None or owner.revision != self._ownership.revision:
            self._on_deposed("the ownership key has changed")
            return False
        if last is None or last.payload != mark:
            self._on_deposed("another commit came between")
            return False
        self._last_commit = last.revision
        return True
