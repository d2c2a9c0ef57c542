"""Logs and measures the progress of evacuations for one owner.

The orders are in the store and the owner counts what is left in each hall, so
the next owner goes on with both.
"""

from __future__ import annotations

import collections

from rackvalve import logs
from rackvalve.manager import timing
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import evacuation
from rackvalve import telemetry as telemetries


class EvacuationReporter:
    """Reports the evacuated halls of one owner.

    :param cluster: The owner's view of the cluster.
    :param telemetry: The metrics.
    """

    __slots__ = ("_cluster", "_telemetry", "_begun", "_rejected", "_logged_at")

    def __init__(
        self,
        cluster: clusters.Cluster,
        telemetry: telemetries.Telemetry,
    ) -> None:
        self._cluster = cluster
        self._telemetry = telemetry
        # When this owner learned of the evacuation of each hall, in seconds.
        self._begun: dict[str, float] = {}
        # Evacuated halls that contain no VM.
        self._rejected: set[str] = set()
        # When the progress was last logged, in seconds.
        self._logged_at = float("-inf")

    def close(self) -> None:
        """Reset the gauge, since another process may own."""
        for hall in self._begun:
            self._telemetry.evacuation_lasting.labels(hall).set(0)

    def report(self, now: float) -> None:
        """Log evacuations that begin or end, and once a second the progress.

        :param now: Present time, in seconds.
        """
        if not self._cluster.policy.evacuation:
            return
        wanted = self._cluster.evacuated
        if not wanted and not self._begun and not self._rejected:
            return
        self._rejected &= wanted
        is_due = now - self._logged_at >= timing.SIZES_LOG_INTERVAL_S
        if wanted == self._begun.keys() | self._rejected and not is_due:
            return
        left = self._count_left()
        for hall in sorted(self._begun.keys() - wanted):
            self._end(hall, now)
        for hall in sorted(wanted - self._begun.keys()):
            self._begin(hall, left[hall], now)
        if is_due:
            self._logged_at = now
            for hall, since in self._begun.items():
                self._log_progress(hall, left[hall], now - since)

    def _count_left(self) -> collections.Counter[str]:
        """Count the lasting tasks that are left in each evacuated hall."""
        return collections.Counter(
            entry.hall for entry, _ in evacuation.list_lasting(self._cluster)
        )

    def _begin(self, hall: str, left: int, now: float) -> None:
        if evacuation.contains_vm(self._cluster, hall):
            self._rejected.discard(hall)
            self._begun[hall] = now
            logs.write_event(
                "evacuation.begun", evacuated_hall=hall, lasting=left
            )
        elif self._cluster.halls is not None and hall not in self._rejected:
            self._rejected.add(hall)
            logs.write_warning(
                "evacuation.rejected",
                evacuated_hall=hall,
                reason="no VM is in this hall; check the name in its key",
            )

    def _end(self, hall: str, now: float) -> None:
        seconds = round(now - self._begun.pop(hall), 3)
        left = sum(
            placed.step.lasting
            for worker in self._cluster.workers.values()
            if worker.entry is not None and worker.entry.hall == hall
            for placed in worker.runs.values()
        )
        self._telemetry.evacuation_lasting.labels(hall).set(0)
        logs.write_event(
            "evacuation.ended",
            evacuated_hall=hall,
            lasting=left,
            seconds=seconds,
        )

    def _log_progress(self, hall: str, left: int, seconds: float) -> None:
        self._telemetry.evacuation_lasting.labels(hall).set(left)
        logs.write_event(
            "evacuation.progress",
            evacuated_hall=hall,
            lasting=left,
            seconds=round(seconds, 3),
        )
