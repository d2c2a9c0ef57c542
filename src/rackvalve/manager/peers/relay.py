"""Requests that a manager passes to a peer, and what became of them.

Free of gRPC, so that a manager that neither relays nor serves does not load
it.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import Protocol


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RelayedRequest:
    """A caller's request on its way to a peer.

    :param method: HTTP method.
    :param host: Host that the caller named.
    :param path: Path, decoded.
    :param key: The caller's Authorization header; ``None`` without one.
    :param body: Body of the request.
    :param remaining: Time until the answer is needed, in seconds.
    """

    method: str
    host: str
    path: str
    key: str | None
    body: bytes
    remaining: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Answered:
    """The peer's answer.

    :param status: HTTP status; 503 if the peer did not carry it out.
    :param body: Body in JSON.
    :param retry_after: Seconds until a retry is worthwhile; 0 if unknown.
    :param reason: Reason for the status, for logs.
    """

    status: int
    body: bytes = b"{}"
    retry_after: int = 0
    reason: str = ""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class NotSent:
    """The peer did not get the request, or does not know such requests.

    :param reason: Cause, for logs.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unanswered:
    """No usable answer; the peer may have carried the request out.

    :param reason: Cause, for logs.
    """

    reason: str


Outcome = Answered | NotSent | Unanswered


class Client(Protocol):
    """Sends requests to peers."""

    def send(
        self,
        address: str,
        request: RelayedRequest,
        on_end: Callable[[Outcome], None],
    ) -> None:
        """Send a request without waiting.

        :param address: ``IP:PORT`` of the peer.
        :param request: The request.
        :param on_end: Called once, in a greenlet, with the outcome.
        """


class Server(Protocol):
    """Serves the requests of peers."""

    def listen(self, host: str, ports: range) -> str:
        """Take the first free port and serve.

        :param host: IP address.
        :param ports: Ports to try, in order.
        :return: The ``IP:PORT`` taken; empty if no port is free.
        """

    def stop(self) -> None:
        """Serve no more."""


# Answers a peer's request.
Handle = Callable[[RelayedRequest], Answered]
