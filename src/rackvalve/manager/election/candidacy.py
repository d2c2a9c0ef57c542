"""Rules of the election: order of the candidates, length of the lease.

The scheduling runs in one process.  On a VM with half a core it falls behind:
reports wait, leases expire, jobs are late.  So processes on smaller VMs let
larger ones go first, and a process on a much larger VM requests a handover.
:mod:`rackvalve.manager.election.election` uses these rules.
"""

from __future__ import annotations

import collections
import dataclasses

import msgspec

from rackvalve import codec
from rackvalve import errors
from rackvalve import logs
from rackvalve.manager import timing

# A VM with this many times the owner's cores requests a handover.  For a
# smaller difference the half second without starts would not pay.
HANDOVER_CORES_RATIO = 1.5
# Delay of the smallest VM before it takes a free ownership: a larger one needs
# three calls to the store, of 4 ms each.
MAX_CANDIDACY_DELAY_S = 0.25
# After an outage, processes learn at different times that the ownership is
# free.  This delay lets the previous owner go on, which has all state loaded:
# it retries every 0.65 s while the store is silent, and needs two more calls.
# A new owner would have to read all jobs and find all workers first.
PREVIOUS_OWNER_GRACE_S = 0.7
# A handover is requested only from an owner that is older than this: a newer
# one may still be loading, or not yet have seen another request.
MIN_OWNERSHIP_AGE_S = 2.0


class Holder(msgspec.Struct, frozen=True, kw_only=True):
    """Holder of the ownership, or process that requests it, as stored.

    :param process: Name of the process; begins with its VM.
    :param attempt: Number of the process's write, which makes it unique.
    :param cores: Processor of its VM, in cores of the usual speed.
    """

    process: str
    attempt: int
    cores: float

    def encode(self) -> bytes:
        """Return the value to be stored."""
        return msgspec.json.encode(self)


def read_holder(payload: bytes) -> Holder | None:
    """Decode a stored holder.

    :param payload: The stored value.
    :return: The holder; ``None`` for the value of another release.
    """
    try:
        return codec.decode_as(payload, Holder)
    except errors.DocumentInvalidError as error:
        logs.write_warning(
            "document.rejected", key="owner/", reason=error.reason
        )
        return None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class KnownCores:
    """Cores of the own VM and of the largest VM seen so far.

    :param own: Processor of the own VM, in cores.
    :param largest: Processor of the largest VM of any holder, in cores.
    """

    own: float
    largest: float

    def include(self, holder: Holder | None) -> KnownCores:
        """Return the known cores with those of another holder.

        :param holder: The holder; ``None`` changes nothing.
        """
        if holder is None or holder.cores <= self.largest:
            return self
        return KnownCores(own=self.own, largest=holder.cores)


def compute_candidacy_delay(
    known_cores: KnownCores, since_recovery: float
) -> float:
    """Return how long a process waits before it takes a free ownership.

    :param known_cores: Cores of the own VM and of the largest one.
    :param since_recovery: Time since the first answer of the store after an
        outage, in seconds; infinity if there was none.
    :return: Time in seconds; 0 on the largest VM without a recent outage.
    """
    grace = max(0.0, PREVIOUS_OWNER_GRACE_S - since_recovery)
    if known_cores.largest <= known_cores.own:
        return grace
    return grace + MAX_CANDIDACY_DELAY_S * (
        1 - known_cores.own / known_cores.largest
    )


def should_request_handover(
    known_cores: KnownCores, holder: Holder | None, ownership_age: float
) -> bool:
    """Return whether a process should request a handover from the owner.

    :param known_cores: Cores of the own VM and of the largest one.
    :param holder: The present owner; ``None`` if its value is unreadable.
    :param ownership_age: Time since it was first seen as the owner, in
        seconds.
    """
    if holder is None or ownership_age < MIN_OWNERSHIP_AGE_S:
        return False
    return known_cores.own >= HANDOVER_CORES_RATIO * holder.cores


class DelayHistory:
    """Recent delays of this process, which determine the length of its lease.

    On a busy VM a process stalls for up to a second now and then although
    nothing has failed.  A lease of one second expires in each such stall: with
    64 busy processes beside a site on 16 cores the ownership changed five
    times in 25 s, and jobs stood still for up to 4.9 s.
    """

    __slots__ = ("_delays",)

    def __init__(self) -> None:
        # When each delay ended, and its length, in seconds.
        self._delays: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def record(self, delay: float, now: float) -> None:
        """Record the delay of an action of this process.

        :param delay: Time beyond the action's expected one, in seconds.
        :param now: Present time, in seconds.
        """
        if delay >= timing.MIN_DELAY_S:
            self._delays.append((now, delay))

    def choose_lease_length(self, now: float) -> float:
        """Return how long the owner's lease should be, in seconds.

        :param now: Present time, in seconds.
        """
        while (
            self._delays
            and now - self._delays[0][0] > timing.DELAY_RETENTION_S
        ):
            self._delays.popleft()
        worst = max((delay for _, delay in self._delays), default=0.0)
        length = timing.MIN_OWNER_LEASE_S + timing.LEASE_PER_DELAY * worst
        return min(timing.MAX_OWNER_LEASE_S, length)
