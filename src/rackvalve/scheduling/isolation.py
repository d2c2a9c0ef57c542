"""Starts of crash suspects in isolation, as the planner makes them.

A busy pool has no worker free of other runs that could crash it, so some
workers are reserved for suspects that wait: they accept no other run until
their present runs have ended or are settled.  A worker is reserved only while
nothing but these runs keeps the suspects from starting there, and each pool
keeps a worker that accepts all jobs.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import crashes
from rackvalve.scheduling import exclusivity
from rackvalve.scheduling import fleet
from rackvalve.scheduling import gangs
from rackvalve.scheduling import placement
from rackvalve.scheduling import starter as starters
from rackvalve.scheduling import workers

# A likely cause is tried before suspects that have waited at most this much
# longer, in seconds: once it is found, fewer crashes count against them.
LIKELY_LEAD_S = 2.0
# A job that runs the same as one that failed for crashes is tried after
# suspects that came at most this much later, in seconds: it does no harm while
# it waits, and each crash costs a worker.
MATCHING_JOB_DELAY_S = 10.0

# Least time between isolated starts of two jobs in a pool, in seconds: two
# jobs that crash their workers at the same moment look like a VM's fault.
START_SPACING_S = 0.4
# Most workers reserved ahead for single tasks: those that can start within
# ISOLATION_WAIT_S at this spacing.
MAX_RESERVED_AHEAD = math.ceil(crashes.ISOLATION_WAIT_S / START_SPACING_S)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SuspectGroup:
    """Suspects of one step that would start isolated.

    :param state: Their job.
    :param repetition: Number of the repetition.
    :param number: Number of the step.
    :param tasks: The tasks.
    :param isolation: How they start.
    :param since: When the first of them began to wait, in seconds.
    """

    state: progress.JobState
    repetition: int
    number: int
    tasks: tuple[progress.Task, ...]
    isolation: crashes.Isolation
    since: float

    @property
    def step(self) -> definition.Step:
        """The step of the tasks."""
        return self.state.job.steps[self.number]

    @property
    def is_likely(self) -> bool:
        """Whether one of the tasks is a likely cause of crashes."""
        return any(
            crashes.is_likely_cause(self.state, task) for task in self.tasks
        )

    @property
    def sort_key(self) -> float:
        """Sort key; the lowest group is tried first.

        A short time to crash makes a task a more likely cause.
        """
        time_to_crash = min(task.time_to_crash for task in self.tasks)
        if self.state.known_time_to_crash:
            return self.since + time_to_crash + MATCHING_JOB_DELAY_S
        ahead = LIKELY_LEAD_S if self.is_likely else 0.0
        return self.since + time_to_crash - ahead


def list_groups(
    states: Iterable[progress.JobState], now: float
) -> list[SuspectGroup]:
    """Return the suspects that would start isolated now, by sort key.

    :param states: The jobs of a pool that wait.
    :param now: Present time, in seconds.
    """
    found: dict[tuple[object, ...], SuspectGroup] = {}
    for state in states:
        # All tasks of a job that runs the same as a crashing job are suspects.
        names = state.waiting if state.known_time_to_crash else state.suspects
        for name in names:
            isolation = _choose_isolation(state, name, now)
            key = (state.identity, name.repetition, name.step, isolation)
            if isolation is crashes.Isolation.NONE or key in found:
                continue
            tasks = _list_startable(state, name, isolation, now)
            if not tasks:
                continue
            found[key] = SuspectGroup(
                state=state,
                repetition=name.repetition,
                number=name.step,
                tasks=tasks,
                isolation=isolation,
                since=min(task.not_before for task in tasks),
            )
    return sorted(found.values(), key=lambda group: group.sort_key)


def _choose_isolation(
    state: progress.JobState, name: definition.TaskName, now: float
) -> crashes.Isolation:
    """Return how a task starts; ``NONE`` also if it can't start now."""
    task = state.tasks[name]
    if name not in state.waiting or task.not_before > now:
        return crashes.Isolation.NONE
    return crashes.choose_isolation(state, task, now)


def _list_startable(
    state: progress.JobState,
    first: definition.TaskName,
    isolation: crashes.Isolation,
    now: float,
) -> tuple[progress.Task, ...]:
    """Return the tasks of a step that start now, isolated as the first is."""
    step = state.step_of(first)
    found = tuple(
        state.tasks[name]
        for name in state.waiting
        if (name.repetition, name.step) == (first.repetition, first.step)
        and state.tasks[name].not_before <= now
        and (step.gang or _choose_isolation(state, name, now) is isolation)
    )
    if step.gang and len(found) < step.tasks:
        # Others still run or are being stopped.
        return ()
    return found


