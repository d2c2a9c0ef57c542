"""Applies workers' reports to an owner's view of the cluster."""

from __future__ import annotations

import dataclasses

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import attempts
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import crashes
from rackvalve.scheduling import job_starts
from rackvalve.scheduling import messages
from rackvalve.scheduling import releases
from rackvalve.scheduling import speeds
from rackvalve.scheduling import worker_restarts
from rackvalve.scheduling import workers

# A report lists at most this many ended runs; a full one may be incomplete.
MAX_ENDS_PER_REPORT = 500
# Backoff of a worker after a failed run, in seconds, doubled with each further
# failure in a row: only a few runs in a thousand fail by the task's own fault.
MIN_FAILURE_BACKOFF_S = 1.0
MAX_FAILURE_BACKOFF_S = 8.0
# Delay before the next run of a lasting task, in seconds: a task that ends at
# once must not restart in a tight loop.
LASTING_RESTART_DELAY_S = 0.1
# Weight of the newest run in the moving mean of a queue's run durations.
DURATION_WEIGHT = 0.1


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RunEnded:
    """A handled end of a run, for logs.

    :param worker: Identity of the worker.
    :param task: Full name of the task.
    :param run: Number of the run.
    :param cause: Why or how the run ended.
    :param counted: Whether the run was known.
    """

    worker: str
    task: str
    run: int
    cause: str
    counted: bool


