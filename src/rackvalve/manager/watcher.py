"""Follows a prefix of the store: all items once, then each change."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from rackvalve import logs
from rackvalve.manager import timing
from rackvalve.platform import store as stores


class Watcher:
    """Follows one prefix.

    :param store: The store.
    :param prefix: The prefix.
    :param on_range: Takes all items, at first and after lost history.
    :param on_changes: Takes each change.
    :param on_contact: Called at each answer of the store.
    """

    def __init__(
        self,
        store: stores.Store,
        prefix: str,
        *,
        on_range: Callable[[tuple[stores.Item, ...]], None],
        on_changes: Callable[[stores.Changes], None],
        on_contact: Callable[[], None],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._on_range = on_range
        self._on_changes = on_changes
        self._on_contact = on_contact
        self._failing = False
        self._revision = -1

    def run(self) -> None:
        """Follow the prefix, until the greenlet is killed."""
        while True:
            if self._revision < 0:
                self._read_all()
            else:
                self._wait()

    def read(self) -> bool:
        """Read all items once, before :meth:`run`.

        :return: Whether the store answered.
        """
        self._read_all()
        return self._revision >= 0

    def _read_all(self) -> None:
        found = self._store.read_range(self._prefix)
        if isinstance(found, stores.Unavailable):
            self._note_failure("range", found.reason)
            return
        self._note_success()
        self._revision = found.revision
        self._on_range(found.items)

    def _wait(self) -> None:
        # A connection that is cut silently shows only when the wait is over;
        # while calls fail, the waits are short.
        changes = self._store.watch(
            self._prefix, self._revision, timing.WATCH_WAIT_S
        )
        if isinstance(changes, stores.HistoryLost):
            logs.write_warning(
                "watch.restarted", prefix=self._prefix, after=self._revision
            )
            self._revision = -1
            return
        if isinstance(changes, stores.Unavailable):
            self._note_failure("watch", changes.reason)
            return
        self._note_success()
        self._revision = max(self._revision, changes.revision)
        if changes.written or changes.removed:
            self._on_changes(changes)

    def _note_failure(self, call: str, reason: str) -> None:
        if not self._failing:
            logs.write_warning(
                "dependency.lost",
                dependency="store",
                call=call,
                prefix=self._prefix,
                reason=reason,
            )
        self._failing = True
        gevent.sleep(timing.STORE_PAUSE_S)

    def _note_success(self) -> None:
        if self._failing:
            logs.write_event(
                "dependency.regained", dependency="store", prefix=self._prefix
            )
        self._failing = False
        self._on_contact()
