"""Revalidation of the configuration that this process holds.

Used by the job API.  A watch reports each change, but may be stalled: its
connection cut off silently, or a large configuration still being read over a
slow link.  Then the revisions are compared in the store, by one call at a time
however many callers wait.
"""

from __future__ import annotations

import gevent
from gevent import event

from rackvalve import clocks
from rackvalve.manager.api import relaying
from rackvalve.manager import timing
from rackvalve.manager import view as views
from rackvalve.platform import documents
from rackvalve.platform import store as stores


class Revalidator:
    """Compares the configuration held with the store's.

    :param store: The store.
    :param view: The operator's documents as this process knows them.
    """

    __slots__ = (
        "_store",
        "_view",
        "_comparison",
        "_compared",
    )

    def __init__(self, store: stores.Store, view: views.View) -> None:
        self._store = store
        self._view = view
        # Set to whether the store has answered when the comparison in flight
        # has ended; ``None`` without one.
        self._comparison: event.AsyncResult | None = None
        # When the last comparison began, in seconds.
        self._compared = float("-inf")

    def confirm(self, since: float, wait: relaying.StoreWait) -> bool:
        """Make sure that the view was current at a time or later.

        :param since: The time, in seconds.
        :param wait: How long to wait for the store.
        :return: Whether the view is confirmed; if not, the store does not
            answer.
        """
        while self._view.confirmed_at < since:
            now = clocks.read_steady()
            left = wait.deadline - now
            if (
                wait.is_over(now)
                or self._view.silence(now) > timing.MAX_STORE_SILENCE_S
            ):
                return False
            pause = self._compared + timing.REVALIDATION_SPACING_S - now
            if self._comparison is not None:
                _note_comparison(wait, now, self._comparison.wait(left))
            elif pause > 0:
                gevent.sleep(min(left, pause))
            else:
                answered = self._compare(wait.choose_timeout(now))
                _note_comparison(wait, now, answered)
                if not answered:
                    gevent.sleep(min(left, timing.STORE_RETRY_DELAY_S))
        return True

    def _compare(self, timeout: float | None) -> bool:
        """Compare once, and apply a newer configuration if there is one.

        :param timeout: Longest wait for the store, in seconds; ``None`` for
            the client's default.
        :return: Whether the store has answered.
        """
        ended = self._comparison = event.AsyncResult()
        began = self._compared = clocks.read_steady()
        answered = False
        try:
            # A commit that writes nothing: the store compares the revisions,
            # and returns the configuration only if the revision differs.
            outcome = self._store.commit(
                [
                    stores.Condition(
                        key=documents.CONFIGURATION_KEY,
                        revision=self._view.revision,
                    )
                ],
                [],
                timeout=timeout,
            )
            answered = isinstance(outcome, (stores.Committed, stores.Conflict))
        finally:
            self._comparison = None
            ended.set(answered)
        if not answered:
            return False
        if isinstance(outcome, stores.Conflict):
            for item in outcome.items.values():
                self._view.apply_item(item)
        self._view.note_contact()
        self._view.note_confirmed(began)
        return True


def _note_comparison(
    wait: relaying.StoreWait, began: float, answered: bool | None
) -> None:
    """Tell a request's wait how a comparison ended.

    :param wait: The wait.
    :param began: When it began to wait for the comparison, in seconds.
    :param answered: Whether the store has answered; ``None`` if the comparison
        has not ended.
    """
    if answered:
        wait.note_answer()
    else:
        wait.note_failure(began)
