"""Reading the states of jobs, and cancelling jobs."""

from __future__ import annotations

import dataclasses
import http

import gevent

from rackvalve import clocks
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve import logs
from rackvalve.manager.api import calls
from rackvalve.manager.api import cancellation_leases
from rackvalve.manager.api import replies
from rackvalve.manager.api import submission_rate
from rackvalve.manager import timing
from rackvalve.platform import callers
from rackvalve.platform import store as stores

_STATES = {
    progress.Phase.QUEUED: callers.State.QUEUED,
    progress.Phase.RUNNING: callers.State.RUNNING,
    progress.Phase.COMPLETED: callers.State.COMPLETED,
    progress.Phase.FAILED: callers.State.FAILED,
    progress.Phase.CANCELLED: callers.State.CANCELLED,
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Stored:
    """What is stored of a job.

    :param namespace: Namespace of its records.
    :param phase: Its phase.
    """

    namespace: str
    phase: progress.Phase


class JobStates:
    """Reads jobs' states from the store, and records cancellations there.

    :param store: The store.
    :param leases: Leases of the cancellations of jobs that are not stored.
    :param rate: Limits the writes for jobs that are not stored.
    """

    __slots__ = ("_store", "_leases", "_rate")

    def __init__(
        self,
        store: stores.Store,
        leases: cancellation_leases.CancellationLeases,
        rate: submission_rate.SubmissionRate,
    ) -> None:
        self._store = store
        self._leases = leases
        self._rate = rate

    def answer(
        self, request: calls.Request
    ) -> replies.Reply | replies.Unserved:
        """Answer with a job's state.

        :param request: The request.
        """
        stored = self._find(request)
        if isinstance(stored, stores.Missing):
            return _deny()
        if not isinstance(stored, _Stored):
            return stored
        return replies.Reply(
            status=http.HTTPStatus.OK,
            body=callers.encode_state(_STATES[stored.phase]),
        )

    def _find(
        self, request: calls.Request
    ) -> _Stored | stores.Missing | replies.Reply | replies.Unserved:
        """Find a job in its namespaces; return an error reply on failure."""
        found: _Stored | stores.Missing | replies.Reply | replies.Unserved
        found = stores.Missing()
        for namespace in request.namespaces:
            found = self._find_in(request, namespace)
            if not isinstance(found, stores.Missing):
                break
        return found

    def _find_in(
        self, request: calls.Request, namespace: str
    ) -> _Stored | stores.Missing | replies.Reply | replies.Unserved:
        """Find a job in a namespace; return an error reply on failure."""
        found = self._read(request, namespace, records.Part.PROGRESS)
        if isinstance(found, stores.Item):
            summary = records.decode_summary(found.payload)
            if not request.may_see(summary.workspace):
                return replies.forbid()
            return _Stored(namespace=namespace, phase=summary.phase)
        if isinstance(found, stores.Missing):
            found = self._read(request, namespace, records.Part.DEFINITION)
        if isinstance(found, stores.Item):
            if not request.may_see(records.parse_workspace(found.payload)):
                return replies.forbid()
            return _Stored(namespace=namespace, phase=progress.Phase.QUEUED)
        if isinstance(found, stores.Missing):
            return found
        return replies.Unserved(
            reason=f"the store does not answer: {found.reason}"
        )

    def _read(
        self, request: calls.Request, namespace: str, part: records.Part
    ) -> stores.Item | stores.Missing | stores.Unavailable:
        key = records.format_key(namespace, request.identity, part)
        while True:
            began = clocks.read_steady()
            found = self._store.read(
                key, timeout=request.wait.choose_timeout(began)
            )
            if not isinstance(found, stores.Unavailable):
                request.wait.note_answer()
                return found
            request.wait.note_failure(began)
            if request.wait.is_over(clocks.read_steady()):
                return found
            gevent.sleep(timing.STORE_RETRY_DELAY_S)

    def cancel(
        self, request: calls.Request
    ) -> replies.Reply | replies.Unserved:
        """Record the cancellation of a job, unless it has ended.

        :param request: The request.
        """
        stored = self._find(request)
        if isinstance(stored, stores.Missing):
            return self._cancel_missing(request)
        if not isinstance(stored, _Stored):
            return stored
        if stored.phase in progress.FINAL:
            return replies.Reply(status=http.HTTPStatus.OK)
        return self._record_cancel(request, stored.namespace)

    def _record_cancel(
        self, request: calls.Request, namespace: str
    ) -> replies.Reply | replies.Unserved:
        """Record the cancellation of a job that is stored in a namespace."""
        key = records.format_key(
            namespace, request.identity, records.Part.CANCEL
        )
        reason = ""
        while not request.wait.is_over(began := clocks.read_steady()):
            outcome = self._store.commit(
                [stores.Condition(key=key, revision=0)],
                [stores.Put(key=key, payload=records.encode_cancellation())],
                timeout=request.wait.choose_timeout(began),
            )
            if isinstance(outcome, (stores.Committed, stores.Conflict)):
                _log_recorded(request, outcome, is_stored=True)
                return replies.Reply(status=http.HTTPStatus.OK)
            request.wait.note_failure(began)
            reason = getattr(outcome, "reason", "lease over")
            gevent.sleep(timing.STORE_RETRY_DELAY_S)
        return _give_up(reason)

    def _cancel_missing(
        self, request: calls.Request
    ) -> replies.Reply | replies.Unserved:
        """Record the cancellation of a job that is not stored.

        Its submission may be on its way at another manager, or in a write that
        the store makes later; the record keeps it from being stored.
        """
        refusal = self._limit_missing(clocks.read_steady())
        if refusal is not None:
            return refusal
        definitions = dict(
            zip(
                request.list_keys(records.Part.DEFINITION),
                request.namespaces,
                strict=True,
            )
        )
        key = request.list_keys(records.Part.CANCEL)[0]
        # Revision of an earlier cancellation, whose lease may end sooner.
        earlier = 0
        reason = ""
        while not request.wait.is_over(began := clocks.read_steady()):
            outcome = self._write_leased(
                request,
                [
                    *(
                        stores.Condition(key=one, revision=0)
                        for one in definitions
                    ),
                    stores.Condition(key=key, revision=earlier),
                ],
                began,
            )
            if isinstance(outcome, stores.Committed):
                _log_recorded(request, outcome, is_stored=False)
                return _deny()
            if isinstance(outcome, stores.Conflict):
                request.wait.note_answer()
                for one, namespace in definitions.items():
                    if one in outcome.items:
                        return self._cancel_stored(
                            request, namespace, outcome.items[one]
                        )
                found = outcome.items.get(key)
                earlier = found.revision if found is not None else 0
                continue
            request.wait.note_failure(began)
            reason = getattr(outcome, "reason", "lease over")
            gevent.sleep(timing.STORE_RETRY_DELAY_S)
        return _give_up(reason)

    def _limit_missing(self, now: float) -> replies.Reply | None:
        """Return the refusal of a cancellation that would be one too many.

        Half of the rate of writes is left to submissions.
        """
        if not self._rate.take(now, is_ahead=True):
            return replies.Reply(
                status=http.HTTPStatus.TOO_MANY_REQUESTS,
                reason="more is written for jobs here than the store takes",
            )
        if not self._leases.take(now):
            return replies.Reply(
                status=http.HTTPStatus.TOO_MANY_REQUESTS,
                reason="too many unknown jobs were cancelled here lately",
                retry_after=self._leases.find_wait(now),
            )
        return None

    def _cancel_stored(
        self, request: calls.Request, namespace: str, stored: stores.Item
    ) -> replies.Reply | replies.Unserved:
        """Cancel a job whose definition has just been stored."""
        if not request.may_see(records.parse_workspace(stored.payload)):
            return replies.forbid()
        return self._record_cancel(request, namespace)

    def _write_leased(
        self,
        request: calls.Request,
        conditions: list[stores.Condition],
        now: float,
    ) -> (
        stores.Committed
        | stores.Conflict
        | stores.LeaseOver
        | stores.Refused
        | stores.Unavailable
        | stores.Unknown
    ):
        """Write a cancellation that ends with a lease of this process."""
        lease = self._leases.find_lease()
        if isinstance(lease, stores.Unavailable):
            return lease
        outcome = self._store.commit(
            conditions,
            [
                stores.Put(
                    key=request.list_keys(records.Part.CANCEL)[0],
                    payload=records.encode_cancellation(request.workspace),
                    lease=lease.identity,
                )
            ],
            timeout=request.wait.choose_timeout(now),
        )
        if isinstance(outcome, stores.LeaseOver):
            self._leases.forget(lease)
        return outcome


def _log_recorded(
    request: calls.Request,
    outcome: stores.Committed | stores.Conflict,
    *,
    is_stored: bool,
) -> None:
    logs.write_event(
        "job.cancel_recorded",
        job=request.identity,
        outcome=type(outcome).__name__,
        stored=is_stored,
    )


def _deny() -> replies.Reply:
    return replies.Reply(status=http.HTTPStatus.GONE, reason="no such job")


def _give_up(reason: str) -> replies.Unserved:
    return replies.Unserved(
        reason=f"the cancellation was not recorded: {reason}",
        uncertain=True,
    )
