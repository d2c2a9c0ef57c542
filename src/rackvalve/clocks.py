"""The present time, read by programs and passed to all that decides."""

from __future__ import annotations

import time


def read_wall() -> float:
    """Return the wall clock, in seconds since 1970."""
    return time.time()


def read_steady() -> float:
    """Return a clock that never goes back, in seconds."""
    return time.monotonic()
