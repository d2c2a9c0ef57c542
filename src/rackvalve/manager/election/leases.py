"""Opens the owner's leases, and compares the states of its keys.

The length of a lease covers recent delays.
"""

from __future__ import annotations

import dataclasses

from rackvalve import clocks
from rackvalve.manager.election import candidacy
from rackvalve.platform import store as stores

# Deviation from the wanted length up to which a lease is not replaced:
# replacing one takes two calls.
TOLERANCE_S = 0.3


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Lease:
    """A lease that was opened.

    :param identity: Number of the lease.
    :param length: Requested length in seconds.  The store may grant a longer
        lease, which is not replaced for that.
    """

    identity: int
    length: float


def open_lease(
    store: stores.Store, delays: candidacy.DelayHistory
) -> Lease | None:
    """Open a lease whose length covers this process's recent delays.

    :param store: The store.
    :param delays: The delays, to which those of the calls are added.
    :return: The lease; ``None`` if the store does not answer.
    """
    length = delays.choose_lease_length(clocks.read_steady())
    lease = _request_lease(store, delays, length)
    wanted = delays.choose_lease_length(clocks.read_steady())
    if lease is not None and wanted - length > TOLERANCE_S:
        # The delay of this call itself asks for a longer lease.
        return _request_lease(store, delays, wanted)
    return lease


def _request_lease(
    store: stores.Store, delays: candidacy.DelayHistory, length: float
) -> Lease | None:
    began = clocks.read_steady()
    lease = store.open_lease(length)
    if isinstance(lease, stores.Unavailable):
        return None
    now = clocks.read_steady()
    delays.record(now - began, now)
    return Lease(identity=lease.identity, length=length)


def has_revision(conflict: stores.Conflict, key: str, revision: int) -> bool:
    """Return whether a key in a conflict still has a revision.

    :param conflict: The conflict.
    :param key: The key.
    :param revision: The revision.
    """
    found = conflict.items.get(key)
    return found is not None and found.revision == revision


def is_same_key(one: stores.Item | None, other: stores.Item | None) -> bool:
    """Return whether a key was not removed between two states of it.

    :param one: The key's item; ``None`` if it is absent.
    :param other: The other state.
    """
    if one is None or other is None:
        return one is other
    return one.created == other.created
