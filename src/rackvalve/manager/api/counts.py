"""Counts of a queue's jobs that have not begun, and of the jobs' memory.

The owner publishes the counts of all queues with the time at which they were
true, which is no later than its own view of the jobs.  A count that is too old
for callers is not used: the process that answers the request then counts the
records in the store itself, whether or not it is the owner.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

from gevent import lock
import msgspec

from rackvalve import clocks
from rackvalve import codec
from rackvalve import errors
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve.manager.api import job_capacity
from rackvalve.manager import timing
from rackvalve.platform import store as stores

WAITING_KEY = "waiting"


class _Record(msgspec.Struct):
    # Jobs that have not begun, by namespace; one without any is left out.
    waiting: dict[str, codec.Integer]
    # When the counts were true, in seconds since 1970.
    counted: float
    # Memory that all jobs take, by namespace, and that they may take, in
    # bytes; earlier releases publish neither.
    held: dict[str, codec.Integer] = {}
    capacity: codec.Integer = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Count:
    """How many jobs of a queue have not begun.

    :param waiting: The count.
    :param age: Age of the count, in seconds.
    :param published: Whether the owner published the count; if not, this
        process counted.
    """

    waiting: int
    age: float
    published: bool


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _CachedCount:
    """The last count that this process made of a namespace.

    :param waiting: The count.
    :param at: When the counting began, in seconds.
    """

    waiting: int
    at: float


def encode(
    waiting: dict[str, int],
    counted: float,
    load: job_capacity.Load | None = None,
) -> bytes:
    """Encode the record that an owner publishes.

    :param waiting: Jobs that have not begun, by namespace.
    :param counted: When the counts were true, in seconds since 1970.
    :param load: Memory that the owner's jobs take; ``None`` if not known.
    """
    record = _Record(waiting=waiting, counted=counted)
    if load is not None:
        record.held = dict(load.held)
        record.capacity = load.capacity
    return msgspec.json.encode(record)


def read_load(payload: bytes) -> job_capacity.Load | None:
    """Decode what an owner has published of its jobs' memory.

    :param payload: The record.
    :return: ``None`` if it says nothing of it.
    """
    record = _decode(payload)
    if record is None or not record.capacity:
        return None
    return job_capacity.Load(held=record.held, capacity=record.capacity)


class Counter:
    """Finds the counts for the callers of one process.

    :param store: The store.
    """

    __slots__ = ("_store", "_cache", "_locks")

    def __init__(self, store: stores.Store) -> None:
        self._store = store
        # This process's own counts by namespace.  Each one is counted by one
        # greenlet at a time, since a count reads all of its records.
        self._cache: dict[str, _CachedCount] = {}
        self._locks: dict[str, lock.BoundedSemaphore] = {}

    def count(
        self,
        namespaces: Sequence[str],
        wall: float,
        *,
        timeout: float | None = None,
    ) -> Count | stores.Unavailable:
        """Return how many jobs of a queue have not begun.

        :param namespaces: Namespaces that may hold the queue's jobs.
        :param wall: Present time, in seconds since 1970.
        :param timeout: Longest wait for the published count, in seconds;
            ``None`` for the client's default.
        :return: The count, or why it is unknown.
        """
        found = self._store.read(WAITING_KEY, timeout=timeout)
        if isinstance(found, stores.Unavailable):
            return found
        if isinstance(found, stores.Item):
            record = _decode(found.payload)
            if record is not None and _is_recent(record, wall):
                return Count(
                    waiting=sum(
                        record.waiting.get(name, 0) for name in namespaces
                    ),
                    age=wall - record.counted,
                    published=True,
                )
        return self._count_all_records(namespaces, clocks.read_steady())

    def _count_all_records(
        self, namespaces: Sequence[str], now: float
    ) -> Count | stores.Unavailable:
        """Count the records of namespaces.

        :param namespaces: The namespaces.
        :param now: Present time, in seconds.
        """
        waiting, oldest = 0, now
        for namespace in namespaces:
            cached = self._count_records(namespace, now)
            if isinstance(cached, stores.Unavailable):
                return cached
            waiting += cached.waiting
            oldest = min(oldest, cached.at)
        age = clocks.read_steady() - oldest
        return Count(waiting=waiting, age=age, published=False)

    def _count_records(
        self, namespace: str, now: float
    ) -> _CachedCount | stores.Unavailable:
        """Count a namespace's records, or return a recent count.

        :param namespace: The namespace.
        :param now: Present time, in seconds.
        """
        turn = self._locks.setdefault(namespace, lock.BoundedSemaphore())
        with turn:
            cached = self._cache.get(namespace)
            if cached is None or now - cached.at > timing.COUNT_CACHE_S:
                began = clocks.read_steady()
                waiting = self._read_waiting(namespace)
                if isinstance(waiting, stores.Unavailable):
                    return waiting
                cached = _CachedCount(waiting=waiting, at=began)
                self._cache[namespace] = cached
        return cached

    def _read_waiting(self, namespace: str) -> int | stores.Unavailable:
        """Count the jobs that are defined and neither begun nor cancelled."""
        # Progress is read first, so that a job that begins between the reads
        # is counted once too often, not once too little.
        known = self._store.read_range(
            f"{records.PROGRESS_PREFIX}{namespace}/"
        )
        if isinstance(known, stores.Unavailable):
            return known
        submitted = self._store.read_range(f"{records.PREFIX}{namespace}/")
        if isinstance(submitted, stores.Unavailable):
            return submitted
        identities = _list_jobs(submitted.items, records.Part.DEFINITION)
        identities -= _list_jobs(submitted.items, records.Part.CANCEL)
        begun = [item for item in known.items if _has_begun(item)]
        return len(identities - _list_jobs(begun, records.Part.PROGRESS))


def _decode(payload: bytes) -> _Record | None:
    """Decode the published record; return ``None`` if it is invalid."""
    try:
        return codec.decode_as(payload, _Record)
    except errors.DocumentInvalidError:
        return None


def _is_recent(record: _Record, wall: float) -> bool:
    """Return whether a published count is recent enough to be used.

    A count from the future was dated by a clock that differs from this VM's.
    """
    age = wall - record.counted
    return -timing.MAX_CLOCK_SKEW_S <= age <= timing.MAX_COUNT_AGE_S


def _list_jobs(
    items: tuple[stores.Item, ...] | list[stores.Item], part: records.Part
) -> set[str]:
    """Return the identifiers of the jobs that have a record of this part."""
    keys = [records.parse_key(item.key) for item in items]
    return {
        key.identity for key in keys if key is not None and key.part is part
    }


def _has_begun(item: stores.Item) -> bool:
    """Return whether a progress record belongs to a job that has begun."""
    try:
        phase = records.decode_summary(item.payload).phase
    except errors.DocumentInvalidError:
        return False
    return phase is not progress.Phase.QUEUED
