"""Detects stalled jobs: a task's turn has come and no run is active.

A run is active if a worker that answers has confirmed it.  Each task of a
lasting job serves by itself and is checked by itself.  The owner scans once a
second, after planning; a run that starts and ends between two scans counts as
progress.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import blockers
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import workers

# A job is stalled after this time with no active run, in seconds: half of the
# pause that the users accept.  A start takes up to 0.3 s with a slow store.
STALL_AFTER_S = 1.5
# A start in progress for less than this is no stall, in seconds; a slow store
# takes 0.24 s to write its record.
START_GRACE_S = 0.5
# Most jobs of one pool and cause that one scan reports for logging.
MAX_REPORTED_JOBS = 2
# Most jobs that one scan checks, oldest first: an owner with 2,000 waiting
# jobs took 60 ms for all of them.
MAX_CHECKED_JOBS = 500


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Part:
    """A job, or one task of a lasting job, with no active run.

    :param state: The job.
    :param task: Name of the task; empty for the whole job.
    :param waiting: Its waiting tasks.
    :param runs: Its runs.
    """

    state: progress.JobState
    task: str
    waiting: Collection[definition.TaskName]
    runs: Sequence[workers.PlacedRun]

    @property
    def name(self) -> str:
        """The job's identifier, or the full name of its task."""
        job = self.state.identity
        return f"{job}.{self.task}" if self.task else job


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StalledJob:
    """A stalled job, or one stalled task of a lasting job.

    :param job: The job's identifier.
    :param task: Name of the task; empty for the whole job.
    :param queue: The job's queue.
    :param workspace: The job's workspace.
    :param accepted: When the job was accepted, seconds since 1970.
    :param seconds: Least time for which it has been stalled, in seconds.
    :param waiting: Number of its waiting tasks.
    :param blocker: What keeps it from running.
    """

    job: str
    task: str
    queue: str
    workspace: str
    accepted: float
    seconds: float
    waiting: int
    blocker: blockers.Blocker

    @property
    def cause(self) -> blockers.Cause:
        """Reason why it is stalled."""
        return self.blocker.cause

    @property
    def name(self) -> str:
        """The job's identifier, or the full name of its task."""
        return f"{self.job}.{self.task}" if self.task else self.job


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StalledPool:
    """The stalled jobs of one pool.

    :param pool: The pool; empty for jobs whose queue is not known.
    :param causes: Number of stalled jobs by cause.
    :param oldest: The job that is stalled longest.
    :param overtaken: Number of jobs of its queue that were accepted after it
        and have started.
    :param workers: Number of the pool's workers by availability.
    """

    pool: str
    causes: collections.Counter[blockers.Cause]
    oldest: StalledJob
    overtaken: int
    workers: collections.Counter[blockers.Availability]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StallReport:
    """Result of one scan.

    :param pools: Pools with stalled jobs.
    :param jobs: Stalled jobs that were not reported with this cause before.
    :param unjudged: Number of jobs with no active run that were left out,
        since a scan checks a limited number.
    """

    pools: tuple[StalledPool, ...]
    jobs: tuple[StalledJob, ...]
    unjudged: int

    def count(self) -> collections.Counter[blockers.Cause]:
        """Return the number of stalled jobs by cause."""
        total: collections.Counter[blockers.Cause] = collections.Counter()
        for pool in self.pools:
            total.update(pool.causes)
        return total


