"""WSGI application that serves callers' requests."""

from __future__ import annotations

import itertools
import math
from typing import Any
from typing import TYPE_CHECKING

import uuid_utils

from rackvalve.entry import runner as runners
from rackvalve.entry import sender as senders
from rackvalve import outcomes
from rackvalve.requests import job as jobs
from rackvalve import servers
from rackvalve.targets import group

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping
    from rackvalve.entry import bodies

READY_PATH = "/-/ready"
RETRY_AFTER_HEADER = "Retry-After"
RETRY_AFTER_MS_HEADER = "Rackvalve-Retry-After-Ms"

_HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "host",
    )
)
_REPLACED_HEADERS = frozenset(
    (
        outcomes.OUTCOME_HEADER.lower(),
        outcomes.REASON_HEADER.lower(),
        jobs.REQUEST_ID_HEADER.lower(),
        "content-length",
        "date",
    )
)

Headers = list[tuple[str, str]]
StartResponse = Any


class App:
    """Parses requests, runs them and writes their outcomes.

    :param runner: Runs requests.
    :param body_store: Reads the bodies.
    :param header_limit: Maximum length of the value of one of the system's
        own headers, in characters.
    :param steady_clock: Reads the steady clock, in seconds.
    :param wall_clock: Reads the wall clock, in seconds.
    """

    def __init__(
        self,
        *,
        runner: runners.Runner,
        body_store: bodies.Bodies,
        header_limit: int,
        steady_clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._runner = runner
        self._bodies = body_store
        self._header_limit = header_limit
        self._steady_clock = steady_clock
        self._wall_clock = wall_clock
        self._numbers = itertools.count(1)
        self.in_flight = 0
        self.stopping = False

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request; see PEP 3333."""
        path = environ[servers.TARGET_KEY]
        if path == READY_PATH:
            return self._answer_ready(start_response)
        self.in_flight += 1
        streamed = False
        try:
            body = self._answer(environ, path, start_response)
            streamed = isinstance(body, _Stream)
            return body
        finally:
            if not streamed:
                self.in_flight -= 1

    def _answer(
        self, environ: dict[str, Any], path: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        method = environ["REQUEST_METHOD"]
        job = jobs.read_job(
            environ,
            method,
            str(uuid_utils.uuid7()),
            number=next(self._numbers),
            header_limit=self._header_limit,
            now=self._steady_clock(),
        )
        if isinstance(job, outcomes.Refused):
            environ[servers.ABANDON_KEY]()
            return self._write_outcome(start_response, job, "")
        if not path.startswith("/") or path.startswith("//"):
            refused = outcomes.Refused(
                reason=outcomes.Reason.FIELD_MALFORMED,
                detail="path: not one that starts with a single slash",
            )
            environ[servers.ABANDON_KEY]()
            return self._write_outcome(start_response, refused, job.request_id)
        reserved = self._bodies.reserve(environ)
        if isinstance(reserved, outcomes.Refused):
            environ[servers.ABANDON_KEY]()
            return self._write_outcome(
                start_response, reserved, job.request_id
            )
        try:
            body = self._bodies.read(environ)
            if isinstance(body, outcomes.Refused):
                environ[servers.ABANDON_KEY]()
                return self._write_outcome(
                    start_response, body, job.request_id
                )
            request = senders.Request(
                method=method,
                path=path,
                headers=_read_headers(environ, job),
                body=body,
            )
            outcome = self._runner.run(
                job, request, environ[servers.SOCKET_KEY], self._wall_clock()
            )
        finally:
            self._bodies.release(reserved)
        if isinstance(outcome, runners.Served):
            return self._write_served(start_response, outcome, job, method)
        return self._write_outcome(start_response, outcome, job.request_id)

    def _answer_ready(self, start_response: StartResponse) -> list[bytes]:
        status = "503 Service Unavailable" if self.stopping else "200 OK"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    def _write_outcome(
        self,
        start_response: StartResponse,
        outcome: outcomes.Refused | outcomes.Unknown,
        request_id: str,
    ) -> list[bytes]:
        word = "unknown"
        headers: Headers = []
        if isinstance(outcome, outcomes.Refused):
            word = "refused"
            if outcome.retry_after is not None:
                whole = max(1, math.ceil(outcome.retry_after))
                milliseconds = math.ceil(outcome.retry_after * 1000)
                headers.append((RETRY_AFTER_HEADER, str(whole)))
                headers.append((RETRY_AFTER_MS_HEADER, str(milliseconds)))
        text = f"{word}: {outcome.reason.value}: {outcome.detail}\n"
        body = text.encode("utf-8")
        headers.append((outcomes.OUTCOME_HEADER, word))
        headers.append((outcomes.REASON_HEADER, outcome.reason.value))
        headers.append(("Content-Type", "text/plain; charset=utf-8"))
        headers.append(("Content-Length", str(len(body))))
        if request_id:
            headers.append((jobs.REQUEST_ID_HEADER, request_id))
        self._add_connection(headers)
        start_response(outcomes.STATUSES[outcome.reason], headers)
        return [body]

    def _write_served(
        self,
        start_response: StartResponse,
        served: runners.Served,
        job: jobs.Job,
        method: str,
    ) -> Iterable[bytes]:
        answer = served.answer
        headers = _filter_headers(answer.headers)
        headers.append((outcomes.OUTCOME_HEADER, "served"))
        headers.append((jobs.REQUEST_ID_HEADER, job.request_id))
        self._add_connection(headers)
        status = f"{answer.status} {answer.phrase}"
        bodiless = method == "HEAD" or answer.status in (204, 304)
        if answer.whole:
            if not bodiless:
                headers.append(("Content-Length", str(len(answer.body))))
            start_response(status, headers)
            return [answer.body]
        length = _find_header(answer.headers, "content-length")
        if length:
            headers.append(("Content-Length", length))
        start_response(status, headers)
        left = max(job.deadline - self._steady_clock(), 0.0)
        return _Stream(self, self._runner, served, left)

    def _add_connection(self, headers: Headers) -> None:
        if self.stopping:
            headers.append(("Connection", "close"))


class _Stream:
    """Body of an answer that is streamed to the caller.

    If the answer is truncated, the exception closes the caller's connection
    before the framing is complete, so that the caller notices.
    """

    def __init__(
        self,
        app: App,
        runner: runners.Runner,
        served: runners.Served,
        timeout: float,
    ) -> None:
        self._app = app
        self._runner = runner
        self._served = served
        self._timeout = timeout
        self._result = group.Result.ABANDONED

    def __iter__(self) -> Iterator[bytes]:
        yield self._served.answer.body
        try:
            yield from self._served.exchange.stream(self._timeout)
        except OSError:
            self._result = group.Result.FAILED
            raise
        self._result = group.Result.GOOD

    def close(self) -> None:
        """Release the slot; the server calls this in every case."""
        self._app.in_flight -= 1
        self._runner.end_stream(self._served, self._result)


def _read_headers(environ: Mapping[str, Any], job: jobs.Job) -> dict[str, str]:
    dropped = _HOP_BY_HOP_HEADERS
    connection = environ.get("HTTP_CONNECTION")
    if connection:
        named = (word.strip().lower() for word in connection.split(","))
        dropped = _HOP_BY_HOP_HEADERS.union(named)
    headers = {}
    for name, value in environ.items():
        if not name.startswith("HTTP_"):
            continue
        header = name[5:].replace("_", "-").title()
        if header.lower() not in dropped:
            headers[header] = value
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    headers[jobs.REQUEST_ID_HEADER] = job.request_id
    return headers


def _filter_headers(headers: Headers) -> Headers:
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
        and name.lower() not in _REPLACED_HEADERS
    ]


def _find_header(headers: Headers, wanted: str) -> str:
    for name, value in headers:
        if name.lower() == wanted:
            return value
    return ""
