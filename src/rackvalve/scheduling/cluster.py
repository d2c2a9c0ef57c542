"""An owner's view of the cluster, which planner and reports change.

A task never has two runs at the same time: a run is removed only when its end
was reported, when its worker answers under this owner's fencing token that it
does not have the run and cannot get it, or when the worker's incarnation or
lease is over.
"""

from __future__ import annotations

import collections

from rackvalve.jobs import definition
from rackvalve.jobs import incarnations
from rackvalve.jobs import parts
from rackvalve.jobs import progress
from rackvalve.scheduling import closures
from rackvalve.scheduling import crash_history
from rackvalve.scheduling import domains
from rackvalve.scheduling import fleet
from rackvalve.scheduling import gangs
from rackvalve.scheduling import index
from rackvalve.scheduling import messages
from rackvalve.scheduling import namespaces
from rackvalve.scheduling import policy as policies
from rackvalve.scheduling import queues
from rackvalve.scheduling import speeds
from rackvalve.scheduling import workers
from rackvalve.workspaces import account as accounts
from rackvalve.workspaces import rates
from rackvalve.workspaces import usage


class Cluster:
    """An owner's view of the cluster: workers, runs and jobs.

    :param configuration: The operator's configuration.
    :param inherited_lease: Longest time that runs started by an earlier owner
        may go on from now, in seconds.
    :param now: Present time, in seconds.
    :param policy: The optional rules that this deployment has switched on.
    """

    __slots__ = (
        "configuration",
        "policy",
        "evacuated",
        "locations",
        "halls",
        "closures",
        "jobs",
        "open_jobs",
        "workers",
        "workers_by_name",
        "workers_by_vm",
        "workers_by_pool",
        "orders",
        "begun",
        "changed",
        "queues",
        "owned_since",
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
        policy: policies.Policy = policies.DEFAULT,
    ) -> None:
        self.configuration = configuration
        self.policy = policy
        # Halls on whose VMs no run is started.
        self.evacuated: frozenset[str] = frozenset()
        # Racks and halls of all VMs that were seen.
        self.locations = domains.Locations()
        # Halls of the platform's VMs; ``None`` until they were listed.
        self.halls: frozenset[str] | None = None
        self.closures = closures.Closures()
        # By namespace: of all that jobs may belong to.
        self.queues = namespaces.list_queues(namespaces.EMPTY, configuration)
        self.jobs: dict[str, progress.JobState] = {}
        # Jobs not ended; ended ones, kept for callers, must not slow planning.
        self.open_jobs: dict[str, progress.JobState] = {}
        self.workers: dict[str, workers.WorkerState] = {}
        # Several incarnations of a worker may share its name.
        self.workers_by_name = index.Index()
        # VM and pool of a worker are known once its entry names them.
        self.workers_by_vm = index.Index()
        self.workers_by_pool = index.Index()
        # Orders to send to workers, oldest first.
        self.orders: collections.deque[messages.Order] = collections.deque()
        # Jobs that have begun and whose begin is not logged yet.
        self.begun: list[progress.JobState] = []
        # Jobs whose records must be written, in order; true if someone waits.
        self.changed: dict[str, bool] = {}
        self.owned_since = now
        self._inherited_until = now + inherited_lease
        # Mean duration of a successful run by queue, in seconds.
        self.durations: dict[str, float] = {}
        self.speeds = speeds.Speeds()
        self.usage = usage.Usage()
        self.crash_history = crash_history.CrashHistory()
        self._rates = rates.Rates()

    def set_configuration(
        self,
        configuration: queues.Configuration,
        directory: namespaces.Directory = namespaces.EMPTY,
    ) -> None:
        """Replace the configuration.

        :param configuration: The configuration.
        :param directory: The namespaces of all queues.
        """
        self.configuration = configuration
        self.queues = namespaces.list_queues(directory, configuration)

    def set_evacuated(self, halls: frozenset[str]) -> None:
        """Set the halls on whose workers no run is started.

        :param halls: Names of the evacuated halls.
        """
        if halls != self.evacuated:
            self.evacuated = halls
            for worker in self.workers.values():
                worker.set_evacuated(halls)

    def add_job(
        self, state: progress.JobState, now: float, wall: float
    ) -> None:
        """Add an accepted job with the state that its record holds.

        :param state: The job.
        :param now: Present time, in seconds.
        :param wall: Present time, seconds since 1970.
        """
        if state.identity in self.jobs:
            return
        state.arrived = now
        if not state.is_final:
            state.guaranteed = self._rates.count_job(
                self.find_workspace(state), state.accepted
            )
        self.jobs[state.identity] = state
        self.crash_history.crashing_jobs.match(state, self.open_jobs.values())
        if not state.is_final:
            self.open_jobs[state.identity] = state
            self.crash_history.resume(state, now)
        for task in state.tasks.values():
            for run in task.runs.values():
                worker = self.add_incarnation(run.worker)
                worker.location = worker.location or run.location
                worker.add(workers.PlacedRun(state, task, run))
                self._count_run(state, task)
        state.open_steps(wall)

    def cancel_job(self, identity: str, wall: float) -> None:
        """Cancel a job at its caller's request and stop its runs.

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
        """End a job and stop its remaining runs.

        :param state: The job.
        :param phase: Its final phase.
        :param wall: Present time, seconds since 1970.
        :param reason: Why it ended.
        """
        state.finish(phase, wall, reason)
        self.mark_changed(state)
        for task in state.tasks.values():
            for run in list(task.runs.values()):
                self.stop(state, task, run, reason)

    def set_entry(self, entry: fleet.Entry) -> workers.WorkerState:
        """Add or update a worker from its entry in the store.

        :param entry: Its newest entry.
        """
        named = incarnations.parse_incarnation(entry.identity)
        # An entry without a birth is of the worker's current incarnation.
        known = self.find_current(named.worker) if named.born is None else None
        worker = known or self.add_incarnation(entry.identity)
        worker.set_entry(entry)
        worker.set_evacuated(self.evacuated)
        self.closures.apply(worker)
        self.locations.note_entry(entry)
        self.workers_by_vm.add(entry.vm, worker)
        self.workers_by_pool.add(entry.pool, worker)
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
        :param besides: Incarnation that still has an entry, if any.
        """
        for worker in self.workers_by_name.find(name):
            if worker is not besides and worker.entry_missing_since is None:
                worker.entry_missing_since = now

    def find_current(self, name: str) -> workers.WorkerState | None:
        """Return the newest known incarnation of a worker.

        :param name: Name of the worker.
        """
        known = self.workers_by_name.find(name)
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
        run.checkpoint = task.checkpoint
        task.runs[number] = run
        state.waiting.pop(task.name, None)
        worker.add(workers.PlacedRun(state, task, run))
        worker.last_start_at = now
        self._count_run(state, task)
        self.mark_changed(state, task=task, urgent=True)
        return run

    def release(
        self, placed: workers.PlacedRun, now: float, *, delay: float = 0.0
    ) -> None:
        """Remove a run that is over and queue its task again.

        If the members of its gang have not all been seen, the others are
        stopped: they would wait for a run that never comes.

        :param placed: The run.
        :param now: Present time, in seconds.
        :param delay: Delay before the task's next run, in seconds.
        """
        if placed.step.gang and not placed.task.done:
            self._stop_unassembled(placed)
        worker = self.workers.get(placed.run.worker)
        if worker is not None:
            worker.drop(placed)
        if placed.task.runs.pop(placed.run.number, None) is not None:
            charge = fleet.get_charge(placed.step)
            self.usage.subtract(placed.state.workspace, charge)
        placed.state.requeue(placed.task, now + delay)
        self.mark_changed(placed.state, task=placed.task)

    def _stop_unassembled(self, placed: workers.PlacedRun) -> None:
        """Stop the other runs of a gang that has not come together."""
        if gangs.is_assembled(placed):
            # Their workers end them, now that one member is missing.
            return
        for task, run in gangs.list_others(placed):
            self.stop(placed.state, task, run, "its gang is not complete")

    def stop(
        self,
        state: progress.JobState,
        task: progress.Task,
        run: progress.Run,
        reason: str,
    ) -> None:
        """Order a run to be stopped; does nothing if that was done before.

        :param state: The job.
        :param task: The task.
        :param run: The run.
        :param reason: Why, for logs.
        """
        if run.stop_wanted:
            return
        run.stop_wanted = True
        if run.stage is progress.Stage.PLANNED:
            # It was sent to no worker; `order_recorded` removes it.
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

    def order_recorded(
        self,
        identity: str,
        planned: list[tuple[definition.TaskName, int]],
        now: float,
    ) -> None:
        """Order the runs of a job whose record is now in the store.

        :param identity: The job's identifier.
        :param planned: The runs that the record contains for the first time.
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
            if run.stop_wanted or worker is None or self._is_closed(worker):
                # It was sent to no worker.
                self._drop_planned(state, task, run, now)
                continue
            run.stage = progress.Stage.ORDERED
            run.since = now
            order = messages.StartRun(
                worker=run.worker, job=identity, task=name, run=number
            )
            self.orders.append(order)

    def _is_closed(self, worker: workers.WorkerState) -> bool:
        """Return whether a worker was closed while a run was recorded.

        An outage of the store delays a record for seconds.
        """
        if worker.is_suspected:
            return True
        if not self.policy.evacuation:
            return False
        is_draining = worker.entry is not None and worker.entry.draining
        return worker.evacuated or is_draining

    def note_begun(self, state: progress.JobState) -> None:
        """Queue the log line that a job has begun, and write its record.

        :param state: The job.
        """
        self.begun.append(state)
        self.mark_changed(state)

    def confirm_stop(
        self, worker: str, key: workers.RunKey, now: float
    ) -> None:
        """Note that a worker has taken the order to stop a run.

        The run can no longer be started there; a report requested later lists
        its end, or does not list it at all.

        :param worker: Identity of the worker.
        :param key: Full name of the task and number of the run.
        :param now: Present time, in seconds.
        """
        found = self.workers.get(worker)
        placed = found.runs.get(key) if found is not None else None
        if placed is not None and placed.run.confirmed_at is None:
            placed.run.confirmed_at = now

    def remove_incarnation(self, identity: str) -> workers.WorkerState | None:
        """Remove an incarnation that is over; the caller releases its runs.

        :param identity: Identity of the incarnation.
        :return: The incarnation; ``None`` if it is not known.
        """
        worker = self.workers.pop(identity, None)
        if worker is None:
            return None
        self.workers_by_name.remove(worker.incarnation.worker, worker)
        if worker.entry is not None:
            self.workers_by_vm.remove(worker.entry.vm, worker)
            self.workers_by_pool.remove(worker.entry.pool, worker)
        return worker

    def mark_changed(
        self,
        state: progress.JobState,
        *,
        task: progress.Task | None = None,
        urgent: bool = False,
    ) -> None:
        """Mark a job's record as to be written.

        :param state: The job.
        :param task: The only task that has changed; ``None`` for any.
        :param urgent: Whether a worker or a caller waits for the write.
        """
        parts.note_changed(state, task)
        known = self.changed.get(state.identity, False)
        self.changed[state.identity] = known or urgent or state.is_final
        if state.is_final:
            self.open_jobs.pop(state.identity, None)
            self.speeds.forget(state)
            self.crash_history.forget(state.identity)

    def find_workspace(
        self, state: progress.JobState
    ) -> accounts.Workspace | None:
        """Return a job's workspace.

        :param state: The job.
        :return: The workspace; ``None`` for a job without one or with one that
            is no longer configured, which runs on without a bound.
        """
        return self.configuration.workspaces.find(state.workspace)

    def _count_run(
        self, state: progress.JobState, task: progress.Task
    ) -> None:
        """Count a run against its workspace's bound, also before it starts."""
        charge = fleet.get_charge(state.step_of(task.name))
        self.usage.add(state.workspace, charge)

    def _drop_planned(
        self,
        state: progress.JobState,
        task: progress.Task,
        run: progress.Run,
        now: float,
    ) -> None:
        worker = self.workers.get(run.worker)
        key = (f"{state.identity}.{task.name}", run.number)
        placed = worker.runs.get(key) if worker is not None else None
        self.release(placed or workers.PlacedRun(state, task, run), now)

    def add_incarnation(self, identity: str) -> workers.WorkerState:
        """Return an incarnation of a worker, added if it is not known.

        :param identity: Identity of the incarnation.
        """
        found = self.workers.get(identity)
        if found is None:
            found = workers.WorkerState(identity, None, self._inherited_until)
            self.workers[identity] = found
            self.workers_by_name.add(found.incarnation.worker, found)
        return found

    def move_run(
        self, placed: workers.PlacedRun, later: workers.WorkerState
    ) -> None:
        """Move a run to a later incarnation of its worker.

        :param placed: The run.
        :param later: The later incarnation.
        """
        run = placed.run
        self.workers[run.worker].drop(placed)
        run.worker = later.identity
        run.location = later.location
        later.add(placed)
        self.mark_changed(placed.state, task=placed.task)
        if run.stop_wanted and run.stage is not progress.Stage.PLANNED:
            # The order to stop it went to the earlier incarnation.
            run.stop_wanted = False
            self.stop(placed.state, placed.task, run, "it is to be stopped")
