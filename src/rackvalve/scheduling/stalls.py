"""Which jobs stand still: a task's turn has come and nothing is at work.

A job that lasts serves with each of its tasks, so that each of them counts by
itself.  The owner looks once a second, after a plan; what starts and ends
between two looks does not stand.
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
from rackvalve.scheduling import book as books
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import workers

# A job stands still after this time with nothing at work, in seconds: half of
# what the users' pages bear.  A start takes up to 0.3 s by a slow store.
STANDING_S = 1.5
# A start that is under way for less than this holds nothing up, in seconds;
# a slow store takes 0.24 s for its record.
START_S = 0.5
# Jobs of one pool and cause that are told of at one look.
TOLD_MOST = 2
# Jobs that are judged at one look, in the order in which they came: an owner
# with 2,000 that wait took 60 ms for all of them.
JUDGED_MOST = 500


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Part:
    """A job, or one task of a job that lasts, with nothing at work.

    :param state: The job.
    :param task: Name of the task; empty for the whole job.
    :param waiting: Its tasks that wait.
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
    """A job, or one task of a job that lasts, that stands still.

    :param job: Its identifier.
    :param task: Name of the task; empty for the whole job.
    :param queue: Its queue.
    :param workspace: Its workspace.
    :param accepted: When it was accepted, seconds since 1970.
    :param seconds: For how long at least, in seconds.
    :param waiting: How many of its tasks wait.
    :param blocker: What keeps it.
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
        """Why it stands."""
        return self.blocker.cause

    @property
    def name(self) -> str:
        """The job's identifier, or the full name of its task."""
        return f"{self.job}.{self.task}" if self.task else self.job


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StalledPool:
    """The jobs of one pool that stand still.

    :param pool: The pool; empty for jobs whose queue is not known.
    :param causes: How many jobs stand, by cause.
    :param oldest: The one that stands longest.
    :param overtaken: How many jobs of its queue were accepted after it and
        have started.
    :param workers: The pool's workers, by whether they take work.
    """

    pool: str
    causes: collections.Counter[blockers.Cause]
    oldest: StalledJob
    overtaken: int
    workers: collections.Counter[blockers.Availability]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StallReport:
    """What one look has found.

    :param pools: Pools with jobs that stand.
    :param jobs: Jobs that were not told of with this cause before.
    :param unjudged: How many more jobs have nothing at work: a look judges
        so many only.
    """

    pools: tuple[StalledPool, ...]
    jobs: tuple[StalledJob, ...]
    unjudged: int

    def count(self) -> collections.Counter[blockers.Cause]:
        """Return how many jobs stand, by cause."""
        total: collections.Counter[blockers.Cause] = collections.Counter()
        for pool in self.pools:
            total.update(pool.causes)
        return total


