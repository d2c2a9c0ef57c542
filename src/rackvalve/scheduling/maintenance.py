"""Plans maintenance waves: which VM is closed, vacated and maintained next.

A VM of a wave is first open, then closed (its worker takes no new runs), then
ordered (its worker is empty and the platform was told to maintain it), then
back.  An order is given only while fewer VMs are away than the wave allows,
and only after it is in the store, so that the next owner can resume the wave.
"""

from __future__ import annotations

from collections.abc import Collection
import dataclasses
import math

from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import demand as demands
from rackvalve.scheduling import evacuation
from rackvalve.scheduling import eviction
from rackvalve.scheduling import fleet
from rackvalve.scheduling import listings
from rackvalve.scheduling import wave_order
from rackvalve.scheduling import workers

# Time from the closing of a VM to its return, in seconds: runs end (2 s),
# lasting tasks are stopped (1 s), the maintenance itself (2 s).  Only the
# number of VMs that are closed at once depends on it.
CYCLE_S = 5.0
# Time from the order to maintain a VM until it is listed as back, in seconds:
# 2 s for the maintenance, up to 0.4 s until the platform's list is read again,
# 0.6 s margin.  A VM without runs is away for no longer.
AWAY_S = 3.0
# Part of the operator's time within which a wave is planned to end.
PLANNED_PART = 0.75
# Part of a pool that may be closed or away at once, and the part once the wave
# is late: a pool that is short gets other VMs meanwhile.
MAX_POOL_PART = 0.34
MAX_POOL_PART_LATE = 0.67
# Grace period for runs that are not lasting, in seconds from their start.
GRACE_S = 5.0
# A VM that is closed for longer than this is reopened, in seconds: its pool's
# jobs wait, and its obstacle (a lasting task whose step can spare none, a wave
# whose VMs do not come back) may persist.  Longer than the grace period (5 s),
# a stop (0.9 s) and the time that a VM before it is away (3 s) together.
MAX_CLOSED_S = 10.0
# Pause before a reopened VM is closed again, in seconds: others go first.
REOPENED_DELAY_S = 5.0
# Pause before a refused order is given again, in seconds.
REFUSED_DELAY_S = 0.5
CLOSED = "maintenance"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class MaintainVm:
    """Order the platform to maintain a VM.

    :param vm: The VM.
    :param wave: Number of the wave that asks for it.
    """

    vm: str
    wave: int


class WaveState:
    """Progress of a wave.

    :param wave: The operator's order.
    :param now: Present time, in seconds.
    """

    __slots__ = (
        "wave",
        "began",
        "closed",
        "closed_since",
        "ordered",
        "shown_away",
        "done",
        "not_before",
        "complete",
        "published",
    )

    def __init__(self, wave: fleet.Wave, now: float) -> None:
        self.wave = wave
        self.began = now
        self.closed: set[str] = set()
        self.closed_since: dict[str, float] = {}
        # VMs whose order may have reached the platform, with the time of its
        # answer; ``None`` until then.
        self.ordered: dict[str, float | None] = {}
        # VMs that a list has shown as away since their order.
        self.shown_away: set[str] = set()
        # VMs that were maintained and are back, or that the platform refused
        # for good.
        self.done: set[str] = set()
        self.not_before: dict[str, float] = {}
        self.complete = False
        self.published = ""

    def list_remaining(self) -> list[str]:
        """Return the VMs without an order so far, in the wave's order."""
        return [
            vm
            for vm in self.wave.vms
            if vm not in self.ordered and vm not in self.done
        ]


