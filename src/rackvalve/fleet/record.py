"""The record of one data hall, as kept by the platform.

One record holds all that a budget decision of the hall needs, so that a
decision is one compare-and-swap.  A target has one entry in it and that
names one pool, hence each VM belongs to one pool at any moment.
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

    ``serving`` takes work.  ``revoking`` takes none, and its senders have
    yet to acknowledge.  ``away`` is acknowledged by all of them; it may be
    rebooted or moved.
    """

    SERVING = "serving"
    REVOKING = "revoking"
    AWAY = "away"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Target:
    """One VM that runs a pool's jobs.

    :param pool: The pool that it belongs to.
    :param host: IP number.
    :param port: Port.
    :param slots: Jobs that it runs at once.
    :param rack: Rack that it stands in.
    :param state: Its state.
    :param move_to: Pool it joins once it is away, or ``None``.
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
    """The entries that divide the hall's rights, from a time on.

    :param since: Time of the acting steward's clock, in seconds.
    :param entries: Identities of the entry VMs, sorted.
    """

    since: float
    entries: list[str]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Division:
    """Which entries divide a hall's rights.

    :param epochs: Past and present divisions, oldest first.
    :param next_entries: The division that takes the place of the present
        one once its holders have acknowledged; ``None`` for no change.
    :param addresses: Address (``IP:PORT``) of each entry for other
        processes of the system, by VM identity.
    """

    epochs: list[Epoch] = dataclasses.field(default_factory=list)
    next_entries: list[str] | None = None
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def entries(self) -> list[str]:
        """The entries that divide the hall's rights at present."""
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
    :param active: VMs that leave, are away, or have not come back.
    :param done: VMs that serve again.
    :param phase: Its phase.
    :param started: Time of the order, in seconds.
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
    :param division: The entries that divide the rights on them.
    :param operation: Identifier of the write that stored this record.
    """

    targets: dict[str, Target] = dataclasses.field(default_factory=dict)
    division: Division = dataclasses.field(default_factory=Division)
    waves: dict[str, Wave] = dataclasses.field(default_factory=dict)
    operation: str = ""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Report:
    """What an entry says of itself; it acknowledges revocations.

    :param vm: Identity of the entry's VM.
    :param incarnation: Identifier of the process, new at each start.
    :param address: Address of the entry for other processes (``IP:PORT``).
    :param configuration_revision: Configuration in force; 0 for none.
    :param hall_revision: Hall record in force; 0 for none.
    :param busy: Targets on which it has work but no right to new work.
    :param excess: Targets on which it holds more slots than its share.
    :param unhealthy: Targets that it gives no work because of failures.
    :param leaving: Whether it takes no more requests.
    :param round: Name of the newest round that the entry has heard of.
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
    """Return the platform's key of a hall's record.

    :param hall: Name of the hall.
    """
    return KEY_PREFIX + hall


def get_division_name(hall: str) -> str:
    """Return the name under which a hall's division is passed around.

    :param hall: Name of the hall.
    """
    return DIVISION_PREFIX + hall


def decode(payload: bytes) -> Hall:
    """Decode a hall's record.

    :param payload: JSON.
    :return: The record.
    :raises DocumentInvalidError: The payload has not the right shape.
    """
    return codec.decode(_DECODER, payload)


def decode_division(payload: bytes) -> Division:
    """Decode a division.

    :param payload: JSON.
    :return: The division.
    :raises DocumentInvalidError: The payload has not the right shape.
    """
    return codec.decode(_DIVISION_DECODER, payload)


def decode_report(payload: bytes) -> Report:
    """Decode an entry's report.

    :param payload: JSON.
    :return: The report.
    :raises DocumentInvalidError: The payload has not the right shape.
    """
    return codec.decode(_REPORT_DECODER, payload)
