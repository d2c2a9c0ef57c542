"""The task that owns an entry's queues and its use of targets."""

from __future__ import annotations

import functools
from typing import Any
from typing import TYPE_CHECKING

from rackvalve.entry import messages
from rackvalve.jobs import decisions
from rackvalve import logs
from rackvalve import outcomes
from rackvalve import tasks

if TYPE_CHECKING:
    from collections.abc import Callable

    from rackvalve.jobs import admission as admissions

ATTEMPTS_MAX = 4


class Dispatcher(tasks.Task):
    """Decides on requests by asking the pure core.

    :param admission: The core.
    :param clock: Reads the present time, in seconds.
    :param probe: Probes a target of a pool and posts the result.
    """

    def __init__(
        self,
        admission: admissions.Admission,
        *,
        clock: Callable[[], float],
        probe: Callable[[str, str, str, int], None],
    ) -> None:
        super().__init__()
        self._admission = admission
        self._clock = clock
        self._probe = probe
        self._mailboxes: dict[int, tasks.Mailbox[messages.Reply]] = {}

    @property
    def admission(self) -> admissions.Admission:
        """The core, for queries that change nothing."""
        return self._admission

    @functools.singledispatchmethod
    def handle(self, message: Any) -> None:
        """Handle one message.

        :param message: A message of :mod:`rackvalve.entry.messages`.
        """
        raise TypeError(f"unexpected message {message!r}")

    @handle.register
    def _on_job_submitted(self, message: messages.JobSubmitted) -> None:
        reply = self._admission.submit(message.job, self._clock())
        if isinstance(reply, decisions.Waiting):
            self._mailboxes[message.job.number] = message.mailbox
        message.mailbox.put(reply)

    @handle.register
    def _on_job_cancelled(self, message: messages.JobCancelled) -> None:
        job = message.job
        if not self._admission.pools[job.pool].cancel(job):
            return
        refused = outcomes.Refused(reason=outcomes.Reason.CANCELLED)
        self._deliver(decisions.Ended(job=job, refused=refused))

    @handle.register
    def _on_attempt_ended(self, message: messages.AttemptEnded) -> None:
        pool = message.started.job.pool
        now = self._clock()
        self._admission.finish(
            pool, message.started.attempt, message.result, now
        )
        self._collect(pool, now)

    @handle.register
    def _on_attempt_silent(self, message: messages.AttemptSilent) -> None:
        pool = self._admission.pools[message.started.job.pool]
        pool.report_silence(message.started.attempt, self._clock())

    @handle.register
    def _on_retry_wanted(self, message: messages.RetryWanted) -> None:
        job = message.job
        now = self._clock()
        decision: decisions.Started | decisions.Waiting | None = None
        if len(message.tried) < ATTEMPTS_MAX and now < job.deadline:
            if message.sent:
                decision = self._admission.retry(job, message.tried, now)
            else:
                decision = self._admission.reroute(job, message.tried, now)
        if decision is None:
            message.mailbox.put(
                outcomes.Refused(reason=outcomes.Reason.TARGETS_UNREACHABLE)
            )
            return
        if isinstance(decision, decisions.Waiting):
            self._mailboxes[job.number] = message.mailbox
        message.mailbox.put(decision)

    @handle.register
    def _on_view_offered(self, message: messages.ViewOffered) -> None:
        ended = self._admission.apply(message.view)
        for decision in ended:
            self._deliver(decision)
        now = self._clock()
        for pool in self._admission.pools:
            self._collect(pool, now)
        view = self._admission.view
        if view is not None:
            logs.write_event(
                "view.applied",
                configuration=view.configuration_revision,
                hall_record=view.hall_revision,
            )
        message.done()

    @handle.register
    def _on_probe_ended(self, message: messages.ProbeEnded) -> None:
        now = self._clock()
        pool = self._admission.pools[message.pool]
        pool.board.conclude_probe(message.vm, message.healthy, now)
        self._collect(message.pool, now)

    @handle.register
    def _on_time_passed(self, message: messages.TimePassed) -> None:
        now = self._clock()
        for name, pool in self._admission.pools.items():
            self._collect(name, now)
            for target in pool.board.list_due(now):
                allotment = target.allotment
                self._probe(name, target.vm, allotment.host, allotment.port)

    @handle.register
    def _on_stop_ordered(self, message: messages.StopOrdered) -> None:
        for decision in self._admission.stop():
            self._deliver(decision)

    def _collect(self, pool: str, now: float) -> None:
        for decision in self._admission.collect(pool, now):
            self._deliver(decision)

    def _deliver(self, decision: decisions.Started | decisions.Ended) -> None:
        mailbox = self._mailboxes.pop(decision.job.number)
        if isinstance(decision, decisions.Started):
            mailbox.put(decision)
        else:
            mailbox.put(decision.refused)
