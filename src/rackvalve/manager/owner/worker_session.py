"""Session with one incarnation of a worker: holds and orders.

The owner's worker registry opens one for each worker.  A hold is a long poll:
the worker answers with a report when a run ends or the wait is over.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import functools
from typing import TypeVar

import gevent
from gevent import pool as greenlet_pools
from gevent import queue as gevent_queue

from rackvalve import clocks
from rackvalve.jobs import progress
from rackvalve import logs
from rackvalve.manager.owner import protocols
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
# Attempts to stop a run that no record names: the next report leads to another
# order.
STRAY_STOP_ATTEMPTS = 3


class WorkerSession:
    """Holds one worker and sends it orders until the session is closed.

    :param owner: Receives the worker's reports and answers.
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
        # Stops that no greenlet sends yet, and the greenlets that send some.
        self._stops: collections.deque[messages.StopRun] = collections.deque()
        self._stop_senders = 0
        self._greenlets = greenlet_pools.Group()
        self._is_answering = True
        self._is_lost = False
        # Consecutive holds without an answer.
        self._unanswered = 0
        # When the last hold was sent, and when it times out.
        self._sent_at = 0.0
        self._times_out_at = 0.0
        # Timeout of the next hold beyond its wait, in seconds.
        self._hold_timeout = timing.ORDER_TIMEOUT_S
        # Decaying maximum of the answers' delays beyond the wait, in seconds.
        self._delay = 0.0

    def start(self) -> None:
        """Start the greenlets that hold the worker and send orders."""
        self._greenlets.spawn(self._guard, self._hold_forever)
        for _ in range(timing.ORDER_SENDERS):
            self._greenlets.spawn(self._guard, self._send_forever)

    def close(self) -> None:
        """Stop the greenlets and close the client."""
        self._greenlets.kill(block=False)
        self._client.close()

    def send(self, order: messages.Order) -> None:
        """Send an order in another greenlet.

        A stop does not queue behind other orders: unanswered starts may keep
        all senders busy.  The end of one job may stop thousands of runs.

        :param order: The order.
        """
        if not isinstance(order, messages.StopRun):
            self._orders.put(order)
            return
        self._stops.append(order)
        if self._stop_senders < timing.STOP_SENDERS:
            self._stop_senders += 1
            self._greenlets.spawn(self._guard, self._send_stops)

    def _send_stops(self) -> None:
        """Send the queued stops, until there is none."""
        try:
            while self._stops:
                self.stop_run(self._stops.popleft())
        finally:
            self._stop_senders -= 1

    def _guard(self, function: Callable[[], None]) -> None:
        try:
            function()
        except Exception:
            # The owner's view may be half changed; the next owner begins from
            # the records in the store.
            logs.write_failure("task.failed", message=self._worker.identity)
            self._owner.fail(self._worker.identity)

    def _hold_forever(self) -> None:
        while True:
            outcome = self._hold()
            if isinstance(outcome, clients.Report):
                self._apply_report(outcome)
                self._wait_for_record()
                self._unanswered = 0
                if self._worker.is_quarantined:
                    # Ends that are not handled come again at once.
                    gevent.sleep(timing.HOLD_WAIT_S)
            else:
                if isinstance(outcome, _NoAnswer):
                    now = clocks.read_steady()
                    self._worker.note_unanswered(
                        self._sent_at, now, is_cut=now < self._times_out_at
                    )
                self._handle_outcome(outcome)
                gevent.sleep(self._choose_retry_delay())

    def _choose_retry_delay(self) -> float:
        """Return the delay before the next hold of a silent worker.

        Workers without an entry or runs are mostly gone, and there may be
        many, so their delay grows exponentially.
        """
        if self._worker.runs and self._worker.entry is not None:
            return timing.ORDER_RETRY_DELAY_S
        self._unanswered += 1
        longer: float = timing.ORDER_RETRY_DELAY_S * 2 ** min(
            self._unanswered, 10
        )
        return min(timing.MAX_HOLD_RETRY_DELAY_S, longer)

    def _hold(self) -> clients.Report | clients.Outcome:
        now = clocks.read_steady()
        worker_now = self._clock.read(now)
        until = None
        wait = timing.HOLD_WAIT_S
        if worker_now is None or not self._is_answering:
            # No lease is extended before the next answer, so get it at once.
            wait = 0.0
        elif self._owner.may_extend(now):
            until = worker_now + timing.WORKER_LEASE_S
            self._worker.note_extension(now, timing.WORKER_LEASE_S)
        if self._worker.unrecorded:
            # The store lacks the last ends, so the worker reports them again
            # at once anyway.
            wait = 0.0
        self._sent_at = now
        self._times_out_at = now + wait + self._hold_timeout
        outcome = self._call(
            self._client.hold,
            lease_until=until,
            acknowledged=self._worker.find_acknowledged(self._owner.is_stored),
            wait=wait,
            timeout=self._hold_timeout,
        )
        self._hold_timeout = timing.MAX_HOLD_TIMEOUT_S
        if isinstance(outcome, clients.Report):
            self._worker.is_extended |= until is not None
            delay = clocks.read_steady() - now - wait
            # A run's end during the wait makes the delay seem smaller.
            self._delay = max(delay, self._delay / 2)
            self._hold_timeout = _choose_hold_timeout(self._delay)
            # A worker that answers holds late answers orders as late.
            self._client.timeout = self._hold_timeout
        return outcome

    def _call(self, call: Callable[..., T], **fields: object) -> T | _NoAnswer:
        """Make one call and note the worker's clock from its answer.

        An unexpected error counts as no answer: it has changed nothing, and
        the next owner would meet it as well.
        """
        min_clock = self._clock.find_min(clocks.read_steady())
        fence = self._owner.tokens.find(self._worker)
        try:
            outcome = call(min_clock=min_clock, fence=fence, **fields)
        except Exception as error:
            logs.write_failure("task.failed", message=self._worker.identity)
            return connections.NoAnswer(reason=repr(error), sent=True)
        if isinstance(
            outcome, (clients.Report, clients.Done, clients.Rejected)
        ):
            self._clock.note(outcome.clock, clocks.read_steady())
        if isinstance(outcome, clients.Rejected):
            self._check_fence(outcome, fence)
        return outcome

    def _check_fence(self, outcome: clients.Rejected, sent: int) -> None:
        """Depose the owner if another one has sent a greater token.

        :param outcome: The rejection of a call.
        :param sent: The token of the call.
        """
        if outcome.reason is not clients.Reason.FENCED:
            return
        if not self._owner.tokens.catch_up(self._worker, sent):
            self._owner.depose(
                f"worker {self._worker.identity} has a greater token"
            )

    def _apply_report(self, report: clients.Report) -> None:
        now = clocks.read_steady()
        self._is_answering = True
        if self._is_lost:
            self._is_lost = False
            logs.write_event(
                "dependency.regained",
                dependency="worker",
                worker=self._worker.identity,
            )
        self._owner.apply_report(
            self._worker,
            messages.Report(
                sent=self._sent_at,
                running=report.running,
                ended=report.ended,
                clock=report.clock,
            ),
            now,
        )

    def _wait_for_record(self) -> None:
        """Wait until the store has the ended runs of the last report."""
        until = clocks.read_steady() + timing.RECORD_WAIT_S
        while True:
            self._worker.find_acknowledged(self._owner.is_stored)
            left = until - clocks.read_steady()
            if not self._worker.unrecorded or left <= 0:
                return
            self._owner.wait_for_commit(left)

    def _handle_outcome(self, outcome: clients.Outcome) -> None:
        """Handle an answer that is no report, or a missing answer."""
        if isinstance(outcome, clients.OtherLife):
            self._switch_incarnation(outcome)
            return
        if isinstance(outcome, clients.Rejected):
            return
        if not self._is_lost:
            self._is_lost = True
            logs.write_warning(
                "dependency.lost",
                dependency="worker",
                worker=self._worker.identity,
                reason=str(outcome),
            )
        self._is_answering = False

    def _switch_incarnation(self, other: clients.OtherLife) -> None:
        """Have the owner go on with the incarnation that answers instead."""
        if other.clock is None:
            self._owner.end_incarnation(
                self._worker.identity, "another life answers"
            )
            return
        born = other.born
        if born is None:
            # The answer has no start time, but the clock counts from it.
            born = int((clocks.read_wall() - other.clock) * 1000)
        if not self._worker.established:
            # Limits the calls if each answer names another start time.
            gevent.sleep(timing.ORDER_RETRY_DELAY_S)
        self._owner.switch_incarnation(self._worker, born)

    def _send_forever(self) -> None:
        while True:
            _send_order(self._orders.get(), self)

    def start_run(self, order: messages.StartRun) -> None:
        """Have the worker start a run and tell the owner the result.

        :param order: The order.
        """
        key = (f"{order.job}.{order.task}", order.run)
        uncertain = False
        until: float | None = None
        began = clocks.read_steady()
        while True:
            placed = self._worker.runs.get(key)
            if placed is None or placed.run.stage is not _ORDERED:
                # The run is over, is to be stopped, or was reported.
                return
            if until is None:
                until = self._grant_lease()
            outcome = self._try_start(placed, until)
            result = self._interpret_start(outcome, uncertain)
            if result is not None:
                self._owner.apply_start_result(placed, result, uncertain)
                return
            if isinstance(outcome, connections.NoAnswer) and outcome.sent:
                uncertain = True
            # The stop of a lasting run could end it while it is at work and
            # others of its step are away, so its start is retried.
            is_given_up = not placed.step.lasting and self._has_timed_out(
                began
            )
            if uncertain and is_given_up:
                unwell = messages.StartResult.UNWELL
                self._owner.apply_start_result(placed, unwell, uncertain)
                return
            if isinstance(outcome, clients.Rejected):
                # The lease has expired by the worker's clock; grant another.
                until = None
            gevent.sleep(timing.ORDER_RETRY_DELAY_S)

    def _has_timed_out(self, began: float) -> bool:
        """Return whether a start has timed out.

        Only if the worker answers holds: on a silent worker the runs are over
        when their lease expires, and a stop would not reach it either.
        """
        waited = clocks.read_steady() - began
        return self._is_answering and waited > timing.START_TIMEOUT_S

    def _grant_lease(self) -> float | None:
        """Grant a lease from now on; return its end on the worker's clock.

        A retried order keeps its lease: a new one would postpone the time at
        which the runs of a silent worker are known to be over.  An owner that
        may have been deposed grants none: its successor waits only for leases
        that may have been granted until then.

        :return: The end in seconds; ``None`` if no lease can be granted.
        """
        now = clocks.read_steady()
        worker_now = self._clock.read(now)
        if worker_now is None or not self._owner.may_extend(now):
            return None
        self._worker.note_extension(now, timing.WORKER_LEASE_S)
        return worker_now + timing.WORKER_LEASE_S

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
            checkpoint=placed.run.checkpoint,
            ticket=placed.run.ticket,
        )

    def _interpret_start(
        self, outcome: clients.Outcome, uncertain: bool
    ) -> messages.StartResult | None:
        """Return the result of a start by its answer; ``None`` to retry."""
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
        self._handle_outcome(outcome)
        return None

    def stop_run(self, order: messages.StopRun) -> None:
        """Have the worker stop a run.

        :param order: The order.
        """
        key = (order.task, order.run)
        attempts = 0
        while key in self._worker.runs or attempts < STRAY_STOP_ATTEMPTS:
            attempts += 1
            outcome = self._call(
                self._client.stop,
                task=order.task,
                run=order.run,
            )
            if isinstance(outcome, clients.Done):
                self._owner.confirm_stop(self._worker.identity, key)
                return
            if isinstance(outcome, clients.Malformed):
                return
            if not isinstance(outcome, (connections.NoAnswer, clients.Unwell)):
                self._handle_outcome(outcome)
            gevent.sleep(timing.ORDER_RETRY_DELAY_S)

    def set_pace(self, order: messages.SetPace) -> None:
        """Set the pace of a run, once; a failure is corrected by a report.

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
                # The next report leads to another order.
                placed.run.pace = None
            logs.write_warning(
                "order.failed",
                worker=self._worker.identity,
                order="pace",
                task=order.task,
                reason=str(outcome),
            )


def _choose_hold_timeout(delay: float) -> float:
    """Return the timeout of a hold beyond its wait, in seconds.

    :param delay: How late the last answers were, in seconds.
    """
    longer = max(timing.ORDER_TIMEOUT_S, delay * timing.HOLD_TIMEOUT_FACTOR)
    return min(timing.MAX_HOLD_TIMEOUT_S, longer)


@functools.singledispatch
def _send_order(order: object, session: WorkerSession) -> None:
    """Send one order.

    :param order: The order.
    :param session: Session with the worker.
    """
    raise TypeError(f"no sender for {order!r}")


@_send_order.register
def _(order: messages.StartRun, session: WorkerSession) -> None:
    session.start_run(order)


@_send_order.register
def _(order: messages.SetPace, session: WorkerSession) -> None:
    session.set_pace(order)
