"""Burn report as text and as a self-contained HTML page."""

from __future__ import annotations

import html
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rackvalve.burn import objectives

BAR_WIDTH = 300
BAR_RATE_MAX = 10.0
_STYLE = """
body { font-family: sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
td, th { padding: 0.3em 0.8em; text-align: right; border-bottom: 1px solid
 #ddd; }
td:first-child, th:first-child { text-align: left; }
.missing { color: #a00; font-weight: bold; }
"""
_COLUMNS = (
    "objective", "window", "requests", "bad", "late", "refused", "unknown",
    "p99 ms", "burn rate", "budget left",
)  # fmt: skip


def write_text(report: objectives.Report) -> str:
    """Return the report as text.

    :param report: The report.
    """
    lines = []
    for burn in report.burns:
        lines.append(
            f"{burn.name} over {burn.window / 60:.0f} min: {burn.total} "
            f"requests, {burn.bad} bad ({burn.late} late, {burn.unknown} "
            f"unknown, {burn.refused} refused), p99 {burn.p99_ms:.0f} ms, "
            f"burn rate {burn.rate:.2f}, {burn.left:.0%} of the budget left"
        )
    if not report.burns:
        lines.append("the configuration has no objectives")
    for name in report.missing:
        lines.append(f"MISSING: {name} could not be reached")
    return "\n".join(lines)


def write_page(report: objectives.Report) -> str:
    """Return the report as an HTML page without external resources.

    :param report: The report.
    """
    head = "".join(f"<th>{column}</th>" for column in _COLUMNS)
    rows = "\n".join(_render_row(burn) for burn in report.burns)
    missing = "\n".join(
        f'<p class="missing">Missing: {html.escape(name)} could not be '
        "reached; what it served is not in these figures.</p>"
        for name in report.missing
    )
    return (
        "<!DOCTYPE html>\n<html lang='en'><head><meta charset='utf-8'>"
        f"<title>Service-level burn</title><style>{_STYLE}</style></head>"
        f"<body><h1>Service-level burn</h1>\n{missing}\n"
        f"<p>{len(report.reached)} entries reached.</p>\n"
        f"<table><tr>{head}<th></th></tr>\n{rows}\n</table>\n"
        "<p>At a burn rate of 1 the error budget lasts as long as its "
        "period; the line in each bar stands there.</p></body></html>\n"
    )


def _render_row(burn: objectives.Burn) -> str:
    cells = (
        html.escape(burn.name),
        f"{burn.window / 60:.0f} min",
        burn.total,
        burn.bad,
        burn.late,
        burn.refused,
        burn.unknown,
        f"{burn.p99_ms:.0f}",
        f"{burn.rate:.2f}",
        f"{burn.left:.0%}",
    )
    row = "".join(f"<td>{cell}</td>" for cell in cells)
    return f"<tr>{row}<td>{_render_bar(burn.rate)}</td></tr>"


def _render_bar(rate: float) -> str:
    scale = BAR_WIDTH / BAR_RATE_MAX
    width = min(rate, BAR_RATE_MAX) * scale
    colour = "#2a7" if rate <= 1.0 else "#c33"
    return (
        f"<svg width='{BAR_WIDTH}' height='14' role='img' "
        f"aria-label='burn rate {rate:.2f}'>"
        f"<rect width='{width:.1f}' height='14' fill='{colour}'/>"
        f"<line x1='{scale:.1f}' x2='{scale:.1f}' y1='0' y2='14' "
        "stroke='#222'/></svg>"
    )
