"""Who owns the scheduling: one process of the site, by a key in the store.

The key's creation revision is the owner's fencing token, so that tokens
rise with each change of owner.  The key ends with its holder's lease, which
only says that another process may try; workers that have taken a greater
token are what ends an owner's rights.
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import TYPE_CHECKING

import gevent
from gevent import event

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager import timing
from rackvalve.manager import watcher as watchers
from rackvalve.platform import store as stores
from rackvalve import telemetry as telemetries

if TYPE_CHECKING:
    from rackvalve.manager import owner as owners

PREFIX = "owner/"
KEY = PREFIX + "scheduling"
# Candidates try at different times, so that one wins without conflict.
CANDIDACY_SPREAD_S = 0.02


class Election:
    """Takes the ownership whenever it is free.

    :param store: The store.
    :param name: Name of this process, unlike those of all others.
    :param make_owner: Makes the owner for a fencing token.
    :param may_own: Whether this process knows enough to own.
    :param telemetry: Counts the changes.
    :param on_contact: Called at each answer of the store.
    """

    def __init__(
        self,
        store: stores.Store,
        name: str,
        *,
        make_owner: Callable[[int], owners.Owner | None],
        may_own: Callable[[], bool],
        telemetry: telemetries.Telemetry,
        on_contact: Callable[[], None],
    ) -> None:
        self._store = store
        self._name = name
        self._make_owner = make_owner
        self._may_own = may_own
        self._telemetry = telemetry
        self._on_contact = on_contact
        self._holder: stores.Item | None = None
        self._known = False
        self._changed = event.Event()
        self._owner: owners.Owner | None = None
        self._lease = 0
        self._resigned = False
        self._tries = 0

    def run(self) -> None:
        """Take part, until the greenlet is killed."""
        watcher = watchers.Watcher(
            self._store,
            PREFIX,
            on_range=self._take_range,
            on_changes=self._take_changes,
            on_contact=self._on_contact,
        )
        gevent.spawn(watcher.run)
        while True:
            self._changed.wait(timing.OWNER_RENEWAL_S)
            self._changed.clear()
            if self._owner is not None:
                self._keep()
            elif self._known and self._holder is None and self._may_own():
                self._campaign()

    def resign(self) -> None:
        """Hand over at once and take no further part."""
        self._resigned = True
        owner, self._owner = self._owner, None
        if owner is None:
            return
        owner.stop("the process is to end")
        ended = self._store.end_lease(self._lease)
        logs.write_event(
            "ownership.resigned", fence=owner.fence, ended=str(ended)
        )

    def _take_range(self, items: tuple[stores.Item, ...]) -> None:
        self._known = True
        self._holder = next((item for item in items if item.key == KEY), None)
        self._changed.set()

    def _take_changes(self, changes: stores.Changes) -> None:
        newest = 0
        for item in changes.written:
            if item.key == KEY and item.revision > newest:
                newest = item.revision
                self._holder = item
        for key, revision in changes.removed:
            if key == KEY and revision > newest:
                newest = revision
                self._holder = None
        self._changed.set()

    def _campaign(self) -> None:
        gevent.sleep(random.uniform(0, CANDIDACY_SPREAD_S))
        if self._holder is not None or self._resigned:
            return
        lease = self._store.open_lease(timing.OWNER_LEASE_S)
        if isinstance(lease, stores.Unavailable):
            return
        self._tries += 1
        payload = f"{self._name} {self._tries}".encode()
        outcome = self._store.commit(
            [stores.Condition(key=KEY, revision=0)],
            [stores.Put(key=KEY, payload=payload, lease=lease.identity)],
        )
        fence = self._find_fence(outcome, payload)
        if fence is None or self._resigned:
            return
        self._lease = lease.identity
        logs.write_event("ownership.taken", fence=fence)
        self._telemetry.ownership.labels("taken").inc()
        self._owner = self._make_owner(fence)
        if self._owner is not None:
            self._owner.start()

    def _find_fence(self, outcome: object, payload: bytes) -> int | None:
        if isinstance(outcome, stores.Committed):
            return outcome.revision
        if isinstance(outcome, stores.Unknown):
            # If it takes effect later still, its lease has run out by then.
            found = self._store.read(KEY)
            if isinstance(found, stores.Item) and found.payload == payload:
                return found.revision
        return None

    def _keep(self) -> None:
        owner = self._owner
        assert owner is not None
        reason = owner.deposed
        if not reason and self._holder is not None:
            if self._holder.created > owner.fence:
                reason = "another process holds the ownership key"
        if not reason:
            reason = self._renew(owner)
        if reason:
            owner.stop(reason)
            logs.write_warning(
                "ownership.lost", fence=owner.fence, reason=reason
            )
            self._telemetry.ownership.labels("lost").inc()
            self._owner = None
            self._changed.set()

    def _renew(self, owner: owners.Owner) -> str:
        """Renew the lease.

        :return: Why the ownership is lost, empty if it is not.
        """
        renewed = self._store.renew_lease(self._lease)
        if isinstance(renewed, stores.Unavailable):
            return ""
        owner.note_contact(clocks.read_steady())
        self._on_contact()
        if renewed and self._holder is None and self._known:
            return self._check_key(owner)
        return "" if renewed else "the lease is over"

    def _check_key(self, owner: owners.Owner) -> str:
        """Look whether the key is really gone though the lease runs."""
        found = self._store.read(KEY)
        if isinstance(found, stores.Item):
            self._holder = found
            if found.created == owner.fence:
                return ""
            return "another process holds the ownership key"
        if isinstance(found, stores.Missing):
            return "the ownership key was removed"
        return ""
