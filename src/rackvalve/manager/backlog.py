"""Records that wait for the store, and when the next commit is sent.

Commits run side by side.  That keeps a change of owner as safe as one commit
at a time, since each record is conditional on its own last revision (see
``commit``); and no key is in two commits at once, so that no record overtakes
a newer one of its own job.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from rackvalve.manager import timing
from rackvalve.platform import store as stores

# The ownership's condition takes one place, each record two: its condition
# and its value.
RECORDS_PER_COMMIT = (stores.COMMIT_ENTRIES - 1) // 2


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Record:
    """A record as it is written now.

    :param payload: The value; ``None`` to remove the key.
    :param written: Called once it is in the store.
    """

    payload: bytes | None
    written: Callable[[], None] | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PendingWrite:
    """A record that is to be written.

    :param number: Number of the first write since it was last sent.
    :param make: Makes the record at the time of sending.
    """

    number: int
    make: Callable[[], Record]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Batch:
    """What one commit writes.

    :param number: Number of the commit.
    :param writes: The writes by key.
    """

    number: int
    writes: dict[str, PendingWrite]


class Backlog:
    """The writes of one owner that are not in the store yet."""

    __slots__ = (
        "_urgent",
        "_other",
        "_held",
        "_batches",
        "_busy_keys",
        "_open",
        "_oldest",
        "_other_since",
        "_sent",
        "_commits",
        "number",
        "is_failing",
    )

    def __init__(self) -> None:
        # Marks that may be sent: something waits for those, nothing for these.
        self._urgent: dict[str, PendingWrite] = {}
        self._other: dict[str, PendingWrite] = {}
        # Marks whose key is in a commit under way, and whether urgent.
        self._held: dict[str, tuple[PendingWrite, bool]] = {}
        self._batches: dict[int, Batch] = {}
        self._busy_keys: set[str] = set()
        # Numbers of all writes that are not in the store, and the least one.
        self._open: set[int] = set()
        self._oldest = 1
        # When the first of the writes that nothing waits for was made.
        self._other_since = 0.0
        # When the last commit was sent first.
        self._sent = float("-inf")
        self._commits = 0
        # Number of the last write.
        self.number = 0
        # Whether the last call had no usable answer.
        self.is_failing = False

    @property
    def durable(self) -> int:
        """Number up to which all writes are in the store."""
        return self._oldest - 1 if self._open else self.number

    @property
    def in_flight(self) -> int:
        """How many commits are under way."""
        return len(self._batches)

    def enqueue(
        self,
        key: str,
        make: Callable[[], Record],
        now: float,
        *,
        urgent: bool,
    ) -> None:
        """Have a record written.

        :param key: Its key.
        :param make: Makes the record at the time of sending.
        :param now: Present time, in seconds.
        :param urgent: Whether something waits for it.
        """
        self.number += 1
        known = self._take_write(key)
        if known is None:
            if not self._open:
                self._oldest = self.number
            self._open.add(self.number)
            write = PendingWrite(number=self.number, make=make)
        else:
            write = PendingWrite(number=known[0].number, make=make)
            urgent = urgent or known[1]
        self._put_write(key, write, now, urgent=urgent)

    def find_wait(self, now: float) -> float | None:
        """Return when the next commit is to be sent.

        While the store is quick, one commit at a time takes all that was
        marked meanwhile: each call is paid for.  Once an answer takes longer
        than that is worth, or a commit is full, the next one goes beside it.

        :param now: Present time, in seconds.
        :return: Time until then, in seconds; ``None`` while that hangs on
            something else than time.
        """
        ready = len(self._urgent) + len(self._other)
        if not ready or self.in_flight >= timing.MAX_COMMITS_IN_FLIGHT:
            return None
        if self._batches and self.is_failing:
            return None
        if ready >= RECORDS_PER_COMMIT:
            return 0.0
        due = now
        if self._batches:
            due = self._sent + timing.COMMIT_SPACING_S
        if not self._urgent:
            due = max(due, self._other_since + timing.WRITE_DELAY_S)
        return max(0.0, due - now)

    def take(self, now: float) -> Batch:
        """Take what the next commit writes, urgent writes first.

        :param now: Present time, in seconds.
        """
        writes: dict[str, PendingWrite] = {}
        for source in (self._urgent, self._other):
            room = RECORDS_PER_COMMIT - len(writes)
            for key in list(source)[:room]:
                writes[key] = source.pop(key)
        self._sent = now
        self._commits += 1
        batch = Batch(number=self._commits, writes=writes)
        self._batches[batch.number] = batch
        self._busy_keys.update(writes)
        return batch

    def complete_batch(self, batch: Batch, now: float) -> None:
        """Note that a commit is in the store.

        :param batch: What it wrote.
        :param now: Present time, in seconds.
        """
        del self._batches[batch.number]
        for key, write in batch.writes.items():
            self._busy_keys.discard(key)
            self._open.discard(write.number)
            if key in self._held:
                held, urgent = self._held.pop(key)
                self._put_write(key, held, now, urgent=urgent)
        self._oldest = min(self._open, default=self._oldest)

    def _take_write(self, key: str) -> tuple[PendingWrite, bool] | None:
        """Take a write out that was not sent yet, and whether it is urgent."""
        if key in self._held:
            return self._held.pop(key)
        if key in self._urgent:
            return self._urgent.pop(key), True
        if key in self._other:
            return self._other.pop(key), False
        return None

    def _put_write(
        self, key: str, write: PendingWrite, now: float, *, urgent: bool
    ) -> None:
        if key in self._busy_keys:
            self._held[key] = (write, urgent)
        elif urgent:
            self._urgent[key] = write
        else:
            if not self._other:
                self._other_since = now
            self._other[key] = write
