"""The jobs, workers and runs of one owner, and the changes to them.

The book keeps the promise that a task never runs twice at the same time: a
run leaves it only when its end was reported, when its worker says under our
fencing token that it is not there and cannot come, or when its worker's life
or lease is over.
"""

from __future__ import annotations

import collections

from rackvalve.jobs import definition
from rackvalve.jobs import incarnations
from rackvalve.jobs import progress
from rackvalve.scheduling import closures
from rackvalve.scheduling import crash_history
from rackvalve.scheduling import fleet
from rackvalve.scheduling import index
from rackvalve.scheduling import job_starts
from rackvalve.scheduling import messages
from rackvalve.scheduling import queues
from rackvalve.scheduling import speeds
from rackvalve.scheduling import workers
from rackvalve.workspaces import account as accounts
from rackvalve.workspaces import rates
from rackvalve.workspaces import usage

# After these words a worker is avoided for a while (seconds): its own count
# of its room is right again once what is being stopped has ended.
REJECTION_PAUSES_S = {
    messages.StartResult.NO_ROOM: 0.3,
    messages.StartResult.UNWELL: 2.0,
    messages.StartResult.NOT_SENT: 0.5,
    messages.StartResult.MALFORMED: 2.0,
}
# Pause before a task whose start was rejected is tried again, in seconds.
REJECTED_DELAY_S = 0.02


