"""What the owners of one process share, and durations from the settings."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from rackvalve.jobs import weights
from rackvalve.manager.election import failures as failure_histories
from rackvalve.manager import namespace_registry
from rackvalve.manager.standby import replica as replicas
from rackvalve.manager import timing
from rackvalve.manager import view as views
from rackvalve.platform import advisers
from rackvalve.platform import machines as machine_clients
from rackvalve.platform import store as stores
from rackvalve.scheduling import workers
from rackvalve.serving import limits
from rackvalve import telemetry as telemetries

# Longest remaining lease that an earlier owner may have granted to a worker,
# in seconds.
MAX_INHERITED_LEASE_S = (
    timing.EXTENSION_LIMIT_S
    + timing.WORKER_LEASE_S * (1 + workers.CLOCK_TOLERANCE)
    + workers.LEASE_MARGIN_S
)
DEFAULT_JOB_BYTES = weights.share_memory(limits.DEFAULT_MEMORY)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Resources:
    """Clients and other objects that the owners of this process share.

    :param store: The store.
    :param machines: The platform's interface to its VMs.
    :param adviser: The admission service; ``None`` without one.
    :param view: The operator's configuration and orders.
    :param namespaces: The stored directory of namespaces.
    :param telemetry: Metrics.
    :param on_contact: Called at each answer of the store.
    :param take_replica: Returns the replica of the owner's records that this
        process kept as a standby; ``None`` if it kept none.
    :param value_limit: Largest value that the store keeps, in bytes.
    :param get_job_bytes: Returns how much memory the jobs of an owner may
        take, in bytes.
    :param failures: Unexpected errors of this process's owners.
    """

    store: stores.Store
    machines: machine_clients.Machines
    adviser: advisers.Adviser | None
    view: views.View
    namespaces: namespace_registry.NamespaceRegistry
    telemetry: telemetries.Telemetry
    on_contact: Callable[[], None]
    value_limit: int = stores.VALUE_BYTES
    get_job_bytes: Callable[[], int] = lambda: DEFAULT_JOB_BYTES
    take_replica: Callable[[], replicas.Replica | None] = lambda: None
    failures: failure_histories.FailureHistory = dataclasses.field(
        default_factory=failure_histories.FailureHistory
    )


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Durations:
    """Durations from the settings.

    :param keep: How long ended jobs are kept, in seconds.
    :param order_pause: How long VMs with an order of an earlier owner get
        none, in seconds.
    :param pace_interval: Shortest interval between changes of a run's pace,
        in seconds.
    :param stop_time: Longest time a worker takes to stop a run, in seconds.
    """

    keep: float
    order_pause: float
    pace_interval: float
    stop_time: float
