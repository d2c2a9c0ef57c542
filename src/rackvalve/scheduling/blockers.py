"""Finds why tasks whose turn has come do not run, for logs and metrics.

The planner decides; this module only reports which of its conditions are not
met.
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
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import crashes
from rackvalve.scheduling import exclusivity
from rackvalve.scheduling import fleet
from rackvalve.scheduling import maintenance
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import queues
from rackvalve.scheduling import workers


class Cause(enum.Enum):
    """Reason why tasks do not run."""

    NO_QUEUE = "its queue is not in the configuration"
    NO_RECORD = "its start is not yet in the store"
    NO_CONFIRMATION = "its start was ordered and not confirmed"
    NO_WORKER = "no worker takes work"
    BOUND = "its workspace is at its bound"
    NO_ROOM = "no worker has room"
    COLD = "workers with room are cold and start few tasks per second"
    NO_TICKET = "no worker with room is admitted"
    CRASHES = "workers crashed under it: it waits for one to itself"
    NOT_TOGETHER = "its step's tasks cannot all start at once"
    NO_PROOF = "its workers do not answer"
    NOTHING = "nothing that is known holds it"
    FORGOTTEN = "none of its tasks waits or runs"


class Availability(enum.Enum):
    """Whether a worker takes new runs, and why not."""

    TAKING = "taking"
    SLOW = "slow"
    WAVE = "closed for a wave"
    SURPLUS = "closed as surplus"
    RESERVED = "kept for a task under which workers crashed"
    EVACUATED = "in a hall that is evacuated"
    DRAINING = "draining"
    SILENT = "silent"
    SUSPECTED = "in a rack or hall whose workers stopped answering together"
    NOT_HEARD = "not yet heard by this owner"
    NO_ENTRY = "without entry"


class Awaited(enum.Enum):
    """Event that may prove that a run on a worker is over."""

    ANY = "its answer, its VM listed as off, or its lease"
    LEASE = "its lease alone, since no record tells its address"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Blocker:
    """What keeps tasks of a job from running.

    :param cause: Reason.
    :param since: Latest time at which it began, in seconds.
    :param pool: Pool of the job's queue; empty if it is not known.
    :param need: Resources that the smallest waiting task takes.
    :param workers: Workers whose runs are not proved over.
    :param proof_in: Time until the first of their leases is over, in seconds.
    :param awaited: Events that would prove it sooner.
    """

    cause: Cause
    since: float
    pool: str = ""
    need: fleet.Resources | None = None
    workers: tuple[str, ...] = ()
    proof_in: float | None = None
    awaited: Awaited | None = None


def find_availability(
    worker: workers.WorkerState, now: float, freshness: float
) -> Availability:
    """Return whether a worker takes new runs, and why not.

    :param worker: The worker.
    :param now: Present time, in seconds.
    :param freshness: Longest accepted age of its last answer, in seconds.
    """
    if worker.entry is None or worker.entry_missing_since is not None:
        return Availability.NO_ENTRY
    if not worker.established:
        return Availability.NOT_HEARD
    if now - worker.last_answer_at > freshness:
        return Availability.SILENT
    if worker.is_suspected:
        return Availability.SUSPECTED
    if worker.entry.draining:
        return Availability.DRAINING
    if worker.close_reason == maintenance.CLOSED:
        return Availability.WAVE
    if worker.evacuated:
        return Availability.EVACUATED
    if worker.close_reason:
        return Availability.SURPLUS
    return Availability.TAKING


class PoolState:
    """The workers of one pool at one time.

    :param known: All workers of the pool.
    :param members: Workers on which the planner places runs.
    :param reserved: Identities of workers that are reserved for one job.
    :param now: Present time, in seconds.
    :param freshness: Longest accepted age of a worker's last answer, in
        seconds.
    """

    __slots__ = ("counts", "has_cold", "_members", "_largest")

    def __init__(
        self,
        known: Sequence[workers.WorkerState],
        members: Sequence[workers.WorkerState],
        reserved: Container[str],
        now: float,
        freshness: float,
    ) -> None:
        self._members = exclusivity.list_open(members, reserved)
        # Whether some of the workers start few tasks per second.
        self.has_cold = any(worker.is_cold(now) for worker in self._members)
        names = {worker.identity for worker in members}
        taking = {worker.identity for worker in self._members}
        self.counts: collections.Counter[Availability] = collections.Counter()
        for worker in known:
            kind = find_availability(worker, now, freshness)
            if worker.identity in taking:
                kind = Availability.TAKING
            elif worker.identity in names:
                kind = Availability.RESERVED
            elif kind is Availability.TAKING:
                kind = Availability.SLOW
            self.counts[kind] += 1
        # A task that fits into none of these fits on no worker: a few values
        # stand for hundreds of workers and are checked for thousands of jobs.
        self._largest = _find_largest(
            {worker.free for worker in self._members}
        )

    @property
    def takes_work(self) -> bool:
        """Whether any worker takes new runs."""
        kinds = (Availability.TAKING, Availability.RESERVED)
        return any(self.counts[kind] for kind in kinds)

    def has_room(
        self,
        need: fleet.Resources,
        labels: tuple[str, ...],
        tickets: Container[str] | None = None,
    ) -> bool:
        """Return whether a worker has room for a task.

        :param need: Resources that the task takes.
        :param labels: Labels that it requires.
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


