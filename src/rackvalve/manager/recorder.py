"""Keeps the records of an owner's jobs in the store up to date."""

from __future__ import annotations

from collections.abc import Callable
import functools

import msgspec

from rackvalve import clocks
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve import logs
from rackvalve.manager import backlog as backlogs
from rackvalve.manager import timing
from rackvalve.manager import writer as writers
from rackvalve.scheduling import book as books
from rackvalve import telemetry as telemetries

WAITING_KEY = "waiting"


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
        self._waiting_at = 0.0
        self._collected_at = clocks.read_steady()
        # Jobs whose end was told; records of late ends of runs may follow.
        self._ended: set[str] = set()

    def mark_changed(self) -> None:
        """Have the records of all jobs that changed written."""
        for identity, urgent in list(self._book.changed.items()):
            state = self._book.jobs.get(identity)
            if state is not None:
                self._writer.mark(
                    records.write_key(
                        state.queue, identity, records.Part.PROGRESS
                    ),
                    functools.partial(self._make_record, state),
                    urgent=urgent,
                )
        self._book.changed.clear()

    def publish_waiting(self, now: float) -> None:
        """Write how many jobs of each queue wait, if that changed.

        :param now: Present time, in seconds.
        """
        if now - self._waiting_at < timing.WAITING_INTERVAL_S:
            return
        counts = self._book.count_waiting()
        if counts == self._waiting:
            return
        self._waiting_at = now
        self._waiting = counts
        self._writer.mark(
            WAITING_KEY,
            lambda: backlogs.Record(payload=msgspec.json.encode(counts)),
        )

    def collect(self, now: float, wall: float) -> None:
        """Remove the records of jobs that ended long ago.

        :param now: Present time, in seconds.
        :param wall: Present time, seconds since 1970.
        """
        if now - self._collected_at < timing.COLLECT_INTERVAL_S:
            return
        self._collected_at = now
        limit = wall - self._keep - timing.KEEP_MARGIN_S
        for state in list(self._book.jobs.values()):
            busy = any(task.runs for task in state.tasks.values())
            if not state.finished or state.finished > limit or busy:
                continue
            del self._book.jobs[state.identity]
            self._ended.discard(state.identity)
            for part in records.Part:
                self._writer.mark(
                    records.write_key(state.queue, state.identity, part),
                    _remove,
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
        self._book.take_recorded(state.identity, planned, now)
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


def _remove() -> backlogs.Record:
    return backlogs.Record(payload=None)
