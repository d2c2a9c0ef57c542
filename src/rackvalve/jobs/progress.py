"""How far a job is: which tasks are done, which run where, its end.

A task's next run is started only when all its earlier runs are known to be
over; the number of a job's runs only rises.  Both are kept in the record of
the job before a worker hears of a run, so that any later owner knows what
may be running.
"""

from __future__ import annotations

import dataclasses
import enum

from rackvalve.jobs import definition


class Phase(enum.Enum):
    """Where a job is in its life."""

    # No worker has said that it has begun a task of it.
    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL = frozenset({Phase.COMPLETED, Phase.FAILED, Phase.CANCELLED})


class Stage(enum.Enum):
    """Where a run is in its life, as its owner knows it."""

    # Decided, not yet in the store.
    PLANNED = "planned"
    # In the store; the order may be on its way.
    ORDERED = "ordered"
    # The worker has confirmed it.
    CONFIRMED = "confirmed"
    # A stop was ordered.
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Location:
    """Where one life of a worker can be asked, also once its entry is gone.

    :param host: IP number.
    :param port: Port.
    :param vm: The VM that it lives on.
    """

    host: str
    port: int
    vm: str


class Run:
    """One run of a task on a worker.

    :param number: Number of the run, above all earlier ones of its job.
    :param worker: Identity of the worker.
    :param stage: Where it is in its life.
    :param now: Present time, in seconds.
    :param location: Where the worker can be asked; ``None`` if the record
        that names the run does not tell.
    """

    __slots__ = (
        "number",
        "worker",
        "location",
        "stage",
        "since",
        "inherited",
        "percent",
        "percent_since",
        "sampled",
        "sampled_percent",
        "rate",
        "confirmed_at",
        "listed_at",
        "begun",
        "stop_wanted",
        "load",
        "pace",
        "paced_at",
        "ticket",
    )

    def __init__(
        self,
        number: int,
        worker: str,
        stage: Stage,
        now: float,
        *,
        location: Location | None = None,
    ) -> None:
        self.number = number
        self.worker = worker
        self.location = location
        self.stage = stage
        self.since = now
        # Taken over from the owner before; not yet seen on its worker.
        self.inherited = False
        self.percent = 0.0
        self.percent_since = now
        # Progress and time from which its speed is measured, and the speed,
        # in percent a second; ``None`` until it was measured.
        self.sampled_percent = 0.0
        self.sampled: float | None = None
        self.rate: float | None = None
        self.confirmed_at: float | None = None
        # When its worker was asked for the last report that lists it.
        self.listed_at: float | None = None
        # Whether its worker has said that it is, or was, there.
        self.begun = False
        self.stop_wanted = False
        self.load = 0.0
        # The share of its speed that it was told to work at, in percent;
        # ``None`` if an earlier owner, or a lost order, may have told it one.
        self.pace: int | None = 100
        # When its pace was changed last.
        self.paced_at = 0.0
        self.ticket = ""


class Task:
    """One task of a job.

    :param name: Its name within the job.
    """

    __slots__ = (
        "name",
        "done",
        "failures",
        "checkpoint",
        "runs",
        "avoid",
        "not_before",
        "crashes",
        "youngest_crashes",
        "explained",
        "crashed_incarnations",
        "time_to_crash",
        "isolated_run",
        "isolated_crashes",
        "prompt_crashes",
        "settled_beside",
        "crashed_on",
        "unreported_runs",
    )

    def __init__(self, name: definition.TaskName) -> None:
        self.name = name
        self.done = False
        self.failures = 0
        self.checkpoint = ""
        self.runs: dict[int, Run] = {}
        # Workers on which it failed.
        self.avoid: set[str] = set()
        self.not_before = 0.0
        # Workers that crashed under it, until it is cleared, and the longest
        # that a run of it may have lived before one of them, in seconds.
        self.crashes = 0
        self.time_to_crash = 0.0
        # How many of the crashes came when its run was the last one that had
        # started on the worker.
        self.youngest_crashes = 0
        # How many of the crashes another job was found to have caused, and
        # the lives of workers that ended in the others.
        self.explained = 0
        self.crashed_incarnations: set[str] = set()
        # Number of its run that had, or has, a worker for itself; 0 for none.
        self.isolated_run = 0
        # How many of the crashes were in isolation, and how many of these
        # came soon after the start.
        self.isolated_crashes = 0
        self.prompt_crashes = 0
        # Runs, by full name of the task and number, that had been at work for
        # long beside that run when it began.
        self.settled_beside: set[tuple[str, int]] = set()
        # VMs on which workers crashed under it.
        self.crashed_on: set[str] = set()
        # Numbers of runs that were taken to be over while their workers were
        # out of reach: these may still tell how they ended.
        self.unreported_runs: set[int] = set()

    @property
    def unexplained(self) -> int:
        """How many crashes may still be this task's doing."""
        return self.crashes - self.explained

    def forget_crashes(self) -> None:
        """Count no crash against the task any more."""
        self.crashes = 0
        self.youngest_crashes = 0
        self.explained = 0
        self.crashed_incarnations.clear()
        self.isolated_crashes = 0
        self.prompt_crashes = 0
        self.time_to_crash = 0.0
        self.isolated_run = 0
        self.settled_beside.clear()
        self.crashed_on.clear()