class Isolator:
    """Starts suspects isolated, and reserves workers of a pool for them.

    :param cluster: The owner's view of the cluster.
    :param starter: Places runs.
    """

    __slots__ = ("_cluster", "_starter")

    def __init__(
        self, cluster: clusters.Cluster, starter: starters.Starter
    ) -> None:
        self._cluster = cluster
        self._starter = starter

    def plan(
        self,
        view: placement.PoolView,
        states: Iterable[progress.JobState],
        now: float,
    ) -> int:
        """Plan the starts that are possible; reserve workers for the others.

        :param view: The workers of the pool.
        :param states: The jobs of the pool that wait.
        :param now: Present time, in seconds.
        :return: How many runs were planned.
        """
        previous, view.reserved = view.reserved, {}
        groups = list_groups(states, now)
        if not groups:
            return 0
        isolating = sum(map(crashes.is_isolating, view.members))
        max_reserved = math.ceil(
            len(view.members) * exclusivity.MAX_EXCLUSIVE_PART
        )
        planned = 0
        for group in groups:
            left = max_reserved - isolating - len(view.reserved)
            if group.step.gang and not isolating and not view.reserved:
                # A gang may need more workers than one task does.
                left = len(view.members)
            count = newly_used = 0
            if not _must_wait(view, group, now):
                count, newly_used = self._start(view, group, left, now)
            if count:
                view.last_isolated = (group.state, now)
            planned += count
            isolating += newly_used
            # One worker stays open to all jobs.
            spared = len(view.members) - 1 - isolating - len(view.reserved)
            left = min(left, spared)
            if count or left <= 0 or not self._may_reserve(group, now):
                continue
            if (
                len(view.reserved) >= MAX_RESERVED_AHEAD
                and not group.step.gang
            ):
                continue
            self._reserve(view, group, previous, left, now)
        return planned

    def _start(
        self,
        view: placement.PoolView,
        group: SuspectGroup,
        left: int,
        now: float,
    ) -> tuple[int, int]:
        """Start tasks of a group.

        :return: How many tasks, and how many workers that were not yet
            isolating for their job.
        """
        state, step = group.state, group.step
        asked = len(group.tasks)
        allowed = self._starter.count_allowed(state, step, asked)
        if step.gang:
            if allowed < asked or not left:
                return 0, 0
            return self._start_gang(view, group, now)
        hosts = self._find_hosts(state)
        planned = newly_used = 0
        for task in group.tasks[:allowed]:
            if group.isolation is not crashes.Isolation.REQUIRED and hosts:
                # One task of a job at a time while the others may wait.
                break
            worker = self._choose(view, group, task, now, hosts)
            waits = bool(hosts) and not _has_waited_long(task.not_before, now)
            if worker is None and left > newly_used and not waits:
                worker = self._choose(view, group, task, now)
                newly_used += worker is not None
            if worker is None:
                continue
            hosts.add(worker.identity)
            self._place(state, task, worker, state.take_run_number(), now)
            planned += 1
        return planned, newly_used

    def _start_gang(
        self, view: placement.PoolView, group: SuspectGroup, now: float
    ) -> tuple[int, int]:
        """Start all members of a gang, or none."""
        state, step = group.state, group.step
        chosen = placement.choose_for_gang(
            view,
            state,
            group.tasks,
            starters.count_used(state, group.repetition, group.number),
            now=now,
            is_isolated=True,
            tickets=self._starter.find_tickets(
                state, group.repetition, group.number
            ),
            spread=self._starter.find_spread(
                state, group.repetition, group.number
            ),
        )
        if len(chosen) < step.tasks:
            return 0, 0
        number = state.take_run_number()
        gangs.share_checkpoint(group.tasks)
        for task, worker in zip(group.tasks, chosen, strict=True):
            self._place(state, task, worker, number, now)
        return len(chosen), len({worker.identity for worker in chosen})

    def _choose(
        self,
        view: placement.PoolView,
        group: SuspectGroup,
        task: progress.Task,
        now: float,
        among: Collection[str] | None = None,
    ) -> workers.WorkerState | None:
        """Choose a worker for a task; ``None`` for ``among`` means all."""
        state = group.state
        return view.choose(
            group.step,
            task,
            fleet.get_resource_request(group.step),
            starters.count_used(state, group.repetition, group.number),
            now=now,
            state=state,
            is_isolated=True,
            tickets=self._starter.find_tickets(
                state, group.repetition, group.number
            ),
            among=among,
            spread=self._starter.find_spread(
                state, group.repetition, group.number
            ),
        )

    def _place(
        self,
        state: progress.JobState,
        task: progress.Task,
        worker: workers.WorkerState,
        number: int,
        now: float,
    ) -> None:
        crashes.isolate(worker, state, task, number)
        self._starter.place(state, task, worker, number, now)

    def _find_hosts(self, state: progress.JobState) -> set[str]:
        """Return the workers that isolate runs of a job."""
        found = set()
        for task in state.tasks.values():
            run = task.runs.get(task.isolated_run)
            worker = self._cluster.workers.get(run.worker) if run else None
            if worker is not None and crashes.is_isolating(worker):
                found.add(worker.identity)
        return found

    def _may_reserve(self, group: SuspectGroup, now: float) -> bool:
        """Return whether a worker may be reserved for a group."""
        is_required = group.isolation is crashes.Isolation.REQUIRED
        if not is_required and not group.is_likely:
            return False
        asked = len(group.tasks) if group.step.gang else 1
        if self._starter.count_allowed(group.state, group.step, asked) < asked:
            return False
        # The result of another suspect of the job may make it unnecessary.
        is_tried = bool(self._find_hosts(group.state))
        return not is_tried or _has_waited_long(group.since, now)

    def _reserve(
        self,
        view: placement.PoolView,
        group: SuspectGroup,
        previous: dict[str, progress.JobState],
        left: int,
        now: float,
    ) -> None:
        """Reserve the workers on which a group can start soonest.

        None is reserved unless all tasks that start together fit.

        :param previous: The workers reserved in the last plan, with the job.
        :param left: How many workers may still be reserved.
        """
        state, step = group.state, group.step
        tickets = self._starter.find_tickets(
            state, group.repetition, group.number
        )
        used = starters.count_used(state, group.repetition, group.number)
        able = [
            worker
            for worker in view.members
            if worker.identity not in view.reserved
            and not crashes.is_isolating(worker)
            and placement.could_start(worker, step, used, tickets)
            and _count_fitting(worker, group, used, 1)
        ]
        # Workers already reserved for the job come first.
        able.sort(
            key=lambda worker: (
                previous.get(worker.identity) is not state,
                _rank_wait(worker, state),
            )
        )
        wanted = len(group.tasks) if step.gang else 1
        chosen = []
        for worker in able[:left]:
            if wanted <= 0:
                break
            chosen.append(worker.identity)
            wanted -= _count_fitting(worker, group, used, wanted)
        if wanted <= 0:
            view.reserved.update(dict.fromkeys(chosen, state))


