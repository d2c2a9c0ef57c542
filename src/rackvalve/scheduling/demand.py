"""Measures the demand of each pool's jobs, in VMs."""

from __future__ import annotations

import dataclasses
import math

from rackvalve.jobs import progress
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import crashes
from rackvalve.scheduling import fleet

# Jobs that arrived within this time count as new, in seconds; the same as the
# time over which a rise of the demand is measured.
NEW_JOB_WINDOW_S = 0.5
# Jobs that arrived within this time count as arrivals, in seconds: the time
# over which the onset of a burst is measured (0.2 s), and half the time
# between two samples.
ARRIVAL_WINDOW_S = 0.25


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Demand:
    """Demand of a pool's running and waiting jobs.

    :param vms: Demand of all jobs, in VMs.
    :param largest: Demand of the largest new job, in VMs.
    :param arrivals: Jobs that arrived within :data:`ARRIVAL_WINDOW_S`.
    """

    vms: float
    largest: float
    arrivals: int = 0


NONE = Demand(vms=0.0, largest=0.0)


def measure(cluster: clusters.Cluster, now: float) -> dict[str, Demand]:
    """Measure the demand of each pool.

    :param cluster: The owner's view of the cluster.
    :param now: Present time, in seconds.
    """
    needs: dict[str, fleet.Resources] = {}
    units: dict[str, fleet.Resources] = {}
    for worker in cluster.workers.values():
        if worker.entry is None:
            continue
        pool = worker.entry.pool
        units[pool] = worker.entry.capacity
        used = worker.entry.capacity.minus(worker.free)
        needs[pool] = needs.get(pool, fleet.NO_RESOURCES).plus(used)
    largest: dict[str, float] = {}
    arrivals: dict[str, int] = {}
    bounds = _Bounds(cluster)
    for state in cluster.open_jobs.values():
        queue = cluster.queues.get(state.queue)
        if queue is None:
            continue
        pool = queue.pool
        if state.waiting:
            waiting = bounds.take(state, _sum_waiting(state))
            needs[pool] = needs.get(pool, fleet.NO_RESOURCES).plus(waiting)
        if now - state.arrived <= NEW_JOB_WINDOW_S:
            own = _count_vms(_sum_first_step(state), units.get(pool))
            largest[pool] = max(largest.get(pool, 0.0), own)
        if now - state.arrived <= ARRIVAL_WINDOW_S:
            arrivals[pool] = arrivals.get(pool, 0) + 1
    return {
        pool: Demand(
            vms=_count_vms(need, units.get(pool)),
            largest=largest.get(pool, 0.0),
            arrivals=arrivals.get(pool, 0),
        )
        for pool, need in needs.items()
    }


def measure_spreads(cluster: clusters.Cluster) -> dict[str, int]:
    """Return how many VMs each pool needs to place all lasting tasks.

    A step that limits its tasks per worker needs many workers, however few
    resources its tasks take.

    :param cluster: The owner's view of the cluster.
    :return: Number of VMs by pool.
    """
    spreads: dict[str, int] = {}
    for state in cluster.open_jobs.values():
        queue = cluster.queues.get(state.queue)
        if queue is None:
            continue
        for step in state.job.steps:
            if not step.lasting or not step.most_per_worker:
                continue
            needed = math.ceil(step.tasks / step.most_per_worker)
            spreads[queue.pool] = max(spreads.get(queue.pool, 0), needed)
    return spreads


def measure_isolation(cluster: clusters.Cluster) -> dict[str, int]:
    """Return how many VMs each pool needs for tasks that must start alone.

    One more accepts all other jobs meanwhile.

    :param cluster: The owner's view of the cluster.
    :return: Number of VMs by pool; pools without such tasks are left out.
    """
    needed: dict[str, int] = {}
    for state in cluster.open_jobs.values():
        queue = cluster.queues.get(state.queue)
        isolating = _count_isolating(state) if queue is not None else 0
        if queue is not None and isolating:
            needed[queue.pool] = max(needed.get(queue.pool, 0), isolating + 1)
    return needed


def _count_isolating(state: progress.JobState) -> int:
    """Return how many VMs a job's tasks need that run in isolation only."""
    needed = 0
    for name in state.suspects:
        task = state.tasks[name]
        if name in state.waiting:
            is_isolated = task.crashes >= crashes.REQUIRE_ISOLATION_FROM
        else:
            # Such a run keeps its worker until the task is cleared.
            is_isolated = (
                task.isolated_run in task.runs
                and task.crashes >= crashes.LAST_START_FROM
            )
        if not is_isolated:
            continue
        step = state.step_of(name)
        hosts = 1
        if step.gang and step.most_per_worker:
            hosts = math.ceil(step.tasks / step.most_per_worker)
        needed = max(needed, hosts)
    return needed


class _Bounds:
    """What the bounds of workspaces leave for waiting tasks.

    Tasks beyond their workspace's bound need no VM, as they cannot start.
    """

    __slots__ = ("_cluster", "_left")

    def __init__(self, cluster: clusters.Cluster) -> None:
        self._cluster = cluster
        self._left: dict[str, fleet.Resources] = {}

    def take(
        self, state: progress.JobState, request: fleet.Resources
    ) -> fleet.Resources:
        """Return the part of a job's request that may run, and count it."""
        workspace = self._cluster.find_workspace(state)
        if workspace is None or workspace.bound == fleet.NO_RESOURCES:
            return request
        left = self._left.get(workspace.name)
        if left is None:
            left = self._cluster.usage.compute_headroom(workspace)
        allowed = request.within(left)
        self._left[workspace.name] = left.minus(allowed)
        return allowed


def _sum_waiting(state: progress.JobState) -> fleet.Resources:
    """Return the resources that the waiting tasks of a job need."""
    total = fleet.NO_RESOURCES
    for name in state.waiting:
        total = total.plus(
            fleet.get_resource_request(state.job.steps[name.step])
        )
    return total


def _sum_first_step(state: progress.JobState) -> fleet.Resources:
    """Return the resources that all tasks of a job's first step need."""
    step = state.job.steps[0]
    need = fleet.get_resource_request(step)
    return fleet.Resources(
        cpu=need.cpu * step.tasks,
        memory=need.memory * step.tasks,
        gpu=need.gpu * step.tasks,
    )


def _count_vms(need: fleet.Resources, unit: fleet.Resources | None) -> float:
    """Return how many VMs a request fills; 0 for a pool without workers."""
    return 0.0 if unit is None else need.count_vms(unit)
