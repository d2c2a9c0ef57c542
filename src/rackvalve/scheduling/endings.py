"""Release of runs that are proved over without a report of their end."""

from __future__ import annotations

from rackvalve.scheduling import attribution
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import crashes
from rackvalve.scheduling import releases
from rackvalve.scheduling import workers


def release_all(
    cluster: clusters.Cluster,
    worker: workers.WorkerState,
    proof: str,
    *,
    now: float,
    wall: float,
) -> releases.Release:
    """Release all runs of a worker that are proved over.

    :param cluster: The owner's view of the cluster.
    :param worker: The worker.
    :param proof: Reason why they are known to be over.
    :param now: Present time, in seconds.
    :param wall: Present time, seconds since 1970.
    :return: The released runs.
    """
    ended = list(worker.runs.values())
    fate = releases.determine_fate(worker, proof)
    is_series = False
    if fate is releases.Fate.CRASHED and worker.entry is not None:
        is_series = cluster.crash_history.series.note(worker.entry.pool, now)
    # The proof of a crash comes up to 2.4 s later, and a run that is taken to
    # have worked for so long before a crash takes as long to be cleared.
    is_crashed = fate is releases.Fate.CRASHED
    end = worker.find_end(now)[1] if is_crashed else now
    suspect = crashes.attribute_crash(ended, fate, end, is_series=is_series)
    attribution.note_crash(cluster, worker, ended, suspect, fate=fate, now=now)
    for placed in ended:
        # Failures of lasting tasks are not counted against a limit.
        if fate is releases.Fate.OUT_OF_REACH and not placed.step.lasting:
            placed.task.unreported_runs |= {placed.run.number}
    release = releases.make_release(worker, proof, now)
    for placed in ended:
        cluster.release(placed, now)
    for placed in ended:
        attribution.postpone(cluster, placed, now)
    return release


def release_expired(
    cluster: clusters.Cluster,
    worker: workers.WorkerState,
    now: float,
    wall: float,
) -> releases.Release:
    """Release all runs of a worker whose leases have expired.

    :param cluster: The owner's view of the cluster.
    :param worker: The worker.
    :param now: Present time, in seconds.
    :param wall: Present time, seconds since 1970.
    :return: The released runs.
    """
    proof = releases.find_proof(worker)
    return release_all(cluster, worker, proof, now=now, wall=wall)


def end_incarnation(
    cluster: clusters.Cluster,
    identity: str,
    proof: str,
    *,
    now: float,
    wall: float,
) -> releases.Release | None:
    """Remove an incarnation of a worker that is over, and release its runs.

    :param cluster: The owner's view of the cluster.
    :param identity: Identity of the incarnation.
    :param proof: Reason why it is known to be over.
    :param now: Present time, in seconds.
    :param wall: Present time, seconds since 1970.
    :return: The released runs; ``None`` if the incarnation is not known.
    """
    worker = cluster.remove_incarnation(identity)
    if worker is None:
        return None
    return release_all(cluster, worker, proof, now=now, wall=wall)