class StallDetector:
    """Scans an owner's open jobs for stalled ones.

    :param cluster: The owner's view of the cluster.
    :param planner: Its planner.
    :param freshness: Longest age of a worker's last answer for its runs to
        count as active, in seconds.
    """

    __slots__ = (
        "_cluster",
        "_planner",
        "_freshness",
        "_scanned_at",
        "_stalled_since",
        "_ended",
        "_reported",
        "_unjudged",
    )

    def __init__(
        self,
        cluster: clusters.Cluster,
        planner: planners.Planner,
        freshness: float,
    ) -> None:
        self._cluster = cluster
        self._planner = planner
        self._freshness = freshness
        # Time of the last scan, in seconds.
        self._scanned_at = float("-inf")
        # When the stall of each job or lasting task that the last scan found
        # began, in seconds.
        self._stalled_since: dict[str, float] = {}
        # Tasks, and their jobs, of which a run has ended since the last scan.
        self._ended: set[str] = set()
        # Causes already reported for each job or lasting task.
        self._reported: dict[str, set[blockers.Cause]] = {}
        # Number of jobs that the last scan left out.
        self._unjudged = 0

    def note_end(self, task: str) -> None:
        """Note that an active run has ended.

        :param task: Full name of the task.
        """
        self._ended.add(task)
        self._ended.add(task.partition(".")[0])

    def scan(self, now: float) -> StallReport:
        """Find all stalled jobs.

        :param now: Present time, in seconds.
        """
        finder = blockers.BlockerFinder(
            self._cluster, self._planner, now, self._freshness
        )
        stalled = self._find_stalled(finder, now)
        by_pool: dict[str, list[StalledJob]] = {}
        for job in stalled:
            by_pool.setdefault(job.blocker.pool, []).append(job)
        pools = [
            self._summarize(finder, pool, jobs)
            for pool, jobs in by_pool.items()
        ]
        reported: list[StalledJob] = []
        for jobs in by_pool.values():
            reported.extend(self._choose_reported(jobs))
        self._discard_ended()
        self._scanned_at = now
        return StallReport(
            pools=tuple(pools), jobs=tuple(reported), unjudged=self._unjudged
        )

    def _find_stalled(
        self, finder: blockers.BlockerFinder, now: float
    ) -> list[StalledJob]:
        """Return the stalled jobs, the longest stalled first."""
        active, idle = self._sort_runs(finder)
        since: dict[str, float] = {}
        found: list[StalledJob] = []
        self._unjudged = 0
        for state in self._cluster.open_jobs.values():
            if now - state.arrived < STALL_AFTER_S:
                continue
            if len(since) >= MAX_CHECKED_JOBS:
                self._unjudged += state.identity not in active
                continue
            runs = idle.get(state.identity, [])
            for part in _find_parts(state, runs, state.identity in active):
                blocker = finder.find(state, part.waiting, part.runs)
                if blocker is None:
                    continue
                began = self._find_stall_start(part, blocker)
                since[part.name] = began
                if now - began >= STALL_AFTER_S and not _is_starting(
                    blocker, now
                ):
                    found.append(_describe(part, blocker, now - began))
        self._stalled_since = since
        return sorted(found, key=lambda job: -job.seconds)

    def _sort_runs(
        self, finder: blockers.BlockerFinder
    ) -> tuple[set[str], dict[str, list[workers.PlacedRun]]]:
        """Return the jobs with an active run, and all other runs by job."""
        active: set[str] = set()
        idle: dict[str, list[workers.PlacedRun]] = {}
        for worker in self._cluster.workers.values():
            for placed in worker.runs.values():
                if finder.is_active(placed):
                    active.add(placed.state.identity)
                else:
                    idle.setdefault(placed.state.identity, []).append(placed)
        return active, idle

    def _find_stall_start(
        self, part: _Part, blocker: blockers.Blocker
    ) -> float:
        known = self._stalled_since.get(part.name)
        if known is not None and part.name not in self._ended:
            return known
        state = part.state
        if state.next_run == 1:
            # A repeated task is due long after its job was accepted.
            return blocker.since if state.job.repetitions else state.arrived
        # At the last scan it had an active run.
        return max(blocker.since, self._scanned_at)

    def _summarize(
        self,
        finder: blockers.BlockerFinder,
        pool: str,
        jobs: list[StalledJob],
    ) -> StalledPool:
        return StalledPool(
            pool=pool,
            causes=collections.Counter(job.cause for job in jobs),
            oldest=jobs[0],
            overtaken=self._count_overtaking(jobs[0]),
            workers=finder.pool(pool).counts,
        )

    def _count_overtaking(self, job: StalledJob) -> int:
        return sum(
            1
            for state in self._cluster.jobs.values()
            if state.queue == job.queue
            and state.next_run > 1
            and state.accepted > job.accepted
        )

    def _choose_reported(self, jobs: list[StalledJob]) -> list[StalledJob]:
        """Choose the jobs of a pool that are reported for logging."""
        counts: collections.Counter[blockers.Cause] = collections.Counter()
        chosen: list[StalledJob] = []
        for job in jobs:
            reported = self._reported.setdefault(job.name, set())
            if job.cause in reported or counts[job.cause] >= MAX_REPORTED_JOBS:
                continue
            counts[job.cause] += 1
            reported.add(job.cause)
            chosen.append(job)
        return chosen

    def _discard_ended(self) -> None:
        self._ended.clear()
        self._reported = {
            name: causes
            for name, causes in self._reported.items()
            if name.partition(".")[0] in self._cluster.open_jobs
        }


def _find_parts(
    state: progress.JobState, runs: list[workers.PlacedRun], active: bool
) -> Iterator[_Part]:
    """Find the parts of a job that have no active run."""
    if not any(step.lasting for step in state.job.steps):
        if not active:
            yield _Part(state=state, task="", waiting=state.waiting, runs=runs)
        return
    for name in state.waiting:
        yield _Part(state=state, task=str(name), waiting=(name,), runs=())
    for placed in runs:
        task = str(placed.task.name)
        yield _Part(state=state, task=task, waiting=(), runs=(placed,))


def _is_starting(blocker: blockers.Blocker, now: float) -> bool:
    """Return whether a start is in progress for a short time only."""
    starting = blocker.cause in (
        blockers.Cause.NO_RECORD,
        blockers.Cause.NO_CONFIRMATION,
    )
    return starting and now - blocker.since < START_GRACE_S


def _describe(
    part: _Part, blocker: blockers.Blocker, seconds: float
) -> StalledJob:
    state = part.state
    return StalledJob(
        task=part.task,
        job=state.identity,
        queue=state.queue,
        workspace=state.workspace,
        accepted=state.accepted,
        seconds=seconds,
        waiting=len(part.waiting),
        blocker=blocker,
    )
