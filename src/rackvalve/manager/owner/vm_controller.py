"""Control loop of the VMs: lists them and orders maintenance and moves.

The owner runs it.  The maintenance planner and the pool sizer decide; this
module carries the decisions out and keeps the records that let the next owner
go on.
"""

from __future__ import annotations

from collections.abc import Callable
import functools

import gevent
import msgspec

from rackvalve import clocks
from rackvalve import codec
from rackvalve import errors
from rackvalve import logs
from rackvalve.manager.owner import backlog as backlogs
from rackvalve.manager.owner import domain_monitor
from rackvalve.manager.owner import wave_record
from rackvalve.manager.owner import writer as writers
from rackvalve.manager import timing
from rackvalve.manager import view as views
from rackvalve.platform import documents
from rackvalve.platform import machines as clients
from rackvalve.platform import store as stores
from rackvalve.scheduling import closures
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import listings
from rackvalve.scheduling import maintenance as maintenances
from rackvalve.scheduling import sizing as sizings
from rackvalve.scheduling import workers
from rackvalve import telemetry as telemetries

PREFIX = "wave/"
# Recently ordered VMs, and the new pools of those that were to move; committed
# before each order, on condition of the ownership.  The next owner sends these
# VMs no orders for the order pause, and no work unless it sees that the order
# was carried out.
ORDERS_KEY = PREFIX + "ordered"
MOVES_KEY = "vms/moves"
PREFIXES = (PREFIX, MOVES_KEY)
# Reason of closing a VM whose order may still be carried out.
UNCERTAIN = "order on its way"

Outcome = clients.Ordered | clients.Rejected | clients.Unavailable


