"""Sources of a steward's documents: the platform, peers and its entry.

Only the acting steward watches the platform; the others poll their peers of
the hall.  The number of open watches thus grows with the number of halls,
not of VMs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import grpc

from rackvalve import codec
from rackvalve.configuration import document
from rackvalve.fleet import record
from rackvalve.keyvalue import port
from rackvalve import logs
from rackvalve.rpc import channels
from rackvalve.rpc import documents as document_module
from rackvalve.rpc import rackvalve_pb2
from rackvalve.rpc import rackvalve_pb2_grpc
from rackvalve.steward import keeper as keepers

if TYPE_CHECKING:
    from collections.abc import Callable

    from rackvalve.settings import kinds

PEER_WAIT_S = 10.0
PEER_MARGIN_S = 2.0
RETRY_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 1.0
ENTRY_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 2.0


class PlatformSource:
    """Watches documents on the platform while this steward is acting.

    :param hall: Name of the hall.
    :param platform: The port to the platform.
    :param keeper: Receives the documents.
    :param watch_time: Length of one watch, in seconds.
    """

    def __init__(
        self,
        hall: str,
        *,
        platform: port.Platform,
        keeper: keepers.Keeper,
        watch_time: float,
    ) -> None:
        self._hall = hall
        self._platform = platform
        self._keeper = keeper
        self._watch_time = watch_time
        self._failing = False
        self._watched: set[str] = set()

    def start(self) -> None:
        """Load the documents and start to watch them."""
        gevent.spawn(self._load_documents)
        for key in (document.KEY, record.get_key(self._hall)):
            self._watch(key, key)

    def _watch(self, key: str, name: str) -> None:
        self._watched.add(name)
        gevent.spawn(self._watch_forever, key, name)

    def _load_documents(self) -> None:
        for key in (document.KEY, record.get_key(self._hall)):
            self._handle_value(key, key, self._platform.read(key))
        self._watch_divisions()

    def _watch_divisions(self) -> None:
        """Watch the records of the other halls that own keys."""
        configuration, _ = self._keeper.get_configuration()
        for hall in configuration.key_halls:
            name = record.get_division_name(hall)
            if hall != self._hall and name not in self._watched:
                self._watch(record.get_key(hall), name)

    def _watch_forever(self, key: str, name: str) -> None:
        while True:
            if not self._keeper.acting:
                gevent.sleep(RETRY_INTERVAL_S)
                continue
            after = self._keeper.documents.get_revision(name)
            value = self._platform.watch(key, after, self._watch_time)
            self._handle_value(key, name, value)
            if isinstance(value, port.Failed):
                gevent.sleep(RETRY_INTERVAL_S)
            if name == document.KEY:
                gevent.sleep(0)
                self._watch_divisions()

    def _handle_value(
        self,
        key: str,
        name: str,
        value: port.Value | port.Unchanged | port.Failed,
    ) -> None:
        if isinstance(value, port.Failed):
            if not self._failing:
                logs.write_warning("platform.failed", reason=value.reason)
            self._failing = True
            return
        if self._failing:
            logs.write_event("platform.answered")
        self._failing = False
        self._keeper.post(keepers.SourceHeard(0.0))
        if isinstance(value, port.Unchanged) or not value.revision:
            return
        payload = value.payload
        if name != key:
            division = record.decode(payload).division
            payload = codec.encode(division)
        self._keeper.post(
            keepers.DocumentOffered(
                document_module.Document(
                    name=name, revision=value.revision, payload=payload
                )
            )
        )
        if name == record.get_key(self._hall):
            self._keeper.post(keepers.SourceDrained(keepers.PLATFORM))


class PeerSource:
    """Long-polls one other steward of the hall for documents.

    :param address: Address of the peer.
    :param vm: Identity of this VM.
    :param hall: Name of the hall.
    :param keeper: Receives the documents.
    :param clock: Reads the steady clock, in seconds.
    """

    def __init__(
        self,
        address: kinds.Address,
        *,
        vm: str,
        hall: str,
        keeper: keepers.Keeper,
        clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._hall = hall
        self._keeper = keeper
        self._clock = clock
        self._stub = rackvalve_pb2_grpc.StewardStub(
            channels.make_channel(str(address))
        )
        self._acting_seen_at: float | None = None

    def start(self) -> None:
        """Start to poll the peer."""
        gevent.spawn(self._poll_forever)

    def is_acting(self, within: float) -> bool:
        """Return whether the peer recently reported to be acting.

        :param within: Maximum age of that answer, in seconds.
        """
        if self._acting_seen_at is None:
            return False
        return self._clock() - self._acting_seen_at <= within

    def send_reports(self, reports: list[record.Report]) -> None:
        """Forward reports of this VM's entry to the peer.

        :param reports: The reports.
        """
        message = rackvalve_pb2.Reports(
            payloads=[codec.encode(report) for report in reports]
        )
        try:
            received = self._stub.Report(message, timeout=REPORT_TIMEOUT_S)
        except grpc.RpcError:
            return
        self._keeper.post(keepers.RoundHeard(received.round))

    def execute(self, payload: bytes) -> bytes | None:
        """Execute a command on the peer.

        :param payload: The encoded command.
        :return: The encoded answer; ``None`` if the call failed.
        """
        request = rackvalve_pb2.Command(payload=payload)
        try:
            answer = self._stub.Execute(request, timeout=COMMAND_TIMEOUT_S)
        except grpc.RpcError:
            return None
        return bytes(answer.payload)

    def _poll_forever(self) -> None:
        while True:
            known = self._keeper.documents.get_revisions()
            request = document_module.make_request(known, PEER_WAIT_S)
            try:
                accepted = self._stub.Fetch(
                    request, timeout=PEER_WAIT_S + PEER_MARGIN_S
                )
            except grpc.RpcError:
                self._acting_seen_at = None
                gevent.sleep(RETRY_INTERVAL_S)
                continue
            self._handle_accepted(accepted)

    def _handle_accepted(self, accepted: rackvalve_pb2.Accepted) -> None:
        if accepted.acting:
            self._keeper.post(keepers.RoundHeard(accepted.round))
        self._acting_seen_at = self._clock() if accepted.acting else None
        if accepted.age_s >= 0:
            self._keeper.post(keepers.SourceHeard(accepted.age_s))
        for message in accepted.documents:
            self._keeper.post(
                keepers.DocumentOffered(document_module.from_message(message))
            )
        if accepted.trusted:
            self._keeper.post(keepers.SourceDrained(accepted.vm))


def fetch_from_entry(
    stub: rackvalve_pb2_grpc.EntryStub, keeper: keepers.Keeper
) -> bool:
    """Fetch the documents that the entry of this VM holds.

    :param stub: The entry.
    :param keeper: Receives the documents.
    :return: Whether the entry answered.
    """
    request = document_module.make_request({}, 0.0)
    try:
        accepted = stub.Fetch(request, timeout=ENTRY_TIMEOUT_S)
    except grpc.RpcError:
        return False
    for message in accepted.documents:
        keeper.post(
            keepers.DocumentOffered(document_module.from_message(message))
        )
    if accepted.documents:
        keeper.post(keepers.SourceDrained(keepers.OWN_ENTRY))
    return True
