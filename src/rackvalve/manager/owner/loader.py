"""Loads the records that a new owner needs, from a replica if there is one.

A replica's prefix is used only once it is known to hold all changes up to the
fencing token.  Otherwise the prefix is read, as without a replica.
"""

from __future__ import annotations

import gc

import gevent

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager.standby import replica as replicas
from rackvalve.manager import timing
from rackvalve.manager import watcher as watchers
from rackvalve.platform import store as stores


class Loader:
    """Loads the records of one owner.

    :param store: The store.
    :param fence: Fencing token.
    :param replica: The replica of this process; ``None`` without one.
    """

    __slots__ = ("_store", "_fence", "_replica", "_copied", "_began")

    def __init__(
        self,
        store: stores.Store,
        fence: int,
        replica: replicas.Replica | None,
    ) -> None:
        self._store = store
        self._fence = fence
        self._replica = replica
        # The prefixes that were taken from the replica.
        self._copied: list[str] = []
        self._began = clocks.read_steady()

    def read_all(self, prefix: str) -> tuple[stores.Item, ...]:
        """Read all items below a prefix, until the store answers.

        :param prefix: The prefix.
        """
        while True:
            found = self._store.read_range(prefix)
            if isinstance(found, stores.Range):
                return found.items
            gevent.sleep(timing.STORE_RETRY_DELAY_S)

    def load(self, prefix: str) -> tuple[stores.Item, ...]:
        """Return all items below a prefix, from the replica if possible.

        :param prefix: A prefix of the replica.
        """
        found = self._copy(prefix)
        return self.read_all(prefix) if found is None else found.items

    def load_watcher(self, watcher: watchers.Watcher, prefix: str) -> None:
        """Pass all items below a prefix to its watcher.

        :param watcher: The watcher, which continues from there.
        :param prefix: The prefix, which is one of the replica.
        """
        began = clocks.read_steady()
        found = self._copy(prefix)
        if found is not None:
            # The collector runs again and again while thousands of objects
            # are created that all stay.
            gc.disable()
            try:
                watcher.adopt(found, began)
            finally:
                gc.enable()
            return
        while not watcher.read():
            gevent.sleep(timing.STORE_RETRY_DELAY_S)

    def log_copied(self) -> None:
        """Log what was taken from the replica, and drop it."""
        if self._replica is not None:
            logs.write_event(
                "standby.used",
                fence=self._fence,
                copied=self._copied,
                items=self._replica.count,
                seconds=round(clocks.read_steady() - self._began, 3),
            )
        self._replica = None

    def _copy(self, prefix: str) -> stores.Range | None:
        """Return a prefix's items as of the token or later, if possible."""
        if self._replica is None:
            return None
        found = self._replica.bring_up_to(prefix, self._fence)
        if found is not None:
            self._copied.append(prefix)
        return found
