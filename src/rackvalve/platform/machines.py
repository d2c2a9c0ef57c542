"""Client of the platform's VM API: lists VMs, orders moves and maintenance.

The answers do not identify their call, so each call uses a connection once.
"""

from __future__ import annotations

import dataclasses
import urllib.parse

import msgspec

from rackvalve import codec
from rackvalve import errors
from rackvalve.platform import connections
from rackvalve.platform import documents
from rackvalve.scheduling import fleet

STATUS_OK = 200
STATUS_UNKNOWN_VM = 400
STATUS_REJECTED = 409
REASON_UNKNOWN_VM = "no such VM or pool"
# Permanent rejections: the VM does not exist or does not belong to the wave.
FINAL_REASONS = frozenset({REASON_UNKNOWN_VM, "wave"})


_CONDITIONS = {
    "up": fleet.Condition.UP,
    "moving": fleet.Condition.MOVING,
    "upkeep": fleet.Condition.MAINTAINED,
    "down": fleet.Condition.DOWN,
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Ordered:
    """The platform has accepted the order, now or earlier."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Rejected:
    """The platform has rejected the order.

    :param reason: The platform's reason, for logs.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unavailable:
    """A call without a usable answer; an order may have been accepted.

    :param reason: Cause of the failure, for logs.
    """

    reason: str


class _WireVm(msgspec.Struct):
    machine: str
    pool: str = ""
    state: str = "down"
    zone: str = ""
    id: str | None = None
    # Only the rack is read from it: a malformed value must not cost the list.
    labels: object = None


class _WireList(msgspec.Struct):
    machines: list[_WireVm] = []
    next: str | int | None = msgspec.field(default=None, name="next-token")


class _WireReason(msgspec.Struct):
    reason: str = ""


class Machines:
    """Client of the platform's VM API.

    :param client: HTTP client of the API.
    :param holder: Name of this process, sent with each order.
    :param timeout: Longest wait for an answer, in seconds.
    """

    __slots__ = ("_client", "_holder", "_timeout")

    def __init__(
        self,
        client: connections.HttpClient,
        holder: str,
        *,
        timeout: float,
    ) -> None:
        self._client = client
        self._holder = holder
        self._timeout = timeout

    def list_vms(self) -> list[fleet.Vm] | Unavailable:
        """List all VMs, page by page."""
        vms: list[fleet.Vm] = []
        path = "/machines"
        while True:
            raw = self._client.exchange(
                "GET", path, timeout=self._timeout, single_use=True
            )
            page = _read_page(raw)
            if isinstance(page, Unavailable):
                return page
            for wire in page.machines:
                vm = _read_vm(wire)
                if isinstance(vm, Unavailable):
                    return vm
                vms.append(vm)
            if not page.next:
                return vms
            token = urllib.parse.quote(str(page.next), safe="")
            path = f"/machines?page-token={token}"

    def move(
        self, vm: str, pool: str, fence: int
    ) -> Ordered | Rejected | Unavailable:
        """Move a VM to another pool, which ends all runs on it.

        :param vm: The VM.
        :param pool: The new pool.
        :param fence: Fencing token of the sender.
        """
        return self._order(
            "/machine-move", {"machine": vm, "pool": pool}, fence
        )

    def maintain(
        self, vm: str, wave: int, fence: int
    ) -> Ordered | Rejected | Unavailable:
        """Start the maintenance of a VM, which ends all runs on it.

        :param vm: The VM.
        :param wave: Number of the maintenance wave that lists the VM.
        :param fence: Fencing token of the sender.
        """
        return self._order(
            "/machine-upkeep", {"machine": vm, "wave": wave}, fence
        )

    def _order(
        self, path: str, order: dict[str, str | int], fence: int
    ) -> Ordered | Rejected | Unavailable:
        raw = self._client.exchange(
            "POST",
            path,
            msgspec.json.encode(order),
            headers=(
                ("Lease-Holder", self._holder),
                ("Fencing-Token", str(fence)),
            ),
            timeout=self._timeout,
            single_use=True,
        )
        if isinstance(raw, connections.NoAnswer):
            return Unavailable(reason=raw.reason)
        if raw.status == STATUS_OK:
            return Ordered()
        if raw.status == STATUS_UNKNOWN_VM:
            return Rejected(reason=REASON_UNKNOWN_VM)
        if raw.status != STATUS_REJECTED:
            return Unavailable(reason=f"status {raw.status}")
        try:
            wire = codec.decode_as(raw.body, _WireReason)
        except errors.DocumentInvalidError as error:
            return Unavailable(reason=repr(error))
        return Rejected(reason=wire.reason)


def _read_page(
    raw: connections.Answer | connections.NoAnswer,
) -> _WireList | Unavailable:
    if isinstance(raw, connections.NoAnswer):
        return Unavailable(reason=raw.reason)
    if raw.status != STATUS_OK:
        return Unavailable(reason=f"status {raw.status}")
    try:
        return codec.decode_as(raw.body, _WireList)
    except errors.DocumentInvalidError as error:
        return Unavailable(reason=repr(error))


def _read_vm(wire: _WireVm) -> fleet.Vm | Unavailable:
    condition = _CONDITIONS.get(wire.state)
    if condition is None:
        return Unavailable(reason=f"unknown VM state {wire.state!r}")
    return fleet.Vm(
        identity=wire.machine,
        pool=wire.pool,
        condition=condition,
        worker=wire.id or "",
        hall=wire.zone,
        rack=_read_rack(wire.labels),
    )


def _read_rack(labels: object) -> str:
    """Return the rack that a VM's labels name, or an empty text."""
    if not isinstance(labels, list) or len(labels) <= documents.RACK_LABEL:
        return ""
    rack = labels[documents.RACK_LABEL]
    return rack if isinstance(rack, str) else ""
