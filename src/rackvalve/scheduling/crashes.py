"""Tasks under which workers crash: who is suspected, cleared, or given up.

A worker that crashes tells nothing of its runs, and each of them may be to
blame.  So each crash is counted against all of them, and the count is part of
the job's record, which is in the store before the task's next start: it
outlives its owner.

The count alone ends no job, for an innocent task may meet any number of
crashes that others cause.  It decides how a task is tried again: at first
away from other suspects, then on a worker that takes no other run meanwhile,
and from the third crash on only where nothing else could cause the next one.
A job ends by crashes that no other job can have caused.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import enum
import math

from rackvalve.jobs import progress
from rackvalve.scheduling import releases
from rackvalve.scheduling import workers

# Users bear five starts of a task that crashes each worker, two after the
# third crash.
CRASHES_MOST = 5
# Crashes in isolation, each soon after the start, after which a job is given
# up: one may be the VM's own.  Of a job that runs the same as one that was
# given up, the first is enough.
PROMPT_CRASHES_MOST = 2
# A run that is not known to have worked for longer than this (seconds) has
# crashed its worker soon after its start.
PROMPT_S = 0.3
# Crashes after which a task is tried in isolation; after one, if others of the
# pool have crashed lately and its run was the last that had started there.
ISOLATED_FROM = 2
# Crashes after which such a task starts in no other way.
ALONE_FROM = 3
# Crashes after which the next start is the last one that users bear: its
# worker takes nothing else until the task is cleared.
LAST_START_FROM = CRASHES_MOST - 1
# Runs whose starts were confirmed so near to each other (seconds) count as
# started at the same time; if these are more than a few, they tell nothing.
SAME_START_S = 0.05
SAME_START_MOST = 3
# A task that finds no worker to be isolated on for this long (seconds) starts
# anywhere, while that is still allowed: with the 0.7 s until a crash is
# noticed this stays below the 3 s for which nothing of an accepted job may
# run.
ISOLATION_WAIT_S = 1.8
# A run that is known to have worked for this long (seconds), and longer than
# any run of its task that a crash has ended, clears its task.  Beyond the most
# it need not be longer: the VMs of tasks that last crash now and then.
CLEARED_LEAST_S = 1.0
CLEARED_MOST_S = 60.0
# With this as the most (seconds) it is settled: it is not what crashes its
# worker just when another task has started there.
SETTLED_MOST_S = 3.0


class Isolation(enum.Enum):
    """Whether a task starts where no other job could cause a crash."""

    # Anywhere: nothing speaks against it.
    NONE = "none"
    # It waits for one, though not for long.
    PREFERRED = "preferred"
    # It starts nowhere else.
    REQUIRED = "required"

    @property
    def waits(self) -> bool:
        """Whether a task waits for such a worker."""
        return self in (Isolation.PREFERRED, Isolation.REQUIRED)


def attribute_crash(
    ended: Sequence[workers.PlacedRun],
    fate: releases.Fate,
    now: float,
    *,
    is_series: bool = False,
) -> None:
    """Count the end of a worker against the tasks that may have caused it.

    :param ended: All runs of the worker.
    :param fate: What became of the worker.
    :param now: Present time, in seconds.
    :param is_series: Whether others of its pool have crashed lately.
    """
    sole = next((one for one in ended if _is_sole_suspect(one, ended)), None)
    youngest = _list_youngest(ended) if is_series else []
    for placed in ended:
        if sole is not None and placed.state is not sole.state:
            # It is explained without this one.
            continue
        is_counted = count_crash(placed, fate, now)
        if placed in youngest:
            placed.task.youngest_crashes += is_counted
        if placed is sole and is_counted:
            placed.task.isolated_crashes += 1
            # Out of reach it may live on.
            is_known = fate is releases.Fate.CRASHED
            is_prompt = is_known and _is_prompt(placed.run)
            placed.task.prompt_crashes += is_prompt


def count_crash(
    placed: workers.PlacedRun, fate: releases.Fate, now: float
) -> bool:
    """Count the end of a worker against a task that ran there.

    :param placed: The run.
    :param fate: What became of the worker.
    :param now: Present time, in seconds.
    :return: Whether it counts.
    """
    task, run = placed.task, placed.run
    if run.stage is progress.Stage.PLANNED or task.done:
        return False
    # Out of reach is no sign of a crash by itself, or one pause of an owner
    # would make suspects of all that runs; of a suspect it is taken for one.
    suspected = fate is releases.Fate.OUT_OF_REACH and task.crashes > 0
    if fate is not releases.Fate.CRASHED and not suspected:
        return False
    task.crashes += 1
    task.time_to_crash = max(task.time_to_crash, now - run.since)
    task.crashed_incarnations.add(run.worker)
    if run.location is not None:
        task.crashed_on.add(run.location.vm)
    placed.state.suspects.add(task.name)
    return True


def _list_youngest(
    ended: Iterable[workers.PlacedRun],
) -> list[workers.PlacedRun]:
    """Return the runs that started last on a worker, if these are few.

    Of the orders that it has not answered only the first may have met it.
    """
    ordered = [
        one for one in ended if one.run.stage is not progress.Stage.PLANNED
    ]
    confirmed = {
        id(one): one.run.confirmed_at
        for one in ordered
        if one.run.confirmed_at is not None
    }
    last = max(confirmed.values(), default=math.inf) - SAME_START_S
    first = min(
        (one.run.since for one in ordered if id(one) not in confirmed),
        default=-math.inf,
    )
    found = [
        one
        for one in ordered
        if confirmed.get(id(one), -math.inf) >= last
        or (id(one) not in confirmed and one.run.since <= first + SAME_START_S)
    ]
    return found if len(found) <= SAME_START_MOST else []


def _is_sole_suspect(
    placed: workers.PlacedRun, neighbours: Iterable[workers.PlacedRun]
) -> bool:
    """Return whether no other job can have caused the crash of a worker.

    Its run was isolated, and what else ran there is of the same job, whose
    tasks run the same, or had been at work for long when it began.
    """
    task, run = placed.task, placed.run
    if task.done or run.stage is progress.Stage.PLANNED:
        return False
    if run.number != task.isolated_run:
        return False
    return all(
        other.state is placed.state
        or other.run.stage is progress.Stage.PLANNED
        or (other.full_name, other.run.number) in task.settled_beside
        for other in neighbours
    )


def _is_prompt(run: progress.Run) -> bool:
    """Return whether a run has surely not been at work for long."""
    if run.inherited:
        # The owner before may have seen it at work.
        return False
    return _read_worked(run) <= PROMPT_S


def is_given_up(state: progress.JobState, task: progress.Task) -> bool:
    """Return whether a job must end because of the crashes under a task.

    :param state: The job.
    :param task: The task.
    """
    if task.done:
        return False
    prompt = sum(one.prompt_crashes for one in _list_suspects(state))
    if prompt >= (1 if state.known_time_to_crash else PROMPT_CRASHES_MOST):
        return True
    is_spent = task.crashes >= CRASHES_MOST
    return is_spent and count_isolated_crashes(state) > 0


def count_isolated_crashes(state: progress.JobState) -> int:
    """Return how many crashes only tasks of a job can have caused.

    Its tasks run the same, so that what one has shown stands for all.

    :param state: The job.
    """
    return sum(task.isolated_crashes for task in _list_suspects(state))


def _list_suspects(state: progress.JobState) -> list[progress.Task]:
    """Return the tasks of a job under which workers crashed."""
    suspects = [state.tasks[name] for name in state.suspects]
    return [task for task in suspects if not task.done]


def clear_suspect(
    worker: workers.WorkerState, placed: workers.PlacedRun, asked: float
) -> bool:
    """Clear a task whose run has worked for long enough.

    :param worker: The worker of the run.
    :param placed: The run, as its worker has just listed it.
    :param asked: When the worker was asked, in seconds: it ran then, while
        the answer may have waited for a process that stood still.
    :return: Whether it was a suspect and is none any more.
    """
    task, run, state = placed.task, placed.run, placed.state
    if run.confirmed_at is None:
        return False
    if asked - run.confirmed_at > _limit(
        state.known_time_to_crash, CLEARED_MOST_S
    ):
        state.known_time_to_crash = 0.0
    if not task.crashes:
        return False
    if asked - run.confirmed_at <= _limit(task.time_to_crash, CLEARED_MOST_S):
        return False
    task.forget_crashes()
    state.suspects.discard(task.name)
    worker.suspects.pop((placed.full_name, run.number), None)
    return True


def _limit(lived: float, most: float) -> float:
    """Return how long a run must work for it to speak for its task."""
    return max(CLEARED_LEAST_S, min(most, lived))


def choose_isolation(
    state: progress.JobState, task: progress.Task, now: float
) -> Isolation:
    """Return how a waiting task starts.

    Members of a gang start together or not at all, and are isolated only
    where nothing else is allowed.

    :param state: Its job.
    :param task: The task.
    :param now: Present time, in seconds.
    """
    if state.known_time_to_crash or task.crashes >= LAST_START_FROM:
        # Whoever caused the crashes, this start must tell.
        return Isolation.REQUIRED
    if not task.unexplained:
        return Isolation.NONE
    is_likely = is_likely_cause(state, task)
    if is_likely and task.crashes >= ALONE_FROM:
        return Isolation.REQUIRED
    is_gang = state.step_of(task.name).gang
    if is_gang or not (is_likely or task.unexplained >= ISOLATED_FROM):
        return Isolation.NONE
    if now - task.not_before > ISOLATION_WAIT_S:
        return Isolation.NONE
    return Isolation.PREFERRED


def is_likely_cause(state: progress.JobState, task: progress.Task) -> bool:
    """Return whether more speaks against a task than that it was there.

    :param state: Its job.
    :param task: The task.
    """
    if state.known_time_to_crash or task.youngest_crashes:
        return True
    return bool(task.unexplained and count_isolated_crashes(state))


def discount_explained(
    culprit: progress.JobState, others: Iterable[progress.JobState]
) -> list[progress.JobState]:
    """Take back what counts against others for crashes that a job has caused.

    The count of all crashes stays, for it bounds the starts of each task.

    :param culprit: A job that was given up.
    :param others: The jobs that have not ended.
    :return: Those of them of which something was taken back.
    """
    lives = set()
    for name in culprit.suspects:
        lives |= culprit.tasks[name].crashed_incarnations
    return [state for state in others if _explain(state, lives)]


def _explain(state: progress.JobState, lives: Collection[str]) -> bool:
    """Take back what counts against a job for the ends of some lives."""
    found = False
    for name in state.suspects:
        task = state.tasks[name]
        common = task.crashed_incarnations.intersection(lives)
        task.crashed_incarnations -= common
        task.explained += len(common)
        left = task.unexplained
        task.youngest_crashes = min(task.youngest_crashes, left)
        found = found or bool(common)
    return found


def is_isolating(worker: workers.WorkerState) -> bool:
    """Return whether a worker is kept for an isolated run.

    :param worker: The worker.
    """
    return any(
        placed.run.number == placed.task.isolated_run and _keeps_worker(placed)
        for placed in worker.suspects.values()
    )


def list_unsettled(
    worker: workers.WorkerState, state: progress.JobState | None
) -> list[workers.PlacedRun]:
    """Return the runs of other jobs that could cause a worker's next crash.

    :param worker: The worker.
    :param state: The job whose task is to start there.
    """
    return [
        placed
        for placed in worker.runs.values()
        if placed.state is not state and not _is_settled(placed)
    ]


def _keeps_worker(placed: workers.PlacedRun) -> bool:
    """Return whether an isolated run still keeps its worker for itself."""
    task = placed.task
    if task.unexplained and task.crashes >= LAST_START_FROM:
        # Until it is cleared.
        return True
    return _read_worked(placed.run) <= PROMPT_S


def _is_settled(placed: workers.PlacedRun) -> bool:
    """Return whether a run is known to have been at work for long."""
    if placed.run.number == placed.task.isolated_run and _keeps_worker(placed):
        return False
    lived = max(placed.task.time_to_crash, placed.state.known_time_to_crash)
    return _read_worked(placed.run) > _limit(lived, SETTLED_MOST_S)


def _read_worked(run: progress.Run) -> float:
    """Return how long a run is known to have worked, in seconds."""
    if run.confirmed_at is None or run.listed_at is None:
        return 0.0
    return run.listed_at - run.confirmed_at


def count_conflicting_runs(
    worker: workers.WorkerState,
    state: progress.JobState | None,
    task: progress.Task,
) -> int:
    """Count the runs on a worker that a task is better kept apart from.

    After one crash suspects are kept apart, so that fewer of them are hit by
    the next one.  After several they are kept from what has just started and
    may yet crash its first worker, and all others from them.

    :param worker: The worker.
    :param state: The task's job.
    :param task: The task.
    """
    if _is_suspected_again(task):
        unsettled = list_unsettled(worker, state)
        return sum(not placed.task.crashes for placed in unsettled)
    if task.unexplained:
        return len(worker.suspects)
    return sum(
        _is_suspected_again(placed.task) and not _is_settled(placed)
        for placed in worker.suspects.values()
    )


def _is_suspected_again(task: progress.Task) -> bool:
    """Return whether more than one crash speaks against a task."""
    return task.unexplained >= ISOLATED_FROM or task.youngest_crashes > 0


def isolate(
    worker: workers.WorkerState,
    state: progress.JobState,
    task: progress.Task,
    number: int,
) -> None:
    """Note that a task's next run is isolated on a worker.

    :param worker: The worker, without the run.
    :param state: The job.
    :param task: The task.
    :param number: Number of the run.
    """
    task.isolated_run = number
    unsettled = {id(placed) for placed in list_unsettled(worker, state)}
    task.settled_beside = {
        key
        for key, placed in worker.runs.items()
        if placed.state is not state and id(placed) not in unsettled
    }
