"""How fast runs get on, and which workers are slow.

Tasks of one step are alike, so a run is held against those of its step that
run, or ran, on other workers.  Declared times are guesses, and tasks of one
queue differ too much to tell a slow worker from a large task.

With 2 of 30 VMs six times as slow for 7 s this buys 0.04 of an emulated day's
worth (24 days); plays, where one VM is slow at a time, show no difference.
"""

from __future__ import annotations

import statistics

from rackvalve.jobs import progress
from rackvalve.scheduling import workers

# Speed is measured over at least this time, in seconds: progress is told in
# whole percent, and a second's task moves by one in 0.01 s.
SAMPLE_S = 0.3
# A worker is slow if its runs take more than this many times as long as those
# beside them; with a single run to go by, more than the second figure.  Tasks
# of a step differ by 1.35 at one standard deviation (the users' sheets).
SLOW_FROM = 2.5
SLOW_FROM_ALONE = 3.0
# So many tasks of its step, at least, a run is held against.
COMPARED = 3
# A slow worker gets nothing for this long, in seconds, while others have room;
# after that it is tried again.
SLOW_S = 2.0
# Times of ended tasks that are kept of each step.
KEPT = 8

# Repetition and step.
StepKey = tuple[int, int]


def update_rate(run: progress.Run, now: float) -> None:
    """Measure a run's speed by its newest progress.

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
    """Return how long a run takes from its beginning at its speed, in seconds.

    :param run: The run.
    :return: ``None`` while its speed is not known.
    """
    if run.rate is None:
        return None
    return 100.0 / run.rate if run.rate else float("inf")


def estimate_rest(run: progress.Run) -> float | None:
    """Return how long a run goes on at its speed, in seconds.

    :param run: The run.
    :return: ``None`` while its speed is not known.
    """
    total = estimate_total(run)
    return None if total is None else total * (100.0 - run.percent) / 100.0


class Speeds:
    """Times of tasks by step, and what they say of workers."""

    __slots__ = ("_done",)

    def __init__(self) -> None:
        # Times of ended tasks with their workers, in seconds, by job.
        self._done: dict[str, dict[StepKey, list[tuple[str, float]]]] = {}

    def record_duration(self, placed: workers.PlacedRun, taken: float) -> None:
        """Note how long a task has taken.

        :param placed: Its run.
        :param taken: The time, in seconds.
        """
        steps = self._done.setdefault(placed.state.identity, {})
        times = steps.setdefault(_key_of(placed), [])
        times.append((placed.run.worker, taken))
        del times[:-KEPT]

    def forget(self, state: progress.JobState) -> None:
        """Forget the times of a job that has ended.

        :param state: The job.
        """
        self._done.pop(state.identity, None)

    def estimate_typical(self, placed: workers.PlacedRun) -> float | None:
        """Return how long a run's task takes on other workers, in seconds.

        :param placed: The run.
        :return: ``None`` if too few of its step's tasks ran elsewhere.
        """
        own = placed.run.worker
        key = _key_of(placed)
        done = self._done.get(placed.state.identity, {}).get(key, ())
        times = [taken for worker, taken in done if worker != own]
        for task in placed.state.tasks.values():
            if (task.name.repetition, task.name.step) != key:
                continue
            for run in task.runs.values():
                total = estimate_total(run) if run.worker != own else None
                if total is not None:
                    times.append(total)
        return statistics.median(times) if len(times) >= COMPARED else None

    def detect_slowness(
        self,
        worker: workers.WorkerState,
        durations: dict[str, float],
        now: float,
    ) -> None:
        """Find out whether a worker is slow now.

        :param worker: The worker.
        :param durations: Mean time of a task by queue, in seconds.
        :param now: Present time, in seconds.
        """
        if now - worker.speed_checked_at < SAMPLE_S:
            return
        worker.speed_checked_at = now
        ratios = self._compare(worker, durations)
        if ratios:
            ratio = statistics.median(ratios)
            limit = SLOW_FROM if len(ratios) > 1 else SLOW_FROM_ALONE
            if ratio > limit:
                worker.slowness = ratio
                worker.slow_until = now + SLOW_S
        if now >= worker.slow_until:
            worker.slowness = 1.0

    def _compare(
        self, worker: workers.WorkerState, durations: dict[str, float]
    ) -> list[float]:
        """Return how many times as long as elsewhere each run takes."""
        ratios: list[float] = []
        for placed in worker.runs.values():
            total = estimate_total(placed.run)
            if total is None or not is_comparable(placed):
                continue
            if total <= durations.get(placed.state.queue, 0.0):
                # Quicker than most of its queue: not worth a closer look.
                ratios.append(1.0)
                continue
            usual = self.estimate_typical(placed)
            if usual:
                ratios.append(total / usual)
        return ratios


def is_comparable(placed: workers.PlacedRun) -> bool:
    """Return whether a run's speed tells of its worker.

    A task that was moved before, for whatever reason, may be slow by itself.

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
