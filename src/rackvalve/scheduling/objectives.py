"""Until when a job should end, and whether it still can."""

from __future__ import annotations

import enum

from rackvalve.jobs import progress
from rackvalve.scheduling import book as books
from rackvalve.scheduling import queues

# A job past this many times its objective earns nothing more (the users'
# rules).
WORTHLESS_AFTER = 3.0
# A job of which nothing has started for this long goes by its arrival again
# (seconds), late or not: an accepted job must not stand for 3 s while later
# ones of its queue start.  It costs 0.004 of a day's worth (20 pairs of plays
# where turns are beyond the pools, standard error 0.002).
STARVATION_S = 2.0


class Grade(enum.IntEnum):
    """What starting a job now is good for, the best first."""

    LASTING = 0
    IN_TIME = 1
    # It can be in time, but its workspace has sent more than it has paid for.
    BEYOND_RATE = 2
    LATE = 3
    WORTHLESS = 4


def grade(
    book: books.Book,
    state: progress.JobState,
    queue: queues.Queue,
    now: float,
) -> Grade:
    """Return whether a job that ends can still be in time, and its right to.

    :param book: The book, for the times of tasks that have ended.
    :param state: The job.
    :param queue: Its queue.
    :param now: Present time, in seconds.
    """
    objective = estimate_objective(book, state, queue)
    age = now - state.arrived
    if age > WORTHLESS_AFTER * objective:
        return Grade.WORTHLESS
    left = estimate_critical_path(book, state, open_only=True)
    if age + left > objective:
        return Grade.LATE
    return Grade.IN_TIME if state.guaranteed else Grade.BEYOND_RATE


def is_starved(state: progress.JobState, now: float) -> bool:
    """Return whether nothing of a job has started for too long.

    What a workspace sent beyond its rate waits for the others all the same.

    :param state: The job.
    :param now: Present time, in seconds.
    """
    if not state.guaranteed or now - state.arrived <= STARVATION_S:
        return False
    return state.next_run == 1


def estimate_objective(
    book: books.Book, state: progress.JobState, queue: queues.Queue
) -> float:
    """Return the time within which a job should end, in seconds.

    :param book: The book, for the times of tasks that have ended.
    :param state: The job.
    :param queue: Its queue.
    """
    return queue.allowance + queue.stretch * estimate_critical_path(
        book, state
    )


def estimate_critical_path(
    book: books.Book, state: progress.JobState, *, open_only: bool = False
) -> float:
    """Return the time that a job's longest chain of steps takes, in seconds.

    :param book: The book, for the times of tasks that have ended.
    :param state: The job.
    :param open_only: Whether steps that are done do not count.
    """
    typical = book.durations.get(state.queue, 0.0)
    longest: list[float] = []
    for number, step in enumerate(state.job.steps):
        before = max((longest[n] for n in step.after), default=0.0)
        own = typical or step.estimate
        if open_only and state.step_is_done(0, number):
            own = 0.0
        longest.append(before + own)
    return max(longest)
