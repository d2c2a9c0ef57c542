"""Decides the size of each pool and which VMs move between pools.

A VM in a pool is paid for, a VM in the spare pool is not.  Moving a VM takes
seconds, so a pool keeps enough VMs for its recent peak demand.  VMs beyond
that leave the pool, and VMs beyond its present need leave as soon as another
pool is short.  A VM moves once no run is left on it.
"""

from __future__ import annotations

import dataclasses
import math

from rackvalve.scheduling import closures
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import demand as demands
from rackvalve.scheduling import domains
from rackvalve.scheduling import evacuation
from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import fleet
from rackvalve.scheduling import forecast as forecasts
from rackvalve.scheduling import maintenance as maintenances
from rackvalve.scheduling import workers

# Factor on the demand, for uneven packing and jobs that arrive meanwhile.
HEADROOM = 1.25
# Factor on the demand of a pool that is short: growing demand goes on growing
# while VMs are on their way.
GROWTH_HEADROOM = 1.5
# VMs added to all of this, so that the loss of one needs no move.
RESERVE_VMS = 1
MIN_POOL_VMS = 3
# Runs that are not lasting may always end on a surplus VM.
GRACE_S = float("inf")
# A VM that has just come to a pool stays for at least this long, in seconds.
# A short stay soon frees a VM that came too late for a rise: compared with
# 3 s, VMs spend 1.5 % less time in pools and move 5 % more often.
MIN_STAY_S = 1.0
SURPLUS = "surplus"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class MoveVm:
    """Order the platform to move a VM to another pool.

    :param vm: The VM.
    :param pool: Its new pool.
    """

    vm: str
    pool: str


class PoolSize:
    """The demand and the size of one pool."""

    __slots__ = (
        "forecast",
        "leaving",
        "wanted",
        "have",
        "spread",
        "rotating",
    )

    def __init__(self) -> None:
        self.forecast = forecasts.Forecast()
        # VMs being vacated to leave the pool.
        self.leaving: set[str] = set()
        self.wanted = 0
        self.have = 0
        # Least number of VMs on which all tasks of each lasting step fit.
        self.spread = 0
        # VMs that waves close at the same time, in a pool with such steps.
        self.rotating = 0

    @property
    def shortage(self) -> int:
        """How many VMs the pool is short of."""
        return max(0, self.wanted - self.have)

    @property
    def minimum(self) -> int:
        """How many VMs the pool keeps, whatever its demand is."""
        if not self.spread:
            return MIN_POOL_VMS
        # Tasks that leave a VM need places that the other VMs do not have.
        return max(MIN_POOL_VMS, self.spread + RESERVE_VMS + self.rotating)


