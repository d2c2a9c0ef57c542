"""The record of one data hall, as stored by the platform.

One record holds all data of the hall that a budget decision needs, so that a
decision is one compare-and-swap.  Each target appears once and names one
pool, hence a VM belongs to exactly one pool at any time.
"""

from __future__ import annotations

import dataclasses
import enum

import msgspec

from rackvalve import codec

KEY_PREFIX = "hall/"
DIVISION_PREFIX = "division/"


class State(enum.Enum):
    """State of a target in its hall.

    A ``serving`` target takes work.  A ``revoking`` target takes none, but
    some senders have yet to acknowledge that.  An ``away`` target has the
    acknowledgement of all senders and may be rebooted or moved.
    """

    SERVING = "serving"
    REVOKING = "revoking"
    AWAY = "away"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Target:
    """One VM that runs a pool's jobs.

    :param pool: Pool of the target.
    :param host: IP address.
    :param port: Port.
    :param slots: Most jobs that run on the target at once.
    :param rack: Rack of the VM.
    :param state: State of the target.
    :param move_to: Pool that the target joins once it is away, or ``None``.
    """

    pool: str
    host: str
    port: int
    slots: int
    rack: str = ""
    state: State = State.SERVING
    move_to: str | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Epoch:
    """The entries that share the rights to a hall's targets, from a time on.

    :param since: Start, by the acting steward's clock, in seconds.
    :param entries: Identities of the entry VMs, sorted.
    """

    since: float
    entries: list[str]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Division:
    """Which entries share the rights to a hall's targets.

    :param epochs: Past and present epochs, oldest first.
    :param next_entries: Entries of the next epoch, which begins once the
        present holders have acknowledged it; ``None`` for no change.
    :param addresses: Address (``IP:PORT``) of each entry for other
        processes of the system, by VM identity.
    """

    epochs: list[Epoch] = dataclasses.field(default_factory=list)
    next_entries: list[str] | None = None
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def entries(self) -> list[str]:
        """The entries of the present epoch."""
        return self.epochs[-1].entries if self.epochs else []


class Phase(enum.Enum):
    """Phase of a maintenance wave."""

    RUNNING = "running"
    PAUSED = "paused"
    ABANDONED = "abandoned"
    DONE = "done"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Wave:
    """A maintenance wave over VMs of the hall.

    :param pending: VMs that have yet to leave, sorted.
    :param active: VMs that are leaving, are away or have yet to come back.
    :param done: VMs that serve again after maintenance.
    :param phase: Phase of the wave.
    :param started: Time at which the wave was ordered, in seconds.
    """

    pending: list[str]
    active: list[str] = dataclasses.field(default_factory=list)
    done: list[str] = dataclasses.field(default_factory=list)
    phase: Phase = Phase.RUNNING
    started: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Hall:
    """Record of one data hall.

    :param targets: Targets by VM identity.
    :param waves: Maintenance waves by name.
    :param division: Entries that share the rights to the targets.
    :param operation: Identifier of the write that stored this record.
    """

    targets: dict[str, Target] = dataclasses.field(default_factory=dict)
    division: Division = dataclasses.field(default_factory=Division)
    waves: dict[str, Wave] = dataclasses.field(default_factory=dict)
    operation: str = ""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Report:
    """Status report of an entry, which also acknowledges revocations.

    :param vm: Identity of the entry's VM.
    :param incarnation: Identifier of the process, new at each start.
    :param address: Address of the entry for other processes (``IP:PORT``).
    :param configuration_revision: Revision of the configuration in force;
        0 for none.
    :param hall_revision: Revision of the hall's record in force; 0 for
        none.
    :param busy: Targets on which the entry has work in flight but no right
        to start more.
    :param excess: Targets on which the entry uses more slots than its share.
    :param unhealthy: Targets that the entry sends no work because of
        failures.
    :param leaving: Whether the entry takes no more requests.
    :param round: Name of the newest confirmation round that the entry knows.
    """

    vm: str
    incarnation: str
    address: str
    configuration_revision: int = 0
    hall_revision: int = 0
    busy: list[str] = dataclasses.field(default_factory=list)
    excess: list[str] = dataclasses.field(default_factory=list)
    unhealthy: list[str] = dataclasses.field(default_factory=list)
    leaving: bool = False
    round: str = ""


_DECODER = msgspec.json.Decoder(Hall, strict=True)
_DIVISION_DECODER = msgspec.json.Decoder(Division, strict=True)
_REPORT_DECODER = msgspec.json.Decoder(Report, strict=True)


def get_key(hall: str) -> str:
    """Return the key under which the platform stores a hall's record.

    :param hall: Name of the hall.
    """
    return KEY_PREFIX + hall


def get_division_name(hall: str) -> str:
    """Return the name under which peers exchange a hall's division.

    :param hall: Name of the hall.
    """
    return DIVISION_PREFIX + hall


def decode(payload: bytes) -> Hall:
    """Decode a hall's record.

    :param payload: JSON.
    :return: The record.
    :raises DocumentInvalidError: The payload does not match the schema.
    """
    return codec.decode(_DECODER, payload)


def decode_division(payload: bytes) -> Division:
    """Decode a division.

    :param payload: JSON.
    :return: The division.
    :raises DocumentInvalidError: The payload does not match the schema.
    """
    return codec.decode(_DIVISION_DECODER, payload)


def decode_report(payload: bytes) -> Report:
    """Decode an entry's report.

    :param payload: JSON.
    :return: The report.
    :raises DocumentInvalidError: The payload does not match the schema.
    """
    return codec.decode(_REPORT_DECODER, payload)
