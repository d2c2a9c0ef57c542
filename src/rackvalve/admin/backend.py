"""Client of this VM's steward and of the entries."""

from __future__ import annotations

import dataclasses
from typing import TypeVar

import grpc
import msgspec

from rackvalve.admin import problems
from rackvalve.burn import ledger
from rackvalve.burn import objectives
from rackvalve import codec
from rackvalve import commands
from rackvalve import errors
from rackvalve.rpc import channels
from rackvalve.rpc import rackvalve_pb2
from rackvalve.rpc import rackvalve_pb2_grpc

T = TypeVar("T")

COMMAND_TIMEOUT_S = 10.0
EXPLAIN_TIMEOUT_S = 1.0

_STATUS_DECODER = msgspec.json.Decoder(commands.Status)
_OPERATORS_DECODER = msgspec.json.Decoder(commands.Operators)
_ANSWER_DECODER = msgspec.json.Decoder(commands.Answer)
_COUNTS_DECODER = msgspec.json.Decoder(list[ledger.Count])


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Explained:
    """Trace of a request, as recorded by an entry.

    :param entry: The entry's VM.
    :param trace: Trace of the request, as JSON.
    :param missing: Entries that did not answer.
    """

    entry: str
    trace: msgspec.Raw
    missing: list[str]


class Backend:
    """Executes calls to other processes for the administration API.

    :param steward: Address of the steward, ``IP:PORT``.
    """

    def __init__(self, steward: str) -> None:
        self._steward = rackvalve_pb2_grpc.StewardStub(
            channels.make_channel(steward)
        )
        self._entries: dict[str, rackvalve_pb2_grpc.EntryStub] = {}

    def execute(
        self, command: commands.Command
    ) -> commands.Answer | commands.Status | problems.Problem:
        """Execute a command on the steward.

        :param command: The command.
        """
        reply = self._call(command)
        if isinstance(reply, problems.Problem):
            return reply
        if isinstance(command, commands.ShowStatus):
            return self._decode(_STATUS_DECODER, reply)
        return self._decode(_ANSWER_DECODER, reply)

    def _call(self, command: commands.Command) -> bytes | problems.Problem:
        request = rackvalve_pb2.Command(payload=commands.encode(command))
        try:
            reply = self._steward.Execute(request, timeout=COMMAND_TIMEOUT_S)
        except grpc.RpcError as error:
            return problems.make_unreachable(f"steward: {error.code().name}")
        return bytes(reply.payload)

    def _decode(
        self, decoder: msgspec.json.Decoder[T], payload: bytes
    ) -> T | problems.Problem:
        try:
            return codec.decode(decoder, payload)
        except errors.DocumentInvalidError as error:
            return problems.make_unreachable(f"steward: {error.reason}")

    def list_operators(self) -> commands.Operators | problems.Problem:
        """Return the operators of the accepted configuration."""
        reply = self._call(commands.ShowOperators())
        if isinstance(reply, problems.Problem):
            return reply
        return self._decode(_OPERATORS_DECODER, reply)

    def explain(self, request_id: str) -> Explained | problems.Problem:
        """Fetch the trace of a request from the entries of the hall.

        :param request_id: Identifier of the request.
        """
        status = self.execute(commands.ShowStatus())
        if not isinstance(status, commands.Status):
            return problems.make_unreachable("steward: no status")
        request = rackvalve_pb2.ExplainRequest(request_id=request_id)
        missing = []
        for vm, address in status.hall.division.addresses.items():
            try:
                found = self._get_entry(address).Explain(
                    request, timeout=EXPLAIN_TIMEOUT_S
                )
            except grpc.RpcError:
                missing.append(vm)
                continue
            if found.found:
                return Explained(
                    entry=vm,
                    trace=msgspec.Raw(found.payload),
                    missing=missing,
                )
        detail = f"request {request_id!r} is not known in this hall"
        if missing:
            detail += "; no answer from " + ", ".join(missing)
        return problems.make_missing(detail)

    def gather_burn(self) -> objectives.Report | problems.Problem:
        """Collect the counts of all halls' entries and evaluate them."""
        status = self.execute(commands.ShowStatus())
        if not isinstance(status, commands.Status):
            return problems.make_unreachable("steward: no status")
        divisions = {
            **status.divisions,
            status.hall_name: status.hall.division,
        }
        reached, missing = [], []
        counts: list[ledger.Count] = []
        for hall, division in sorted(divisions.items()):
            for vm in division.entries:
                found = self._fetch_counts(division.addresses.get(vm, ""))
                if found is None:
                    missing.append(f"entry {vm} of hall {hall}")
                    continue
                reached.append(vm)
                counts.extend(found)
        for hall in status.configuration.key_halls:
            if hall not in divisions or not divisions[hall].entries:
                missing.append(f"hall {hall}, which has no entry")
        return objectives.Report(
            burns=objectives.judge(status.configuration.objectives, counts),
            missing=missing,
            reached=reached,
        )

    def _fetch_counts(self, address: str) -> list[ledger.Count] | None:
        if not address:
            return None
        try:
            reply = self._get_entry(address).Inspect(
                rackvalve_pb2.Command(), timeout=EXPLAIN_TIMEOUT_S
            )
            return codec.decode(_COUNTS_DECODER, reply.payload)
        except (grpc.RpcError, errors.DocumentInvalidError):
            return None

    def _get_entry(self, address: str) -> rackvalve_pb2_grpc.EntryStub:
        stub = self._entries.get(address)
        if stub is None:
            stub = rackvalve_pb2_grpc.EntryStub(channels.make_channel(address))
            self._entries[address] = stub
        return stub