class Handler:
    """Applies reports to the owner's view of the cluster.

    :param cluster: The owner's view of the cluster.
    :param lease: Length of a lease on a worker, in seconds.
    :param max_stop_time: Longest time that a stop takes, in seconds.
    :param hold_wait: Longest time that a worker waits before it answers a
        hold, in seconds.
    :param hold_most: Longest time that a hold takes, in seconds.
    """

    __slots__ = (
        "_cluster",
        "_lease",
        "_max_stop_time",
        "_hold_wait",
        "_hold_most",
        "ended",
        "released",
    )

    def __init__(
        self,
        cluster: clusters.Cluster,
        *,
        lease: float,
        max_stop_time: float,
        hold_wait: float,
        hold_most: float,
    ) -> None:
        self._cluster = cluster
        self._lease = lease
        self._max_stop_time = max_stop_time
        self._hold_wait = hold_wait
        self._hold_most = hold_most
        # Handled ends that are not logged yet.
        self.ended: list[RunEnded] = []
        # Runs that ended with earlier incarnations, for the owner to collect.
        self.released: list[releases.Release] = []

    def apply(
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
        # An answer that comes later waited while this process was paused.
        worker.last_answer_at = min(now, report.sent + self._hold_most)
        worker.unanswered = None
        worker.is_end_noted = False
        # After a pause of this process the answer describes a time before it.
        worker.last_alive_at = min(now, report.sent + self._hold_wait)
        self.released += worker_restarts.supersede_earlier(
            self._cluster, worker, report, now=now, wall=wall
        )
        for row in report.ended:
            if row.number <= worker.handled:
                continue
            worker.handled = row.number
            worker.unrecorded.append(
                workers.UnrecordedEnd(row.number, row.task.partition(".")[0])
            )
            self._apply_end(worker, row, now, wall)
        running = {(row.task, row.run): row for row in report.running}
        for key, placed in list(worker.runs.items()):
            listed = running.get(key)
            if listed is not None:
                _update_run(placed, listed, report.sent, now)
                if job_starts.note_run_seen(placed):
                    self._cluster.note_begun(placed.state)
                if crashes.clear_suspect(worker, placed, report.sent):
                    self._cluster.mark_changed(placed.state, task=placed.task)
            elif len(report.ended) < MAX_ENDS_PER_REPORT:
                self._release_unlisted(worker, placed, report.sent, now)
        for key in running:
            if key not in worker.runs:
                self._stop_unknown(worker, key)
        if not worker.established:
            worker.note_established(now, self._lease, self._max_stop_time)
            worker.earliest_start = now - report.clock

    def _apply_end(
        self,
        worker: workers.WorkerState,
        row: messages.EndedRow,
        now: float,
        wall: float,
    ) -> None:
        placed = worker.runs.get((row.task, row.run))
        found = placed is not None or self._find_task(row.task) is not None
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
            located = self._find_task(row.task)
            assert located is not None
            state, task = located
        if placed is not None:
            task.note_checkpoint(row.checkpoint, placed.run.percent)
        step = state.step_of(task.name)
        if job_starts.note_run_ended(state, step, row.ending):
            self._cluster.note_begun(state)
        if row.ending is messages.Ending.DONE:
            self._apply_success(
                worker, state, task, placed, row.run, now, wall
            )
        elif placed is not None:
            self._apply_unsuccessful_end(worker, placed, row.ending, now, wall)
        elif row.run in task.unreported_runs:
            # Its run was released without a report of its end.
            task.unreported_runs -= {row.run}
            task.failures += row.ending is messages.Ending.FAILED
            self._cluster.mark_changed(state, task=task)
            attempts.fail_if_exhausted(self._cluster, state, task, wall)

    def _apply_success(
        self,
        worker: workers.WorkerState,
        state: progress.JobState,
        task: progress.Task,
        placed: workers.PlacedRun | None,
        number: int,
        now: float,
        wall: float,
    ) -> None:
        step = state.step_of(task.name)
        self._cluster.crash_history.crashing_jobs.clear(
            state, self._cluster.open_jobs.values()
        )
        if placed is not None:
            self._note_success(worker, placed, now)
            task.done = True
            self._cluster.release(placed, now)
        task.done = True
        if step.gang:
            self._finish_gang(state, task, number)
        state.waiting.pop(task.name, None)
        changed = None if step.gang else task
        self._cluster.mark_changed(state, task=changed)
        for run in list(task.runs.values()):
            self._cluster.stop(state, task, run, "another run is done")
        if state.is_final:
            return
        state.open_steps(wall)
        state.finish_if_done(wall)
        self._cluster.mark_changed(state, task=changed)

    def _finish_gang(
        self, state: progress.JobState, ended: progress.Task, number: int
    ) -> None:
        """Mark all tasks of a gang done when one of them has succeeded."""
        for task in state.tasks.values():
            same = (
                task.name.step == ended.name.step
                and task.name.repetition == ended.name.repetition
            )
            if not same:
                continue
            # Also if the task's worker has crashed since.
            task.done = True
            state.waiting.pop(task.name, None)
            for run in list(task.runs.values()):
                if run.number != number:
                    reason = "an earlier run is done"
                    self._cluster.stop(state, task, run, reason)

    def _apply_unsuccessful_end(
        self,
        worker: workers.WorkerState,
        placed: workers.PlacedRun,
        ending: messages.Ending,
        now: float,
        wall: float,
    ) -> None:
        task, state = placed.task, placed.state
        delay = LASTING_RESTART_DELAY_S if placed.step.lasting else 0.0
        if ending is messages.Ending.FAILED:
            task.avoid |= {worker.identity}
            self._note_failure(worker, placed, now)
        self._cluster.release(placed, now, delay=delay)
        if ending is messages.Ending.FAILED:
            attempts.fail_if_exhausted(self._cluster, state, task, wall)

    def _note_success(
        self,
        worker: workers.WorkerState,
        placed: workers.PlacedRun,
        now: float,
    ) -> None:
        worker.failures = 0
        worker.backoff_until = 0.0
        started = placed.run.confirmed_at
        if started is None or placed.run.inherited:
            return
        self._cluster.speeds.record_duration(placed, now - started)
        queue = placed.state.queue
        mean = self._cluster.durations.get(queue)
        taken = now - started
        if mean is None:
            self._cluster.durations[queue] = taken
            return
        self._cluster.durations[queue] = mean + DURATION_WEIGHT * (
            taken - mean
        )

    def _note_failure(
        self,
        worker: workers.WorkerState,
        placed: workers.PlacedRun,
        now: float,
    ) -> None:
        placed.task.failures += 1
        if placed.step.lasting:
            return
        worker.failures += 1
        pause = MIN_FAILURE_BACKOFF_S * 2 ** (worker.failures - 1)
        worker.backoff_until = now + min(MAX_FAILURE_BACKOFF_S, pause)

    def _release_unlisted(
        self,
        worker: workers.WorkerState,
        placed: workers.PlacedRun,
        sent: float,
        now: float,
    ) -> None:
        """Release a known run that the worker does not list.

        Once the worker has accepted this owner's fencing token, it rejects
        orders of earlier owners: an inherited run that it does not list then
        can no longer start there.  Its first report may not show that, as it
        may have more ends than one report lists.
        """
        run = placed.run
        is_unseen = not worker.established or run.confirmed_at is None
        if run.inherited and is_unseen:
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
        self._cluster.release(placed, now)

    def _stop_unknown(
        self, worker: workers.WorkerState, key: workers.RunKey
    ) -> None:
        located = self._find_task(key[0])
        if located is not None:
            # Its run was released without a report of its end.
            state, task = located
            ending = messages.Ending.CUT_SHORT
            if job_starts.note_run_ended(
                state, state.step_of(task.name), ending
            ):
                self._cluster.note_begun(state)
        self._cluster.orders.append(
            messages.StopRun(
                worker=worker.identity,
                task=key[0],
                run=key[1],
                reason="no record names this run",
            )
        )

    def _find_task(
        self, full_name: str
    ) -> tuple[progress.JobState, progress.Task] | None:
        identity, _, rest = full_name.partition(".")
        state = self._cluster.jobs.get(identity)
        name = definition.parse_task_name(rest)
        if state is None or name is None:
            return None
        task = state.task(name)
        return None if task is None else (state, task)


def _update_run(
    placed: workers.PlacedRun,
    row: messages.RunningRow,
    sent: float,
    now: float,
) -> None:
    run = placed.run
    run.listed_at = sent
    run.inherited = False
    placed.task.note_checkpoint(row.checkpoint, row.percent)
    if run.stage is progress.Stage.ORDERED:
        run.stage = progress.Stage.CONFIRMED
    if run.confirmed_at is None:
        run.confirmed_at = now
        run.percent_since = now
    if row.percent != run.percent:
        run.percent = row.percent
        run.percent_since = now
    run.load = row.load
    speeds.update_rate(run, now)
