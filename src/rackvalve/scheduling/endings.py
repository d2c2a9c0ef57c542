"""Release of runs that are proved over without a report of their end."""

from __future__ import annotations

from rackvalve.jobs import progress
from rackvalve.scheduling import book as books
from rackvalve.scheduling import crashes
from rackvalve.scheduling import releases
from rackvalve.scheduling import workers


def release_all(
    book: books.Book,
    worker: workers.WorkerState,
    proof: str,
    *,
    now: float,
    wall: float,
) -> releases.Release:
    """Release all runs of a worker that are proved over.

    :param book: The book.
    :param worker: The worker.
    :param proof: Reason why they are known to be over.
    :param now: Present time, in seconds.
    :param wall: Present time, seconds since 1970.
    :return: The released runs.
    """
    ended = list(worker.runs.values())
    fate = releases.determine_fate(worker, proof)
    is_series = False
    if fate is releases.Fate.CRASHED and worker.entry is not None:
        is_series = book.crash_history.series.note(worker.entry.pool, now)
    crashes.attribute_crash(ended, fate, now, is_series=is_series)
    for placed in ended:
        # Failures of lasting tasks are not counted against a limit.
        if fate is releases.Fate.OUT_OF_REACH and not placed.step.lasting:
            placed.task.unreported_runs.add(placed.run.number)
    release = releases.make_release(worker, proof, now)
    for placed in ended:
        book.release(placed, now)
    for placed in ended:
        _fail_if_crashing(book, placed, wall)
    return release


def release_expired(
    book: books.Book, worker: workers.WorkerState, now: float, wall: float
) -> releases.Release:
    """Release all runs of a worker whose leases have expired.

    :param book: The book.
    :param worker: The worker.
    :param now: Present time, in seconds.
    :param wall: Present time, seconds since 1970.
    :return: The released runs.
    """
    proof = releases.find_proof(worker)
    return release_all(book, worker, proof, now=now, wall=wall)


def end_incarnation(
    book: books.Book, identity: str, proof: str, *, now: float, wall: float
) -> releases.Release | None:
    """Remove an incarnation of a worker that is over, and release its runs.

    :param book: The book.
    :param identity: Identity of the incarnation.
    :param proof: Reason why it is known to be over.
    :param now: Present time, in seconds.
    :param wall: Present time, seconds since 1970.
    :return: The released runs; ``None`` if the incarnation is not known.
    """
    worker = book.remove_incarnation(identity)
    if worker is None:
        return None
    return release_all(book, worker, proof, now=now, wall=wall)


def _fail_if_crashing(
    book: books.Book, placed: workers.PlacedRun, wall: float
) -> None:
    """Fail a job if it alone can have caused its workers' crashes."""
    task, state = placed.task, placed.state
    if state.is_final or not crashes.is_given_up(state, task):
        return
    isolated = crashes.count_isolated_crashes(state)
    reason = (
        f"{task.crashes} workers crashed under task {task.name}; of the "
        f"crashes under this job no other job can have caused {isolated}"
    )
    book.finish_job(state, progress.Phase.FAILED, wall, reason)
    book.crash_history.crashing_jobs.match(state, book.open_jobs.values())
    for other in crashes.discount_explained(state, book.open_jobs.values()):
        book.mark_changed(other)
