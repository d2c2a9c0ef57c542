"""Starts tasks within workspace bounds and with admission tickets."""

from __future__ import annotations

import collections

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import crashes
from rackvalve.scheduling import domains
from rackvalve.scheduling import fleet
from rackvalve.scheduling import placement
from rackvalve.scheduling import workers

# Most runs that are planned for a pool before other work has its turn: a job
# may have tens of thousands of tasks.
MAX_STARTS_PER_ROUND = 1000


class Starter:
    """Places the planner's and the isolator's runs on workers.

    :param cluster: The owner's view of the cluster.
    """

    __slots__ = ("_cluster", "tickets")

    def __init__(self, cluster: clusters.Cluster) -> None:
        self._cluster = cluster
        # Admitted workers by step, for queues with an admission service.
        self.tickets: dict[str, dict[str, str]] = {}

    def count_allowed(
        self, state: progress.JobState, step: definition.Step, asked: int
    ) -> int:
        """Return how many tasks the bound of a job's workspace allows now.

        :param state: The job.
        :param step: The tasks' step.
        :param asked: How many are to start.
        """
        workspace = self._cluster.find_workspace(state)
        charge = fleet.get_charge(step)
        return self._cluster.usage.count_allowed(workspace, charge, asked)

    def find_tickets(
        self, state: progress.JobState, repetition: int, number: int
    ) -> dict[str, str] | None:
        """Return the workers admitted for a step; ``None`` if all are.

        :param state: The job.
        :param repetition: Number of the repetition.
        :param number: Number of the step.
        """
        if self._cluster.queues[state.queue].admission is None:
            return None
        return self.tickets.get(state.step_name(repetition, number), {})

    def find_spread(
        self, state: progress.JobState, repetition: int, number: int
    ) -> domains.TaskSpread | None:
        """Return where a step's tasks are; ``None`` if that does not matter.

        :param state: The job.
        :param repetition: Number of the repetition.
        :param number: Number of the step.
        """
        if not self._cluster.policy.failure_domains:
            return None
        return domains.TaskSpread(
            self._cluster.locations, state, repetition, number
        )

    def has_room_elsewhere(
        self,
        view: placement.PoolView,
        placed: workers.PlacedRun,
        now: float,
    ) -> bool:
        """Return whether a run's task could start on another worker now.

        Where no admission is known, each worker may be admitted.

        :param view: The workers of the run's pool.
        :param placed: The run.
        :param now: Present time, in seconds.
        """
        state, name = placed.state, placed.task.name
        if state.queue not in self._cluster.queues:
            return False
        isolation = crashes.choose_isolation(state, placed.task, now)
        return view.has_room(
            placed,
            count_used(state, name.repetition, name.step),
            is_isolated=isolation.waits,
            tickets=self.find_tickets(state, name.repetition, name.step)
            or None,
        )

    def place(
        self,
        state: progress.JobState,
        task: progress.Task,
        worker: workers.WorkerState,
        number: int,
        now: float,
    ) -> None:
        """Plan a run, with the worker's admission ticket if it needs one.

        :param state: The job.
        :param task: The task.
        :param worker: The worker.
        :param number: Number of the run.
        :param now: Present time, in seconds.
        """
        name = task.name
        tickets = self.find_tickets(state, name.repetition, name.step)
        run = self._cluster.place(state, task, worker, number, now)
        if tickets is not None:
            run.ticket = tickets[worker.identity]


def limit_starts(step: definition.Step, allowed: int, planned: int) -> int:
    """Return how many tasks of a step are planned in this round.

    :param step: The step; members of a gang are planned together.
    :param allowed: How many of its tasks may start.
    :param planned: How many runs were planned in this round.
    """
    if step.gang:
        return allowed
    return min(allowed, max(0, MAX_STARTS_PER_ROUND - planned))


def count_used(
    state: progress.JobState,
    repetition: int,
    number: int,
) -> collections.Counter[str]:
    """Count a step's runs by worker, if the step limits or spreads them.

    :param state: The job.
    :param repetition: Number of the repetition.
    :param number: Number of the step.
    """
    used: collections.Counter[str] = collections.Counter()
    step = state.job.steps[number]
    if not (step.most_per_worker or step.lasting):
        return used
    for name, task in state.tasks.items():
        if (name.repetition, name.step) == (repetition, number):
            for run in task.runs.values():
                used[run.worker] += 1
    return used
