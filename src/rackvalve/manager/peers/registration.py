"""Keeps this manager's registration in the store."""

from __future__ import annotations

from collections.abc import Callable

from gevent import event
import msgspec

from rackvalve import logs
from rackvalve.manager.peers import membership
from rackvalve.manager import timing
from rackvalve.platform import store as stores

# Length of the registration's lease, in seconds: two renewals may be lost
# before peers take the manager to have left.
LEASE_S = 3.0
RENEWAL_INTERVAL_S = 1.0


class Registration:
    """Registers a manager under a lease of its own, again when that ended.

    :param store: The store.
    :param member: What is registered.
    :param may_register: Whether this manager is able to serve its peers.
    """

    __slots__ = (
        "_store",
        "_member",
        "_may_register",
        "_lease",
        "_revision",
        "_ended",
        "_is_changed",
        "_due",
    )

    def __init__(
        self,
        store: stores.Store,
        member: membership.Member,
        *,
        may_register: Callable[[], bool],
    ) -> None:
        self._store = store
        self._member = member
        self._may_register = may_register
        # Number of the lease under which it is registered; 0 for none.
        self._lease = 0
        # Last known revision of the registration; 0 if it does not exist.
        self._revision = 0
        self._ended = False
        # Whether something else is to be registered.
        self._is_changed = False
        # Set when the next attempt is due before its time.
        self._due = event.Event()

    def set_address(self, address: str) -> None:
        """Register another address for relayed requests.

        :param address: ``IP:PORT``; empty for none.
        """
        if address == self._member.address:
            return
        self._member = msgspec.structs.replace(self._member, address=address)
        self._is_changed = True
        self._due.set()

    def run(self) -> None:
        """Register and renew the lease, until the greenlet is killed."""
        while not self._ended:
            if self._is_changed and self._lease:
                self._write(self._lease)
            elif self._lease:
                self._renew()
            elif self._may_register():
                self._register()
            self._due.wait(
                RENEWAL_INTERVAL_S
                if self._lease
                else timing.STORE_RETRY_DELAY_S
            )
            self._due.clear()

    def retry_now(self) -> None:
        """Renew the lease at once, as the store answers again."""
        self._due.set()

    def end(self) -> None:
        """End the registration; peers learn of it at once."""
        self._ended = True
        lease, self._lease = self._lease, 0
        if lease:
            self._store.end_lease(lease)

    def _register(self) -> None:
        lease = self._store.open_lease(LEASE_S)
        if isinstance(lease, stores.Unavailable):
            return
        if self._ended:
            self._store.end_lease(lease.identity)
            return
        self._write(lease.identity)

    def _write(self, lease: int) -> None:
        """Write the registration.

        :param lease: Number of the lease under which it is written.
        """
        self._is_changed = False
        key = membership.make_key(self._member.process)
        # A commit that was cut may take effect after a later one.  Without the
        # condition it would bind the key to a lease that is not renewed.
        outcome = self._store.commit(
            [stores.Condition(key=key, revision=self._revision)],
            [
                stores.Put(
                    key=key,
                    payload=self._member.encode(),
                    lease=lease,
                )
            ],
        )
        if isinstance(outcome, stores.Committed):
            self._revision = outcome.revision
        if isinstance(outcome, stores.Conflict):
            found = outcome.items.get(key)
            self._revision = found.revision if found is not None else 0
        # An unanswered commit may have taken effect: the key ends with this
        # lease, which is not renewed, and the next attempt writes it again.
        if not isinstance(outcome, stores.Committed) or self._ended:
            self._lease = 0
            return
        self._lease = lease
        logs.write_event(
            "member.registered",
            process=self._member.process,
            address=self._member.address,
            cores=self._member.cores,
        )

    def _renew(self) -> None:
        renewed = self._store.renew_lease(
            self._lease, timing.RENEWAL_TIMEOUT_S
        )
        if renewed is False:
            # The registration has ended with its lease.
            self._lease = self._revision = 0