class BlockerFinder:
    """Finds what keeps jobs from running, at one time.

    :param cluster: The owner's view of the cluster.
    :param planner: Its planner.
    :param now: Present time, in seconds.
    :param freshness: Longest accepted age of a worker's last answer, in
        seconds.
    """

    __slots__ = ("_cluster", "_planner", "_now", "_freshness", "_pools")

    def __init__(
        self,
        cluster: clusters.Cluster,
        planner: planners.Planner,
        now: float,
        freshness: float,
    ) -> None:
        self._cluster = cluster
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
                self._cluster.workers_by_pool.find(name),
                self._planner.list_members(name, self._now),
                self._planner.list_reserved(name),
                self._now,
                self._freshness,
            )
        return found

    def is_active(self, placed: workers.PlacedRun) -> bool:
        """Return whether a worker that answers has confirmed a run.

        :param placed: The run.
        """
        stage = placed.run.stage
        if stage is progress.Stage.STOPPING:
            is_confirmed = placed.run.confirmed_at is not None
        else:
            is_confirmed = stage is progress.Stage.CONFIRMED
        return is_confirmed and self._answers(placed)

    def find(
        self,
        state: progress.JobState,
        waiting: Collection[definition.TaskName],
        runs: Sequence[workers.PlacedRun],
    ) -> Blocker | None:
        """Find what keeps tasks from running.

        :param state: Their job.
        :param waiting: Tasks that wait for a run.
        :param runs: Runs of the other tasks, none of them confirmed by a
            worker that answers.
        :return: ``None`` if no task's turn has come.
        """
        queue = self._cluster.queues.get(state.queue)
        if queue is None:
            return Blocker(cause=Cause.NO_QUEUE, since=self._now)
        starting = self._find_pending_start(runs, queue.pool)
        if starting is not None:
            return starting
        found = self._find_waiting(state, waiting, queue)
        unclear = found is None or found.cause in (
            Cause.NOTHING,
            Cause.COLD,
            Cause.NOT_TOGETHER,
        )
        if runs and unclear:
            return self._find_awaited_proof(runs, queue.pool)
        if found is None and not waiting and not state.job.repetitions:
            return Blocker(
                cause=Cause.FORGOTTEN, since=self._now, pool=queue.pool
            )
        return found

    def _answers(self, placed: workers.PlacedRun) -> bool:
        worker = self._cluster.workers.get(placed.run.worker)
        if worker is None or not worker.established:
            return False
        return self._now - worker.last_answer_at <= self._freshness

    def _find_pending_start(
        self, runs: Sequence[workers.PlacedRun], pool: str
    ) -> Blocker | None:
        """Find a start that is not yet recorded or not yet confirmed."""
        planned = [
            placed.run.since
            for placed in runs
            if placed.run.stage is progress.Stage.PLANNED
        ]
        if planned:
            return Blocker(
                cause=Cause.NO_RECORD, since=min(planned), pool=pool
            )
        ordered = [placed for placed in runs if self._answers(placed)]
        if not ordered:
            return None
        return Blocker(
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
    ) -> Blocker | None:
        """Find what keeps the smallest waiting task from running."""
        # The first task of each step stands for all, since a job may have
        # thousands.
        ready: dict[int, definition.TaskName] = {}
        for name in waiting:
            if name.step not in ready:
                if state.tasks[name].not_before <= self._now:
                    ready[name.step] = name
        if not ready:
            return None
        first = min(ready.values(), key=lambda name: _size(state, name))
        need = fleet.get_resource_request(state.step_of(first))
        return Blocker(
            cause=self._find_task_cause(state, queue, first, need),
            since=self._now,
            pool=queue.pool,
            need=need,
        )

    def _find_task_cause(
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
        workspace = self._cluster.find_workspace(state)
        allowed = self._cluster.usage.count_allowed(
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
        if step.gang:
            return Cause.NOT_TOGETHER
        return Cause.COLD if pool.has_cold else Cause.NOTHING

    def _find_awaited_proof(
        self, runs: Sequence[workers.PlacedRun], pool: str
    ) -> Blocker:
        """Find what would prove that runs on silent workers are over."""
        names = tuple({placed.run.worker: None for placed in runs})
        found = [
            self._cluster.workers[name]
            for name in names
            if name in self._cluster.workers
        ]
        first = min(
            found, key=lambda worker: worker.lease_expiry, default=None
        )
        if first is None:
            return Blocker(
                cause=Cause.NO_PROOF,
                since=self._now,
                pool=pool,
                workers=names,
            )
        answered = min(worker.last_answer_at for worker in found)
        return Blocker(
            cause=Cause.NO_PROOF,
            since=max(self._cluster.owned_since, answered),
            pool=pool,
            workers=names,
            proof_in=max(0.0, first.lease_expiry - self._now),
            awaited=Awaited.LEASE if first.location is None else Awaited.ANY,
        )


def _find_largest(rooms: Collection[fleet.Resources]) -> list[fleet.Resources]:
    """Return the resources that fit into no other value."""
    largest: list[fleet.Resources] = []
    # A value into which another fits is sorted before it.
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
