"""What one owner knows of worker crashes by VM, rack and pool.

A crash is caused by the VM if nothing ran on its worker, or if each task that
ran there has succeeded since, or has worked for long enough to be cleared.
As long as one of them is open, either it or the VM may be the cause.
Workers of one pool or rack that crash at the same moment most likely have one
cause, such as a loss of power.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

from rackvalve.jobs import progress
from rackvalve.scheduling import workers

# How long a crash of a VM is remembered, in seconds: several periods of a VM
# that crashes every 5 s.
RETENTION_S = 30.0
# Crashes of a VM by itself within RETENTION_S after which operators are told
# and the VM is the last choice for placement.
MIN_VM_CRASHES = 2
# Runs of a job that were ordered within this time (seconds) of each other
# crash their workers at the same moment if the job is the cause.
SAME_START_S = 0.5
# A VM that crashes by itself explains a crash if the probability that it
# crashes within the age of the run is above this.
MAX_CHANCE = 0.15
# Longest time between the ends of two workers with one cause, in seconds,
# beyond what is not known of each end: both calls may be noticed late.
SAME_MOMENT_S = 0.1
# Time, in seconds, within which the end of a worker must lie to be compared
# with that of another one; a hold that times out tells less.
MAX_EXACT_S = 0.1


class WorkerCrash:
    """A crash of a worker.

    :param worker: The worker.
    :param ended: All runs that it had.
    :param sole: The job that alone can have caused it; ``None`` if others can.
    :param is_certain: Whether the worker is known to have crashed; one that
        is out of reach may still be running.
    :param now: Present time, in seconds.
    """

    __slots__ = (
        "incarnation",
        "vm",
        "rack",
        "pool",
        "earliest",
        "latest",
        "detected",
        "runs",
        "sole",
        "is_certain",
        "_uncleared",
    )

    def __init__(
        self,
        worker: workers.WorkerState,
        ended: Iterable[workers.PlacedRun],
        sole: progress.JobState | None,
        *,
        is_certain: bool,
        now: float,
    ) -> None:
        entry, location = worker.entry, worker.location
        self.incarnation = worker.identity
        self.vm = location.vm if location is not None else ""
        self.rack = entry.rack if entry is not None else ""
        self.pool = entry.pool if entry is not None else ""
        # Times between which the worker ended, in seconds.
        earliest, self.latest = worker.find_end(now)
        seen = [
            placed.run.confirmed_at
            for placed in ended
            if placed.run.confirmed_at is not None
        ]
        self.earliest = min(self.latest, max([earliest, *seen]))
        self.detected = now
        self.runs = [
            placed
            for placed in ended
            if placed.run.stage is not progress.Stage.PLANNED
        ]
        self.sole = sole
        self.is_certain = is_certain
        # Runs whose tasks were not cleared since; a task that is cleared and
        # then crashes another worker stays cleared of this crash.
        self._uncleared = list(self.runs)

    @property
    def is_vm_caused(self) -> bool:
        """Whether the VM is known to be the cause."""
        self._uncleared = [
            placed for placed in self._uncleared if not _is_cleared(placed)
        ]
        return self.is_certain and not self._uncleared

    @property
    def is_exact(self) -> bool:
        """Whether it is known when the worker ended."""
        return self.latest - self.earliest <= MAX_EXACT_S

    @property
    def is_job_caused(self) -> bool:
        """Whether a job that was found to crash its workers ran there."""
        if self.sole is not None and self.sole.known_time_to_crash:
            return True
        return any(
            placed.state.known_time_to_crash
            or placed.state.phase is progress.Phase.FAILED
            and placed.task.isolated_crashes
            for placed in self.runs
        )

    def is_related(self, other: WorkerCrash) -> bool:
        """Return whether another VM's crash may have the same cause.

        :param other: The other crash.
        """
        if self.vm == other.vm:
            return False
        is_same_rack = bool(self.rack) and self.rack == other.rack
        return is_same_rack or self.pool == other.pool

    def is_simultaneous(self, earliest: float, latest: float) -> bool:
        """Return whether a worker may have ended at the same moment.

        :param earliest: Earliest time of its end, in seconds.
        :param latest: Latest time of its end, in seconds.
        """
        return (
            earliest <= self.latest + SAME_MOMENT_S
            and self.earliest <= latest + SAME_MOMENT_S
        )

    def ran_started_together(self, placed: workers.PlacedRun) -> bool:
        """Return whether another run of a job was started with one of it.

        :param placed: The run, on another worker.
        """
        return any(
            own.state is placed.state
            and abs(own.run.since - placed.run.since) <= SAME_START_S
            for own in self.runs
        )


def _is_cleared(placed: workers.PlacedRun) -> bool:
    """Return whether a task did not cause the crashes of its workers."""
    if placed.task.done or placed.state.phase is progress.Phase.COMPLETED:
        return True
    return not placed.state.is_final and not placed.task.crashes


class VmCrashes:
    """The recent crashes that one owner has detected, by VM."""

    __slots__ = ("recent",)

    def __init__(self) -> None:
        # Oldest first.
        self.recent: collections.deque[WorkerCrash] = collections.deque()

    def note(self, crash: WorkerCrash) -> None:
        """Record a crash.

        :param crash: The crash.
        """
        self.recent.append(crash)

    def forget_old(self, now: float) -> None:
        """Forget crashes that count no longer.

        :param now: Present time, in seconds.
        """
        while self.recent and self.recent[0].detected < now - RETENTION_S:
            self.recent.popleft()

    def is_disturbed(self, pool: str) -> bool:
        """Return whether a VM of a pool has crashed by itself lately.

        :param pool: The pool.
        """
        return any(
            crash.pool == pool and crash.is_vm_caused for crash in self.recent
        )

    def count_by_vm(self) -> dict[tuple[str, str], int]:
        """Return how often VMs crashed by themselves, by VM and pool.

        Only VMs that did so repeatedly are returned.
        """
        counts = collections.Counter(
            (crash.vm, crash.pool)
            for crash in self.recent
            if crash.vm and crash.is_vm_caused
        )
        return {
            key: count
            for key, count in counts.items()
            if count >= MIN_VM_CRASHES
        }

    def find_cause(
        self, crash: WorkerCrash, placed: workers.PlacedRun
    ) -> WorkerCrash | None:
        """Find another crash that shows one to be caused by VM, rack or pool.

        :param crash: The crash to explain.
        :param placed: The isolated run that it has ended.
        :return: The other crash; ``None`` if there is none.
        """
        for other in self.recent:
            if other is crash or other.is_job_caused:
                continue
            if other.vm == crash.vm and other.is_vm_caused:
                age = crash.latest - placed.run.since
                if age > MAX_CHANCE * self._estimate_interval(crash.vm):
                    return other
            if not crash.is_related(other):
                continue
            if other.ran_started_together(placed):
                continue
            if not other.is_simultaneous(crash.earliest, crash.latest):
                continue
            if other.is_vm_caused or other.is_exact and crash.is_exact:
                return other
        return None

    def _estimate_interval(self, vm: str) -> float:
        """Return the mean time between crashes of a VM by itself, in seconds.

        :param vm: The VM, which has crashed at least once.
        """
        own = sum(one.vm == vm and one.is_vm_caused for one in self.recent)
        return RETENTION_S / own

    def find_doubt(
        self, crash: WorkerCrash, placed: workers.PlacedRun
    ) -> WorkerCrash | None:
        """Find a crash that may have the same cause as another one.

        :param crash: The other crash.
        :param placed: The isolated run that it has ended.
        :return: The crash; ``None`` if there is none.
        """
        return next(
            (
                other
                for other in self.recent
                if other is not crash
                and not other.is_job_caused
                and crash.is_related(other)
                and not other.ran_started_together(placed)
                and other.is_simultaneous(crash.earliest, crash.latest)
            ),
            None,
        )
