"""gRPC service of the entry for other processes of the system."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rackvalve.burn import objectives
from rackvalve import clocks
from rackvalve import codec
from rackvalve import outcomes
from rackvalve.requests import keys
from rackvalve.rpc import documents as document_module
from rackvalve.rpc import rackvalve_pb2
from rackvalve.rpc import rackvalve_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable

    import grpc

    from rackvalve.burn import ledger as ledgers
    from rackvalve.entry import dispatcher as dispatchers
    from rackvalve.entry import follower as followers
    from rackvalve.entry import traces

NEVER = -1.0


class EntryServicer(rackvalve_pb2_grpc.EntryServicer):
    """Serves stewards, the administration API and other entries.

    :param vm: Identity of the VM.
    :param hall: Its data hall.
    :param registry: The idempotency keys that this process owns.
    :param history: Traces of recent requests.
    :param ledger: Counts for the burn report.
    :param dispatcher: Holds the documents in force.
    :param follower: Holds the documents received.
    :param clock: Reads the wall clock, in seconds.
    """

    def __init__(
        self,
        *,
        vm: str,
        hall: str,
        registry: keys.KeyRegistry,
        history: traces.Traces,
        ledger: ledgers.Ledger,
        dispatcher: dispatchers.Dispatcher,
        follower: followers.Follower,
        clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._hall = hall
        self._registry = registry
        self._history = history
        self._ledger = ledger
        self._dispatcher = dispatcher
        self._follower = follower
        self._clock = clock

    def Fetch(
        self,
        request: rackvalve_pb2.FetchRequest,
        context: grpc.ServicerContext,
    ) -> rackvalve_pb2.Accepted:
        """Return the documents received, for a steward that restarts."""
        known = document_module.read_known(request)
        newer = self._follower.documents.list_newer(known)
        return rackvalve_pb2.Accepted(
            documents=document_module.to_messages(newer), vm=self._vm
        )

    def Explain(
        self,
        request: rackvalve_pb2.ExplainRequest,
        context: grpc.ServicerContext,
    ) -> rackvalve_pb2.Explanation:
        """Return the trace of one request."""
        trace = self._history.find(request.request_id)
        if trace is None:
            return rackvalve_pb2.Explanation(found=False)
        return rackvalve_pb2.Explanation(
            found=True, payload=codec.encode(trace)
        )

    def Inspect(
        self,
        request: rackvalve_pb2.Command,
        context: grpc.ServicerContext,
    ) -> rackvalve_pb2.CommandAnswer:
        """Return the counts for the burn report."""
        now = clocks.read_steady()
        counts = [
            count
            for window in objectives.WINDOWS
            for count in self._ledger.count(window, now)
        ]
        return rackvalve_pb2.CommandAnswer(payload=codec.encode(counts))

    def Claim(
        self,
        request: rackvalve_pb2.ClaimRequest,
        context: grpc.ServicerContext,
    ) -> rackvalve_pb2.ClaimAnswer:
        """Grant the right to run a key's request, at most once."""
        view = self._dispatcher.admission.view
        if view is None or request.hall != self._hall:
            return rackvalve_pb2.ClaimAnswer(
                reason=outcomes.Reason.OWNER_UNREACHABLE.value,
                detail="Idempotency-Key: its owner is not ready",
                retry_after_s=keys.OWNER_CHANGE_RETRY_AFTER_S,
            )
        claim = self._registry.claim(
            view.hall.division,
            request.workspace,
            request.key,
            request.claimant,
            self._clock(),
        )
        if not isinstance(claim, outcomes.Refused):
            return rackvalve_pb2.ClaimAnswer()
        retry_after = claim.retry_after
        return rackvalve_pb2.ClaimAnswer(
            reason=claim.reason.value,
            detail=claim.detail,
            retry_after_s=NEVER if retry_after is None else retry_after,
        )

    def Settle(
        self,
        request: rackvalve_pb2.SettleRequest,
        context: grpc.ServicerContext,
    ) -> rackvalve_pb2.Received:
        """Record the outcome of a key's request."""
        if keys.read_created(request.key) is not None:
            self._registry.settle(
                request.workspace,
                request.key,
                request.claimant,
                request.outcome,
                request.request_id,
            )
        return rackvalve_pb2.Received()
