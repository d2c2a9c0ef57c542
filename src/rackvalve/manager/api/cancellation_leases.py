"""Leases of the cancellations of jobs that the store does not have.

No owner removes these records, as they belong to no job: they end with leases
that this process opens and never renews.
"""

from __future__ import annotations

import math

from gevent import lock

from rackvalve.manager import timing
from rackvalve.platform import store as stores

# The store's limit on the length of a lease, in seconds.
MAX_LEASE_S = 600.0


class CancellationLeases:
    """Opens a lease for all cancellations of the next minute, and counts them.

    :param store: The store.
    :param keep: Shortest time that each record stays, in seconds.
    """

    __slots__ = ("_store", "_duration", "_turn", "_lease", "_began", "_count")

    def __init__(self, store: stores.Store, keep: float) -> None:
        self._store = store
        self._duration = min(
            MAX_LEASE_S, keep + timing.CANCELLATION_LEASE_PERIOD_S
        )
        # One greenlet at a time opens a lease.
        self._turn = lock.BoundedSemaphore()
        self._lease: stores.Lease | None = None
        # When the present period began, in seconds, and the records in it.
        self._began = float("-inf")
        self._count = 0

    def take(self, now: float) -> bool:
        """Count one more record, unless there are too many in this period.

        :param now: Present time, in seconds.
        """
        if now - self._began >= timing.CANCELLATION_LEASE_PERIOD_S:
            self._began = now
            self._count = 0
            self._lease = None
        if self._count >= timing.MAX_CANCELLATIONS_PER_LEASE:
            return False
        self._count += 1
        return True

    def find_wait(self, now: float) -> int:
        """Return after how many seconds another record may be counted.

        :param now: Present time, in seconds.
        """
        end = self._began + timing.CANCELLATION_LEASE_PERIOD_S
        return max(1, math.ceil(end - now))

    def find_lease(self) -> stores.Lease | stores.Unavailable:
        """Return the lease of this period; open it if there is none."""
        with self._turn:
            if self._lease is not None:
                return self._lease
            began = self._began
            found = self._store.open_lease(self._duration)
            if isinstance(found, stores.Lease) and began == self._began:
                self._lease = found
            return found

    def forget(self, lease: stores.Lease) -> None:
        """Forget a lease that the store no longer has.

        :param lease: The lease.
        """
        if self._lease is lease:
            self._lease = None
