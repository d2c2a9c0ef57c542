"""Callers' requests to the job API, and what is read from their headers."""

from __future__ import annotations

import dataclasses
import http
from typing import Any

from rackvalve import clocks
from rackvalve.jobs import records
from rackvalve.manager.api import relaying
from rackvalve.manager.api import replies
from rackvalve.manager import timing
from rackvalve.platform import callers
from rackvalve.scheduling import queues
from rackvalve import servers
from rackvalve.serving import errors


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Request:
    """One caller's request.

    :param method: HTTP method.
    :param queue: The queue.
    :param namespaces: Namespaces that may hold the queue's jobs, of which the
        first takes new ones.
    :param identity: The job's identifier, empty for the whole queue.
    :param wait: How long the request waits for the store.
    :param workspace: Name of the caller's workspace; empty for none.
    """

    method: str
    queue: queues.Queue
    namespaces: tuple[str, ...]
    identity: str
    wait: relaying.StoreWait
    workspace: str = ""

    @property
    def namespace(self) -> str:
        """Namespace of the queue's new jobs."""
        return self.namespaces[0]

    def list_keys(self, part: records.Part) -> list[str]:
        """Return the keys that a record of the job may have.

        :param part: Which record.
        :return: The keys, the one of a new job first.
        """
        return [
            records.format_key(namespace, self.identity, part)
            for namespace in self.namespaces
        ]

    def may_see(self, workspace: str) -> bool:
        """Return whether the caller may access a job of a workspace.

        Jobs without a workspace were stored before the queue required keys.

        :param workspace: The job's workspace; empty for none.
        """
        if not self.queue.needs_key or not workspace:
            return True
        return workspace == self.workspace


class Call:
    """One HTTP request, until its queue and workspace are known.

    :param environ: Its WSGI environment.
    :param budget: Time in which it must be answered, in seconds.
    :param began: When it arrived, in seconds.
    :param may_lose: Time that it may wait for a store that does not answer,
        in seconds; infinite where requests are not relayed.
    """

    __slots__ = ("environ", "began", "wait", "_body")

    def __init__(
        self,
        environ: dict[str, Any],
        budget: float,
        began: float,
        *,
        may_lose: float,
    ) -> None:
        self.environ = environ
        self.began = began
        self.wait = relaying.StoreWait(began + budget, limit=may_lose)
        self._body: bytes | replies.Reply | None = None

    @property
    def method(self) -> str:
        """HTTP method."""
        method: str = self.environ["REQUEST_METHOD"]
        return method

    @property
    def host(self) -> str:
        """Host that the caller named; empty for none."""
        host: str = self.environ.get("HTTP_HOST", "")
        return host

    @property
    def path(self) -> str:
        """Path, decoded."""
        path: str = self.environ.get("PATH_INFO", "")
        return path

    @property
    def is_ahead(self) -> bool:
        """Whether it was sent before the answer to the one before it."""
        is_ahead: bool = self.environ.get(servers.AHEAD_KEY, False)
        return is_ahead

    def read_body(self, limit: int) -> bytes | replies.Reply:
        """Read the body once; return an error reply if that fails.

        :param limit: Longest body that is accepted, in bytes.
        """
        if self._body is None:
            began = clocks.read_steady()
            self._body = _read_body(self.environ, limit)
            if callers.DEADLINE_HEADER not in self.environ:
                # A caller on a slow link is served once its body is there.
                self.wait.deadline += clocks.read_steady() - began
        return self._body


def read_deadline(environ: dict[str, Any]) -> float | None:
    """Return the caller's deadline from now, in seconds.

    :return: ``None`` if it gave none, or one that cannot be read.
    """
    text = environ.get(callers.DEADLINE_HEADER, "")
    if not (text.isascii() and text.isdigit()) or len(text) > 9:
        return None
    return int(text) / 1000


def read_time_limit(environ: dict[str, Any]) -> float:
    """Return how long a request may take, in seconds."""
    deadline = read_deadline(environ)
    if deadline is None:
        return timing.REQUEST_BUDGET_S
    return min(timing.REQUEST_BUDGET_S, deadline * timing.DEADLINE_SHARE)


def _read_body(environ: dict[str, Any], limit: int) -> bytes | replies.Reply:
    length = environ.get("CONTENT_LENGTH") or ""
    if length and not (length.isascii() and length.isdigit()):
        return replies.reject(
            f"Content-Length {length[:20]!r} is no number of bytes: give the "
            "length of the body in digits"
        )
    if length and int(length) > limit:
        return _reject_body(environ, limit)
    try:
        body: bytes = environ["wsgi.input"].read(limit + 1)
    except errors.RequestUnreadError as error:
        environ[servers.ABANDON_KEY]()
        return replies.Reply(status=error.status, reason=str(error))
    if len(body) > limit:
        return _reject_body(environ, limit)
    return body


def _reject_body(environ: dict[str, Any], limit: int) -> replies.Reply:
    environ[servers.ABANDON_KEY]()
    return replies.Reply(
        status=http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        reason=f"the body has more than {limit} bytes",
    )
