"""Worker restarts: what becomes of the runs of earlier incarnations.

The first report of a later incarnation proves that the earlier one has ended.
Entries and the platform's list are weaker proof, since they may be outdated.
The report also settles the runs: an order that was still in flight may have
reached the later incarnation, which then lists the run as running or ended.
All other runs ended with the earlier incarnation.
"""

from __future__ import annotations

from rackvalve.jobs import incarnations
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import endings
from rackvalve.scheduling import messages
from rackvalve.scheduling import releases
from rackvalve.scheduling import workers


# How long an incarnation that has not reported yet is taken to hold a lease,
# in seconds: as long as the runs of the earlier one may continue.
UNREPORTED_LEASE_S = 4.0


def note_replaced(
    cluster: clusters.Cluster,
    earlier: workers.WorkerState,
    born: int,
    now: float,
) -> workers.WorkerState | None:
    """Record that another incarnation answers in place of an earlier one.

    The runs of the earlier incarnation stay until the later one has reported.

    :param cluster: The owner's view of the cluster.
    :param earlier: The earlier incarnation.
    :param born: When the later one started, in milliseconds since 1970.
    :param now: Present time, in seconds.
    :return: The later incarnation; ``None`` if it was recorded before.
    """
    if earlier.replaced or earlier.location is None:
        return None
    earlier.replaced = True
    incarnation = incarnations.Incarnation(
        worker=earlier.incarnation.worker, born=born
    )
    later = cluster.add_incarnation(incarnation.identity)
    later.location = later.location or earlier.location
    later.note_extension(now, UNREPORTED_LEASE_S)
    entry = earlier.entry
    if (
        entry is not None
        and incarnations.parse_incarnation(entry.identity).born is None
    ):
        # An entry without a start time belongs to the present incarnation.
        cluster.set_entry(entry)
    return later


def supersede_earlier(
    cluster: clusters.Cluster,
    worker: workers.WorkerState,
    report: messages.Report,
    *,
    now: float,
    wall: float,
) -> list[releases.Release]:
    """Settle the runs of earlier incarnations by the report of a later one.

    :param cluster: The owner's view of the cluster.
    :param worker: The incarnation that has reported.
    :param report: Its report, with all its runs.
    :param now: Present time, in seconds.
    :param wall: Present time, seconds since 1970.
    :return: The runs that ended with each earlier incarnation.
    """
    released = []
    for earlier in _list_earlier(cluster, worker):
        _move_runs(cluster, earlier, worker, report)
        release = endings.end_incarnation(
            cluster, earlier.identity, releases.RESTARTED, now=now, wall=wall
        )
        if release is not None:
            released.append(release)
    return released


def _list_earlier(
    cluster: clusters.Cluster, worker: workers.WorkerState
) -> list[workers.WorkerState]:
    """Return the earlier incarnations of a worker.

    One that only an entry names, and that was never asked, may be a later one.
    """
    return [
        other
        for other in cluster.workers_by_name.find(worker.incarnation.worker)
        if other is not worker
        and (
            other.replaced
            or other.established
            or other.entry is None
            or other.incarnation.born is None
        )
    ]


def _move_runs(
    cluster: clusters.Cluster,
    earlier: workers.WorkerState,
    later: workers.WorkerState,
    report: messages.Report,
) -> None:
    """Move the runs that are, or were, on the later incarnation.

    A record without a start time may mean the later one in all of its runs.
    """
    reported = {(row.task, row.run) for row in report.running}
    reported |= {(row.task, row.run) for row in report.ended}
    is_start_unknown = earlier.incarnation.born is None
    for key, placed in list(earlier.runs.items()):
        if key in reported or (is_start_unknown and placed.run.inherited):
            cluster.move_run(placed, later)
