"""State that an owner keeps of one incarnation of a worker, with its lease."""

from __future__ import annotations

from collections.abc import Callable

from rackvalve.jobs import incarnations
from rackvalve.jobs import progress
from rackvalve.scheduling import fleet

# Share by which a worker's clock may be slower than the owner's: 2 % as the
# platform documents, and 1 % margin.
CLOCK_TOLERANCE = 0.03
# Margin for late timers on both sides, in seconds.
LEASE_MARGIN_S = 0.3

# Longest time from a worker's end until a hold that it cuts is noticed, in
# seconds, while the owner is busy.
CUT_DELAY_S = 0.05

RunKey = tuple[str, int]


class PlacedRun:
    """A run together with its task and job.

    :param state: The job.
    :param task: The task.
    :param run: The run.
    :param need: Resources that it takes.
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
        self.need = fleet.get_resource_request(self.step)

    @property
    def full_name(self) -> str:
        """The task's name in calls to workers."""
        return f"{self.state.identity}.{self.task.name}"


class UnrecordedEnd:
    """A run's end that was handled and may not be in the store.

    :param number: Number of the end among those of its worker.
    :param job: Identifier of the run's job.
    """

    __slots__ = ("number", "job", "write")

    def __init__(self, number: int, job: str) -> None:
        self.number = number
        self.job = job
        # Number of the write that records it; ``None`` until it is queued.
        self.write: int | None = None


