"""The product's cluster, reports and planner, put together for tests."""

from __future__ import annotations

import dataclasses

from features import job_models as models
from rackvalve.manager import timing
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import reports


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Cores:
    """What decides over jobs, as an owner has it.

    :param cluster: The owner's view of the cluster.
    :param handler: Applies reports to it.
    :param planner: Plans over it.
    """

    cluster: clusters.Cluster
    handler: reports.Handler
    planner: planners.Planner


def make_cores(now: float, inherited_lease: float) -> Cores:
    """Make the cores of an owner that has just taken over.

    :param now: Present time, in seconds.
    :param inherited_lease: How long runs of the owner before may go on, in
        seconds.
    """
    cluster = clusters.Cluster(
        models.CONFIGURATION, inherited_lease=inherited_lease, now=now
    )
    return Cores(
        cluster=cluster,
        handler=reports.Handler(
            cluster,
            lease=timing.WORKER_LEASE_S,
            max_stop_time=0.0,
            hold_wait=timing.HOLD_WAIT_S,
            hold_most=timing.MAX_HOLD_S,
        ),
        planner=planners.Planner(
            cluster,
            planners.Limits(
                freshness=timing.FRESHNESS_S,
                entry_grace=timing.ENTRY_GRACE_S,
            ),
        ),
    )
