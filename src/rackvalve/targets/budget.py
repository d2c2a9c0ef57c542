"""The retry budget of a pool: retries are a bounded share of the load."""

from __future__ import annotations

RESERVE = 10.0


class RetryBudget:
    """A token bucket that first attempts fill and retries empty.

    It starts full: until a bad target is ejected, some requests that met
    it find another one even where there is little traffic.

    :param ratio: Retries allowed for each first attempt.
    """

    __slots__ = ("_ratio", "_tokens")

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._tokens = RESERVE

    def count_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(RESERVE, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take the right to one retry, if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
