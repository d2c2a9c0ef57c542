"""Operators' commands and queries, and their execution."""

from __future__ import annotations

import dataclasses
import functools
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from rackvalve import codec
from rackvalve.configuration import document
from rackvalve.configuration import rules
from rackvalve import errors
from rackvalve.fleet import record
from rackvalve.fleet import transitions
from rackvalve import logs
from rackvalve.platform import port
from rackvalve.rpc import documents as document_module
from rackvalve.steward import keeper as keepers
from rackvalve.steward import writer as writers

if TYPE_CHECKING:
    from collections.abc import Callable

    from rackvalve.steward import stepper as steppers


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ReplaceConfiguration:
    """Put a whole configuration in force.

    :param configuration: The new configuration.
    :param expected: Revision that it was decided on.
    """

    configuration: document.Configuration
    expected: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SetPriority:
    """Change the priority of a workspace.

    :param workspace: Its name.
    :param priority: The new priority.
    :param expected: Revision of the configuration that it was decided on;
        ``None`` for the present one.
    """

    workspace: str
    priority: int
    expected: int | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Drain:
    """Let a VM leave.

    :param vm: Its identity.
    """

    vm: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Return:
    """Let a VM that is away serve again.

    :param vm: Its identity.
    """

    vm: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ShowStatus:
    """Show what the acting steward of the hall knows.

    :param local: Whether to show what this steward knows instead.
    """

    local: bool = False


Command = ReplaceConfiguration | SetPriority | Drain | Return | ShowStatus

