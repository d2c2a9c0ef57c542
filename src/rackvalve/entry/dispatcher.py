"""Task that owns the entry's queues and the state of its targets."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from rackvalve.entry import messages
from rackvalve import logs
from rackvalve import outcomes
from rackvalve.requests import decisions
from rackvalve import tasks

if TYPE_CHECKING:
    from collections.abc import Callable

    from rackvalve.requests import admission as admissions

ATTEMPTS_MAX = 4


class Dispatcher(tasks.Task):
    """Applies the decisions of the admission core to requests.

    :param admission: The core, without I/O.
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
        super().__init__(handle)
        self._admission = admission
        self._clock = clock
        self._probe = probe
        self._notify: Callable[[], None] = _ignore
        self._mailboxes: dict[int, tasks.Mailbox[messages.Reply]] = {}

    @property
    def admission(self) -> admissions.Admission:
        """The core, for queries that do not change its state."""
        return self._admission

    def set_listener(self, notify: Callable[[], None]) -> None:
        """Set the callback for new documents that are to be acknowledged.

        :param notify: Called without arguments; must not block.
        """
        self._notify = notify

    def _dispatch(self, pool: str, now: float) -> None:
        for decision in self._admission.dispatch(pool, now):
            self._deliver(decision)

    def _deliver(self, decision: decisions.Started | decisions.Ended) -> None:
        mailbox = self._mailboxes.pop(decision.job.number)
        if isinstance(decision, decisions.Started):
            mailbox.put(decision)
        else:
            mailbox.put(decision.refused)


@functools.singledispatch
def handle(message: object, task: Dispatcher) -> None:
    """Handle one message.

    :param message: The message.
    :param task: The task that owns the state.
    """
    raise TypeError(f"unexpected message {message!r}")


@handle.register
def _on_job_submitted(
    message: messages.JobSubmitted, task: Dispatcher
) -> None:
    reply = task._admission.submit(message.job, task._clock())
    if isinstance(reply, decisions.Waiting):
        task._mailboxes[message.job.number] = message.mailbox
    message.mailbox.put(reply)


@handle.register
def _on_job_cancelled(
    message: messages.JobCancelled, task: Dispatcher
) -> None:
    job = message.job
    if not task._admission.pools[job.pool].cancel(job):
        return
    refused = outcomes.Refused(reason=outcomes.Reason.CANCELLED)
    task._deliver(decisions.Ended(job=job, refused=refused))


@handle.register
def _on_attempt_ended(
    message: messages.AttemptEnded, task: Dispatcher
) -> None:
    pool = message.started.job.pool
    now = task._clock()
    task._admission.finish(pool, message.started.attempt, message.result, now)
    task._dispatch(pool, now)


@handle.register
def _on_attempt_silent(
    message: messages.AttemptSilent, task: Dispatcher
) -> None:
    pool = task._admission.pools[message.started.job.pool]
    pool.count_unanswered(message.started.attempt, task._clock())


@handle.register
def _on_retry_wanted(message: messages.RetryWanted, task: Dispatcher) -> None:
    job = message.job
    now = task._clock()
    decision: decisions.Admission | None = None
    if len(message.tried) < ATTEMPTS_MAX:
        if message.sent:
            decision = task._admission.retry(job, message.tried, now)
        else:
            decision = task._admission.reroute(job, message.tried, now)
    if decision is None:
        message.mailbox.put(
            outcomes.Refused(reason=outcomes.Reason.TARGETS_UNREACHABLE)
        )
        return
    if isinstance(decision, decisions.Waiting):
        task._mailboxes[job.number] = message.mailbox
    message.mailbox.put(decision)


@handle.register
def _on_view_offered(message: messages.ViewOffered, task: Dispatcher) -> None:
    ended = task._admission.apply(message.view)
    for decision in ended:
        task._deliver(decision)
    now = task._clock()
    for pool in task._admission.pools:
        task._dispatch(pool, now)
    view = task._admission.view
    if view is not None:
        logs.write_event(
            "view.applied",
            configuration=view.configuration_revision,
            hall_record=view.hall_revision,
        )
    task._notify()


@handle.register
def _on_probe_ended(message: messages.ProbeEnded, task: Dispatcher) -> None:
    now = task._clock()
    pool = task._admission.pools[message.pool]
    pool.group.conclude_probe(message.vm, message.healthy, now)
    task._dispatch(message.pool, now)


@handle.register
def _on_time_passed(message: messages.TimePassed, task: Dispatcher) -> None:
    now = task._clock()
    for name, pool in task._admission.pools.items():
        task._dispatch(name, now)
        for target in pool.group.pop_due(now):
            allotment = target.allotment
            task._probe(name, target.vm, allotment.host, allotment.port)


@handle.register
def _on_stop_ordered(message: messages.StopOrdered, task: Dispatcher) -> None:
    for decision in task._admission.stop():
        task._deliver(decision)


def _ignore() -> None:
    """Do nothing."""