def _must_wait(
    view: placement.PoolView, group: SuspectGroup, now: float
) -> bool:
    """Return whether a group's start would follow another job's too soon."""
    state, at = view.last_isolated
    if group.state.known_time_to_crash or state is group.state:
        return False
    return now - at < START_SPACING_S


def _has_waited_long(since: float, now: float) -> bool:
    """Return whether a task has waited long enough for others of its job."""
    return now - since > crashes.ISOLATION_WAIT_S


def _rank_wait(
    worker: workers.WorkerState, state: progress.JobState
) -> tuple[int, int, int]:
    """Return a sort key: how long unsettled runs may occupy a worker."""
    unsettled = crashes.list_unsettled(worker, state)
    lasting = sum(placed.step.lasting for placed in unsettled)
    return lasting, len(unsettled), len(worker.runs)


def _count_fitting(
    worker: workers.WorkerState,
    group: SuspectGroup,
    used: collections.Counter[str],
    most: int,
) -> int:
    """Return how many tasks fit once a worker's unsettled runs have ended.

    Lasting runs become settled instead, and keep what they take.
    """
    free = worker.free
    for placed in crashes.list_unsettled(worker, group.state):
        if not placed.step.lasting:
            free = free.plus(placed.need)
    need = fleet.get_resource_request(group.step)
    most = min(most, placement.count_places(worker, group.step, used))
    count = 0
    while count < most and free.fits(need):
        free = free.minus(need)
        count += 1
    return count
