"""What keeps tasks from running whose turn has come, as their owner sees it.

It decides nothing: it says which of the planner's conditions they do not meet.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Container
from collections.abc import Sequence
import dataclasses
import enum

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import book as books
from rackvalve.scheduling import crashes
from rackvalve.scheduling import fleet
from rackvalve.scheduling import maintenance
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import queues
from rackvalve.scheduling import workers


class Cause(enum.Enum):
    """Why tasks do not run."""

    NO_QUEUE = "its queue is not in the configuration"
    NO_RECORD = "its start is not yet in the store"
    NO_CONFIRMATION = "its start was ordered and not confirmed"
    NO_WORKER = "no worker takes work"
    BOUND = "its workspace is at its bound"
    NO_ROOM = "no worker has room"
    NO_TICKET = "no worker with room is admitted"
    CRASHES = "workers crashed under it: it waits for one to itself"
    NOT_TOGETHER = "its step's tasks cannot all start at once"
    NO_PROOF = "its workers do not answer"
    NOTHING = "nothing that is known holds it"
    FORGOTTEN = "none of its tasks waits or runs"


class Availability(enum.Enum):
    """Whether a worker takes work, and why not."""

    TAKING = "taking"
    PASSED_OVER = "slow"
    WAVE = "closed for a wave"
    SURPLUS = "closed as surplus"
    KEPT = "kept for a task under which workers crashed"
    EVACUATED = "in a hall that is evacuated"
    DRAINING = "draining"
    SILENT = "silent"
    UNASKED = "not yet heard by this owner"
    NO_ENTRY = "without entry"


class Awaited(enum.Enum):
    """What may prove that a run on a worker is over."""

    ANY = "its answer, its VM listed as off, or its lease"
    LEASE = "its lease alone, since no record tells its address"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Hindrance:
    """What keeps a job's tasks.

    :param cause: Why.
    :param since: Since when at the latest, in seconds.
    :param pool: The pool of its workers; empty if none is known.
    :param need: The room that its smallest waiting task takes.
    :param workers: Workers whose runs are not proved over.
    :param proof_in: Time until the first of them is, in seconds.
    :param awaited: What would prove it sooner.
    """

    cause: Cause
    since: float
    pool: str = ""
    need: fleet.Resources | None = None
    workers: tuple[str, ...] = ()
    proof_in: float | None = None
    awaited: Awaited | None = None


def availability(
    worker: workers.WorkerState, now: float, freshness: float
) -> Availability:
    """Return whether a worker takes work, and why not.

    :param worker: The worker.
    :param now: Present time, in seconds.
    :param freshness: Longest time since its last answer, in seconds.
    """
    if worker.entry is None or worker.gone_since is not None:
        return Availability.NO_ENTRY
    if not worker.established:
        return Availability.UNASKED
    if now - worker.heard > freshness:
        return Availability.SILENT
    if worker.entry.draining:
        return Availability.DRAINING
    if worker.closing == maintenance.CLOSED:
        return Availability.WAVE
    if worker.evacuated:
        return Availability.EVACUATED
    if worker.closing:
        return Availability.SURPLUS
    return Availability.TAKING


class PoolState:
    """The workers of one pool at one moment.

    :param known: All its workers.
    :param members: Those that the planner places work on.
    :param reserved: Identities of those that one job alone may start on.
    :param now: Present time, in seconds.
    :param freshness: Longest time since a worker's last answer, in seconds.
    """

    __slots__ = ("counts", "_members", "_largest")

    def __init__(
        self,
        known: Sequence[workers.WorkerState],
        members: Sequence[workers.WorkerState],
        reserved: Container[str],
        now: float,
        freshness: float,
    ) -> None:
        self._members = [
            worker
            for worker in members
            if worker.identity not in reserved
            and not crashes.is_isolating(worker)
        ]
        names = {worker.identity for worker in members}
        taking = {worker.identity for worker in self._members}
        self.counts: collections.Counter[Availability] = collections.Counter()
        for worker in known:
            kind = availability(worker, now, freshness)
            if worker.identity in taking:
                kind = Availability.TAKING
            elif worker.identity in names:
                kind = Availability.KEPT
            elif kind is Availability.TAKING:
                kind = Availability.PASSED_OVER
            self.counts[kind] += 1
        # What fits into none of these fits nowhere: a few rooms stand for
        # hundreds of workers, whose jobs may wait in thousands.
        self._largest = _find_largest(
            {worker.free for worker in self._members}
        )

    @property
    def takes_work(self) -> bool:
        """Whether any worker takes work."""
        kinds = (Availability.TAKING, Availability.KEPT)
        return any(self.counts[kind] for kind in kinds)

    def has_room(
        self,
        need: fleet.Resources,
        labels: tuple[str, ...],
        tickets: Container[str] | None = None,
    ) -> bool:
        """Return whether a worker has room for a task.

        :param need: The room that it takes.
        :param labels: The labels that it asks for.
        :param tickets: Admitted workers; ``None`` if all are.
        """
        if not any(room.fits(need) for room in self._largest):
            return False
        if not labels and tickets is None:
            return True
        return any(
            worker.free.fits(need)
            and worker.entry is not None
            and worker.entry.labels.issuperset(labels)
            and (tickets is None or worker.identity in tickets)
            for worker in self._members
        )


class Judge:
    """Finds what keeps jobs, at one moment.

    :param book: The book.
    :param planner: The planner over it.
    :param now: Present time, in seconds.
    :param freshness: Longest time since a worker's last answer, in seconds.
    """

    __slots__ = ("_book", "_planner", "_now", "_freshness", "_pools")

    def __init__(
        self,
        book: books.Book,
        planner: planners.Planner,
        now: float,
        freshness: float,
    ) -> None:
        self._book = book
        self._planner = planner
        self._now = now
        self._freshness = freshness
        self._pools: dict[str, PoolState] = {}

    def pool(self, name: str) -> PoolState:
        """Return the state of a pool.

        :param name: Its name.
        """
        found = self._pools.get(name)
        if found is None:
            found = self._pools[name] = PoolState(
                self._book.members.find(name),
                self._planner.list_members(name, self._now),
                self._planner.list_reserved(name),
                self._now,
                self._freshness,
            )
        return found

    def is_at_work(self, placed: workers.Placed) -> bool:
        """Return whether a worker that answers has told of a run.

        :param placed: The run.
        """
        stage = placed.run.stage
        if stage is progress.Stage.STOPPING:
            told = placed.run.confirmed_at is not None
        else:
            told = stage is progress.Stage.CONFIRMED
        return told and self._answers(placed)

    def find(
        self,
        state: progress.JobState,
        waiting: Collection[definition.TaskName],
        runs: Sequence[workers.Placed],
    ) -> Hindrance | None:
        """Find what keeps tasks of which nothing is at work.

        :param state: Their job.
        :param waiting: Those that wait for a run.
        :param runs: The runs of the others.
        :return: ``None`` if no task's turn has come.
        """
        queue = self._book.queues.get(state.queue)
        if queue is None:
            return Hindrance(cause=Cause.NO_QUEUE, since=self._now)
        under_way = self._find_start(runs, queue.pool)
        if under_way is not None:
            return under_way
        found = self._find_waiting(state, waiting, queue)
        unclear = found is None or found.cause in (
            Cause.NOTHING,
            Cause.NOT_TOGETHER,
        )
        if runs and unclear:
            return self._find_proof(runs, queue.pool)
        if found is None and not waiting and not state.job.repetitions:
            return Hindrance(
                cause=Cause.FORGOTTEN, since=self._now, pool=queue.pool
            )
        return found

    def _answers(self, placed: workers.Placed) -> bool:
        worker = self._book.workers.get(placed.run.worker)
        if worker is None or not worker.established:
            return False
        return self._now - worker.heard <= self._freshness

    def _find_start(
        self, runs: Sequence[workers.Placed], pool: str
    ) -> Hindrance | None:
        """Find a start that is under way."""
        planned = [
            placed.run.since
            for placed in runs
            if placed.run.stage is progress.Stage.PLANNED
        ]
        if planned:
            return Hindrance(
                cause=Cause.NO_RECORD, since=min(planned), pool=pool
            )
        ordered = [placed for placed in runs if self._answers(placed)]
        if not ordered:
            return None
        return Hindrance(
            cause=Cause.NO_CONFIRMATION,
            since=min(placed.run.since for placed in ordered),
            pool=pool,
            workers=tuple({placed.run.worker: None for placed in ordered}),
        )

    def _find_waiting(
        self,
        state: progress.JobState,
        waiting: Collection[definition.TaskName],
        queue: queues.Queue,
    ) -> Hindrance | None:
        """Find what keeps the smallest task that waits."""
        # The first of each step stands for the others: a job may have
        # thousands of tasks.
        ready: dict[int, definition.TaskName] = {}
        for name in waiting:
            if name.step not in ready:
                if state.tasks[name].not_before <= self._now:
                    ready[name.step] = name
        if not ready:
            return None
        first = min(ready.values(), key=lambda name: _size(state, name))
        need = fleet.get_resource_request(state.step_of(first))
        return Hindrance(
            cause=self._judge_task(state, queue, first, need),
            since=self._now,
            pool=queue.pool,
            need=need,
        )

    def _judge_task(
        self,
        state: progress.JobState,
        queue: queues.Queue,
        name: definition.TaskName,
        need: fleet.Resources,
    ) -> Cause:
        step = state.step_of(name)
        task = state.tasks[name]
        if crashes.choose_isolation(state, task, self._now).waits:
            return Cause.CRASHES
        pool = self.pool(queue.pool)
        if not pool.takes_work:
            return Cause.NO_WORKER
        asked = step.tasks if step.gang else 1
        workspace = self._book.find_workspace(state)
        allowed = self._book.usage.count_allowed(
            workspace, fleet.get_charge(step), asked
        )
        if allowed < asked:
            return Cause.BOUND
        if not pool.has_room(need, step.labels):
            return Cause.NO_ROOM
        if queue.admission is not None:
            whole = state.step_name(name.repetition, name.step)
            tickets = self._planner.tickets.get(whole, {})
            if not pool.has_room(need, step.labels, tickets):
                return Cause.NO_TICKET
        return Cause.NOT_TOGETHER if step.gang else Cause.NOTHING

    def _find_proof(
        self, runs: Sequence[workers.Placed], pool: str
    ) -> Hindrance:
        """Tell whose word is awaited on runs that may still be there."""
        names = tuple({placed.run.worker: None for placed in runs})
        found = [
            self._book.workers[name]
            for name in names
            if name in self._book.workers
        ]
        first = min(found, key=lambda worker: worker.lease_over, default=None)
        if first is None:
            return Hindrance(
                cause=Cause.NO_PROOF,
                since=self._now,
                pool=pool,
                workers=names,
            )
        answered = min(worker.heard for worker in found)
        return Hindrance(
            cause=Cause.NO_PROOF,
            since=max(self._book.began, answered),
            pool=pool,
            workers=names,
            proof_in=max(0.0, first.lease_over - self._now),
            awaited=Awaited.LEASE if first.location is None else Awaited.ANY,
        )


def _find_largest(rooms: Collection[fleet.Resources]) -> list[fleet.Resources]:
    """Return the rooms that lie within no other one."""
    largest: list[fleet.Resources] = []
    # A room that holds another one comes before it.
    for room in sorted(rooms, key=_sum, reverse=True):
        if not any(other.fits(room) for other in largest):
            largest.append(room)
    return largest


def _sum(room: fleet.Resources) -> int:
    return room.cpu + room.memory + room.gpu


def _size(
    state: progress.JobState, name: definition.TaskName
) -> tuple[int, int, int]:
    step = state.step_of(name)
    return (step.memory, step.cpu, step.gpu)
