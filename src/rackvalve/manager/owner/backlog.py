"""Queue of the owner's pending writes, and when the next commit is sent.

Used by ``writer``.  Commits run concurrently.  A change of owner is as safe as
with one commit at a time, since each record is conditional on its own last
revision (see ``commit``).  No key is in two commits at once, so that no record
overwrites a newer one of the same job.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from rackvalve.manager import timing
from rackvalve.platform import store as stores

# Of a commit's entries the ownership's condition takes one, and each record
# two: its condition and its value.
RECORDS_PER_COMMIT = (stores.COMMIT_ENTRIES - 1) // 2


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Record:
    """The content of a record at the time of sending.

    :param payload: The value; ``None`` to remove the key.
    :param parts: Further values of the record by key, which are written by the
        same commit.
    :param written: Called once the record is in the store.
    :param refused: Called if the store refuses the record for its content,
        which is given up then.
    """

    payload: bytes | None
    written: Callable[[], None] | None = None
    refused: Callable[[], None] | None = None
    parts: Mapping[str, bytes] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PendingWrite:
    """A record that is waiting to be written.

    :param number: Sequence number of the first change since the last send.
    :param make: Makes the record at the time of sending.
    :param values: How many values the record has at the most.
    """

    number: int
    make: Callable[[], Record]
    values: int = 1


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Batch:
    """The writes of one commit.

    :param number: Sequence number of the commit.
    :param writes: The writes by key.
    """

    number: int
    writes: dict[str, PendingWrite]


class Backlog:
    """Queue of one owner's writes that are not in the store yet."""

    __slots__ = (
        "_urgent",
        "_delayable",
        "_blocked",
        "_batches",
        "_keys_in_flight",
        "_unstored",
        "_delayable_since",
        "_last_sent",
        "_commit_count",
        "number",
        "is_failing",
        "is_reached",
    )

    def __init__(self) -> None:
        # Writes that may be sent: urgent ones, and those that may be delayed.
        self._urgent: dict[str, PendingWrite] = {}
        self._delayable: dict[str, PendingWrite] = {}
        # Writes whose key is in a commit in flight, and whether urgent.
        self._blocked: dict[str, tuple[PendingWrite, bool]] = {}
        self._batches: dict[int, Batch] = {}
        self._keys_in_flight: set[str] = set()
        # Sequence numbers of the writes that are not in the store, by key: of
        # one in flight and one after it at the most.
        self._unstored: dict[str, set[int]] = {}
        # When the oldest delayable write was enqueued.
        self._delayable_since = 0.0
        # When the last commit was first sent, not counting its retries.
        self._last_sent = float("-inf")
        self._commit_count = 0
        # Sequence number of the last write.
        self.number = 0
        # Whether the last commit had no usable answer, and whether the store
        # has answered other calls since that commit was sent.
        self.is_failing = False
        self.is_reached = False

    def is_stored(self, key: str, number: int) -> bool:
        """Return whether a record's changes up to a write are in the store.

        A record that the store has refused counts as stored.

        :param key: The record's key.
        :param number: Sequence number of the write.
        """
        return all(
            unstored > number for unstored in self._unstored.get(key, ())
        )

    @property
    def in_flight(self) -> int:
        """Number of commits in flight."""
        return len(self._batches)

    def enqueue(
        self,
        key: str,
        make: Callable[[], Record],
        now: float,
        *,
        urgent: bool,
        values: int = 1,
    ) -> None:
        """Enqueue the write of a record, or merge it with a pending one.

        :param key: The record's key.
        :param make: Makes the record at the time of sending.
        :param now: Present time, in seconds.
        :param urgent: Whether something waits for the record.
        :param values: How many values the record has at the most.
        """
        self.number += 1
        known = self._take_write(key)
        if known is None:
            number = self.number
            self._unstored.setdefault(key, set()).add(number)
        else:
            number = known[0].number
            urgent = urgent or known[1]
        write = PendingWrite(number=number, make=make, values=values)
        self._put_write(key, write, now, urgent=urgent)

    def find_wait(self, now: float) -> float | None:
        """Return how long to wait before the next commit is sent.

        While the store is fast, one commit at a time carries all writes that
        were enqueued meanwhile, since each call to the store is billed.
        When an answer takes longer than ``COMMIT_SPACING_S``, or a commit is
        full, the next commit is sent concurrently.  While the store answers
        nothing, all wait for one commit; a commit that fails alone, as a very
        large one may, holds up no others.

        :param now: Present time, in seconds.
        :return: The wait, in seconds; ``None`` to wait for the next write or
            answer.
        """
        ready = len(self._urgent) + len(self._delayable)
        if not ready or self.in_flight >= timing.MAX_COMMITS_IN_FLIGHT:
            return None
        if self._batches and self.is_failing and not self.is_reached:
            return None
        if ready >= RECORDS_PER_COMMIT:
            return 0.0
        due = now
        if self._batches:
            due = self._last_sent + timing.COMMIT_SPACING_S
        if not self._urgent:
            due = max(due, self._delayable_since + timing.WRITE_DELAY_S)
        return max(0.0, due - now)

    def take(self, now: float) -> Batch:
        """Remove and return the writes of the next commit, urgent ones first.

        :param now: Present time, in seconds.
        """
        writes: dict[str, PendingWrite] = {}
        room = RECORDS_PER_COMMIT
        for source in (self._urgent, self._delayable):
            for key in list(source)[:room]:
                if source[key].values > room:
                    break
                room -= source[key].values
                writes[key] = source.pop(key)
        self._last_sent = now
        self._commit_count += 1
        batch = Batch(number=self._commit_count, writes=writes)
        self._batches[batch.number] = batch
        self._keys_in_flight.update(writes)
        return batch

    def split(self, batch: Batch) -> list[Batch]:
        """Replace a commit's writes with those of two smaller commits.

        :param batch: The writes, of which there are several.
        """
        del self._batches[batch.number]
        keys = list(batch.writes)
        middle = len(keys) // 2
        halves = []
        for part in (keys[:middle], keys[middle:]):
            self._commit_count += 1
            half = Batch(
                number=self._commit_count,
                writes={key: batch.writes[key] for key in part},
            )
            self._batches[half.number] = half
            halves.append(half)
        return halves

    def complete_batch(self, batch: Batch, now: float) -> None:
        """Mark a commit's writes as stored.

        :param batch: The writes of the commit.
        :param now: Present time, in seconds.
        """
        del self._batches[batch.number]
        for key, write in batch.writes.items():
            self._keys_in_flight.discard(key)
            self._unstored[key].discard(write.number)
            if not self._unstored[key]:
                del self._unstored[key]
            if key in self._blocked:
                blocked, urgent = self._blocked.pop(key)
                self._put_write(key, blocked, now, urgent=urgent)

    def _take_write(self, key: str) -> tuple[PendingWrite, bool] | None:
        """Remove an unsent write; return it and whether it is urgent."""
        if key in self._blocked:
            return self._blocked.pop(key)
        if key in self._urgent:
            return self._urgent.pop(key), True
        if key in self._delayable:
            return self._delayable.pop(key), False
        return None

    def _put_write(
        self, key: str, write: PendingWrite, now: float, *, urgent: bool
    ) -> None:
        if key in self._keys_in_flight:
            self._blocked[key] = (write, urgent)
        elif urgent:
            self._urgent[key] = write
        else:
            if not self._delayable:
                self._delayable_since = now
            self._delayable[key] = write
