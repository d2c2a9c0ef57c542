"""Which worker a task goes to.

The cost of a choice does not grow with the pool: workers are looked at from
a place that moves on, until enough with room were seen.
"""

from __future__ import annotations

import collections

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import crashes
from rackvalve.scheduling import fleet
from rackvalve.scheduling import workers

# Workers with room that are compared for one task; with more, the choice
# hardly gets better (the best of 16 at random is in the best 6 %).
COMPARED = 16
# A worker whose tasks take less than this many times as long as elsewhere is
# as good as any other.
SLOW_FROM = 1.5

Score = tuple[float, ...]


class PoolView:
    """The workers of one pool that take work.

    :param members: The workers.
    """

    __slots__ = ("members", "_start")

    def __init__(self, members: list[workers.WorkerState]) -> None:
        self.members = members
        self._start = 0

    def choose(
        self,
        step: definition.Step,
        task: progress.Task,
        need: fleet.Room,
        used: collections.Counter[str],
        *,
        now: float,
        isolated: bool = False,
        tickets: dict[str, str] | None = None,
    ) -> workers.WorkerState | None:
        """Choose a worker for a task.

        :param step: The task's step.
        :param task: The task.
        :param need: The room that it takes.
        :param used: How many tasks of the step each worker has.
        :param now: Present time, in seconds.
        :param isolated: Whether it may not be beside a task under which
            workers crashed.
        :param tickets: Admitted workers; ``None`` if all are.
        :return: The worker, or ``None`` if there is no room.
        """
        best = None
        best_score: Score = ()
        seen = 0
        count = len(self.members)
        self._start = self._start + 1 if self._start + 1 < count else 0
        for offset in range(count):
            worker = self.members[(self._start + offset) % count]
            if not worker.free.fits(need):
                continue
            if worker.suspects:
                if isolated or crashes.is_isolating(worker, now):
                    continue
            if tickets is not None and worker.identity not in tickets:
                continue
            if not _allows(worker, step, used):
                continue
            score = _score(worker, step, task, used, now)
            if best is None or score < best_score:
                best, best_score = worker, score
            seen += 1
            if seen >= COMPARED:
                break
        return best


def _allows(
    worker: workers.WorkerState,
    step: definition.Step,
    used: collections.Counter[str],
) -> bool:
    entry = worker.entry
    if entry is None:
        return False
    if not entry.labels.issuperset(step.labels):
        return False
    most = step.most_per_worker
    return not most or used[worker.identity] < most


def _score(
    worker: workers.WorkerState,
    step: definition.Step,
    task: progress.Task,
    used: collections.Counter[str],
    now: float,
) -> Score:
    """Rate a worker for a task; less is better."""
    entry = worker.entry
    assert entry is not None
    suspect = worker.suspect_until > now
    away_from_data = bool(step.data_rack) and entry.rack != step.data_rack
    capacity = entry.capacity
    load = 1 - min(
        worker.free.cpu / max(1, capacity.cpu),
        worker.free.memory / max(1, capacity.memory),
    )
    crowd = float(used[worker.identity]) if step.lasting else 0.0
    # A lasting task would have to move once more.
    leaves = float(step.lasting and worker.leaves_later)
    neighbours = _count_unfit_neighbours(worker, step)
    # Suspects apart from each other: fewer of them are hit by the next crash.
    suspects = float(len(worker.suspects)) if task.crashes else 0.0
    return (
        float(worker.identity in task.avoid),
        float(suspect),
        float(away_from_data),
        worker.slowness if worker.slowness > SLOW_FROM else 1.0,
        suspects,
        crowd,
        leaves,
        neighbours,
        # Lasting tasks are spread; other work is packed, so that VMs that a
        # pool does not need are empty and can leave at once.  A task that may
        # crash its worker goes where it takes the least with it.
        load if step.lasting or task.crashes else -load,
    )


def _count_unfit_neighbours(
    worker: workers.WorkerState, step: definition.Step
) -> float:
    """Count runs that a task of the step would disturb, or be disturbed by."""
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
