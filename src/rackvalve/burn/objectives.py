"""Evaluation of request counts against the service-level objectives.

A request is good if it was answered completely within the objective's
threshold.  Unknown outcomes and late answers are always bad; refusals are
bad if the objective counts them.  The burn rate is the share of bad requests
divided by the share that the objective allows: at 1 the error budget lasts
exactly as long as its period.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from hdrh import histogram

from rackvalve.burn import ledger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rackvalve.configuration import document

WINDOWS = (300.0, 3600.0)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Burn:
    """One objective over one window.

    :param name: Name of the objective.
    :param window: Length of the window, in seconds.
    :param total: Requests.
    :param late: Complete answers above the latency threshold.
    :param refused: Refusals.
    :param unknown: Unknown outcomes.
    :param bad: Requests that count against the objective.
    :param rate: Burn rate; 0 without requests.
    :param left: Remaining share of the window's error budget.
    :param p99_ms: 99th percentile of the latency of complete answers.
    """

    name: str
    window: float
    total: int
    late: int
    refused: int
    unknown: int
    bad: int
    rate: float
    left: float
    p99_ms: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Report:
    """The burn report.

    :param burns: All objectives over all windows.
    :param missing: Halls and entries that could not be reached; the figures
        do not include their requests.
    :param reached: Entries that were reached.
    """

    burns: list[Burn]
    missing: list[str]
    reached: list[str]


def judge(
    objectives: dict[str, document.Objective], counts: Iterable[ledger.Count]
) -> list[Burn]:
    """Evaluate the counts of many entries against all objectives.

    :param objectives: The objectives by name.
    :param counts: Counts of all entries and windows.
    """
    known = list(counts)
    return [
        _evaluate(
            name,
            objective,
            window,
            [
                count
                for count in known
                if count.window == window
                and _applies_to(objective, count.series)
            ],
        )
        for name, objective in sorted(objectives.items())
        for window in WINDOWS
    ]


def _applies_to(objective: document.Objective, series: ledger.Series) -> bool:
    return (
        objective.pool in ("", series.pool)
        and objective.workspace in ("", series.workspace)
        and objective.job_class in ("", series.job_class)
    )


def _evaluate(
    name: str,
    objective: document.Objective,
    window: float,
    counts: list[ledger.Count],
) -> Burn:
    times = ledger.make_histogram()
    for count in counts:
        times.add(ledger.decode_times(count))
    served = sum(count.served for count in counts)
    refused = sum(count.refused for count in counts)
    unknown = sum(count.unknown for count in counts)
    late = served - _count_within(times, objective.within_ms)
    bad = late + unknown + (refused if objective.refusals_count else 0)
    total = served + unknown + (refused if objective.refusals_count else 0)
    allowed = (1.0 - objective.goal) * total
    rate = bad / allowed if allowed else 0.0
    return Burn(
        name=name,
        window=window,
        total=total,
        late=late,
        refused=refused,
        unknown=unknown,
        bad=bad,
        rate=rate,
        left=1.0 - rate,
        p99_ms=float(times.get_value_at_percentile(99.0)),
    )


def _count_within(times: histogram.HdrHistogram, limit: int) -> int:
    """Count the values up to a limit, with the histogram's precision."""
    last = times.get_highest_equivalent_value(limit)
    return sum(
        item.count_added_in_this_iter_step
        for item in times.get_recorded_iterator()
        if item.value_iterated_to <= last
    )
