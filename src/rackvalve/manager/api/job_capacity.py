"""Decides whether the owner of the scheduling has memory for another job.

The owner publishes the weight of the jobs that it holds, and its capacity.  A
manager adds what it has accepted since.  Half of the capacity is divided
evenly among the queues, so that no queue's jobs keep those of the others out;
the other half is for whoever comes first.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

# Part of the capacity that is divided among the queues.
GUARANTEED_SHARE = 0.5
# Part of the capacity that one manager accepts before it reads again what the
# owner holds, and how old that may be when more is accepted, in seconds.
UNREAD_SHARE = 1 / 64
MAX_AGE_S = 1.0
# Part of the capacity that one manager accepts before the owner has published
# it: the other managers do not know of these jobs.
UNPUBLISHED_SHARE = 1 / 16


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Load:
    """The jobs that an owner holds.

    :param held: Weight of its jobs by queue, in bytes.
    :param capacity: Weight that it can hold, in bytes.
    """

    held: Mapping[str, int]
    capacity: int


class JobCapacity:
    """What one manager knows of the owner's capacity.

    :param get_job_bytes: Returns the weight that any owner can hold, as far as
        this manager knows, in bytes.
    """

    __slots__ = (
        "_get_job_bytes",
        "_load",
        "_read_at",
        "_accepted",
        "_unread",
    )

    def __init__(self, get_job_bytes: Callable[[], int]) -> None:
        self._get_job_bytes = get_job_bytes
        self._load: Load | None = None
        # When the load was read last, in seconds.
        self._read_at = float("-inf")
        # Weight of the jobs that this process has accepted since that, and
        # since the reading before it, by queue: the owner publishes at an
        # interval, and may not have known the former.
        self._accepted: dict[str, int] = {}
        self._unread: dict[str, int] = {}

    def needs_load(self, weight: int, now: float) -> bool:
        """Return whether the load must be read before a job is accepted.

        :param weight: Weight of the job, in bytes.
        :param now: Present time, in seconds.
        """
        accepted = sum(self._accepted.values()) + weight
        if accepted <= UNREAD_SHARE * self.capacity:
            return False
        return now - self._read_at > MAX_AGE_S

    def note_load(self, load: Load, now: float) -> None:
        """Record what the owner has published.

        :param load: The load.
        :param now: Present time, in seconds.
        """
        self._load = load
        self._read_at = now
        self._unread = self._accepted
        self._accepted = {}

    def note_unknown(self, now: float) -> None:
        """Record that nothing is published; the last load is kept.

        :param now: Present time, in seconds.
        """
        self._read_at = now

    def note_accepted(self, queue: str, weight: int) -> None:
        """Record a job that this process has accepted.

        :param queue: Name of its queue.
        :param weight: Its weight, in bytes.
        """
        self._accepted[queue] = self._accepted.get(queue, 0) + weight

    @property
    def capacity(self) -> int:
        """Weight that any owner can hold, as far as is known, in bytes."""
        own = self._get_job_bytes()
        return own if self._load is None else min(self._load.capacity, own)

    def find_excess(self, queue: str, weight: int, queues: int) -> str:
        """Return why a job is refused; empty if it is accepted.

        :param queue: Name of its queue.
        :param weight: Its weight, in bytes.
        :param queues: Number of all queues.
        """
        capacity = self.capacity
        guarantee = capacity * GUARANTEED_SHARE / max(1, queues)
        held = self._count_held()
        own = held.get(queue, 0) + weight
        if own <= guarantee:
            return ""
        held[queue] = own
        borrowed = sum(max(0.0, one - guarantee) for one in held.values())
        if borrowed > capacity * (1 - GUARANTEED_SHARE):
            return (
                f"the jobs of queue {queue!r} would take {own} bytes of "
                f"memory, and the jobs of all queues have {capacity}"
            )
        unpublished = sum(self._accepted.values()) + sum(self._unread.values())
        if unpublished > capacity * UNPUBLISHED_SHARE:
            return (
                f"jobs of {unpublished} bytes were accepted here that their "
                "owner has not published yet"
            )
        return ""

    def _count_held(self) -> dict[str, int]:
        """Return the weight of all known jobs by queue."""
        held = dict(self._load.held) if self._load is not None else {}
        for accepted in (self._unread, self._accepted):
            for queue, weight in accepted.items():
                held[queue] = held.get(queue, 0) + weight
        return held
