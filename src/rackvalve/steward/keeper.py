"""State of a steward: accepted documents, reports and its lease."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from rackvalve.configuration import document
from rackvalve.configuration import rules
from rackvalve import errors
from rackvalve.fleet import record
from rackvalve.fleet import transitions
from rackvalve import logs
from rackvalve.rpc import documents as document_module
from rackvalve import tasks

if TYPE_CHECKING:
    from collections.abc import Callable

NEVER_ANSWERED = -1.0
PLATFORM = "platform"
OWN_ENTRY = "own entry"


@dataclasses.dataclass(slots=True, frozen=True)
class DocumentOffered:
    """A document was received from the platform, a peer or the entry.

    :param document: The document.
    """

    document: document_module.Document


@dataclasses.dataclass(slots=True, frozen=True)
class SourceDrained:
    """A source has delivered all its newer documents.

    :param source: VM of the source, or :data:`PLATFORM` or :data:`OWN_ENTRY`.
    """

    source: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReportReceived:
    """An entry's report was received.

    :param report: The report.
    """

    report: record.Report


@dataclasses.dataclass(slots=True, frozen=True)
class VmsListed:
    """The platform listed its VMs.

    :param vms: Their identities.
    """

    vms: frozenset[str]


@dataclasses.dataclass(slots=True, frozen=True)
class SourceHeard:
    """The platform answered this steward or one of its peers.

    :param age: Time since the platform's answer, in seconds.
    """

    age: float


@dataclasses.dataclass(slots=True, frozen=True)
class ActingChanged:
    """This steward became the acting steward of its hall, or lost the role.

    :param acting: Whether it is the acting steward.
    """

    acting: bool


@dataclasses.dataclass(slots=True, frozen=True)
class RoundBegun:
    """This steward starts a round: all holders have to report again.

    :param name: Unique name of the round.
    """

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class RoundHeard:
    """The acting steward of the hall announced its current round.

    :param name: Name of the round.
    """

    name: str


class Keeper(tasks.Task):
    """Owns the steward's state; other parts read it and post messages.

    :param vm: Identity of the VM.
    :param hall: Name of the hall.
    :param clock: Reads the steady clock, in seconds.
    """

    def __init__(
        self, vm: str, hall: str, *, clock: Callable[[], float]
    ) -> None:
        super().__init__(handle)
        self._vm = vm
        self._hall = hall
        self._clock = clock
        self._last_contact: float | None = None
        self.documents = document_module.Documents()
        # Cache of the decoded documents by revision: each step reads them.
        self._configuration = (document.Configuration(), 0)
        self._record = (record.Hall(), 0)
        self.reports: dict[str, record.Report] = {}
        # Time of the last report that this VM's entry itself sent.
        self.reported_at = clock()
        self.acting = False
        self.round = ""
        # Whether the documents may be served to the entry and to peers.
        self.trusted = False

    def update_trust(self, source: str) -> None:
        """Mark the documents as trusted if a source is sufficient for it.

        :param source: Source that has just delivered all its documents.
        """
        hall, revision = self.get_hall()
        if self.trusted or not revision:
            return
        if source not in (PLATFORM, OWN_ENTRY):
            if not transitions.may_serve_copy(hall, self._vm, source):
                return
        self.trusted = True
        self.documents.notify_waiters()

    def get_age(self) -> float:
        """Return the seconds since the platform last answered.

        :return: A negative number if it has never answered.
        """
        if self._last_contact is None:
            return NEVER_ANSWERED
        return max(0.0, self._clock() - self._last_contact)

    def get_divisions(self) -> dict[str, record.Division]:
        """Return the divisions of the other halls that own keys."""
        divisions = {}
        for name in self.documents.get_revisions():
            found = self.documents.get(name)
            if found and name.startswith(record.DIVISION_PREFIX):
                hall = name.removeprefix(record.DIVISION_PREFIX)
                divisions[hall] = record.decode_division(found.payload)
        return divisions

    def list_unhealthy(self) -> frozenset[str]:
        """List the targets that any entry of the hall reports as unhealthy."""
        return frozenset(
            vm for report in self.reports.values() for vm in report.unhealthy
        )

    def get_configuration(self) -> tuple[document.Configuration, int]:
        """Return the accepted configuration and its revision."""
        revision = self.documents.get_revision(document.KEY)
        if revision != self._configuration[1]:
            found = self.documents.get(document.KEY)
            payload = found.payload if found else b"{}"
            self._configuration = (document.decode(payload), revision)
        return self._configuration

    def get_hall(self) -> tuple[record.Hall, int]:
        """Return the record of the hall and its revision."""
        name = record.get_key(self._hall)
        revision = self.documents.get_revision(name)
        if revision != self._record[1]:
            found = self.documents.get(name)
            payload = found.payload if found else b"{}"
            self._record = (record.decode(payload), revision)
        return self._record


def find_fault(offered: document_module.Document) -> str:
    """Return why a document is rejected; empty if it is valid.

    :param offered: The document.
    """
    try:
        if offered.name == document.KEY:
            configuration = document.decode(offered.payload)
            return "; ".join(rules.find_faults(configuration))
        if offered.name.startswith(record.DIVISION_PREFIX):
            record.decode_division(offered.payload)
        else:
            record.decode(offered.payload)
    except errors.DocumentInvalidError as error:
        return error.reason
    return ""


@functools.singledispatch
def handle(message: object, task: Keeper) -> None:
    """Handle one message.

    :param message: The message.
    :param task: The task that owns the state.
    """
    raise TypeError(f"unexpected message {message!r}")


@handle.register
def _on_document_offered(message: DocumentOffered, task: Keeper) -> None:
    offered = message.document
    if offered.revision <= task.documents.get_revision(offered.name):
        return
    reason = find_fault(offered)
    if reason:
        logs.write_warning(
            "document.rejected",
            name=offered.name,
            revision=offered.revision,
            reason=reason,
        )
        return
    task.documents.offer(offered)
    event = "hall.accepted"
    if offered.name == document.KEY:
        event = "configuration.accepted"
    logs.write_event(event, name=offered.name, revision=offered.revision)


@handle.register
def _on_source_drained(message: SourceDrained, task: Keeper) -> None:
    task.update_trust(message.source)


@handle.register
def _on_report_received(message: ReportReceived, task: Keeper) -> None:
    report = message.report
    task.reports[report.vm] = report
    if report.vm == task._vm and report.incarnation:
        task.reported_at = task._clock()


@handle.register
def _on_vms_listed(message: VmsListed, task: Keeper) -> None:
    # The last report of a VM that is gone must not count as current state.
    for vm in [vm for vm in task.reports if vm not in message.vms]:
        del task.reports[vm]


@handle.register
def _on_source_heard(message: SourceHeard, task: Keeper) -> None:
    heard = task._clock() - message.age
    if task._last_contact is None or heard > task._last_contact:
        task._last_contact = heard


@handle.register
def _on_acting_changed(message: ActingChanged, task: Keeper) -> None:
    if message.acting == task.acting:
        return
    task.acting = message.acting
    logs.write_event("lease.taken" if task.acting else "lease.lost")
    task.documents.notify_waiters()


@handle.register
def _on_round_begun(message: RoundBegun, task: Keeper) -> None:
    task.round = message.name
    task.documents.notify_waiters()


@handle.register
def _on_round_heard(message: RoundHeard, task: Keeper) -> None:
    # An acting steward ignores rounds of others: only its own ones count.
    if message.name and message.name != task.round and not task.acting:
        task.round = message.name
        task.documents.notify_waiters()
