"""Which workers and data halls are taken to be out of reach, or lost.

A silent worker keeps its entry for seconds, or for good behind a cut.  A pool
that still counts it waits all that time for room that is not there.  And what
ran on a VM that is off need not wait 4.4 s for the end of its lease.

On days on which a rack of four VMs goes dark, among other faults, both
together earn 0.010 more of what callers would have given (40 pairs of plays,
standard error 0.003).
"""

from __future__ import annotations

from collections.abc import Collection

from rackvalve.scheduling import book as books
from rackvalve.scheduling import listings
from rackvalve.scheduling import maintenance as maintenances
from rackvalve.scheduling import workers

# A worker that has not answered for this long is worth a look at the
# platform's list, in seconds: holds are answered after half a second.
NOTICE_S = 0.6
# A worker that has not answered for this long is out of reach, in seconds: a
# failed hold is made again within half a second more.
SILENCE_S = 1.2
# Only while more than this part of the workers answer are the others taken to
# be silent: else it is this process that was paused or is cut off.
ANSWERING_PART = 0.5
# A data hall is cut off if at least so many of its workers are silent, and
# none answers.
HALL_LEAST = 2


class FailureDetector:
    """Looks at the answers of all workers and at the platform's list.

    :param book: The book with the workers.
    :param maintenance: Has the platform's list of VMs.
    """

    __slots__ = (
        "_book",
        "_maintenance",
        "_listings",
        "_since",
        "_lost",
        "silent_workers",
        "silent_halls",
        "has_overdue",
    )

    def __init__(
        self, book: books.Book, maintenance: maintenances.MaintenancePlanner
    ) -> None:
        self._book = book
        self._maintenance = maintenance
        self._listings = listings.Listings()
        # When each worker was first seen here, in seconds.
        self._since: dict[str, float] = {}
        # Workers that were told to be lost.
        self._lost: set[str] = set()
        # Workers that are out of reach.
        self.silent_workers: frozenset[str] = frozenset()
        # Data halls of which no worker is reached.
        self.silent_halls: frozenset[str] = frozenset()
        # Whether work waits for a worker that should have answered.
        self.has_overdue = False

    def check(self, now: float) -> list[str]:
        """Find out who is silent, and release what ran on lost VMs.

        :param now: Present time, in seconds.
        :return: Workers that were newly found to be lost.
        """
        self._listings.take(
            self._maintenance.vms,
            self._maintenance.read,
            {worker.life.worker for worker in self._book.workers.values()},
        )
        # Also those that only records name: their entries are gone.
        known = {
            worker.identity: worker
            for worker in self._book.workers.values()
            if worker.location is not None
        }
        self._since = {name: self._since.get(name, now) for name in known}
        self._lost &= known.keys()
        self.silent_workers = frozenset(self._find_silent(known, now))
        self.silent_halls = frozenset(
            self._find_cut_halls(self.silent_workers)
        )
        quiet = [
            worker
            for worker in known.values()
            if worker.runs and now - self._last_heard(worker) > NOTICE_S
        ]
        self.has_overdue = bool(quiet)
        return [worker.identity for worker in quiet if self._release(worker)]

    def _find_silent(
        self, known: dict[str, workers.WorkerState], now: float
    ) -> set[str]:
        """Return the workers with an entry that are out of reach."""
        entered = [
            worker for worker in known.values() if worker.entry is not None
        ]
        silent = {
            worker.identity
            for worker in entered
            if now - self._last_heard(worker) > SILENCE_S
        }
        if len(silent) >= len(entered) * (1 - ANSWERING_PART):
            return set()
        return silent

    def _last_heard(self, worker: workers.WorkerState) -> float:
        """Return when a worker has answered last, or was first seen."""
        return max(worker.last_answer_at, self._since[worker.identity])

    def _last_sign(self, worker: workers.WorkerState) -> float:
        """Return the last time that an answer, or its entry, tells of."""
        return max(worker.last_alive_at, self._since[worker.identity])

    def _release(self, worker: workers.WorkerState) -> bool:
        """Let the lease of a worker be over if the lists prove its life over.

        :return: Whether that is new.
        """
        assert worker.location is not None
        alive = self._last_sign(worker)
        vm = worker.location.vm
        if not self._listings.prove_over(
            worker.life.worker, vm, began=worker.earliest_start, alive=alive
        ):
            return False
        worker.note_lost()
        if worker.identity in self._lost:
            return False
        self._lost.add(worker.identity)
        return True

    def _find_cut_halls(self, silent: Collection[str]) -> set[str]:
        counts: dict[str, int] = {}
        answering: set[str] = set()
        for worker in self._book.workers.values():
            if worker.entry is None:
                continue
            hall = worker.entry.hall
            if worker.identity in silent:
                counts[hall] = counts.get(hall, 0) + 1
            else:
                answering.add(hall)
        return {
            hall
            for hall, count in counts.items()
            if count >= HALL_LEAST and hall not in answering
        }