class JobState:
    """A job and how far it is.

    :param identity: The caller's identifier.
    :param queue: Name of its queue.
    :param job: What was handed in.
    :param accepted: When it was accepted, seconds since 1970.
    :param workspace: Name of the workspace that handed it in; empty for none.
    """

    __slots__ = (
        "identity",
        "queue",
        "job",
        "accepted",
        "workspace",
        "guaranteed",
        "arrived",
        "phase",
        "next_run",
        "tasks",
        "waiting",
        "finished",
        "cancel_wanted",
        "opened",
        "suspects",
        "known_time_to_crash",
        "reason",
    )

    def __init__(
        self,
        identity: str,
        queue: str,
        job: definition.Job,
        accepted: float,
        *,
        workspace: str = "",
    ) -> None:
        self.identity = identity
        self.queue = queue
        self.job = job
        self.accepted = accepted
        self.workspace = workspace
        # Whether it was sent within the rate that its workspace has paid.
        self.guaranteed = True
        # When this owner learned of it, on its steady clock.
        self.arrived = 0.0
        self.phase = Phase.QUEUED
        self.next_run = 1
        self.tasks: dict[definition.TaskName, Task] = {}
        # Tasks whose turn has come and that have no run, in order.
        self.waiting: dict[definition.TaskName, None] = {}
        # When it ended, seconds since 1970; 0 while it is open.
        self.finished = 0.0
        self.cancel_wanted = False
        # Steps whose turn has come, as (repetition, step).
        self.opened: set[tuple[int, int]] = set()
        # Tasks under which workers crashed and that are not cleared.
        self.suspects: set[definition.TaskName] = set()
        # How long, in seconds, the runs of a job that runs the same lived that
        # was given up for crashing its workers; 0 while none is known.
        self.known_time_to_crash = 0.0
        self.reason = ""

    @property
    def is_final(self) -> bool:
        """Whether callers have seen, or may see, its last state."""
        return self.phase in FINAL

    def task(self, name: definition.TaskName) -> Task | None:
        """Return a task, or ``None`` if the job has none of this name.

        :param name: The task's name.
        """
        found = self.tasks.get(name)
        if found is None and self._has(name):
            found = self.tasks[name] = Task(name)
        return found

    def step_of(self, name: definition.TaskName) -> definition.Step:
        """Return the step of a task.

        :param name: The task's name.
        """
        return self.job.steps[name.step]

    def step_name(self, repetition: int, number: int) -> str:
        """Return the name of a step, unlike those of all other steps.

        :param repetition: Number of the repetition.
        :param number: Number of the step.
        """
        return f"{self.identity}.{repetition}.{number}"

    def take_run_number(self) -> int:
        """Return a number above those of all earlier runs of the job."""
        number = self.next_run
        self.next_run += 1
        return number

    def list_planned(self) -> list[tuple[definition.TaskName, int]]:
        """Return the runs that no record names yet, as task and number."""
        return [
            (task.name, run.number)
            for task in self.tasks.values()
            for run in task.runs.values()
            if run.stage is Stage.PLANNED
        ]

    def open_steps(self, wall: float) -> None:
        """Let the tasks of steps wait whose turn has come.

        :param wall: Present time, seconds since 1970.
        """
        if self.is_final or self.cancel_wanted:
            return
        for repetition in range(max(1, self.job.repetitions)):
            if not self._is_due(repetition, wall):
                return
            for number in range(len(self.job.steps)):
                self._open_step(repetition, number)

    def requeue(self, task: Task, not_before: float) -> None:
        """Let a task wait for another run.

        :param task: The task, without a run.
        :param not_before: Earliest time of its next run.
        """
        if task.done or task.runs or self.is_final or self.cancel_wanted:
            return
        task.not_before = not_before
        self.waiting[task.name] = None

    def finish_if_done(self, wall: float) -> None:
        """Complete the job if all its tasks are done.

        :param wall: Present time, seconds since 1970.
        """
        if self.is_final:
            return
        wanted = sum(step.tasks for step in self.job.steps) * max(
            1, self.job.repetitions
        )
        done = sum(1 for task in self.tasks.values() if task.done)
        if done == wanted:
            self.finish(Phase.COMPLETED, wall, "all tasks are done")

    def finish(self, phase: Phase, wall: float, reason: str) -> None:
        """End the job.

        :param phase: Its last phase.
        :param wall: Present time, seconds since 1970.
        :param reason: Why, for logs and operators.
        """
        self.phase = phase
        self.finished = wall
        self.reason = reason
        self.waiting.clear()

    def step_is_done(self, repetition: int, number: int) -> bool:
        """Return whether all tasks of a step are done.

        :param repetition: Number of the repetition.
        :param number: Number of the step.
        """
        for index in range(self.job.steps[number].tasks):
            name = definition.TaskName(
                repetition=repetition, step=number, index=index
            )
            task = self.tasks.get(name)
            if task is None or not task.done:
                return False
        return True

    def _open_step(self, repetition: int, number: int) -> None:
        if (repetition, number) in self.opened:
            return
        step = self.job.steps[number]
        if not all(self.step_is_done(repetition, n) for n in step.after):
            return
        self.opened.add((repetition, number))
        for index in range(step.tasks):
            name = definition.TaskName(
                repetition=repetition, step=number, index=index
            )
            task = self.tasks.setdefault(name, Task(name))
            if not task.done and not task.runs:
                self.waiting[name] = None

    def _is_due(self, repetition: int, wall: float) -> bool:
        if not self.job.repetitions:
            return True
        due = self.job.first_run + repetition * self.job.interval
        return wall >= due

    def _has(self, name: definition.TaskName) -> bool:
        return (
            name.repetition < max(1, self.job.repetitions)
            and name.step < len(self.job.steps)
            and name.index < self.job.steps[name.step].tasks
        )
