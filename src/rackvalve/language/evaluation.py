"""Evaluation of queries on the steward's status."""

from __future__ import annotations

import dataclasses
import operator
from typing import TYPE_CHECKING

from rackvalve import commands
from rackvalve.fleet import record
from rackvalve.fleet import transitions
from rackvalve.language import statements

if TYPE_CHECKING:
    from collections.abc import Callable

Cell = str | int
Row = dict[str, Cell]

_OPERATORS: dict[statements.Comparison, Callable[[Cell, Cell], bool]] = {
    statements.Comparison.EQUAL: operator.eq,
    statements.Comparison.UNEQUAL: operator.ne,
    statements.Comparison.LESS: operator.lt,
    statements.Comparison.LESS_OR_EQUAL: operator.le,
    statements.Comparison.GREATER: operator.gt,
    statements.Comparison.GREATER_OR_EQUAL: operator.ge,
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Rows:
    """Result of a query.

    :param columns: Names of the columns.
    :param rows: Values of the columns, by row.
    :param count: Number of rows that matched, regardless of the limit.
    :param age: Seconds since the platform last answered; negative for
        never.
    """

    columns: list[str]
    rows: list[list[Cell]]
    count: int
    age: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class UnknownField:
    """A query names a column that does not exist.

    :param field: Name of the column.
    :param known: The existing columns.
    """

    field: str
    known: list[str]


def answer_query(
    query: statements.Query, status: commands.Status
) -> Rows | UnknownField:
    """Evaluate a query.

    :param query: The query.
    :param status: The steward's status.
    """
    columns = COLUMNS[query.kind]
    for field in _list_fields(query):
        if field not in columns:
            return UnknownField(field=field, known=columns)
    rows = [
        row
        for row in _LISTERS[query.kind](status)
        if all(_matches(item, row) for item in query.filters)
    ]
    if query.order is not None:
        field = query.order.field
        rows.sort(
            key=lambda row: (isinstance(row[field], str), row[field]),
            reverse=query.order.descending,
        )
    shown = [] if query.count else rows[: query.limit]
    return Rows(
        columns=columns,
        rows=[[row[column] for column in columns] for row in shown],
        count=len(rows),
        age=status.age,
    )


def explain_vm(name: str, status: commands.Status) -> list[str]:
    """Explain the state of a VM; empty if the VM is unknown.

    :param name: The VM.
    :param status: The steward's status.
    """
    target = status.hall.targets.get(name)
    if target is None:
        return []
    lines = [f"VM {name} of pool {target.pool} is {target.state.value}"]
    for wave_name, wave in status.hall.waves.items():
        if name in (*wave.active, *wave.pending):
            part = "under way" if name in wave.active else "to come"
            lines.append(
                f"it is {part} in wave {wave_name}, which is "
                f"{wave.phase.value}"
            )
    if target.move_to:
        lines.append(f"it moves to pool {target.move_to}")
    for wait in status.waits:
        if wait.subject == name:
            lines.append("it waits for " + ", ".join(wait.holders))
    for report in status.reports:
        if name in report.unhealthy:
            lines.append(f"entry {report.vm} finds it unhealthy")
    return lines


def explain_pool(name: str, status: commands.Status) -> list[str]:
    """Explain how many VMs may leave a pool; empty if it is unknown.

    :param name: The pool.
    :param status: The steward's status.
    """
    pool = status.configuration.pools.get(name)
    if pool is None:
        return []
    unhealthy = _list_unhealthy(status)
    available = transitions.count_available(status.hall, name, unhealthy)
    spare = available - pool.budget
    lines = [
        f"pool {name} has {available} VMs available in hall "
        f"{status.hall_name}; its budget is {pool.budget}",
    ]
    if spare > 0:
        lines.append(f"{spare} may leave at once for maintenance")
    else:
        lines.append("none may leave until one comes back")
    return lines


def _list_fields(query: statements.Query) -> list[str]:
    fields = [item.field for item in query.filters]
    if query.order is not None:
        fields.append(query.order.field)
    return fields


def _matches(item: statements.Filter, row: Row) -> bool:
    left = row[item.field]
    right = item.value
    if type(left) is not type(right):
        left, right = str(left), str(right)
    return _OPERATORS[item.comparison](left, right)


def _list_unhealthy(status: commands.Status) -> set[str]:
    return {vm for report in status.reports for vm in report.unhealthy}


def _list_pools(status: commands.Status) -> list[Row]:
    unhealthy = _list_unhealthy(status)
    rows: list[Row] = []
    for name, pool in sorted(status.configuration.pools.items()):
        states = [
            target.state
            for target in status.hall.targets.values()
            if target.pool == name
        ]
        rows.append(
            {
                "name": name,
                "vms": len(states),
                "available": transitions.count_available(
                    status.hall, name, unhealthy
                ),
                "away": states.count(record.State.AWAY),
                "budget": pool.budget,
            }
        )
    return rows


def _list_vms(status: commands.Status) -> list[Row]:
    unhealthy = _list_unhealthy(status)
    return [
        {
            "name": name,
            "pool": target.pool,
            "state": target.state.value,
            "rack": target.rack,
            "slots": target.slots,
            "healthy": "no" if name in unhealthy else "yes",
        }
        for name, target in sorted(status.hall.targets.items())
    ]


def _list_workspaces(status: commands.Status) -> list[Row]:
    rows: list[Row] = []
    for name, workspace in sorted(status.configuration.workspaces.items()):
        quota: Cell = "none"
        if workspace.quota is not None:
            quota = workspace.quota
        rows.append(
            {
                "name": name,
                "priority": workspace.priority,
                "quota": quota,
                "pools": " ".join(workspace.pools),
            }
        )
    return rows


def _list_waves(status: commands.Status) -> list[Row]:
    return [
        {
            "name": name,
            "phase": wave.phase.value,
            "pending": len(wave.pending),
            "active": len(wave.active),
            "done": len(wave.done),
        }
        for name, wave in sorted(status.hall.waves.items())
    ]


def _list_entries(status: commands.Status) -> list[Row]:
    members = status.hall.division.entries
    return [
        {
            "name": report.vm,
            "address": report.address,
            "configuration": report.configuration_revision,
            "hall": report.hall_revision,
            "member": "yes" if report.vm in members else "no",
            "leaving": "yes" if report.leaving else "no",
        }
        for report in sorted(status.reports, key=lambda item: item.vm)
    ]


COLUMNS: dict[statements.Kind, list[str]] = {
    statements.Kind.POOLS: ["name", "vms", "available", "away", "budget"],
    statements.Kind.VMS: [
        "name", "pool", "state", "rack", "slots", "healthy",
    ],
    statements.Kind.WORKSPACES: ["name", "priority", "quota", "pools"],
    statements.Kind.WAVES: ["name", "phase", "pending", "active", "done"],
    statements.Kind.ENTRIES: [
        "name", "address", "configuration", "hall", "member", "leaving",
    ],
}  # fmt: skip

_LISTERS: dict[statements.Kind, Callable[[commands.Status], list[Row]]] = {
    statements.Kind.POOLS: _list_pools,
    statements.Kind.VMS: _list_vms,
    statements.Kind.WORKSPACES: _list_workspaces,
    statements.Kind.WAVES: _list_waves,
    statements.Kind.ENTRIES: _list_entries,
}