class Sizer:
    """Decides the sizes of all pools.

    :param cluster: The owner's view of the cluster.
    :param maintenance: The waves, whose VMs are not moved.
    :param detector: Detects silent workers and halls.
    """

    __slots__ = (
        "_cluster",
        "_maintenance",
        "_detector",
        "pools",
        "moving",
        "arrived",
    )

    def __init__(
        self,
        cluster: clusters.Cluster,
        maintenance: maintenances.MaintenancePlanner,
        detector: failure_detector.FailureDetector,
    ) -> None:
        self._cluster = cluster
        self._maintenance = maintenance
        self._detector = detector
        self.pools: dict[str, PoolSize] = {}
        # New pool by VM, until the platform's list shows the VM there.
        self.moving: dict[str, str] = {}
        maintenance.moving = self.moving.keys()
        self.arrived: dict[str, float] = {}

    def list_leaving(self) -> set[str]:
        """Return the VMs being vacated to leave their pools."""
        return set().union(*(pool.leaving for pool in self.pools.values()))

    def decide(self, now: float) -> list[MoveVm]:
        """Choose the VMs that move now.

        :param now: Present time, in seconds.
        """
        spare = self._find_spare_pool()
        if spare is None or not self._maintenance.vms:
            return []
        self._forget_finished_moves(now)
        self._update_sizes(now)
        orders = self._grow_all(spare)
        is_any_short = any(size.shortage for size in self.pools.values())
        for name, size in self.pools.items():
            self._shrink(name, size, now, is_any_short=is_any_short)
            orders.extend(self._vacate(size, spare, now))
        return orders

    @property
    def is_short(self) -> bool:
        """Whether a pool is short although all spare VMs were given."""
        return any(size.shortage for size in self.pools.values())

    def count_reserved(self, now: float) -> int:
        """Return how many VMs the pools will ask for during maintenance.

        A VM that is closed now is missing until it is back, and so is each VM
        that a pool needs meanwhile and that a wave has already taken.

        :param now: Present time, in seconds.
        """
        reserved = 0
        for size in self.pools.values():
            expected = size.forecast.predict(now, maintenances.AWAY_S)
            reserved += max(0, math.ceil(expected * HEADROOM) - size.have)
        return reserved

    def find_closures(self) -> dict[str, closures.Closure]:
        """Return the VMs whose workers take no work, and why.

        A worker that starts in its VM's old pool after the move was chosen
        ends with the move; a worker of the new pool shows that the VM has
        moved.
        """
        found = {
            vm: closures.Closure(reason=SURPLUS, open_to_pool=pool)
            for vm, pool in self.moving.items()
        }
        for vm in self.list_leaving():
            found[vm] = closures.Closure(reason=SURPLUS)
        return found

    def restore(self, vm: str, pool: str) -> None:
        """Resume a move that an earlier owner ordered.

        :param vm: The VM.
        :param pool: Its new pool.
        """
        self.moving[vm] = pool

    def forget_move(self, vm: str) -> None:
        """Forget a move that the platform did not accept in time or at all.

        :param vm: The VM.
        """
        self.moving.pop(vm, None)

    def _start_move(self, vm: str, pool: str) -> MoveVm:
        """Start a move; from now on the VM's workers take no work."""
        self.moving[vm] = pool
        for worker in self._maintenance.find_workers(vm):
            worker.close_reason = SURPLUS
        if pool in self.pools:
            self.pools[pool].have += 1
        return MoveVm(vm=vm, pool=pool)

    def _find_spare_pool(self) -> str | None:
        for name, pool in self._cluster.configuration.pools.items():
            if pool.spare:
                return name
        return None

    def _forget_finished_moves(self, now: float) -> None:
        """Forget moves that have ended by the platform's list."""
        for vm, pool in list(self.moving.items()):
            listed = self._maintenance.vms.get(vm)
            if listed is None or _has_arrived(listed, pool):
                del self.moving[vm]
                self.arrived[vm] = now

    def _update_sizes(self, now: float) -> None:
        """Update the present and the wanted size of each pool."""
        measured = demands.measure(self._cluster, now)
        spreads = demands.measure_spreads(self._cluster)
        isolation = demands.measure_isolation(self._cluster)
        evacuated = evacuation.measure_pools(self._cluster)
        for name, pool in self._cluster.configuration.pools.items():
            if pool.spare:
                self.pools.pop(name, None)
                continue
            size = self.pools.setdefault(name, PoolSize())
            size.forecast.add_sample(measured.get(name, demands.NONE), now)
            size.spread = spreads.get(name, 0)
            size.rotating = 0
            if size.spread:
                size.rotating = self._maintenance.count_rotating(name, now)
            size.have = len(self._list_serving(name, size))
            size.wanted = max(_count_wanted(size, now), isolation.get(name, 0))
            if name in evacuated:
                needed = evacuated[name] + RESERVE_VMS
                size.wanted = max(size.wanted, needed)
        for name in (
            self.pools.keys() - self._cluster.configuration.pools.keys()
        ):
            del self.pools[name]

    def _list_serving(self, name: str, size: PoolSize) -> list[str]:
        """Return the VMs that serve a pool, or soon will.

        VMs that a wave has closed take no work, so other VMs replace them.
        """
        maintained = self._maintenance.list_leaving()
        coming = [vm for vm, pool in self.moving.items() if pool == name]
        working = [
            vm.identity
            for vm in self._maintenance.vms.values()
            if vm.pool == name
            and vm.identity not in self.moving
            and vm.identity not in size.leaving
            and vm.identity not in maintained
            and self._is_usable(vm)
        ]
        return coming + working

    def _count_places(self, name: str) -> domains.Counts:
        """Count the VMs that serve a pool by rack and hall."""
        counts = domains.Counts()
        for vm in self._list_serving(name, self.pools[name]):
            counts.add(self._cluster.locations.find(vm))
        return counts

    def _is_usable(self, vm: fleet.Vm) -> bool:
        """Return whether a VM works, or is away for a moment only.

        A VM that is out of reach may stay so for long, so it is replaced.
        """
        if vm.lost or vm.hall in self._cluster.evacuated:
            return False
        worker = self._cluster.find_current(vm.worker)
        if worker is None or worker.entry is None:
            return not vm.up
        if worker.identity in self._detector.silent_workers:
            return False
        return not worker.entry.draining

    def _grow_all(self, spare: str) -> list[MoveVm]:
        """Give spare VMs one at a time to the pool with most shortage."""
        orders: list[MoveVm] = []
        counts: dict[str, domains.Counts] = {}
        for name, size in self.pools.items():
            while size.shortage and size.leaving:
                ranked = [
                    (domains.NO_RANK, vm)
                    for vm in sorted(size.leaving)
                    if self._may_take_back(vm)
                ]
                if not ranked:
                    break
                vm = self._choose_joining(ranked, name, counts)
                size.leaving.remove(vm)
                size.have += 1
        spares = self._list_spares(spare)
        while spares:
            neediest = self._find_neediest_pool()
            if neediest is None:
                break
            vm = self._choose_joining(spares, neediest, counts)
            spares = [row for row in spares if row[1] != vm]
            orders.append(self._start_move(vm, neediest))
        return orders

    def _may_take_back(self, vm: str) -> bool:
        """Return whether a leaving VM may serve its pool again.

        One of a suspected rack or of an evacuated hall takes no work.
        """
        if self._detector.suspicions.covers(vm):
            return False
        listed = self._maintenance.vms.get(vm)
        return not evacuation.is_evacuated(self._cluster, listed)

    def _choose_joining(
        self,
        ranked: list[tuple[domains.Rank, str]],
        name: str,
        counts: dict[str, domains.Counts],
    ) -> str:
        """Choose the VM that a pool gets.

        :param ranked: VMs with their rank, the best first.
        :param name: The pool.
        :param counts: VMs by rack and hall of the pools chosen for so far.
        """
        if not self._cluster.policy.failure_domains:
            return ranked[0][1]
        if name not in counts:
            counts[name] = self._count_places(name)
        return domains.choose_joining(
            ranked, self._cluster.locations, counts[name]
        )

    def _find_neediest_pool(self) -> str | None:
        """Return the pool that is short of most VMs, if any is short."""
        best = max(
            self.pools,
            key=lambda name: self.pools[name].shortage,
            default=None,
        )
        if best is None or not self.pools[best].shortage:
            return None
        return best

    def _list_spares(self, spare: str) -> list[tuple[domains.Rank, str]]:
        """Return VMs that may leave the spare pool, the best first."""
        leaving = self._maintenance.list_leaving()
        later = self._maintenance.list_pending()
        found: list[tuple[domains.Rank, str]] = [
            ((int(vm.identity in later),), vm.identity)
            for vm in self._maintenance.vms.values()
            if vm.pool == spare
            and vm.identity not in self.moving
            and vm.identity not in leaving
            and vm.identity not in self._maintenance.held
            and vm.hall not in self._detector.silent_halls
            and vm.hall not in self._cluster.evacuated
            and not self._detector.suspicions.covers(vm.identity)
        ]
        found.sort(key=lambda row: row[0])
        return found

    def _shrink(
        self, name: str, size: PoolSize, now: float, *, is_any_short: bool
    ) -> None:
        """Choose VMs to leave that the pool no longer needs."""
        # VMs that another pool is short of are not kept for a past peak.
        keep = size.wanted if is_any_short else _count_kept(size)
        surplus = size.have - keep
        if surplus <= 0:
            return
        for vm in self._choose_leaving(name, size, now, surplus):
            size.leaving.add(vm)
            size.have -= 1

    def _choose_leaving(
        self, name: str, size: PoolSize, now: float, most: int
    ) -> list[str]:
        """Choose the VMs that leave a pool."""
        ranked = self._rank_surplus(name, size, now)
        if not self._cluster.policy.failure_domains:
            return [vm for _, vm in ranked[:most]]
        return domains.choose_leaving(
            ranked, self._cluster.locations, self._count_places(name), most
        )

    def _rank_surplus(
        self, name: str, size: PoolSize, now: float
    ) -> list[tuple[domains.Rank, str]]:
        """Return the VMs that may leave a pool, the cheapest first."""
        away = (
            self._maintenance.list_leaving()
            | self.moving.keys()
            | size.leaving
        )
        away |= self._maintenance.held
        later = self._maintenance.list_pending()
        ranked: list[tuple[domains.Rank, str]] = []
        for vm in self._maintenance.vms.values():
            worker = self._cluster.find_current(vm.worker)
            if vm.pool != name or not vm.up or vm.identity in away:
                continue
            if worker is None or worker.entry is None:
                continue
            if worker.identity in self._detector.silent_workers:
                continue
            # The VM was not counted, and serves again once its hall does.
            if vm.hall in self._cluster.evacuated:
                continue
            if self._detector.suspicions.covers(vm.identity):
                continue
            if now - self.arrived.get(vm.identity, float("-inf")) < MIN_STAY_S:
                continue
            lasting, runs = _count_cost(worker)
            rank = (lasting, runs, int(vm.identity not in later))
            ranked.append((rank, vm.identity))
        ranked.sort()
        return ranked

    def _vacate(self, size: PoolSize, spare: str, now: float) -> list[MoveVm]:
        """Vacate VMs that leave a pool; move those without runs.

        They go to the pool that is short of most VMs, or to the spare pool.
        """
        orders = []
        for vm in sorted(size.leaving):
            if vm not in self._maintenance.vms:
                size.leaving.discard(vm)
            elif self._maintenance.vacate(vm, SURPLUS, GRACE_S, now):
                size.leaving.discard(vm)
                pool = self._find_neediest_pool() or spare
                orders.append(self._start_move(vm, pool))
        return orders


def _has_arrived(vm: fleet.Vm, pool: str) -> bool:
    """Return whether a VM is up, or lost, in the pool that it moves to."""
    return vm.pool == pool and (vm.up or vm.lost)


def _count_wanted(size: PoolSize, now: float) -> int:
    """Return how many VMs a pool needs for its demand."""
    wanted = math.ceil(size.forecast.newest * HEADROOM) + RESERVE_VMS
    if size.forecast.newest > size.have - RESERVE_VMS:
        wanted = (
            math.ceil(size.forecast.newest * GROWTH_HEADROOM) + RESERVE_VMS
        )
    wanted = max(wanted, math.ceil(size.forecast.predict(now)) + RESERVE_VMS)
    return max(size.minimum, wanted)


def _count_kept(size: PoolSize) -> int:
    """Return how many VMs a pool keeps to avoid moves to and fro."""
    return max(
        size.wanted, math.ceil(size.forecast.peak() * HEADROOM) + RESERVE_VMS
    )


def _count_cost(worker: workers.WorkerState) -> tuple[int, int]:
    """Return how many lasting runs, and runs in all, a worker has."""
    lasting = sum(1 for placed in worker.runs.values() if placed.step.lasting)
    return lasting, len(worker.runs)
