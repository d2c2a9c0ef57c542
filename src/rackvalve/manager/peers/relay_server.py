"""Serves the requests that peers relay, by gRPC."""

from __future__ import annotations

import functools
import http

import grpc

from rackvalve import logs
from rackvalve.manager.peers import relay
from rackvalve.manager import timing
from rackvalve.rpc import channels
from rackvalve.rpc import hub_bridge
from rackvalve.rpc import rackvalve_pb2
from rackvalve.rpc import rackvalve_pb2_grpc
from rackvalve import version

_REFUSED = int(http.HTTPStatus.SERVICE_UNAVAILABLE)
_UNKNOWN = int(http.HTTPStatus.GATEWAY_TIMEOUT)
# A request is relayed once.
_HOPS = 1


class RelayServicer(rackvalve_pb2_grpc.PeerServicer):
    """Answers relayed requests, up to a limit of concurrent ones.

    :param bridge: Runs functions in the hub.
    :param handle: Answers one request, in the hub.
    """

    def __init__(
        self, bridge: hub_bridge.HubBridge, handle: relay.Handle
    ) -> None:
        self._bridge = bridge
        self._handle = handle
        self._active = 0
        # Reasons of rejections that were logged.
        self._rejected: set[str] = set()

    def Relay(
        self,
        request: rackvalve_pb2.RelayRequest,
        context: grpc.ServicerContext,
    ) -> rackvalve_pb2.RelayAnswer:
        """Answer a request (gRPC), in a thread of this call."""
        left = context.time_remaining() or 0.0
        answered = self._bridge.submit(
            functools.partial(self._answer, request, left)
        )
        answer: rackvalve_pb2.RelayAnswer = answered.result()
        return answer

    def _answer(
        self, request: rackvalve_pb2.RelayRequest, left: float
    ) -> rackvalve_pb2.RelayAnswer:
        """Answer a request, in the hub.

        :param request: The request.
        :param left: Time until the deadline of the call, in seconds.
        """
        fault = _find_fault(request)
        if fault:
            self._log_rejected(fault)
            return _refuse(fault)
        if self._active >= timing.MAX_RELAYED_IN:
            return _refuse("too many relayed requests at once")
        given = min(
            request.remaining_ms / 1000,
            left,
            timing.REQUEST_BUDGET_S,
        )
        remaining = given - timing.RELAY_MARGIN_S
        if remaining <= 0:
            return _refuse("no time is left for the request")
        self._active += 1
        try:
            return _encode(self._handle(_read_request(request, remaining)))
        except Exception:
            # It may have been carried out before the error.
            logs.write_failure("task.failed", message="relayed request")
            return rackvalve_pb2.RelayAnswer(
                status=_UNKNOWN, reason="the peer met an unexpected error"
            )
        finally:
            self._active -= 1

    def _log_rejected(self, reason: str) -> None:
        """Log a rejection, once for each reason."""
        if (
            reason not in self._rejected
            and len(self._rejected) < timing.MAX_RELAY_REJECTIONS
        ):
            self._rejected.add(reason)
            logs.write_warning("relay.rejected", reason=reason)


class RelayServer:
    """Server of one manager.

    :param bridge: Runs functions in the hub.
    :param handle: Answers one request.
    """

    __slots__ = ("_server",)

    def __init__(
        self, bridge: hub_bridge.HubBridge, handle: relay.Handle
    ) -> None:
        self._server = channels.make_server(
            hub_bridge.ThreadExecutor(), limit=timing.MAX_RELAY_CALLS
        )
        rackvalve_pb2_grpc.add_PeerServicer_to_server(
            RelayServicer(bridge, handle), self._server
        )

    def listen(self, host: str, ports: range) -> str:
        """Take the first free port and serve.

        :param host: IP address.
        :param ports: Ports to try, in order.
        :return: The ``IP:PORT`` taken; empty if no port is free.
        """
        for port in ports:
            address = f"{host}:{port}"
            if channels.listen(self._server, address):
                self._server.start()
                return address
        return ""

    def stop(self) -> None:
        """Serve no more."""
        self._server.stop(grace=None)


def _find_fault(request: rackvalve_pb2.RelayRequest) -> str:
    """Return why a request is rejected unread; empty if it is not."""
    if request.release != version.VERSION:
        return (
            f"the sender's release {request.release[:20]!r} is not "
            f"{version.VERSION}: run the same one on all managers"
        )
    if request.hops != _HOPS:
        return f"the request was relayed {request.hops} times, not once"
    return ""


def _read_request(
    request: rackvalve_pb2.RelayRequest, remaining: float
) -> relay.RelayedRequest:
    return relay.RelayedRequest(
        method=request.method,
        host=request.host,
        path=request.path,
        key=request.key if request.HasField("key") else None,
        body=request.body,
        remaining=remaining,
    )


def _encode(answer: relay.Answered) -> rackvalve_pb2.RelayAnswer:
    return rackvalve_pb2.RelayAnswer(
        status=answer.status,
        body=answer.body,
        retry_after_s=answer.retry_after,
        reason=answer.reason,
    )


def _refuse(reason: str) -> rackvalve_pb2.RelayAnswer:
    return rackvalve_pb2.RelayAnswer(
        status=_REFUSED,
        retry_after_s=timing.RETRY_AFTER_S,
        reason=reason,
    )


def make_server(
    bridge: hub_bridge.HubBridge, handle: relay.Handle
) -> relay.Server:
    """Make the server of this manager.

    :param bridge: Runs functions in the hub.
    :param handle: Answers one request.
    """
    return RelayServer(bridge, handle)
