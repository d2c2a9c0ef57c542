"""Carries out the orders to VMs: lists them, maintains and moves them."""

from __future__ import annotations

from collections.abc import Callable
import functools

import gevent
import msgspec

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager import backlog as backlogs
from rackvalve.manager import timing
from rackvalve.manager import view as views
from rackvalve.manager import writer as writers
from rackvalve.platform import documents
from rackvalve.platform import machines as clients
from rackvalve.platform import store as stores
from rackvalve.scheduling import book as books
from rackvalve.scheduling import closures
from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import maintenance as maintenances
from rackvalve.scheduling import sizing as sizings
from rackvalve.scheduling import workers
from rackvalve import telemetry as telemetries

PREFIX = "wave/"
# The VMs that were given orders lately, and the new pools of those that were
# to move; written before each order, under the condition of the ownership.
# The next owner gives them no orders for a while, and no work unless it sees
# that the order was carried out.
ORDERS_KEY = PREFIX + "ordered"
MOVES_KEY = "vms/moves"
PREFIXES = (PREFIX, MOVES_KEY)
# Why a VM is closed whose order may still be carried out.
UNCERTAIN = "order on its way"

Outcome = clients.Ordered | clients.Rejected | clients.Unavailable


class _Record(msgspec.Struct):
    ordered: list[str] = []
    done: list[str] = []
    # How long the wave had been under way when this was written, in seconds,
    # and when that was, in seconds since 1970.  Without them each owner gave
    # the wave its whole time anew (8 of 147 VMs late in a play).
    elapsed: float = 0.0
    written: float = 0.0

    def count_elapsed(self, wall: float) -> float:
        """Return how long the wave has been under way by now.

        Where the time of day has jumped ahead, the wave only hurries.

        :param wall: Present time, in seconds since 1970.
        """
        if not self.written:
            return 0.0
        return self.elapsed + max(0.0, wall - self.written)


