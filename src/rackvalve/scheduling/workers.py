"""One life of a worker as the owner sees it, and the lease on what runs."""

from __future__ import annotations

from rackvalve.jobs import incarnations
from rackvalve.jobs import progress
from rackvalve.scheduling import fleet

# How much slower than ours a worker's clock may run; the platform's pages
# give 2 %, one more is margin.
CLOCK_TOLERANCE = 0.03
# Against late timers on both sides, in seconds.
LEASE_MARGIN_S = 0.3

RunKey = tuple[str, int]


class Placed:
    """A run together with its task and job.

    :param state: The job.
    :param task: The task.
    :param run: The run.
    :param need: The room that it takes.
    """

    __slots__ = ("state", "task", "run", "need", "step")

    def __init__(
        self,
        state: progress.JobState,
        task: progress.Task,
        run: progress.Run,
    ) -> None:
        self.state = state
        self.task = task
        self.run = run
        self.step = state.step_of(task.name)
        self.need = fleet.need_of(self.step)

    @property
    def full_name(self) -> str:
        """The task's name as workers know it."""
        return f"{self.state.identity}.{self.task.name}"


class WorkerState:
    """One life of a worker.

    :param identity: Identity of the life.
    :param entry: What it says of itself; ``None`` if only a job's record
        names it.
    :param lease_over: When all that an earlier owner may have let run there
        is over, on our steady clock.
    """

    __slots__ = (
        "identity",
        "life",
        "replaced",
        "entry",
        "location",
        "free",
        "runs",
        "suspects",
        "established",
        "began",
        "settled",
        "heard",
        "answered",
        "lease_over",
        "handled",
        "unrecorded",
        "gone_since",
        "suspect_until",
        "failures",
        "closing",
        "evacuated",
        "leaves_later",
        "ordered_away",
        "slowness",
        "slow_until",
        "judged",
    )

    def __init__(
        self, identity: str, entry: fleet.Entry | None, lease_over: float
    ) -> None:
        self.identity = identity
        self.life = incarnations.parse_incarnation(identity)
        # Whether a later life has answered in its place.
        self.replaced = False
        self.entry = entry
        # Where it can be asked, by its entry or else by a job's record.
        self.location = entry.location if entry is not None else None
        self.free = entry.capacity if entry is not None else fleet.EMPTY
        self.runs: dict[RunKey, Placed] = {}
        # Those of them under whose tasks workers have crashed.
        self.suspects: dict[RunKey, Placed] = {}
        # Whether it has taken our fencing token and told what runs.
        self.established = False
        # No earlier than this did it begin, in seconds.
        self.began = float("-inf")
        # When all stops of earlier owners have ended.
        self.settled = float("inf")
        # When its last answer to a hold came, and the time that it tells of.
        self.heard = float("-inf")
        self.answered = float("-inf")
        self.lease_over = lease_over
        # Number of the last end that was handled.
        self.handled = 0
        # Ends handled and not yet in the store, with the write that will hold
        # what they changed; ``None`` until that write is marked.
        self.unrecorded: list[tuple[int, int | None]] = []
        # Since when its entry is missing in the store.
        self.gone_since: float | None = None
        self.suspect_until = 0.0
        # Failed runs since the last good one.
        self.failures = 0
        # Why it takes no more work, empty while it does.
        self.closing = ""
        # Whether nothing more is to be sent to its hall.
        self.evacuated = False
        # Whether its VM is still to be maintained.
        self.leaves_later = False
        # Whether its VM was, or may have been, told to move or to be
        # maintained while it lived there.
        self.ordered_away = False
        # How much longer than elsewhere its tasks take.
        self.slowness = 1.0
        self.slow_until = float("-inf")
        # When it was last looked at for that.
        self.judged = float("-inf")

    def set_entry(self, entry: fleet.Entry) -> None:
        """Take what the worker says of itself now.

        :param entry: Its newest entry.
        """
        known = self.entry.capacity if self.entry else fleet.EMPTY
        self.free = self.free.plus(entry.capacity).minus(known)
        self.entry = entry
        self.location = entry.location
        self.gone_since = None

    def add(self, placed: Placed) -> None:
        """Count a run against the room.

        :param placed: The run.
        """
        key = (placed.full_name, placed.run.number)
        self.runs[key] = placed
        if placed.task.crashes or placed.state.known_time_to_crash:
            self.suspects[key] = placed
        self.free = self.free.minus(placed.need)

    def drop(self, placed: Placed) -> None:
        """Give a run's room back.

        :param placed: The run.
        """
        key = (placed.full_name, placed.run.number)
        self.suspects.pop(key, None)
        if self.runs.pop(key, None):
            self.free = self.free.plus(placed.need)

    def note_extension(self, now: float, length: float) -> None:
        """Note that the lease may last longer from a call that is sent now.

        :param now: Present time, in seconds.
        :param length: What the call asks for, in seconds.
        """
        over = now + length * (1 + CLOCK_TOLERANCE) + LEASE_MARGIN_S
        self.lease_over = max(self.lease_over, over)

    def note_established(
        self, now: float, length: float, settling: float
    ) -> None:
        """Note that the worker has taken our fencing token.

        From then on no earlier owner can extend its lease; what they asked
        for lasts no longer than a lease that begins now.

        :param now: Present time, in seconds.
        :param length: Length of a lease, in seconds.
        :param settling: How long a stop takes at most that an earlier owner
            may have ordered just before, in seconds.
        """
        self.established = True
        self.settled = now + settling
        self.lease_over = float("-inf")
        self.note_extension(now, length)

    def note_lost(self) -> None:
        """Note that the worker's life is over, whatever leases it had.

        It gets no work from then on, however short ago its last answer was.
        """
        self.lease_over = float("-inf")
        self.heard = float("-inf")

    def is_over(self, now: float) -> bool:
        """Return whether all leases given so far are over.

        :param now: Present time, in seconds.
        """
        return now >= self.lease_over

    def set_evacuated(self, halls: frozenset[str]) -> None:
        """Take no work if its hall is among those that are evacuated.

        :param halls: Names of the halls.
        """
        self.evacuated = self.entry is not None and self.entry.hall in halls

    def takes_work(self, now: float, freshness: float) -> bool:
        """Return whether new runs may be placed on it.

        :param now: Present time, in seconds.
        :param freshness: Longest time since its last answer, in seconds.
        """
        return (
            self.entry is not None
            and not self.entry.draining
            and not self.closing
            and not self.evacuated
            and self.established
            and now - self.heard <= freshness
            and self.gone_since is None
            and not self.replaced
        )

    def note_write(self, write: int) -> None:
        """Note which write holds what the newest ends changed.

        :param write: Number of the write.
        """
        self.unrecorded = [
            (number, write if known is None else known)
            for number, known in self.unrecorded
        ]

    def acknowledged(self, durable: int) -> int:
        """Return the last end that the worker may forget.

        :param durable: Number of the last write that is in the store.
        """
        while self.unrecorded:
            write = self.unrecorded[0][1]
            if write is None or write > durable:
                break
            self.unrecorded.pop(0)
        if self.unrecorded:
            return self.unrecorded[0][0] - 1
        return self.handled
