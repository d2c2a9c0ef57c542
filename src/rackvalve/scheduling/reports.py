"""What a worker's report changes in the book."""

from __future__ import annotations

import dataclasses

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import book as books
from rackvalve.scheduling import crashes
from rackvalve.scheduling import job_starts
from rackvalve.scheduling import messages
from rackvalve.scheduling import releases
from rackvalve.scheduling import speeds
from rackvalve.scheduling import worker_restarts
from rackvalve.scheduling import workers

# A worker tells at most this many ends at once; with as many, more may come.
ENDS_PER_REPORT = 500
# A worker that has just failed a task gets no other one for this long
# (seconds), doubled with each further failure in a row.  Tasks fail through
# their own fault in a few of a thousand runs only.
SUSPECT_FIRST_S = 1.0
SUSPECT_MOST_S = 8.0
# A task that lasts and ends at once is not started anew at full speed
# (seconds).
LASTING_PAUSE_S = 0.1
# Weight of the newest time in the mean time of a queue's tasks.
DURATION_WEIGHT = 0.1


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RunEnded:
    """What an end came to, for logs.

    :param worker: Identity of the worker.
    :param task: Full name of the task.
    :param run: Number of the run.
    :param cause: Why or how it ended.
    :param counted: Whether the end belonged to a run that was known.
    """

    worker: str
    task: str
    run: int
    cause: str
    counted: bool


