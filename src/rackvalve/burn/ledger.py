"""Request counts of one entry, in time slices of one minute.

Outcomes are counted and latencies recorded in HDR histograms, by pool,
workspace and class.  Histograms of many entries and slices merge without
loss.
"""

from __future__ import annotations

import collections
import dataclasses

from hdrh import histogram

SLICE_S = 60.0
SLICES_KEPT = 61
MIN_MS = 1
MAX_MS = 24 * 3600 * 1000
SIGNIFICANT_DIGITS = 1
SERIES_MAX = 400
OTHER_WORKSPACES = "others"
PENDING_VALUES_MAX = 512


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Series:
    """Labels of one series of counts.

    :param pool: Name of the pool.
    :param workspace: Name of the workspace.
    :param job_class: Name of the class.
    """

    pool: str
    workspace: str
    job_class: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Count:
    """Counts of one series over one window, in serializable form.

    :param series: The series.
    :param window: Length of the window, in seconds.
    :param served: Complete answers.
    :param refused: Refusals.
    :param unknown: Unknown outcomes.
    :param times: Latency histogram of the complete answers, in milliseconds
        and in the encoding of HdrHistogram.
    """

    series: Series
    window: float
    served: int
    refused: int
    unknown: int
    times: str


class _Tally:
    """Counts of one series in one slice.

    Latencies are counted by millisecond and added to the histogram only when
    it is read: this takes a hundredth of the time of one call per request.
    """

    __slots__ = ("outcomes", "pending", "_times")

    def __init__(self) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.pending: collections.Counter[int] = collections.Counter()
        self._times: histogram.HdrHistogram | None = None

    def get_times(self) -> histogram.HdrHistogram:
        """Return the histogram of all latencies so far."""
        if self._times is None:
            self._times = make_histogram()
        for value, count in self.pending.items():
            self._times.record_value(value, count)
        self.pending.clear()
        return self._times


class Ledger:
    """Request counts of one entry, by time slice and series."""

    def __init__(self) -> None:
        self._slices: collections.deque[tuple[float, dict[Series, _Tally]]] = (
            collections.deque(maxlen=SLICES_KEPT)
        )

    def record(
        self, series: Series, outcome: str, seconds: float, now: float
    ) -> None:
        """Record the outcome of a request.

        :param series: Series of the request.
        :param outcome: ``served``, ``refused`` or ``unknown``.
        :param seconds: Time from arrival to outcome.
        :param now: Current time, in seconds.
        """
        start = now - now % SLICE_S
        if not self._slices or self._slices[-1][0] < start:
            self._slices.append((start, {}))
        tallies = self._slices[-1][1]
        tally = tallies.get(series)
        if tally is None:
            if len(tallies) >= SERIES_MAX:
                series = dataclasses.replace(
                    series, workspace=OTHER_WORKSPACES
                )
            tally = tallies.setdefault(series, _Tally())
        tally.outcomes[outcome] += 1
        if outcome == "served":
            tally.pending[max(MIN_MS, int(seconds * 1000))] += 1
            if len(tally.pending) > PENDING_VALUES_MAX:
                tally.get_times()

    def count(self, window: float, now: float) -> list[Count]:
        """Return the counts of the most recent window, by series.

        :param window: Length of the window, in seconds.
        :param now: Current time, in seconds.
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
    """Create an empty latency histogram, in milliseconds."""
    return histogram.HdrHistogram(MIN_MS, MAX_MS, SIGNIFICANT_DIGITS)


def decode_times(count: Count) -> histogram.HdrHistogram:
    """Decode the latency histogram of a count.

    :param count: The count.
    """
    return histogram.HdrHistogram.decode(count.times)
