"""Statements of the language as typed values."""

from __future__ import annotations

import dataclasses
import enum

from rackvalve import commands


class Kind(enum.Enum):
    """What a query can be about."""

    POOLS = "pools"
    VMS = "vms"
    WORKSPACES = "workspaces"
    WAVES = "waves"
    ENTRIES = "entries"


class Comparison(enum.Enum):
    """How a filter compares."""

    EQUAL = "="
    UNEQUAL = "!="
    LESS = "<"
    LESS_OR_EQUAL = "<="
    GREATER = ">"
    GREATER_OR_EQUAL = ">="


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Filter:
    """One condition on a row.

    :param field: Name of the column.
    :param comparison: How to compare.
    :param value: What to compare with.
    """

    field: str
    comparison: Comparison
    value: str | int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Order:
    """The order of rows.

    :param field: Name of the column.
    :param descending: Whether the greatest comes first.
    """

    field: str
    descending: bool = False


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Query:
    """Shows or counts rows.

    :param kind: What the rows are.
    :param count: Whether only their number is wanted.
    :param filters: Conditions that all hold.
    :param order: Their order, ``None`` for that of names.
    :param limit: Most rows, ``None`` for all.
    """

    kind: Kind
    count: bool = False
    filters: tuple[Filter, ...] = ()
    order: Order | None = None
    limit: int | None = None


class Subject(enum.Enum):
    """What a question is about."""

    REQUEST = "request"
    VM = "vm"
    POOL = "pool"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Why:
    """Asks why something is as it is.

    :param subject: What the question is about.
    :param name: Its name.
    """

    subject: Subject
    name: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Instruction:
    """A command.

    :param command: The command.
    """

    command: commands.Command


Statement = Query | Why | Instruction
