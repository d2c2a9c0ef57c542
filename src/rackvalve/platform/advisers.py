"""The client of the service that admits workers to a step.

Its answers do not name the step that they are for, so that each call has a
connection of its own.
"""

from __future__ import annotations

import dataclasses

import msgspec

from rackvalve.jobs import incarnations
from rackvalve.platform import connections

STATUS_OK = 200
# The service takes no more names in one call.
WORKERS_PER_CALL = 100


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Admitted:
    """Workers that may run a step.

    :param tickets: The ticket to bring with a start, by the worker's life.
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
        :param workers: Identities of the lives of workers,
            :data:`WORKERS_PER_CALL` at most.
        :param timeout: Longest wait for the answer, in seconds.
        """
        # The service knows each worker by its name, and its present life.
        asked = {
            incarnations.parse_incarnation(life).worker: life
            for life in workers
        }
        body = msgspec.json.encode({"step": step, "workers": list(asked)})
        raw = self._client.exchange(
            "POST", "/advise", body, timeout=timeout, single_use=True
        )
        if isinstance(raw, connections.NoAnswer):
            return Unavailable(reason=raw.reason)
        if raw.status != STATUS_OK:
            return Unavailable(reason=f"status {raw.status}")
        try:
            wire = msgspec.json.decode(raw.body, type=_WireAnswer)
        except msgspec.DecodeError as error:
            return Unavailable(reason=repr(error))
        tickets = {
            asked[worker]: ticket
            for worker, ticket in wire.good
            if worker in asked
        }
        return Admitted(tickets=tickets, valid=wire.valid_ms / 1000)