class Book:
    """What one owner knows.

    :param configuration: The operator's configuration.
    :param inherited_lease: How long from now runs may go on that an earlier
        owner started, in seconds.
    :param now: Present time, in seconds.
    """

    __slots__ = (
        "configuration",
        "evacuated",
        "closures",
        "jobs",
        "open_jobs",
        "workers",
        "names",
        "lives",
        "members",
        "orders",
        "begun",
        "changed",
        "queues",
        "began",
        "_inherited_until",
        "durations",
        "speeds",
        "usage",
        "crash_history",
        "_rates",
    )

    def __init__(
        self,
        configuration: queues.Configuration,
        *,
        inherited_lease: float,
        now: float,
    ) -> None:
        self.configuration = configuration
        # Halls on whose VMs nothing is started.
        self.evacuated: frozenset[str] = frozenset()
        self.closures = closures.Closures()
        self.queues = {queue.name: queue for queue in configuration.queues}
        self.jobs: dict[str, progress.JobState] = {}
        # Those of them that have not ended: ended ones are kept for callers
        # and must not cost time at each decision.
        self.open_jobs: dict[str, progress.JobState] = {}
        self.workers: dict[str, workers.WorkerState] = {}
        # The same workers by their names, which several lives may have.
        self.names = index.Index()
        # And by their VM and pool, once their entries have named them.
        self.lives = index.Index()
        self.members = index.Index()
        # What is to be sent to workers, oldest first.
        self.orders: collections.deque[messages.Order] = collections.deque()
        # Jobs of which a first task has begun and that were not told of yet.
        self.begun: list[progress.JobState] = []
        # Jobs whose record in the store is to be written, in order, and
        # whether something waits for it.
        self.changed: dict[str, bool] = {}
        # When this owner took over, in seconds.
        self.began = now
        self._inherited_until = now + inherited_lease
        # Mean time of a task that ended well, by queue, in seconds.
        self.durations: dict[str, float] = {}
        self.speeds = speeds.Speeds()
        # What each workspace may have running.
        self.usage = usage.Usage()
        self.crash_history = crash_history.CrashHistory()
        # Which jobs were sent within the rates that workspaces have paid for.
        self._rates = rates.Rates()

    def set_configuration(self, configuration: queues.Configuration) -> None:
        """Take a newer configuration.

        :param configuration: The configuration.
        """
        self.configuration = configuration
        self.queues = {queue.name: queue for queue in configuration.queues}

    def set_evacuated(self, halls: frozenset[str]) -> None:
        """Start nothing on the workers of some halls, and of no others.

        :param halls: Names of the halls.
        """
        if halls != self.evacuated:
            self.evacuated = halls
            for worker in self.workers.values():
                worker.set_evacuated(halls)

    def add_job(
        self, state: progress.JobState, now: float, wall: float
    ) -> None:
        """Take a job that was accepted, with what its record says.

        :param state: The job.
        :param now: Present time, in seconds.
        :param wall: Present time, seconds since 1970.
        """
        if state.identity in self.jobs:
            return
        state.arrived = now
        if not state.is_final:
            state.guaranteed = self._rates.take(
                self.find_workspace(state), state.accepted
            )
        self.jobs[state.identity] = state
        self.crash_history.crashing_jobs.match(state, self.open_jobs.values())
        if not state.is_final:
            self.open_jobs[state.identity] = state
        for task in state.tasks.values():
            for run in task.runs.values():
                worker = self.add_life(run.worker)
                worker.location = worker.location or run.location
                worker.add(workers.Placed(state, task, run))
                self._count_run(state, task)
        state.open_steps(wall)

    def cancel_job(self, identity: str, wall: float) -> None:
        """End a job at its caller's wish and stop its runs.

        :param identity: The job's identifier.
        :param wall: Present time, seconds since 1970.
        """
        state = self.jobs.get(identity)
        if state is None or state.is_final:
            return
        state.cancel_wanted = True
        self.finish_job(
            state, progress.Phase.CANCELLED, wall, "its caller cancelled it"
        )

    def finish_job(
        self,
        state: progress.JobState,
        phase: progress.Phase,
        wall: float,
        reason: str,
    ) -> None:
        """End a job and stop what still runs of it.

        :param state: The job.
        :param phase: Its last phase.
        :param wall: Present time, seconds since 1970.
        :param reason: Why.
        """
        state.finish(phase, wall, reason)
        self.mark(state)
        for task in state.tasks.values():
            for run in list(task.runs.values()):
                self.stop(state, task, run, reason)

    def set_entry(self, entry: fleet.Entry) -> workers.WorkerState:
        """Take what a worker says of itself.

        :param entry: Its newest entry.
        """
        life = incarnations.parse_incarnation(entry.identity)
        # Without a birth it may be of whichever life the worker has now.
        known = self.find_present(life.worker) if life.born is None else None
        worker = known or self.add_life(entry.identity)
        worker.set_entry(entry)
        worker.set_evacuated(self.evacuated)
        self.closures.apply(worker)
        self.lives.add(entry.vm, worker)
        self.members.add(entry.pool, worker)
        return worker

    def remove_entry(
        self,
        name: str,
        now: float,
        *,
        besides: workers.WorkerState | None = None,
    ) -> None:
        """Note that a worker's entry is missing in the store, or unreadable.

        :param name: Name of the worker.
        :param now: Present time, in seconds.
        :param besides: The life that the entry is of, if there is one.
        """
        for worker in self.names.find(name):
            if worker is not besides and worker.gone_since is None:
                worker.gone_since = now

    def find_present(self, name: str) -> workers.WorkerState | None:
        """Return the life that a worker has now, as far as is known.

        :param name: Name of the worker.
        """
        known = self.names.find(name)
        present = [worker for worker in known if not worker.replaced]
        newest_first = (present or known)[::-1]
        return next(iter(newest_first), None)

    def place(
        self,
        state: progress.JobState,
        task: progress.Task,
        worker: workers.WorkerState,
        number: int,
        now: float,
    ) -> progress.Run:
        """Plan a run of a task on a worker.

        :param state: The job.
        :param task: The task.
        :param worker: The worker.
        :param number: Number of the run.
        :param now: Present time, in seconds.
        """
        run = progress.Run(
            number,
            worker.identity,
            progress.Stage.PLANNED,
            now,
            location=worker.location,
        )
        task.runs[number] = run
        state.waiting.pop(task.name, None)
        worker.add(workers.Placed(state, task, run))
        self._count_run(state, task)
        self.mark(state, urgent=True)
        return run

    def release(
        self, placed: workers.Placed, now: float, *, delay: float = 0.0
    ) -> None:
        """Forget a run that is over and let its task wait again.

        :param placed: The run.
        :param now: Present time, in seconds.
        :param delay: Pause before the task's next run, in seconds.
        """
        worker = self.workers.get(placed.run.worker)
        if worker is not None:
            worker.drop(placed)
        if placed.task.runs.pop(placed.run.number, None) is not None:
            ask = fleet.ask_of(placed.step)
            self.usage.drop(placed.state.workspace, ask)
        placed.state.requeue(placed.task, now + delay)
        self.mark(placed.state)

    def stop(
        self,
        state: progress.JobState,
        task: progress.Task,
        run: progress.Run,
        reason: str,
    ) -> None:
        """Order a run to be stopped, once.

        :param state: The job.
        :param task: The task.
        :param run: The run.
        :param reason: Why, for logs.
        """
        if run.stop_wanted:
            return
        run.stop_wanted = True
        if run.stage is progress.Stage.PLANNED:
            # No worker has heard of it; the planner drops it.
            return
        run.stage = progress.Stage.STOPPING
        self.orders.append(
            messages.StopRun(
                worker=run.worker,
                task=f"{state.identity}.{task.name}",
                run=run.number,
                reason=reason,
            )
        )

    def take_recorded(
        self,
        identity: str,
        planned: list[tuple[definition.TaskName, int]],
        now: float,
    ) -> None:
        """Order the runs of a job whose record is now in the store.

        :param identity: The job's identifier.
        :param planned: The runs that the record names for the first time.
        :param now: Present time, in seconds.
        """
        state = self.jobs.get(identity)
        if state is None:
            return
        for name, number in planned:
            task = state.tasks[name]
            run = task.runs.get(number)
            if run is None or run.stage is not progress.Stage.PLANNED:
                continue
            worker = self.workers.get(run.worker)
            if run.stop_wanted or worker is None:
                self._drop_planned(state, task, run, now)
                continue
            run.stage = progress.Stage.ORDERED
            run.since = now
            self.orders.append(
                messages.StartRun(
                    worker=run.worker, job=identity, task=name, run=number
                )
            )

    def take_start(
        self,
        placed: workers.Placed,
        result: messages.StartResult,
        *,
        uncertain: bool,
        now: float,
    ) -> None:
        """Apply what became of an order to start a run.

        :param placed: The run.
        :param result: What the worker said last.
        :param uncertain: Whether an earlier try of the order may still be
            carried out.
        :param now: Present time, in seconds.
        """
        run = placed.run
        if placed.task.runs.get(run.number) is not run:
            return
        if result is messages.StartResult.STARTED:
            run.confirmed_at = run.percent_since = now
            if run.stage is progress.Stage.ORDERED:
                run.stage = progress.Stage.CONFIRMED
            if job_starts.note_run_seen(placed):
                self.note_begun(placed.state)
            return
        if result is messages.StartResult.OUTDATED:
            # The next report tells its end, or that it is not there.
            run.confirmed_at = now
            return
        worker = self.workers.get(run.worker)
        if worker is not None:
            pause = REJECTION_PAUSES_S.get(result, 0.0)
            worker.suspect_until = max(worker.suspect_until, now + pause)
        placed.task.avoid.add(run.worker)
        if uncertain:
            self.stop(placed.state, placed.task, run, result.value)
            return
        self.release(placed, now, delay=REJECTED_DELAY_S)

    def note_begun(self, state: progress.JobState) -> None:
        """Have it told that a job has begun.

        :param state: The job.
        """
        self.begun.append(state)
        self.mark(state)

    def take_stop(self, worker: str, key: workers.RunKey, now: float) -> None:
        """Note that a worker has taken the order to stop a run.

        From then on the run cannot come any more; a report that is asked for
        later lists its end, or does not list it at all.

        :param worker: Identity of the worker.
        :param key: Full name of the task and number of the run.
        :param now: Present time, in seconds.
        """
        found = self.workers.get(worker)
        placed = found.runs.get(key) if found is not None else None
        if placed is not None and placed.run.confirmed_at is None:
            placed.run.confirmed_at = now

    def remove_life(self, identity: str) -> workers.WorkerState | None:
        """Take a life that is over out; its runs are still to be released.

        :param identity: The life.
        :return: The life; ``None`` if it is not known.
        """
        worker = self.workers.pop(identity, None)
        if worker is None:
            return None
        self.names.remove(worker.life.worker, worker)
        if worker.entry is not None:
            self.lives.remove(worker.entry.vm, worker)
            self.members.remove(worker.entry.pool, worker)
        return worker

    def mark(self, state: progress.JobState, *, urgent: bool = False) -> None:
        """Have a job's record written.

        :param state: The job.
        :param urgent: Whether a worker or a caller waits for it.
        """
        known = self.changed.get(state.identity, False)
        self.changed[state.identity] = known or urgent or state.is_final
        if state.is_final:
            self.open_jobs.pop(state.identity, None)
            self.speeds.forget(state)

    def find_workspace(
        self, state: progress.JobState
    ) -> accounts.Workspace | None:
        """Return a job's workspace.

        :param state: The job.
        :return: The workspace; ``None`` for a job of none, or of one that
            the configuration does not name any more: that job runs on
            without a bound, since none is known.
        """
        return self.configuration.workspaces.find(state.workspace)

    def _count_run(
        self, state: progress.JobState, task: progress.Task
    ) -> None:
        """Count a run that may come against its workspace's bound."""
        ask = fleet.ask_of(state.step_of(task.name))
        self.usage.add(state.workspace, ask)

    def _drop_planned(
        self,
        state: progress.JobState,
        task: progress.Task,
        run: progress.Run,
        now: float,
    ) -> None:
        worker = self.workers.get(run.worker)
        placed = (
            worker.runs.get((f"{state.identity}.{task.name}", run.number))
            if worker is not None
            else None
        )
        self.release(placed or workers.Placed(state, task, run), now)

    def add_life(self, identity: str) -> workers.WorkerState:
        """Return a life of a worker, which may have been unknown.

        :param identity: Its identity.
        """
        found = self.workers.get(identity)
        if found is None:
            found = workers.WorkerState(identity, None, self._inherited_until)
            self.workers[identity] = found
            self.names.add(found.life.worker, found)
        return found

    def move_run(
        self, placed: workers.Placed, later: workers.WorkerState
    ) -> None:
        """Take a run to be on a later life of its worker.

        :param placed: The run.
        :param later: The life.
        """
        run = placed.run
        self.workers[run.worker].drop(placed)
        run.worker = later.identity
        run.location = later.location
        later.add(placed)
        self.mark(placed.state)
        if run.stop_wanted and run.stage is not progress.Stage.PLANNED:
            # The life before was told to stop it.
            run.stop_wanted = False
            self.stop(placed.state, placed.task, run, "it is to be stopped")
