"""Plans which tasks an owner starts next and which runs it stops.

Order of jobs within a pool: by priority, then lasting jobs, then jobs that can
still meet their objective, earliest objective first.  Among these, jobs that a
workspace sent beyond its rate come after all others, so that a workspace that
sends too much delays only itself.  Jobs that are late in any case come next,
and those that no longer earn anything come last; but no job starves before its
first start.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
import dataclasses

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import attribution
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import coldness
from rackvalve.scheduling import crashes
from rackvalve.scheduling import endings
from rackvalve.scheduling import evacuation
from rackvalve.scheduling import eviction
from rackvalve.scheduling import exclusivity
from rackvalve.scheduling import fleet
from rackvalve.scheduling import gangs
from rackvalve.scheduling import isolation
from rackvalve.scheduling import objectives
from rackvalve.scheduling import placement
from rackvalve.scheduling import releases
from rackvalve.scheduling import speeds
from rackvalve.scheduling import starter as starters
from rackvalve.scheduling import workers

# A task without progress for this long is stopped and started elsewhere, in
# seconds.  Progress is reported in whole percent: a task of 10 s at a tenth of
# its speed still progresses each second.
STALL_TIMEOUT_S = 1.2
# Least time that a restart must save for a run to leave a slow worker, in
# seconds.  Stopping a run and ordering its task again takes 0.3 to 0.9 s; the
# lower end applies, as the remaining time is underestimated while a worker is
# getting slow.
MIN_RESTART_GAIN_S = 0.4
# A lasting task that is not ready this long after its last progress is started
# elsewhere, in seconds; tasks take up to 1.8 s to be ready.
READY_TIMEOUT_S = 5.0
# The task may have become ready since its worker's last report, so its stop
# counts against the step's availability budget.  While that budget is used up
# it stays for up to this long, in seconds: two tasks that never become ready
# must not keep each other in place.
MAX_READY_WAIT_S = 15.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Limits:
    """Time limits of the planner.

    :param freshness: Longest time since a worker's last answer for new work
        to be placed on it, in seconds.
    :param entry_grace: Longest time that a worker's entry may be missing
        while the worker is well, in seconds.
    """

    freshness: float
    entry_grace: float


class Planner:
    """Decides what starts and what stops among the jobs of an owner.

    :param cluster: The owner's view of the cluster.
    :param limits: Time limits.
    """

    __slots__ = (
        "_cluster",
        "_limits",
        "_views",
        "_starter",
        "_isolator",
        "_evacuator",
        "tickets",
        "held",
    )

    def __init__(self, cluster: clusters.Cluster, limits: Limits) -> None:
        self._cluster = cluster
        self._limits = limits
        self._views: dict[str, placement.PoolView] = {}
        self._starter = starters.Starter(cluster)
        self._isolator = isolation.Isolator(cluster, self._starter)
        self._evacuator = evacuation.Evacuator(
            cluster,
            self.list_members,
            self.list_reserved,
            self._starter.find_tickets,
        )
        # Admitted workers by step, for queues with an admission service.
        self.tickets = self._starter.tickets
        # Number of tasks by workspace that its bound kept from starting in the
        # last plan.
        self.held: collections.Counter[str] = collections.Counter()

    def plan(self, now: float, wall: float) -> int:
        """Plan runs for waiting tasks that can start now.

        :param now: Present time, in seconds.
        :param wall: Present time, seconds since 1970.
        :return: How many runs were planned.
        """
        waiting: dict[str, list[progress.JobState]] = {}
        for state in self._cluster.open_jobs.values():
            if state.job.repetitions:
                state.open_steps(wall)
            queue = self._cluster.queues.get(state.queue)
            if state.waiting and queue is not None:
                waiting.setdefault(queue.pool, []).append(state)
        planned = 0
        self.held.clear()
        for pool, view in self._views.items():
            if pool not in waiting:
                view.reserved = {}
        for pool, states in waiting.items():
            view = self._refresh_view(pool, now)
            if not view.members:
                view.reserved = {}
                continue
            states.sort(key=lambda state: self._urgency(state, now))
            planned += self._plan_pool(view, states, now)
        return planned

    def stop_and_release(
        self, now: float, wall: float
    ) -> list[releases.Release]:
        """Release runs whose lease has expired; stop runs without use.

        A run is of no use if its job has ended, if it makes no progress, or if
        its task is a lasting one whose worker leaves.

        :param now: Present time, in seconds.
        :param wall: Present time, seconds since 1970.
        :return: What was released.
        """
        released: list[releases.Release] = []
        self._evacuator.begin_round()
        self._cluster.speeds.begin_round()
        for worker in list(self._cluster.workers.values()):
            if worker.runs and worker.is_expired(now):
                over = endings.release_expired(
                    self._cluster, worker, now, wall
                )
                released.append(over)
                continue
            for placed in list(worker.runs.values()):
                self._check_run(worker, placed, now)
            if self._is_silent(worker, now):
                self._copy_runs(worker, now)
            self._cluster.speeds.detect_slowness(
                worker, self._cluster.durations, now
            )
            if now < worker.slow_until:
                self._stop_stragglers(worker, now)
        attribution.decide_due(self._cluster, now, wall)
        return released

    def _is_silent(self, worker: workers.WorkerState, now: float) -> bool:
        """Return whether a worker has not answered this owner recently."""
        heard = max(worker.last_answer_at, self._cluster.owned_since)
        return now - heard > self._limits.freshness

    def _copy_runs(self, worker: workers.WorkerState, now: float) -> None:
        """Start second runs of tasks on a silent worker.

        Only steps that allow two runs of a task get them.  All others wait for
        proof that the first run is over: 4.4 s for the expiry of its lease,
        8.4 s after a change of owner, while a task takes 0.6 to 1.7 s.
        """
        # Each pool's members are listed once for all runs of the worker.
        views: dict[str, placement.PoolView] = {}
        for placed in list(worker.runs.values()):
            queue = self._cluster.queues.get(placed.state.queue)
            if queue is None or queue.admission is not None:
                continue
            if not _may_copy(placed):
                continue
            if queue.pool not in views:
                views[queue.pool] = self._refresh_view(queue.pool, now)
            self._place_copy(views[queue.pool], placed, now)

    def _place_copy(
        self, view: placement.PoolView, placed: workers.PlacedRun, now: float
    ) -> None:
        state, task, step = placed.state, placed.task, placed.step
        if not self._starter.count_allowed(state, step, 1):
            return
        name = task.name
        used = starters.count_used(state, name.repetition, name.step)
        spread = self._starter.find_spread(state, name.repetition, name.step)
        worker = view.choose(
            step, task, placed.need, used, now=now, spread=spread
        )
        if worker is not None:
            number = state.take_run_number()
            self._cluster.place(state, task, worker, number, now)

    def _stop_stragglers(
        self, worker: workers.WorkerState, now: float
    ) -> None:
        """Stop runs on a slow worker that would end sooner elsewhere."""
        for placed in list(worker.runs.values()):
            run = placed.run
            if run.stop_wanted or not speeds.is_comparable(placed):
                continue
            rest = speeds.estimate_rest(run)
            usual = self._cluster.speeds.estimate_typical(placed)
            if (
                rest is None
                or usual is None
                or rest < usual + MIN_RESTART_GAIN_S
            ):
                continue
            if not self._has_room_elsewhere(placed, now):
                continue
            placed.task.avoid |= {worker.identity}
            self._cluster.stop(
                placed.state, placed.task, run, "its worker is slow"
            )

    def _has_room_elsewhere(
        self, placed: workers.PlacedRun, now: float
    ) -> bool:
        """Return whether another worker could take a run's task now."""
        entry = self._cluster.workers[placed.run.worker].entry
        if entry is None:
            return False
        view = self._refresh_view(entry.pool, now)
        return self._starter.has_room_elsewhere(view, placed, now)

    def _check_run(
        self,
        worker: workers.WorkerState,
        placed: workers.PlacedRun,
        now: float,
    ) -> None:
        run = placed.run
        if run.stop_wanted:
            return
        if placed.state.is_final or placed.task.done:
            reason = "its job has ended"
        elif self._is_stalled(worker, placed, now):
            placed.task.avoid |= {worker.identity}
            worker.backoff_until = max(
                worker.backoff_until, now + STALL_TIMEOUT_S
            )
            reason = "it makes no progress"
        elif self._must_leave(worker, placed, now):
            reason = "its worker leaves"
        elif self._evacuator.may_stop(worker, placed, now):
            reason = evacuation.describe_reason(worker)
        else:
            return
        self._cluster.stop(placed.state, placed.task, run, reason)

    def _is_stalled(
        self,
        worker: workers.WorkerState,
        placed: workers.PlacedRun,
        now: float,
    ) -> bool:
        run = placed.run
        fresh = now - worker.last_alive_at <= self._limits.freshness
        if run.stage is not progress.Stage.CONFIRMED or not fresh:
            return False
        if run.confirmed_at is None or placed.step.gang:
            return False
        if placed.step.lasting:
            return self._is_start_overdue(placed, now)
        since = max(run.percent_since, run.confirmed_at)
        limit = coldness.stretch(worker, STALL_TIMEOUT_S, since)
        return now - since > limit

    def _is_start_overdue(self, placed: workers.PlacedRun, now: float) -> bool:
        """Return whether a lasting task takes too long to become ready."""
        run = placed.run
        waited = now - run.percent_since
        if run.percent >= eviction.READY_PERCENT:
            return False
        if waited <= READY_TIMEOUT_S:
            return False
        if waited > MAX_READY_WAIT_S:
            return True
        return eviction.may_evict(self._cluster, placed, now)

    def _must_leave(
        self,
        worker: workers.WorkerState,
        placed: workers.PlacedRun,
        now: float,
    ) -> bool:
        """Return whether a lasting run should move off a leaving worker."""
        if not placed.step.lasting:
            return False
        if worker.entry is not None and worker.entry.draining:
            return True
        if worker.entry_missing_since is None:
            return False
        # The worker still serves, but will end like a draining one.
        missing = now - worker.entry_missing_since > self._limits.entry_grace
        return missing and eviction.may_evict(self._cluster, placed, now)

    def list_members(self, pool: str, now: float) -> list[workers.WorkerState]:
        """Return the workers of a pool on which runs may be placed.

        Slow workers are left out unless they are more than half of the pool.

        :param pool: The pool.
        :param now: Present time, in seconds.
        """
        members = [
            worker
            for worker in self._cluster.workers_by_pool.find(pool)
            if worker.takes_work(now, self._limits.freshness)
        ]
        quick = [worker for worker in members if now >= worker.slow_until]
        if len(quick) * 2 >= len(members):
            return quick
        return members

    def list_reserved(self, pool: str) -> Collection[str]:
        """Return the workers of a pool that are reserved for single jobs.

        :param pool: The pool.
        :return: Their identities.
        """
        view = self._views.get(pool)
        return view.reserved.keys() if view is not None else ()

    def _refresh_view(self, pool: str, now: float) -> placement.PoolView:
        view = self._views.setdefault(pool, placement.PoolView([]))
        view.members = self.list_members(pool, now)
        view.shared = exclusivity.find_shared(view.members)
        view.cold_interval = coldness.get_start_interval(self._cluster, pool)
        return view

    def _plan_pool(
        self,
        view: placement.PoolView,
        states: list[progress.JobState],
        now: float,
    ) -> int:
        planned = self._isolator.plan(view, states, now)
        # Requests that did not fit in this round; larger ones do not fit
        # either.
        unplaceable: list[fleet.Resources] = []
        for state in states:
            by_step = _group_ready(state, now)
            for (repetition, number), tasks in by_step.items():
                step = state.job.steps[number]
                need = fleet.get_resource_request(step)
                if any(_needs_at_least(need, other) for other in unplaceable):
                    continue
                allowed = self._starter.count_allowed(state, step, len(tasks))
                self.held[state.workspace] += len(tasks) - allowed
                if step.gang and allowed < len(tasks):
                    continue
                tasks = tasks[: starters.limit_starts(step, allowed, planned)]
                count = self._plan_step(
                    view, state, step, repetition, number, tasks, need, now
                )
                planned += count
                if count < len(tasks) and self._is_plain(state, step):
                    unplaceable.append(need)
        return planned

    def _is_plain(
        self, state: progress.JobState, step: definition.Step
    ) -> bool:
        """Return whether free resources alone decide a step's placement."""
        special = step.most_per_worker or step.labels or step.gang
        return (
            not special and self._cluster.queues[state.queue].admission is None
        )

    def _plan_step(
        self,
        view: placement.PoolView,
        state: progress.JobState,
        step: definition.Step,
        repetition: int,
        number: int,
        tasks: list[progress.Task],
        need: fleet.Resources,
        now: float,
    ) -> int:
        used = starters.count_used(state, repetition, number)
        tickets = self._starter.find_tickets(state, repetition, number)
        if step.gang:
            return self._plan_gang(view, state, tasks, used, tickets, now)
        spread = self._starter.find_spread(state, repetition, number)
        planned = 0
        for task in tasks:
            worker = view.choose(
                step,
                task,
                need,
                used,
                now=now,
                state=state,
                tickets=tickets,
                spread=spread,
            )
            if worker is None:
                break
            run_number = state.take_run_number()
            self._starter.place(state, task, worker, run_number, now)
            used[worker.identity] += 1
            if spread is not None:
                spread.add(worker)
            planned += 1
        return planned

    def _plan_gang(
        self,
        view: placement.PoolView,
        state: progress.JobState,
        tasks: list[progress.Task],
        used: collections.Counter[str],
        tickets: dict[str, str] | None,
        now: float,
    ) -> int:
        """Place all members of a gang, or none."""
        if len(tasks) < state.step_of(tasks[0].name).tasks:
            # Other members still run or are being stopped.
            return 0
        name = tasks[0].name
        spread = self._starter.find_spread(state, name.repetition, name.step)
        chosen = placement.choose_for_gang(
            view, state, tasks, used, now=now, tickets=tickets, spread=spread
        )
        if len(chosen) < len(tasks):
            return 0
        number = state.take_run_number()
        gangs.share_checkpoint(tasks)
        for task, worker in zip(tasks, chosen, strict=True):
            self._starter.place(state, task, worker, number, now)
        return len(tasks)

    def _urgency(
        self, state: progress.JobState, now: float
    ) -> tuple[float, ...]:
        queue = self._cluster.queues[state.queue]
        grade = objectives.Grade.LASTING
        if state.job.steps[0].lasting:
            return (float(queue.priority), grade, state.arrived)
        if state.job.repetitions:
            # A repetition's time counts from when it is due, not from the
            # job's arrival.
            grade = objectives.Grade.IN_TIME
            first = next(iter(state.waiting)).repetition
            due = first * state.job.interval
            return (float(queue.priority), grade, state.arrived + due)
        grade = objectives.grade(self._cluster, state, queue, now)
        if objectives.is_starved(state, now):
            grade = objectives.Grade.IN_TIME
        objective = objectives.estimate_objective(self._cluster, state, queue)
        return (float(queue.priority), grade, state.arrived + objective)


def _may_copy(placed: workers.PlacedRun) -> bool:
    """Return whether a second run of a task may start beside this one."""
    step, task = placed.step, placed.task
    if not step.copies_allowed or step.gang or step.lasting:
        return False
    if placed.state.is_final or task.done or placed.run.stop_wanted:
        return False
    if task.crashes or placed.state.known_time_to_crash:
        # Each copy could crash one more worker.
        return False
    return len(task.runs) == 1


def _needs_at_least(need: fleet.Resources, other: fleet.Resources) -> bool:
    """Return whether a request is in all resources at least another one."""
    return need.fits(other)


def _group_ready(
    state: progress.JobState, now: float
) -> dict[tuple[int, int], list[progress.Task]]:
    """Return the tasks that may start now, by repetition and step."""
    by_step: dict[tuple[int, int], list[progress.Task]] = {}
    for name in state.waiting:
        task = state.tasks[name]
        if crashes.choose_isolation(state, task, now).waits:
            continue
        if task.not_before <= now:
            by_step.setdefault((name.repetition, name.step), []).append(task)
    return by_step