class Handler:
    """Applies reports to a book.

    :param book: The book.
    :param lease: Length of a lease on a worker, in seconds.
    :param settling: How long a stop takes at most, in seconds.
    :param hold_wait: How long a worker waits with its answer to a hold at
        most, in seconds.
    :param hold_most: How long a hold takes at most, in seconds.
    """

    __slots__ = (
        "_book",
        "_lease",
        "_settling",
        "_hold_wait",
        "_hold_most",
        "ended",
        "released",
    )

    def __init__(
        self,
        book: books.Book,
        *,
        lease: float,
        settling: float,
        hold_wait: float,
        hold_most: float,
    ) -> None:
        self._book = book
        self._lease = lease
        self._settling = settling
        self._hold_wait = hold_wait
        self._hold_most = hold_most
        # Ends that were handled and not yet logged.
        self.ended: list[RunEnded] = []
        # What ended with earlier lives of workers, not yet taken up.
        self.released: list[releases.Release] = []

    def take(
        self,
        worker: workers.WorkerState,
        report: messages.Report,
        *,
        now: float,
        wall: float,
    ) -> None:
        """Apply a report.

        :param worker: The worker that made it.
        :param report: The report.
        :param now: Present time, in seconds.
        :param wall: Present time, seconds since 1970.
        """
        # One that is late by more has waited while this process stood still.
        worker.heard = min(now, report.sent + self._hold_most)
        # After a pause of this process the answer tells of a time before it.
        worker.answered = min(now, report.sent + self._hold_wait)
        self.released += worker_restarts.supersede_earlier(
            self._book, worker, report, now=now, wall=wall
        )
        for row in report.ended:
            if row.number <= worker.handled:
                continue
            worker.handled = row.number
            worker.unrecorded.append((row.number, None))
            self._take_end(worker, row, now, wall)
        running = {(row.task, row.run): row for row in report.running}
        for key, placed in list(worker.runs.items()):
            listed = running.get(key)
            if listed is not None:
                _update_run(placed, listed, report.sent, now)
                if job_starts.note_run_seen(placed):
                    self._book.note_begun(placed.state)
                if crashes.clear_suspect(worker, placed, report.sent):
                    self._book.mark(placed.state)
            elif len(report.ended) < ENDS_PER_REPORT:
                self._take_absence(worker, placed, report.sent, now)
        for key in running:
            if key not in worker.runs:
                self._stop_stray(worker, key)
        if not worker.established:
            worker.note_established(now, self._lease, self._settling)
            worker.began = now - report.clock

    def _take_end(
        self,
        worker: workers.WorkerState,
        row: messages.EndedRow,
        now: float,
        wall: float,
    ) -> None:
        placed = worker.runs.get((row.task, row.run))
        found = placed is not None or self._find(row.task) is not None
        self.ended.append(
            RunEnded(
                worker=worker.identity,
                task=row.task,
                run=row.run,
                cause=row.cause,
                counted=placed is not None,
            )
        )
        if not found:
            return
        if placed is not None:
            state, task = placed.state, placed.task
        else:
            located = self._find(row.task)
            assert located is not None
            state, task = located
        if row.checkpoint and placed is not None:
            task.checkpoint = row.checkpoint
        step = state.step_of(task.name)
        if job_starts.note_run_ended(state, step, row.ending):
            self._book.note_begun(state)
        if row.ending is messages.Ending.DONE:
            self._take_done(worker, state, task, placed, row.run, now, wall)
        elif placed is not None:
            self._take_cut(worker, placed, row.ending, now, wall)
        elif row.run in task.unreported_runs:
            # Its run was released without the worker's word.
            task.unreported_runs.discard(row.run)
            task.failures += row.ending is messages.Ending.FAILED
            self._book.mark(state)
            self._fail_if_spent(state, task, wall)

    def _take_done(
        self,
        worker: workers.WorkerState,
        state: progress.JobState,
        task: progress.Task,
        placed: workers.Placed | None,
        number: int,
        now: float,
        wall: float,
    ) -> None:
        step = state.step_of(task.name)
        self._book.crash_history.crashing_jobs.clear(
            state, self._book.open_jobs.values()
        )
        if placed is not None:
            self._note_success(worker, placed, now)
            task.done = True
            self._book.release(placed, now)
        task.done = True
        if step.gang:
            self._finish_gang(state, task, number)
        state.waiting.pop(task.name, None)
        self._book.mark(state)
        for run in list(task.runs.values()):
            self._book.stop(state, task, run, "another run is done")
        if state.is_final:
            return
        state.open_steps(wall)
        state.finish_if_done(wall)
        self._book.mark(state)

    def _finish_gang(
        self, state: progress.JobState, ended: progress.Task, number: int
    ) -> None:
        """Take one member's good end for all members of the run."""
        for task in state.tasks.values():
            same = (
                task.name.step == ended.name.step
                and task.name.repetition == ended.name.repetition
            )
            if not same:
                continue
            # Also where the member's worker is known to have crashed since.
            task.done = True
            state.waiting.pop(task.name, None)
            for run in list(task.runs.values()):
                if run.number != number:
                    reason = "an earlier run is done"
                    self._book.stop(state, task, run, reason)

    def _take_cut(
        self,
        worker: workers.WorkerState,
        placed: workers.Placed,
        ending: messages.Ending,
        now: float,
        wall: float,
    ) -> None:
        task, state = placed.task, placed.state
        delay = LASTING_PAUSE_S if placed.step.lasting else 0.0
        if ending is messages.Ending.FAILED:
            task.avoid.add(worker.identity)
            self._note_failure(worker, placed, now)
        self._book.release(placed, now, delay=delay)
        if ending is messages.Ending.FAILED:
            self._fail_if_spent(state, task, wall)

    def _fail_if_spent(
        self, state: progress.JobState, task: progress.Task, wall: float
    ) -> None:
        """End a job if a task of it has failed too often."""
        queue = self._book.queues.get(state.queue)
        limit = queue.attempts if queue is not None else 0
        is_lasting = state.step_of(task.name).lasting
        if is_lasting or task.done or state.is_final or not limit:
            return
        if task.failures >= limit:
            self._book.finish_job(
                state,
                progress.Phase.FAILED,
                wall,
                f"task {task.name} failed {task.failures} times",
            )

    def _note_success(
        self, worker: workers.WorkerState, placed: workers.Placed, now: float
    ) -> None:
        worker.failures = 0
        worker.suspect_until = 0.0
        started = placed.run.confirmed_at
        if started is None or placed.run.inherited:
            return
        self._book.speeds.note_done(placed, now - started)
        queue = placed.state.queue
        mean = self._book.durations.get(queue)
        taken = now - started
        if mean is None:
            self._book.durations[queue] = taken
            return
        self._book.durations[queue] = mean + DURATION_WEIGHT * (taken - mean)

    def _note_failure(
        self, worker: workers.WorkerState, placed: workers.Placed, now: float
    ) -> None:
        placed.task.failures += 1
        if placed.step.lasting:
            return
        worker.failures += 1
        pause = SUSPECT_FIRST_S * 2 ** (worker.failures - 1)
        worker.suspect_until = now + min(SUSPECT_MOST_S, pause)

    def _take_absence(
        self,
        worker: workers.WorkerState,
        placed: workers.Placed,
        sent: float,
        now: float,
    ) -> None:
        """Handle a known run that the worker does not list.

        Once the worker has taken our fencing token, an order of an earlier
        owner cannot come to it any more: a run that it does not list then
        will never be there.
        """
        run = placed.run
        if run.inherited and not worker.established:
            cause = "never started"
        elif run.confirmed_at is not None and run.confirmed_at < sent:
            cause = "no longer listed"
        else:
            return
        self.ended.append(
            RunEnded(
                worker=worker.identity,
                task=placed.full_name,
                run=run.number,
                cause=cause,
                counted=True,
            )
        )
        self._book.release(placed, now)

    def _stop_stray(
        self, worker: workers.WorkerState, key: workers.RunKey
    ) -> None:
        located = self._find(key[0])
        if located is not None:
            # Its run was released without this worker's word.
            state, task = located
            ending = messages.Ending.CUT_SHORT
            if job_starts.note_run_ended(
                state, state.step_of(task.name), ending
            ):
                self._book.note_begun(state)
        self._book.orders.append(
            messages.StopRun(
                worker=worker.identity,
                task=key[0],
                run=key[1],
                reason="no record names this run",
            )
        )

    def _find(
        self, full_name: str
    ) -> tuple[progress.JobState, progress.Task] | None:
        identity, _, rest = full_name.partition(".")
        state = self._book.jobs.get(identity)
        name = definition.parse_task_name(rest)
        if state is None or name is None:
            return None
        task = state.task(name)
        return None if task is None else (state, task)


def _update_run(
    placed: workers.Placed,
    row: messages.RunningRow,
    sent: float,
    now: float,
) -> None:
    run = placed.run
    run.listed_at = sent
    run.inherited = False
    if row.checkpoint:
        placed.task.checkpoint = row.checkpoint
    if run.stage is progress.Stage.ORDERED:
        run.stage = progress.Stage.CONFIRMED
    if run.confirmed_at is None:
        run.confirmed_at = now
        run.percent_since = now
    if row.percent != run.percent:
        run.percent = row.percent
        run.percent_since = now
    run.load = row.load
    speeds.sample(run, now)
