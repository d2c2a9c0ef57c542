"""Starts of suspects where no other job could cause a crash.

No worker of a busy pool comes to that by itself, so some are reserved for
tasks that wait for one: they take nothing else until what runs there has
ended, or is known to have been at work for long.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import book as books
from rackvalve.scheduling import crashes
from rackvalve.scheduling import fleet
from rackvalve.scheduling import placement
from rackvalve.scheduling import starter as starters
from rackvalve.scheduling import workers

# Part of a pool's workers that may be reserved, or kept for such starts, at
# the same time.
RESERVED_PART = 0.5
# A task that is likely to blame is tried before those that have waited for so
# much longer at most, in seconds: once it is found, less counts against them.
LIKELY_AHEAD_S = 2.0
# What runs the same as a job that was given up is tried after those that have
# come so much later at most, in seconds: meanwhile it harms nothing, and each
# crash takes its worker away.
ALIKE_BEHIND_S = 10.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Group:
    """Suspects of one step that would start isolated.

    :param state: Their job.
    :param repetition: Number of the repetition.
    :param number: Number of the step.
    :param tasks: The tasks.
    :param isolation: How they start.
    :param since: Since when the first of them waits, in seconds.
    """

    state: progress.JobState
    repetition: int
    number: int
    tasks: tuple[progress.Task, ...]
    isolation: crashes.Isolation
    since: float

    @property
    def step(self) -> definition.Step:
        """The step."""
        return self.state.job.steps[self.number]

    @property
    def is_likely(self) -> bool:
        """Whether more speaks against a task than that it was there."""
        return any(
            crashes.is_likely_cause(self.state, task) for task in self.tasks
        )

    @property
    def urgency(self) -> float:
        """Less for what is tried first.

        What has crashed its workers soonest is most likely to blame.
        """
        lived = min(task.time_to_crash for task in self.tasks)
        if self.state.known_time_to_crash:
            return self.since + lived + ALIKE_BEHIND_S
        ahead = LIKELY_AHEAD_S if self.is_likely else 0.0
        return self.since + lived - ahead


def list_groups(
    states: Iterable[progress.JobState], now: float
) -> list[Group]:
    """Return the suspects that would start isolated now, the first ones first.

    :param states: The jobs of a pool that wait.
    :param now: Present time, in seconds.
    """
    found: dict[tuple[object, ...], Group] = {}
    for state in states:
        # All tasks of a job that runs the same as a culprit are suspects.
        names = state.waiting if state.known_time_to_crash else state.suspects
        for name in names:
            isolation = _choose_isolation(state, name, now)
            key = (state.identity, name.repetition, name.step, isolation)
            if isolation is crashes.Isolation.NONE or key in found:
                continue
            tasks = _list_together(state, name, isolation, now)
            if not tasks:
                continue
            found[key] = Group(
                state=state,
                repetition=name.repetition,
                number=name.step,
                tasks=tasks,
                isolation=isolation,
                since=min(task.not_before for task in tasks),
            )
    return sorted(found.values(), key=lambda group: group.urgency)


def _choose_isolation(
    state: progress.JobState, name: definition.TaskName, now: float
) -> crashes.Isolation:
    """Return how a task starts that may start now."""
    task = state.tasks[name]
    if name not in state.waiting or task.not_before > now:
        return crashes.Isolation.NONE
    return crashes.choose_isolation(state, task, now)


def _list_together(
    state: progress.JobState,
    first: definition.TaskName,
    isolation: crashes.Isolation,
    now: float,
) -> tuple[progress.Task, ...]:
    """Return the tasks of a step that start as one of them does."""
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

    :param book: The book.
    :param starter: Places runs.
    """

    __slots__ = ("_book", "_starter")

    def __init__(self, book: books.Book, starter: starters.Starter) -> None:
        self._book = book
        self._starter = starter

    def plan(
        self,
        view: placement.PoolView,
        states: Iterable[progress.JobState],
        now: float,
    ) -> int:
        """Plan the starts that may be made, and reserve workers for others.

        :param view: The workers of the pool.
        :param states: The jobs of the pool that wait.
        :param now: Present time, in seconds.
        :return: How many runs were planned.
        """
        before, view.reserved = view.reserved, {}
        groups = list_groups(states, now)
        if not groups:
            return 0
        kept = sum(map(crashes.is_isolating, view.members))
        most = math.ceil(len(view.members) * RESERVED_PART)
        planned = 0
        for group in groups:
            left = most - kept - len(view.reserved)
            if group.step.gang and not kept and not view.reserved:
                # It may need more workers than one task does.
                left = len(view.members)
            count, opened = self._start(view, group, left, now)
            planned += count
            kept += opened
            if count or left <= 0 or not self._may_reserve(group, now):
                continue
            self._reserve(view, group, before, left, now)
        return planned

    def _start(
        self, view: placement.PoolView, group: Group, left: int, now: float
    ) -> tuple[int, int]:
        """Start tasks of a group.

        :return: How many, and on how many workers that were not kept for
            their job before.
        """
        state, step = group.state, group.step
        asked = len(group.tasks)
        allowed = self._starter.count_allowed(state, step, asked)
        if step.gang:
            if allowed < asked or not left:
                return 0, 0
            return self._start_gang(view, group, now)
        hosts = self._find_hosts(state)
        planned = opened = 0
        for task in group.tasks[:allowed]:
            if group.isolation is not crashes.Isolation.REQUIRED and hosts:
                # One of a job at a time, while others may wait.
                break
            worker = self._choose(view, group, task, now, hosts)
            waits = bool(hosts) and not _is_late(task.not_before, now)
            if worker is None and left > opened and not waits:
                worker = self._choose(view, group, task, now)
                opened += worker is not None
            if worker is None:
                continue
            hosts.add(worker.identity)
            self._place(state, task, worker, state.take_run_number(), now)
            planned += 1
        return planned, opened

    def _start_gang(
        self, view: placement.PoolView, group: Group, now: float
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
        )
        if len(chosen) < step.tasks:
            return 0, 0
        number = state.take_run_number()
        for task, worker in zip(group.tasks, chosen, strict=True):
            self._place(state, task, worker, number, now)
        return len(chosen), len({worker.identity for worker in chosen})

    def _choose(
        self,
        view: placement.PoolView,
        group: Group,
        task: progress.Task,
        now: float,
        among: Collection[str] | None = None,
    ) -> workers.WorkerState | None:
        """Choose a worker for a task, among some or among all."""
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
        """Return the workers that are kept for runs of a job."""
        found = set()
        for task in state.tasks.values():
            run = task.runs.get(task.isolated_run)
            worker = self._book.workers.get(run.worker) if run else None
            if worker is not None and crashes.is_isolating(worker):
                found.add(worker.identity)
        return found

    def _may_reserve(self, group: Group, now: float) -> bool:
        """Return whether a worker is to be emptied for a group."""
        is_required = group.isolation is crashes.Isolation.REQUIRED
        if not is_required and not group.is_likely:
            return False
        asked = len(group.tasks) if group.step.gang else 1
        if self._starter.count_allowed(group.state, group.step, asked) < asked:
            return False
        # What others of its job show may make it needless.
        is_tried = bool(self._find_hosts(group.state))
        return not is_tried or _is_late(group.since, now)

    def _reserve(
        self,
        view: placement.PoolView,
        group: Group,
        before: dict[str, progress.JobState],
        left: int,
        now: float,
    ) -> None:
        """Reserve the workers on which a group can start soonest."""
        tickets = self._starter.find_tickets(
            group.state, group.repetition, group.number
        )
        need = fleet.get_resource_request(group.step)
        able = [
            worker
            for worker in view.members
            if worker.identity not in view.reserved
            and not crashes.is_isolating(worker)
            and placement.could_fit(worker, group.step, tickets)
            and _count_fitting(worker, group.state, need, 1)
        ]
        # Stays with those that are being emptied for the job already.
        able.sort(
            key=lambda worker: (
                before.get(worker.identity) is not group.state,
                _rate_wait(worker, group.state),
            )
        )
        wanted = len(group.tasks) if group.step.gang else 1
        for worker in able[:left]:
            if wanted <= 0:
                break
            view.reserved[worker.identity] = group.state
            wanted -= _count_fitting(worker, group.state, need, wanted)


def _is_late(since: float, now: float) -> bool:
    """Return whether a task has waited for others of its job long enough."""
    return now - since > crashes.ISOLATION_WAIT_S


def _rate_wait(
    worker: workers.WorkerState, state: progress.JobState
) -> tuple[int, int, int]:
    """Rate how long a worker takes to be free of what could crash it."""
    unsettled = crashes.list_unsettled(worker, state)
    lasting = sum(placed.step.lasting for placed in unsettled)
    return lasting, len(unsettled), len(worker.runs)


def _count_fitting(
    worker: workers.WorkerState,
    state: progress.JobState,
    need: fleet.Resources,
    most: int,
) -> int:
    """Return how many tasks fit once what could crash a worker has ended."""
    free = worker.free
    for placed in crashes.list_unsettled(worker, state):
        free = free.plus(placed.need)
    count = 0
    while count < most and free.fits(need):
        free = free.minus(need)
        count += 1
    return count
