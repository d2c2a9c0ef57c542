"""Claims of idempotency keys at their owners, local or remote."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING

import gevent
import grpc

from rackvalve.fleet import shares
from rackvalve import outcomes
from rackvalve.requests import keys
from rackvalve.rpc import channels
from rackvalve.rpc import rackvalve_pb2
from rackvalve.rpc import rackvalve_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from rackvalve.fleet import record
    from rackvalve.requests import job as jobs

CLAIM_TIMEOUT_S = 1.0
SETTLE_TIMEOUT_S = 1.0
SETTLE_ATTEMPTS = 5
SETTLE_RETRY_DELAY_S = 0.5
OWNER_RETRY_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class KeyMap:
    """Owners of keys, as known to this entry.

    :param halls: Halls whose entries own keys, sorted.
    :param divisions: Known divisions of these halls.
    """

    halls: list[str]
    divisions: Mapping[str, record.Division]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Ticket:
    """A granted claim that has to be settled.

    :param owner: Address of the owner; empty if it is this process.
    :param workspace: Workspace of the key.
    :param key: The key.
    :param claimant: Identifier of the claim.
    """

    owner: str
    workspace: str
    key: str
    claimant: str


class Claims:
    """Claims and settles keys for the requests of one entry.

    :param entry: Identity of the entry's VM.
    :param incarnation: Identifier of this process.
    :param registry: The keys that this process owns.
    :param clock: Reads the wall clock, in seconds.
    """

    def __init__(
        self,
        entry: str,
        incarnation: str,
        *,
        registry: keys.KeyRegistry,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._registry = registry
        self._clock = clock
        self._key_map = KeyMap(halls=[], divisions={})
        self._channels: dict[str, grpc.Channel] = {}

    def set_map(self, key_map: KeyMap) -> None:
        """Replace the map of key owners and close unused channels.

        :param key_map: The map.
        """
        self._key_map = key_map
        known = {
            address
            for division in key_map.divisions.values()
            for address in division.addresses.values()
        }
        for address in [key for key in self._channels if key not in known]:
            self._channels.pop(address).close()

    def claim(self, job: jobs.Job) -> Ticket | outcomes.Refused:
        """Request the right to run a request from its key's owner.

        :param job: A request with a key.
        """
        if keys.read_created(job.key) is None:
            return outcomes.Refused(
                reason=outcomes.Reason.FIELD_MALFORMED,
                detail="Idempotency-Key: is no UUID of version 7",
            )
        key = keys.normalize(job.key)
        name = f"{job.workspace}/{key}"
        hall = shares.find_owner(name, self._key_map.halls)
        division = self._key_map.divisions.get(hall or "")
        if hall is None or division is None:
            return _refuse_unreachable("no hall that owns it is known here")
        owner = shares.find_owner(name, division.entries)
        claimant = f"{self._incarnation}/{job.number}"
        if owner == self._entry:
            claim = self._registry.claim(
                division, job.workspace, key, claimant, self._clock()
            )
            if isinstance(claim, outcomes.Refused):
                return claim
            return Ticket(
                owner="", workspace=job.workspace, key=key, claimant=claimant
            )
        address = division.addresses.get(owner or "")
        if address is None:
            return _refuse_unreachable("its owner is not known here")
        ticket = Ticket(
            owner=address,
            workspace=job.workspace,
            key=key,
            claimant=claimant,
        )
        return self._claim_remote(ticket, hall)

    def settle(self, ticket: Ticket, outcome: str, request_id: str) -> None:
        """Report the outcome of a request to its key's owner.

        :param ticket: The granted claim.
        :param outcome: ``served``, ``refused`` or ``unknown``.
        :param request_id: Identifier of the request.
        """
        if not ticket.owner:
            self._registry.settle(
                ticket.workspace,
                ticket.key,
                ticket.claimant,
                outcome,
                request_id,
            )
            return
        gevent.spawn(self._settle_remote, ticket, outcome, request_id)

    def _claim_remote(
        self, ticket: Ticket, hall: str
    ) -> Ticket | outcomes.Refused:
        request = rackvalve_pb2.ClaimRequest(
            key=ticket.key,
            workspace=ticket.workspace,
            claimant=ticket.claimant,
            hall=hall,
        )
        try:
            answer = self._get_stub(ticket.owner).Claim(
                request, timeout=CLAIM_TIMEOUT_S
            )
        except grpc.RpcError as error:
            # The owner may have granted the claim although its answer was
            # lost; the request does not run, so the claim is released.
            gevent.spawn(self._settle_remote, ticket, "refused", "")
            return _refuse_unreachable(
                f"its owner does not answer: {error.code()}"
            )
        if not answer.reason:
            return ticket
        retry_after = answer.retry_after_s
        return outcomes.Refused(
            reason=outcomes.Reason(answer.reason),
            detail=answer.detail,
            retry_after=retry_after if retry_after >= 0 else None,
        )

    def _settle_remote(
        self, ticket: Ticket, outcome: str, request_id: str
    ) -> None:
        request = rackvalve_pb2.SettleRequest(
            key=ticket.key,
            workspace=ticket.workspace,
            outcome=outcome,
            request_id=request_id,
            claimant=ticket.claimant,
        )
        for _ in range(SETTLE_ATTEMPTS):
            try:
                self._get_stub(ticket.owner).Settle(
                    request, timeout=SETTLE_TIMEOUT_S
                )
                return
            except grpc.RpcError:
                gevent.sleep(SETTLE_RETRY_DELAY_S)

    def _get_stub(self, address: str) -> rackvalve_pb2_grpc.EntryStub:
        channel = self._channels.get(address)
        if channel is None:
            channel = channels.make_channel(address)
            self._channels[address] = channel
        return rackvalve_pb2_grpc.EntryStub(channel)


def _refuse_unreachable(detail: str) -> outcomes.Refused:
    return outcomes.Refused(
        reason=outcomes.Reason.OWNER_UNREACHABLE,
        detail=f"Idempotency-Key: {detail}",
        retry_after=OWNER_RETRY_S,
    )
