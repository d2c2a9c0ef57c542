"""Operators' commands and queries, and their answers, as typed values."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgspec

from rackvalve import codec
from rackvalve.configuration import document
from rackvalve.configuration import operators
from rackvalve import errors
from rackvalve.fleet import record
from rackvalve.fleet import transitions
from rackvalve.fleet import waves


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
class Move:
    """Let a VM join another pool.

    :param vm: Its identity.
    :param pool: The pool to join.
    """

    vm: str
    pool: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StartWave:
    """Start a maintenance wave over VMs, a pool, a rack, or the hall.

    :param name: Name of the wave.
    :param vms: The VMs; empty to choose by pool and rack.
    :param pool: Only VMs of this pool; empty for all.
    :param rack: Only VMs of this rack; empty for all.
    :param preview: Whether to show the effect without doing it.
    """

    name: str
    vms: list[str] = dataclasses.field(default_factory=list)
    pool: str = ""
    rack: str = ""
    preview: bool = False


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ChangeWave:
    """Pause, resume or abandon a wave.

    :param name: Name of the wave.
    :param phase: The phase wanted.
    """

    name: str
    phase: record.Phase


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SetBudget:
    """Change the availability budget of a pool.

    :param pool: Its name.
    :param budget: Least number of available VMs in each hall.
    :param expected: As of :class:`SetPriority`.
    """

    pool: str
    budget: int
    expected: int | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SetQuota:
    """Change the quota of a workspace.

    :param workspace: Its name.
    :param quota: Most slots it holds in a hall's pool; ``None`` for no
        limit of its own.
    :param expected: As of :class:`SetPriority`.
    """

    workspace: str
    quota: int | None = None
    expected: int | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ShowStatus:
    """Show what the acting steward of the hall knows.

    :param local: Whether to show what this steward knows instead.
    """

    local: bool = False


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ShowOperators:
    """Show the operators of the accepted configuration."""


Command = (
    ReplaceConfiguration
    | SetPriority
    | SetQuota
    | SetBudget
    | Drain
    | Return
    | Move
    | StartWave
    | ChangeWave
    | ShowStatus
    | ShowOperators
)

_TAGS: dict[str, type[Any]] = {
    "replace-configuration": ReplaceConfiguration,
    "set-priority": SetPriority,
    "drain": Drain,
    "return": Return,
    "move": Move,
    "start-wave": StartWave,
    "change-wave": ChangeWave,
    "set-budget": SetBudget,
    "set-quota": SetQuota,
    "show-status": ShowStatus,
    "show-operators": ShowOperators,
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Answer:
    """How a command ended.

    :param outcome: ``accepted``, ``conflict``, ``rejected``, ``failed``
        (nothing changed) or ``unknown`` (it may have taken effect).
    :param revision: Revision that it led to, or the present one.
    :param detail: Why, for a reader.
    :param preview: Effect of a wave that was only previewed.
    """

    outcome: str
    revision: int = 0
    detail: str = ""
    preview: waves.Preview | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Operators:
    """Who may call the administration API.

    :param operators: The operators by name.
    """

    operators: dict[str, document.Operator]


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
    :param divisions: Entries of the other halls that own keys.
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
    divisions: dict[str, record.Division]


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


def get_role(command: Command) -> operators.Role:
    """Return the role that a command needs.

    :param command: The command.
    """
    if isinstance(command, ShowStatus | ShowOperators):
        return operators.Role.READ
    if isinstance(command, StartWave) and command.preview:
        return operators.Role.READ
    if isinstance(command, Drain | Return | Move | StartWave | ChangeWave):
        return operators.Role.OPERATE
    return operators.Role.ADMINISTER
