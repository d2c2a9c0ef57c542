"""Copy of the records that an owner loads, kept by a standby.

A standby follows the prefixes by watches at a fixed interval, so that the
number of its calls does not grow with the number of changes.  On acquiring the
ownership, each prefix is brought up to the fencing token before it is used.
Only the holder of the term writes progress, so from that revision on the
progress does not change until the new owner writes.

Jobs are kept as they are stored: decoding 3,000 definitions took at most 28 ms
at the owner change, and decoded jobs would occupy more memory.
"""

from __future__ import annotations

from collections.abc import Iterable

import gevent

from rackvalve import clocks
from rackvalve.jobs import records
from rackvalve.manager import timing
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from rackvalve import telemetry as telemetries

# The prefixes that an owner loads, progress before the definitions.
PREFIXES = (
    records.PROGRESS_PREFIX,
    records.PREFIX,
    documents.WORKER_PREFIX,
)


class PrefixCopy:
    """All items below one prefix as of a revision of the store.

    :param store: The store.
    :param prefix: The prefix.
    :param telemetry: Counts the events and measures the copy.
    """

    __slots__ = (
        "_store",
        "_prefix",
        "_telemetry",
        "_slack",
        "_stopped",
        "_items",
        "revision",
        "size",
    )

    def __init__(
        self,
        store: stores.Store,
        prefix: str,
        telemetry: telemetries.Telemetry,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._telemetry = telemetry
        self._slack = timing.STANDBY_WATCH.slack
        self._stopped = False
        self._items: dict[str, stores.Item] = {}
        # Store revision up to which all changes are applied; -1 before the
        # first read and after the store lost its history.
        self.revision = -1
        # Total length of the keys and values, in bytes.
        self.size = 0

    @property
    def count(self) -> int:
        """Number of items."""
        return len(self._items)

    def stop(self) -> None:
        """Stop to follow the prefix; an answer in flight is ignored."""
        self._stopped = True

    def follow(self) -> None:
        """Keep the copy current until it is stopped."""
        while not self._stopped:
            began = clocks.read_steady()
            is_answered = self._read() if self.revision < 0 else self._watch()
            taken = clocks.read_steady() - began
            pause = timing.STANDBY_INTERVAL_S - taken
            if not is_answered:
                pause = max(pause, timing.STORE_RETRY_DELAY_S)
            gevent.sleep(max(0.0, pause))

    def bring_up_to(self, fence: int) -> stores.Range | None:
        """Return all items as of a revision that is not lower than a token.

        There is always one call, also if the copy has passed the token: the
        items are then known to be as of the time of this call.

        :param fence: The fencing token.
        :return: The items; ``None`` if the store has lost the changes in
            between or does not answer in time, so that the prefix has to be
            read.
        """
        until = clocks.read_steady() + timing.STANDBY_UPDATE_TIMEOUT_S
        if self.revision < 0:
            return None
        known = at = -1
        # More calls only if one answer does not hold all changes.
        while known < 0 or known < self.revision < fence:
            known = self.revision
            left = until - clocks.read_steady()
            if left <= 0:
                return None
            changes = self._store.watch(
                self._prefix, known, 0.0, slack=left, body_timeout=0.0
            )
            if not isinstance(changes, stores.Changes):
                return None
            self._apply(changes)
            at = changes.at
        if at < fence or self.revision < fence:
            # The answers belong to an earlier state of the store.
            return None
        items = (self._items[key] for key in sorted(self._items))
        return stores.Range(items=tuple(items), revision=self.revision)

    def _read(self) -> bool:
        """Read all items; return whether the store answered."""
        found = self._store.read_range(self._prefix)
        if self._stopped or isinstance(found, stores.Unavailable):
            return False
        self._items = {item.key: item for item in found.items}
        self.size = sum(_measure(item) for item in found.items)
        self.revision = found.revision
        self._measure_copy(len(found.items))
        return True

    def _watch(self) -> bool:
        """Apply the next changes; return whether the store answered."""
        pace = timing.STANDBY_WATCH
        changes = self._store.watch(
            self._prefix, self.revision, pace.wait, slack=self._slack
        )
        if self._stopped:
            return False
        if isinstance(changes, stores.Unavailable):
            # The store may only be slower than expected.
            self._slack = min(2 * self._slack, pace.max_slack)
            return False
        self._slack = pace.slack
        if isinstance(changes, stores.HistoryLost):
            self.revision = -1
            return True
        self._apply(changes)
        return True

    def _apply(self, changes: stores.Changes) -> None:
        for item in changes.written:
            known = self._items.get(item.key)
            # A read may have returned later items than its revision.
            if known is None or known.revision < item.revision:
                self._put(item)
        for key, revision in changes.removed:
            known = self._items.get(key)
            if known is not None and known.revision < revision:
                self.size -= _measure(known)
                del self._items[key]
        self.revision = max(self.revision, changes.revision)
        self._measure_copy(len(changes.written) + len(changes.removed))

    def _put(self, item: stores.Item) -> None:
        known = self._items.get(item.key)
        if known is not None:
            self.size -= _measure(known)
        self._items[item.key] = item
        self.size += _measure(item)

    def _measure_copy(self, events: int) -> None:
        if events:
            self._telemetry.standby_events.labels(self._prefix).inc(events)
        if self._stopped:
            # The copy is handed to the owner and is no longer held here.
            return
        self._telemetry.standby_items.labels(self._prefix).set(self.count)
        self._telemetry.standby_bytes.labels(self._prefix).set(self.size)


def _measure(item: stores.Item) -> int:
    """Return the length of an item's key and value, in bytes."""
    return len(item.key) + len(item.payload)


class Replica:
    """Copies of all prefixes that an owner loads.

    :param store: The store.
    :param telemetry: Counts the events and measures the copies.
    """

    __slots__ = ("_copies", "_telemetry", "_greenlets")

    def __init__(
        self, store: stores.Store, telemetry: telemetries.Telemetry
    ) -> None:
        self._copies = {
            prefix: PrefixCopy(store, prefix, telemetry) for prefix in PREFIXES
        }
        self._telemetry = telemetry
        self._greenlets: list[gevent.Greenlet] = []

    @property
    def is_complete(self) -> bool:
        """Whether each prefix was read."""
        return all(copy.revision >= 0 for copy in self._list_copies())

    @property
    def count(self) -> int:
        """Number of items."""
        return sum(copy.count for copy in self._list_copies())

    @property
    def size(self) -> int:
        """Total length of the keys and values, in bytes."""
        return sum(copy.size for copy in self._list_copies())

    @property
    def has_failed(self) -> bool:
        """Whether a greenlet has ended by an error."""
        return any(greenlet.dead for greenlet in self._greenlets)

    def start(self) -> None:
        """Begin to follow the prefixes, in greenlets of their own."""
        self._greenlets = [
            gevent.spawn(copy.follow) for copy in self._list_copies()
        ]

    def stop(self) -> None:
        """Stop to follow the prefixes; the copies stay as they are."""
        for copy in self._list_copies():
            copy.stop()
        gevent.killall(self._greenlets, block=False)
        for prefix in PREFIXES:
            self._telemetry.standby_items.labels(prefix).set(0)
            self._telemetry.standby_bytes.labels(prefix).set(0)

    def bring_up_to(self, prefix: str, fence: int) -> stores.Range | None:
        """Return a prefix's items; see :meth:`PrefixCopy.bring_up_to`.

        :param prefix: The prefix.
        :param fence: The fencing token.
        """
        return self._copies[prefix].bring_up_to(fence)

    def _list_copies(self) -> Iterable[PrefixCopy]:
        return self._copies.values()