_TAGS: dict[str, type[Any]] = {
    "replace-configuration": ReplaceConfiguration,
    "set-priority": SetPriority,
    "drain": Drain,
    "return": Return,
    "show-status": ShowStatus,
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Answer:
    """How a command ended.

    :param outcome: ``accepted``, ``conflict``, ``rejected``, ``failed``
        (nothing changed) or ``unknown`` (it may have taken effect).
    :param revision: Revision that it led to, or the present one.
    :param detail: Why, for a reader.
    """

    outcome: str
    revision: int = 0
    detail: str = ""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Status:
    """What a steward knows.

    :param hall_name: Name of its hall.
    :param acting: Whether it acts for its hall.
    :param age: Seconds since the platform was heard from; negative for
        never.
    :param configuration: The accepted configuration.
    :param configuration_revision: Its revision.
    :param hall: Record of the hall.
    :param hall_revision: Its revision.
    :param reports: Newest reports of the hall's entries.
    :param waits: Steps that wait, and for whom.
    """

    hall_name: str
    acting: bool
    age: float
    configuration: document.Configuration
    configuration_revision: int
    hall: record.Hall
    hall_revision: int
    reports: list[record.Report]
    waits: list[transitions.Waiting]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Envelope:
    """Shape in which a command travels."""

    kind: str
    body: msgspec.Raw


def encode(command: Command) -> bytes:
    """Encode a command as JSON.

    :param command: The command.
    """
    for kind, known in _TAGS.items():
        if isinstance(command, known):
            body = msgspec.Raw(codec.encode(command))
            return codec.encode(_Envelope(kind=kind, body=body))
    raise errors.InvariantBrokenError(f"no tag for {command!r}")


def decode(payload: bytes) -> Command:
    """Decode a command.

    :param payload: JSON.
    :raises DocumentInvalidError: It is no command.
    """
    envelope = codec.decode(msgspec.json.Decoder(_Envelope), payload)
    known = _TAGS.get(envelope.kind)
    if known is None:
        raise errors.DocumentInvalidError(f"kind {envelope.kind!r}: unknown")
    command: Command = codec.decode(
        msgspec.json.Decoder(known), bytes(envelope.body)
    )
    return command


class Executor:
    """Executes commands on what the platform holds.

    :param hall: Name of the steward's hall.
    :param platform: The port to the platform.
    :param keeper: What the steward knows.
    :param stepper: Knows what waits.
    :param ask_acting: Has another steward execute an encoded command, if
        that one acts for the hall; returns ``None`` if none did.
    """

    def __init__(
        self,
        hall: str,
        *,
        platform: port.Platform,
        keeper: keepers.Keeper,
        stepper: steppers.Stepper,
        ask_acting: Callable[[bytes], bytes | None],
    ) -> None:
        self._ask_acting = ask_acting
        self._hall = hall
        self._platform = platform
        self._writer = writers.Writer(platform)
        self._keeper = keeper
        self._stepper = stepper

    def execute(self, payload: bytes) -> bytes:
        """Execute an encoded command.

        :param payload: JSON of the command.
        :return: JSON of the answer.
        """
        try:
            command = decode(payload)
        except errors.DocumentInvalidError as error:
            return codec.encode(
                Answer(outcome="rejected", detail=error.reason)
            )
        if isinstance(command, ShowStatus) and not command.local:
            shown = self._show_acting()
            if shown is not None:
                return shown
        answer = self.run(command)
        if isinstance(answer, Answer):
            logs.write_event(
                "command.done",
                command=type(command).__name__,
                outcome=answer.outcome,
                revision=answer.revision,
                detail=answer.detail,
            )
        return codec.encode(answer)

    def _show_acting(self) -> bytes | None:
        """Ask the acting steward, which has the reports of the hall."""
        if self._keeper.acting:
            return None
        return self._ask_acting(encode(ShowStatus(local=True)))

    @functools.singledispatchmethod
    def run(self, command: Any) -> Answer | Status:
        """Execute a command.

        :param command: The command.
        """
        raise TypeError(f"unexpected command {command!r}")

    @run.register
    def _run_status(self, command: ShowStatus) -> Answer | Status:
        keeper = self._keeper
        configuration, configuration_revision = keeper.get_configuration()
        hall, hall_revision = keeper.get_hall()
        return Status(
            hall_name=self._hall,
            acting=keeper.acting,
            age=keeper.measure_age(),
            configuration=configuration,
            configuration_revision=configuration_revision,
            hall=hall,
            hall_revision=hall_revision,
            reports=list(keeper.reports.values()),
            waits=self._stepper.waits,
        )

    @run.register
    def _run_replace(self, command: ReplaceConfiguration) -> Answer | Status:
        faults = rules.find_faults(command.configuration)
        present, _ = self._keeper.get_configuration()
        if present.key_halls not in ([], command.configuration.key_halls):
            faults.append(
                "key_halls: may not change, since keys would change owners; "
                "new halls serve without being listed"
            )
        if faults:
            return Answer(outcome="rejected", detail="; ".join(faults))
        return self._write_configuration(
            command.configuration, command.expected
        )

    @run.register
    def _run_priority(self, command: SetPriority) -> Answer | Status:
        read = self._read_configuration()
        if isinstance(read, Answer):
            return read
        configuration, revision = read
        expected = revision if command.expected is None else command.expected
        workspace = configuration.workspaces.get(command.workspace)
        if workspace is None:
            detail = f"workspace {command.workspace!r} is not known"
            return Answer(outcome="rejected", detail=detail)
        workspaces = dict(configuration.workspaces)
        workspaces[command.workspace] = dataclasses.replace(
            workspace, priority=command.priority
        )
        changed = dataclasses.replace(configuration, workspaces=workspaces)
        faults = rules.find_faults(changed)
        if faults:
            return Answer(outcome="rejected", detail="; ".join(faults))
        return self._write_configuration(changed, expected)

    @run.register
    def _run_drain(self, command: Drain) -> Answer | Status:
        read = self._read_hall()
        if isinstance(read, Answer):
            return read
        hall, revision = read
        configuration, _ = self._keeper.get_configuration()
        target = hall.targets.get(command.vm)
        pool = configuration.pools.get(target.pool) if target else None
        outcome = transitions.order_drain(
            hall,
            command.vm,
            budget=pool.budget if pool else 0,
            unavailable=(),
        )
        return self._write_hall(outcome, revision)

    @run.register
    def _run_return(self, command: Return) -> Answer | Status:
        read = self._read_hall()
        if isinstance(read, Answer):
            return read
        hall, revision = read
        outcome = transitions.order_return(hall, command.vm)
        return self._write_hall(outcome, revision)

    def _read_configuration(
        self,
    ) -> tuple[document.Configuration, int] | Answer:
        value = self._platform.read(document.KEY)
        if isinstance(value, port.Failed):
            return Answer(outcome="failed", detail=value.reason)
        if not value.revision:
            return document.Configuration(), 0
        return document.decode(value.payload), value.revision

    def _read_hall(self) -> tuple[record.Hall, int] | Answer:
        value = self._platform.read(record.get_key(self._hall))
        if isinstance(value, port.Failed):
            return Answer(outcome="failed", detail=value.reason)
        if not value.revision:
            return record.Hall(), 0
        return record.decode(value.payload), value.revision

    def _write_configuration(
        self, configuration: document.Configuration, expected: int
    ) -> Answer:
        result = self._writer.write(
            document.KEY,
            configuration,
            expected,
            lambda payload: document.decode(payload).operation,
        )
        return self._conclude(document.KEY, result)

    def _write_hall(
        self,
        outcome: transitions.Changed | transitions.Rejected,
        expected: int,
    ) -> Answer:
        if isinstance(outcome, transitions.Rejected):
            return Answer(
                outcome="rejected", revision=expected, detail=outcome.reason
            )
        key = record.get_key(self._hall)
        result = self._writer.write(
            key,
            outcome.hall,
            expected,
            lambda payload: record.decode(payload).operation,
        )
        return self._conclude(key, result)

    def _conclude(self, key: str, result: writers.Result) -> Answer:
        if isinstance(result, writers.Accepted):
            self._keeper.post(
                keepers.DocumentOffered(
                    document_module.Document(
                        name=key,
                        revision=result.revision,
                        payload=result.payload,
                    ),
                )
            )
            return Answer(outcome="accepted", revision=result.revision)
        if isinstance(result, writers.Superseded):
            return Answer(
                outcome="conflict",
                revision=result.revision,
                detail=f"{key} is at revision {result.revision} now",
            )
        word = "unknown" if result.applied else "failed"
        return Answer(outcome=word, detail=result.reason)