class StallDetector:
    """Looks for jobs that stand still.

    :param book: The book.
    :param planner: The planner over it.
    :param freshness: Longest time since a worker's last answer for its runs
        to count as at work, in seconds.
    """

    __slots__ = (
        "_book",
        "_planner",
        "_freshness",
        "_looked",
        "_since",
        "_ended",
        "_told",
        "_unjudged",
    )

    def __init__(
        self, book: books.Book, planner: planners.Planner, freshness: float
    ) -> None:
        self._book = book
        self._planner = planner
        self._freshness = freshness
        # Time of the last look, in seconds.
        self._looked = float("-inf")
        # Since when jobs and lasting tasks stand that stood at the last look,
        # in seconds.
        self._since: dict[str, float] = {}
        # Tasks, and their jobs, of which a run has ended since the last look.
        self._ended: set[str] = set()
        # Causes that were told of each job or lasting task.
        self._told: dict[str, set[blockers.Cause]] = {}
        # How many jobs the last look has left out.
        self._unjudged = 0

    def note_end(self, task: str) -> None:
        """Note that a run that was at work has ended.

        :param task: Full name of the task.
        """
        self._ended.add(task)
        self._ended.add(task.partition(".")[0])

    def scan(self, now: float) -> StallReport:
        """Find all jobs that stand still.

        :param now: Present time, in seconds.
        """
        finder = blockers.BlockerFinder(
            self._book, self._planner, now, self._freshness
        )
        standing = self._find_all(finder, now)
        by_pool: dict[str, list[StalledJob]] = {}
        for job in standing:
            by_pool.setdefault(job.blocker.pool, []).append(job)
        pools = [
            self._sum_up(finder, pool, jobs) for pool, jobs in by_pool.items()
        ]
        told: list[StalledJob] = []
        for jobs in by_pool.values():
            told.extend(self._choose(jobs))
        self._forget_ended()
        self._looked = now
        return StallReport(
            pools=tuple(pools), jobs=tuple(told), unjudged=self._unjudged
        )

    def _find_all(
        self, finder: blockers.BlockerFinder, now: float
    ) -> list[StalledJob]:
        """Return the jobs that stand, those that stand longest first."""
        at_work, idle = self._sort_runs(finder)
        since: dict[str, float] = {}
        found: list[StalledJob] = []
        self._unjudged = 0
        for state in self._book.open_jobs.values():
            if now - state.arrived < STANDING_S:
                continue
            if len(since) >= JUDGED_MOST:
                self._unjudged += state.identity not in at_work
                continue
            runs = idle.get(state.identity, [])
            for part in _find_parts(state, runs, state.identity in at_work):
                blocker = finder.find(state, part.waiting, part.runs)
                if blocker is None:
                    continue
                began = self._find_beginning(part, blocker)
                since[part.name] = began
                if now - began >= STANDING_S and not _starts(blocker, now):
                    found.append(_describe(part, blocker, now - began))
        self._since = since
        return sorted(found, key=lambda job: -job.seconds)

    def _sort_runs(
        self, finder: blockers.BlockerFinder
    ) -> tuple[set[str], dict[str, list[workers.PlacedRun]]]:
        """Return jobs with something at work, and other runs by job."""
        at_work: set[str] = set()
        idle: dict[str, list[workers.PlacedRun]] = {}
        for worker in self._book.workers.values():
            for placed in worker.runs.values():
                if finder.is_at_work(placed):
                    at_work.add(placed.state.identity)
                else:
                    idle.setdefault(placed.state.identity, []).append(placed)
        return at_work, idle

    def _find_beginning(self, part: _Part, blocker: blockers.Blocker) -> float:
        known = self._since.get(part.name)
        if known is not None and part.name not in self._ended:
            return known
        state = part.state
        if state.next_run == 1:
            # A task that is repeated is due long after its job has come.
            return blocker.since if state.job.repetitions else state.arrived
        # At the last look something of it was at work.
        return max(blocker.since, self._looked)

    def _sum_up(
        self,
        finder: blockers.BlockerFinder,
        pool: str,
        jobs: list[StalledJob],
    ) -> StalledPool:
        return StalledPool(
            pool=pool,
            causes=collections.Counter(job.cause for job in jobs),
            oldest=jobs[0],
            overtaken=self._count_later(jobs[0]),
            workers=finder.pool(pool).counts,
        )

    def _count_later(self, job: StalledJob) -> int:
        return sum(
            1
            for state in self._book.jobs.values()
            if state.queue == job.queue
            and state.next_run > 1
            and state.accepted > job.accepted
        )

    def _choose(self, jobs: list[StalledJob]) -> list[StalledJob]:
        """Choose of which jobs of a pool to tell."""
        counts: collections.Counter[blockers.Cause] = collections.Counter()
        chosen: list[StalledJob] = []
        for job in jobs:
            told = self._told.setdefault(job.name, set())
            if job.cause in told or counts[job.cause] >= TOLD_MOST:
                continue
            counts[job.cause] += 1
            told.add(job.cause)
            chosen.append(job)
        return chosen

    def _forget_ended(self) -> None:
        self._ended.clear()
        self._told = {
            name: causes
            for name, causes in self._told.items()
            if name.partition(".")[0] in self._book.open_jobs
        }


def _find_parts(
    state: progress.JobState, runs: list[workers.PlacedRun], at_work: bool
) -> Iterator[_Part]:
    """Find the parts of a job of which nothing is at work."""
    if not any(step.lasting for step in state.job.steps):
        if not at_work:
            yield _Part(state=state, task="", waiting=state.waiting, runs=runs)
        return
    for name in state.waiting:
        yield _Part(state=state, task=str(name), waiting=(name,), runs=())
    for placed in runs:
        task = str(placed.task.name)
        yield _Part(state=state, task=task, waiting=(), runs=(placed,))


def _starts(blocker: blockers.Blocker, now: float) -> bool:
    """Return whether a start has only just begun."""
    under_way = blocker.cause in (
        blockers.Cause.NO_RECORD,
        blockers.Cause.NO_CONFIRMATION,
    )
    return under_way and now - blocker.since < START_S


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
