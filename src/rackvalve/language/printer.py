"""Formatting of statements in canonical form."""

from __future__ import annotations

import functools

from rackvalve import commands
from rackvalve.fleet import record
from rackvalve.language import statements

_PHASE_KEYWORDS = {
    record.Phase.PAUSED: "PAUSE",
    record.Phase.RUNNING: "RESUME",
    record.Phase.ABANDONED: "ABANDON",
}


@functools.singledispatch
def print_statement(statement: object) -> str:
    """Return the text of a statement; parsing it yields an equal statement.

    :param statement: The statement, or a command.
    """
    raise TypeError(f"no text for {statement!r}")


@print_statement.register
def _(statement: statements.Query) -> str:
    verb = "COUNT" if statement.count else "SHOW"
    words = [verb, statement.kind.value.upper()]
    if statement.filters:
        texts = [
            f"{item.field} {item.comparison.value} {_print_value(item.value)}"
            for item in statement.filters
        ]
        words.append("WHERE " + " AND ".join(texts))
    if statement.order is not None:
        direction = "DESC" if statement.order.descending else "ASC"
        words.append(f"ORDER BY {statement.order.field} {direction}")
    if statement.limit is not None:
        words.append(f"LIMIT {statement.limit}")
    return " ".join(words)


@print_statement.register
def _(statement: statements.Why) -> str:
    return f"WHY {statement.subject.value.upper()} {_quote(statement.name)}"


@print_statement.register
def _(statement: statements.Instruction) -> str:
    return print_statement(statement.command)


@print_statement.register
def _(statement: commands.Drain) -> str:
    return f"DRAIN VM {_quote(statement.vm)}"


@print_statement.register
def _(statement: commands.Return) -> str:
    return f"RETURN VM {_quote(statement.vm)}"


@print_statement.register
def _(statement: commands.Move) -> str:
    return f"MOVE VM {_quote(statement.vm)} TO POOL {_quote(statement.pool)}"


@print_statement.register
def _(statement: commands.StartWave) -> str:
    words = ["PREVIEW"] if statement.preview else []
    words.append(f"START WAVE {_quote(statement.name)}")
    if statement.vms:
        words.append("OVER VMS " + ", ".join(map(_quote, statement.vms)))
    elif statement.pool:
        words.append(f"OVER POOL {_quote(statement.pool)}")
    elif statement.rack:
        words.append(f"OVER RACK {_quote(statement.rack)}")
    return " ".join(words)


@print_statement.register
def _(statement: commands.ChangeWave) -> str:
    return f"{_PHASE_KEYWORDS[statement.phase]} WAVE {_quote(statement.name)}"


@print_statement.register
def _(statement: commands.SetPriority) -> str:
    text = f"SET PRIORITY OF {_quote(statement.workspace)}"
    return f"{text} TO {statement.priority}{_print_at(statement.expected)}"


@print_statement.register
def _(statement: commands.SetQuota) -> str:
    quota = "NONE" if statement.quota is None else statement.quota
    text = f"SET QUOTA OF {_quote(statement.workspace)}"
    return f"{text} TO {quota}{_print_at(statement.expected)}"


@print_statement.register
def _(statement: commands.SetBudget) -> str:
    text = f"SET BUDGET OF {_quote(statement.pool)}"
    return f"{text} TO {statement.budget}{_print_at(statement.expected)}"


def _print_at(expected: int | None) -> str:
    return "" if expected is None else f" AT REVISION {expected}"


def _print_value(value: str | int) -> str:
    return str(value) if isinstance(value, int) else _quote(value)


def _quote(name: str) -> str:
    # Always quoted: a bare name could be parsed as a keyword or a number.
    return f"'{name}'"
