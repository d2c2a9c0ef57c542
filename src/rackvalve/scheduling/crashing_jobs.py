"""Jobs that failed for crashing their workers, by what they run.

The owner matches each job that arrives against them: a job that runs the same
as a crashing job is a suspect before its first start.  An entry is removed
with the crashing job's record, and all entries of a signature are removed
when a task that runs the same succeeds.
"""

from __future__ import annotations

from collections.abc import Hashable
from collections.abc import Iterable

from rackvalve.jobs import progress


class CrashingJobs:
    """The jobs that failed for crashes and whose records still exist."""

    __slots__ = ("_times_to_crash",)

    def __init__(self) -> None:
        # Longest time to crash, in seconds, by signature and job.
        self._times_to_crash: dict[Hashable, dict[str, float]] = {}

    def match(
        self, state: progress.JobState, others: Iterable[progress.JobState]
    ) -> None:
        """Match a job that has arrived or ended with jobs that run the same.

        :param state: The job.
        :param others: The jobs that have not ended.
        """
        time_to_crash = _find_time_to_crash(state)
        if time_to_crash is None and not self._times_to_crash:
            return
        key = _get_signature(state)
        if time_to_crash is not None:
            self._times_to_crash.setdefault(key, {})[state.identity] = (
                time_to_crash
            )
        known = max(self._times_to_crash.get(key, {}).values(), default=0.0)
        if not known:
            return
        for other in (state,) if time_to_crash is None else others:
            if not other.is_final and _get_signature(other) == key:
                other.known_time_to_crash = known

    def forget(self, state: progress.JobState) -> None:
        """Forget a job whose records are removed.

        :param state: The job.
        """
        known = self._times_to_crash.get(_get_signature(state), {})
        if known.pop(state.identity, None) is not None and not known:
            del self._times_to_crash[_get_signature(state)]

    def clear(
        self, state: progress.JobState, others: Iterable[progress.JobState]
    ) -> None:
        """Clear all jobs that run the same as a job of which a task succeeded.

        :param state: The job.
        :param others: The jobs that have not ended.
        """
        if not state.known_time_to_crash:
            return
        key = _get_signature(state)
        self._times_to_crash.pop(key, None)
        for other in others:
            if _get_signature(other) == key:
                other.known_time_to_crash = 0.0


def _get_signature(state: progress.JobState) -> Hashable:
    """Return a key that is equal for jobs that run the same."""
    return state.queue, state.job.spec, state.job.steps


def _find_time_to_crash(state: progress.JobState) -> float | None:
    """Return a crashing job's longest time to crash; ``None`` for others."""
    if state.phase is not progress.Phase.FAILED:
        return None
    times = [
        task.time_to_crash
        for task in state.tasks.values()
        if task.isolated_crashes
    ]
    return max(times, default=None)
