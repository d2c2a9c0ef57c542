"""HTTP API for callers: submit, read and cancel jobs, count a queue's jobs.

Each request is answered at once, from a configuration that was current a
moment before.  Where a queue requires a key, it gives access only to the jobs
of its workspace.  A job is accepted when its record is in the store, and
refused only if no write of its record can still take effect.
"""

from __future__ import annotations

from collections.abc import Callable
import http
import io
import math
import random
import re
from typing import Any

from rackvalve import clocks
from rackvalve import errors
from rackvalve.jobs import weights
from rackvalve import logs
from rackvalve.manager.api import calls
from rackvalve.manager.api import cancellation_leases
from rackvalve.manager.api import counts
from rackvalve.manager.api import forwarding
from rackvalve.manager.api import job_capacity
from rackvalve.manager.api import job_states
from rackvalve.manager.api import relaying
from rackvalve.manager.api import replies
from rackvalve.manager.api import revalidation
from rackvalve.manager.api import routing
from rackvalve.manager.api import submission
from rackvalve.manager.api import submission_rate
from rackvalve.manager import namespace_registry
from rackvalve.manager.peers import relay
from rackvalve.manager import timing
from rackvalve.manager import view as views
from rackvalve.platform import callers
from rackvalve.platform import store as stores
from rackvalve.scheduling import queues
from rackvalve import servers
from rackvalve.serving import limits
from rackvalve import telemetry as telemetries
from rackvalve.workspaces import credentials

# WWW-Authenticate challenge for a caller without a valid key (RFC 6750).
_CHALLENGE = 'Bearer realm="rackvalve"'
_JOB_IDENTITY = re.compile(r"[0-9a-fA-F]{16}")
# Logged part of a path, and of a method, in characters: callers choose their
# length.
_MAX_LOGGED_PATH = 200
_MAX_LOGGED_METHOD = 20
# Methods that have a label of their own in the metrics.
_METHODS = frozenset({"GET", "POST", "DELETE", "HEAD", "PUT", "PATCH"})
_OTHER_METHOD = "other"
_DEFAULT_KEEP_S = 120.0

Headers = list[tuple[str, str]]
StartResponse = Callable[[str, Headers], Any]


