"""Submission of jobs to the store."""

from __future__ import annotations

from collections.abc import Callable
import http

import gevent
from gevent import lock

from rackvalve import clocks
from rackvalve import errors
from rackvalve.jobs import definition
from rackvalve.jobs import records
from rackvalve.jobs import weights
from rackvalve import logs
from rackvalve.manager.api import calls
from rackvalve.manager.api import counts
from rackvalve.manager.api import job_capacity
from rackvalve.manager.api import replies
from rackvalve.manager.api import submission_rate
from rackvalve.manager import timing
from rackvalve.manager import view as views
from rackvalve.platform import callers
from rackvalve.platform import store as stores
from rackvalve.serving import limits
from rackvalve import telemetry as telemetries


class Submitter:
    """Stores the jobs that callers submit.

    :param store: The store.
    :param view: The operator's documents as this process knows them.
    :param telemetry: Metrics of refused jobs.
    :param capacity: What is known of the owner's memory.
    :param rate: Limits the writes of jobs.
    :param is_stopping: Returns whether this process is shutting down.
    :param value_limit: Largest value that the store keeps, in bytes.
    """

    __slots__ = (
        "_store",
        "_view",
        "_telemetry",
        "_capacity",
        "_rate",
        "_is_stopping",
        "_value_limit",
        "_decode_turn",
        "_load_turn",
    )

    def __init__(
        self,
        store: stores.Store,
        view: views.View,
        telemetry: telemetries.Telemetry,
        capacity: job_capacity.JobCapacity,
        rate: submission_rate.SubmissionRate,
        *,
        is_stopping: Callable[[], bool],
        value_limit: int = stores.VALUE_BYTES,
    ) -> None:
        self._store = store
        self._view = view
        self._telemetry = telemetry
        self._capacity = capacity
        self._rate = rate
        self._is_stopping = is_stopping
        self._value_limit = value_limit
        # One greenlet at a time reads what the owner holds.
        self._load_turn = lock.BoundedSemaphore()
        # Long bodies are decoded one after the other, and other greenlets run
        # in between.
        self._decode_turn = lock.BoundedSemaphore()

    def submit(
        self, request: calls.Request, call: calls.Call
    ) -> replies.Reply | replies.Unserved:
        """Store the job of a request's body, and answer.

        :param request: The request.
        :param call: The HTTP request.
        """
        configuration = self._view.configuration
        assert configuration is not None
        body = call.read_body(configuration.body_limit)
        if isinstance(body, replies.Reply):
            return body
        try:
            job = self._read_job(body)
        except errors.DocumentInvalidError as error:
            return replies.reject(error.reason)
        if self._is_stopping():
            return replies.refuse("this process is shutting down")
        silence = self._view.silence(clocks.read_steady())
        if silence > timing.MAX_STORE_SILENCE_S:
            # No write is sent, so none can take effect after the refusal.
            return replies.Unserved(
                reason="the store does not answer this process"
            )
        return self._store_job(request, job, is_ahead=call.is_ahead)

    def _read_job(self, body: bytes) -> definition.Job:
        if len(body) <= limits.FREE_BODY_BYTES:
            return callers.read_job(body)
        with self._decode_turn:
            gevent.sleep(0)
            return callers.read_job(body)

    def _store_job(
        self, request: calls.Request, job: definition.Job, *, is_ahead: bool
    ) -> replies.Reply | replies.Unserved:
        payload = records.encode_definition(
            job, clocks.read_wall(), request.workspace
        )
        if len(payload) > self._value_limit:
            return replies.Reply(
                status=http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                reason=f"the job's definition has {len(payload)} bytes, and "
                f"the store keeps {self._value_limit}; submit several jobs",
            )
        refusal = self._limit(
            request, weights.weigh(job, len(payload)), is_ahead=is_ahead
        )
        if refusal is not None:
            return self._refuse_new(request, refusal)
        return self._write_definition(request, payload)

    def _write_definition(
        self, request: calls.Request, payload: bytes
    ) -> replies.Reply | replies.Unserved:
        """Write a job's definition where neither it nor its cancel is stored.

        A job that was cancelled before is stored with its cancellation, which
        then lasts as long as the job's other records.
        """
        keys = request.list_keys(records.Part.DEFINITION)
        # Revisions of the cancellations that are stored; 0 for none.
        cancels = dict.fromkeys(request.list_keys(records.Part.CANCEL), 0)
        cancel_key = next(iter(cancels))
        uncertain = False
        refusals = 0
        reason = ""
        while not request.wait.is_over(began := clocks.read_steady()):
            puts = [stores.Put(key=keys[0], payload=payload)]
            if any(cancels.values()):
                cancel = records.encode_cancellation()
                puts.append(stores.Put(key=cancel_key, payload=cancel))
            outcome = self._store.commit(
                [
                    stores.Condition(key=key, revision=revision)
                    for key, revision in [
                        *dict.fromkeys(keys, 0).items(),
                        *cancels.items(),
                    ]
                ],
                puts,
                timeout=request.wait.choose_timeout(began),
            )
            if isinstance(outcome, stores.Committed):
                return self._confirm_accepted(request, outcome.revision)
            if isinstance(outcome, stores.Conflict):
                found = outcome.items
                if not _may_see_all(request, found):
                    return replies.forbid()
                for key in keys:
                    if key in found:
                        return self._confirm_accepted(
                            request, found[key].revision
                        )
                for key in cancels:
                    cancels[key] = found[key].revision if key in found else 0
                request.wait.note_answer()
                continue
            if isinstance(outcome, stores.Unknown):
                uncertain = True
            if isinstance(outcome, stores.Refused):
                refusals += 1
                if refusals >= timing.MAX_REFUSALS and not uncertain:
                    return _refuse_definition(keys[0], len(payload))
            request.wait.note_failure(began)
            reason = getattr(outcome, "reason", "lease over")
            gevent.sleep(timing.STORE_RETRY_DELAY_S)
        if uncertain:
            return replies.Unserved(
                reason=f"unknown whether the job was stored: {reason}",
                uncertain=True,
            )
        return replies.Unserved(reason=f"the job was not stored: {reason}")

    def _limit(
        self, request: calls.Request, weight: int, *, is_ahead: bool
    ) -> replies.Reply | None:
        """Return the refusal of a job that is too much; ``None`` if it is not.

        :param request: The request.
        :param weight: Weight of the job, in bytes.
        :param is_ahead: Whether its caller did not wait for an earlier answer.
        """
        configuration = self._view.configuration
        assert configuration is not None
        self._update_load(request, weight)
        excess = self._capacity.find_excess(
            request.namespace, weight, len(configuration.queues)
        )
        if excess:
            self._telemetry.jobs_refused.labels("memory").inc()
            return replies.refuse(excess)
        if not self._rate.take(clocks.read_steady(), is_ahead=is_ahead):
            self._telemetry.jobs_refused.labels("rate").inc()
            return replies.Reply(
                status=http.HTTPStatus.TOO_MANY_REQUESTS,
                reason="more jobs are submitted here than the store takes",
            )
        self._capacity.note_accepted(request.namespace, weight)
        return None

    def _update_load(self, request: calls.Request, weight: int) -> None:
        """Read what the owner holds, if that may decide on a job."""
        if not self._capacity.needs_load(weight, clocks.read_steady()):
            return
        with self._load_turn:
            now = clocks.read_steady()
            if not self._capacity.needs_load(weight, now):
                return
            found = self._store.read(
                counts.WAITING_KEY, timeout=request.wait.choose_timeout(now)
            )
            load = None
            if isinstance(found, stores.Item):
                load = counts.read_load(found.payload)
            if load is None:
                self._capacity.note_unknown(clocks.read_steady())
            else:
                self._capacity.note_load(load, clocks.read_steady())

    def _refuse_new(
        self, request: calls.Request, refusal: replies.Reply
    ) -> replies.Reply | replies.Unserved:
        """Refuse a job, unless it was accepted at an earlier attempt.

        :param request: The request.
        :param refusal: The refusal.
        """
        for key in request.list_keys(records.Part.DEFINITION):
            found = self._store.read(
                key, timeout=request.wait.choose_timeout(clocks.read_steady())
            )
            if isinstance(found, stores.Item):
                if not _may_see_all(request, {key: found}):
                    return replies.forbid()
                return self._confirm_accepted(request, found.revision)
        return refusal

    def _confirm_accepted(
        self, request: calls.Request, revision: int
    ) -> replies.Reply:
        logs.write_event(
            "job.accepted",
            job=request.identity,
            queue=request.queue.name,
            workspace=request.workspace,
            revision=revision,
            version=self._view.version,
        )
        return replies.Reply(status=http.HTTPStatus.OK)


def _refuse_definition(key: str, size: int) -> replies.Reply:
    """Refuse a job whose definition the store refuses for its content."""
    logs.write_warning("record.refused", key=key, size=size)
    return replies.Reply(
        status=http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        reason=f"the store refuses the job's definition of {size} bytes; "
        "submit several jobs",
    )


def _may_see_all(
    request: calls.Request, items: dict[str, stores.Item]
) -> bool:
    """Return whether the caller may access the jobs of records."""
    return all(
        request.may_see(records.parse_workspace(item.payload))
        for item in items.values()
    )
