"""Queues and pools as the operator's configuration defines them."""

from __future__ import annotations

import dataclasses

from rackvalve.serving import limits
from rackvalve.workspaces import directory as directories


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AdmissionLimits:
    """Limits of the service that admits workers to a queue's steps.

    :param decide_time: Time that one call takes, in seconds.
    :param worker_time: Time that each worker in the call adds, in seconds.
    :param valid: How long an admission is valid, in seconds.
    """

    decide_time: float
    worker_time: float
    valid: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Queue:
    """Settings for jobs of one kind.

    :param name: Its name.
    :param host: Host name by which callers reach it.
    :param prefix: Path by which callers reach it.
    :param pool: Pool whose workers run its tasks.
    :param priority: Priority; 0 comes first.
    :param attempts: Failed runs of a task after which its job has failed.
    :param stretch: Longest duration of a job that callers accept, as a
        multiple of its critical path.
    :param allowance: Time that callers accept on top, in seconds.
    :param admission: Limits of the admission service; ``None`` without one.
    :param needs_key: Whether callers have to present a workspace's key.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int
    attempts: int
    stretch: float
    allowance: float
    admission: AdmissionLimits | None
    needs_key: bool = False


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Pool:
    """VMs that serve the same queues.

    :param name: Its name.
    :param spare: Whether its VMs are off until another pool needs them.
    :param cold_start: How long a new worker is cold, in seconds.
    :param cold_rate: Most starts per second on a cold worker; 0 means no
        limit.
    """

    name: str
    spare: bool
    cold_start: float = 0.0
    cold_rate: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Configuration:
    """The operator's configuration.

    :param version: Number that rises with each change.
    :param queues: All queues.
    :param pools: All pools, by name.
    :param body_limit: Largest body of a caller's request, in bytes.
    :param workspaces: All workspaces and their keys.
    :param client_limits: What one caller may send, and how slowly.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: dict[str, Pool]
    body_limit: int
    workspaces: directories.Directory = dataclasses.field(
        repr=False, compare=False, default_factory=directories.Directory
    )
    client_limits: limits.Limits = limits.DEFAULT_LIMITS
    # Index of the queues, of which there may be thousands, and the lengths of
    # their prefixes, the longest first: a path may be much longer.
    _by_prefix: dict[str, dict[str, Queue]] = dataclasses.field(
        init=False, repr=False, compare=False, default_factory=dict
    )
    _lengths: dict[str, list[int]] = dataclasses.field(
        init=False, repr=False, compare=False, default_factory=dict
    )
    _by_name: dict[str, Queue] = dataclasses.field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        """Index the queues."""
        for queue in self.queues:
            prefixes = self._by_prefix.setdefault(queue.host, {})
            prefixes.setdefault(queue.prefix, queue)
            self._by_name.setdefault(queue.name, queue)
        for host, prefixes in self._by_prefix.items():
            lengths = {len(prefix) for prefix in prefixes}
            self._lengths[host] = sorted(lengths, reverse=True)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix of a path is longest.

        :param host: Host name of the request.
        :param path: Path of the request.
        """
        prefixes = self._by_prefix.get(host)
        if prefixes is None:
            return None
        for length in self._lengths[host]:
            found = prefixes.get(path[:length])
            if found is not None:
                return found
        return None

    def queue_by_name(self, name: str) -> Queue | None:
        """Return a queue.

        :param name: Its name.
        """
        return self._by_name.get(name)
