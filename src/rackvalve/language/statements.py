"""Typed statements of the language."""

from __future__ import annotations

import dataclasses
import enum

from rackvalve import commands


class Kind(enum.Enum):
    """Kind of rows that a query returns."""

    POOLS = "pools"
    VMS = "vms"
    WORKSPACES = "workspaces"
    WAVES = "waves"
    ENTRIES = "entries"


class Comparison(enum.Enum):
    """Comparison operator of a filter."""

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
    :param comparison: Comparison operator.
    :param value: Value to compare with.
    """

    field: str
    comparison: Comparison
    value: str | int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Order:
    """Sort order of rows.

    :param field: Name of the column.
    :param descending: Whether the largest value comes first.
    """

    field: str
    descending: bool = False


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Query:
    """A query that shows or counts rows.

    :param kind: Kind of the rows.
    :param count: Whether only their number is requested.
    :param filters: Conditions, all of which must match.
    :param order: Sort order; ``None`` for order by name.
    :param limit: Maximum number of rows; ``None`` for all.
    """

    kind: Kind
    count: bool = False
    filters: tuple[Filter, ...] = ()
    order: Order | None = None
    limit: int | None = None


class Subject(enum.Enum):
    """Type of the object of a ``WHY`` statement."""

    REQUEST = "request"
    VM = "vm"
    POOL = "pool"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Why:
    """A request to explain the state of an object.

    :param subject: Type of the object.
    :param name: Name of the object.
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