class JobApi:
    """WSGI application that answers callers.

    :param store: The store.
    :param view: The operator's documents as this process knows them.
    :param telemetry: Metrics of the answers.
    :param is_stopping: Returns whether this process is shutting down.
    :param get_job_bytes: Returns how much memory the jobs of any owner may
        take, in bytes.
    :param write_rate: Writes per second that the store takes.
    :param value_limit: Largest value that the store keeps, in bytes.
    :param keep: How long the states of jobs can be asked for, in seconds.
    :param registry: The directory of namespaces; without it the namespace of
        a queue is its name.
    :param forwarder: Relays requests to peers; ``None`` for none.
    """

    def __init__(
        self,
        store: stores.Store,
        view: views.View,
        telemetry: telemetries.Telemetry,
        *,
        is_stopping: Callable[[], bool],
        get_job_bytes: Callable[[], int] = (
            lambda: weights.share_memory(limits.DEFAULT_MEMORY)
        ),
        write_rate: float = math.inf,
        value_limit: int = stores.VALUE_BYTES,
        keep: float = _DEFAULT_KEEP_S,
        registry: namespace_registry.NamespaceRegistry | None = None,
        forwarder: forwarding.Forwarder | None = None,
    ) -> None:
        self._store = store
        self._view = view
        self._revalidator = revalidation.Revalidator(store, view)
        self._router = routing.Router(view)
        rate = submission_rate.SubmissionRate(
            write_rate * submission_rate.WRITES_SHARE
        )
        self._submitter = submission.Submitter(
            store,
            view,
            telemetry,
            job_capacity.JobCapacity(get_job_bytes),
            rate,
            is_stopping=is_stopping,
            value_limit=value_limit,
        )
        self._states = job_states.JobStates(
            store,
            cancellation_leases.CancellationLeases(
                store, keep + timing.KEEP_MARGIN_S
            ),
            rate,
        )
        self._counter = counts.Counter(store)
        self._telemetry = telemetry
        self._is_stopping = is_stopping
        self._registry = registry
        self._forwarder = forwarder
        self.active_requests = 0

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        """Answer one request (WSGI)."""
        self.active_requests += 1
        began = clocks.read_steady()
        try:
            reply = self._answer(self._make_call(environ, began))
        except errors.DocumentInvalidError as error:
            reply = _refuse_invalid(error)
        finally:
            self.active_requests -= 1
        self._record_answer(environ, reply, began)
        headers = self._make_headers(reply, environ)
        start_response(f"{reply.status.value} {reply.status.phrase}", headers)
        return [reply.body]

    def _record_answer(
        self, environ: dict[str, Any], reply: replies.Reply, began: float
    ) -> None:
        """Record an answer in the metrics, and log it if it has a reason."""
        method = environ["REQUEST_METHOD"]
        taken = clocks.read_steady() - began
        # A label is kept for as long as the process lives.
        label = method if method in _METHODS else _OTHER_METHOD
        self._telemetry.calls.labels(label, int(reply.status)).inc()
        self._telemetry.call_seconds.labels(label).observe(taken)
        if reply.reason:
            logs.write_event(
                "call.answered",
                method=method[:_MAX_LOGGED_METHOD],
                path=environ.get(servers.TARGET_KEY, "")[:_MAX_LOGGED_PATH],
                status=int(reply.status),
                reason=reply.reason,
                version=self._view.version,
                silence=round(self._view.silence(began), 3),
                age=round(self._view.age(began), 3),
                seconds=round(taken, 4),
            )

    def _make_headers(
        self, reply: replies.Reply, environ: dict[str, Any]
    ) -> Headers:
        headers = [("Content-Type", "application/json")]
        if reply.status in (
            http.HTTPStatus.TOO_MANY_REQUESTS,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            http.HTTPStatus.GATEWAY_TIMEOUT,
        ):
            seconds = reply.retry_after or self._choose_retry_after()
            if self._forwarder is not None:
                seconds = relaying.limit_retry_after(
                    seconds, calls.read_deadline(environ)
                )
            headers.append(("Retry-After", str(seconds)))
        if reply.status is http.HTTPStatus.UNAUTHORIZED:
            headers.append(("WWW-Authenticate", _CHALLENGE))
        if self._is_stopping():
            headers.append(("Connection", "close"))
        return headers

    def _choose_retry_after(self) -> int:
        """Return the value of Retry-After, in seconds."""
        now = clocks.read_steady()
        is_silent = self._view.silence(now) > timing.MAX_STORE_SILENCE_S
        if self._forwarder is not None:
            return relaying.choose_retry_after(
                random.random(),
                is_outage=is_silent or self._is_store_lost(now),
            )
        if is_silent:
            return timing.RETRY_AFTER_OUTAGE_S
        return timing.RETRY_AFTER_S

    def answer_relayed(self, request: relay.RelayedRequest) -> relay.Answered:
        """Answer a request that a peer relayed; it is not relayed again.

        :param request: The request.
        """
        self.active_requests += 1
        began = clocks.read_steady()
        environ = {
            "REQUEST_METHOD": request.method,
            "HTTP_HOST": request.host,
            "PATH_INFO": request.path,
            "CONTENT_LENGTH": str(len(request.body)),
            "wsgi.input": io.BytesIO(request.body),
            servers.ABANDON_KEY: lambda: None,
        }
        if request.key is not None:
            environ[callers.KEY_HEADER] = request.key
        call = calls.Call(
            environ,
            request.remaining,
            began,
            may_lose=relaying.choose_limit(request.remaining),
        )
        try:
            found = self._serve(call)
        except errors.DocumentInvalidError as error:
            found = _refuse_invalid(error)
        finally:
            self.active_requests -= 1
        reply = found
        if isinstance(reply, replies.Unserved):
            reply = replies.make_failure(reply)
        self._telemetry.relay_served.labels(int(reply.status)).inc()
        return relay.Answered(
            status=int(reply.status),
            body=reply.body,
            retry_after=reply.retry_after or self._choose_retry_after(),
            reason=reply.reason,
        )

    def _make_call(self, environ: dict[str, Any], began: float) -> calls.Call:
        budget = calls.read_time_limit(environ)
        return calls.Call(
            environ,
            budget,
            began,
            may_lose=(
                math.inf
                if self._forwarder is None
                else relaying.choose_limit(budget)
            ),
        )

    def _is_store_lost(self, now: float) -> bool:
        """Return whether requests are relayed without asking the store."""
        return self._forwarder is not None and self._forwarder.service.is_lost(
            now
        )

    def _answer(self, call: calls.Call) -> replies.Reply:
        found = self._serve(call)
        if isinstance(found, replies.Reply):
            return found
        if self._forwarder is None:
            return replies.make_failure(found)
        return self._forward(self._forwarder, call, found)

    def _forward(
        self,
        forwarder: forwarding.Forwarder,
        call: calls.Call,
        unserved: replies.Unserved,
    ) -> replies.Reply:
        """Have a peer answer a request that this process could not answer."""
        body: bytes | replies.Reply = b""
        if call.method == "POST":
            configuration = self._view.configuration
            body = call.read_body(
                configuration.body_limit
                if configuration is not None
                else timing.RELAY_BODY_BYTES
            )
        if isinstance(body, replies.Reply):
            # The limit may have been raised in the newest configuration.
            return replies.make_failure(unserved)
        request = relay.RelayedRequest(
            method=call.method,
            host=call.host,
            path=call.path,
            key=call.environ.get(callers.KEY_HEADER),
            body=body,
            remaining=0.0,
        )
        return forwarder.forward(request, unserved, call.wait.deadline)

    def _serve(self, call: calls.Call) -> replies.Reply | replies.Unserved:
        """Answer a request from this process's view and the store."""
        if self._view.configuration is None:
            return replies.Unserved(
                reason="no configuration has been read from the store yet"
            )
        if self._is_store_lost(clocks.read_steady()):
            return replies.Unserved(
                reason="the store does not serve this process"
            )
        shown = credentials.parse_header(call.environ.get(callers.KEY_HEADER))
        # A request may be allowed by a slightly old configuration, but refused
        # only by the newest: its queue or key may have just been added.
        known = self._router.find_match(call.host, call.path, shown).allowed
        since = call.began - (timing.MAX_VIEW_AGE_S if known else 0.0)
        if not self._revalidator.confirm(since, call.wait):
            return replies.Unserved(
                reason="the configuration could not be revalidated"
            )
        match = self._router.find_match(call.host, call.path, shown)
        if match.queue is None:
            return replies.Reply(
                status=http.HTTPStatus.NOT_FOUND, reason="no queue at this URL"
            )
        if not match.allowed:
            return self._challenge(shown)
        return self._answer_queue(match, call)

    def _challenge(
        self, shown: credentials.PresentedKey | credentials.UnusableKey
    ) -> replies.Reply:
        """Return the 401 answer to a request without a valid key."""
        reason = f"key unknown by version {self._view.version}"
        if isinstance(shown, credentials.UnusableKey):
            reason = shown.reason
        return replies.Reply(
            status=http.HTTPStatus.UNAUTHORIZED, reason=reason
        )

    def _answer_queue(
        self,
        match: routing.RouteMatch,
        call: calls.Call,
    ) -> replies.Reply | replies.Unserved:
        queue = match.queue
        assert queue is not None
        rest = call.path[len(queue.prefix) :].strip("/")
        if rest and not _JOB_IDENTITY.fullmatch(rest):
            return replies.reject("an identifier is 16 hexadecimal digits")
        namespaces = self._find_namespaces(queue, call)
        if not namespaces:
            return replies.Unserved(
                reason="the store does not tell where the queue's jobs are"
            )
        request = calls.Request(
            method=call.method,
            queue=queue,
            namespaces=namespaces,
            identity=rest,
            wait=call.wait,
            workspace=match.workspace.name if match.workspace else "",
        )
        if not request.identity:
            if request.method != "GET":
                return replies.Reply(
                    status=http.HTTPStatus.METHOD_NOT_ALLOWED,
                    reason="only GET is allowed on a queue",
                )
            return self._count(request)
        return self._answer_job(request, call)

    def _find_namespaces(
        self, queue: queues.Queue, call: calls.Call
    ) -> tuple[str, ...]:
        """Return a queue's namespaces; none if the store does not answer."""
        if self._registry is None:
            return (queue.name,)
        return self._registry.resolve(queue, call.wait)

    def _answer_job(
        self, request: calls.Request, call: calls.Call
    ) -> replies.Reply | replies.Unserved:
        if request.method == "POST":
            return self._submitter.submit(request, call)
        if request.method == "GET":
            return self._states.answer(request)
        if request.method == "DELETE":
            return self._states.cancel(request)
        return replies.Reply(
            status=http.HTTPStatus.METHOD_NOT_ALLOWED,
            reason="only POST, GET and DELETE are allowed on a job",
        )

    # -- counting ----------------------------------------------------------

    def _count(
        self, request: calls.Request
    ) -> replies.Reply | replies.Unserved:
        found = self._counter.count(
            request.namespaces,
            clocks.read_wall(),
            timeout=request.wait.choose_timeout(clocks.read_steady()),
        )
        if isinstance(found, stores.Unavailable):
            return replies.Unserved(
                reason=f"the store does not answer: {found.reason}"
            )
        source = "owner" if found.published else "records"
        self._telemetry.counts_told.labels(source).inc()
        logs.write_event(
            "count.told",
            queue=request.queue.name,
            waiting=found.waiting,
            age=round(found.age, 3),
            published=found.published,
        )
        return replies.Reply(
            status=http.HTTPStatus.OK,
            body=callers.encode_waiting(found.waiting),
        )


def _refuse_invalid(error: errors.DocumentInvalidError) -> replies.Reply:
    return replies.refuse(f"a stored record is invalid: {error.reason}")
