"""Counters and latency histograms of a manager, told as text on request.

:data:`MEASURES` names every measure and its meaning; the reference page is
made from it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import prometheus_client

MEASURES: dict[str, str] = {
    "rackvalve_store_calls_total": "counter by call, outcome: calls to the "
    "platform's store",
    "rackvalve_ownership_changes_total": "counter by change: taken, lost",
    "rackvalve_owner_failures_total": "counter by scope: unexpected errors "
    "that ended this process's term: worker, while a worker's answer was "
    "handled; process, elsewhere",
    "rackvalve_calls_total": "counter by method, status: callers' requests",
    "rackvalve_call_seconds": "histogram by method: time to the answer",
    "rackvalve_connections": "gauge: open connections of callers",
    "rackvalve_body_bytes": "gauge: memory that callers' bodies take, beyond "
    "that of their connections",
    "rackvalve_connections_closed_total": "counter by listener, reason: "
    "connections closed for others: connections, there were too many; "
    "memory, bodies took too much; refused, none could be closed",
    "rackvalve_counts_told_total": "counter by source: counts of waiting jobs "
    "that callers were told, published by the owner or counted from records",
    "rackvalve_relay_sent_total": "counter by outcome: attempts to have a "
    "peer answer a request: answered, refused, unknown",
    "rackvalve_relay_served_total": "counter by status: peers' requests that "
    "this process answered",
    "rackvalve_runs_ordered_total": "counter by queue: runs that workers were "
    "told to start",
    "rackvalve_runs_ended_total": "counter by cause: ends of runs",
    "rackvalve_workers_released_total": "counter by fate: workers that took "
    "runs with them",
    "rackvalve_starts_rejected_total": "counter by reason: starts that a "
    "worker did not carry out",
    "rackvalve_jobs_ended_total": "counter by queue, phase: jobs",
    "rackvalve_job_wait_seconds": "histogram by queue: from a job's arrival "
    "at the owner to the order of its first run",
    "rackvalve_job_seconds": "histogram by queue, phase: from a job's arrival "
    "at the owner to its last record",
    "rackvalve_vm_orders_total": "counter by order, outcome: orders to VMs",
    "rackvalve_pool_demand": "gauge by pool: demand, in VMs",
    "rackvalve_pool_size": "gauge by pool: VMs that work for it",
    "rackvalve_domains_suspected": "gauge by kind: racks and halls whose "
    "workers stopped answering together, of this owner",
    "rackvalve_evacuation_lasting": "gauge by hall: lasting tasks left in an "
    "evacuated hall, as its owner counts them",
    "rackvalve_configuration_version": "gauge: version of the configuration "
    "that this process holds",
    "rackvalve_configuration_age_seconds": "gauge: time since that "
    "configuration was known to be the store's newest; -1 before the first",
    "rackvalve_standby_events_total": "counter by prefix: changes of the "
    "owner's records that a standby applied",
    "rackvalve_standby_items": "gauge by prefix: records in a standby's copy",
    "rackvalve_standby_bytes": "gauge by prefix: keys and values in a "
    "standby's copy",
    "rackvalve_job_bytes": "gauge by queue: memory that the jobs of this "
    "owner take, as estimated",
    "rackvalve_jobs_refused_total": "counter by reason: jobs that were not "
    "taken: memory, the owner could not hold them; rate, this process would "
    "write too often to the store",
    "rackvalve_records_refused_total": "counter: records of this owner that "
    "the store refused for their content",
    "rackvalve_jobs_standing": "gauge by reason: jobs that stand still, of "
    "this owner",
    "rackvalve_vms_crashing": "gauge by pool: VMs that crash repeatedly by "
    "themselves, as this owner knows",
}
# Bounds of the histograms, in seconds: from the store's answer (4 ms) to the
# longest job of the users' sheets.
BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)


class Telemetry:
    """The measures of one process."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self.store_calls = self._count("store_calls", "call", "outcome")
        self.ownership = self._count("ownership_changes", "change")
        self.owner_failures = self._count("owner_failures", "scope")
        self.calls = self._count("calls", "method", "status")
        self.call_seconds = self._time("call_seconds", "method")
        self.connections = self._gauge("connections")
        self.body_bytes = self._gauge("body_bytes")
        self.connections_closed = self._count(
            "connections_closed", "listener", "reason"
        )
        self.counts_told = self._count("counts_told", "source")
        self.relay_sent = self._count("relay_sent", "outcome")
        self.relay_served = self._count("relay_served", "status")
        self.runs_ordered = self._count("runs_ordered", "queue")
        self.runs_ended = self._count("runs_ended", "cause")
        self.workers_released = self._count("workers_released", "fate")
        self.starts_rejected = self._count("starts_rejected", "reason")
        self.jobs_ended = self._count("jobs_ended", "queue", "phase")
        self.job_wait = self._time("job_wait_seconds", "queue")
        self.job_seconds = self._time("job_seconds", "queue", "phase")
        self.vm_orders = self._count("vm_orders", "order", "outcome")
        self.pool_demand = self._gauge("pool_demand", "pool")
        self.pool_size = self._gauge("pool_size", "pool")
        self.domains_suspected = self._gauge("domains_suspected", "kind")
        self.evacuation_lasting = self._gauge("evacuation_lasting", "hall")
        self.standby_events = self._count("standby_events", "prefix")
        self.standby_items = self._gauge("standby_items", "prefix")
        self.standby_bytes = self._gauge("standby_bytes", "prefix")
        self.vms_crashing = self._gauge("vms_crashing", "pool")
        self.job_bytes = self._gauge("job_bytes", "queue")
        self.jobs_refused = self._count("jobs_refused", "reason")
        self.records_refused = self._count("records_refused")
        self.jobs_standing = self._gauge("jobs_standing", "reason")
        self.configuration_version = self._gauge("configuration_version")
        self.configuration_age = self._gauge("configuration_age_seconds")

    def make_app(self) -> Callable[..., Any]:
        """Make the WSGI application that tells the measures."""
        return prometheus_client.make_wsgi_app(self._registry)

    def _count(self, name: str, *labels: str) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"rackvalve_{name}",
            MEASURES[f"rackvalve_{name}_total"],
            labels,
            registry=self._registry,
        )

    def _time(self, name: str, *labels: str) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"rackvalve_{name}",
            MEASURES[f"rackvalve_{name}"],
            labels,
            registry=self._registry,
            buckets=BOUNDS,
        )

    def _gauge(self, name: str, *labels: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"rackvalve_{name}",
            MEASURES[f"rackvalve_{name}"],
            labels,
            registry=self._registry,
        )
