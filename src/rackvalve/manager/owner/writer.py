"""Writer of the owner's records to the store, with concurrent commits.

``backlog`` decides what is sent and when, ``commit`` what an answer means.
"""

from __future__ import annotations

from collections.abc import Callable
import enum
import functools

import gevent
from gevent import event

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager.owner import backlog as backlogs
from rackvalve.manager.owner import commit as commits
from rackvalve.manager import timing
from rackvalve.platform import store as stores

Outcome = (
    stores.Committed
    | stores.Conflict
    | stores.LeaseOver
    | stores.Refused
    | stores.Unavailable
    | stores.Unknown
)

# Bounds the exponent of an attempt's timeout: an outage may cause any number
# of attempts, and the timeout reaches its maximum long before.
_MAX_DOUBLINGS = 10


class Result(enum.Enum):
    """What became of a commit."""

    WRITTEN = "written"
    REFUSED = "refused"
    # Another process is the owner.
    DEPOSED = "deposed"


class Writer:
    """Writes the records that one owner enqueues.

    :param store: The store.
    :param ownership: The condition that this process is the owner.
    :param on_deposed: Called with the reason when another owner is found.
    :param on_contact: Called at each answer of the store, with the time at
        which its call was sent, in seconds.
    :param on_refused: Called for each record that the store refuses for its
        content, with its key and its size in bytes.
    :param get_contact: Returns when the store last answered any call of this
        process, in seconds.
    :param spawn: Runs a function in a greenlet that ends with the owner.
    """

    def __init__(
        self,
        store: stores.Store,
        ownership: stores.Condition,
        *,
        on_deposed: Callable[[str], None],
        on_contact: Callable[[float], None],
        spawn: Callable[[Callable[[], None]], None],
        on_refused: Callable[[str, int], None] = lambda *_: None,
        get_contact: Callable[[], float] = lambda: float("-inf"),
    ) -> None:
        self._store = store
        self._ownership = ownership
        self._on_deposed = on_deposed
        self._on_contact = on_contact
        self._spawn = spawn
        self._on_refused = on_refused
        self._get_contact = get_contact
        # When the last commit without a usable answer was sent, in seconds.
        self._failed_at = float("-inf")
        self._backlog = backlogs.Backlog()
        self._revisions = commits.Revisions()
        # Set and cleared at once after each commit, to wake those who wait.
        self._committed = event.Event()
        # Set when the next commit may be due.
        self._changed = event.Event()

    def load_revisions(self, items: tuple[stores.Item, ...]) -> None:
        """Load the revisions of the records that earlier owners wrote.

        :param items: All progress records, read under this ownership.
        """
        for item in items:
            self._revisions.set(item.key, item.revision)

    @property
    def number(self) -> int:
        """Sequence number of the last write."""
        return self._backlog.number

    def is_stored(self, key: str, number: int) -> bool:
        """Return whether a record's changes up to a write are in the store.

        :param key: The record's key.
        :param number: Sequence number of the write.
        """
        return self._backlog.is_stored(key, number)

    @property
    def committed_revision(self) -> int:
        """The store's revision of the last commit; 0 before the first."""
        return self._revisions.last_committed

    def wait(self, timeout: float) -> None:
        """Wait until the next commit is in the store.

        :param timeout: Longest wait, in seconds.
        """
        self._committed.wait(timeout)

    def enqueue(
        self,
        key: str,
        make: Callable[[], backlogs.Record],
        *,
        urgent: bool = True,
        values: int = 1,
    ) -> None:
        """Enqueue the write of a record.

        :param key: The record's key.
        :param make: Makes the record at the time of sending.
        :param urgent: Whether something waits for the record; if not, it is
            sent with the next urgent one, or after ``WRITE_DELAY_S``.
        :param values: How many values the record has at the most.
        """
        self._backlog.enqueue(
            key, make, clocks.read_steady(), urgent=urgent, values=values
        )
        self._changed.set()

    def run(self) -> None:
        """Send the enqueued writes, until the greenlet is killed."""
        while True:
            self._backlog.is_reached = self._get_contact() > self._failed_at
            wait = self._backlog.find_wait(clocks.read_steady())
            if wait is None or wait > 0:
                self._changed.wait(wait)
                self._changed.clear()
                continue
            # Lets other greenlets enqueue their writes for the same commit.
            gevent.sleep(0)
            self._send_next()

    def _send_next(self) -> None:
        """Send the next commit, in a greenlet of its own."""
        batch = self._backlog.take(clocks.read_steady())
        records = {key: write.make() for key, write in batch.writes.items()}
        self._spawn(functools.partial(self._write, batch, records))

    def _write(
        self, batch: backlogs.Batch, records: dict[str, backlogs.Record]
    ) -> None:
        payloads = {key: record.payload for key, record in records.items()}
        for record in records.values():
            payloads.update(record.parts)
        commit = commits.Commit(self._ownership, payloads, self._revisions)
        result = self._commit(commit, is_single=len(records) == 1)
        if result is Result.DEPOSED:
            return
        if result is Result.REFUSED and len(records) > 1:
            self._write_halves(batch, records)
            return
        self._backlog.complete_batch(batch, clocks.read_steady())
        self._committed.set()
        self._committed.clear()
        self._changed.set()
        for key, record in records.items():
            if result is Result.REFUSED:
                self._on_refused(key, commit.size)
            notify = (
                record.written if result is Result.WRITTEN else record.refused
            )
            if notify is not None:
                notify()

    def _write_halves(
        self, batch: backlogs.Batch, records: dict[str, backlogs.Record]
    ) -> None:
        """Send a refused commit in two, to find the record that is refused."""
        for half in self._backlog.split(batch):
            own = {key: records[key] for key in half.writes}
            self._spawn(functools.partial(self._write, half, own))

    def _commit(self, commit: commits.Commit, *, is_single: bool) -> Result:
        """Send a commit, with retries, until the store takes or refuses it.

        A single record is refused only after several attempts, so that one
        odd answer ends no job.

        :param commit: The commit.
        :param is_single: Whether it writes one record.
        """
        attempts = refusals = 0
        while True:
            began = clocks.read_steady()
            outcome = self._attempt(commit, attempts)
            attempts += 1
            if isinstance(outcome, stores.Committed):
                commit.record_committed(outcome.revision)
                return Result.WRITTEN
            if isinstance(outcome, stores.Conflict):
                result = commit.resolve_conflict(outcome)
                if result is commits.ConflictOutcome.DEPOSED:
                    self._on_deposed("a record has another owner's revision")
                    return Result.DEPOSED
                if result is commits.ConflictOutcome.WRITTEN:
                    return Result.WRITTEN
                continue
            self._log_failure(commit, outcome)
            if isinstance(outcome, stores.Refused):
                refusals += 1
                if not is_single or refusals >= timing.MAX_REFUSALS:
                    return Result.REFUSED
            # A commit that timed out is retried at once.
            taken = clocks.read_steady() - began
            gevent.sleep(max(0.0, timing.STORE_RETRY_DELAY_S - taken))

    def _attempt(self, commit: commits.Commit, attempts: int) -> Outcome:
        sent = clocks.read_steady()
        outcome = self._store.commit(
            commit.make_conditions(),
            commit.puts,
            commit.removals,
            timeout=_choose_timeout(attempts, commit.size),
        )
        if isinstance(outcome, (stores.Committed, stores.Conflict)):
            self._on_contact(sent)
        self._backlog.is_failing = not isinstance(
            outcome, (stores.Committed, stores.Conflict, stores.Refused)
        )
        if self._backlog.is_failing:
            self._failed_at = sent
        self._changed.set()
        return outcome

    def _log_failure(self, commit: commits.Commit, outcome: Outcome) -> None:
        logs.write_warning(
            "store.failed",
            call="commit",
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
            records=len(commit.payloads),
            in_flight=self._backlog.in_flight,
        )


def _choose_timeout(attempts: int, size: int = 0) -> float:
    """Return the timeout of an attempt, in seconds.

    :param attempts: The number of attempts before it.
    :param size: Size of the commit's values, in bytes.
    """
    factor = 2 ** min(attempts, _MAX_DOUBLINGS)
    timeout: float = timing.COMMIT_TIMEOUT_S * factor
    sending: float = size / timing.MIN_SEND_RATE
    return min(timeout, timing.MAX_COMMIT_TIMEOUT_S) + sending
