"""Keeps which workers are cold: slow for a while after their start.

A worker's entry says how long it is still cold.  It may have become warm
since the entry was written, so the time counts from when the owner first saw
the value.
"""

from __future__ import annotations

from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import workers

# Factor on the time without progress after which a run is taken to be stalled
# while its worker is cold: a worker that is slower by less than this must not
# lose its runs, and one that stands still is detected in 3.6 s.
STALL_FACTOR = 3.0


def note_entry(
    cluster: clusters.Cluster,
    worker: workers.WorkerState,
    revision: int,
    now: float,
) -> None:
    """Note how long a worker is cold by its newest entry.

    An entry that is read again has the same revision, and one that is written
    again with the same value a later one.

    :param cluster: The owner's view of the cluster.
    :param worker: The worker, with the entry.
    :param revision: The entry's revision in the store.
    :param now: Present time, in seconds.
    """
    if not cluster.policy.evacuation or worker.entry is None:
        return
    if revision != worker.cold_revision:
        worker.cold_revision = revision
        worker.cold_until = now + worker.entry.cold_left


def note_restarted(
    cluster: clusters.Cluster, worker: workers.WorkerState, now: float
) -> None:
    """Note that an incarnation answers whose entry may not be written yet.

    It counts as cold for as long as the operator says that new workers of its
    pool are, until its entry tells.

    :param cluster: The owner's view of the cluster.
    :param worker: The incarnation.
    :param now: Present time, in seconds.
    """
    if not cluster.policy.evacuation or worker.cold_revision is not None:
        return
    for earlier in cluster.workers_by_name.find(worker.incarnation.worker):
        pool = earlier.entry.pool if earlier.entry is not None else ""
        found = cluster.configuration.pools.get(pool)
        if found is not None:
            worker.cold_until = now + found.cold_start


def is_busy_starting(
    worker: workers.WorkerState, interval: float, now: float
) -> bool:
    """Return whether a cold worker cannot handle another start yet.

    :param worker: The worker.
    :param interval: Least time between two starts on a cold worker of its
        pool, in seconds.
    :param now: Present time, in seconds.
    """
    return worker.is_cold(now) and now - worker.last_start_at < interval


def stretch(worker: workers.WorkerState, seconds: float, now: float) -> float:
    """Return the time limit for a run that a cold worker needs, in seconds.

    :param worker: The worker.
    :param seconds: The time limit on a warm worker, in seconds.
    :param now: Present time, in seconds.
    """
    return seconds * STALL_FACTOR if worker.is_cold(now) else seconds


def get_start_interval(cluster: clusters.Cluster, pool: str) -> float:
    """Return the least time between two starts on a cold worker, in seconds.

    :param cluster: The owner's view of the cluster.
    :param pool: The worker's pool.
    :return: 0 if the pool has no limit.
    """
    found = cluster.configuration.pools.get(pool)
    if found is None or not found.cold_rate:
        return 0.0
    return 1.0 / found.cold_rate