class MaintenancePlanner:
    """Decides which VMs all waves close, vacate and maintain.

    :param cluster: The cluster whose workers are closed and vacated.
    """

    __slots__ = ("_cluster", "waves", "vms", "read", "held", "moving")

    def __init__(self, cluster: clusters.Cluster) -> None:
        self._cluster = cluster
        self.waves: dict[int, WaveState] = {}
        self.vms: dict[str, fleet.Vm] = {}
        # When the read of the platform's list of VMs began.
        self.read = float("-inf")
        # VMs that an earlier owner may just have ordered to move or maintain.
        self.held: frozenset[str] = frozenset()
        # VMs on their way to another pool; the platform maintains none.
        self.moving: Collection[str] = frozenset()

    @property
    def is_busy(self) -> bool:
        """Whether a wave is under way."""
        return any(not state.complete for state in self.waves.values())

    def add_wave(self, wave: fleet.Wave, now: float) -> bool:
        """Add a wave that an operator ordered.

        :param wave: The order.
        :param now: Present time, in seconds.
        :return: Whether it is new.
        """
        if wave.number in self.waves:
            return False
        self.waves[wave.number] = WaveState(wave, now)
        return True

    def restore(
        self, number: int, ordered: list[str], done: list[str], began: float
    ) -> None:
        """Resume a wave of an earlier owner.

        :param number: Number of the wave.
        :param ordered: VMs whose order may have reached the platform.
        :param done: VMs that are back.
        :param began: When the wave began, as far as known, in seconds.
        """
        state = self.waves.get(number)
        if state is None:
            return
        state.began = min(state.began, began)
        state.done = set(done)
        # An order is repeated once the VM is empty; the platform knows whether
        # the first one was carried out.
        state.closed = set(ordered) - state.done

    def take_list(self, vms: list[fleet.Vm], read: float) -> None:
        """Apply the platform's list of VMs.

        :param vms: All VMs.
        :param read: When the read of the list began, in seconds.
        """
        self.vms = {vm.identity: vm for vm in vms}
        self._cluster.locations.note_list(vms)
        self.read = read
        for state in self.waves.values():
            for vm, time in list(state.ordered.items()):
                if time is None or time > read:
                    continue
                listed = self.vms.get(vm)
                # Until then a list may show the VM as it was before the order.
                is_shown = (
                    vm in state.shown_away or read > time + listings.LIST_LAG_S
                )
                if listed is not None and not listed.up:
                    state.shown_away.add(vm)
                elif is_shown:
                    del state.ordered[vm]
                    state.done.add(vm)
                    state.closed.discard(vm)

    def decide(
        self, now: float, *, short: bool = False, reserved: int = 0
    ) -> list[MaintainVm]:
        """Close and vacate VMs, and choose the VMs to be maintained now.

        :param now: Present time, in seconds.
        :param short: Whether a pool is short and no spare VM is left.
        :param reserved: How many spare VMs the pools will ask for before one
            that is closed now is back.
        """
        chosen: list[MaintainVm] = []
        for state in self.waves.values():
            if not state.complete:
                self._reopen(state, now)
                self._close(state, now, short=short, reserved=reserved)
                chosen.extend(self._choose_orders(state, now))
                self._update_complete(state)
        return chosen

    def note_ordered(self, order: MaintainVm, now: float) -> None:
        """Note that the platform has accepted an order.

        :param order: The order.
        :param now: Present time, in seconds.
        """
        self.waves[order.wave].ordered[order.vm] = now

    def note_refused(
        self, order: MaintainVm, now: float, *, for_good: bool
    ) -> None:
        """Note that the platform has refused an order.

        :param order: The order.
        :param now: Present time, in seconds.
        :param for_good: Whether it will refuse every repetition as well.
        """
        state = self.waves[order.wave]
        state.ordered.pop(order.vm, None)
        if for_good:
            state.done.add(order.vm)
            state.closed.discard(order.vm)
        else:
            state.not_before[order.vm] = now + REFUSED_DELAY_S

    def find_workers(self, vm: str) -> list[workers.WorkerState]:
        """Return the incarnations of workers that may be on a VM.

        The platform's list may be older than a worker's own entry, and the
        other way round.

        :param vm: The VM.
        """
        found = self._cluster.workers_by_vm.find(vm)
        listed = self.vms.get(vm)
        named = (
            self._cluster.workers_by_name.find(listed.worker) if listed else []
        )
        return found + [worker for worker in named if worker not in found]

    def vacate(self, vm: str, reason: str, grace: float, now: float) -> bool:
        """Close a VM and stop the runs that have to leave it.

        :param vm: The VM.
        :param reason: Why it is closed.
        :param grace: Grace period for tasks that are not lasting, in seconds
            from their start.
        :param now: Present time, in seconds.
        :return: Whether no run is left on it.
        """
        empty = True
        for worker in self.find_workers(vm):
            worker.close_reason = reason
            left = eviction.vacate(self._cluster, worker, grace, now)
            empty = empty and left
        return empty

    def list_leaving(self) -> set[str]:
        """Return the VMs that are closed or away for a wave."""
        leaving: set[str] = set()
        for state in self.waves.values():
            if not state.complete:
                leaving |= state.closed | state.ordered.keys()
        return leaving

    def list_pending(self) -> set[str]:
        """Return the VMs that are still to be maintained."""
        later: set[str] = set()
        for state in self.waves.values():
            if not state.complete:
                later.update(state.list_remaining())
        return later

    def count_rotating(self, pool: str, now: float) -> int:
        """Return how many VMs of a pool its waves close at the same time.

        A pool whose lasting tasks need VMs of their own gives up none of these
        before it has others.

        :param pool: The pool.
        :param now: Present time, in seconds.
        """
        rotating = 0
        for state in self.waves.values():
            if state.complete:
                continue
            left = sum(
                1
                for vm in state.list_remaining()
                if self._is_in_pool(vm, pool)
            )
            # No more than the wave closes: four waves over all VMs at once
            # made a pool keep 6 idle VMs and ask for 30, while another pool's
            # jobs were stalled for 9.7 s.
            wanted = math.ceil(left / self._count_rounds(state, now))
            rotating += min(wanted, state.wave.most_away + 1)
        return rotating

    def _reopen(self, state: WaveState, now: float) -> None:
        """Reopen VMs that were closed for too long without an order."""
        state.closed_since = {
            vm: state.closed_since.get(vm, now) for vm in state.closed
        }
        for vm, since in state.closed_since.items():
            waits = vm not in state.ordered and self._is_free(vm)
            late = now - since > MAX_CLOSED_S or self._is_lost(vm)
            if waits and late:
                state.closed.discard(vm)
                state.not_before[vm] = now + REOPENED_DELAY_S

    def _close(
        self, state: WaveState, now: float, *, short: bool, reserved: int
    ) -> None:
        """Close as many VMs as the remaining time requires.

        Spare VMs are closed as fast as the wave allows, except those that the
        pools will ask for meanwhile.  While pools are short, or soon will be,
        a wave that can still end in time waits.
        """
        left = state.list_remaining()
        wanted = self._count_wanted(state, len(left), now)
        most = state.wave.most_away + 1
        unused = self._count_unused()
        if self._can_wait(state, len(left), now):
            if short or reserved > unused:
                # VMs of evacuated halls take no work in any case.
                left = [vm for vm in left if self._is_evacuated(vm)]
            unused -= reserved
        open_vms = [
            vm
            for vm in left
            if vm not in state.closed
            and self._is_free(vm)
            and not self._is_lost(vm)
            and state.not_before.get(vm, 0.0) <= now
        ]
        open_vms.sort(key=self._rank_by_cost)
        if self._cluster.policy.failure_domains:
            open_vms = wave_order.defer_last_vms(
                open_vms, self.vms, self._cluster, self.list_leaving()
            )
        spreads = demands.measure_spreads(self._cluster)
        late = now > state.began + PLANNED_PART * state.wave.duration
        part = MAX_POOL_PART_LATE if late else MAX_POOL_PART
        for vm in open_vms:
            busy = len(state.closed) + len(state.ordered.keys() - state.closed)
            spare = self._is_spare(vm)
            gone = self._is_evacuated(vm)
            if busy >= (most if spare or gone else wanted):
                return
            if spare and not gone and unused <= 0:
                continue
            if self._may_close(vm, spreads, part):
                state.closed.add(vm)
                unused -= spare and not gone

    def _count_wanted(self, state: WaveState, left: int, now: float) -> int:
        rounds = self._count_rounds(state, now)
        # One VM more than may be away is vacated meanwhile.
        return min(math.ceil(left / rounds) + 1, state.wave.most_away + 1)

    def _count_rounds(self, state: WaveState, now: float) -> float:
        """Return how many rounds of VMs still fit in the planned time."""
        time = state.began + PLANNED_PART * state.wave.duration - now
        return max(1.0, time / CYCLE_S)

    def _can_wait(self, state: WaveState, left: int, now: float) -> bool:
        """Return whether a wave that pauses now can still be in time.

        Between bursts of demand its VMs are mostly empty and each round takes
        as long as they are away; the last round is given time to vacate.
        Anything beyond that has the rest of the operator's time, which
        :data:`PLANNED_PART` keeps.
        """
        time = state.began + PLANNED_PART * state.wave.duration - now
        rounds = math.ceil(left / max(1, state.wave.most_away))
        return time > (rounds - 1) * AWAY_S + CYCLE_S

    def _count_unused(self) -> int:
        """Return how many spare VMs could go to a pool now."""
        leaving = self.list_leaving()
        return sum(
            1
            for vm in self.vms.values()
            if vm.up
            and self._is_spare(vm.identity)
            and vm.identity not in leaving
            and self._is_free(vm.identity)
            and not self._is_evacuated(vm.identity)
        )

    def _is_free(self, vm: str) -> bool:
        """Return whether a VM has no other order under way."""
        return vm not in self.held and vm not in self.moving

    def _is_lost(self, vm: str) -> bool:
        """Return whether a VM is down and cannot be maintained."""
        listed = self.vms.get(vm)
        return listed is not None and listed.lost

    def _is_in_pool(self, vm: str, pool: str) -> bool:
        listed = self.vms.get(vm)
        return listed is not None and listed.pool == pool

    def _is_spare(self, vm: str) -> bool:
        listed = self.vms.get(vm)
        pools = self._cluster.configuration.pools
        pool = pools.get(listed.pool) if listed is not None else None
        return pool is not None and pool.spare

    def _is_evacuated(self, vm: str) -> bool:
        return evacuation.is_evacuated(self._cluster, self.vms.get(vm))

    def _rank_by_cost(self, vm: str) -> tuple[bool, bool, int, int]:
        placed = [
            run
            for worker in self.find_workers(vm)
            for run in worker.runs.values()
        ]
        lasting = sum(1 for run in placed if run.step.lasting)
        first = not self._is_evacuated(vm)
        return first, not self._is_spare(vm), lasting, len(placed)

    def _may_close(
        self, vm: str, spreads: dict[str, int], part: float
    ) -> bool:
        listed = self.vms.get(vm)
        if listed is None:
            return True
        if self._is_spare(vm):
            return True
        members = [
            other for other in self.vms.values() if other.pool == listed.pool
        ]
        away = sum(
            1
            for other in members
            if not other.up or self._is_leaving(other.identity)
        )
        if len(members) - away <= spreads.get(listed.pool, 0):
            # Tasks leaving the VM would find no place; the pool grows first.
            return False
        return away < max(1, int(part * len(members)))

    def _is_leaving(self, vm: str) -> bool:
        return any(
            vm in state.closed or vm in state.ordered
            for state in self.waves.values()
            if not state.complete
        )

    def _choose_orders(self, state: WaveState, now: float) -> list[MaintainVm]:
        chosen = []
        away = self._find_away(state)
        left = state.list_remaining()
        left.sort(key=lambda vm: not self._is_evacuated(vm))
        for vm in left:
            if len(away) >= state.wave.most_away:
                break
            if vm not in state.closed or state.not_before.get(vm, 0.0) > now:
                continue
            if not self._is_free(vm):
                continue
            if not self.vacate(vm, CLOSED, GRACE_S, now):
                continue
            state.ordered[vm] = None
            state.shown_away.discard(vm)
            away.add(vm)
            chosen.append(MaintainVm(vm=vm, wave=state.wave.number))
        return chosen

    def _find_away(self, state: WaveState) -> set[str]:
        """Return the VMs of a wave that may be away for it.

        These include VMs that an earlier owner ordered, which the platform
        lists as maintained or may not list as such yet.
        """
        listed = {
            vm
            for vm in state.wave.vms
            if vm in self.vms
            and self.vms[vm].condition is fleet.Condition.MAINTAINED
        }
        return (
            state.ordered.keys()
            | listed
            | self.held.intersection(state.wave.vms)
        )

    def _update_complete(self, state: WaveState) -> None:
        state.complete = not state.list_remaining() and not state.ordered
