"""Parser of statements, with descriptions of syntax errors."""

from __future__ import annotations

import dataclasses
import difflib
from typing import Any

import lark
from lark import exceptions

from rackvalve import commands
from rackvalve.fleet import record
from rackvalve.language import grammar
from rackvalve.language import statements

LENGTH_MAX = 4096
WORDS = (
    "SHOW", "COUNT", "WHERE", "AND", "ORDER", "BY", "LIMIT", "WHY",
    "PREVIEW", "DRAIN", "RETURN", "MOVE", "START", "WAVE", "OVER", "PAUSE",
    "RESUME", "ABANDON", "SET", "PRIORITY", "QUOTA", "BUDGET", "REVISION",
    "POOL", "POOLS", "VM", "VMS", "WORKSPACES", "WAVES", "ENTRIES",
    "REQUEST", "RACK", "ASC", "DESC", "NONE",
)  # fmt: skip
_TERMINAL_NAMES = {
    "NAME": "a name",
    "NUMBER": "a number",
    "QUOTED": "a quoted name",
    "COMPARISON": "=, !=, <, <=, > or >=",
    "KIND": "POOLS, VMS, WORKSPACES, WAVES or ENTRIES",
    "SUBJECT": "REQUEST, VM or POOL",
    "CHANGE": "PAUSE, RESUME or ABANDON",
    "DIRECTION": "ASC or DESC",
    "$END": "the end",
}
_PHASES = {
    "pause": record.Phase.PAUSED,
    "resume": record.Phase.RUNNING,
    "abandon": record.Phase.ABANDONED,
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Mistake:
    """A syntax error.

    :param position: Position of the error, from 1.
    :param found: The text at this position.
    :param expected: The valid alternatives at this position.
    :param nearest: Most similar keyword; empty if none is similar.
    """

    position: int
    found: str
    expected: list[str]
    nearest: str = ""

    def __str__(self) -> str:
        text = (
            f"at {self.position}: found {self.found!r}, expected "
            + " or ".join(self.expected)
        )
        if self.nearest:
            text += f"; did you mean {self.nearest}?"
        return text


_PARSER = lark.Lark(
    grammar.GRAMMAR, parser="lalr", lexer="contextual", maybe_placeholders=True
)


def parse(text: str) -> statements.Statement | Mistake:
    """Parse one statement.

    :param text: The statement.
    """
    if len(text) > LENGTH_MAX:
        return Mistake(
            position=LENGTH_MAX,
            found="more",
            expected=[f"at most {LENGTH_MAX} characters"],
        )
    try:
        tree = _PARSER.parse(text)
    except exceptions.UnexpectedInput as error:
        return _describe_error(text, error)
    statement: statements.Statement = _Builder().transform(tree)
    return statement


def _describe_error(text: str, error: exceptions.UnexpectedInput) -> Mistake:
    position = error.pos_in_stream
    token = getattr(error, "token", None)
    at_end = token is not None and token.type == "$END"
    if at_end or position is None or not 0 <= position < len(text):
        position = len(text)
    rest = text[position:].split()
    found = rest[0][:40] if rest else "the end"
    terms = getattr(error, "accepts", None) or getattr(
        error, "expected", None
    ) or getattr(error, "allowed", None) or set()  # fmt: skip
    expected = sorted({_TERMINAL_NAMES.get(term, term) for term in terms})
    matches = difflib.get_close_matches(found.upper(), WORDS, n=1)
    return Mistake(
        position=position + 1,
        found=found,
        expected=expected or ["a statement"],
        nearest=matches[0] if matches and matches[0] != found.upper() else "",
    )


class _Builder(lark.Transformer[Any, Any]):
    """Builds typed statements from the parse tree."""

    def start(self, items: list[Any]) -> statements.Statement:
        statement: statements.Statement = items[0]
        return statement

    def name(self, items: list[Any]) -> str:
        text = str(items[0])
        return text[1:-1] if text.startswith("'") else text

    def value(self, items: list[Any]) -> str | int:
        if items[0].type == "NUMBER":
            return int(items[0])
        return self.name(items)

    def number(self, items: list[Any]) -> int:
        return int(items[0])

    def field(self, items: list[Any]) -> str:
        return str(items[0]).lower()

    def filter(self, items: list[Any]) -> statements.Filter:
        field, comparison, value = items
        return statements.Filter(
            field=field,
            comparison=statements.Comparison(str(comparison)),
            value=value,
        )

    def where(self, items: list[Any]) -> tuple[statements.Filter, ...]:
        return tuple(items)

    def order(self, items: list[Any]) -> statements.Order:
        field, direction = items
        descending = direction is not None and direction.lower() == "desc"
        return statements.Order(field=field, descending=descending)

    def limit(self, items: list[Any]) -> int:
        return int(items[0])

    def query(self, items: list[Any]) -> statements.Query:
        count = getattr(items[0], "type", "") == "COUNT"
        kind, where, order, limit = items[1:] if count else items
        return statements.Query(
            kind=statements.Kind(str(kind).lower()),
            count=count,
            filters=where or (),
            order=order,
            limit=limit,
        )

    def why(self, items: list[Any]) -> statements.Why:
        subject = statements.Subject(str(items[0]).lower())
        return statements.Why(subject=subject, name=items[1])

    def preview(self, items: list[Any]) -> statements.Instruction:
        command = dataclasses.replace(items[0], preview=True)
        return statements.Instruction(command=command)

    def command(self, items: list[Any]) -> statements.Instruction:
        return statements.Instruction(command=items[0])

    def drain(self, items: list[Any]) -> commands.Drain:
        return commands.Drain(vm=items[0])

    def return_(self, items: list[Any]) -> commands.Return:
        return commands.Return(vm=items[0])

    def move(self, items: list[Any]) -> commands.Move:
        return commands.Move(vm=items[0], pool=items[1])

    def over(self, items: list[Any]) -> dict[str, Any]:
        chosen: dict[str, Any] = items[0]
        return chosen

    def over_pool(self, items: list[Any]) -> dict[str, Any]:
        return {"pool": items[0]}

    def over_rack(self, items: list[Any]) -> dict[str, Any]:
        return {"rack": items[0]}

    def over_vms(self, items: list[Any]) -> dict[str, Any]:
        return {"vms": list(items)}

    def start_wave(self, items: list[Any]) -> commands.StartWave:
        return commands.StartWave(name=items[0], **(items[1] or {}))

    def change_wave(self, items: list[Any]) -> commands.ChangeWave:
        phase = _PHASES[str(items[0]).lower()]
        return commands.ChangeWave(name=items[1], phase=phase)

    def at(self, items: list[Any]) -> int:
        return int(items[0])

    def set_priority(self, items: list[Any]) -> commands.SetPriority:
        return commands.SetPriority(
            workspace=items[0], priority=items[1], expected=items[2]
        )

    def set_quota(self, items: list[Any]) -> commands.SetQuota:
        quota = items[1] if isinstance(items[1], int) else None
        return commands.SetQuota(
            workspace=items[0], quota=quota, expected=items[2]
        )

    def set_budget(self, items: list[Any]) -> commands.SetBudget:
        return commands.SetBudget(
            pool=items[0], budget=items[1], expected=items[2]
        )
