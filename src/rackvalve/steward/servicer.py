"""gRPC service of the steward for entries, peers and administration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rackvalve import errors
from rackvalve.fleet import record
from rackvalve import logs
from rackvalve.rpc import documents as document_module
from rackvalve.rpc import rackvalve_pb2
from rackvalve.rpc import rackvalve_pb2_grpc
from rackvalve.steward import keeper as keepers

if TYPE_CHECKING:
    from collections.abc import Callable

    import grpc

    from rackvalve.steward import executor as executors

WAIT_MAX_S = 60.0


class StewardServicer(rackvalve_pb2_grpc.StewardServicer):
    """Serves other processes of the system.

    :param vm: Identity of the VM.
    :param keeper: State of the steward.
    :param executor: Executes commands.
    :param forward_reports: Sends the reports of this VM's entry to the
        acting steward.
    """

    def __init__(
        self,
        *,
        vm: str,
        keeper: keepers.Keeper,
        executor: executors.Executor,
        forward_reports: Callable[[list[record.Report]], None],
    ) -> None:
        self._vm = vm
        self._keeper = keeper
        self._executor = executor
        self._forward_reports = forward_reports

    def Fetch(
        self,
        request: rackvalve_pb2.FetchRequest,
        context: grpc.ServicerContext,
    ) -> rackvalve_pb2.Accepted:
        """Return documents newer than those known; wait if there are none."""
        wait = min(max(request.wait_s, 0.0), WAIT_MAX_S)
        known = document_module.read_known(request)
        newer = self._keeper.documents.wait_newer(known, wait)
        if not self._keeper.trusted:
            newer = []
        return rackvalve_pb2.Accepted(
            documents=document_module.to_messages(newer),
            acting=self._keeper.acting,
            age_s=self._keeper.get_age(),
            vm=self._vm,
            round=self._keeper.round,
            trusted=self._keeper.trusted,
        )

    def Report(
        self,
        request: rackvalve_pb2.Reports,
        context: grpc.ServicerContext,
    ) -> rackvalve_pb2.Received:
        """Receive reports of entries."""
        own = []
        for payload in request.payloads:
            try:
                report = record.decode_report(payload)
            except errors.DocumentInvalidError as error:
                logs.write_warning("document.rejected", reason=error.reason)
                continue
            self._keeper.post(keepers.ReportReceived(report))
            if report.vm == self._vm:
                own.append(report)
        if own and not self._keeper.acting:
            self._forward_reports(own)
        return rackvalve_pb2.Received(round=self._keeper.round)

    def Execute(
        self,
        request: rackvalve_pb2.Command,
        context: grpc.ServicerContext,
    ) -> rackvalve_pb2.CommandAnswer:
        """Execute an operator's command or query."""
        return rackvalve_pb2.CommandAnswer(
            payload=self._executor.execute(request.payload)
        )
