"""Cost of the limits of workspaces, by the number of workspaces."""

from __future__ import annotations

import dataclasses
import time

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.manager import timing
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import fleet
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import queues
from rackvalve.workspaces import account
from rackvalve.workspaces import credentials
from rackvalve.workspaces import directory
from tools.experiments import figures

# Today's sites, letter 1's size, and one beyond it.
WORKSPACES = (20, 570, 5000)
KEYS = 2
JOBS = 2000
LOOKUPS = 20000
NOW = 1000.0
QUEUE = queues.Queue(
    name="q",
    host="h",
    prefix="/",
    pool="p",
    priority=0,
    attempts=1,
    stretch=2.0,
    allowance=1.0,
    admission=None,
)


def run(seed):
    """Yield all figures.

    :param seed: Not used; the figures come from clocks.
    """
    for count in WORKSPACES:
        workspaces = directory.Directory(
            account.Workspace(
                name=f"w{number}",
                rate=5.0,
                bound=fleet.Resources(cpu=10**9, memory=10**9, gpu=0),
                keys=frozenset(
                    credentials.digest(f"k{number}-{n}") for n in range(KEYS)
                ),
            )
            for number in range(count)
        )
        yield _measure_lookup(workspaces, count)
        yield _measure_decision(workspaces, count)


def _measure_lookup(workspaces, count):
    """Time the check of a key."""
    headers = [f"Bearer k{n % count}-0" for n in range(LOOKUPS)]
    began = time.perf_counter()
    for header in headers:
        workspaces.find_by_key(credentials.parse_header(header))
    taken = time.perf_counter() - began
    return figures.Figure(
        figure=f"keys.lookup_us.{count}",
        value=taken / LOOKUPS * 1e6,
        unit="us",
        n=LOOKUPS,
    )


def _measure_decision(workspaces, count):
    """Time the acceptance and planning of a job, in one plan for many jobs."""
    configuration = queues.Configuration(
        version=1, queues=(QUEUE,), pools={}, body_limit=1
    )
    configuration = dataclasses.replace(configuration, workspaces=workspaces)
    cluster = clusters.Cluster(configuration, inherited_lease=0.0, now=NOW)
    worker = cluster.set_entry(_make_entry())
    worker.established = True
    worker.last_alive_at = NOW
    planner = planners.Planner(
        cluster,
        planners.Limits(
            freshness=timing.FRESHNESS_S, entry_grace=timing.ENTRY_GRACE_S
        ),
    )
    job = definition.Job(spec="x", steps=(definition.Step(cpu=1, memory=1),))
    began = time.perf_counter()
    for number in range(JOBS):
        state = progress.JobState(
            f"{number:016x}",
            QUEUE.name,
            job,
            NOW,
            workspace=f"w{number % count}",
        )
        cluster.add_job(state, NOW, NOW)
    planner.plan(NOW, NOW)
    taken = time.perf_counter() - began
    return figures.Figure(
        figure=f"share.decision_us.{count}",
        value=taken / JOBS * 1e6,
        unit="us",
        n=JOBS,
    )


def _make_entry():
    return fleet.Entry(
        identity="w",
        pool=QUEUE.pool,
        host="",
        port=0,
        vm="m",
        rack="",
        hall="h",
        labels=frozenset(),
        capacity=fleet.Resources(cpu=10**6, memory=10**6, gpu=0),
        draining=False,
        remaining=None,
    )
