"""Failure detector: workers and data halls that are out of reach, or lost.

A silent worker keeps its entry for seconds, or for good behind a network
partition.  A pool that still counts the worker waits all that time for room
that does not exist.  And runs on a VM that is off need not wait 4.4 s for the
end of the worker's lease.

When a whole rack of VMs fails, both savings count at once.
"""

from __future__ import annotations

from collections.abc import Collection

from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import listings
from rackvalve.scheduling import maintenance as maintenances
from rackvalve.scheduling import suspicion
from rackvalve.scheduling import workers

# A worker that has not answered for this long (seconds) is looked up in the
# platform's list of VMs: holds are answered after half a second.
OVERDUE_S = 0.6
# A worker that has not answered for this long (seconds) is out of reach: a
# failed hold is retried within another half second.
SILENCE_S = 1.2
# Workers are taken to be silent only while more than this part of all answer:
# otherwise this process itself was paused or is cut off.
MIN_ANSWERING_PART = 0.5
# A data hall is cut off if at least this many of its workers are silent and
# none answers.
MIN_SILENT_IN_HALL = 2


class FailureDetector:
    """Checks the last answers of all workers and the platform's list of VMs.

    :param cluster: The owner's view of the cluster.
    :param maintenance: Has the platform's list of VMs.
    """

    __slots__ = (
        "_cluster",
        "_maintenance",
        "_listings",
        "_first_seen",
        "_lost",
        "suspicions",
        "silent_workers",
        "silent_halls",
        "has_overdue",
    )

    def __init__(
        self,
        cluster: clusters.Cluster,
        maintenance: maintenances.MaintenancePlanner,
    ) -> None:
        self._cluster = cluster
        self._maintenance = maintenance
        self._listings = listings.Listings()
        self.suspicions = suspicion.SuspicionTracker(cluster)
        # When each worker was first checked, in seconds.
        self._first_seen: dict[str, float] = {}
        # Workers that were returned as lost before.
        self._lost: set[str] = set()
        # Identities of the workers that are out of reach.
        self.silent_workers: frozenset[str] = frozenset()
        # Data halls that are cut off.
        self.silent_halls: frozenset[str] = frozenset()
        # Whether a worker with runs has not answered for OVERDUE_S.
        self.has_overdue = False

    def check(self, now: float) -> list[str]:
        """Find silent workers, and expire the leases of lost ones.

        :param now: Present time, in seconds.
        :return: Identities of workers that were newly found to be lost.
        """
        self._listings.update(
            self._maintenance.vms,
            self._maintenance.read,
            {
                worker.incarnation.worker
                for worker in self._cluster.workers.values()
            },
        )
        # Includes workers that only records name, without an entry.
        known = {
            worker.identity: worker
            for worker in self._cluster.workers.values()
            if worker.location is not None
        }
        self._first_seen = {
            name: self._first_seen.get(name, now) for name in known
        }
        self._lost &= known.keys()
        self.silent_workers = self.suspicions.missing.union(
            self._find_silent_workers(known, now)
        )
        self.silent_halls = frozenset(
            self._find_silent_halls(self.silent_workers)
        )
        overdue = [
            worker
            for worker in known.values()
            if worker.runs and now - self._get_last_answer(worker) > OVERDUE_S
        ]
        self.has_overdue = bool(overdue)
        return [worker.identity for worker in overdue if self._release(worker)]

    def _find_silent_workers(
        self, known: dict[str, workers.WorkerState], now: float
    ) -> set[str]:
        """Return the workers with an entry that are out of reach."""
        with_entry = [
            worker for worker in known.values() if worker.entry is not None
        ]
        silent = {
            worker.identity
            for worker in with_entry
            if now - self._get_last_answer(worker) > SILENCE_S
        }
        if len(silent) >= len(with_entry) * (1 - MIN_ANSWERING_PART):
            return set()
        return silent

    def _get_last_answer(self, worker: workers.WorkerState) -> float:
        """Return when a worker's last answer came, or it was first checked."""
        return max(worker.last_answer_at, self._first_seen[worker.identity])

    def _get_last_alive(self, worker: workers.WorkerState) -> float:
        """Return when a worker was last alive by its answers or its entry."""
        return max(worker.last_alive_at, self._first_seen[worker.identity])

    def _release(self, worker: workers.WorkerState) -> bool:
        """Expire a worker's lease if the lists prove that it has ended.

        :return: Whether the worker was not known to be lost before.
        """
        assert worker.location is not None
        alive = self._get_last_alive(worker)
        vm = worker.location.vm
        if not self._listings.prove_over(
            worker.incarnation.worker,
            vm,
            began=worker.earliest_start,
            alive=alive,
        ):
            return False
        worker.note_lost()
        if worker.identity in self._lost:
            return False
        self._lost.add(worker.identity)
        return True

    def _find_silent_halls(self, silent: Collection[str]) -> set[str]:
        counts: dict[str, int] = {}
        answering: set[str] = set()
        for worker in self._cluster.workers.values():
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
            if count >= MIN_SILENT_IN_HALL and hall not in answering
        }
