"""The stored directory of namespaces, as this process knows it.

An address has its namespace in the store before a job is stored under it.  All
managers add entries, on the condition that the directory is the one that they
know; the owner also keeps the settings of the queues up to date.
"""

from __future__ import annotations

import gevent
from gevent import lock

from rackvalve import clocks
from rackvalve import errors
from rackvalve import logs
from rackvalve.manager.api import relaying
from rackvalve.manager import timing
from rackvalve.manager import view as views
from rackvalve.platform import store as stores
from rackvalve.scheduling import namespaces
from rackvalve.scheduling import queues

DIRECTORY_KEY = "namespaces"
# Age at which the copy of the directory is read again, and up to which it is
# used, in seconds.  Both are below the time for which the namespace of a
# removed queue is kept.
REFRESH_AGE_S = namespaces.KEEP_REMOVED_S / 3
MAX_COPY_AGE_S = 2 * REFRESH_AGE_S
# Shortest time between two such readings, in seconds.
REFRESH_INTERVAL_S = 1.0
# Time for which a directory that the store refuses is not written, in seconds.
REFUSED_PAUSE_S = 60.0


class NamespaceRegistry:
    """Finds the namespaces of queues, and registers those of new ones.

    :param store: The store.
    :param view: The operator's documents as this process knows them.
    """

    __slots__ = (
        "_store",
        "_view",
        "_copy",
        "_is_readable",
        "_revision",
        "_read_at",
        "_refreshed_at",
        "_refused_at",
        "_turn",
    )

    def __init__(self, store: stores.Store, view: views.View) -> None:
        self._store = store
        self._view = view
        self._copy = namespaces.EMPTY
        # Whether the stored directory decodes.  If not, it is left as it is,
        # and the queues' names are the namespaces.
        self._is_readable = True
        # Store revision of the copy, and when it was read, in seconds.
        self._revision = 0
        self._read_at = float("-inf")
        # When it was last to be read again, in seconds.
        self._refreshed_at = float("-inf")
        # When the store last refused a directory for its size, in seconds.
        self._refused_at = float("-inf")
        # One greenlet at a time reads or writes the directory.
        self._turn = lock.BoundedSemaphore()

    @property
    def directory(self) -> namespaces.Directory:
        """The directory as it was last read or written."""
        return self._copy

    def may_write(self, now: float) -> bool:
        """Return whether the directory may be written.

        One that does not decode is left alone, and one that the store has just
        refused is not sent again for a time.

        :param now: Present time, in seconds.
        """
        return self._is_readable and now - self._refused_at > REFUSED_PAUSE_S

    def resolve(
        self, queue: queues.Queue, wait: relaying.StoreWait
    ) -> tuple[str, ...]:
        """Return the namespaces that may hold jobs of a queue's address.

        :param queue: The queue.
        :param wait: How long to wait for the store.
        :return: The namespaces, of which the first takes new jobs; none if the
            store does not answer.
        """
        self._refresh_later(clocks.read_steady())
        while not (found := self._find_recent(queue)):
            now = clocks.read_steady()
            if wait.is_over(now):
                return ()
            # The store may not answer those who are before this one.
            if not self._turn.acquire(timeout=max(0.0, wait.deadline - now)):
                return ()
            try:
                self._look_up(queue, wait)
            finally:
                self._turn.release()
        return found

    def _look_up(self, queue: queues.Queue, wait: relaying.StoreWait) -> None:
        """Read the directory, or add or renew the queue's entry."""
        if self._find_recent(queue):
            return
        began = clocks.read_steady()
        timeout = wait.choose_timeout(began)
        if self._is_stale(began):
            answered = self._read(timeout)
        else:
            answered = self._add(queue, timeout)
        if answered:
            wait.note_answer()
        else:
            wait.note_failure(began)
            gevent.sleep(timing.STORE_RETRY_DELAY_S)

    def _refresh_later(self, now: float) -> None:
        """Have an old copy read again; no request waits for that."""
        if self._is_stale(now) or now - self._read_at <= REFRESH_AGE_S:
            return
        if now - self._refreshed_at > REFRESH_INTERVAL_S:
            self._refreshed_at = now
            gevent.spawn(self.refresh)

    def load(self) -> namespaces.Directory:
        """Read the directory, until the store answers; return it."""
        while not self.refresh():
            gevent.sleep(timing.STORE_RETRY_DELAY_S)
        return self._copy

    def refresh(self) -> bool:
        """Read the directory; return whether the store has answered."""
        with self._turn:
            return self._read(None)

    def write(
        self,
        directory: namespaces.Directory,
        ownership: stores.Condition | None = None,
    ) -> bool:
        """Write the directory if the store still has the one known here.

        :param directory: The directory.
        :param ownership: The condition that this process is the owner;
            ``None`` for additions, which any manager makes.
        :return: Whether the store has answered; after a conflict the copy is
            the directory that it has.
        """
        with self._turn:
            return self._commit(directory, ownership, None)

    def _find_recent(self, queue: queues.Queue) -> tuple[str, ...]:
        now = clocks.read_steady()
        if self._is_stale(now):
            return ()
        entry = self._copy.find(queue)
        if entry is not None and entry.needs_renewal(clocks.read_wall()):
            if self.may_write(now):
                return ()
        known = self._copy.list_namespaces(queue)
        if known or self.may_write(now) or self._copy.is_taken(queue.name):
            return known
        # As in earlier releases, until the directory can be written.
        return (queue.name,)

    def _is_stale(self, now: float) -> bool:
        return now - self._read_at > MAX_COPY_AGE_S

    def _read(self, timeout: float | None) -> bool:
        """Read the directory; return whether the store has answered."""
        began = clocks.read_steady()
        found = self._store.read(DIRECTORY_KEY, timeout=timeout)
        if isinstance(found, stores.Unavailable):
            return False
        self._note(found if isinstance(found, stores.Item) else None, began)
        return True

    def _add(self, queue: queues.Queue, timeout: float | None) -> bool:
        """Add or renew entries; return whether the store has answered."""
        configuration = self._view.configuration
        configured = configuration.queues if configuration else ()
        wanted = namespaces.extend(self._copy, (queue, *configured))
        return self._commit(wanted, None, timeout)

    def _commit(
        self,
        directory: namespaces.Directory,
        ownership: stores.Condition | None,
        timeout: float | None,
    ) -> bool:
        began = clocks.read_steady()
        if not self.may_write(began):
            return False
        payload = namespaces.encode(directory)
        conditions = [
            stores.Condition(key=DIRECTORY_KEY, revision=self._revision)
        ]
        if ownership is not None:
            conditions.append(ownership)
        outcome = self._store.commit(
            conditions,
            [stores.Put(key=DIRECTORY_KEY, payload=payload)],
            timeout=timeout,
        )
        if isinstance(outcome, stores.Committed):
            self._set(directory, outcome.revision, began)
            return True
        if isinstance(outcome, stores.Conflict):
            self._note(outcome.items.get(DIRECTORY_KEY), began)
            return True
        if isinstance(outcome, stores.Refused):
            self._refused_at = began
            logs.write_warning(
                "record.refused", key=DIRECTORY_KEY, size=len(payload)
            )
            return True
        logs.write_warning(
            "store.failed",
            call="namespaces",
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )
        return False

    def _note(self, item: stores.Item | None, began: float) -> None:
        """Take the directory that the store has."""
        self._is_readable = True
        if item is None:
            self._set(namespaces.EMPTY, 0, began)
            return
        try:
            directory = namespaces.decode(item.payload)
        except errors.DocumentInvalidError as error:
            logs.write_warning(
                "document.rejected", key=item.key, reason=error.reason
            )
            self._is_readable = False
            directory = namespaces.EMPTY
        self._set(directory, item.revision, began)

    def _set(
        self, directory: namespaces.Directory, revision: int, began: float
    ) -> None:
        if directory != self._copy:
            logs.write_event(
                "namespaces.changed",
                namespaces=len(directory.entries),
                renamed=sorted(
                    f"{entry.namespace}: {entry.queue.name}"
                    for entry in directory.entries.values()
                    if entry.namespace != entry.queue.name
                ),
                removed=sorted(
                    entry.namespace
                    for entry in directory.entries.values()
                    if entry.removed_at
                ),
                revision=revision,
            )
        self._copy = directory
        self._revision = revision
        self._read_at = began
