"""The state of jobs, their tasks and runs, as the owner keeps it.

A task's next run starts only when all its earlier runs are known to be over,
and run numbers of a job only increase.  Both are stored in the job's record
before a worker is told of a run, so that any later owner knows what may be
running.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

from rackvalve.jobs import definition


class Phase(enum.Enum):
    """Phase of a job."""

    # No worker has reported a run of the job yet.
    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


# Shared by all tasks that have no workers, runs or crashes to remember.
_EMPTY: frozenset[Any] = frozenset()

FINAL = frozenset({Phase.COMPLETED, Phase.FAILED, Phase.CANCELLED})


class Stage(enum.Enum):
    """Stage of a run, as its owner knows it."""

    # The run is not yet in the store.
    PLANNED = "planned"
    # The run is in the store; the order may be in flight.
    ORDERED = "ordered"
    # The worker has confirmed the start.
    CONFIRMED = "confirmed"
    # A stop was ordered.
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Location:
    """Address of an incarnation of a worker, kept also without its entry.

    :param host: IP address.
    :param port: Port.
    :param vm: The VM that the worker runs on.
    """

    host: str
    port: int
    vm: str


class Run:
    """One run of a task on a worker.

    :param number: Number of the run, above all earlier ones of its job.
    :param worker: Identity of the worker.
    :param stage: Stage of the run.
    :param now: Present time, in seconds.
    :param location: Address of the worker; ``None`` if the record that names
        the run has none.
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
        "checkpoint",
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
        # Whether the run is from a previous owner's record and not yet
        # reported by its worker.
        self.inherited = False
        self.percent = 0.0
        self.percent_since = now
        # Progress and time from which the speed is measured, and the speed, in
        # percent a second; ``None`` until measured.
        self.sampled_percent = 0.0
        self.sampled: float | None = None
        self.rate: float | None = None
        self.confirmed_at: float | None = None
        # When the worker was asked for the last report that lists the run.
        self.listed_at: float | None = None
        # Whether the worker has reported the run as running or ended.
        self.begun = False
        self.stop_wanted = False
        self.load = 0.0
        # The ordered share of full speed, in percent; ``None`` if an earlier
        # owner, or an order that was lost, may have set another.
        self.pace: int | None = 100
        # When the pace was last changed.
        self.paced_at = 0.0
        self.ticket = ""
        # The checkpoint that it starts from; empty to start afresh.
        self.checkpoint = ""


class Task:
    """One task of a job.

    Its sets are immutable: most tasks have none, and an empty one is shared.

    :param name: Its name within the job.
    """

    __slots__ = (
        "name",
        "done",
        "failures",
        "checkpoint",
        "saved_percent",
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
        "needs_proof",
        "settled_beside",
        "crashed_on",
        "unreported_runs",
    )

    def __init__(self, name: definition.TaskName) -> None:
        self.name = name
        self.done = False
        self.failures = 0
        self.checkpoint = ""
        # Progress of the checkpoint at the least, in percent.
        self.saved_percent = 0.0
        self.runs: dict[int, Run] = {}
        # Workers on which the task failed.
        self.avoid: frozenset[str] = _EMPTY
        self.not_before = 0.0
        # Worker crashes that count against the task until it is cleared, and
        # the longest that a run may have lasted before one, in seconds.
        self.crashes = 0
        self.time_to_crash = 0.0
        # Crashes at which the task's run was the last to have started on the
        # worker.
        self.youngest_crashes = 0
        # Crashes that another job was found to have caused, and the
        # incarnations of workers that ended in the others.
        self.explained = 0
        self.crashed_incarnations: frozenset[str] = _EMPTY
        # Number of the last run that was isolated on its worker; 0 for none.
        self.isolated_run = 0
        # Crashes in isolation, and those of them that came soon after the
        # start.
        self.isolated_crashes = 0
        self.prompt_crashes = 0
        # Whether VMs crashed by themselves beside these crashes, so that each
        # start from the third crash on must show whether the task causes them.
        self.needs_proof = False
        # Runs, by full name of the task and number, that were settled on the
        # isolated run's worker when it started.
        self.settled_beside: frozenset[tuple[str, int]] = _EMPTY
        # VMs whose workers crashed while they ran the task.
        self.crashed_on: frozenset[str] = _EMPTY
        # Numbers of runs that were taken to be over while their workers were
        # out of reach: the workers may still report how the runs ended.
        self.unreported_runs: frozenset[int] = _EMPTY

    @property
    def unexplained(self) -> int:
        """How many crashes this task may have caused."""
        return self.crashes - self.explained

    def note_checkpoint(self, text: str, percent: float) -> None:
        """Note a checkpoint that a worker reports.

        A run goes on from the checkpoint that it starts from, so that none of
        its own has less progress.

        :param text: The checkpoint; empty for none.
        :param percent: Progress of the run that saved it, in percent.
        """
        if not text or text == self.checkpoint:
            return
        self.checkpoint = text
        # Workers may tell any number, also one that is not finite.
        self.saved_percent = max(self.saved_percent, min(100.0, percent))

    def forget_crashes(self) -> None:
        """Reset all that was recorded of crashes."""
        self.crashes = 0
        self.youngest_crashes = 0
        self.explained = 0
        self.crashed_incarnations = _EMPTY
        self.isolated_crashes = 0
        self.prompt_crashes = 0
        self.needs_proof = False
        self.time_to_crash = 0.0
        self.isolated_run = 0
        self.settled_beside = _EMPTY
        self.crashed_on = _EMPTY


