"""Traces of recent requests, to explain their outcomes."""

from __future__ import annotations

import collections
import dataclasses

TRACES_KEPT = 10_000


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Attempt:
    """One attempt on a target.

    :param vm: The target.
    :param load: Share of its slots in use before the attempt.
    :param other: Other candidate that it was compared with; empty for none.
    :param open_targets: Targets with a free slot at that time.
    """

    vm: str
    load: float
    other: str
    open_targets: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Trace:
    """Trace of one request.

    :param request_id: Its identifier.
    :param workspace: Its workspace.
    :param pool: Its pool.
    :param job_class: Its class.
    :param received: Wall-clock time at which it was received, in seconds.
    :param state: ``waiting``, ``running``, ``served``, ``refused`` or
        ``unknown``.
    :param reason: Why it was refused or is unknown.
    :param detail: Details of the reason.
    :param expected_wait: Wait predicted when it was queued, in seconds.
    :param waited: Time until its last start, in seconds.
    :param took: Time until its outcome, in seconds.
    :param attempts: Its attempts, in order.
    """

    request_id: str
    workspace: str
    pool: str
    job_class: str
    received: float
    state: str = "waiting"
    reason: str = ""
    detail: str = ""
    expected_wait: float = 0.0
    waited: float = 0.0
    took: float = 0.0
    attempts: list[Attempt] = dataclasses.field(default_factory=list)


class Traces:
    """Traces of the most recent requests by identifier.

    :param limit: Number of traces kept.
    """

    def __init__(self, limit: int = TRACES_KEPT) -> None:
        self._limit = limit
        self._traces: collections.OrderedDict[str, Trace] = (
            collections.OrderedDict()
        )

    def add(self, trace: Trace) -> None:
        """Add a request; beyond the limit, the oldest one is evicted.

        :param trace: Its trace, which is updated until the outcome.
        """
        self._traces[trace.request_id] = trace
        if len(self._traces) > self._limit:
            self._traces.popitem(last=False)

    def find(self, request_id: str) -> Trace | None:
        """Find a request.

        :param request_id: Its identifier.
        """
        return self._traces.get(request_id)
