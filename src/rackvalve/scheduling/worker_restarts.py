"""When a worker has started again: what becomes of its life before.

A life ends by the word of the one that follows it: no entry and no list can
tell as surely, for they are of a moment ago.  That word also tells what has
become of the runs.  An order that was still on its way may have met the later
life, where its run then is, or has ended; what the later life doesn't name
ended with the earlier one.
"""

from __future__ import annotations

from rackvalve.jobs import incarnations
from rackvalve.scheduling import book as books
from rackvalve.scheduling import endings
from rackvalve.scheduling import messages
from rackvalve.scheduling import releases
from rackvalve.scheduling import workers


# How long a life that was only heard of is waited for, in seconds: as long as
# what the one before had may run on.
HEARD_OF_S = 4.0


def note_replaced(
    book: books.Book, earlier: workers.WorkerState, born: int, now: float
) -> workers.WorkerState | None:
    """Note that another life answers in place of an earlier one.

    What the earlier one had is settled once the later one has told what it
    has; until then nothing is said to be over.

    :param book: The book.
    :param earlier: The earlier life.
    :param born: When the later one began, in milliseconds since 1970.
    :param now: Present time, in seconds.
    :return: The later life; ``None`` if that was noted before.
    """
    if earlier.replaced or earlier.location is None:
        return None
    earlier.replaced = True
    life = incarnations.Incarnation(worker=earlier.life.worker, born=born)
    later = book.add_incarnation(life.identity)
    later.location = later.location or earlier.location
    later.note_extension(now, HEARD_OF_S)
    entry = earlier.entry
    if (
        entry is not None
        and incarnations.parse_incarnation(entry.identity).born is None
    ):
        # It tells no birth, and is the present life's.
        book.set_entry(entry)
    return later


def supersede_earlier(
    book: books.Book,
    worker: workers.WorkerState,
    report: messages.Report,
    *,
    now: float,
    wall: float,
) -> list[releases.Release]:
    """Let a life that answers take over from those before it.

    :param book: The book.
    :param worker: The life that has made the report.
    :param report: All that it has.
    :param now: Present time, in seconds.
    :param wall: Present time, seconds since 1970.
    :return: What ended with each of the lives before.
    """
    found = []
    for earlier in _list_earlier(book, worker):
        _move_runs(book, earlier, worker, report)
        release = endings.end_incarnation(
            book, earlier.identity, releases.RESTARTED, now=now, wall=wall
        )
        if release is not None:
            found.append(release)
    return found


def _list_earlier(
    book: books.Book, worker: workers.WorkerState
) -> list[workers.WorkerState]:
    """Return the lives that a worker has had before.

    One that only an entry names, and that was never asked, may be the next.
    """
    return [
        other
        for other in book.workers_by_name.find(worker.life.worker)
        if other is not worker
        and (
            other.replaced
            or other.established
            or other.entry is None
            or other.life.born is None
        )
    ]


def _move_runs(
    book: books.Book,
    earlier: workers.WorkerState,
    later: workers.WorkerState,
    report: messages.Report,
) -> None:
    """Move the runs that are, or were, on the later life.

    A record that tells no birth may mean the later one in all of its runs.
    """
    told = {(row.task, row.run) for row in report.running}
    told |= {(row.task, row.run) for row in report.ended}
    is_unknown = earlier.life.born is None
    for key, placed in list(earlier.runs.items()):
        if key in told or (is_unknown and placed.run.inherited):
            book.move_run(placed, later)
