"""Moves lasting tasks out of evacuated halls.

A task is stopped only within its step's availability budget, and only if a
worker elsewhere has capacity for it now; all other tasks of the hall run to
completion.  The orders are in the platform's store and what runs where is in
the jobs' records, so an evacuation needs no record of its own.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
import math

from rackvalve.jobs import progress
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import eviction
from rackvalve.scheduling import exclusivity
from rackvalve.scheduling import fleet
from rackvalve.scheduling import placement
from rackvalve.scheduling import starter as starters
from rackvalve.scheduling import workers
from rackvalve.workspaces import account as accounts

# Job, repetition and step.
StepKey = tuple[str, int, int]
FindTickets = Callable[[progress.JobState, int, int], dict[str, str] | None]


class Room:
    """Capacity of workers, less what other lasting tasks are about to take.

    Without these, several tasks would be stopped for the same capacity, and
    all but one would wait.

    :param members: The workers, all of them outside evacuated halls.
    :param find_tickets: Returns the workers admitted for a job's step of a
        repetition; ``None`` if all are.
    """

    __slots__ = ("_members", "_find_tickets", "_free", "_used")

    def __init__(
        self,
        members: Sequence[workers.WorkerState],
        find_tickets: FindTickets,
    ) -> None:
        self._members = members
        self._find_tickets = find_tickets
        self._free = {worker.identity: worker.free for worker in members}
        self._used: dict[StepKey, collections.Counter[str]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is no worker at all."""
        return not self._members

    def take(self, state: progress.JobState, task: progress.Task) -> bool:
        """Take the capacity for a task, if there is enough on one worker.

        :param state: The task's job.
        :param task: The task.
        :return: Whether there was.
        """
        name = task.name
        step = state.step_of(name)
        need = fleet.get_resource_request(step)
        key = (state.identity, name.repetition, name.step)
        if key not in self._used:
            self._used[key] = starters.count_used(
                state, name.repetition, name.step
            )
        used = self._used[key]
        # Where no admission is known, each worker may be admitted.
        tickets = self._find_tickets(state, name.repetition, name.step) or None
        fitting = [
            worker.identity
            for worker in self._members
            if self._free[worker.identity].fits(need)
            and placement.could_start(worker, step, used, tickets)
            # It starts on a worker without other runs.
            and not (task.crashes and worker.runs)
        ]
        if not fitting:
            return False
        # The same preference as that of the planner for lasting tasks.
        best = min(
            fitting, key=lambda name: (used[name], -self._free[name].cpu)
        )
        self._free[best] = self._free[best].minus(need)
        used[best] += 1
        return True

    def take_together(
        self, state: progress.JobState, tasks: Sequence[progress.Task]
    ) -> None:
        """Take the capacity for all members of a gang, or none.

        :param state: The tasks' job.
        :param tasks: The members.
        """
        free = dict(self._free)
        used = {key: counts.copy() for key, counts in self._used.items()}
        if not all(self.take(state, task) for task in tasks):
            self._free, self._used = free, used


class Evacuator:
    """Decides which lasting tasks leave evacuated halls now.

    :param cluster: The owner's view of the cluster.
    :param list_members: Returns the workers of a pool on which runs may be
        placed, for a present time in seconds.
    :param list_reserved: Returns the identities of a pool's workers that are
        reserved for single jobs.
    :param find_tickets: Returns the workers admitted for a job's step of a
        repetition; ``None`` if all are.
    """

    __slots__ = (
        "_cluster",
        "_list_members",
        "_list_reserved",
        "_find_tickets",
        "_rooms",
    )

    def __init__(
        self,
        cluster: clusters.Cluster,
        list_members: Callable[[str, float], list[workers.WorkerState]],
        list_reserved: Callable[[str], Collection[str]],
        find_tickets: FindTickets,
    ) -> None:
        self._cluster = cluster
        self._list_members = list_members
        self._list_reserved = list_reserved
        self._find_tickets = find_tickets
        # Capacity by pool, in this round.
        self._rooms: dict[str, Room] = {}

    def begin_round(self) -> None:
        """Forget the measured capacity; runs have ended or started since."""
        self._rooms.clear()

    def may_stop(
        self,
        worker: workers.WorkerState,
        placed: workers.PlacedRun,
        now: float,
    ) -> bool:
        """Return whether a run leaves an evacuated hall now.

        The caller stops it then, as its capacity elsewhere is taken.

        :param worker: The run's worker.
        :param placed: The run.
        :param now: Present time, in seconds.
        """
        if not self._cluster.policy.evacuation or not worker.evacuated:
            return False
        queue = self._cluster.queues.get(placed.state.queue)
        if queue is None or not placed.step.lasting:
            return False
        room = self._rooms.get(queue.pool)
        if room is None:
            room = self._rooms[queue.pool] = measure_room(
                self._cluster,
                queue.pool,
                self._list_members(queue.pool, now),
                self._list_reserved(queue.pool),
                self._find_tickets,
            )
        if room.is_empty or not may_leave(self._cluster, placed, now):
            return False
        return room.take(placed.state, placed.task)