class VmController:
    """Sends orders to VMs for one owner.

    :param machines: The platform's interface to its VMs.
    :param view: The operator's waves and evacuations.
    :param cluster: The owner's view of the cluster.
    :param writer: Writes records.
    :param fence: Fencing token.
    :param telemetry: Metrics of orders and sizes.
    :param order_pause: How long VMs with an order of an earlier owner get
        none, in seconds.
    :param spawn: Runs a function in a greenlet that ends with the owner.
    :param on_change: Called when workers may have been closed or runs may
        have to be stopped.
    """

    def __init__(
        self,
        machines: clients.Machines,
        view: views.View,
        cluster: clusters.Cluster,
        writer: writers.Writer,
        fence: int,
        *,
        telemetry: telemetries.Telemetry,
        order_pause: float,
        spawn: Callable[[Callable[[], None]], None],
        on_change: Callable[[], None],
    ) -> None:
        self._spawn = spawn
        self._machines = machines
        self._view = view
        self._cluster = cluster
        self._writer = writer
        self._fence = fence
        self._telemetry = telemetry
        self._on_change = on_change
        self._maintenance = maintenances.MaintenancePlanner(cluster)
        self._detector = failure_detector.FailureDetector(
            cluster, self._maintenance
        )
        self._domain_monitor = domain_monitor.DomainMonitor(
            self._detector.suspicions, telemetry, on_change
        )
        self._sizer = sizings.Sizer(cluster, self._maintenance, self._detector)
        # Until then a list may show a VM as it was before an order.
        self._order_pause = max(order_pause, listings.LIST_LAG_S)
        # VMs on hold for an uncertain order or an earlier owner's, until when.
        self._held: dict[str, float] = {}
        # Those of them whose order no list of VMs shows to be carried out.
        self._uncertain: set[str] = set()
        # New pools of the VMs that were recently ordered to move.
        self._moves: dict[str, str] = {}
        # Recently ordered VMs, with the answer's time; ``None`` before it.
        self._ordered: dict[str, float | None] = {}
        self._listed_at = float("-inf")
        self._sizes_logged_at = float("-inf")
        self._recorded_waves: dict[int, wave_record.WaveRecord] = {}

    def load(self, items: tuple[stores.Item, ...]) -> None:
        """Restore the state from the records of earlier owners.

        :param items: All items under :data:`PREFIXES`.
        """
        self._add_waves()
        moves: dict[str, str] = {}
        for item in items:
            try:
                if item.key == ORDERS_KEY:
                    self._hold_inherited(item.payload)
                elif item.key == MOVES_KEY:
                    moves = codec.decode_as(item.payload, dict[str, str])
                else:
                    self._restore_wave(item)
            except (errors.DocumentInvalidError, ValueError) as error:
                # Skip a foreign record, as it would stop each owner in turn.
                logs.write_warning(
                    "document.rejected", key=item.key, reason=repr(error)
                )
        self._moves = {vm: moves[vm] for vm in moves.keys() & self._held}
        if self._moves != moves:
            # An old move left in the record would seem to be this owner's.
            self._writer.enqueue(MOVES_KEY, self._make_moves_record)
        for vm, pool in self._moves.items():
            self._sizer.restore(vm, pool)
        self._uncertain = self._held.keys() - moves.keys()
        for vm in self._held:
            self._mark_ordered_away(vm)
        self._apply_closures()

    def _restore_wave(self, item: stores.Item) -> None:
        """Restore a wave that an earlier owner has begun.

        :param item: The wave's record.
        :raises DocumentInvalidError, ValueError: It is no record of a wave.
        """
        number = int(item.key.removeprefix(PREFIX))
        record = codec.decode_as(item.payload, wave_record.WaveRecord)
        elapsed = record.count_elapsed(clocks.read_wall())
        self._maintenance.restore(
            number,
            record.ordered,
            record.done,
            clocks.read_steady() - elapsed,
        )

    def run(self) -> None:
        """Run the control loop until the greenlet is killed."""
        self._spawn(self._domain_monitor.run)
        while True:
            self._add_waves()
            now = clocks.read_steady()
            if now - self._listed_at >= self._choose_list_interval():
                self._list_vms()
            self._release_held(now)
            self._prune_orders(now)
            self._step(now)
            gevent.sleep(timing.VM_CONTROL_INTERVAL_S)

    def _choose_list_interval(self) -> float:
        """Return the present interval of listing the VMs, in seconds."""
        is_busy = self._maintenance.is_busy or self._detector.has_overdue
        if is_busy or self._sizer.moving:
            return timing.LIST_BUSY_INTERVAL_S
        return timing.LIST_INTERVAL_S

    def _hold_inherited(self, payload: bytes) -> None:
        """Put VMs with an order of an earlier owner on hold for the pause.

        The record holds the time since each answer at the time of writing,
        which was before this owner took over.
        """
        now = clocks.read_steady()
        ages = codec.decode_as(payload, dict[str, float])
        # This owner's own record includes them.
        self._ordered = {vm: now - age for vm, age in ages.items()}
        self._held = {
            vm: now + self._order_pause - age for vm, age in ages.items()
        }
        self._release_held(now)

    def _release_held(self, now: float) -> None:
        for vm, until in list(self._held.items()):
            if now >= until:
                del self._held[vm]
                self._uncertain.discard(vm)
                for worker in self._cluster.workers_by_vm.find(vm):
                    worker.ordered_away = False
                # If the list does not show the move, it did not happen.
                self._sizer.forget_move(vm)
        self._maintenance.held = frozenset(self._held)

    def _prune_orders(self, now: float) -> None:
        """Remove orders from the record that are older than the pause.

        The record holds ages at the time of writing, and the next owner does
        not know how long ago that was.
        """
        if self._find_recent_orders(now) != self._ordered:
            self._writer.enqueue(
                ORDERS_KEY, self._make_orders_record, urgent=False
            )

    def _find_recent_orders(self, now: float) -> dict[str, float | None]:
        """Return the VMs that the next owner has to put on hold.

        A VM whose order was never answered stays until this owner ends.
        """
        return {
            vm: time
            for vm, time in self._ordered.items()
            if time is None or now - time < self._order_pause
        }

    def _add_waves(self) -> None:
        for wave in self._view.waves.values():
            if self._maintenance.add_wave(wave, clocks.read_steady()):
                logs.write_event(
                    "wave.taken",
                    wave=wave.number,
                    vms=len(wave.vms),
                    most_away=wave.most_away,
                    seconds=wave.duration,
                )

    def _list_vms(self) -> None:
        self._listed_at = clocks.read_steady()
        found = self._machines.list_vms()
        if isinstance(found, clients.Unavailable):
            logs.write_warning("vms.failed", call="list", reason=found.reason)
            return
        self._maintenance.take_list(found, self._listed_at)
        self._cluster.halls = frozenset(vm.hall for vm in found)

    def _step(self, now: float) -> None:
        for worker in self._detector.check(now):
            logs.write_warning(
                "worker.lost",
                worker=worker,
                reason="its VM is listed without it",
            )
        for maintain in self._maintenance.decide(
            now,
            short=self._sizer.is_short,
            reserved=self._sizer.count_reserved(now),
        ):
            self._spawn(functools.partial(self._maintain, maintain))
        for move in self._sizer.decide(now):
            self._spawn(functools.partial(self._move, move))
        self._apply_closures()
        self._log_sizes(now)
        self._record_waves()
        self._on_change()

    def _apply_closures(self) -> None:
        """Set which VMs are closed and why, in the owner's view."""
        self._cluster.set_evacuated(self._view.evacuated)
        pending = self._maintenance.list_pending()
        closed = {
            vm: closures.Closure(reason=UNCERTAIN) for vm in self._uncertain
        }
        closed |= self._sizer.find_closures()
        for vm in self._maintenance.list_leaving():
            closed[vm] = closures.Closure(reason=maintenances.CLOSED)
        self._cluster.closures.set(closed)
        for worker in self._cluster.workers.values():
            self._cluster.closures.apply(worker)
            vm = worker.entry.vm if worker.entry is not None else ""
            worker.maintenance_pending = vm in pending

    def _log_sizes(self, now: float) -> None:
        if now - self._sizes_logged_at < timing.SIZES_LOG_INTERVAL_S:
            return
        self._sizes_logged_at = now
        for name, size in self._sizer.pools.items():
            self._telemetry.pool_demand.labels(name).set(size.forecast.newest)
            self._telemetry.pool_size.labels(name).set(size.have)
            logs.write_event(
                "pool.size",
                pool=name,
                demand=round(size.forecast.newest, 2),
                peak=round(size.forecast.peak(), 2),
                wanted=size.wanted,
                have=size.have,
                leaving=len(size.leaving),
            )

    def _confirm_ownership(self, vm: str) -> None:
        """Wait until an order is committed under this owner's token.

        An owner that was deposed without knowing stops here.
        """
        began = float("-inf")
        # After a stall of this process the answer is too old: commit again.
        while clocks.read_steady() - began > timing.MAX_CONFIRMATION_AGE_S:
            began = clocks.read_steady()
            self._ordered[vm] = None
            self._writer.enqueue(ORDERS_KEY, self._make_orders_record)
            write = self._writer.number
            while not self._writer.is_stored(ORDERS_KEY, write):
                gevent.sleep(timing.VM_CONTROL_INTERVAL_S / 10)

    def _send_order(self, vm: str, send: Callable[[], Outcome]) -> Outcome:
        """Send an order and retry it until the result is known.

        An unanswered order may have been accepted; the platform answers a
        repeated order with success if it is already done.

        :param vm: The VM.
        :param send: Sends the order once.
        :return: The last answer.
        """
        uncertain = False
        for _ in range(timing.VM_ORDER_ATTEMPTS):
            self._confirm_ownership(vm)
            affected = self._mark_ordered_away(vm)
            outcome = send()
            if isinstance(outcome, clients.Unavailable):
                uncertain = True
            else:
                self._ordered[vm] = clocks.read_steady()
                if isinstance(outcome, clients.Ordered):
                    return outcome
                if not uncertain:
                    for worker in affected:
                        worker.ordered_away = False
                    return outcome
            gevent.sleep(timing.VM_ORDER_RETRY_DELAY_S)
        self._hold_uncertain(vm)
        return outcome

    def _mark_ordered_away(self, vm: str) -> list[workers.WorkerState]:
        """Mark the workers on a VM as ones that an order may end.

        A worker of the pool that the VM is ordered to move to has started
        after the move, so that its end is not the order's.

        :param vm: The VM.
        :return: The workers.
        """
        new_pool = self._moves.get(vm)
        affected = [
            worker
            for worker in self._cluster.workers_by_vm.find(vm)
            if worker.entry is None or worker.entry.pool != new_pool
        ]
        for worker in affected:
            worker.ordered_away = True
        return affected

    def _hold_uncertain(self, vm: str) -> None:
        """Put a VM on hold whose order remained unanswered."""
        now = clocks.read_steady()
        self._held[vm] = now + self._order_pause
        if vm in self._moves:
            self._sizer.restore(vm, self._moves[vm])
        else:
            self._uncertain.add(vm)
        self._release_held(now)
        self._apply_closures()

    def _make_orders_record(self) -> backlogs.Record:
        """Make the record of VMs that the next owner puts on hold."""
        now = clocks.read_steady()
        self._ordered = self._find_recent_orders(now)
        ages = {
            vm: 0.0 if time is None else now - time
            for vm, time in self._ordered.items()
        }
        return backlogs.Record(payload=msgspec.json.encode(ages))

    def _make_moves_record(self) -> backlogs.Record:
        """Make the record of the new pools of recently moved VMs."""
        self._moves = {
            vm: pool for vm, pool in self._moves.items() if vm in self._ordered
        }
        return backlogs.Record(payload=msgspec.json.encode(self._moves))

    def _maintain(self, order: maintenances.MaintainVm) -> None:
        """Order the maintenance of a VM, once that is committed."""
        self._record_waves()
        if self._moves.pop(order.vm, None):
            self._writer.enqueue(MOVES_KEY, self._make_moves_record)
        outcome = self._send_order(
            order.vm,
            lambda: self._machines.maintain(order.vm, order.wave, self._fence),
        )
        self._telemetry.vm_orders.labels(
            "maintain", type(outcome).__name__
        ).inc()
        now = clocks.read_steady()
        logs.write_event(
            "vm.maintained",
            ordered_vm=order.vm,
            wave=order.wave,
            fence=self._fence,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )
        if isinstance(outcome, clients.Ordered):
            self._maintenance.note_ordered(order, now)
        else:
            self._maintenance.note_refused(
                order, now, for_good=_is_final(outcome)
            )

    def _move(self, order: sizings.MoveVm) -> None:
        """Order the move of a VM to another pool, once that is committed."""
        self._moves[order.vm] = order.pool
        self._writer.enqueue(MOVES_KEY, self._make_moves_record)
        outcome = self._send_order(
            order.vm,
            lambda: self._machines.move(order.vm, order.pool, self._fence),
        )
        self._telemetry.vm_orders.labels("move", type(outcome).__name__).inc()
        size = self._sizer.pools.get(order.pool)
        logs.write_event(
            "vm.moved",
            ordered_vm=order.vm,
            pool=order.pool,
            fence=self._fence,
            wanted=size.wanted if size is not None else 0,
            have=size.have if size is not None else 0,
            peak=round(size.forecast.peak(), 2) if size is not None else 0.0,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )
        if not isinstance(outcome, clients.Ordered):
            # A move that may still be carried out is kept until the hold ends.
            if order.vm not in self._held:
                self._sizer.forget_move(order.vm)

    def _record_waves(self) -> None:
        for number, state in self._maintenance.waves.items():
            self._record_wave(number, state)
            self._publish_status(number, state)

    def _record_wave(self, number: int, state: maintenances.WaveState) -> None:
        record = wave_record.WaveRecord(
            ordered=sorted(state.ordered), done=sorted(state.done)
        )
        if self._recorded_waves.get(number) != record:
            self._recorded_waves[number] = record
            self._writer.enqueue(
                f"{PREFIX}{number}",
                functools.partial(_encode_wave, record, state.began),
            )

    def _publish_status(
        self, number: int, state: maintenances.WaveState
    ) -> None:
        status = "completed" if state.complete else "running"
        if state.published != status:
            state.published = status
            logs.write_event("wave.status", wave=number, status=status)
            payload = documents.encode_wave_status(state.complete)
            self._writer.enqueue(
                f"{documents.WAVE_STATUS_PREFIX}{number}",
                functools.partial(backlogs.Record, payload=payload),
            )


def _is_final(outcome: clients.Rejected | clients.Unavailable) -> bool:
    """Return whether a failed order would fail again each time."""
    return (
        isinstance(outcome, clients.Rejected)
        and outcome.reason in clients.FINAL_REASONS
    )


def _encode_wave(
    record: wave_record.WaveRecord, began: float
) -> backlogs.Record:
    payload = record.encode(
        began, now=clocks.read_steady(), wall=clocks.read_wall()
    )
    return backlogs.Record(payload=payload)
