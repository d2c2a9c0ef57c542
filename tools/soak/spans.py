"""Times with faults, and calm times between them."""

from __future__ import annotations

import dataclasses

# A time is calm if no fault was in force in it or in this many seconds before.
CALM_BEFORE_S = 4.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Span:
    """The time of a fault, including the restart of what it hit.

    :param began: Its beginning, on the monotonic clock.
    :param ended: When all processes that it hit accepted connections again.
    :param kind: Kind of the fault.
    :param place: The place that was hit, if that is one VM or one link.
    :param manager: Number of the manager that it hit, if that is one.
    """

    began: float
    ended: float
    kind: str
    place: str = ""
    manager: int | None = None


def list_stalls(stalls):
    """Return the stalls of the stand-ins, as faults of the store.

    One process stands in for the store and all workers: while it stalls, none
    of them answers.

    :param stalls: Beginning and end of each, on the monotonic clock.
    """
    return [
        Span(began=began, ended=ended, kind="store stalled", place="store")
        for began, ended in stalls
    ]


def find_calm(spans, began, ended, length):
    """Return the beginning of the first calm time, ``None`` without one.

    :param spans: Faults with their times.
    :param began: Earliest beginning of the calm time.
    :param ended: Latest end of the calm time.
    :param length: Its length, in seconds.
    """
    for span in sorted(spans, key=lambda span: span.began):
        if span.began >= began + length:
            break
        began = max(began, span.ended + CALM_BEFORE_S)
    return began if began + length <= ended else None


def name_near(spans, began, ended):
    """Return the kinds of faults in a time and shortly before it."""
    return [
        span.kind
        for span in spans
        if span.began < ended and span.ended > began - CALM_BEFORE_S
    ]
