"""Keeps an owner's job records and counts in the store up to date."""

from __future__ import annotations

from collections.abc import Callable
import functools

from rackvalve import clocks
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import record_parts
from rackvalve.jobs import records
from rackvalve import logs
from rackvalve.manager.api import counts
from rackvalve.manager.api import job_capacity
from rackvalve.manager.owner import backlog as backlogs
from rackvalve.manager.owner import resources as owner_resources
from rackvalve.manager.owner import writer as writers
from rackvalve.manager import timing
from rackvalve.platform import store as stores
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import job_starts
from rackvalve import telemetry as telemetries


class Recorder:
    """Queues writes of changed jobs, and orders runs once they are recorded.

    :param cluster: The owner's view of the cluster.
    :param writer: Writes records.
    :param telemetry: The metrics, for jobs that end.
    :param keep: Time for which ended jobs are kept, in seconds.
    :param value_limit: Largest value that the store keeps, in bytes.
    :param on_recorded: Called after recorded runs were ordered.
    :param get_job_bytes: Returns how much memory the jobs may take, in bytes.
    """

    def __init__(
        self,
        cluster: clusters.Cluster,
        writer: writers.Writer,
        telemetry: telemetries.Telemetry,
        *,
        keep: float,
        on_recorded: Callable[[], None],
        value_limit: int = stores.VALUE_BYTES,
        get_job_bytes: Callable[[], int] = (
            lambda: owner_resources.DEFAULT_JOB_BYTES
        ),
    ) -> None:
        self._cluster = cluster
        self._writer = writer
        self._telemetry = telemetry
        self._keep = keep
        self._value_limit = value_limit
        self._get_job_bytes = get_job_bytes
        self._on_recorded = on_recorded
        # ``None`` at first, as an earlier owner may have stored other counts.
        self._waiting: dict[str, int] | None = None
        self._waiting_at = float("-inf")
        self._collected_at = clocks.read_steady()
        # Jobs whose end is logged; their records may be written again for runs
        # that end later.
        self._end_logged: set[str] = set()
        # Jobs whose records the store has refused.
        self._refused: set[str] = set()
        # Jobs that are being removed, and those whose definitions are already
        # removed from the store.
        self._removing: set[str] = set()
        self._removed: set[str] = set()

    def mark_changed(self) -> None:
        """Queue writes of the records of all changed jobs."""
        for identity, urgent in list(self._cluster.changed.items()):
            state = self._cluster.jobs.get(identity)
            if state is not None:
                self._enqueue(state, urgent=urgent)
        self._cluster.changed.clear()

    def is_stored(self, job: str, write: int) -> bool:
        """Return whether a job's changes up to a write are in the store.

        :param job: The job's identifier.
        :param write: Sequence number of the write.
        :return: ``True`` also for a job that is not known.
        """
        state = self._cluster.jobs.get(job)
        return state is None or self._writer.is_stored(
            _format_key(state), write
        )

    def _enqueue(self, state: progress.JobState, *, urgent: bool) -> None:
        self._writer.enqueue(
            _format_key(state),
            functools.partial(self._make_record, state),
            urgent=urgent,
            values=record_parts.count_values(state),
        )

    def publish_waiting(self, now: float, wall: float, seen: float) -> None:
        """Write the number of waiting jobs of each queue, with its time.

        :param now: Present time, in seconds.
        :param wall: Present time, seconds since 1970.
        :param seen: Time at which the cluster view is known to have held all
            jobs, in seconds.
        """
        since = now - self._waiting_at
        if since < timing.WAITING_INTERVAL_S:
            return
        jobs = self._cluster.open_jobs.values()
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
        load = job_capacity.Load(
            held=self._weigh_jobs(), capacity=self._get_job_bytes()
        )
        payload = counts.encode(waiting, wall - (now - seen), load)
        self._writer.enqueue(
            counts.WAITING_KEY, lambda: backlogs.Record(payload=payload)
        )

    def _weigh_jobs(self) -> dict[str, int]:
        """Return the memory that all jobs take, in bytes, by queue."""
        held: dict[str, int] = {}
        for state in self._cluster.jobs.values():
            held[state.queue] = held.get(state.queue, 0) + state.weight
        for queue, weight in held.items():
            self._telemetry.job_bytes.labels(queue).set(weight)
        return held

    def collect(self, now: float, wall: float) -> None:
        """Remove the records of jobs that ended long ago.

        The definition is removed first: without its progress it would look
        like a new job, and all its tasks would run again.  For the same reason
        the job leaves the cluster view one collection later, when no read that
        still found its definition can be in progress.

        :param now: Present time, in seconds.
        :param wall: Present time, seconds since 1970.
        """
        if now - self._collected_at < timing.COLLECT_INTERVAL_S:
            return
        self._collected_at = now
        self._drop_removed()
        limit = wall - self._keep - timing.KEEP_MARGIN_S
        for state in list(self._cluster.jobs.values()):
            busy = any(task.runs for task in state.tasks.values())
            if not state.finished or state.finished > limit or busy:
                continue
            if state.identity in self._removing:
                continue
            self._removing.add(state.identity)
            self._remove(
                state,
                records.Part.DEFINITION,
                functools.partial(self._remove_other_records, state),
            )

    def _drop_removed(self) -> None:
        for identity in self._removed:
            state = self._cluster.jobs.pop(identity, None)
            if state is not None:
                self._cluster.crash_history.crashing_jobs.forget(state)
            self._end_logged.discard(identity)
            self._refused.discard(identity)
            self._removing.discard(identity)
        self._removed.clear()

    def _remove_other_records(self, state: progress.JobState) -> None:
        """Remove the other records of a job whose definition is removed."""
        self._removed.add(state.identity)
        self._remove(state, records.Part.CANCEL)
        self._remove(state, records.Part.PROGRESS)
        for key in record_parts.list_keys(state):
            self._writer.enqueue(key, lambda: backlogs.Record(payload=None))

    def _remove(
        self,
        state: progress.JobState,
        part: records.Part,
        written: Callable[[], None] | None = None,
    ) -> None:
        record = backlogs.Record(payload=None, written=written)
        self._writer.enqueue(
            records.format_key(state.queue, state.identity, part),
            lambda: record,
        )

    def _make_record(self, state: progress.JobState) -> backlogs.Record:
        planned = state.list_planned()
        if state.identity in self._refused:
            values = {"": records.encode_outline(state)}
        else:
            values = record_parts.encode(state, self._value_limit)
        (_, payload), *others = values.items()
        return backlogs.Record(
            payload=payload,
            parts=dict(others),
            written=functools.partial(
                self._handle_written, state, planned, state.phase
            ),
            refused=functools.partial(self._handle_refused, state),
        )

    def _handle_refused(self, state: progress.JobState) -> None:
        """End a job whose record can't be stored, and record its end alone.

        None of its runs could be recorded before it is ordered.
        """
        if state.identity in self._refused:
            return
        self._refused.add(state.identity)
        if not state.is_final:
            self._cluster.finish_job(
                state,
                progress.Phase.FAILED,
                clocks.read_wall(),
                "the store refuses its record",
            )
        self._enqueue(state, urgent=True)
        self._on_recorded()

    def _handle_written(
        self,
        state: progress.JobState,
        planned: list[tuple[definition.TaskName, int]],
        phase: progress.Phase,
    ) -> None:
        now = clocks.read_steady()
        if phase in progress.FINAL and state.identity not in self._end_logged:
            self._end_logged.add(state.identity)
            self._log_end(state, phase, now)
        self._cluster.order_recorded(state.identity, planned, now)
        self._on_recorded()

    def _log_end(
        self, state: progress.JobState, phase: progress.Phase, now: float
    ) -> None:
        taken = now - state.arrived
        labels = (state.queue, phase.value)
        self._telemetry.jobs_ended.labels(*labels).inc()
        self._telemetry.job_seconds.labels(*labels).observe(taken)
        queue = self._cluster.queues.get(state.queue)
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


def _format_key(state: progress.JobState) -> str:
    """Return the key of a job's progress."""
    return records.format_key(
        state.queue, state.identity, records.Part.PROGRESS
    )
