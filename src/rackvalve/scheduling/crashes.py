"""Attribution of worker crashes to tasks; the planner and endings use it.

A crashed worker does not report on its runs, and each of them may have caused
the crash.  So a crash is counted against all of them.  The count is stored in
the job's record before the task's next start, and a new owner reads it there.

The count alone fails no job, since other tasks may cause any number of
crashes on the workers of a harmless task.  It decides how the task is
retried: at first apart from other suspects, then on a worker that accepts no
other run meanwhile, and from the third crash on only where nothing else could
cause the next crash.  A job fails only for crashes that no other job can have
caused.
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

# Users accept five starts of a task that crashes each worker, two of them
# after the third crash.
MAX_CRASHES = 5
# Crashes in isolation, each soon after the start, after which a job fails:
# the VM itself may cause one.  For a job that runs the same as one that failed
# in this way, the first is enough.
MAX_PROMPT_CRASHES = 2
# A crash counts as prompt if the run is not known to have worked for longer
# than this (seconds), its start was confirmed, and its worker is known to have
# ended within PROMPT_END_S of the order: an end that shows only by a hold that
# times out was noticed 0.6 to 1.0 s after the order.
PROMPT_CRASH_S = 0.3
PROMPT_END_S = 1.2
# Crashes after which a task is retried in isolation.  One is enough if other
# workers of the pool crashed lately and its run was the last to start.
PREFER_ISOLATION_FROM = 2
# Crashes after which such a task starts in isolation only.
REQUIRE_ISOLATION_FROM = 3
# Crashes after which the next start is the last that users accept: its worker
# accepts no other run until the task is cleared.
LAST_START_FROM = MAX_CRASHES - 1
# Runs whose starts were confirmed within this time (seconds) of each other
# count as started together; more than MAX_SAME_START of them give no hint.
SAME_START_S = 0.05
MAX_SAME_START = 3
# A task that finds no worker for isolation within this time (seconds) starts
# anywhere, while that is still allowed.  With the 0.7 s until a crash is
# detected this stays below the 3 s that an accepted job may be without any
# run.
ISOLATION_WAIT_S = 1.8
# A run clears its task once it is known to have worked for the minimum, and
# longer than any run of the task that a crash has ended (seconds).  The
# maximum is always enough: VMs of long-running tasks crash now and then.
MIN_CLEARING_S = 1.0
MAX_CLEARING_S = 60.0
# With this maximum in place of MAX_CLEARING_S (seconds) a run is settled: it
# is taken not to cause a crash right after another task's start on its worker.
MAX_SETTLING_S = 3.0


class Isolation(enum.Enum):
    """Whether a task starts on a worker that no other job could crash."""

    # The task starts on any worker.
    NONE = "none"
    # The task waits for such a worker, at most ISOLATION_WAIT_S.
    PREFERRED = "preferred"
    # The task starts on such a worker only.
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
) -> workers.PlacedRun | None:
    """Count the end of a worker against the tasks that may have caused it.

    :param ended: All runs of the worker.
    :param fate: What became of the worker.
    :param now: Latest time at which the worker ended, in seconds.
    :param is_series: Whether other workers of its pool crashed lately.
    :return: The isolated run that alone can have caused it, if there is one.
    """
    counted = None
    sole_suspect = next(
        (one for one in ended if _is_sole_suspect(one, ended)), None
    )
    youngest = _list_youngest(ended) if is_series else []
    for placed in ended:
        if sole_suspect is not None and placed.state is not sole_suspect.state:
            # The isolated run explains the crash.
            continue
        is_counted = count_crash(placed, fate, now)
        if placed in youngest:
            placed.task.youngest_crashes += is_counted
        if placed is sole_suspect and is_counted:
            placed.task.isolated_crashes += 1
            counted = placed
    return counted


def count_crash(
    placed: workers.PlacedRun, fate: releases.Fate, now: float
) -> bool:
    """Count the end of a worker against a task that ran on the worker.

    :param placed: The run.
    :param fate: What became of the worker.
    :param now: Present time, in seconds.
    :return: Whether the end counts as a crash.
    """
    task, run = placed.task, placed.run
    if run.stage is progress.Stage.PLANNED or task.done:
        return False
    # A worker out of reach counts as crashed for tasks that are suspects
    # already.  If it did for all, one pause of the owner would make every
    # running task a suspect.
    suspected = fate is releases.Fate.OUT_OF_REACH and task.crashes > 0
    if fate is not releases.Fate.CRASHED and not suspected:
        return False
    task.crashes += 1
    age = max(0.0, now - run.since)
    task.time_to_crash = max(task.time_to_crash, age)
    task.crashed_incarnations |= {run.worker}
    if run.location is not None:
        task.crashed_on |= {run.location.vm}
    placed.state.suspects.add(task.name)
    return True


def _list_youngest(
    ended: Iterable[workers.PlacedRun],
) -> list[workers.PlacedRun]:
    """Return the runs that started last on a worker, if they are few.

    Of the orders that the worker has not answered, only the first may have
    reached it.
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
    return found if len(found) <= MAX_SAME_START else []