def measure_room(
    cluster: clusters.Cluster,
    pool: str,
    members: Sequence[workers.WorkerState],
    reserved: Collection[str],
    find_tickets: FindTickets,
) -> Room:
    """Measure the capacity that a pool has for tasks of evacuated halls.

    :param cluster: The owner's view of the cluster.
    :param pool: The pool.
    :param members: The workers on which runs may be placed.
    :param reserved: Identities of those that are reserved for single jobs.
    :param find_tickets: Returns the workers admitted for a job's step of a
        repetition; ``None`` if all are.
    """
    room = Room(
        [
            worker
            for worker in exclusivity.list_open(members, reserved)
            if not worker.evacuated
        ],
        find_tickets,
    )
    if room.is_empty:
        return room
    for state in cluster.open_jobs.values():
        queue = cluster.queues.get(state.queue)
        if queue is not None and queue.pool == pool:
            _take_starting(cluster, room, state)
    return room


def _take_starting(
    cluster: clusters.Cluster, room: Room, state: progress.JobState
) -> None:
    """Take the capacity for the lasting tasks of a job that start soon."""
    gangs: dict[tuple[int, int], list[progress.Task]] = {}
    for task in _list_starting(state):
        if _is_held(cluster, state, task):
            continue
        name = task.name
        if state.step_of(name).gang:
            key = (name.repetition, name.step)
            gangs.setdefault(key, []).append(task)
        else:
            room.take(state, task)
    for tasks in gangs.values():
        if len(tasks) == state.step_of(tasks[0].name).tasks:
            room.take_together(state, tasks)


def _is_held(
    cluster: clusters.Cluster, state: progress.JobState, task: progress.Task
) -> bool:
    """Return whether a waiting task cannot start for its workspace's bound."""
    if task.runs:
        return False
    charge = fleet.get_charge(state.step_of(task.name))
    workspace = cluster.find_workspace(state)
    return not cluster.usage.count_allowed(workspace, charge, 1)


def _list_starting(state: progress.JobState) -> Iterator[progress.Task]:
    """List the lasting tasks of a job that wait or are being stopped."""
    if not any(step.lasting for step in state.job.steps):
        return
    for task in state.tasks.values():
        if task.done or not state.step_of(task.name).lasting:
            continue
        if all(run.stop_wanted for run in task.runs.values()):
            yield task


def may_leave(
    cluster: clusters.Cluster, placed: workers.PlacedRun, now: float
) -> bool:
    """Return whether a lasting task may be stopped to leave an evacuated hall.

    Whether there is capacity for it elsewhere is for :class:`Room` to say.
    Tasks on a worker that is out of reach are replaced once a proof shows
    that they are over.  Members of a gang could only restart together.

    :param cluster: The owner's view of the cluster.
    :param placed: The task's run.
    :param now: Present time, in seconds.
    """
    worker = cluster.workers.get(placed.run.worker)
    if worker is None or placed.step.gang:
        return False
    if now - worker.last_alive_at > eviction.SILENCE_S:
        return False
    workspace = cluster.find_workspace(placed.state)
    if workspace is not None:
        charge = fleet.get_charge(placed.step)
        rest = cluster.usage.used(workspace.name).minus(charge)
        # A bound that was lowered would keep the task from starting again.
        if not accounts.allows(workspace.bound, rest, charge):
            return False
    return eviction.may_evict(cluster, placed, now)


