"""Tasks under which workers crash: who is suspected, cleared, or given up.

A worker that crashes tells nothing of its runs, and each of them may be to
blame.  So each crash is counted against all of them, and the count is part of
the job's record, which is in the store before the task's next start: it
outlives its owner.  What keeps innocent tasks from being given up is how they
are tried again: at first away from other suspects, then isolated, on a worker
that takes no other run meanwhile, so that the next crash speaks against this
task alone.
"""

from __future__ import annotations

from collections.abc import Iterable
import math

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import releases
from rackvalve.scheduling import workers

# Crashes after which a job is given up whatever is known of them: the users
# bear five starts of a task that crashes each worker, two after the third.
CRASHES_MOST = 5
# Crashes in isolation after which it is given up.
ISOLATED_CRASHES_MOST = 2
# Crashes after which a task is tried in isolation: the first may have had any
# of a worker's runs to blame, some ten of them in what was seen.
ISOLATED_FROM = 2
# A task that finds no worker to be isolated on for this long (seconds) starts
# anywhere: with the 0.7 s until a crash is noticed this stays below the 3 s
# for which nothing of an accepted job may run.  Each further crash doubles it:
# in generated histories with three VMs, several tasks that crash them, and
# changes of owner, 7 of 300 gave up another job where it did not.
ISOLATION_WAIT_S = 1.8
# A run that has worked for this long (seconds) does not keep its worker for
# itself any more: tasks that crash workers at once have done so.
ISOLATION_MOST_S = 3.0
# A run that is known to have worked for this long, in seconds, and longer than
# any run of its task that a crash has ended, clears its task.  With 3 s at the
# least a lasting task was given up beside six jobs that crashed the VMs of its
# pool every 0.5 s.  The most is for tasks that last, too: their VMs crash now
# and then, and that is not added up over months.
CLEARED_LEAST_S = 1.0
CLEARED_MOST_S = 60.0


def blame(
    placed: workers.Placed,
    fate: releases.Fate,
    now: float,
    neighbours: Iterable[workers.Placed] = (),
) -> None:
    """Count the end of a worker against a task that ran there.

    :param placed: The run.
    :param fate: What became of the worker.
    :param now: Present time, in seconds.
    :param neighbours: All runs of the worker.
    """
    task, run = placed.task, placed.run
    if run.stage is progress.Stage.PLANNED or task.done:
        return
    # Out of reach is no sign of a crash by itself, or one pause of an owner
    # would make suspects of all that runs; of a suspect it is taken for one.
    suspected = fate is releases.Fate.OUT_OF_REACH and task.crashes > 0
    if fate is not releases.Fate.CRASHED and not suspected:
        return
    task.crashes += 1
    # Its worker takes others again while it works on; a crash after that
    # speaks against these as well.
    is_alone = not any(_came_after(placed, other) for other in neighbours)
    if run.number == task.isolated and is_alone:
        task.isolated_crashes += 1
    task.lived = max(task.lived, now - run.since)
    placed.state.suspects.add(task.name)


def _came_after(placed: workers.Placed, other: workers.Placed) -> bool:
    """Return whether another run came to a run's worker after it."""
    if other.run.stage is progress.Stage.PLANNED:
        return False
    return other.run.since > placed.run.since


def is_given_up(task: progress.Task) -> bool:
    """Return whether so many workers crashed under a task that it must end.

    :param task: The task.
    """
    if task.done:
        return False
    return (
        task.crashes >= CRASHES_MOST
        or task.isolated_crashes >= ISOLATED_CRASHES_MOST
    )


def clear(
    worker: workers.WorkerState, placed: workers.Placed, asked: float
) -> bool:
    """Clear a task whose run has worked for long enough.

    :param worker: The worker of the run.
    :param placed: The run, as its worker has just listed it.
    :param asked: When the worker was asked, in seconds: it ran then, while
        the answer may have waited for a process that stood still.
    :return: Whether it was a suspect and is none any more.
    """
    task, run = placed.task, placed.run
    if not task.crashes or run.confirmed_at is None:
        return False
    longer = max(CLEARED_LEAST_S, min(CLEARED_MOST_S, task.lived))
    if asked - run.confirmed_at <= longer:
        return False
    task.crashes = 0
    task.isolated_crashes = 0
    task.lived = 0.0
    task.isolated = 0
    placed.state.suspects.discard(task.name)
    worker.suspects.pop((placed.full_name, run.number), None)
    return True


def awaits_isolation(
    step: definition.Step, task: progress.Task, now: float
) -> bool:
    """Return whether a waiting task may start in isolation only.

    Members of a gang start together or not at all, and are not isolated.

    :param step: Its step.
    :param task: The task.
    :param now: Present time, in seconds.
    """
    if task.crashes < ISOLATED_FROM or step.gang:
        return False
    doublings = task.crashes - ISOLATED_FROM
    return now - task.not_before <= math.ldexp(ISOLATION_WAIT_S, doublings)


def find_to_isolate(
    state: progress.JobState, now: float
) -> progress.Task | None:
    """Return the task of a job that is to be tried in isolation next.

    One of a job at a time: its tasks run the same, and one that is to blame
    ends the job for all.

    :param state: The job.
    :param now: Present time, in seconds.
    """
    found = None
    for name in state.suspects:
        task = state.tasks[name]
        if task.isolated in task.runs:
            return None
        if name not in state.waiting or task.not_before > now:
            continue
        if found is None and awaits_isolation(state.step_of(name), task, now):
            found = task
    return found


def is_isolating(worker: workers.WorkerState, now: float) -> bool:
    """Return whether a worker is kept for an isolated run.

    :param worker: The worker.
    :param now: Present time, in seconds.
    """
    for placed in worker.suspects.values():
        run = placed.run
        if placed.task.isolated != run.number:
            continue
        began = run.confirmed_at
        if began is None or now - began <= ISOLATION_MOST_S:
            return True
    return False
