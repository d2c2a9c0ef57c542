"""The jobs, workers and runs of one owner, and the changes to them.

The book keeps the promise that a task never runs twice at the same time: a
run leaves it only when its end was reported, when its worker says under our
fencing token that it is not there and cannot come, or when its worker's life
or lease is over.
"""

from __future__ import annotations

import collections

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import beginnings
from rackvalve.scheduling import crashes
from rackvalve.scheduling import fleet
from rackvalve.scheduling import messages
from rackvalve.scheduling import queues
from rackvalve.scheduling import releases
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
        "jobs",
        "open_jobs",
        "workers",
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
        self.queues = {queue.name: queue for queue in configuration.queues}
        self.jobs: dict[str, progress.JobState] = {}
        # Those of them that have not ended: ended ones are kept for callers
        # and must not cost time at each decision.
        self.open_jobs: dict[str, progress.JobState] = {}
        self.workers: dict[str, workers.WorkerState] = {}
        # The same workers by their VM, once their entries have named it.
        self.lives: dict[str, dict[str, workers.WorkerState]] = {}
        # And by the pool that they work for.
        self.members: dict[str, dict[str, workers.WorkerState]] = {}
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
        if not state.is_final:
            self.open_jobs[state.identity] = state
        for task in state.tasks.values():
            for run in task.runs.values():
                worker = self._worker_of(run.worker)
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
        worker = self._worker_of(entry.identity)
        worker.set_entry(entry)
        worker.set_evacuated(self.evacuated)
        self.lives.setdefault(entry.vm, {})[entry.identity] = worker
        self.members.setdefault(entry.pool, {})[entry.identity] = worker
        return worker

    def remove_entry(self, identity: str, now: float) -> None:
        """Note that a worker's entry is missing in the store, or unreadable.

        :param identity: The worker.
        :param now: Present time, in seconds.
        """
        worker = self.workers.get(identity)
        if worker is not None and worker.gone_since is None:
            worker.gone_since = now

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
            if beginnings.note_there(placed):
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

    def release_all(
        self,
        worker: workers.WorkerState,
        proof: str,
        *,
        now: float,
        wall: float,
    ) -> releases.Release:
        """Forget the runs of a worker that a proof has ended.

        No report will tell of them, so their ends are accounted for here.

        :param worker: The worker.
        :param proof: What proves that they are over.
        :param now: Present time, in seconds.
        :param wall: Present time, seconds since 1970.
        :return: What was released.
        """
        ended = list(worker.runs.values())
        fate = releases.judge_fate(worker, proof)
        for placed in ended:
            crashes.blame(placed, fate, now, ended)
            # Failures of lasting tasks are not bounded.
            if fate is releases.Fate.OUT_OF_REACH and not placed.step.lasting:
                placed.task.untold.add(placed.run.number)
        release = releases.make(worker, proof, now)
        for placed in ended:
            self.release(placed, now)
        for placed in ended:
            self._give_up(placed, wall)
        return release

    def _give_up(self, placed: workers.Placed, wall: float) -> None:
        """End a job if too many workers crashed under one of its tasks."""
        task, state = placed.task, placed.state
        if state.is_final or not crashes.is_given_up(task):
            return
        reason = f"{task.crashes} workers crashed under task {task.name}"
        self.finish_job(state, progress.Phase.FAILED, wall, reason)

    def end_life(
        self, identity: str, proof: str, *, now: float, wall: float
    ) -> releases.Release | None:
        """Forget a worker whose life is over, and all its runs.

        :param identity: The worker.
        :param proof: What proves that it is over.
        :param now: Present time, in seconds.
        :param wall: Present time, seconds since 1970.
        :return: What was released; ``None`` for a worker that is not known.
        """
        worker = self.workers.pop(identity, None)
        if worker is None:
            return None
        if worker.entry is not None:
            _forget(self.lives, worker.entry.vm, identity)
            _forget(self.members, worker.entry.pool, identity)
        return self.release_all(worker, proof, now=now, wall=wall)

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

    def _worker_of(self, identity: str) -> workers.WorkerState:
        found = self.workers.get(identity)
        if found is None:
            found = workers.WorkerState(identity, None, self._inherited_until)
            self.workers[identity] = found
        return found


def _forget(
    index: dict[str, dict[str, workers.WorkerState]], key: str, identity: str
) -> None:
    """Take a worker out of an index, and its key with the last one."""
    found = index.get(key, {})
    found.pop(identity, None)
    if not found:
        index.pop(key, None)
