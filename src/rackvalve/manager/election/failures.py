"""Contains the unexpected errors of a process's owners.

An error while one worker's answer is handled may leave the owner's view half
changed, so a term ends with it.  The next owner would meet the same answer: if
each term ends before all leases were extended, the leases of all workers run
out.  So the worker is quarantined: its lease is extended and its reports are
not handled for a while.  An error that no worker explains counts against the
process, which lets others own first.
"""

from __future__ import annotations

import collections
import dataclasses

# How long a worker is quarantined, in seconds; each further error of it
# doubles the time up to the limit.  Runs that end there wait for as long, and
# each error costs a term.
QUARANTINE_S = 2.0
MAX_QUARANTINE_S = 6.0
# How long a process does not campaign after an error that no worker explains,
# in seconds; each further one doubles the pause up to the limit.  The limit is
# within a worker's lease of 4 s.
PAUSE_S = 0.5
MAX_PAUSE_S = 2.0
# How long errors are remembered, in seconds.
RETENTION_S = 300.0
# Errors with more workers than this within the time of one quarantine have a
# cause in this process rather than in a worker.
MAX_QUARANTINED = 5


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Failure:
    """An unexpected error that ended an owner's term.

    :param worker: Identity of the worker whose answer was being handled; empty
        for an error elsewhere.
    """

    worker: str = ""


class FailureHistory:
    """The recent failures of a process's owners."""

    __slots__ = ("_by_worker", "_unexplained", "_quarantined_until")

    def __init__(self) -> None:
        # Times of the errors, in seconds, by the worker's identity.
        self._by_worker: collections.defaultdict[str, list[float]] = (
            collections.defaultdict(list)
        )
        # Times of those that no worker explains, in seconds.
        self._unexplained: list[float] = []
        self._quarantined_until: dict[str, float] = {}

    def note_failure(self, failure: Failure, now: float) -> bool:
        """Note a failure, and quarantine the worker that explains it.

        :param failure: The failure.
        :param now: Present time, in seconds.
        :return: Whether this process may go on owning.
        """
        self._forget_old(now)
        if (
            not failure.worker
            or len(self.list_quarantined(now)) >= MAX_QUARANTINED
        ):
            self._unexplained.append(now)
            return False
        times = self._by_worker[failure.worker]
        times.append(now)
        length = _double(QUARANTINE_S, len(times), MAX_QUARANTINE_S)
        self._quarantined_until[failure.worker] = now + length
        return True

    def is_quarantined(self, worker: str, now: float) -> bool:
        """Return whether a worker's reports are not handled.

        :param worker: Identity of the worker.
        :param now: Present time, in seconds.
        """
        return now < self._quarantined_until.get(worker, float("-inf"))

    def list_quarantined(self, now: float) -> list[str]:
        """Return the identities of the quarantined workers.

        :param now: Present time, in seconds.
        """
        return [
            worker
            for worker, until in self._quarantined_until.items()
            if now < until
        ]

    def is_paused(self, now: float) -> bool:
        """Return whether this process lets others own first.

        :param now: Present time, in seconds.
        """
        if not self._unexplained:
            return False
        pause = _double(PAUSE_S, len(self._unexplained), MAX_PAUSE_S)
        return now < self._unexplained[-1] + pause

    def _forget_old(self, now: float) -> None:
        """Forget failures that are too long ago."""
        since = now - RETENTION_S
        self._unexplained = [at for at in self._unexplained if at > since]
        for worker, times in list(self._by_worker.items()):
            if times[-1] <= since:
                del self._by_worker[worker]
                self._quarantined_until.pop(worker, None)


def _double(first: float, number: int, most: float) -> float:
    """Return a time that doubles with each repetition, up to a limit.

    :param first: The first time, in seconds.
    :param number: Number of the repetition, from 1.
    :param most: The limit, in seconds.
    """
    # The limit is reached long before the exponent matters.
    longer: float = first * 2 ** min(number - 1, 16)
    return min(most, longer)
