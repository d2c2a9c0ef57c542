"""What an entry remembers of recent requests, to answer why."""

from __future__ import annotations

import collections
import dataclasses

TRACES_KEPT = 10_000


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Attempt:
    """One attempt on a target.

    :param vm: The target.
    :param load: Part of its slots in use before.
    :param other: Target that it was weighed against; empty for none.
    :param open_targets: Targets with a free slot at that time.
    """

    vm: str
    load: float
    other: str
    open_targets: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Trace:
    """The course of one request.

    :param request_id: Its identifier.
    :param workspace: Its workspace.
    :param pool: Its pool.
    :param job_class: Its class.
    :param received: Wall-clock time of its arrival, in seconds.
    :param state: ``waiting``, ``running``, ``served``, ``refused`` or
        ``unknown``.
    :param reason: Why it was refused or is unknown.
    :param detail: More on the reason.
    :param expected_wait: Wait expected at its arrival, in seconds.
    :param waited: Time until its last start, in seconds.
    :param took: Time until its outcome, in seconds.
    :param attempts: Its attempts, the first one first.
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
    """Traces of the newest requests, found by identifier.

    :param limit: Number of traces kept.
    """

    def __init__(self, limit: int = TRACES_KEPT) -> None:
        self._limit = limit
        self._traces: collections.OrderedDict[str, Trace] = (
            collections.OrderedDict()
        )

    def add(self, trace: Trace) -> None:
        """Remember a request; the oldest one is forgotten.

        :param trace: Its trace, which goes on changing.
        """
        self._traces[trace.request_id] = trace
        if len(self._traces) > self._limit:
            self._traces.popitem(last=False)

    def find(self, request_id: str) -> Trace | None:
        """Find a request.

        :param request_id: Its identifier.
        """
        return self._traces.get(request_id)
