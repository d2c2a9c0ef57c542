"""Which process should own the scheduling: one with enough processor.

All processor time of the scheduling is spent by one process.  On a VM with
half a core it falls behind: reports wait, leases run out, jobs are late.  So
a process on a smaller VM lets larger ones go first, and one on a much larger
VM asks the owner to hand over.
"""

from __future__ import annotations

import collections
import dataclasses

import msgspec

from rackvalve import logs
from rackvalve.manager import timing

# The owner is asked to hand over by a VM with so many times its processor.
# Handing over costs half a second without starts; for less it is not worth it.
HANDOVER_CORES_RATIO = 1.5
# How long the smallest VM waits before it takes a free ownership, in seconds:
# a larger one needs three calls to the store, of 4 ms each.
MAX_CANDIDACY_DELAY_S = 0.25
# After an outage processes hear of the free ownership at different
# times.  The owner before, which knows all, is left this long to go on, in
# seconds: it asks every 0.65 s while the store is silent, and needs two more
# calls.  A new owner would read all jobs and find all workers first.
PREVIOUS_OWNER_GRACE_S = 0.7
# An owner is asked to hand over only after this time, in seconds: until then
# it may be loading, or about to hear of another request.
MIN_OWNERSHIP_AGE_S = 2.0


class Holder(msgspec.Struct, frozen=True, kw_only=True):
    """Who holds the ownership, or asks for it, as the store keeps it.

    :param process: Name of the process; begins with its VM.
    :param attempt: Counts what the process has written so far.
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
    :return: The holder, or ``None`` for a value of another release.
    """
    try:
        return msgspec.json.decode(payload, type=Holder)
    except msgspec.DecodeError as error:
        logs.write_warning(
            "document.rejected", key="owner/", reason=str(error)
        )
        return None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class KnownCores:
    """What a process knows of its own VM and of the others.

    :param own: Processor of its own VM, in cores.
    :param largest: The most that any holder so far has told, in cores.
    """

    own: float
    largest: float

    def include(self, holder: Holder | None) -> KnownCores:
        """Return the known_cores with another holder known.

        :param holder: The holder; ``None`` changes nothing.
        """
        if holder is None or holder.cores <= self.largest:
            return self
        return KnownCores(own=self.own, largest=holder.cores)


def compute_candidacy_delay(
    known_cores: KnownCores, since_return: float
) -> float:
    """Return how long a process waits before it takes a free ownership.

    :param known_cores: The process's own VM and the others.
    :param since_return: Time since the store was first heard again after an
        outage, in seconds; infinity if there was none.
    :return: Time in seconds; 0 on the largest VM that was seen.
    """
    grace = max(0.0, PREVIOUS_OWNER_GRACE_S - since_return)
    if known_cores.largest <= known_cores.own:
        return grace
    return grace + MAX_CANDIDACY_DELAY_S * (
        1 - known_cores.own / known_cores.largest
    )


def should_request_handover(
    known_cores: KnownCores, holder: Holder | None, held_for: float
) -> bool:
    """Return whether a process should ask the owner to hand over.

    :param known_cores: The process's own VM and the others.
    :param holder: The present owner; ``None`` if it told nothing of itself.
    :param held_for: How long it has been seen as the owner, in seconds.
    """
    if holder is None or held_for < MIN_OWNERSHIP_AGE_S:
        return False
    return known_cores.own >= HANDOVER_CORES_RATIO * holder.cores


class DelayHistory:
    """How late this process has lately been.

    On a busy machine a process stands still for up to a second now and then,
    though nothing has failed.  A lease of one second then ends with each such
    pause: the ownership changed five times in 25 s, and jobs stood still for
    up to 4.9 s (64 busy processes beside a site on 16 cores).
    """

    __slots__ = ("_late",)

    def __init__(self) -> None:
        # When it was late, and by how much, in seconds.
        self._late: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def note(self, late: float, now: float) -> None:
        """Note by how much something that this process did was late.

        :param late: Time beyond what it was to take, in seconds.
        :param now: Present time, in seconds.
        """
        if late >= timing.MIN_DELAY_S:
            self._late.append((now, late))

    def choose_lease_length(self, now: float) -> float:
        """Return how long the owner's lease should be, in seconds.

        :param now: Present time, in seconds.
        """
        while self._late and now - self._late[0][0] > timing.DELAY_RETENTION_S:
            self._late.popleft()
        worst = max((late for _, late in self._late), default=0.0)
        length = timing.MIN_OWNER_LEASE_S + timing.LEASE_PER_DELAY * worst
        return min(timing.MAX_OWNER_LEASE_S, length)
