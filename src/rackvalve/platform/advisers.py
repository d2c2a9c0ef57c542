"""Client of the admission service, which admits workers to steps of jobs.

The answers do not name their step, so each call uses a connection once.
"""

from __future__ import annotations

import dataclasses

import msgspec

from rackvalve import codec
from rackvalve import errors
from rackvalve.jobs import incarnations
from rackvalve.platform import connections

STATUS_OK = 200
# The service's limit on names in one call.
WORKERS_PER_CALL = 100


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Admitted:
    """Workers that may run a step.

    :param tickets: Admission tickets to send with a start, by identity of the
        worker's incarnation.
    :param valid: Validity of the tickets, in seconds.
    """

    tickets: dict[str, str]
    valid: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unavailable:
    """The service gave no usable answer.

    :param reason: Cause of the failure, for logs.
    """

    reason: str


class _WireAnswer(msgspec.Struct):
    good: list[tuple[str, str]] = []
    valid_ms: float = 0.0


class Adviser:
    """Client of the admission service.

    :param client: HTTP client of the service.
    """

    __slots__ = ("_client",)

    def __init__(self, client: connections.HttpClient) -> None:
        self._client = client

    def ask(
        self, step: str, workers: list[str], timeout: float
    ) -> Admitted | Unavailable:
        """Ask which workers may run a step.

        :param step: Name of the step.
        :param workers: Identities of incarnations of workers,
            :data:`WORKERS_PER_CALL` at most.
        :param timeout: Longest wait for the answer, in seconds.
        """
        # The service knows workers by name and refers to their present
        # incarnation.
        by_name = {
            incarnations.parse_incarnation(incarnation).worker: incarnation
            for incarnation in workers
        }
        body = msgspec.json.encode({"step": step, "workers": list(by_name)})
        raw = self._client.exchange(
            "POST", "/advise", body, timeout=timeout, single_use=True
        )
        if isinstance(raw, connections.NoAnswer):
            return Unavailable(reason=raw.reason)
        if raw.status != STATUS_OK:
            return Unavailable(reason=f"status {raw.status}")
        try:
            wire = codec.decode_as(raw.body, _WireAnswer)
        except errors.DocumentInvalidError as error:
            return Unavailable(reason=repr(error))
        tickets = {
            by_name[worker]: ticket
            for worker, ticket in wire.good
            if worker in by_name
        }
        return Admitted(tickets=tickets, valid=wire.valid_ms / 1000)
