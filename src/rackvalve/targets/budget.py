"""Retry budget of a pool, which limits retries to a share of the load."""

from __future__ import annotations

MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    It starts full, so that requests that fail on a bad target before its
    ejection can be retried on another one even with little traffic.

    :param ratio: Retries allowed for each first attempt.
    """

    __slots__ = ("_ratio", "_tokens")

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._tokens = MAX_TOKENS

    def count_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take one token for a retry; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
