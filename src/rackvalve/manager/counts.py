"""How many jobs of a queue have not begun, as callers are told.

The owner publishes the numbers of all queues with the time at which they were
true, which is no later than its own view of the jobs.  A number that is older
than callers bear is not told: the process that is asked counts the records
itself, in the store, whoever owns.
"""

from __future__ import annotations

import dataclasses

from gevent import lock
import msgspec

from rackvalve import clocks
from rackvalve import errors
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve.manager import timing
from rackvalve.platform import store as stores

WAITING_KEY = "waiting"


class _Record(msgspec.Struct):
    # Jobs that have not begun, by queue; a queue without any is left out.
    waiting: dict[str, int]
    # When that was true, in seconds since 1970.
    counted: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Count:
    """How many jobs of a queue have not begun.

    :param waiting: The number.
    :param age: How old it is, in seconds.
    :param published: Whether the owner has counted, or this process.
    """

    waiting: int
    age: float
    published: bool


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Counted:
    """What this process has counted last.

    :param waiting: The number.
    :param at: When it began to count, in seconds.
    """

    waiting: int
    at: float


def encode(waiting: dict[str, int], counted: float) -> bytes:
    """Encode what an owner publishes.

    :param waiting: Jobs that have not begun, by queue.
    :param counted: When that was true, in seconds since 1970.
    """
    return msgspec.json.encode(_Record(waiting=waiting, counted=counted))


class Counter:
    """Counts for the callers of one process.

    :param store: The store.
    """

    __slots__ = ("_store", "_counted", "_locks")

    def __init__(self, store: stores.Store) -> None:
        self._store = store
        # What this process has counted itself, by queue, one at a time: a
        # count reads all records of the queue.
        self._counted: dict[str, _Counted] = {}
        self._locks: dict[str, lock.BoundedSemaphore] = {}

    def count(self, queue: str, wall: float) -> Count | stores.Unavailable:
        """Return how many jobs of a queue have not begun.

        :param queue: Name of the queue.
        :param wall: Present time, in seconds since 1970.
        :return: The number, or why it is not known.
        """
        found = self._store.read(WAITING_KEY)
        if isinstance(found, stores.Unavailable):
            return found
        if isinstance(found, stores.Item):
            record = _read(found.payload)
            if record is not None and _is_recent(record, wall):
                return Count(
                    waiting=record.waiting.get(queue, 0),
                    age=wall - record.counted,
                    published=True,
                )
        return self._count_records(queue, clocks.read_steady())

    def _count_records(
        self, queue: str, now: float
    ) -> Count | stores.Unavailable:
        """Count a queue's records, or tell what was counted a moment ago.

        :param queue: Name of the queue.
        :param now: Present time, in seconds.
        """
        turn = self._locks.setdefault(queue, lock.BoundedSemaphore())
        with turn:
            counted = self._counted.get(queue)
            if counted is None or now - counted.at > timing.COUNT_CACHE_S:
                began = clocks.read_steady()
                waiting = self._read_waiting(queue)
                if isinstance(waiting, stores.Unavailable):
                    return waiting
                counted = _Counted(waiting=waiting, at=began)
                self._counted[queue] = counted
        age = clocks.read_steady() - counted.at
        return Count(waiting=counted.waiting, age=age, published=False)

    def _read_waiting(self, queue: str) -> int | stores.Unavailable:
        """Count the jobs that are defined and neither begun nor cancelled."""
        # First, so that a job that begins in between counts once too often,
        # not once too little.
        known = self._store.read_range(f"{records.PROGRESS_PREFIX}{queue}/")
        if isinstance(known, stores.Unavailable):
            return known
        handed_in = self._store.read_range(f"{records.PREFIX}{queue}/")
        if isinstance(handed_in, stores.Unavailable):
            return handed_in
        identities = _list_jobs(handed_in.items, records.Part.DEFINITION)
        identities -= _list_jobs(handed_in.items, records.Part.CANCEL)
        begun = [item for item in known.items if _has_begun(item)]
        return len(identities - _list_jobs(begun, records.Part.PROGRESS))


def _read(payload: bytes) -> _Record | None:
    """Decode what was published; ``None`` for what no owner has written."""
    try:
        return msgspec.json.decode(payload, type=_Record)
    except msgspec.DecodeError:
        return None


def _is_recent(record: _Record, wall: float) -> bool:
    """Return whether a number is new enough to be told.

    One from a time to come was dated by a clock that is not ours.
    """
    age = wall - record.counted
    return -timing.MAX_CLOCK_SKEW_S <= age <= timing.MAX_COUNT_AGE_S


def _list_jobs(
    items: tuple[stores.Item, ...] | list[stores.Item], part: records.Part
) -> set[str]:
    """Return the identifiers of the jobs that have a kind of record."""
    keys = [records.read_key(item.key) for item in items]
    return {
        key.identity for key in keys if key is not None and key.part is part
    }


def _has_begun(item: stores.Item) -> bool:
    """Return whether a progress record tells of a job that has begun."""
    try:
        phase = records.read_summary(item.payload).phase
    except errors.DocumentInvalidError:
        return False
    return phase is not progress.Phase.QUEUED
