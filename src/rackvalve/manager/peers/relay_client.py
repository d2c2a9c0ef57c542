"""Sends callers' requests to peers by gRPC."""

from __future__ import annotations

from collections.abc import Callable
import functools
import http
from typing import Any

import grpc

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager.peers import relay
from rackvalve.manager import timing
from rackvalve.rpc import channels
from rackvalve.rpc import hub_bridge
from rackvalve.rpc import rackvalve_pb2
from rackvalve.rpc import rackvalve_pb2_grpc
from rackvalve import version

# A channel that has carried no call for this long is closed, in seconds: an
# outage of the store for some managers lasts up to 9 s.
CHANNEL_IDLE_S = 60.0
# Beginning of gRPC's text for a call that was never put on a connection.  If
# a later release of gRPC words it otherwise, such calls count as unknown.
_NO_CONNECTION = "failed to connect to all addresses"
# Statuses with which a job API answers.
_STATUSES = frozenset(
    {
        http.HTTPStatus.OK,
        http.HTTPStatus.BAD_REQUEST,
        http.HTTPStatus.UNAUTHORIZED,
        http.HTTPStatus.FORBIDDEN,
        http.HTTPStatus.NOT_FOUND,
        http.HTTPStatus.METHOD_NOT_ALLOWED,
        http.HTTPStatus.GONE,
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        http.HTTPStatus.GATEWAY_TIMEOUT,
    }
)
_MAX_REASON = 120


class RelayClient:
    """Client of all peers.

    :param bridge: Runs functions in the hub.
    """

    __slots__ = ("_bridge", "_channels", "_used", "_rejected")

    def __init__(self, bridge: hub_bridge.HubBridge) -> None:
        self._bridge = bridge
        self._channels: dict[str, grpc.Channel] = {}
        # When each channel was last used, in seconds.
        self._used: dict[str, float] = {}
        # Peers and reasons of rejections that were logged.
        self._rejected: set[tuple[str, str]] = set()

    def send(
        self,
        address: str,
        request: relay.RelayedRequest,
        on_end: Callable[[relay.Outcome], None],
    ) -> None:
        """Send a request without waiting.

        :param address: ``IP:PORT`` of the peer.
        :param request: The request.
        :param on_end: Called once, in a greenlet, with the outcome.
        """
        try:
            message = _encode(request)
        except ValueError as error:
            unsent = relay.NotSent(reason=f"no message: {error}")
            self._bridge.post(functools.partial(on_end, unsent))
            return
        channel = self._get_channel(address, clocks.read_steady())
        call = rackvalve_pb2_grpc.PeerStub(channel).Relay.future(
            message, timeout=request.remaining
        )
        end = functools.partial(self._end, address, call, on_end)
        call.add_done_callback(lambda _: self._bridge.post(end))

    def _end(
        self,
        address: str,
        call: Any,
        on_end: Callable[[relay.Outcome], None],
    ) -> None:
        outcome: relay.Outcome
        try:
            outcome = _read_outcome(call)
        except Exception as error:
            # Whoever waits for the outcome would wait for its whole time.
            logs.write_failure("task.failed", message="answer of a peer")
            on_end(relay.Unanswered(reason=repr(error)[:_MAX_REASON]))
            return
        if isinstance(outcome, relay.Unanswered | relay.NotSent):
            self._log_rejected(address, call.code(), outcome.reason)
        on_end(outcome)

    def _log_rejected(
        self, address: str, code: grpc.StatusCode, reason: str
    ) -> None:
        """Log, once for each peer, an answer that no peer should give."""
        if code not in (grpc.StatusCode.OK, grpc.StatusCode.UNIMPLEMENTED):
            return
        if (address, reason) not in self._rejected and len(
            self._rejected
        ) < timing.MAX_RELAY_REJECTIONS:
            self._rejected.add((address, reason))
            logs.write_warning("relay.rejected", peer=address, reason=reason)

    def _get_channel(self, address: str, now: float) -> grpc.Channel:
        for known, used in list(self._used.items()):
            if known != address and now - used > CHANNEL_IDLE_S:
                del self._used[known]
                self._channels.pop(known).close()
        if address not in self._channels:
            self._channels[address] = channels.make_channel(address)
        self._used[address] = now
        return self._channels[address]


def _encode(request: relay.RelayedRequest) -> rackvalve_pb2.RelayRequest:
    return rackvalve_pb2.RelayRequest(
        method=request.method,
        host=request.host,
        path=request.path,
        key=request.key,
        body=request.body,
        remaining_ms=int(request.remaining * 1000),
        hops=1,
        release=version.VERSION,
    )


def _read_outcome(call: Any) -> relay.Outcome:
    """Return what became of a call that has ended."""
    code = call.code()
    if code is grpc.StatusCode.OK:
        return _read_answer(call.result())
    reason = f"{code.name}: {call.details() or ''}"[:_MAX_REASON]
    if code is grpc.StatusCode.UNIMPLEMENTED:
        return relay.NotSent(reason=reason)
    if code is grpc.StatusCode.UNAVAILABLE and (
        call.details() or ""
    ).startswith(_NO_CONNECTION):
        return relay.NotSent(reason=reason)
    return relay.Unanswered(reason=reason)


def _read_answer(answer: rackvalve_pb2.RelayAnswer) -> relay.Outcome:
    if answer.status not in _STATUSES:
        return relay.Unanswered(
            reason=f"the peer's answer has the status {answer.status}"
        )
    return relay.Answered(
        status=answer.status,
        body=answer.body,
        retry_after=min(answer.retry_after_s, timing.MAX_RETRY_AFTER_OUTAGE_S),
        reason=answer.reason[:_MAX_REASON],
    )


def make_client(bridge: hub_bridge.HubBridge) -> relay.Client:
    """Make the client of all peers.

    :param bridge: Runs functions in the hub.
    """
    return RelayClient(bridge)