class Caretaker:
    """Gives orders to VMs for one owner.

    :param machines: The platform's interface to its VMs.
    :param view: The operator's orders.
    :param book: The owner's book.
    :param writer: Writes records.
    :param fence: Fencing token.
    :param telemetry: Counts orders and sizes.
    :param order_pause: Time without orders after the taking of the token, in
        seconds.
    :param spawn: Runs a function in a greenlet that ends with the owner.
    :param on_change: Called when workers were closed or stops are wanted.
    """

    def __init__(
        self,
        machines: clients.Machines,
        view: views.View,
        book: books.Book,
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
        self._book = book
        self._writer = writer
        self._fence = fence
        self._telemetry = telemetry
        self._on_change = on_change
        self._maintenance = maintenances.MaintenancePlanner(book)
        self._silence = failure_detector.FailureDetector(
            book, self._maintenance
        )
        self._sizing = sizings.Sizer(book, self._maintenance, self._silence)
        self._order_pause = order_pause
        # VMs that an earlier owner has given orders to, and until when they
        # are left alone.
        self._held: dict[str, float] = {}
        # Those of them of which no list will show whether it was carried out.
        self._uncertain: set[str] = set()
        # New pools of the VMs that were ordered to move lately.
        self._moves: dict[str, str] = {}
        # VMs that were given orders lately, with the time of the answer;
        # ``None`` while an order may be on its way.
        self._ordered: dict[str, float | None] = {}
        self._listed = float("-inf")
        self._sizes_logged = float("-inf")
        self._recorded: dict[int, _Record] = {}

    def load(self, items: tuple[stores.Item, ...]) -> None:
        """Go on where an earlier owner has ended.

        :param items: All items under :data:`PREFIXES`.
        """
        self._take_waves()
        moves: dict[str, str] = {}
        for item in items:
            try:
                if item.key == ORDERS_KEY:
                    self._hold_ordered(item.payload)
                elif item.key == MOVES_KEY:
                    moves = msgspec.json.decode(
                        item.payload, type=dict[str, str]
                    )
                else:
                    self._restore_wave(item)
            except ValueError as error:
                # Not one of ours; it would stop each owner in turn.
                logs.write_warning(
                    "document.rejected", key=item.key, reason=repr(error)
                )
        self._moves = {vm: moves[vm] for vm in moves.keys() & self._held}
        if self._moves != moves:
            # One left in the record would pass for an order of this owner's.
            self._writer.enqueue(MOVES_KEY, self._make_moves)
        for vm, pool in self._moves.items():
            self._sizing.restore(vm, pool)
        self._uncertain = self._held.keys() - moves.keys()
        for vm in self._held:
            self._note_order(vm)
        self._apply_closing()

    def _restore_wave(self, item: stores.Item) -> None:
        """Go on with a wave that an earlier owner has begun.

        :param item: Its record.
        :raises ValueError: It is none.
        """
        number = int(item.key.removeprefix(PREFIX))
        record = msgspec.json.decode(item.payload, type=_Record)
        elapsed = record.count_elapsed(clocks.read_wall())
        self._maintenance.restore(
            number,
            record.ordered,
            record.done,
            clocks.read_steady() - elapsed,
        )

    def run(self) -> None:
        """Look after the VMs, until the greenlet is killed."""
        while True:
            self._take_waves()
            now = clocks.read_steady()
            if now - self._listed >= self._choose_list_interval():
                self._list()
            self._release_held(now)
            self._forget_ordered(now)
            self._step(now)
            gevent.sleep(timing.CARE_INTERVAL_S)

    def _choose_list_interval(self) -> float:
        """Return how often the VMs are listed now, in seconds."""
        if self._maintenance.is_busy or self._silence.has_overdue:
            return timing.LIST_BUSY_INTERVAL_S
        if self._sizing.moving:
            return timing.LIST_BUSY_INTERVAL_S
        return timing.LIST_INTERVAL_S

    def _hold_ordered(self, payload: bytes) -> None:
        """Leave alone what an earlier owner has ordered, for the pause.

        The record says how long ago each order was answered when it was
        written, which was before this owner took over.
        """
        now = clocks.read_steady()
        ages = msgspec.json.decode(payload, type=dict[str, float])
        # The record that this owner writes goes on telling of them.
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
                for worker in self._book.workers_by_vm.find(vm):
                    worker.ordered_away = False
                # Where the list does not show its move, there was none.
                self._sizing.forget_move(vm)
        self._maintenance.held = frozenset(self._held)

    def _forget_ordered(self, now: float) -> None:
        """Have the record forget what was ordered longer ago than the pause.

        A record says how old an order was when it was written, and a next
        owner cannot know how long ago that was.
        """
        if self._find_recent(now) != self._ordered:
            self._writer.enqueue(ORDERS_KEY, self._make_ordered, urgent=False)

    def _find_recent(self, now: float) -> dict[str, float | None]:
        """Return the VMs that the next owner has to leave alone.

        One whose order was never answered stays until this owner ends.
        """
        return {
            vm: time
            for vm, time in self._ordered.items()
            if time is None or now - time < self._order_pause
        }

    def _take_waves(self) -> None:
        for wave in self._view.waves.values():
            if self._maintenance.add_wave(wave, clocks.read_steady()):
                logs.write_event(
                    "wave.taken",
                    wave=wave.number,
                    vms=len(wave.vms),
                    most_away=wave.most_away,
                    seconds=wave.duration,
                )

    def _list(self) -> None:
        self._listed = clocks.read_steady()
        found = self._machines.list_vms()
        if isinstance(found, clients.Unavailable):
            logs.write_warning("vms.failed", call="list", reason=found.reason)
            return
        self._maintenance.take_list(found, self._listed)

    def _step(self, now: float) -> None:
        for worker in self._silence.check(now):
            logs.write_warning(
                "worker.lost",
                worker=worker,
                reason="its VM is listed without it",
            )
        for maintain in self._maintenance.decide(
            now,
            short=self._sizing.is_short,
            reserved=self._sizing.count_reserved(now),
        ):
            self._spawn(functools.partial(self._maintain, maintain))
        for move in self._sizing.decide(now):
            self._spawn(functools.partial(self._move, move))
        self._apply_closing()
        self._log_sizes(now)
        self._record_waves()
        self._on_change()

    def _apply_closing(self) -> None:
        """Tell the workers whether they take no work, and why."""
        self._book.set_evacuated(self._view.evacuated)
        later = self._maintenance.list_pending()
        closed = {
            vm: closures.Closure(reason=UNCERTAIN) for vm in self._uncertain
        }
        closed |= self._sizing.find_closures()
        for vm in self._maintenance.list_leaving():
            closed[vm] = closures.Closure(reason=maintenances.CLOSED)
        self._book.closures.set(closed)
        for worker in self._book.workers.values():
            self._book.closures.apply(worker)
            vm = worker.entry.vm if worker.entry is not None else ""
            worker.maintenance_pending = vm in later

    def _log_sizes(self, now: float) -> None:
        if now - self._sizes_logged < timing.SIZES_LOG_INTERVAL_S:
            return
        self._sizes_logged = now
        for name, size in self._sizing.pools.items():
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
        """Wait until the store knows of an order, under our token.

        An owner that was deposed and does not know it gets no further.
        """
        began = float("-inf")
        # A process that was frozen meanwhile asks again: the answer is old.
        while clocks.read_steady() - began > timing.CONFIRMATION_S:
            began = clocks.read_steady()
            self._ordered[vm] = None
            self._writer.enqueue(ORDERS_KEY, self._make_ordered)
            write = self._writer.number
            while self._writer.durable < write:
                gevent.sleep(timing.CARE_INTERVAL_S / 10)

    def _order(self, vm: str, send: Callable[[], Outcome]) -> Outcome:
        """Give an order until it is known what became of it.

        An order without an answer may have been taken; the platform answers
        the same order with success if it is done already.

        :param vm: The VM.
        :param send: Gives the order once.
        """
        uncertain = False
        for _ in range(timing.VM_ORDER_TRIES):
            self._confirm_ownership(vm)
            lives = self._note_order(vm)
            outcome = send()
            if isinstance(outcome, clients.Unavailable):
                uncertain = True
            else:
                self._ordered[vm] = clocks.read_steady()
                if isinstance(outcome, clients.Ordered):
                    return outcome
                if not uncertain:
                    for worker in lives:
                        worker.ordered_away = False
                    return outcome
            gevent.sleep(timing.VM_ORDER_PAUSE_S)
        self._hold_uncertain(vm)
        return outcome

    def _note_order(self, vm: str) -> list[workers.WorkerState]:
        """Note that the lives on a VM may end by an order.

        :param vm: The VM.
        :return: The lives.
        """
        lives = self._book.workers_by_vm.find(vm)
        for worker in lives:
            worker.ordered_away = True
        return lives

    def _hold_uncertain(self, vm: str) -> None:
        """Leave a VM alone whose order was given up without an answer."""
        now = clocks.read_steady()
        self._held[vm] = now + self._order_pause
        if vm in self._moves:
            self._sizing.restore(vm, self._moves[vm])
        else:
            self._uncertain.add(vm)
        self._release_held(now)
        self._apply_closing()

    def _make_ordered(self) -> backlogs.Record:
        """Make the record of VMs that the next owner leaves alone."""
        now = clocks.read_steady()
        self._ordered = self._find_recent(now)
        ages = {
            vm: 0.0 if time is None else now - time
            for vm, time in self._ordered.items()
        }
        return backlogs.Record(payload=msgspec.json.encode(ages))

    def _make_moves(self) -> backlogs.Record:
        """Make the record of where VMs were ordered to move lately."""
        self._moves = {
            vm: pool for vm, pool in self._moves.items() if vm in self._ordered
        }
        return backlogs.Record(payload=msgspec.json.encode(self._moves))

    def _maintain(self, order: maintenances.MaintainVm) -> None:
        """Have a VM maintained, once the store knows of it."""
        self._record_waves()
        if self._moves.pop(order.vm, None):
            self._writer.enqueue(MOVES_KEY, self._make_moves)
        outcome = self._order(
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
        """Move a VM to another pool."""
        self._moves[order.vm] = order.pool
        self._writer.enqueue(MOVES_KEY, self._make_moves)
        outcome = self._order(
            order.vm,
            lambda: self._machines.move(order.vm, order.pool, self._fence),
        )
        self._telemetry.vm_orders.labels("move", type(outcome).__name__).inc()
        size = self._sizing.pools.get(order.pool)
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
            # One that may still be carried out is given up after the pause.
            if order.vm not in self._held:
                self._sizing.forget_move(order.vm)

    def _record_waves(self) -> None:
        for number, state in self._maintenance.waves.items():
            self._record_wave(number, state)
            self._publish_status(number, state)

    def _record_wave(self, number: int, state: maintenances.WaveState) -> None:
        record = _Record(
            ordered=sorted(state.ordered), done=sorted(state.done)
        )
        if self._recorded.get(number) != record:
            self._recorded[number] = record
            self._writer.enqueue(
                f"{PREFIX}{number}",
                functools.partial(_make_record, record, state.began),
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
    """Return whether an order that was not taken never will be."""
    return (
        isinstance(outcome, clients.Rejected)
        and outcome.reason in clients.FINAL_REASONS
    )


def _make_record(record: _Record, began: float) -> backlogs.Record:
    timed = msgspec.structs.replace(
        record,
        elapsed=clocks.read_steady() - began,
        written=clocks.read_wall(),
    )
    return backlogs.Record(payload=msgspec.json.encode(timed))
