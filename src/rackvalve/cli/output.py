"""Output of answers as JSON, tables or sentences."""

from __future__ import annotations

from typing import Any

from cleo.io import io
from cleo.ui import table
import msgspec

STALE_AFTER_S = 60.0


def print_json(out: io.IO, value: Any) -> None:
    """Print a value as indented JSON.

    :param out: Where to print.
    :param value: The value.
    """
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    out.write_line(text.decode())


def print_table(out: io.IO, headers: list[str], rows: list[list[str]]) -> None:
    """Print rows as a table.

    :param out: Where to print.
    :param headers: Names of the columns.
    :param rows: One list of cells per row.
    """
    rendered = table.Table(out)
    rendered.set_headers(headers)
    rendered.set_rows([list[Any](row) for row in rows])
    rendered.render()


def print_answer(out: io.IO, value: dict[str, Any]) -> bool:
    """Print the answer to a query or a ``WHY`` statement.

    :param out: Where to print.
    :param value: The API's answer.
    :return: Whether the answer was of one of these kinds.
    """
    if "rows" in value:
        if value["rows"]:
            rows = [[str(cell) for cell in row] for row in value["rows"]]
            print_table(out, value["columns"], rows)
        out.write_line(f"{value['count']} found")
        if not 0 <= value["age"] <= STALE_AFTER_S:
            out.write_line("the platform does not answer; this may be old")
        return True
    lines = value.get("lines")
    if "trace" in value:
        lines = explain_trace(value)
    for line in lines or ():
        out.write_line(line)
    return lines is not None


def list_targets(status: dict[str, Any]) -> list[list[str]]:
    """Return a row for each target of a status.

    :param status: The API's status.
    """
    return [
        [
            vm,
            target["pool"],
            target["state"],
            target["rack"],
            str(target["slots"]),
        ]
        for vm, target in sorted(status["hall"]["targets"].items())
    ]


def list_waves(status: dict[str, Any]) -> list[str]:
    """Return a line for each wave of a status.

    :param status: The API's status.
    """
    return [
        f"wave {name} is {wave['phase']}: {len(wave['done'])} done, "
        f"{len(wave['active'])} away or leaving "
        f"({', '.join(wave['active']) or 'none'}), "
        f"{len(wave['pending'])} to come"
        for name, wave in sorted(status["hall"]["waves"].items())
    ]


def explain_preview(preview: dict[str, Any]) -> str:
    """Return a line that describes the effect of a wave.

    :param preview: The API's preview.
    """
    line = (
        f"it would take {preview['rounds']} rounds, with "
        f"{preview['most_away']} VMs away at most"
    )
    if preview["stuck"]:
        stuck = ", ".join(preview["stuck"])
        line += f"; the budgets never let these leave: {stuck}"
    return line


def explain_trace(explained: dict[str, Any]) -> list[str]:
    """Return sentences that explain the routing and outcome of a request.

    :param explained: The API's answer about a request.
    """
    trace = explained["trace"]
    lines = [
        f"request {trace['request_id']} of workspace {trace['workspace']} "
        f"for pool {trace['pool']} ({trace['job_class']}) came to "
        f"{explained['entry']} and is {trace['state']}",
    ]
    if trace["expected_wait"]:
        lines.append(
            f"it waited for a slot; expected {trace['expected_wait']:.3f} s, "
            f"waited {trace['waited']:.3f} s"
        )
    for attempt in trace["attempts"]:
        lines.append(_explain_attempt(attempt))
    if trace["reason"]:
        lines.append(f"reason: {trace['reason']}: {trace['detail']}")
    return lines


def _explain_attempt(attempt: dict[str, Any]) -> str:
    text = (
        f"ran on {attempt['vm']}, of {attempt['open_targets']} targets with "
        f"a free slot; {attempt['load']:.0%} of its slots were in use"
    )
    if attempt["other"]:
        text += f", no more than of {attempt['other']}, drawn beside it"
    return text