class JobState:
    """A job and its state.

    :param identity: The caller's identifier.
    :param queue: Name of its queue.
    :param job: The job as submitted.
    :param accepted: When it was accepted, seconds since 1970.
    :param workspace: Name of the submitting workspace; empty for none.
    :param weight: Memory that it takes while it is open, in bytes.
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
        "parts",
        "changed_parts",
        "_weight",
        "_done_steps",
        "_undone",
    )

    def __init__(
        self,
        identity: str,
        queue: str,
        job: definition.Job,
        accepted: float,
        *,
        workspace: str = "",
        weight: int = 0,
    ) -> None:
        self.identity = identity
        self._weight = weight
        self.queue = queue
        self.job = job
        self.accepted = accepted
        self.workspace = workspace
        # Whether it was submitted within the rate that its workspace paid for.
        self.guaranteed = True
        # When this owner learned of the job, on its steady clock, in seconds.
        self.arrived = 0.0
        self.phase = Phase.QUEUED
        self.next_run = 1
        self.tasks: dict[definition.TaskName, Task] = {}
        # Tasks of open steps that wait for a run, in order.
        self.waiting: dict[definition.TaskName, None] = {}
        # When it ended, seconds since 1970; 0 while it is open.
        self.finished = 0.0
        self.cancel_wanted = False
        # Steps that were opened, as (repetition, step): their repetition is
        # due and the steps before them are done.
        self.opened: set[tuple[int, int]] = set()
        # Tasks against which crashes count.
        self.suspects: set[definition.TaskName] = set()
        # Longest time to crash of failed jobs that run the same, in seconds; 0
        # if no such job is known.
        self.known_time_to_crash = 0.0
        self.reason = ""
        # How many parts its record has, 0 if it is a single value, and the
        # parts that must be written.
        self.parts = 0
        self.changed_parts: set[int] = set()
        # Steps that are known to be done, and one task of each other step that
        # was asked about: no task goes back.
        self._done_steps: set[tuple[int, int]] = set()
        self._undone: dict[tuple[int, int], Task] = {}

    @property
    def weight(self) -> int:
        """Memory that the job takes, in bytes; less once it has ended."""
        return self._weight * 3 // 4 if self.is_final else self._weight

    @property
    def is_final(self) -> bool:
        """Whether the phase is final; callers may have seen it."""
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
        """Return the name of a step, unique among all jobs.

        :param repetition: Number of the repetition.
        :param number: Number of the step.
        """
        return f"{self.identity}.{repetition}.{number}"

    def take_run_number(self) -> int:
        """Allocate a run number, above those of all earlier runs."""
        number = self.next_run
        self.next_run += 1
        return number

    def list_planned(self) -> list[tuple[definition.TaskName, int]]:
        """Return the planned runs, as task and number."""
        return [
            (task.name, run.number)
            for task in self.tasks.values()
            for run in task.runs.values()
            if run.stage is Stage.PLANNED
        ]

    def open_steps(self, wall: float) -> None:
        """Queue the tasks of steps that have become due.

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
        """Queue a task for another run.

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
        # The last steps are the last ones to be done.
        steps = (
            (repetition, number)
            for repetition in reversed(range(max(1, self.job.repetitions)))
            for number in reversed(range(len(self.job.steps)))
        )
        if all(self.step_is_done(*step) for step in steps):
            self.finish(Phase.COMPLETED, wall, "all tasks are done")

    def finish(self, phase: Phase, wall: float, reason: str) -> None:
        """End the job.

        :param phase: The final phase.
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
        key = (repetition, number)
        if key in self._done_steps:
            return True
        undone = self._undone.get(key)
        if undone is not None and not undone.done:
            return False
        for index in reversed(range(self.job.steps[number].tasks)):
            name = definition.TaskName(
                repetition=repetition, step=number, index=index
            )
            task = self.tasks.get(name)
            if task is None:
                return False
            if not task.done:
                self._undone[key] = task
                return False
        self._done_steps.add(key)
        self._undone.pop(key, None)
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
