"""Simulates a day: the product decides, and models of workers execute.

It uses no sockets and no clock, so that a seed always gives the same day.  The
models have capacity, leases, slow moves, silent workers and lost owners.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.manager import timing
from rackvalve.scheduling import closures
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import endings
from rackvalve.scheduling import fleet
from rackvalve.scheduling import maintenance as maintenances
from rackvalve.scheduling import messages
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import queues
from rackvalve.scheduling import reports
from rackvalve.scheduling import sizing as sizings
from rackvalve.scheduling import start_results
from tools.emulator import effects
from tools.emulator import loads
from tools.emulator import plans
from tools.emulator import vms

SPARE = "spare"
# Delays in the users' logs, in seconds: from a plan to its record, from an
# order to the VM's move, from a worker's start to its first report.
RECORD_S = 0.015
ORDER_S = 0.08
APPEAR_S = 0.25
MOVE_S = 1.5
MAINTENANCE_S = 2.0
LASTING_START_S = 0.7
# From the start of the VMs to the first job, and from the last one to the end.
WARM_UP_S = 6.0
FINISH_S = 14.0


class Day:
    """The simulation of one day.

    :param plan: The load and the faults.
    :param seed: Seed of all random choices.
    :param policy: Classes that decide; the product's own by default.
    """

    def __init__(
        self,
        plan: plans.Plan,
        seed: int,
        policy: plans.Policy = plans.PRODUCT,
    ) -> None:
        self.plan = plan
        self.now = 0.0
        self._rng = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ownerless_until = float("-inf")
        self._partitioned_halls: set[int] = set()
        self._planned = False
        self._jobs: dict[str, plans.JobOutcome] = {}
        self._times: dict[str, loads.Arrival] = {}
        self.result = plans.Result(jobs=[], lasting=[])
        pools = [kind.queue for kind in plan.kinds]
        self.cluster = clusters.Cluster(
            _make_configuration(pools), inherited_lease=0.0, now=0.0
        )
        self.handler = reports.Handler(
            self.cluster,
            lease=timing.WORKER_LEASE_S,
            max_stop_time=0.0,
            hold_wait=timing.HOLD_WAIT_S,
            hold_most=timing.MAX_HOLD_S,
        )
        self.cluster.speeds = policy.speeds()
        self.planner = policy.planner(
            self.cluster,
            planners.Limits(
                freshness=timing.FRESHNESS_S,
                entry_grace=timing.ENTRY_GRACE_S,
            ),
        )
        self.maintenance = maintenances.MaintenancePlanner(self.cluster)
        self.detector = policy.detector(self.cluster, self.maintenance)
        self.sizing = sizings.Sizer(
            self.cluster, self.maintenance, self.detector
        )
        self.vms = {
            f"m{n}": vms.Vm(
                f"m{n}",
                n // plan.fleet.per_rack,
                n % plan.fleet.halls,
                pools[n % len(pools)],
            )
            for n in range(plan.fleet.vms)
        }
        self._by_worker: dict[str, vms.Vm] = {}

    def simulate(self) -> plans.Result:
        """Simulate the day to its end."""
        self._begin()
        end = WARM_UP_S + self.plan.length + FINISH_S
        while self._queue:
            when, _, function = heapq.heappop(self._queue)
            if when > end:
                break
            self.now = when
            function()
        self.result.jobs = list(self._jobs.values())
        return self.result

    def at(self, when: float, function: Callable[[], None]) -> None:
        """Schedule a function.

        :param when: The time, in seconds.
        :param function: The function.
        """
        heapq.heappush(self._queue, (when, next(self._order), function))

    def _begin(self) -> None:
        for vm in self.vms.values():
            self._start_worker(vm)
        rng = self._rng
        arrivals = loads.draw_arrivals(
            self.plan.kinds,
            self.plan.shape,
            self.plan.bursts,
            self.plan.length,
            rng,
        )
        self._add_lasting()
        for number, arrival in enumerate(arrivals):
            moved = dataclasses.replace(arrival, at=arrival.at + WARM_UP_S)
            name = f"{number:016x}"
            self.at(moved.at, functools.partial(self._accept, name, moved))
        for fault in self.plan.faults:
            begin = functools.partial(effects.begin, fault, self)
            self.at(WARM_UP_S + fault.at, begin)
        self.at(0.05, self._control_vms)
        self.at(0.05, self._check)

    def _add_lasting(self) -> None:
        for kind in self.plan.kinds:
            if not kind.lasting:
                continue
            name = f"lasting-{kind.queue}"
            step = definition.Step(
                tasks=kind.lasting,
                cpu=1500,
                memory=2400,
                lasting=True,
                most_per_worker=3,
                most_away=1,
            )
            self._add(name, kind.queue, definition.Job(spec="", steps=(step,)))

    def _accept(self, name: str, arrival: loads.Arrival) -> None:
        """Accept a job; its caller retries if there is no owner."""
        self._jobs.setdefault(name, plans.JobOutcome(arrival=arrival))
        if self.now < self._ownerless_until:
            again = self._ownerless_until + self._rng.random() * 0.5
            self.at(again, functools.partial(self._accept, name, arrival))
            return
        self._times[name] = arrival
        self._add(name, arrival.queue, arrival.job)

    def _add(self, name: str, queue: str, job: definition.Job) -> None:
        state = progress.JobState(name, queue, job, self.now)
        self.cluster.add_job(state, self.now, self.now)
        self._schedule_plan()

    # -- the owner ---------------------------------------------------------

    def _is_ownerless(self) -> bool:
        return self.now < self._ownerless_until

    def _schedule_plan(self) -> None:
        if not self._planned:
            self._planned = True
            self.at(self.now + timing.PLAN_INTERVAL_S, self._plan)

    def _plan(self) -> None:
        self._planned = False
        if self._is_ownerless():
            return
        self.planner.plan(self.now, self.now)
        self._apply_changes()

    def _apply_changes(self) -> None:
        changed, self.cluster.changed = self.cluster.changed, {}
        for name in changed:
            state = self.cluster.jobs.get(name)
            if state is None:
                continue
            outcome = self._jobs.get(name)
            if outcome is not None and state.is_final:
                outcome.ended = self.now
                del self.cluster.jobs[name]
                continue
            planned = state.list_planned()
            if planned:
                record = functools.partial(self._record, name, planned)
                self.at(self.now + RECORD_S, record)
        self._send()

    def _record(
        self, name: str, planned: list[tuple[definition.TaskName, int]]
    ) -> None:
        self.cluster.order_recorded(name, planned, self.now)
        self._send()

    def _send(self) -> None:
        while self.cluster.orders:
            order = self.cluster.orders.popleft()
            vm = self._by_worker.get(order.worker)
            if vm is None or self._is_silent(vm):
                continue
            if isinstance(order, messages.StartRun):
                self._start(vm, order)
            elif isinstance(order, messages.StopRun):
                self._stop(vm, order)

    def _check(self) -> None:
        if not self._is_ownerless():
            self.planner.stop_and_release(self.now, self.now)
            for vm in self.vms.values():
                self._hold(vm)
            self._remove_gone_workers(self.now)
            self._schedule_plan()
            self._apply_changes()
        self._sample()
        self.at(self.now + timing.CHECK_INTERVAL_S, self._check)

    def _remove_gone_workers(self, now: float) -> None:
        for name, worker in list(self.cluster.workers.items()):
            is_gone = name not in self._by_worker and worker.is_expired(now)
            if is_gone and now - worker.last_alive_at > timing.ENTRY_GRACE_S:
                endings.end_incarnation(
                    self.cluster, name, "gone", now=now, wall=now
                )

    def _control_vms(self) -> None:
        if not self._is_ownerless():
            self.maintenance.take_list(self._make_vm_list(), self.now)
            self.detector.check(self.now)
            for maintain in self.maintenance.decide(
                self.now,
                short=self.sizing.is_short,
                reserved=self.sizing.count_reserved(self.now),
            ):
                function = functools.partial(self._maintain, maintain)
                self.at(self.now + ORDER_S, function)
            for move in self.sizing.decide(self.now):
                self.result.moves += 1
                function = functools.partial(self._move, move.vm, move.pool)
                self.at(self.now + ORDER_S, function)
            self._apply_closing()
            self._schedule_plan()
        self.at(self.now + timing.VM_CONTROL_INTERVAL_S, self._control_vms)

    def _apply_closing(self) -> None:
        pending = self.maintenance.list_pending()
        closed = self.sizing.find_closures()
        for vm in self.maintenance.list_leaving():
            closed[vm] = closures.Closure(reason=maintenances.CLOSED)
        self.cluster.closures.set(closed)
        for worker in self.cluster.workers.values():
            self.cluster.closures.apply(worker)
            vm = worker.entry.vm if worker.entry is not None else ""
            worker.maintenance_pending = vm in pending

    # -- VMs and workers ---------------------------------------------------

    def _make_vm_list(self) -> list[fleet.Vm]:
        return [vm.list_entry() for vm in self.vms.values()]

    def is_unreachable(self, vm: vms.Vm) -> bool:
        """Return whether a VM's worker cannot be reached.

        :param vm: The VM.
        """
        return vm.hall in self._partitioned_halls

    def _is_silent(self, vm: vms.Vm) -> bool:
        return vm.worker is None or self.is_unreachable(vm)

    def _start_worker(self, vm: vms.Vm) -> None:
        worker = vm.start_incarnation()
        self._by_worker[worker.identity] = vm
        self.cluster.set_entry(vm.entry(self.plan.fleet.capacity))
        if not self.is_unreachable(vm):
            self._report(vm)

    def end_worker(self, vm: vms.Vm) -> None:
        """End the worker of a VM and all that runs there.

        :param vm: The VM.
        """
        if vm.worker is not None:
            del self._by_worker[vm.worker.identity]
            self.cluster.remove_entry(vm.worker.identity, self.now)
            vm.worker = None

    def start_worker(self, vm: vms.Vm) -> None:
        """Start a new worker on a VM that has none.

        :param vm: The VM.
        """
        if vm.worker is None:
            self._start_worker(vm)

    def _move(self, name: str, pool: str) -> None:
        vm = self.vms[name]
        if not vm.up:
            self.sizing.moving.pop(name, None)
            return
        self.end_worker(vm)
        vm.condition = fleet.Condition.MOVING
        vm.pool = pool
        self.at(self.now + MOVE_S + APPEAR_S, functools.partial(_up, self, vm))

    def _maintain(self, order: maintenances.MaintainVm) -> None:
        vm = self.vms[order.vm]
        if not vm.up:
            self.maintenance.note_refused(order, self.now, for_good=False)
            return
        self.end_worker(vm)
        vm.condition = fleet.Condition.MAINTAINED
        self.maintenance.note_ordered(order, self.now)
        when = self.now + MAINTENANCE_S + APPEAR_S
        self.at(when, functools.partial(_up, self, vm))

    def _hold(self, vm: vms.Vm) -> None:
        """Extend the lease of a worker that is due, and apply its report."""
        worker = vm.worker
        if worker is None:
            return
        if self.is_unreachable(vm):
            self._expire_lease(worker)
            return
        if self.now - worker.reported >= timing.HOLD_WAIT_S:
            self._report(vm)

    def _expire_lease(self, worker: vms.Worker) -> None:
        for run in list(worker.runs.values()):
            if self.now >= worker.lease:
                worker.end(run, messages.Ending.CUT_SHORT)

    def _report(self, vm: vms.Vm) -> None:
        worker = vm.worker
        assert worker is not None
        worker.reported = self.now
        worker.lease = self.now + timing.WORKER_LEASE_S
        known = self.cluster.workers[worker.identity]
        known.note_extension(self.now, timing.WORKER_LEASE_S)
        ended, worker.ended = worker.ended, []
        self.handler.apply(
            known,
            messages.Report(
                sent=self.now,
                running=tuple(
                    run.row(self.now) for run in worker.runs.values()
                ),
                ended=tuple(ended),
            ),
            now=self.now,
            wall=self.now,
        )
        self.handler.ended.clear()
        self._schedule_plan()
        self._apply_changes()

    def _start(self, vm: vms.Vm, order: messages.StartRun) -> None:
        assert vm.worker is not None
        full = f"{order.job}.{order.task}"
        ends = float("inf")
        began = self.now
        arrival = self._times.get(order.job)
        if arrival is not None:
            seconds = arrival.times[order.task.step][order.task.index]
            if self.now < vm.slow_until:
                seconds *= vm.slowness
            ends = self.now + seconds
        else:
            began += LASTING_START_S
        run = vms.Run(task=full, number=order.run, began=began, ends=ends)
        vm.worker.runs[full, order.run] = run
        if arrival is not None:
            self.at(ends, functools.partial(self._end, vm, vm.worker, run))
        known = self.cluster.workers[vm.worker.identity]
        placed = known.runs.get((full, order.run))
        if placed is not None:
            result = messages.StartResult.STARTED
            start_results.apply_start_result(
                self.cluster, placed, result, uncertain=False, now=self.now
            )

    def _end(self, vm: vms.Vm, worker: vms.Worker, run: vms.Run) -> None:
        if vm.worker is not worker:
            return
        worker.end(run, messages.Ending.DONE)
        if not self.is_unreachable(vm) and not self._is_ownerless():
            self._report(vm)

    def _stop(self, vm: vms.Vm, order: messages.StopRun) -> None:
        assert vm.worker is not None
        run = vm.worker.runs.get((order.task, order.run))
        if run is not None:
            vm.worker.end(run, messages.Ending.CUT_SHORT)
            self.at(self.now + 0.1, functools.partial(self._try_report, vm))

    def _try_report(self, vm: vms.Vm) -> None:
        if vm.worker is not None and not self.is_unreachable(vm):
            if not self._is_ownerless():
                self._report(vm)

    def _sample(self) -> None:
        held = sum(1 for vm in self.vms.values() if vm.pool != SPARE)
        self.result.pool_seconds += held * timing.CHECK_INTERVAL_S
        wanted = sum(kind.lasting for kind in self.plan.kinds)
        working = sum(
            1
            for vm in self.vms.values()
            if vm.worker is not None
            for run in vm.worker.runs.values()
            if run.ends == float("inf") and self.now >= run.began
        )
        if wanted and self.now > WARM_UP_S:
            self.result.lasting.append((self.now, working / wanted))

    # -- faults ------------------------------------------------------------

    def set_partition(self, hall: int, *, is_partitioned: bool) -> None:
        """Begin or end a partition of a data hall.

        :param hall: The hall.
        :param is_partitioned: Whether it is partitioned.
        """
        if is_partitioned:
            self._partitioned_halls.add(hall)
        else:
            self._partitioned_halls.discard(hall)

    def lose_owner(self, seconds: float) -> None:
        """Suspend all decisions for a time.

        :param seconds: Its length.
        """
        self._ownerless_until = self.now + seconds
        self.at(self._ownerless_until, self._schedule_plan)

    def draw_vms(self, count: int) -> list[vms.Vm]:
        """Draw VMs at random.

        :param count: Their number.
        """
        return self._rng.sample(list(self.vms.values()), count)


def _up(day: Day, vm: vms.Vm) -> None:
    vm.condition = fleet.Condition.UP
    day.start_worker(vm)


def _make_configuration(pools: list[str]) -> queues.Configuration:
    return queues.Configuration(
        version=1,
        queues=tuple(
            queues.Queue(
                name=name,
                host="h",
                prefix=f"/{name}/",
                pool=name,
                priority=0,
                attempts=3,
                stretch=1.6,
                allowance=0.6,
                admission=None,
            )
            for name in pools
        ),
        pools={
            name: queues.Pool(name=name, spare=name == SPARE)
            for name in (*pools, SPARE)
        },
        body_limit=1000,
    )
