"""Generates the reference pages from the code that they describe."""

from __future__ import annotations

import pathlib
import sys

from rackvalve.language import grammar
from rackvalve import logs
from rackvalve import metrics
from rackvalve import outcomes
from rackvalve.settings import catalog
from rackvalve.settings import explanation
from rackvalve import telemetry

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "docs" / "reference"
NOTE = "\nMade by `make reference` from the code; do not edit.\n\n"


def make_pages():
    """Return the pages' texts by file name."""
    events = "\n".join(
        f"| `{name}` | {text} |" for name, text in logs.EVENTS.items()
    )
    measured = "\n".join(
        f"| `rackvalve.PROGRAM.{name}` | {text} |"
        for name, text in metrics.METRICS.items()
    )
    reasons = "\n".join(
        f"| `{reason.value}` | {status} |"
        for reason, status in outcomes.STATUSES.items()
    )
    measures = "\n".join(
        f"| `{name}` | {text} |" for name, text in telemetry.MEASURES.items()
    )
    return {
        "settings.md": "# Settings\n"
        + NOTE
        + "```\n"
        + explanation.explain_all()
        + "\n```\n\nOf `rackvalve-manager`, whose file is its own:\n\n```\n"
        + explanation.explain_all(catalog.MANAGER_KEYS)
        + "\n```\n",
        "language.md": "# The language's grammar\n"
        + NOTE
        + "The guide shows statements in use: "
        "[daily work](../guide/daily-work.md).\n\n```\n"
        + grammar.GRAMMAR.strip()
        + "\n```\n",
        "logs-and-metrics.md": "# Log events and metrics\n"
        + NOTE
        + "| event | meaning |\n|---|---|\n"
        + events
        + "\n\n| metric | meaning |\n|---|---|\n"
        + measured
        + "\n\nOf the manager, at `metrics_listen`:\n\n"
        + "| measure | meaning |\n|---|---|\n"
        + measures
        + "\n",
        "reasons.md": "# Reasons of refusals and unknown outcomes\n"
        + NOTE
        + "The header `Rackvalve-Outcome` is `served`, `refused` or "
        "`unknown`;\n`Rackvalve-Reason` is one of these.\n\n"
        "| reason | status |\n|---|---|\n" + reasons + "\n",
    }


def main():
    """Write all pages."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name, text in make_pages().items():
        (FOLDER / name).write_text(text, "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
