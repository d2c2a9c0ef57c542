"""The client of the service that admits workers to a step.

Its answers do not name the step that they are for, so that each call has a
connection of its own.
"""

from __future__ import annotations

import dataclasses

import msgspec

from rackvalve.platform import connections

STATUS_OK = 200
# The service takes no more names in one call.
WORKERS_PER_CALL = 100


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Admitted:
    """Workers that may run a step.

    :param tickets: The ticket to bring with a start, by worker.
    :param valid: How long the tickets hold, in seconds.
    """

    tickets: dict[str, str]
    valid: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unavailable:
    """The service gave no usable answer.

    :param reason: What happened, for logs.
    """

    reason: str


class _WireAnswer(msgspec.Struct):
    good: list[tuple[str, str]] = []
    valid_ms: float = 0.0


class Adviser:
    """Calls the service.

    :param client: Connections to it.
    """

    __slots__ = ("_client",)

    def __init__(self, client: connections.HttpClient) -> None:
        self._client = client

    def ask(
        self, step: str, workers: list[str], timeout: float
    ) -> Admitted | Unavailable:
        """Ask which workers may run a step.

        :param step: Name of the step.
        :param workers: Identities of workers, :data:`WORKERS_PER_CALL` at
            most.
        :param timeout: Longest wait for the answer, in seconds.
        """
        body = msgspec.json.encode({"step": step, "workers": workers})
        raw = self._client.exchange(
            "POST", "/advise", body, timeout=timeout, alone=True
        )
        if isinstance(raw, connections.NoAnswer):
            return Unavailable(reason=raw.reason)
        if raw.status != STATUS_OK:
            return Unavailable(reason=f"status {raw.status}")
        try:
            wire = msgspec.json.decode(raw.body, type=_WireAnswer)
        except msgspec.DecodeError as error:
            return Unavailable(reason=repr(error))
        return Admitted(tickets=dict(wire.good), valid=wire.valid_ms / 1000)
