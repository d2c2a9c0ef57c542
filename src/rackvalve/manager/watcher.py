"""Watcher of a prefix of the store: reads all items, then each change.

A store that loses its history may leave watches unanswered for more than a
second while it answers all other calls.  So a watch that timed out is followed
by a read of all items.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import gevent

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager import timing
from rackvalve.platform import store as stores

# After a failed watch the slack decays by this factor with each answer, and is
# back at its usual value within some 20 answers.
SLACK_DECAY = 0.95


T = TypeVar("T")


def _ignore_time(at: float) -> None:
    """Take no note of a time."""


class Watcher:
    """Watches one prefix of the store.

    :param store: The store.
    :param prefix: The prefix.
    :param on_range: Called with all items, at first and after lost history.
    :param on_changes: Called with each change.
    :param on_contact: Called at each answer of the store.
    :param on_confirmed: Called after an answer was passed on, with a time in
        seconds at which nothing newer was in the store.
    :param pace: How long the watches wait.
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
        on_confirmed: Callable[[float], None] = _ignore_time,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._on_range = on_range
        self._on_changes = on_changes
        self._on_contact = on_contact
        self._on_confirmed = on_confirmed
        self._pace = pace
        self._slack = pace.slack
        # The latest time, in seconds, of which everything in the store is
        # known to have been passed on.
        self.confirmed_at = float("-inf")
        self._failing = False
        # Whether the last watch timed out.
        self._timed_out = False
        self._revision = -1

    def run(self) -> None:
        """Watch the prefix, until the greenlet is killed."""
        while True:
            if self._revision < 0 or self._timed_out:
                self._timed_out = False
                self._read_all()
            else:
                self._watch()

    def read(self) -> bool:
        """Read all items once, before :meth:`run`.

        :return: Whether the store answered.
        """
        self._read_all()
        return self._revision >= 0

    def adopt(self, found: stores.Range, confirmed_at: float) -> None:
        """Pass on items that were read elsewhere, before :meth:`run`.

        :param found: All items as of a revision.
        :param confirmed_at: A time at which they were current, in seconds.
        """
        self._apply(self._on_range, found.items, found.revision)
        self._confirm(confirmed_at)

    def _read_all(self) -> None:
        began = clocks.read_steady()
        found = self._store.read_range(self._prefix)
        if isinstance(found, stores.Unavailable):
            self._log_failure("range", found.reason)
            return
        self._record_success()
        self._apply(self._on_range, found.items, found.revision)
        self._confirm(began)

    def _watch(self) -> None:
        # A connection that is cut silently is noticed only by the timeout.
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
            # The store may only be slower than expected: allow it more time.
            self._slack = min(2 * self._slack, self._pace.max_slack)
            taken = clocks.read_steady() - began
            self._timed_out = taken >= self._pace.wait
            self._log_failure("watch", changes.reason)
            return
        self._slack = max(self._pace.slack, SLACK_DECAY * self._slack)
        self._record_success()
        if changes.written or changes.removed:
            self._apply(self._on_changes, changes, changes.revision)
            self._confirm(began)
            return
        self._revision = max(self._revision, changes.revision)
        # The store sends an answer without changes at the end of the wait,
        # and this process may read it much later.
        now = clocks.read_steady()
        self._confirm(min(now, began + self._pace.wait))

    def _apply(
        self, apply: Callable[[T], None], found: T, revision: int
    ) -> None:
        """Pass on what the store has answered, up to a revision.

        If that fails, everything is read again: part of it may be missing.
        """
        known, self._revision = self._revision, -1
        apply(found)
        self._revision = max(known, revision)

    def _confirm(self, at: float) -> None:
        """Note that all of a time has been passed on, after it was.

        :param at: The time, in seconds.
        """
        self.confirmed_at = max(self.confirmed_at, at)
        self._on_confirmed(self.confirmed_at)

    def _log_failure(self, call: str, reason: str) -> None:
        if not self._failing:
            logs.write_warning(
                "dependency.lost",
                dependency="store",
                call=call,
                prefix=self._prefix,
                reason=reason,
            )
        self._failing = True
        if not self._timed_out:
            gevent.sleep(timing.STORE_RETRY_DELAY_S)

    def _record_success(self) -> None:
        if self._failing:
            logs.write_event(
                "dependency.regained", dependency="store", prefix=self._prefix
            )
        self._failing = False
        self._on_contact()
