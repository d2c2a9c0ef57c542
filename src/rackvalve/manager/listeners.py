"""The servers of one manager, and what their clients may make it hold."""

from __future__ import annotations

import functools
import http
import resource
from typing import Any

from rackvalve import clocks
from rackvalve.manager.api import job_api as job_apis
from rackvalve.manager import connection_reporter
from rackvalve.manager.peers import relay
from rackvalve.manager import timing
from rackvalve.manager import view as views
from rackvalve import servers
from rackvalve.serving import limits
from rackvalve.settings import kinds
from rackvalve.settings import reader
from rackvalve import telemetry as telemetries


class Listeners:
    """Starts and stops the servers of one manager.

    :param settings: Settings with the addresses, memory and descriptors.
    :param view: The operator's configuration, which limits callers.
    :param telemetry: Metrics of the connections.
    :param reporter: Reports connections that are closed for others.
    """

    __slots__ = ("_settings", "_view", "_telemetry", "_reporter", "_servers")

    def __init__(
        self,
        settings: reader.Settings,
        view: views.View,
        telemetry: telemetries.Telemetry,
        reporter: connection_reporter.ConnectionReporter,
    ) -> None:
        self._settings = settings
        self._view = view
        self._telemetry = telemetry
        self._reporter = reporter
        self._servers: dict[str, servers.Server] = {}

    def start(
        self, job_api: job_apis.JobApi, answer_ready: Any, tell_metrics: Any
    ) -> None:
        """Listen for callers, health checks and readers of the metrics.

        :param job_api: WSGI application for callers.
        :param answer_ready: WSGI application for health checks.
        :param tell_metrics: WSGI application that tells the metrics.
        """
        capacity = self._share_capacity()
        front = self._listen("front_listen", job_api, capacity)
        self._telemetry.connections.set_function(
            lambda: front.ledger.connections
        )
        self._telemetry.body_bytes.set_function(lambda: front.ledger.held)
        self._listen("ready_listen", answer_ready, limits.READY_CAPACITY)
        self._listen("metrics_listen", tell_metrics, limits.METRICS_CAPACITY)

    def close_front(self) -> None:
        """Accept no further callers; open connections are still served."""
        if "front_listen" in self._servers:
            self._servers["front_listen"].close()

    def stop(self) -> None:
        """Close all connections."""
        for server in self._servers.values():
            server.stop(timeout=0)

    def answer_relayed(
        self, job_api: job_apis.JobApi, request: relay.RelayedRequest
    ) -> relay.Answered:
        """Answer a peer's request if there is memory for its body.

        :param job_api: The application that answers it.
        :param request: The request.
        """
        ledger = self._servers["front_listen"].ledger
        size = limits.weigh_body(len(request.body))
        if not ledger.reserve(size, clocks.read_steady()):
            return relay.Answered(
                status=http.HTTPStatus.SERVICE_UNAVAILABLE,
                retry_after=timing.RETRY_AFTER_S,
                reason="no memory is left for the relayed body",
            )
        try:
            return job_api.answer_relayed(request)
        finally:
            ledger.free(size)

    def _listen(
        self, key: str, application: object, capacity: limits.Capacity
    ) -> servers.Server:
        address = self._settings.get("manager", key, kinds.Address)
        guard = servers.Guard(
            capacity=capacity,
            get_limits=self._get_limits,
            on_close=functools.partial(self._reporter.note_closed, key),
        )
        server = servers.make_server(
            address.host, address.port, application, guard=guard
        )
        server.start()
        self._servers[key] = server
        return server

    def _share_capacity(self) -> limits.Capacity:
        """Return what callers may make this process hold."""
        granted = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        descriptors = self._settings.get("manager", "descriptors", int)
        return limits.share_capacity(
            self._settings.get("manager", "memory", int),
            min(granted, descriptors),
        )

    def _get_limits(self) -> limits.Limits:
        """Return what one caller may send by the newest configuration."""
        configuration = self._view.configuration
        if configuration is None:
            return limits.DEFAULT_LIMITS
        return configuration.client_limits
