"""Order in which registered managers take a free ownership.

The standbys hold the owner's view and go first; the largest other VMs follow.
The term key decides between managers that go at the same time because their
views of the members differ: the delays only make that rare.
"""

from __future__ import annotations

from collections.abc import Sequence

from rackvalve.manager.peers import membership as memberships
from rackvalve.manager import timing

# Number of standbys: one more than the first, as both the owner and its first
# standby may be lost.
STANDBYS = 2
# Delay of each standby, the first in line first.  The first one needs three
# calls to the store, of 4 ms each, after a random delay of up to 20 ms.
STANDBY_DELAYS_S = (0.0, 0.06)
# Delay of the other managers on the largest VMs.
LARGEST_DELAY_S = 0.25
# Least delay of those on smaller VMs, and what is added on the smallest one.
SMALLER_DELAY_S = 0.5
SMALLER_SPREAD_S = 0.25
# How long the ownership stays free before a manager takes it whose VM is
# smaller than the largest recently known one: it takes seconds to load the
# jobs there, and a handover follows.
SMALLER_MIN_FREE_S = 1.5
# After an outage the previous owner goes first, which has all state loaded.
# It learns of the recovery up to a probe's interval, 0.25 s, after the others,
# and needs three calls.
PREVIOUS_OWNER_GRACE_S = 0.4


def compute_delay(
    members: Sequence[memberships.Member],
    own: str,
    cores: float,
    *,
    previous_owner: str,
    since_recovery: float,
    free_for: float,
) -> float:
    """Return how long a manager waits before it takes a free ownership.

    :param members: The recently known managers; at least one.
    :param own: Name of the own process.
    :param cores: Processor of the own VM, in cores of the usual speed.
    :param previous_owner: Name of the last known owner's process, which holds
        nobody up; empty if there was none.
    :param since_recovery: Time since the first answer of the store after an
        outage, in seconds; infinity if there was none.
    :param free_for: How long the ownership is known to be free, in seconds.
    :return: Time in seconds.
    """
    grace = max(0.0, PREVIOUS_OWNER_GRACE_S - since_recovery)
    standbys = memberships.rank_standbys(members, previous_owner, STANDBYS)
    others = [one.cores for one in members if one.process != previous_owner]
    largest = max(others, default=cores)
    if cores < largest:
        delay = SMALLER_DELAY_S + SMALLER_SPREAD_S * (1 - cores / largest)
        return grace + max(delay, SMALLER_MIN_FREE_S - free_for)
    for standby, delay in zip(standbys, STANDBY_DELAYS_S, strict=False):
        if standby.process == own:
            return grace + delay
    return grace + LARGEST_DELAY_S


def should_hand_over_loading(
    members: Sequence[memberships.Member],
    cores: float,
    *,
    owned_for: float,
    since_handover: float,
) -> bool:
    """Return whether an owner that is still loading should hand over.

    :param members: The registered managers.
    :param cores: Processor of the owner's VM, in cores of the usual speed.
    :param owned_for: Time since it took the ownership, in seconds.
    :param since_handover: Time since it last handed over for this reason, in
        seconds; infinity if it never did.
    """
    if owned_for <= timing.MAX_LOADING_S:
        return False
    if since_handover <= timing.LOADING_HANDOVER_SPACING_S:
        return False
    return any(member.cores > cores for member in members)
