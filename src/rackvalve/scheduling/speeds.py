"""Measures the speed of runs and detects slow workers (stragglers).

Tasks of one step are alike, so a run is compared with the runs of its step on
other workers.  Declared times are guesses, and tasks of one queue differ too
much to tell a slow worker from a large task.

With 2 of 30 VMs six times as slow for 7 s this gains 0.04 of the value of an
emulated day; with one slow VM at a time it makes no difference.
"""

from __future__ import annotations

import statistics

from rackvalve.jobs import progress
from rackvalve.scheduling import workers

# Speed is measured over at least this time, in seconds: progress is reported
# in whole percent, and a task of one second gains one percent in 0.01 s.
SAMPLE_S = 0.3
# A worker is slow if its runs take more than this many times as long as those
# of other workers; the second figure holds if a single run can be compared.
# Tasks of a step differ by a factor of 1.35 at one standard deviation.
SLOW_RATIO = 2.5
SLOW_RATIO_SINGLE_RUN = 3.0
# Least number of tasks of its step that a run is compared with.
MIN_COMPARED_TASKS = 3
# A slow worker gets no runs for this long, in seconds, unless most workers are
# slow; after that it is tried again.
SLOW_S = 2.0
# The speed of a run that was measured while its worker was cold is known for
# this long after that, in seconds: reports come twice a second, and a sample
# needs two of them.
COLD_MARGIN_S = 1.0
# Number of durations of ended tasks kept for each step.
KEPT_DURATIONS = 8

# Numbers of a repetition and of a step.
StepKey = tuple[int, int]


def update_rate(run: progress.Run, now: float) -> None:
    """Update a run's speed from its newest progress.

    :param run: The run, just after a report.
    :param now: Present time, in seconds.
    """
    if run.sampled is None:
        run.sampled = now
        run.sampled_percent = run.percent
        return
    passed = now - run.sampled
    if passed < SAMPLE_S:
        return
    run.rate = max(0.0, run.percent - run.sampled_percent) / passed
    run.sampled = now
    run.sampled_percent = run.percent


def estimate_total(run: progress.Run) -> float | None:
    """Return how long a run takes in all at its speed, in seconds.

    :param run: The run.
    :return: ``None`` while its speed is not known.
    """
    if run.rate is None:
        return None
    return 100.0 / run.rate if run.rate else float("inf")


def estimate_rest(run: progress.Run) -> float | None:
    """Return the remaining time of a run at its speed, in seconds.

    :param run: The run.
    :return: ``None`` while its speed is not known.
    """
    total = estimate_total(run)
    return None if total is None else total * (100.0 - run.percent) / 100.0


class Speeds:
    """Durations of tasks by step, and which workers are slow by them."""

    __slots__ = ("_done", "_running", "_typical")

    def __init__(self) -> None:
        # Worker and estimated duration of the runs of a job by step, and
        # typical durations elsewhere by job, step and worker, in seconds: what
        # was found in this round.  A step may have thousands of tasks.
        self._running: dict[str, dict[StepKey, list[tuple[str, float]]]] = {}
        self._typical: dict[tuple[str, StepKey, str], float | None] = {}
        # Worker and duration in seconds of ended tasks, by job and step.
        self._done: dict[str, dict[StepKey, list[tuple[str, float]]]] = {}

    def begin_round(self) -> None:
        """Forget what was found of the speeds of runs."""
        self._running.clear()
        self._typical.clear()

    def record_duration(self, placed: workers.PlacedRun, taken: float) -> None:
        """Record how long a task has taken.

        :param placed: Its run.
        :param taken: The duration, in seconds.
        """
        steps = self._done.setdefault(placed.state.identity, {})
        times = steps.setdefault(_key_of(placed), [])
        times.append((placed.run.worker, taken))
        del times[:-KEPT_DURATIONS]

    def forget(self, state: progress.JobState) -> None:
        """Forget the durations of a job that has ended.

        :param state: The job.
        """
        self._done.pop(state.identity, None)

    def estimate_typical(self, placed: workers.PlacedRun) -> float | None:
        """Return how long a run's task takes on other workers, in seconds.

        :param placed: The run.
        :return: ``None`` if too few of its step's tasks ran elsewhere.
        """
        own, step = placed.run.worker, _key_of(placed)
        identity = placed.state.identity
        key = (identity, step, own)
        if key not in self._typical:
            done = self._done.get(identity, {}).get(step, [])
            running = self._list_running(placed.state).get(step, [])
            times = [taken for worker, taken in done if worker != own]
            times += [total for worker, total in running if worker != own]
            self._typical[key] = (
                statistics.median(times)
                if len(times) >= MIN_COMPARED_TASKS
                else None
            )
        return self._typical[key]

    def _list_running(
        self, state: progress.JobState
    ) -> dict[StepKey, list[tuple[str, float]]]:
        """Return worker and estimated duration of a job's runs, by step."""
        if state.identity not in self._running:
            found: dict[StepKey, list[tuple[str, float]]] = {}
            for task in state.tasks.values():
                for run in task.runs.values():
                    total = estimate_total(run)
                    if total is not None:
                        step = (task.name.repetition, task.name.step)
                        found.setdefault(step, []).append((run.worker, total))
            self._running[state.identity] = found
        return self._running[state.identity]

    def detect_slowness(
        self,
        worker: workers.WorkerState,
        durations: dict[str, float],
        now: float,
    ) -> None:
        """Update whether a worker is slow, and by how much.

        :param worker: The worker.
        :param durations: Mean time of a task by queue, in seconds.
        :param now: Present time, in seconds.
        """
        if now < worker.cold_until + COLD_MARGIN_S:
            # It is known why it is slow, and that this ends.
            worker.slowness = 1.0
            worker.slow_until = float("-inf")
            return
        if now - worker.speed_checked_at < SAMPLE_S:
            return
        worker.speed_checked_at = now
        ratios = self._compare(worker, durations)
        if ratios:
            ratio = statistics.median(ratios)
            limit = SLOW_RATIO if len(ratios) > 1 else SLOW_RATIO_SINGLE_RUN
            if ratio > limit:
                worker.slowness = ratio
                worker.slow_until = now + SLOW_S
        if now >= worker.slow_until:
            worker.slowness = 1.0

    def _compare(
        self, worker: workers.WorkerState, durations: dict[str, float]
    ) -> list[float]:
        """Return the ratio of each run's duration to that elsewhere."""
        ratios: list[float] = []
        for placed in worker.runs.values():
            total = estimate_total(placed.run)
            if total is None or not is_comparable(placed):
                continue
            if total <= durations.get(placed.state.queue, 0.0):
                # Faster than the mean of its queue: no comparison needed.
                ratios.append(1.0)
                continue
            usual = self.estimate_typical(placed)
            if usual:
                ratios.append(total / usual)
        return ratios


def is_comparable(placed: workers.PlacedRun) -> bool:
    """Return whether a run's speed depends on its worker alone.

    A task that was moved before, for whatever reason, may itself be slow.

    :param placed: The run.
    """
    step = placed.step
    return not (
        step.lasting
        or step.gang
        or step.uses_leftover
        or step.data_rack
        or placed.task.avoid
        or placed.run.inherited
    )


def _key_of(placed: workers.PlacedRun) -> StepKey:
    name = placed.task.name
    return name.repetition, name.step
