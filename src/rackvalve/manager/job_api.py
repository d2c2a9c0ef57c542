"""The callers' side: submit, ask for and cancel jobs, count a queue's.

Every answer is given at once, by a configuration that was the newest a moment
before.  Where a queue asks for a key, a caller gets at the jobs of the key's
workspace alone.  A job is accepted when its record is in the store; it is
refused only if no write of it can take effect any more.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import http
import re
from typing import Any

import gevent
import msgspec

from rackvalve import clocks
from rackvalve import errors
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve import logs
from rackvalve.manager import counts
from rackvalve.manager import revalidation
from rackvalve.manager import timing
from rackvalve.manager import view as views
from rackvalve.platform import callers
from rackvalve.platform import store as stores
from rackvalve.scheduling import queues
from rackvalve import servers
from rackvalve import telemetry as telemetries
from rackvalve.workspaces import account as accounts
from rackvalve.workspaces import credentials

# What a caller without a right is told to show (RFC 6750).
_CHALLENGE = 'Bearer realm="rackvalve"'
_IDENTITY = re.compile(r"[0-9a-fA-F]{16}")
# Most characters of a path in a log line: callers choose its length.
_PATH_SHOWN = 200
_STATES = {
    progress.Phase.QUEUED: callers.State.QUEUED,
    progress.Phase.RUNNING: callers.State.RUNNING,
    progress.Phase.COMPLETED: callers.State.COMPLETED,
    progress.Phase.FAILED: callers.State.FAILED,
    progress.Phase.CANCELLED: callers.State.CANCELLED,
}

Headers = list[tuple[str, str]]
StartResponse = Callable[[str, Headers], Any]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Reply:
    """What a caller is answered.

    :param status: HTTP status.
    :param body: Body in JSON.
    :param reason: Why, for logs; empty for the ordinary case.
    """

    status: http.HTTPStatus
    body: bytes = b"{}"
    reason: str = ""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Call:
    """One request.

    :param method: HTTP method.
    :param queue: The queue.
    :param identity: The job's identifier, empty for the whole queue.
    :param until: When it must be answered, in seconds.
    :param workspace: Name of the caller's workspace; empty for none.
    """

    method: str
    queue: queues.Queue
    identity: str
    until: float
    workspace: str = ""

    def may_see(self, workspace: str) -> bool:
        """Return whether the caller may get at a workspace's job.

        Jobs of no workspace were kept before the queue asked for keys.

        :param workspace: Whose the job is; empty for a job of no workspace.
        """
        if not self.queue.needs_key or not workspace:
            return True
        return workspace == self.workspace


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Match:
    """What a configuration says of a request's path and key.

    :param queue: The queue; ``None`` if there is none of this path.
    :param workspace: The workspace that the key belongs to, if any.
    """

    queue: queues.Queue | None
    workspace: accounts.Workspace | None

    @property
    def allowed(self) -> bool:
        """Whether the request may be served."""
        if self.queue is None:
            return False
        return not self.queue.needs_key or self.workspace is not None


class JobApi:
    """Answers callers.

    :param store: The store.
    :param view: The operator's orders.
    :param telemetry: Counts the answers.
    :param is_stopping: Whether this process is to end.
    """

    def __init__(
        self,
        store: stores.Store,
        view: views.View,
        telemetry: telemetries.Telemetry,
        *,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._store = store
        self._view = view
        self._revalidator = revalidation.Revalidator(store, view)
        self._counter = counts.Counter(store)
        self._telemetry = telemetry
        self._is_stopping = is_stopping
        self.active_requests = 0

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        """Answer one request (WSGI)."""
        self.active_requests += 1
        began = clocks.read_steady()
        try:
            reply = self._answer(environ, began)
        except errors.DocumentInvalidError as error:
            reply = _refuse(f"a record cannot be read: {error.reason}")
        finally:
            self.active_requests -= 1
        self._note_answer(environ, reply, began)
        headers = self._make_headers(reply)
        start_response(f"{reply.status.value} {reply.status.phrase}", headers)
        return [reply.body]

    def _note_answer(
        self, environ: dict[str, Any], reply: Reply, began: float
    ) -> None:
        """Count an answer; log it if it is not the ordinary one."""
        method = environ["REQUEST_METHOD"]
        taken = clocks.read_steady() - began
        self._telemetry.calls.labels(method, int(reply.status)).inc()
        self._telemetry.call_seconds.labels(method).observe(taken)
        if reply.reason:
            logs.write_event(
                "call.answered",
                method=method,
                path=environ.get(servers.TARGET_KEY, "")[:_PATH_SHOWN],
                status=int(reply.status),
                reason=reply.reason,
                version=_read_version(self._view),
                silence=round(self._view.silence(began), 3),
                seconds=round(taken, 4),
            )

    def _make_headers(self, reply: Reply) -> Headers:
        headers = [("Content-Type", "application/json")]
        if reply.status in (
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            http.HTTPStatus.GATEWAY_TIMEOUT,
        ):
            headers.append(("Retry-After", str(self._choose_retry())))
        if reply.status is http.HTTPStatus.UNAUTHORIZED:
            headers.append(("WWW-Authenticate", _CHALLENGE))
        if self._is_stopping():
            headers.append(("Connection", "close"))
        return headers

    def _choose_retry(self) -> int:
        """Return when a caller should come back, in seconds."""
        silence = self._view.silence(clocks.read_steady())
        if silence > timing.MAX_STORE_SILENCE_S:
            return timing.RETRY_AFTER_OUTAGE_S
        return timing.RETRY_AFTER_S

    def _answer(self, environ: dict[str, Any], now: float) -> Reply:
        if self._view.configuration is None:
            return _refuse("no configuration yet")
        host = environ.get("HTTP_HOST", "")
        path = environ.get("PATH_INFO", "")
        until = now + _read_budget(environ)
        shown = credentials.read(environ.get(callers.KEY_HEADER))
        # A right that is found may be a little old; that there is none must
        # be true now, since it may have been given a moment ago.
        known = self._find_match(host, path, shown).allowed
        since = now - timing.MAX_VIEW_AGE_S if known else now
        if not self._revalidator.confirm(since, until):
            return _refuse("the newest configuration is not known")
        match = self._find_match(host, path, shown)
        if match.queue is None:
            return Reply(
                status=http.HTTPStatus.NOT_FOUND, reason="no such queue"
            )
        if not match.allowed:
            return self._challenge(shown)
        return self._answer_path(match, path, environ, until)

    def _find_match(
        self,
        host: str,
        path: str,
        shown: credentials.Shown | credentials.Unusable,
    ) -> Match:
        configuration = self._view.configuration
        assert configuration is not None
        return Match(
            queue=self._find_queue(host, path),
            workspace=configuration.workspaces.find_by_key(shown),
        )

    def _challenge(
        self, shown: credentials.Shown | credentials.Unusable
    ) -> Reply:
        """Tell a caller that it has no right to call."""
        reason = f"key unknown by version {_read_version(self._view)}"
        if isinstance(shown, credentials.Unusable):
            reason = shown.reason
        return Reply(status=http.HTTPStatus.UNAUTHORIZED, reason=reason)

    def _find_queue(self, host: str, path: str) -> queues.Queue | None:
        configuration = self._view.configuration
        assert configuration is not None
        found = configuration.find_queue(host, path)
        if found is None and ":" in host:
            found = configuration.find_queue(host.rpartition(":")[0], path)
        return found

    def _answer_path(
        self,
        match: Match,
        path: str,
        environ: dict[str, Any],
        until: float,
    ) -> Reply:
        queue = match.queue
        assert queue is not None
        rest = path[len(queue.prefix) :].strip("/")
        if rest and not _IDENTITY.fullmatch(rest):
            return _reject("an identifier is 16 hexadecimal digits")
        call = Call(
            method=environ["REQUEST_METHOD"],
            queue=queue,
            identity=rest,
            until=until,
            workspace=match.workspace.name if match.workspace else "",
        )
        if not call.identity:
            if call.method != "GET":
                return Reply(
                    status=http.HTTPStatus.METHOD_NOT_ALLOWED,
                    reason="a queue can only be counted",
                )
            return self._count(call)
        return self._answer_job(call, environ)

    def _answer_job(self, call: Call, environ: dict[str, Any]) -> Reply:
        if call.method == "POST":
            return self._submit(call, environ)
        if call.method == "GET":
            return self._tell_state(call)
        if call.method == "DELETE":
            return self._cancel(call)
        return Reply(
            status=http.HTTPStatus.METHOD_NOT_ALLOWED, reason="unknown method"
        )

    # -- submitting --------------------------------------------------------

    def _submit(self, call: Call, environ: dict[str, Any]) -> Reply:
        configuration = self._view.configuration
        assert configuration is not None
        body = _read_body(environ, configuration.body_limit)
        if isinstance(body, Reply):
            return body
        try:
            job = callers.read_job(body)
        except errors.DocumentInvalidError as error:
            return _reject(error.reason)
        if self._is_stopping():
            return _refuse("this process is to end")
        silence = self._view.silence(clocks.read_steady())
        if silence > timing.MAX_STORE_SILENCE_S:
            # Without a write there is nothing that could take effect late.
            return _refuse("the store does not answer this process")
        return self._accept(call, job)

    def _accept(self, call: Call, job: definition.Job) -> Reply:
        key = records.write_key(
            call.queue.name, call.identity, records.Part.DEFINITION
        )
        payload = records.write_definition(
            job, clocks.read_wall(), call.workspace
        )
        uncertain = False
        reason = ""
        while clocks.read_steady() < call.until:
            outcome = self._store.commit(
                [stores.Condition(key=key, revision=0)],
                [stores.Put(key=key, payload=payload)],
            )
            if isinstance(outcome, stores.Committed):
                return self._accepted(call, outcome.revision)
            if isinstance(outcome, stores.Conflict):
                found = outcome.items.get(key)
                if found is None:
                    continue
                if not call.may_see(records.read_workspace(found.payload)):
                    return _forbid()
                return self._accepted(call, found.revision)
            if isinstance(outcome, stores.Unknown):
                uncertain = True
            reason = getattr(outcome, "reason", "lease over")
            gevent.sleep(timing.STORE_RETRY_DELAY_S)
        if uncertain:
            return Reply(
                status=http.HTTPStatus.GATEWAY_TIMEOUT,
                reason=f"it is not known whether the job was kept: {reason}",
            )
        return _refuse(f"the job was not kept: {reason}")

    def _accepted(self, call: Call, revision: int) -> Reply:
        logs.write_event(
            "job.accepted",
            job=call.identity,
            queue=call.queue.name,
            workspace=call.workspace,
            revision=revision,
            version=_read_version(self._view),
        )
        return Reply(status=http.HTTPStatus.OK)

    # -- asking and cancelling ---------------------------------------------

    def _tell_state(self, call: Call) -> Reply:
        phase = self._read_phase(call)
        if isinstance(phase, Reply):
            return phase
        return Reply(
            status=http.HTTPStatus.OK,
            body=callers.write_state(_STATES[phase]),
        )

    def _read_phase(self, call: Call) -> progress.Phase | Reply:
        """Read where a job is; a reply if it is not there or not known."""
        found = self._read(call, records.Part.PROGRESS)
        if isinstance(found, stores.Item):
            summary = records.read_summary(found.payload)
            if not call.may_see(summary.workspace):
                return _forbid()
            return summary.phase
        if isinstance(found, stores.Missing):
            found = self._read(call, records.Part.DEFINITION)
        if isinstance(found, stores.Item):
            if not call.may_see(records.read_workspace(found.payload)):
                return _forbid()
            return progress.Phase.QUEUED
        if isinstance(found, stores.Missing):
            return Reply(status=http.HTTPStatus.GONE, reason="no such job")
        return _refuse(f"the store does not answer: {found.reason}")

    def _read(
        self, call: Call, part: records.Part
    ) -> stores.Item | stores.Missing | stores.Unavailable:
        key = records.write_key(call.queue.name, call.identity, part)
        while True:
            found = self._store.read(key)
            if not isinstance(found, stores.Unavailable):
                return found
            if clocks.read_steady() >= call.until:
                return found
            gevent.sleep(timing.STORE_RETRY_DELAY_S)

    def _cancel(self, call: Call) -> Reply:
        phase = self._read_phase(call)
        if isinstance(phase, Reply):
            return phase
        if phase in progress.FINAL:
            return Reply(status=http.HTTPStatus.OK)
        return self._record_cancel(call)

    def _record_cancel(self, call: Call) -> Reply:
        key = records.write_key(
            call.queue.name, call.identity, records.Part.CANCEL
        )
        reason = ""
        while clocks.read_steady() < call.until:
            outcome = self._store.commit(
                [stores.Condition(key=key, revision=0)],
                [stores.Put(key=key, payload=b"{}")],
            )
            if isinstance(outcome, (stores.Committed, stores.Conflict)):
                logs.write_event(
                    "job.cancel_recorded",
                    job=call.identity,
                    outcome=type(outcome).__name__,
                )
                return Reply(status=http.HTTPStatus.OK)
            reason = getattr(outcome, "reason", "lease over")
            gevent.sleep(timing.STORE_RETRY_DELAY_S)
        return Reply(
            status=http.HTTPStatus.GATEWAY_TIMEOUT,
            reason=f"the cancelling is not recorded: {reason}",
        )

    # -- counting ----------------------------------------------------------

    def _count(self, call: Call) -> Reply:
        found = self._counter.count(call.queue.name, clocks.read_wall())
        if isinstance(found, stores.Unavailable):
            return _refuse(f"the store does not answer: {found.reason}")
        source = "owner" if found.published else "records"
        self._telemetry.counts_told.labels(source).inc()
        logs.write_event(
            "count.told",
            queue=call.queue.name,
            waiting=found.waiting,
            age=round(found.age, 3),
            published=found.published,
        )
        return Reply(
            status=http.HTTPStatus.OK,
            body=callers.write_waiting(found.waiting),
        )


def _read_budget(environ: dict[str, Any]) -> float:
    """Return how long a request may take, in seconds."""
    text = environ.get(callers.DEADLINE_HEADER, "")
    if not (text.isascii() and text.isdigit()) or len(text) > 9:
        return timing.REQUEST_BUDGET_S
    wanted = int(text) / 1000 * timing.DEADLINE_SHARE
    return min(timing.REQUEST_BUDGET_S, wanted)


def _read_body(environ: dict[str, Any], limit: int) -> bytes | Reply:
    length = environ.get("CONTENT_LENGTH") or ""
    if length and not (length.isascii() and length.isdigit()):
        return _reject("Content-Length is no number")
    if length and int(length) > limit:
        return _abandon_body(environ, limit)
    body: bytes = environ["wsgi.input"].read(limit + 1)
    if len(body) > limit:
        return _abandon_body(environ, limit)
    return body


def _abandon_body(environ: dict[str, Any], limit: int) -> Reply:
    environ[servers.ABANDON_KEY]()
    return Reply(
        status=http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        reason=f"the body has more than {limit} bytes",
    )


def _refuse(reason: str) -> Reply:
    return Reply(status=http.HTTPStatus.SERVICE_UNAVAILABLE, reason=reason)


def _forbid() -> Reply:
    return Reply(
        status=http.HTTPStatus.FORBIDDEN,
        reason="the job belongs to another workspace",
    )


def _reject(reason: str) -> Reply:
    return Reply(
        status=http.HTTPStatus.BAD_REQUEST,
        body=msgspec.json.encode({"error": reason}),
        reason=reason,
    )


def _read_version(view: views.View) -> int:
    configuration = view.configuration
    return configuration.version if configuration is not None else 0
