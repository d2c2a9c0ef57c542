"""Limits how often one manager writes to the store for its callers."""

from __future__ import annotations

# Share of the store's rate of writes that the submissions at one manager may
# take: the others are for the owner and for the other managers.
WRITES_SHARE = 0.25
# Part of the burst that requests which were sent ahead leave to the others.
KEPT_SHARE = 0.5


class SubmissionRate:
    """A token bucket of submissions, and of cancels of unknown jobs.

    :param rate: Writes per second.
    """

    __slots__ = ("_rate", "_left", "_counted_at")

    def __init__(self, rate: float) -> None:
        self._rate = rate
        # Submissions that are allowed, and when that was counted, in seconds.
        self._left = rate
        self._counted_at = float("-inf")

    def take(self, now: float, *, is_ahead: bool) -> bool:
        """Take one submission, if the rate allows it.

        :param now: Present time, in seconds.
        :param is_ahead: Whether its caller did not wait for an earlier answer;
            half of the rate is kept for callers that do.
        """
        grown = self._left + (now - self._counted_at) * self._rate
        self._left = min(self._rate, grown)
        self._counted_at = now
        kept = self._rate * KEPT_SHARE if is_ahead else 0.0
        if self._left - kept < 1:
            return False
        self._left -= 1
        return True
