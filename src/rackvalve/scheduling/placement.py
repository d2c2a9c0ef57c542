"""Chooses the worker on which a task starts.

The cost of a choice does not grow with the pool: the search starts at another
worker each time and ends once enough workers with room were compared.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Sequence
import itertools

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import coldness
from rackvalve.scheduling import crashes
from rackvalve.scheduling import domains
from rackvalve.scheduling import fleet
from rackvalve.scheduling import workers

# Workers with room that are compared for one task; more hardly improve the
# choice (the best of 16 random workers is among the best 6 %).
MAX_COMPARED_WORKERS = 16
# Most workers that are compared in all, with those that do not end the search:
# otherwise the whole pool is compared for each task once all racks are over
# their limits.
MAX_COMPARED_IN_ALL = 4 * MAX_COMPARED_WORKERS
# A worker counts as slow if its tasks take more than this many times as long
# as elsewhere.
SLOW_RATIO = 1.5

Score = tuple[float, ...]
# Index in a score of how many more of a lasting step's tasks the worker's rack
# would have than the step may miss.
EXCESS = 4
# Rating of a worker where racks and halls do not matter.
NO_RATING = (0.0, 0.0, 0.0)


class PoolView:
    """The workers of one pool that accept new runs.

    :param members: The workers.
    """

    __slots__ = (
        "members",
        "reserved",
        "shared",
        "cold_interval",
        "last_isolated",
        "_next_start",
        "_interleaved",
        "_interleaved_from",
    )

    def __init__(self, members: list[workers.WorkerState]) -> None:
        self.members = members
        # The members in turns from each rack, and the list they were in.
        self._interleaved: list[workers.WorkerState] = []
        self._interleaved_from: list[workers.WorkerState] | None = None
        # Members reserved for one job each, by identity.
        self.reserved: dict[str, progress.JobState] = {}
        # Identities of members that accept all jobs beside an isolated run.
        self.shared: Collection[str] = ()
        # Least time between two starts on a cold worker, in seconds.
        self.cold_interval = 0.0
        # The job whose task was last started in isolation, and when, in
        # seconds.
        self.last_isolated: tuple[progress.JobState | None, float] = (
            None,
            float("-inf"),
        )
        self._next_start = 0

    def choose(
        self,
        step: definition.Step,
        task: progress.Task,
        need: fleet.Resources,
        used: collections.Counter[str],
        *,
        now: float,
        state: progress.JobState | None = None,
        is_isolated: bool = False,
        tickets: dict[str, str] | None = None,
        among: Collection[str] | None = None,
        spread: domains.TaskSpread | None = None,
    ) -> workers.WorkerState | None:
        """Choose a worker for a task.

        :param step: The task's step.
        :param task: The task.
        :param need: The resources that it takes.
        :param used: How many tasks of the step each worker has.
        :param now: Present time, in seconds.
        :param state: The task's job; ``None`` if isolation does not matter.
        :param is_isolated: Whether the task starts only where no other job
            could cause a crash.
        :param tickets: Admitted workers; ``None`` if all are.
        :param among: Identities of the workers to choose from; ``None`` for
            all.
        :param spread: Where the step's other tasks are; ``None`` if racks and
            halls do not matter.
        :return: The worker, or ``None`` if there is no room.
        """
        best = None
        best_score: Score = ()
        seen = compared = 0
        members = self.members
        if spread is not None and step.lasting:
            members = self._interleave(spread)
        count = len(members)
        self._next_start = (
            self._next_start + 1 if self._next_start + 1 < count else 0
        )
        for offset in range(count):
            worker = members[(self._next_start + offset) % count]
            if not worker.free.fits(need):
                continue
            if among is not None and worker.identity not in among:
                continue
            if not self._is_open(worker, state, is_isolated):
                continue
            if coldness.is_busy_starting(worker, self.cold_interval, now):
                continue
            if not could_start(worker, step, used, tickets):
                continue
            score = _score(worker, step, task, used, now, state, spread)
            if best is None or score < best_score:
                best, best_score = worker, score
            elif spread is not None and score == best_score:
                best = _choose_rack(best, worker, spread)
            # Racks that have enough of a lasting step's tasks do not end the
            # search for one that has not.
            # Nor do workers that are a last choice; those that crash do where
            # failure domains do not matter.
            compared += 1
            is_last_choice = worker.is_cold(now) or (
                worker.is_crash_prone and spread is not None
            )
            if not score[EXCESS] and not is_last_choice:
                seen += 1
            if seen >= MAX_COMPARED_WORKERS or compared >= MAX_COMPARED_IN_ALL:
                break
        return best

    def has_room(
        self,
        placed: workers.PlacedRun,
        used: collections.Counter[str],
        *,
        is_isolated: bool,
        tickets: dict[str, str] | None,
    ) -> bool:
        """Return whether a run's task could start on another worker now.

        :param placed: The run.
        :param used: How many tasks of its step each worker has.
        :param is_isolated: Whether the task starts in isolation only.
        :param tickets: Admitted workers; ``None`` if all are.
        """
        return any(
            worker.free.fits(placed.need)
            and worker.identity != placed.run.worker
            and self._is_open(worker, placed.state, is_isolated)
            and could_start(worker, placed.step, used, tickets)
            for worker in self.members
        )

    def _interleave(
        self, spread: domains.TaskSpread
    ) -> list[workers.WorkerState]:
        """Return the members in turns from each rack.

        The members that are compared would often be of one rack otherwise, as
        those of a rack come one after the other.
        """
        if self._interleaved_from is not self.members:
            racks: dict[str, list[workers.WorkerState]] = {}
            for worker in self.members:
                entry = worker.entry
                domain = spread.find_domain(entry.vm) if entry else ""
                racks.setdefault(domain, []).append(worker)
            turns = itertools.zip_longest(*racks.values())
            self._interleaved = [
                worker for turn in turns for worker in turn if worker
            ]
            self._interleaved_from = self.members
        return self._interleaved

    def _is_open(
        self,
        worker: workers.WorkerState,
        state: progress.JobState | None,
        is_isolated: bool,
    ) -> bool:
        """Return whether isolation lets a task start on a worker."""
        holder = self.reserved.get(worker.identity)
        if is_isolated:
            if holder is not None and holder is not state:
                return False
            return not crashes.list_unsettled(worker, state)
        if holder is not None:
            return False
        return worker.identity in self.shared or not crashes.is_isolating(
            worker
        )


def choose_for_gang(
    view: PoolView,
    state: progress.JobState,
    tasks: Sequence[progress.Task],
    used: collections.Counter[str],
    *,
    now: float,
    is_isolated: bool = False,
    tickets: dict[str, str] | None = None,
    spread: domains.TaskSpread | None = None,
) -> list[workers.WorkerState]:
    """Choose workers for tasks that start together.

    :param view: The workers of the pool.
    :param state: The tasks' job.
    :param tasks: The tasks, all of one step.
    :param used: How many tasks of the step each worker has.
    :param now: Present time, in seconds.
    :param is_isolated: Whether they start only where no other job could
        cause a crash.
    :param tickets: Admitted workers; ``None`` if all are.
    :param spread: Where the job's other tasks are; ``None`` if racks and halls
        do not matter.
    :return: A worker for each of the tasks; fewer if there is no room.
    """
    step = state.step_of(tasks[0].name)
    need = fleet.get_resource_request(step)
    chosen: list[workers.WorkerState] = []
    if spread is not None:
        # The tasks chosen for are not part of the job's state meanwhile.
        spread.count()
    last_starts: list[float] = []
    for task in tasks:
        worker = view.choose(
            step,
            task,
            need,
            used,
            now=now,
            state=state,
            is_isolated=is_isolated,
            tickets=tickets,
            spread=spread,
        )
        if worker is None:
            break
        worker.free = worker.free.minus(need)
        used[worker.identity] += 1
        if spread is not None:
            spread.add(worker)
        chosen.append(worker)
        last_starts.append(worker.last_start_at)
        worker.last_start_at = now
    for worker in chosen:
        worker.free = worker.free.plus(need)
    for worker, last_start in zip(chosen[::-1], last_starts[::-1]):
        worker.last_start_at = last_start
    return chosen


def could_start(
    worker: workers.WorkerState,
    step: definition.Step,
    used: collections.Counter[str],
    tickets: dict[str, str] | None,
) -> bool:
    """Return whether only other runs may keep a task from a worker.

    :param worker: The worker.
    :param step: The task's step.
    :param used: How many tasks of the step each worker has.
    :param tickets: Admitted workers; ``None`` if all are.
    """
    entry = worker.entry
    if entry is None or not entry.labels.issuperset(step.labels):
        return False
    if tickets is not None and worker.identity not in tickets:
        return False
    if not count_places(worker, step, used):
        return False
    return entry.capacity.fits(fleet.get_resource_request(step))


def count_places(
    worker: workers.WorkerState,
    step: definition.Step,
    used: collections.Counter[str],
) -> int:
    """Return how many more tasks of a step its limit allows on a worker.

    :param worker: The worker.
    :param step: The step.
    :param used: How many tasks of the step each worker has.
    """
    if not step.most_per_worker:
        return step.tasks
    return max(0, step.most_per_worker - used[worker.identity])


def _score(
    worker: workers.WorkerState,
    step: definition.Step,
    task: progress.Task,
    used: collections.Counter[str],
    now: float,
    state: progress.JobState | None,
    spread: domains.TaskSpread | None,
) -> Score:
    """Rate a worker for a task; a lower score is better."""
    entry = worker.entry
    assert entry is not None
    suspect = worker.backoff_until > now
    away_from_data = bool(step.data_rack) and entry.rack != step.data_rack
    capacity = entry.capacity
    load = 1 - min(
        worker.free.cpu / max(1, capacity.cpu),
        worker.free.memory / max(1, capacity.memory),
    )
    excess, in_hall, in_rack = NO_RATING
    if spread is not None and step.lasting:
        excess, in_hall, in_rack = spread.rate(entry.vm)
    crowd = float(used[worker.identity]) if step.lasting else 0.0
    # A lasting task would have to move once more.
    leaves = float(step.lasting and worker.maintenance_pending)
    neighbours = _count_unfit_neighbours(worker, step)
    # A lasting task outlives the cold, so its place matters more.
    cold = float(worker.is_cold(now))
    strangers = float(crashes.count_conflicting_runs(worker, state, task))
    return (
        float(worker.identity in task.avoid),
        float(suspect),
        float(worker.is_crash_prone),
        # The VM itself may be the cause of the crashes.
        float(len(task.crashed_on) > 1 and entry.vm in task.crashed_on),
        excess,
        float(away_from_data),
        0.0 if step.lasting else cold,
        worker.slowness if worker.slowness > SLOW_RATIO else 1.0,
        strangers,
        in_hall,
        in_rack,
        crowd,
        leaves,
        cold,
        neighbours,
        # Lasting tasks are spread; other tasks are packed, so that VMs that a
        # pool does not need are empty and can leave at once.  A task that may
        # crash its worker goes where a crash ends the fewest other runs.
        load if step.lasting or task.unexplained else -load,
    )


def _choose_rack(
    one: workers.WorkerState,
    other: workers.WorkerState,
    spread: domains.TaskSpread,
) -> workers.WorkerState:
    """Return which of two equal workers has fewer of the tasks in its rack."""
    if one.entry is None or other.entry is None:
        return one
    fewer = spread.count_in_rack(other.entry.vm) < spread.count_in_rack(
        one.entry.vm
    )
    return other if fewer else one


def _count_unfit_neighbours(
    worker: workers.WorkerState, step: definition.Step
) -> float:
    """Count runs that would slow a task of the step or be slowed by it."""
    if step.uses_leftover:
        return float(
            sum(1 for placed in worker.runs.values() if placed.step.tail_limit)
        )
    if step.tail_limit:
        return float(
            sum(
                1
                for placed in worker.runs.values()
                if placed.step.uses_leftover
            )
        )
    return 0.0
