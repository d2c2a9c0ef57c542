"""Keeps the records of an owner's jobs in the store up to date."""

from __future__ import annotations

from collections.abc import Callable
import functools

from rackvalve import clocks
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve import logs
from rackvalve.manager import backlog as backlogs
from rackvalve.manager import counts
from rackvalve.manager import timing
from rackvalve.manager import writer as writers
from rackvalve.scheduling import book as books
from rackvalve.scheduling import job_starts
from rackvalve import telemetry as telemetries


class Recorder:
    """Marks what changed in a book, and goes on once it is written.

    :param book: The book.
    :param writer: Writes records.
    :param telemetry: Counts jobs that end.
    :param keep: How long ended jobs are kept, in seconds.
    :param on_recorded: Called after runs became orders.
    """

    def __init__(
        self,
        book: books.Book,
        writer: writers.Writer,
        telemetry: telemetries.Telemetry,
        *,
        keep: float,
        on_recorded: Callable[[], None],
    ) -> None:
        self._book = book
        self._writer = writer
        self._telemetry = telemetry
        self._keep = keep
        self._on_recorded = on_recorded
        # Not known at first: an earlier owner may have left other numbers.
        self._waiting: dict[str, int] | None = None
        self._waiting_at = float("-inf")
        self._collected_at = clocks.read_steady()
        # Jobs whose end was told; records of late ends of runs may follow.
        self._ended: set[str] = set()
        # Jobs that are being removed, and those whose definitions are gone
        # from the store.
        self._leaving: set[str] = set()
        self._removed: set[str] = set()

    def mark_changed(self) -> None:
        """Have the records of all jobs that changed written."""
        for identity, urgent in list(self._book.changed.items()):
            state = self._book.jobs.get(identity)
            if state is not None:
                self._writer.enqueue(
                    records.write_key(
                        state.queue, identity, records.Part.PROGRESS
                    ),
                    functools.partial(self._make_record, state),
                    urgent=urgent,
                )
        self._book.changed.clear()

    def publish_waiting(self, now: float, wall: float, seen: float) -> None:
        """Write how many jobs of each queue wait, with the time of that.

        :param now: Present time, in seconds.
        :param wall: Present time, seconds since 1970.
        :param seen: When the book is known to have had all jobs, in seconds.
        """
        since = now - self._waiting_at
        if since < timing.WAITING_INTERVAL_S:
            return
        jobs = self._book.open_jobs.values()
        waiting = job_starts.count_waiting(jobs)
        if waiting == self._waiting and since < timing.WAITING_RENEWAL_S:
            return
        if waiting != self._waiting:
            logs.write_event(
                "jobs.counted",
                queues=[f"{name}: {count}" for name, count in waiting.items()],
                ordered=job_starts.count_ordered(jobs),
                age=round(now - seen, 3),
            )
        self._waiting_at = now
        self._waiting = waiting
        payload = counts.encode(waiting, wall - (now - seen))
        self._writer.enqueue(
            counts.WAITING_KEY, lambda: backlogs.Record(payload=payload)
        )

    def collect(self, now: float, wall: float) -> None:
        """Remove the records of jobs that ended long ago.

        The definition goes first: without its progress it would be a job that
        has just come, and all its tasks would run again.  For the same reason
        the book forgets a job only a round after that, when no reading is
        under way any more that still found it.

        :param now: Present time, in seconds.
        :param wall: Present time, seconds since 1970.
        """
        if now - self._collected_at < timing.COLLECT_INTERVAL_S:
            return
        self._collected_at = now
        self._forget_removed()
        limit = wall - self._keep - timing.KEEP_MARGIN_S
        for state in list(self._book.jobs.values()):
            busy = any(task.runs for task in state.tasks.values())
            if not state.finished or state.finished > limit or busy:
                continue
            if state.identity in self._leaving:
                continue
            self._leaving.add(state.identity)
            self._remove(
                state,
                records.Part.DEFINITION,
                functools.partial(self._take_undefined, state),
            )

    def _forget_removed(self) -> None:
        for identity in self._removed:
            state = self._book.jobs.pop(identity, None)
            if state is not None:
                self._book.crash_history.crashing_jobs.forget(state)
            self._ended.discard(identity)
            self._leaving.discard(identity)
        self._removed.clear()

    def _take_undefined(self, state: progress.JobState) -> None:
        """Remove the other records of a job whose definition is gone."""
        self._removed.add(state.identity)
        self._remove(state, records.Part.CANCEL)
        self._remove(state, records.Part.PROGRESS)

    def _remove(
        self,
        state: progress.JobState,
        part: records.Part,
        written: Callable[[], None] | None = None,
    ) -> None:
        record = backlogs.Record(payload=None, written=written)
        self._writer.enqueue(
            records.write_key(state.queue, state.identity, part),
            lambda: record,
        )

    def _make_record(self, state: progress.JobState) -> backlogs.Record:
        planned = state.list_planned()
        return backlogs.Record(
            payload=records.write_progress(state),
            written=functools.partial(
                self._take_recorded, state, planned, state.phase
            ),
        )

    def _take_recorded(
        self,
        state: progress.JobState,
        planned: list[tuple[definition.TaskName, int]],
        phase: progress.Phase,
    ) -> None:
        now = clocks.read_steady()
        if phase in progress.FINAL and state.identity not in self._ended:
            self._ended.add(state.identity)
            self._note_end(state, phase, now)
        self._book.order_recorded(state.identity, planned, now)
        self._on_recorded()

    def _note_end(
        self, state: progress.JobState, phase: progress.Phase, now: float
    ) -> None:
        taken = now - state.arrived
        labels = (state.queue, phase.value)
        self._telemetry.jobs_ended.labels(*labels).inc()
        self._telemetry.job_seconds.labels(*labels).observe(taken)
        queue = self._book.queues.get(state.queue)
        logs.write_event(
            "job.ended",
            job=state.identity,
            queue=state.queue,
            phase=phase.value,
            reason=state.reason,
            seconds=round(taken, 3),
            pool=queue.pool if queue is not None else "",
            stretch=queue.stretch if queue is not None else 0.0,
            allowance=queue.allowance if queue is not None else 0.0,
        )
