"""Plan and summary of a load run."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """One load run.

    :param addresses: Entries (``IP:PORT``), used round-robin.
    :param connections: Connections, each with one request at a time.
    :param duration: Duration of the run, in seconds.
    :param rate: Requests per second over all connections; 0 sends the next
        request of a connection as soon as the previous one is answered.
    :param workspaces: Workspaces, used round-robin.
    :param pool: Pool of all requests.
    :param job_class: Class of all requests.
    :param method: HTTP method.
    :param path: Path and query of all requests.
    :param deadline_ms: Deadline sent, in milliseconds; 0 for none.
    :param body_size: Size of the body, in bytes.
    :param honour_retry_after: Whether to wait for the advised time after a
        refusal.
    """

    addresses: list[str]
    connections: int = 1
    duration: float = 5.0
    rate: float = 0.0
    workspaces: list[str]
    pool: str
    job_class: str = "quick"
    method: str = "GET"
    path: str = "/"
    deadline_ms: int = 0
    body_size: int = 0
    honour_retry_after: bool = False


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Latency:
    """Latency percentiles, in milliseconds."""

    p50: float
    p90: float
    p99: float
    most: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Summary:
    """Result of a load run.

    :param sent: Requests sent.
    :param served: Complete answers of any status.
    :param refused: Refusals by reason.
    :param unknown: Unknown outcomes by reason.
    :param broken: Answers that were incomplete or belong to another request.
    :param unreachable: Requests that no entry received.
    :param by_workspace: Complete answers by workspace.
    :param seconds: Duration of the run.
    :param latency: Latency of complete answers.
    :param refusal: Latency of refusals.
    """

    sent: int
    served: int
    refused: dict[str, int]
    unknown: dict[str, int]
    broken: int
    unreachable: int
    by_workspace: dict[str, int]
    seconds: float
    latency: Latency
    refusal: Latency
