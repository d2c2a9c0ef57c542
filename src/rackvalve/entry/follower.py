"""Client of the local steward: receives documents, sends reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent import event
import grpc

from rackvalve import codec
from rackvalve.configuration import document
from rackvalve.entry import claims as claim_module
from rackvalve.entry import messages
from rackvalve import errors
from rackvalve.fleet import record
from rackvalve import logs
from rackvalve.requests import admission as admissions
from rackvalve.rpc import documents as document_module
from rackvalve.rpc import rackvalve_pb2

if TYPE_CHECKING:
    from rackvalve.entry import dispatcher as dispatchers
    from rackvalve.rpc import rackvalve_pb2_grpc

FETCH_WAIT_S = 10.0
FETCH_MARGIN_S = 2.0
RETRY_DELAY_S = 0.2
REPORT_TIMEOUT_S = 2.0


class Follower:
    """Keeps the documents of an entry in sync with its steward.

    :param vm: Identity of the entry's VM.
    :param hall: Its data hall.
    :param incarnation: Identifier of this process.
    :param address: Address of this entry for other processes.
    :param stub: The steward.
    :param dispatcher: Applies the documents.
    :param claims: Receives the map of key owners.
    :param interval: Time between reports when nothing changes, in seconds.
    """

    def __init__(
        self,
        *,
        vm: str,
        hall: str,
        incarnation: str,
        address: str,
        stub: rackvalve_pb2_grpc.StewardStub,
        dispatcher: dispatchers.Dispatcher,
        claims: claim_module.Claims,
        interval: float,
    ) -> None:
        self._vm = vm
        self._hall = hall
        self._incarnation = incarnation
        self._address = address
        self._stub = stub
        self._dispatcher = dispatcher
        self._claims = claims
        self._interval = interval
        self._documents = document_module.Documents()
        self._report_wanted = event.Event()
        self._leaving = False
        self._round = ""

    @property
    def documents(self) -> document_module.Documents:
        """The documents received so far."""
        return self._documents

    def start(self) -> None:
        """Start to poll the steward and to send reports."""
        self._dispatcher.set_listener(self._report_wanted.set)
        gevent.spawn(self._poll_forever)
        gevent.spawn(self._report_forever)

    def announce_leaving(self) -> None:
        """Report that this entry accepts no more requests."""
        self._leaving = True
        self._report_wanted.set()

    def _poll_forever(self) -> None:
        while True:
            request = document_module.make_request(
                self._documents.get_revisions(), FETCH_WAIT_S
            )
            try:
                accepted = self._stub.Fetch(
                    request, timeout=FETCH_WAIT_S + FETCH_MARGIN_S
                )
            except grpc.RpcError:
                gevent.sleep(RETRY_DELAY_S)
                continue
            self._handle_accepted(accepted)

    def _handle_accepted(self, accepted: rackvalve_pb2.Accepted) -> None:
        self._handle_round(accepted.round)
        changed = False
        for message in accepted.documents:
            offered = document_module.from_message(message)
            changed = self._documents.offer(offered) or changed
        if not changed:
            return
        try:
            view = self._make_view()
            key_map = self._make_key_map(view)
        except errors.DocumentInvalidError as error:
            logs.write_warning("document.rejected", reason=error.reason)
            return
        if key_map is not None:
            self._claims.set_map(key_map)
        if view is not None:
            self._dispatcher.post(messages.ViewOffered(view))

    def _make_view(self) -> admissions.View | None:
        configuration = self._documents.get(document.KEY)
        hall = self._documents.get(record.get_key(self._hall))
        if configuration is None or hall is None:
            return None
        return admissions.View(
            configuration=document.decode(configuration.payload),
            configuration_revision=configuration.revision,
            hall=record.decode(hall.payload),
            hall_revision=hall.revision,
        )

    def _make_key_map(
        self, view: admissions.View | None
    ) -> claim_module.KeyMap | None:
        if view is None:
            return None
        divisions = {}
        for hall in view.configuration.key_halls:
            if hall == self._hall:
                divisions[hall] = view.hall.division
                continue
            found = self._documents.get(record.get_division_name(hall))
            if found is not None:
                divisions[hall] = record.decode_division(found.payload)
        return claim_module.KeyMap(
            halls=sorted(view.configuration.key_halls), divisions=divisions
        )

    def _report_forever(self) -> None:
        """Send a report after each change and at each interval."""
        while True:
            self._report_wanted.clear()
            self._send(self._make_report())
            self._report_wanted.wait(self._interval)

    def _make_report(self) -> record.Report:
        state = self._dispatcher.admission.acknowledge()
        return record.Report(
            vm=self._vm,
            incarnation=self._incarnation,
            address=self._address,
            configuration_revision=state.configuration_revision,
            hall_revision=state.hall_revision,
            busy=list(state.busy),
            excess=list(state.excess),
            unhealthy=list(state.unhealthy),
            leaving=self._leaving,
            round=self._round,
        )

    def _send(self, report: record.Report) -> None:
        message = rackvalve_pb2.Reports(payloads=[codec.encode(report)])
        try:
            received = self._stub.Report(message, timeout=REPORT_TIMEOUT_S)
        except grpc.RpcError:
            gevent.sleep(RETRY_DELAY_S)
            return
        self._handle_round(received.round)

    def _handle_round(self, name: str) -> None:
        """Send a new report when the acting steward starts a round."""
        if name and name != self._round:
            self._round = name
            self._report_wanted.set()
