"""Which jobs are put aside when a pool can't have all of them in time.

Earliest objective first is the best order while all jobs can be in time.  In
a backlog it makes each job a little late and the next one too.  Moore's rule
for one machine helps: take jobs by the end of their objectives, and whenever
the next one no longer fits, put the job aside that is worth least for its
work.  Here it is applied to a pool, by room times time, which neglects how
single tasks fit on VMs.
"""

from __future__ import annotations

import dataclasses
import heapq

from rackvalve.jobs import progress
from rackvalve.scheduling import book as books
from rackvalve.scheduling import fleet
from rackvalve.scheduling import objectives
from rackvalve.scheduling import queues

# Part of the room that is counted on: tasks of a third of a VM leave gaps, and
# some run longer than the mean.  In emulated backlogs (6 days, 736 jobs each)
# 100 jobs were late with this part, 104 with 0.5 and with 0.85, and 108 when
# none was put aside.
PACKING = 0.7
# What a job counts for whatever its work is, in times of a mean one, and the
# most that it counts (the users' rules).
LEAST_WORTH = 0.3
MOST_WORTH = 4.0
# Time from the order to move a VM until it works, in seconds: the move itself
# by the users' sheets, and a first answer.
MOVE_S = 1.7


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Claim:
    """What a job asks of its pool to be in time.

    :param job: The job's identifier.
    :param due: Time until its objective ends, in seconds.
    :param work: Work that is left, in VMs times seconds.
    :param worth: What it is worth to its caller, in times of a mean job.
    :param begun: Whether it has begun; such a job is never put aside.
    """

    job: str
    due: float
    work: float
    worth: float
    begun: bool


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Supply:
    """The room of a pool in the seconds to come.

    :param now: VMs that work now.
    :param later: VMs that will work for it, those of now among them.
    :param delay: Time until then, in seconds.
    :param taken: Work left of what runs, in VMs times seconds.
    """

    now: float
    later: float
    delay: float
    taken: float

    def count(self, due: float) -> float:
        """Return the room until a time, in VMs times seconds.

        :param due: The time from now, in seconds.
        """
        more = max(0.0, self.later - self.now) * max(0.0, due - self.delay)
        return (self.now * due + more) * PACKING - self.taken


def choose_late(claims: list[Claim], supply: Supply) -> set[str]:
    """Return the jobs to be put aside, so that the others can be in time.

    :param claims: All jobs of the pool that could still be in time.
    :param supply: The pool's room.
    """
    late: set[str] = set()
    total = 0.0
    # Those that may be put aside, the least worth for its work first.
    movable: list[tuple[float, str, float]] = []
    for claim in sorted(claims, key=lambda claim: claim.due):
        total += claim.work
        if not claim.begun and claim.work > 0:
            entry = (claim.worth / claim.work, claim.job, claim.work)
            heapq.heappush(movable, entry)
        while movable and total > supply.count(claim.due):
            _, job, work = heapq.heappop(movable)
            total -= work
            late.add(job)
    return late


class Backlog:
    """Chooses over a book which jobs are put aside.

    :param book: The book.
    """

    __slots__ = ("_book",)

    def __init__(self, book: books.Book) -> None:
        self._book = book

    def weigh(self, now: float) -> set[str]:
        """Return the jobs to be put aside now.

        :param now: Present time, in seconds.
        """
        by_pool: dict[str, list[progress.JobState]] = {}
        for state in self._book.open_jobs.values():
            queue = self._book.queues.get(state.queue)
            if queue is not None and self._can_be_in_time(state, queue, now):
                by_pool.setdefault(queue.pool, []).append(state)
        late: set[str] = set()
        for pool, states in by_pool.items():
            unit = self._find_unit(pool)
            if unit is not None:
                claims = self._make_claims(states, unit, now)
                late |= choose_late(claims, self._measure(pool, unit, now))
        return late

    def _can_be_in_time(
        self, state: progress.JobState, queue: queues.Queue, now: float
    ) -> bool:
        if not state.waiting or state.job.repetitions:
            return False
        if state.job.steps[0].lasting:
            return False
        found = objectives.grade(self._book, state, queue, now)
        return found is objectives.Grade.IN_TIME

    def _find_unit(self, pool: str) -> fleet.Room | None:
        """Return what a VM of a pool has; ``None`` if it has none."""
        for worker in self._book.members.get(pool, {}).values():
            if worker.entry is not None:
                return worker.entry.capacity
        return None

    def _make_claims(
        self, states: list[progress.JobState], unit: fleet.Room, now: float
    ) -> list[Claim]:
        works = {
            state.identity: self._count_work(state, unit) for state in states
        }
        sums: dict[str, list[float]] = {}
        for state in states:
            sums.setdefault(state.queue, []).append(works[state.identity][0])
        means = {queue: sum(row) / len(row) for queue, row in sums.items()}
        claims = []
        for state in states:
            whole, left = works[state.identity]
            size = whole / means[state.queue] if whole else 0.0
            queue = self._book.queues[state.queue]
            objective = objectives.estimate_objective(self._book, state, queue)
            claims.append(
                Claim(
                    job=state.identity,
                    due=objective - (now - state.arrived),
                    work=left,
                    worth=min(
                        MOST_WORTH, LEAST_WORTH + (1 - LEAST_WORTH) * size
                    ),
                    begun=state.phase is not progress.Phase.QUEUED,
                )
            )
        return claims

    def _count_work(
        self, state: progress.JobState, unit: fleet.Room
    ) -> tuple[float, float]:
        """Return a job's work, and what of it no run does yet."""
        typical = self._book.durations.get(state.queue, 0.0)
        parts = [
            fleet.need_of(step).count_in(unit) * (typical or step.estimate)
            for step in state.job.steps
        ]
        whole = sum(
            part * step.tasks
            for part, step in zip(parts, state.job.steps, strict=True)
        )
        covered = sum(
            parts[task.name.step]
            for task in state.tasks.values()
            if task.done or task.runs
        )
        return whole, max(0.0, whole - covered)

    def _measure(self, pool: str, unit: fleet.Room, now: float) -> Supply:
        members = self._book.members.get(pool, {}).values()
        working = [
            worker
            for worker in members
            if worker.established and not worker.closing
        ]
        taken = lasting = 0.0
        for worker in working:
            for placed in worker.runs.values():
                part = placed.need.count_in(unit)
                if placed.step.lasting:
                    lasting += part
                    continue
                typical = self._book.durations.get(placed.state.queue, 0.0)
                worked = now - (placed.run.confirmed_at or now)
                left = (typical or placed.step.estimate) - worked
                taken += part * max(0.0, left)
        return Supply(
            now=len(working) - lasting,
            later=max(len(working), self._book.coming.get(pool, 0)) - lasting,
            delay=MOVE_S,
            taken=taken,
        )
