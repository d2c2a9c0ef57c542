"""What one entry counts of its requests, in slices of a minute.

Outcomes are counted and times kept in HDR histograms, by pool, workspace
and class.  Histograms of many entries and slices merge without loss.
"""

from __future__ import annotations

import collections
import dataclasses

from hdrh import histogram

SLICE_S = 60.0
SLICES_KEPT = 61
LEAST_MS = 1
MOST_MS = 24 * 3600 * 1000
DIGITS = 1
SERIES_MAX = 400
OTHERS = "others"
PENDING_MAX = 512


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Series:
    """What is counted apart.

    :param pool: Name of the pool.
    :param workspace: Name of the workspace.
    :param job_class: Name of the class.
    """

    pool: str
    workspace: str
    job_class: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Count:
    """Counts of one series over one window, as they travel.

    :param series: The series.
    :param window: Length of the window, in seconds.
    :param served: Whole answers.
    :param refused: Refusals.
    :param unknown: Unknown outcomes.
    :param times: Histogram of the whole answers' times in milliseconds, in
        the encoding of HdrHistogram.
    """

    series: Series
    window: float
    served: int
    refused: int
    unknown: int
    times: str


class _Tally:
    """Counts of one series in one slice.

    Times are gathered by millisecond and put into the histogram when it is
    wanted: that takes a hundredth of the time of one call for each request.
    """

    __slots__ = ("outcomes", "pending", "_times")

    def __init__(self) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.pending: collections.Counter[int] = collections.Counter()
        self._times: histogram.HdrHistogram | None = None

    def get_times(self) -> histogram.HdrHistogram:
        """Return the histogram of all times so far."""
        if self._times is None:
            self._times = make_histogram()
        for value, count in self.pending.items():
            self._times.record_value(value, count)
        self.pending.clear()
        return self._times


class Ledger:
    """Counts of one entry."""

    def __init__(self) -> None:
        self._slices: collections.deque[tuple[float, dict[Series, _Tally]]] = (
            collections.deque(maxlen=SLICES_KEPT)
        )

    def note(
        self, series: Series, outcome: str, seconds: float, now: float
    ) -> None:
        """Count a request.

        :param series: What it belongs to.
        :param outcome: ``served``, ``refused`` or ``unknown``.
        :param seconds: Time until its outcome.
        :param now: Present time, in seconds.
        """
        start = now - now % SLICE_S
        if not self._slices or self._slices[-1][0] < start:
            self._slices.append((start, {}))
        tallies = self._slices[-1][1]
        tally = tallies.get(series)
        if tally is None:
            if len(tallies) >= SERIES_MAX:
                series = dataclasses.replace(series, workspace=OTHERS)
            tally = tallies.setdefault(series, _Tally())
        tally.outcomes[outcome] += 1
        if outcome == "served":
            tally.pending[max(LEAST_MS, int(seconds * 1000))] += 1
            if len(tally.pending) > PENDING_MAX:
                tally.get_times()

    def count(self, window: float, now: float) -> list[Count]:
        """Return the counts of the last seconds, series by series.

        :param window: Length of the window, in seconds.
        :param now: Present time, in seconds.
        """
        merged: dict[Series, _Tally] = {}
        for start, tallies in self._slices:
            if start + SLICE_S <= now - window:
                continue
            for series, tally in tallies.items():
                total = merged.setdefault(series, _Tally())
                total.outcomes.update(tally.outcomes)
                total.get_times().add(tally.get_times())
        return [
            Count(
                series=series,
                window=window,
                served=tally.outcomes["served"],
                refused=tally.outcomes["refused"],
                unknown=tally.outcomes["unknown"],
                times=tally.get_times().encode().decode("ascii"),
            )
            for series, tally in merged.items()
        ]


def make_histogram() -> histogram.HdrHistogram:
    """Make an empty histogram of times in milliseconds."""
    return histogram.HdrHistogram(LEAST_MS, MOST_MS, DIGITS)


def read_times(count: Count) -> histogram.HdrHistogram:
    """Read the histogram of a count.

    :param count: The count.
    """
    return histogram.HdrHistogram.decode(count.times)
