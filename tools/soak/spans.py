"""Times in which something was harmed, and times free of that."""

from __future__ import annotations

import dataclasses

# A time is calm if nothing was harmed in it and in so many seconds before.
CALM_BEFORE_S = 4.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Span:
    """A time in which something was harmed, its recovery included.

    :param began: Its beginning, on the monotonic clock.
    :param ended: When all processes it hit listened again.
    :param kind: Kind of the fault.
    :param place: What was hit, if that is one VM or one link.
    """

    began: float
    ended: float
    kind: str
    place: str = ""


def find_calm(spans, began, ended, length):
    """Return the beginning of the first calm time, ``None`` without one.

    :param spans: What was harmed.
    :param began: It begins no earlier than this.
    :param ended: It ends no later than this.
    :param length: How long it is, in seconds.
    """
    for span in sorted(spans, key=lambda span: span.began):
        if span.began >= began + length:
            break
        began = max(began, span.ended + CALM_BEFORE_S)
    return began if began + length <= ended else None


def name_near(spans, began, ended):
    """Return what was harmed in a time, and in the seconds before it."""
    return [
        span.kind
        for span in spans
        if span.began < ended and span.ended > began - CALM_BEFORE_S
    ]