def _is_sole_suspect(
    placed: workers.PlacedRun, neighbours: Iterable[workers.PlacedRun]
) -> bool:
    """Return whether only the job of a run can have caused a worker's crash.

    The run was isolated, and each other run on the worker is of the same job,
    whose tasks run the same, or was settled when the run began.
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


def is_prompt(run: progress.Run, latest: float) -> bool:
    """Return whether a run surely crashed its worker soon after its start.

    :param run: The run.
    :param latest: Latest time at which the worker ended, in seconds.
    """
    if run.inherited or run.confirmed_at is None:
        # A previous owner may have seen the run at work, or the worker may
        # have ended before the run could start.
        return False
    if latest - run.since > PROMPT_END_S:
        return False
    return _read_work_time(run) <= PROMPT_CRASH_S


def is_given_up(
    state: progress.JobState,
    task: progress.Task,
    *,
    is_disturbed: bool,
    is_compared: bool = True,
    undecided: int = 0,
) -> bool:
    """Return whether a job must fail because of a task's crashes.

    :param state: The job.
    :param task: The task.
    :param is_disturbed: Whether VMs of its pool crash by themselves, or may
        do so; one more crash must then speak against the job.
    :param is_compared: Whether this owner has compared a crash with those of
        other VMs; prompt crashes were compared by the owner that counted them.
    :param undecided: Prompt crashes that are not yet counted.
    """
    if task.done:
        return False
    prompt = undecided + sum(
        one.prompt_crashes for one in list_suspects(state)
    )
    needed = 1 if state.known_time_to_crash else MAX_PROMPT_CRASHES
    if prompt >= needed + is_disturbed:
        return True
    is_spent = task.crashes >= MAX_CRASHES
    needed = 2 if is_disturbed or not is_compared else 1
    return is_spent and count_isolated_crashes(state) >= needed


def count_isolated_crashes(state: progress.JobState) -> int:
    """Return how many crashes only tasks of a job can have caused.

    The tasks of a job run the same, so the crashes of each count for all.

    :param state: The job.
    """
    return sum(task.isolated_crashes for task in list_suspects(state))


def list_suspects(state: progress.JobState) -> list[progress.Task]:
    """Return the suspects of a job that are not done.

    :param state: The job.
    """
    suspects = [state.tasks[name] for name in state.suspects]
    return [task for task in suspects if not task.done]


def clear_suspect(
    worker: workers.WorkerState, placed: workers.PlacedRun, asked: float
) -> bool:
    """Clear a task whose run has worked for long enough.

    :param worker: The worker of the run.
    :param placed: The run, as its worker has just listed it.
    :param asked: When the worker was asked, in seconds.  The run was alive
        then; the answer may have waited while this process was paused.
    :return: Whether the task was a suspect and is no longer.
    """
    task, run, state = placed.task, placed.run, placed.state
    if run.confirmed_at is None:
        return False
    if asked - run.confirmed_at > _choose_required_work(
        state.known_time_to_crash, MAX_CLEARING_S
    ):
        state.known_time_to_crash = 0.0
    if not task.crashes:
        return False
    if asked - run.confirmed_at <= _choose_required_work(
        task.time_to_crash, MAX_CLEARING_S
    ):
        return False
    task.forget_crashes()
    state.suspects.discard(task.name)
    worker.suspects.pop((placed.full_name, run.number), None)
    return True


def _choose_required_work(time_to_crash: float, most: float) -> float:
    """Return how long a run must work to clear its task, in seconds."""
    return max(MIN_CLEARING_S, min(most, time_to_crash))


def choose_isolation(
    state: progress.JobState, task: progress.Task, now: float
) -> Isolation:
    """Return how a waiting task starts.

    Members of a gang start together or not at all, and are isolated only
    if isolation is required.

    :param state: Its job.
    :param task: The task.
    :param now: Present time, in seconds.
    """
    if state.known_time_to_crash or task.crashes >= LAST_START_FROM:
        # This start must show whether the task causes the crashes.
        return Isolation.REQUIRED
    if not task.unexplained:
        return Isolation.NONE
    is_likely = is_likely_cause(state, task)
    if (
        is_likely or task.needs_proof
    ) and task.crashes >= REQUIRE_ISOLATION_FROM:
        return Isolation.REQUIRED
    is_gang = state.step_of(task.name).gang
    if is_gang or not (is_likely or task.unexplained >= PREFER_ISOLATION_FROM):
        return Isolation.NONE
    if now - task.not_before > ISOLATION_WAIT_S:
        return Isolation.NONE
    return Isolation.PREFERRED


def is_likely_cause(state: progress.JobState, task: progress.Task) -> bool:
    """Return whether more points to a task than its presence at crashes.

    :param state: Its job.
    :param task: The task.
    """
    if state.known_time_to_crash or task.youngest_crashes:
        return True
    return bool(task.unexplained and count_isolated_crashes(state))


def discount_explained(
    crashing_job: progress.JobState, others: Iterable[progress.JobState]
) -> list[progress.JobState]:
    """Mark crashes that a failed job caused as explained for other jobs.

    The count of all crashes stays, since it bounds the starts of each task.

    :param crashing_job: A job that failed for crashing its workers.
    :param others: The jobs that have not ended.
    :return: Those of them for which a crash was marked.
    """
    incarnations: frozenset[str] = frozenset()
    for name in crashing_job.suspects:
        incarnations |= crashing_job.tasks[name].crashed_incarnations
    return [
        state
        for state in others
        if _discount_incarnations(state, incarnations)
    ]


def _discount_incarnations(
    state: progress.JobState, incarnations: Collection[str]
) -> bool:
    """Mark the crashes of some incarnations as explained for a job."""
    found = False
    for name in state.suspects:
        task = state.tasks[name]
        common = task.crashed_incarnations.intersection(incarnations)
        task.crashed_incarnations -= common
        task.explained += len(common)
        left = task.unexplained
        task.youngest_crashes = min(task.youngest_crashes, left)
        found = found or bool(common)
    return found


def is_isolating(worker: workers.WorkerState) -> bool:
    """Return whether a worker is reserved by an isolated run.

    :param worker: The worker.
    """
    return any(map(_is_isolated, worker.suspects.values()))


def find_isolated_work(worker: workers.WorkerState) -> float:
    """Return how long all runs that isolate a worker are known to have worked.

    :param worker: The worker, which is isolating.
    :return: Duration of the shortest one, in seconds.
    """
    isolated = filter(_is_isolated, worker.suspects.values())
    return min(_read_work_time(placed.run) for placed in isolated)


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


def _is_isolated(placed: workers.PlacedRun) -> bool:
    """Return whether a run was isolated and still has its worker to itself."""
    task = placed.task
    if placed.run.number != task.isolated_run:
        return False
    if task.unexplained and task.crashes >= LAST_START_FROM:
        # The run keeps it until the task is cleared.
        return True
    return _read_work_time(placed.run) <= PROMPT_CRASH_S


def _is_settled(placed: workers.PlacedRun) -> bool:
    """Return whether a run has worked too long to be a likely cause."""
    if _is_isolated(placed):
        return False
    time_to_crash = max(
        placed.task.time_to_crash, placed.state.known_time_to_crash
    )
    return _read_work_time(placed.run) > _choose_required_work(
        time_to_crash, MAX_SETTLING_S
    )


def _read_work_time(run: progress.Run) -> float:
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

    After one crash suspects are kept apart from each other, so that the next
    crash hits fewer of them.  After several they are kept from runs that have
    just started and may yet crash their first worker, and all other tasks are
    kept from these suspects.

    :param worker: The worker.
    :param state: The task's job.
    :param task: The task.
    """
    if _has_repeated_crashes(task):
        unsettled = list_unsettled(worker, state)
        return sum(not placed.task.crashes for placed in unsettled)
    if task.unexplained:
        return len(worker.suspects)
    return sum(
        _has_repeated_crashes(placed.task) and not _is_settled(placed)
        for placed in worker.suspects.values()
    )


def _has_repeated_crashes(task: progress.Task) -> bool:
    """Return whether a task may have caused more than one crash.

    A crash in a series, with its run the youngest, is enough as well.
    """
    return (
        task.unexplained >= PREFER_ISOLATION_FROM or task.youngest_crashes > 0
    )


def isolate(
    worker: workers.WorkerState,
    state: progress.JobState,
    task: progress.Task,
    number: int,
) -> None:
    """Record that a task's next run is isolated on a worker.

    :param worker: The worker, without the run.
    :param state: The job.
    :param task: The task.
    :param number: Number of the run.
    """
    task.isolated_run = number
    unsettled = {id(placed) for placed in list_unsettled(worker, state)}
    task.settled_beside = frozenset(
        key
        for key, placed in worker.runs.items()
        if placed.state is not state and id(placed) not in unsettled
    )
