"""Execution of one request, from admission to its outcome.

Runs in the greenlet of the caller's connection.  A request that is
abandoned gets its outcome at once, while an attempt that its target has not
answered keeps its slot in a separate greenlet: time alone never frees a slot.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

import gevent
from gevent import socket as gevent_socket

from rackvalve.burn import ledger as ledgers
from rackvalve.entry import messages
from rackvalve.entry import sender as senders
from rackvalve.entry import traces
from rackvalve import logs
from rackvalve import outcomes
from rackvalve.requests import decisions
from rackvalve.requests import job as jobs
from rackvalve.requests import scheduler
from rackvalve import sockets
from rackvalve.targets import group
from rackvalve import tasks

if TYPE_CHECKING:
    from collections.abc import Callable

    from rackvalve.entry import claims as claim_module
    from rackvalve.entry import dispatcher as dispatchers
    from rackvalve import metrics as metric_module

SERVER_ERROR = 500
SERIES_CACHED = 4096
TIMEOUT_FACTOR = 4.0
TIMEOUT_MIN_S = 0.25


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Served:
    """The target's answer, complete or to be streamed.

    :param answer: The answer.
    :param exchange: The attempt that received it.
    :param started: The attempt's slot, not yet released if the answer is
        incomplete.
    """

    answer: senders.Answered
    exchange: senders.Exchange
    started: decisions.Started


Outcome = Served | outcomes.Refused | outcomes.Unknown


class Runner:
    """Runs requests.

    :param dispatcher: Decides on slots.
    :param sender: Owns the connections to targets.
    :param claims: Claims idempotency keys.
    :param history: Stores the traces of requests.
    :param metrics: Counts outcomes.
    :param ledger: Counts outcomes and times for the burn report.
    :param clock: Reads the steady clock, in seconds.
    """

    def __init__(
        self,
        *,
        dispatcher: dispatchers.Dispatcher,
        sender: senders.Sender,
        claims: claim_module.Claims,
        history: traces.Traces,
        metrics: metric_module.Metrics,
        ledger: ledgers.Ledger,
        clock: Callable[[], float],
    ) -> None:
        self._dispatcher = dispatcher
        self._sender = sender
        self._claims = claims
        self._history = history
        self._metrics = metrics
        self._ledger = ledger
        self._clock = clock
        self._get_series = functools.lru_cache(SERIES_CACHED)(_make_series)

    def run(
        self,
        job: jobs.Job,
        request: senders.Request,
        caller: gevent_socket.socket | None,
        received: float,
    ) -> Outcome:
        """Run a request to its outcome.

        :param job: The request's fields.
        :param request: The request to send to a target.
        :param caller: Socket of the caller, watched while the request is
            queued.
        :param received: Wall-clock time at which it was received, in seconds.
        """
        trace = traces.Trace(
            request_id=job.request_id,
            workspace=job.workspace,
            pool=job.pool,
            job_class=job.job_class.value,
            received=received,
        )
        self._history.add(trace)
        outcome = self._run_with_claim(job, request, caller, trace)
        self._record_outcome(job, trace, outcome)
        return outcome

    def end_stream(self, served: Served, result: group.Result) -> None:
        """Release the slot of a streamed answer.

        :param served: The outcome that was streamed.
        :param result: Result of the attempt; ``ABANDONED`` if the caller
            disconnected before its end.
        """
        if result is group.Result.ABANDONED:
            gevent.spawn(self._hold_slot, served.exchange, served.started)
            return
        self._dispatcher.tell(messages.AttemptEnded(served.started, result))

    def _run_with_claim(
        self,
        job: jobs.Job,
        request: senders.Request,
        caller: gevent_socket.socket | None,
        trace: traces.Trace,
    ) -> Outcome:
        if job.repeatable:
            return self._run_attempts(job, request, caller, trace)
        refused = self._dispatcher.admission.check(job)
        if refused is not None:
            return refused
        ticket = self._claims.claim(job)
        if isinstance(ticket, outcomes.Refused):
            return ticket
        outcome = self._run_attempts(job, request, caller, trace)
        word = _name_outcome(outcome)
        self._claims.settle(ticket, word, job.request_id)
        return outcome

    def _run_attempts(
        self,
        job: jobs.Job,
        request: senders.Request,
        caller: gevent_socket.socket | None,
        trace: traces.Trace,
    ) -> Outcome:
        mailbox: tasks.Mailbox[messages.Reply] = tasks.Mailbox()
        self._dispatcher.tell(messages.JobSubmitted(job, mailbox))
        decision = self._await_start(job, mailbox, caller, trace)
        tried: list[str] = []
        reached = False
        while isinstance(decision, decisions.Started):
            tried.append(decision.vm)
            self._trace_start(trace, decision)
            exchange = self._make_exchange(job, request, decision)
            result = self._send(job, exchange, decision)
            if isinstance(result, senders.Pending):
                late = self._handle_silence(
                    job, exchange, decision, tried, mailbox
                )
                if isinstance(late, decisions.Started):
                    reached = True
                    decision = late
                    continue
                result = late
            final = self._finish_attempt(job, exchange, decision, result)
            if final is not None:
                return final
            sent = not isinstance(result, senders.NotSent)
            reached = reached or sent
            retry = self._request_retry(job, tried, mailbox, caller, sent=sent)
            if isinstance(retry, outcomes.Refused):
                if isinstance(result, senders.Answered):
                    return Served(
                        answer=result, exchange=exchange, started=decision
                    )
                return _make_failure(result, retry, reached=reached)
            decision = retry
        return decision

    def _await_start(
        self,
        job: jobs.Job,
        mailbox: tasks.Mailbox[messages.Reply],
        caller: gevent_socket.socket | None,
        trace: traces.Trace | None,
    ) -> decisions.Started | outcomes.Refused:
        decision = mailbox.take()
        if not isinstance(decision, decisions.Waiting):
            return decision
        if trace is not None:
            trace.expected_wait = decision.expected_wait
        watcher = gevent.spawn(self._watch_caller, job, caller)
        try:
            decision = mailbox.take()
        finally:
            watcher.kill(block=False)
        if isinstance(decision, decisions.Waiting):
            raise TypeError("a waiting request was told to wait")
        return decision

    def _watch_caller(
        self, job: jobs.Job, caller: gevent_socket.socket | None
    ) -> None:
        if caller is None:
            return
        try:
            gevent_socket.wait_read(caller.fileno())
        except OSError:
            return
        if sockets.peek(caller) is sockets.Peek.ENDED:
            self._dispatcher.post(messages.JobCancelled(job))

    def _make_exchange(
        self,
        job: jobs.Job,
        request: senders.Request,
        started: decisions.Started,
    ) -> senders.Exchange:
        view = self._dispatcher.admission.view
        pool = view.configuration.pools.get(job.pool) if view else None
        return senders.Exchange(
            self._sender,
            (started.host, started.port),
            request,
            request_id=job.request_id,
            echo_required=pool.echo_required if pool else True,
        )

    def _send(
        self,
        job: jobs.Job,
        exchange: senders.Exchange,
        started: decisions.Started,
    ) -> senders.Result:
        left = max(job.deadline - self._clock(), 0.0)
        if job.repeatable and job.job_class is jobs.Class.QUICK:
            pool = self._dispatcher.admission.pools[job.pool]
            high = pool.predict_high(job)
            if high is not None:
                left = min(left, max(TIMEOUT_FACTOR * high, TIMEOUT_MIN_S))
        return exchange.send(fresh=not job.repeatable, timeout=left)

    def _handle_silence(
        self,
        job: jobs.Job,
        exchange: senders.Exchange,
        started: decisions.Started,
        tried: list[str],
        mailbox: tasks.Mailbox[messages.Reply],
    ) -> senders.Result | decisions.Started:
        """Retry or keep waiting after a target did not answer in time.

        :return: A new start on another target, or the late result.
        """
        self._dispatcher.tell(messages.AttemptSilent(started))
        if job.repeatable and self._clock() < job.deadline:
            retry = self._request_retry(job, tried, mailbox, None, sent=True)
            if isinstance(retry, decisions.Started):
                gevent.spawn(self._hold_slot, exchange, started)
                return retry
        left = max(job.deadline - self._clock(), 0.0)
        return exchange.wait(left) if left else senders.Pending()

    def _request_retry(
        self,
        job: jobs.Job,
        tried: list[str],
        mailbox: tasks.Mailbox[messages.Reply],
        caller: gevent_socket.socket | None,
        *,
        sent: bool,
    ) -> decisions.Started | outcomes.Refused:
        self._dispatcher.tell(
            messages.RetryWanted(job, tuple(tried), sent, mailbox)
        )
        decision = self._await_start(job, mailbox, caller, None)
        if isinstance(decision, decisions.Started):
            self._metrics.count("requests.retried")
        return decision

    def _finish_attempt(
        self,
        job: jobs.Job,
        exchange: senders.Exchange,
        started: decisions.Started,
        result: senders.Result,
    ) -> Outcome | None:
        """Release the slot and return the outcome.

        :return: ``None`` if the request may be retried on another target.
        """
        if isinstance(result, senders.Pending):
            gevent.spawn(self._hold_slot, exchange, started)
            return outcomes.Unknown(
                reason=outcomes.Reason.ANSWER_LATE,
                detail=f"{started.vm} did not answer before the deadline",
            )
        if isinstance(result, senders.Answered):
            failed = result.status >= SERVER_ERROR
            if failed and job.repeatable and result.whole:
                self._release_slot(started, group.Result.FAILED)
                return None
            served = Served(answer=result, exchange=exchange, started=started)
            if result.whole:
                good = group.Result.FAILED if failed else group.Result.GOOD
                self._release_slot(started, good)
            return served
        if isinstance(result, senders.NotSent):
            self._release_slot(started, group.Result.UNREACHABLE)
            return None
        self._release_slot(started, group.Result.FAILED)
        if job.repeatable:
            return None
        return outcomes.Unknown(reason=result.reason, detail=result.detail)

    def _release_slot(
        self, started: decisions.Started, result: group.Result
    ) -> None:
        self._dispatcher.tell(messages.AttemptEnded(started, result))

    def _hold_slot(
        self, exchange: senders.Exchange, started: decisions.Started
    ) -> None:
        """Release a slot only when the target has finished the request."""
        exchange.drain()
        self._release_slot(started, group.Result.ABANDONED)

    def _trace_start(
        self, trace: traces.Trace, started: decisions.Started
    ) -> None:
        choice = started.choice
        trace.state = "running"
        trace.waited = started.waited
        trace.attempts.append(
            traces.Attempt(
                vm=started.vm,
                load=choice.load,
                other=choice.other.vm if choice.other else "",
                open_targets=choice.open_targets,
            )
        )

    def _record_outcome(
        self, job: jobs.Job, trace: traces.Trace, outcome: Outcome
    ) -> None:
        trace.state = _name_outcome(outcome)
        trace.took = self._clock() - job.received
        self._metrics.count(f"requests.{trace.state}")
        series = self._get_series(job.pool, job.workspace, trace.job_class)
        self._ledger.record(series, trace.state, trace.took, self._clock())
        if isinstance(outcome, Served):
            return
        trace.reason = outcome.reason.value
        trace.detail = outcome.detail
        if outcome.reason is outcomes.Reason.CANCELLED:
            self._metrics.count("requests.cancelled")
        logs.write_event(
            f"request.{trace.state}",
            request_id=job.request_id,
            workspace=job.workspace,
            pool=job.pool,
            reason=outcome.reason.value,
            detail=outcome.detail,
        )


def _make_series(pool: str, workspace: str, job_class: str) -> ledgers.Series:
    return ledgers.Series(pool=pool, workspace=workspace, job_class=job_class)


def _name_outcome(outcome: Outcome) -> str:
    if isinstance(outcome, Served):
        return "served"
    if isinstance(outcome, outcomes.Refused):
        return "refused"
    return "unknown"


def _make_failure(
    result: senders.Result, refused: outcomes.Refused, *, reached: bool
) -> outcomes.Refused | outcomes.Unknown:
    """Return the outcome of a request that cannot be retried.

    It is a refusal only if no attempt reached a target.
    """
    if not reached:
        retry_after = refused.retry_after or scheduler.MIN_RETRY_AFTER_S
        return dataclasses.replace(refused, retry_after=retry_after)
    if isinstance(result, senders.Broken):
        return outcomes.Unknown(reason=result.reason, detail=result.detail)
    return outcomes.Unknown(
        reason=outcomes.Reason.TARGETS_UNREACHABLE,
        detail="an attempt reached a target, and no other one is left",
    )
