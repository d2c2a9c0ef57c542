"""Moving lasting tasks off a worker without taking too many away at once.

The availability budget of a step: while as many of its tasks as it bears are
away for any cause, no order ends another one that is at work.
"""

from __future__ import annotations

from rackvalve.jobs import progress
from rackvalve.scheduling import book as books
from rackvalve.scheduling import workers

READY_PERCENT = 100
# A worker that has not answered for longer is taken to be away, in seconds;
# holds are answered after half a second at the latest.
SILENCE_S = 1.0
# A run that will end within this time is let end, however long it has run
# (seconds): to start it anew elsewhere takes longer than to wait.
REST_S = 3.0


def is_ready(book: books.Book, task: progress.Task, now: float) -> bool:
    """Return whether a lasting task is at work, as far as is known.

    A task on a worker that is silent is taken to be away, and so is one that
    an earlier owner may just have ordered to stop.

    :param book: The book.
    :param task: The task.
    :param now: Present time, in seconds.
    """
    for run in task.runs.values():
        worker = book.workers.get(run.worker)
        if (
            worker is not None
            and now - worker.last_alive_at <= SILENCE_S
            and now >= worker.inherited_stops_end
            and run.stage is progress.Stage.CONFIRMED
            and run.percent >= READY_PERCENT
            and not run.stop_wanted
        ):
            return True
    return False


def may_evict(book: books.Book, placed: workers.PlacedRun, now: float) -> bool:
    """Return whether a lasting task may be stopped and started elsewhere.

    :param book: The book.
    :param placed: The run.
    :param now: Present time, in seconds.
    """
    worker = book.workers.get(placed.run.worker)
    if worker is None or now < worker.inherited_stops_end:
        return False
    # A task that was not at work when its worker last told may be by now, so
    # its own state does not matter.
    name = placed.task.name
    away = sum(
        1
        for other in placed.state.tasks.values()
        if other.name.step == name.step
        and other.name.repetition == name.repetition
        and other is not placed.task
        and not is_ready(book, other, now)
    )
    # A step that names no bound is moved one task at a time all the same.
    return away < max(1, placed.step.most_away)


def estimate_rest(run: progress.Run, now: float) -> float:
    """Return how long a run will go on, by its progress, in seconds.

    :param run: The run.
    :param now: Present time, in seconds.
    :return: Infinity while no progress is known.
    """
    if run.confirmed_at is None or run.percent <= 0:
        return float("inf")
    worked = now - run.confirmed_at
    return worked * (100 - run.percent) / run.percent


def vacate(
    book: books.Book, worker: workers.WorkerState, patience: float, now: float
) -> bool:
    """Stop what has to leave a worker that takes no more work.

    :param book: The book.
    :param worker: The worker.
    :param patience: Tasks that end by themselves are given this long from
        their start, in seconds.
    :param now: Present time, in seconds.
    :return: Whether nothing is left on the worker.
    """
    for placed in list(worker.runs.values()):
        run = placed.run
        if run.stop_wanted:
            continue
        if placed.step.lasting:
            leave = may_evict(book, placed, now)
        else:
            leave = (
                now - run.since > patience and estimate_rest(run, now) > REST_S
            )
        if leave:
            book.stop(placed.state, placed.task, run, "its VM is to leave")
    return not worker.runs
