"""Load generator that sends the requests of a plan and checks answers."""

from __future__ import annotations

import collections
import itertools
import time
from typing import TYPE_CHECKING

import gevent
import geventhttpclient
from geventhttpclient import response as http_response
from hdrh import histogram
import uuid_utils

from rackvalve.load import plan as plans
from rackvalve import outcomes
from rackvalve.requests import job as jobs

if TYPE_CHECKING:
    from collections.abc import Iterator

MIN_US = 1
MAX_US = 3600 * 1_000_000
SIGNIFICANT_DIGITS = 3
TIMEOUT_S = 120.0
RETRY_DELAY_S = 0.05


class Generator:
    """Runs one plan.

    :param plan: The requests to send.
    """

    def __init__(self, plan: plans.Plan) -> None:
        self._plan = plan
        self._end = 0.0
        self._counts: collections.Counter[str] = collections.Counter()
        self._refused: collections.Counter[str] = collections.Counter()
        self._unknown: collections.Counter[str] = collections.Counter()
        self._by_workspace: collections.Counter[str] = collections.Counter()
        self._latency = histogram.HdrHistogram(
            MIN_US, MAX_US, SIGNIFICANT_DIGITS
        )
        self._refusal = histogram.HdrHistogram(
            MIN_US, MAX_US, SIGNIFICANT_DIGITS
        )
        self._workspaces = itertools.cycle(plan.workspaces)
        self._body = b"b" * plan.body_size
        self._due_times = self._schedule()

    def run(self) -> plans.Summary:
        """Send requests until the end of the duration; return a summary."""
        started = time.monotonic()
        self._end = started + self._plan.duration
        addresses = itertools.cycle(self._plan.addresses)
        connections = [
            gevent.spawn(self._run_connection, next(addresses))
            for _ in range(self._plan.connections)
        ]
        gevent.joinall(connections, raise_error=True)
        return self._summarize(time.monotonic() - started)

    def _schedule(self) -> Iterator[float]:
        """Yield the times at which requests are due, in seconds."""
        started = time.monotonic()
        if not self._plan.rate:
            while True:
                yield 0.0
        for number in itertools.count():
            yield started + number / self._plan.rate

    def _run_connection(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        client = geventhttpclient.HTTPClient(
            host,
            int(port),
            connection_timeout=TIMEOUT_S,
            network_timeout=TIMEOUT_S,
        )
        while True:
            due = next(self._due_times)
            now = time.monotonic()
            if max(due, now) >= self._end:
                break
            if due > now:
                gevent.sleep(due - now)
            # The latency of a delayed request is measured from its due time.
            pause = self._send(client, due or now)
            if pause:
                gevent.sleep(min(pause, max(0.0, self._end - now)))
        client.close()

    def _send(
        self, client: geventhttpclient.HTTPClient, started: float
    ) -> float:
        """Send one request.

        :return: Seconds to wait before the next one.
        """
        plan = self._plan
        workspace = next(self._workspaces)
        request_id = str(uuid_utils.uuid7())
        headers = {
            jobs.WORKSPACE_HEADER: workspace,
            jobs.POOL_HEADER: plan.pool,
            jobs.CLASS_HEADER: plan.job_class,
            jobs.REQUEST_ID_HEADER: request_id,
        }
        if plan.deadline_ms:
            headers[jobs.DEADLINE_HEADER] = str(plan.deadline_ms)
        if plan.method not in jobs.REPEATABLE_METHODS:
            headers[jobs.KEY_HEADER] = request_id
        self._counts["sent"] += 1
        try:
            response = client.request(
                plan.method, plan.path, body=self._body, headers=headers
            )
            response.read()
        except OSError:
            self._counts["unreachable"] += 1
            return RETRY_DELAY_S
        except http_response.HTTPParseError:
            self._counts["broken"] += 1
            return RETRY_DELAY_S
        took = max(MIN_US, int((time.monotonic() - started) * 1e6))
        return self._record(response, workspace, request_id, took)

    def _record(
        self,
        response: http_response.HTTPResponse,
        workspace: str,
        request_id: str,
        took: int,
    ) -> float:
        # A target that is called directly sends no outcome header.
        outcome = response.get(outcomes.OUTCOME_HEADER, "served")
        reason = str(response.get(outcomes.REASON_HEADER, ""))
        if response.get(jobs.REQUEST_ID_HEADER) != request_id:
            self._counts["broken"] += 1
            return 0.0
        if outcome == "served":
            self._latency.record_value(took)
            self._counts["served"] += 1
            self._by_workspace[workspace] += 1
            return 0.0
        if outcome == "unknown":
            self._unknown[reason] += 1
            return 0.0
        self._refusal.record_value(took)
        self._refused[reason] += 1
        if not self._plan.honour_retry_after:
            return 0.0
        wait = response.get("Rackvalve-Retry-After-Ms", "0")
        return int(str(wait)) / 1000.0

    def _summarize(self, seconds: float) -> plans.Summary:
        return plans.Summary(
            sent=self._counts["sent"],
            served=self._counts["served"],
            refused=dict(self._refused),
            unknown=dict(self._unknown),
            broken=self._counts["broken"],
            unreachable=self._counts["unreachable"],
            by_workspace=dict(self._by_workspace),
            seconds=seconds,
            latency=_read_latency(self._latency),
            refusal=_read_latency(self._refusal),
        )


def _read_latency(values: histogram.HdrHistogram) -> plans.Latency:
    return plans.Latency(
        p50=values.get_value_at_percentile(50.0) / 1000.0,
        p90=values.get_value_at_percentile(90.0) / 1000.0,
        p99=values.get_value_at_percentile(99.0) / 1000.0,
        most=values.get_max_value() / 1000.0,
    )