def is_evacuated(cluster: clusters.Cluster, vm: fleet.Vm | None) -> bool:
    """Return whether a VM accepts no work since its hall is evacuated.

    :param cluster: The owner's view of the cluster.
    :param vm: The VM as the platform lists it; ``None`` if it does not.
    :return: ``False`` where evacuations have no effect on waves.
    """
    return (
        cluster.policy.evacuation
        and vm is not None
        and vm.hall in cluster.evacuated
    )


def contains_vm(cluster: clusters.Cluster, hall: str) -> bool:
    """Return whether a VM or a worker is known to be in a hall.

    :param cluster: The owner's view of the cluster.
    :param hall: Name of the hall.
    """
    if cluster.halls is not None and hall in cluster.halls:
        return True
    return any(
        worker.entry is not None and worker.entry.hall == hall
        for worker in cluster.workers.values()
    )


def describe_reason(worker: workers.WorkerState) -> str:
    """Return the reason for stopping a run that leaves an evacuated hall.

    :param worker: Its worker.
    """
    hall = worker.entry.hall if worker.entry is not None else ""
    return f"its hall {hall} is evacuated"


def list_lasting(
    cluster: clusters.Cluster,
) -> Iterator[tuple[fleet.Entry, workers.PlacedRun]]:
    """List the lasting tasks in evacuated halls, with their workers' entries.

    :param cluster: The owner's view of the cluster.
    """
    for worker in cluster.workers.values():
        if not worker.evacuated or worker.entry is None:
            continue
        for placed in worker.runs.values():
            if placed.step.lasting and not placed.state.is_final:
                yield worker.entry, placed


def measure_pools(cluster: clusters.Cluster) -> dict[str, int]:
    """Measure how many VMs pools need so that lasting tasks can move.

    The demand in resources alone does not tell this: tasks that a worker takes
    only few of, or that nearly fill one, need VMs of their own.

    :param cluster: The owner's view of the cluster.
    :return: Number of VMs by pool, for the pools with such tasks.
    """
    if not cluster.policy.evacuation or not cluster.evacuated:
        return {}
    moving: dict[str, list[workers.PlacedRun]] = {}
    for entry, placed in list_lasting(cluster):
        moving.setdefault(entry.pool, []).append(placed)
    return {
        pool: _count_vms(cluster.workers_by_pool.find(pool), runs)
        for pool, runs in moving.items()
    }


def _count_vms(
    known: Sequence[workers.WorkerState], runs: Sequence[workers.PlacedRun]
) -> int:
    """Count the VMs in use outside evacuated halls, and those for runs."""
    units = [worker.entry.capacity for worker in known if worker.entry]
    used = fleet.NO_RESOURCES
    for worker in known:
        if worker.entry is not None and not worker.evacuated:
            used = used.plus(worker.entry.capacity.minus(worker.free))
    unit = units[-1]
    return math.ceil(used.count_vms(unit)) + _pack(runs, unit)


def _pack(runs: Sequence[workers.PlacedRun], unit: fleet.Resources) -> int:
    """Count the empty VMs that runs need, each on the first with capacity."""
    free: list[fleet.Resources] = []
    used: list[collections.Counter[StepKey]] = []
    for placed in sorted(runs, key=lambda run: -run.need.count_vms(unit)):
        name, step = placed.task.name, placed.step
        key = (placed.state.identity, name.repetition, name.step)
        for number, left in enumerate(free):
            full = 0 < step.most_per_worker <= used[number][key]
            if left.fits(placed.need) and not full:
                break
        else:
            number = len(free)
            free.append(unit)
            used.append(collections.Counter())
        free[number] = free[number].minus(placed.need)
        used[number][key] += 1
    return len(free)