class WorkerState:
    """State of one incarnation of a worker.

    :param identity: Identity of the incarnation.
    :param entry: Its entry in the store; ``None`` if only a job's record
        names it.
    :param lease_expiry: When the runs that an earlier owner may have started
        there are over, on this process's steady clock.
    """

    __slots__ = (
        "identity",
        "incarnation",
        "replaced",
        "entry",
        "location",
        "free",
        "runs",
        "suspects",
        "established",
        "earliest_start",
        "inherited_stops_end",
        "last_answer_at",
        "last_alive_at",
        "suspected_at",
        "unanswered",
        "is_end_noted",
        "is_crash_prone",
        "lease_expiry",
        "handled",
        "unrecorded",
        "entry_missing_since",
        "backoff_until",
        "failures",
        "close_reason",
        "evacuated",
        "maintenance_pending",
        "ordered_away",
        "is_extended",
        "is_quarantined",
        "slowness",
        "slow_until",
        "speed_checked_at",
        "cold_revision",
        "cold_until",
        "last_start_at",
    )

    def __init__(
        self, identity: str, entry: fleet.Entry | None, lease_expiry: float
    ) -> None:
        self.identity = identity
        self.incarnation = incarnations.parse_incarnation(identity)
        # Whether a later incarnation has answered in its place.
        self.replaced = False
        self.entry = entry
        # Its address, from its entry or else from a job's record.
        self.location = entry.location if entry is not None else None
        self.free = entry.capacity if entry is not None else fleet.NO_RESOURCES
        self.runs: dict[RunKey, PlacedRun] = {}
        # Runs whose task, or a job that runs the same, has crashed workers.
        self.suspects: dict[RunKey, PlacedRun] = {}
        # Whether it has accepted the fencing token and reported its runs.
        self.established = False
        # The incarnation did not start before this time, in seconds.
        self.earliest_start = float("-inf")
        # When all stops that earlier owners ordered have ended, in seconds.
        self.inherited_stops_end = float("inf")
        # When its last answer to a hold came, and the latest time at which it
        # is known to have lived, in seconds.
        self.last_answer_at = float("-inf")
        self.last_alive_at = float("-inf")
        # When its rack or hall was last suspected to have failed, in seconds.
        self.suspected_at: float | None = None
        # Times, in seconds, between which a worker that has not answered
        # since may have ended; ``None`` while it answers.
        self.unanswered: tuple[float, float] | None = None
        # Whether its end was noted since its last answer: a second proof of
        # it finds no runs, which is not a crash of an idle worker.
        self.is_end_noted = False
        # Whether its VM crashes repeatedly by itself.
        self.is_crash_prone = False
        self.lease_expiry = lease_expiry
        # Number of the last reported end that was handled.
        self.handled = 0
        # Ends that are handled and not yet in the store.
        self.unrecorded: list[UnrecordedEnd] = []
        # When its entry was first missing in the store, in seconds.
        self.entry_missing_since: float | None = None
        self.backoff_until = 0.0
        # Failed runs since the last successful one.
        self.failures = 0
        # Why it is closed to new runs; empty while it is open.
        self.close_reason = ""
        # Whether its hall is evacuated, so that it gets no new runs.
        self.evacuated = False
        # Whether its VM is still to be maintained.
        self.maintenance_pending = False
        # Whether a move or maintenance of its VM was, or may have been,
        # ordered during this incarnation.
        self.ordered_away = False
        # Whether its reports are not handled after an unexpected error.
        self.is_quarantined = False
        # Whether this owner is known to have extended its lease.
        self.is_extended = False
        # Duration of its tasks as a multiple of that on other workers.
        self.slowness = 1.0
        self.slow_until = float("-inf")
        # When its speed was last compared with others, in seconds.
        self.speed_checked_at = float("-inf")
        # Revision of the entry that said last how long it is cold, ``None``
        # until one was read, and until when it is, in seconds.
        self.cold_revision: int | None = None
        self.cold_until = float("-inf")
        # When the last run was placed on it, in seconds.
        self.last_start_at = float("-inf")

    def is_cold(self, now: float) -> bool:
        """Return whether it is still slow after its start.

        :param now: Present time, in seconds.
        """
        return now < self.cold_until

    def set_entry(self, entry: fleet.Entry) -> None:
        """Replace the entry; free resources follow a new capacity.

        :param entry: Its newest entry.
        """
        known = self.entry.capacity if self.entry else fleet.NO_RESOURCES
        self.free = self.free.plus(entry.capacity).minus(known)
        self.entry = entry
        self.location = entry.location
        self.entry_missing_since = None

    def add(self, placed: PlacedRun) -> None:
        """Add a run and subtract what it needs from the free resources.

        :param placed: The run.
        """
        key = (placed.full_name, placed.run.number)
        self.runs[key] = placed
        if placed.task.crashes or placed.state.known_time_to_crash:
            self.suspects[key] = placed
        self.free = self.free.minus(placed.need)

    def drop(self, placed: PlacedRun) -> None:
        """Remove a run and free its resources.

        :param placed: The run.
        """
        key = (placed.full_name, placed.run.number)
        self.suspects.pop(key, None)
        if self.runs.pop(key, None):
            self.free = self.free.plus(placed.need)

    def note_extension(self, now: float, length: float) -> None:
        """Move the lease's expiry for a call that extends it and is sent now.

        :param now: Present time, in seconds.
        :param length: Length of the lease that the call requests, in seconds.
        """
        over = now + length * (1 + CLOCK_TOLERANCE) + LEASE_MARGIN_S
        self.lease_expiry = max(self.lease_expiry, over)

    def note_established(
        self, now: float, length: float, max_stop_time: float
    ) -> None:
        """Note that the worker has accepted this owner's fencing token.

        Earlier owners can no longer extend its lease; the leases that they
        requested end no later than one that begins now.

        :param now: Present time, in seconds.
        :param length: Length of a lease, in seconds.
        :param max_stop_time: Longest time that a stop takes, in seconds; an
            earlier owner may have ordered one just before.
        """
        self.established = True
        self.inherited_stops_end = now + max_stop_time
        self.lease_expiry = float("-inf")
        self.note_extension(now, length)

    def note_lost(self) -> None:
        """Note that the incarnation is over, whatever leases it had.

        It gets no new runs, however recent its last answer is.
        """
        self.lease_expiry = float("-inf")
        self.last_answer_at = float("-inf")

    def note_unanswered(
        self, sent: float, now: float, *, is_cut: bool
    ) -> None:
        """Note that a hold was not answered; only the first one counts.

        A hold that times out shows that the worker may have ended at any time
        since it was sent.

        :param sent: When the hold was sent, in seconds.
        :param now: Present time, in seconds.
        :param is_cut: Whether it failed sooner than by its timeout, since the
            end of the worker has cut it.
        """
        if self.unanswered is None:
            earliest = max(sent, now - CUT_DELAY_S) if is_cut else sent
            self.unanswered = (earliest, now)

    def find_end(self, now: float) -> tuple[float, float]:
        """Return between which times a crashed worker ended, in seconds.

        :param now: Present time, in seconds.
        """
        if self.unanswered is not None:
            return self.unanswered
        return min(now, self.last_alive_at), now

    def is_expired(self, now: float) -> bool:
        """Return whether all leases of the worker have expired.

        :param now: Present time, in seconds.
        """
        return now >= self.lease_expiry

    def set_evacuated(self, halls: frozenset[str]) -> None:
        """Set whether its hall is evacuated, so that it gets no new runs.

        :param halls: Names of the evacuated halls.
        """
        self.evacuated = self.entry is not None and self.entry.hall in halls

    @property
    def is_suspected(self) -> bool:
        """Whether its rack or hall failed and it has not answered since."""
        return (
            self.suspected_at is not None
            and self.last_answer_at <= self.suspected_at
        )

    def takes_work(self, now: float, freshness: float) -> bool:
        """Return whether new runs may be placed on it.

        :param now: Present time, in seconds.
        :param freshness: Longest accepted age of its last answer, in seconds.
        """
        return (
            self.entry is not None
            and not self.entry.draining
            and not self.close_reason
            and not self.evacuated
            and not self.is_suspected
            and self.established
            and now - self.last_answer_at <= freshness
            and self.entry_missing_since is None
            and not self.replaced
        )

    def note_write(self, write: int) -> None:
        """Note which write records the newest ends.

        :param write: Number of the write.
        """
        for end in self.unrecorded:
            if end.write is None:
                end.write = write

    def find_acknowledged(self, is_stored: Callable[[str, int], bool]) -> int:
        """Return the number of the last end that the worker may discard.

        :param is_stored: Returns whether the store has what was written of a
            job up to a write.
        """
        while self.unrecorded:
            end = self.unrecorded[0]
            if end.write is None or not is_stored(end.job, end.write):
                return end.number - 1
            self.unrecorded.pop(0)
        return self.handled
