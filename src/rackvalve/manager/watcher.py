"""Follows a prefix of the store: all items once, then each change.

A store that loses its history may say nothing on watches for more than a
second while it answers all other calls.  So a watch that was waited for in
vain is followed by a reading of all items.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager import timing
from rackvalve.platform import store as stores

# After a watch that failed, the next answers bring its time limit back to the
# usual one within some 20 of them.
SLACK_DECAY = 0.95


class Watcher:
    """Follows one prefix.

    :param store: The store.
    :param prefix: The prefix.
    :param on_range: Takes all items, at first and after lost history.
    :param on_changes: Takes each change.
    :param on_contact: Called at each answer of the store.
    :param pace: How long its watches wait.
    """

    def __init__(
        self,
        store: stores.Store,
        prefix: str,
        *,
        pace: timing.WatchTiming = timing.DEFAULT_WATCH,
        on_range: Callable[[tuple[stores.Item, ...]], None],
        on_changes: Callable[[stores.Changes], None],
        on_contact: Callable[[], None],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._on_range = on_range
        self._on_changes = on_changes
        self._on_contact = on_contact
        self._pace = pace
        self._slack = pace.slack
        # When all that the store held is known to have been told, in seconds.
        self.confirmed_at = float("-inf")
        self._failing = False
        # Whether a watch was waited for in vain.
        self._silent = False
        self._revision = -1

    def run(self) -> None:
        """Follow the prefix, until the greenlet is killed."""
        while True:
            if self._revision < 0 or self._silent:
                self._silent = False
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
        began = clocks.read_steady()
        found = self._store.read_range(self._prefix)
        if isinstance(found, stores.Unavailable):
            self._note_failure("range", found.reason)
            return
        self._note_success()
        self._revision = max(self._revision, found.revision)
        self._on_range(found.items)
        self.confirmed_at = began

    def _wait(self) -> None:
        # A connection that is cut silently shows only when the wait is over.
        began = clocks.read_steady()
        changes = self._store.watch(
            self._prefix,
            self._revision,
            self._pace.wait,
            slack=self._slack,
        )
        if isinstance(changes, stores.HistoryLost):
            logs.write_warning(
                "watch.restarted", prefix=self._prefix, after=self._revision
            )
            self._revision = -1
            return
        if isinstance(changes, stores.Unavailable):
            # The store may only be slower than was thought.
            self._slack = min(2 * self._slack, self._pace.max_slack)
            taken = clocks.read_steady() - began
            self._silent = taken >= self._pace.wait
            self._note_failure("watch", changes.reason)
            return
        self._slack = max(self._pace.slack, SLACK_DECAY * self._slack)
        self._note_success()
        self._revision = max(self._revision, changes.revision)
        if changes.written or changes.removed:
            self._on_changes(changes)
        self.confirmed_at = began

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
        if not self._silent:
            gevent.sleep(timing.STORE_RETRY_DELAY_S)

    def _note_success(self) -> None:
        if self._failing:
            logs.write_event(
                "dependency.regained", dependency="store", prefix=self._prefix
            )
        self._failing = False
        self._on_contact()
