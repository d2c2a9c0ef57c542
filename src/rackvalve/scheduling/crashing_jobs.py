"""Jobs that were given up for crashing their workers, by what they run.

A job that runs the same as one of them is a suspect before its first start.
What is known here ends with the jobs' records, and with the first good end of
a task that runs the same.
"""

from __future__ import annotations

from collections.abc import Hashable
from collections.abc import Iterable

from rackvalve.jobs import progress


class CrashingJobs:
    """The jobs that were given up for crashes and whose records are kept."""

    __slots__ = ("_lived",)

    def __init__(self) -> None:
        # How long their runs had lived at most, in seconds, by job.
        self._lived: dict[Hashable, dict[str, float]] = {}

    def match(
        self, state: progress.JobState, others: Iterable[progress.JobState]
    ) -> None:
        """Compare a job that has come, or has ended, with others.

        :param state: The job.
        :param others: The jobs that have not ended.
        """
        lived = _find_lived(state)
        if lived is None and not self._lived:
            return
        key = _describe(state)
        if lived is not None:
            self._lived.setdefault(key, {})[state.identity] = lived
        known = max(self._lived.get(key, {}).values(), default=0.0)
        if not known:
            return
        for other in (state,) if lived is None else others:
            if not other.is_final and _describe(other) == key:
                other.known_time_to_crash = known

    def forget(self, state: progress.JobState) -> None:
        """Forget a job whose records are removed.

        :param state: The job.
        """
        known = self._lived.get(_describe(state), {})
        if known.pop(state.identity, None) is not None and not known:
            del self._lived[_describe(state)]

    def clear(
        self, state: progress.JobState, others: Iterable[progress.JobState]
    ) -> None:
        """Note that a task of a job has ended well.

        :param state: The job.
        :param others: The jobs that have not ended.
        """
        if not state.known_time_to_crash:
            return
        key = _describe(state)
        self._lived.pop(key, None)
        for other in others:
            if _describe(other) == key:
                other.known_time_to_crash = 0.0


def _describe(state: progress.JobState) -> Hashable:
    """Return what jobs that run the same have in common."""
    return state.queue, state.job.spec, state.job.steps


def _find_lived(state: progress.JobState) -> float | None:
    """Return how long a culprit's runs had lived; ``None`` for another job."""
    if state.phase is not progress.Phase.FAILED:
        return None
    lived = [
        task.time_to_crash
        for task in state.tasks.values()
        if task.isolated_crashes
    ]
    return max(lived, default=None)
