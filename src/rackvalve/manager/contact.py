"""The traffic with one life of a worker: holds and orders."""

from __future__ import annotations

from collections.abc import Callable
import functools
from typing import TypeVar

import gevent
from gevent import pool as greenlet_pools
from gevent import queue as gevent_queue

from rackvalve import clocks
from rackvalve.jobs import progress
from rackvalve import logs
from rackvalve.manager import protocols
from rackvalve.manager import timing
from rackvalve.platform import connections
from rackvalve.platform import workers as clients
from rackvalve.scheduling import messages
from rackvalve.scheduling import worker_clock
from rackvalve.scheduling import workers

_REJECTIONS = {
    clients.Reason.OUTDATED_RUN: messages.StartResult.OUTDATED,
    clients.Reason.NO_ROOM: messages.StartResult.NO_ROOM,
    clients.Reason.TICKET: messages.StartResult.TICKET,
}
_ORDERED = progress.Stage.ORDERED
_NoAnswer = connections.NoAnswer
T = TypeVar("T")
# An order to stop a run that no record names is not repeated for ever; the
# next report asks for it again.
STRAY_TRIES = 3


class Contact:
    """Holds one worker and sends it orders, until it is closed.

    :param owner: Whom to tell what the worker says.
    :param worker: The worker.
    :param client: The client of the worker.
    """

    def __init__(
        self,
        owner: protocols.SessionOwner,
        worker: workers.WorkerState,
        client: clients.Worker,
    ) -> None:
        self._owner = owner
        self._worker = worker
        self._client = client
        self._clock = worker_clock.WorkerClock()
        self._orders: gevent_queue.SimpleQueue = gevent_queue.SimpleQueue()
        self._greenlets = greenlet_pools.Group()
        self._answering = True
        self._lost = False
        # Holds in a row that were not answered.
        self._silent = 0
        # When the last hold was sent.
        self._sent = 0.0
        # How long beyond its wait the next one is given, in seconds.
        self._patience = timing.ORDER_TIMEOUT_S
        # How long beyond its wait the last ones took, in seconds.
        self._late = 0.0

    def start(self) -> None:
        """Start to hold and to send."""
        self._greenlets.spawn(self._guard, self._hold_forever)
        for _ in range(timing.ORDER_SENDERS):
            self._greenlets.spawn(self._guard, self._send_forever)

    def close(self) -> None:
        """End all traffic with the worker."""
        self._greenlets.kill(block=False)
        self._client.close()

    def send(self, order: messages.Order) -> None:
        """Send an order soon.

        A stop waits for no other order: starts that a worker does not answer
        may keep all senders.

        :param order: The order.
        """
        if isinstance(order, messages.StopRun):
            stop = functools.partial(self.stop_run, order)
            self._greenlets.spawn(self._guard, stop)
        else:
            self._orders.put(order)

    def _guard(self, function: Callable[[], None]) -> None:
        try:
            function()
        except Exception:
            # The book may be half changed; another process goes on from the
            # records.
            logs.write_failure("task.failed", message=self._worker.identity)
            self._owner.depose("an unexpected error; see task.failed")

    def _hold_forever(self) -> None:
        while True:
            outcome = self._hold()
            if isinstance(outcome, clients.Report):
                self._take_report(outcome)
                self._wait_for_record()
                self._silent = 0
            else:
                self._take_outcome(outcome)
                gevent.sleep(self._choose_pause())

    def _choose_pause(self) -> float:
        """Return how long to wait before a silent worker is asked again.

        One that only records name is mostly gone, and there may be many.
        """
        if self._worker.runs and self._worker.entry is not None:
            return timing.ORDER_PAUSE_S
        self._silent += 1
        longer: float = timing.ORDER_PAUSE_S * 2 ** min(self._silent, 10)
        return min(timing.SILENT_PAUSE_S, longer)

    def _hold(self) -> clients.Report | clients.Outcome:
        now = clocks.read_steady()
        shown = self._clock.read(now)
        until = None
        wait = timing.HOLD_WAIT_S
        if shown is None or not self._answering:
            # Until it is answered no lease is extended.
            wait = 0.0
        elif self._owner.may_extend(now):
            until = shown + timing.WORKER_LEASE_S
            self._worker.note_extension(now, timing.WORKER_LEASE_S)
        if self._worker.unrecorded:
            # The store has not taken the last ends; they come again at once.
            wait = 0.0
        self._sent = now
        outcome = self._call(
            self._client.hold,
            lease_until=until,
            acknowledged=self._worker.find_acknowledged(self._owner.durable),
            wait=wait,
            timeout=self._patience,
        )
        self._patience = timing.HOLD_TIMEOUT_MOST_S
        if isinstance(outcome, clients.Report):
            late = clocks.read_steady() - now - wait
            # An answer that an end cut short seems less late than it is.
            self._late = max(late, self._late / 2)
            self._patience = _choose_patience(self._late)
            # A worker that is late with these is as late with orders.
            self._client.timeout = self._patience
        return outcome

    def _call(self, call: Callable[..., T], **fields: object) -> T | _NoAnswer:
        """Make one call, and take what its answer tells of the clock.

        An error that nobody expected is this worker's silence: it has changed
        nothing, and would meet the next owner as well.
        """
        least = self._clock.find_least(clocks.read_steady())
        fence = self._owner.fences.find(self._worker)
        try:
            outcome = call(min_clock=least, fence=fence, **fields)
        except Exception as error:
            logs.write_failure("task.failed", message=self._worker.identity)
            return connections.NoAnswer(reason=repr(error), sent=True)
        if isinstance(
            outcome, (clients.Report, clients.Done, clients.Rejected)
        ):
            self._clock.note(outcome.clock, clocks.read_steady())
        return outcome

    def _take_report(self, report: clients.Report) -> None:
        now = clocks.read_steady()
        self._answering = True
        if self._lost:
            self._lost = False
            logs.write_event(
                "dependency.regained",
                dependency="worker",
                worker=self._worker.identity,
            )
        self._owner.take_report(
            self._worker,
            messages.Report(
                sent=self._sent,
                running=report.running,
                ended=report.ended,
                clock=report.clock,
            ),
            now,
        )

    def _wait_for_record(self) -> None:
        """Let the ends of the last report come into the store first."""
        until = clocks.read_steady() + timing.RECORD_WAIT_S
        while True:
            self._worker.find_acknowledged(self._owner.durable)
            left = until - clocks.read_steady()
            if not self._worker.unrecorded or left <= 0:
                return
            self._owner.wait_for_commit(left)

    def _take_outcome(self, outcome: clients.Outcome) -> None:
        """Act on an answer that is no report."""
        if isinstance(outcome, clients.OtherLife):
            self._leave_life(outcome)
            return
        if isinstance(outcome, clients.Rejected):
            is_fenced = outcome.reason is clients.Reason.FENCED
            if is_fenced and not self._owner.fences.catch_up(self._worker):
                self._owner.depose(
                    f"worker {self._worker.identity} has a greater token"
                )
            return
        if not self._lost:
            self._lost = True
            logs.write_warning(
                "dependency.lost",
                dependency="worker",
                worker=self._worker.identity,
                reason=str(outcome),
            )
        self._answering = False

    def _leave_life(self, other: clients.OtherLife) -> None:
        """Have the owner turn to the life that answers instead."""
        if other.clock is None:
            self._owner.end_life(self._worker.identity, "another life answers")
            return
        born = other.born
        if born is None:
            # It tells none; its clock began with it.
            born = int((clocks.read_wall() - other.clock) * 1000)
        if not self._worker.established:
            # Even one that tells another birth each time costs few calls.
            gevent.sleep(timing.ORDER_PAUSE_S)
        self._owner.follow(self._worker, born)

    def _send_forever(self) -> None:
        while True:
            _send_order(self._orders.get(), self)

    def start_run(self, order: messages.StartRun) -> None:
        """Have the worker start a run; tell the owner what became of it.

        :param order: The order.
        """
        key = (f"{order.job}.{order.task}", order.run)
        uncertain = False
        until: float | None = None
        began = clocks.read_steady()
        while True:
            placed = self._worker.runs.get(key)
            if placed is None or placed.run.stage is not _ORDERED:
                # It is over, is to be stopped, or a report has listed it.
                return
            if until is None:
                until = self._lease_until()
            outcome = self._try_start(placed, until)
            result = self._judge_start(outcome, uncertain)
            if result is not None:
                self._owner.take_start(placed, result, uncertain)
                return
            if isinstance(outcome, connections.NoAnswer) and outcome.sent:
                uncertain = True
            if uncertain and self._is_given_up(began):
                unwell = messages.StartResult.UNWELL
                self._owner.take_start(placed, unwell, uncertain)
                return
            if isinstance(outcome, clients.Rejected):
                # Its lease is over on the worker's clock; ask for a new one.
                until = None
            gevent.sleep(timing.ORDER_PAUSE_S)

    def _is_given_up(self, began: float) -> bool:
        """Return whether a start has had no answer for too long.

        Only of a worker that answers holds: what is silent in all has its
        runs proved over by its lease, and a stop would not reach it either.
        """
        waited = clocks.read_steady() - began
        return self._answering and waited > timing.START_TRIES_S

    def _lease_until(self) -> float | None:
        """Return the end of a lease that begins now, on the worker's clock.

        An order that is tried again keeps its lease: each new one would put
        off the time at which a silent worker's runs are proved over.  An
        owner that may have been deposed gives none: its successor waits for
        what may have been given until then, and no longer.
        """
        now = clocks.read_steady()
        shown = self._clock.read(now)
        if shown is None or not self._owner.may_extend(now):
            return None
        self._worker.note_extension(now, timing.WORKER_LEASE_S)
        return shown + timing.WORKER_LEASE_S

    def _try_start(
        self, placed: workers.PlacedRun, until: float | None
    ) -> clients.Outcome:
        if until is None:
            return connections.NoAnswer(reason="no lease to give", sent=False)
        return self._call(
            self._client.start,
            task=placed.full_name,
            run=placed.run.number,
            spec=placed.state.job.spec,
            lease_until=until,
            checkpoint=placed.task.checkpoint,
            ticket=placed.run.ticket,
        )

    def _judge_start(
        self, outcome: clients.Outcome, uncertain: bool
    ) -> messages.StartResult | None:
        """Return what an answer comes to; ``None`` to try again."""
        if isinstance(outcome, clients.Done):
            return messages.StartResult.STARTED
        if isinstance(outcome, clients.Unwell):
            return messages.StartResult.UNWELL
        if isinstance(outcome, clients.Malformed):
            return messages.StartResult.MALFORMED
        if isinstance(outcome, clients.Rejected) and outcome.reason:
            if outcome.reason in _REJECTIONS:
                return _REJECTIONS[outcome.reason]
        if isinstance(outcome, connections.NoAnswer):
            if not outcome.sent and not uncertain:
                return messages.StartResult.NOT_SENT
            return None
        self._take_outcome(outcome)
        return None

    def stop_run(self, order: messages.StopRun) -> None:
        """Have the worker stop a run.

        :param order: The order.
        """
        key = (order.task, order.run)
        tries = 0
        while key in self._worker.runs or tries < STRAY_TRIES:
            tries += 1
            outcome = self._call(
                self._client.stop,
                task=order.task,
                run=order.run,
            )
            if isinstance(outcome, clients.Done):
                self._owner.take_stop(self._worker.identity, key)
                return
            if isinstance(outcome, clients.Malformed):
                return
            if not isinstance(outcome, (connections.NoAnswer, clients.Unwell)):
                self._take_outcome(outcome)
            gevent.sleep(timing.ORDER_PAUSE_S)

    def set_pace(self, order: messages.SetPace) -> None:
        """Have a run work at a share of its speed; the next report corrects.

        :param order: The order.
        """
        outcome = self._call(
            self._client.set_pace,
            task=order.task,
            run=order.run,
            percent=order.percent,
        )
        if not isinstance(outcome, clients.Done):
            placed = self._worker.runs.get((order.task, order.run))
            if placed is not None:
                # The next report sends another one.
                placed.run.pace = None
            logs.write_warning(
                "order.failed",
                worker=self._worker.identity,
                order="pace",
                task=order.task,
                reason=str(outcome),
            )


def _choose_patience(late: float) -> float:
    """Return how long beyond its wait a hold is given, in seconds.

    :param late: How long beyond its wait the last one took, in seconds.
    """
    longer = max(timing.ORDER_TIMEOUT_S, late * timing.HOLD_PATIENCE)
    return min(timing.HOLD_TIMEOUT_MOST_S, longer)


@functools.singledispatch
def _send_order(order: object, contact: Contact) -> None:
    """Send one order.

    :param order: The order.
    :param contact: Traffic with the worker.
    """
    raise TypeError(f"no sender for {order!r}")


@_send_order.register
def _(order: messages.StartRun, contact: Contact) -> None:
    contact.start_run(order)


@_send_order.register
def _(order: messages.SetPace, contact: Contact) -> None:
    contact.set_pace(order)
