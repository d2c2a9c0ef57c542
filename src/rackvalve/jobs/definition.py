"""What a caller hands in: a job of steps, a step of tasks."""

from __future__ import annotations

import dataclasses

from rackvalve import errors

# Bounds of what is taken, against jobs that no site could ever hold.
MOST_STEPS = 64
MOST_TASKS = 4096
MOST_REPETITIONS = 10000
# Most characters of a task's name: three numbers and two dots.
NAME_LONGEST = 32


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Step:
    """Tasks of one kind that may run once earlier steps are done.

    :param tasks: How many tasks the step has.
    :param cpu: Room that each needs, in thousandths of a core.
    :param memory: Room that each needs, in MB.
    :param gpu: Accelerators that each needs.
    :param estimate: The caller's guess of a task's time, in seconds.
    :param after: Numbers of the steps that must be done beforehand.
    :param checkpoints: Whether its tasks save their progress.
    :param gang: Whether its tasks work only all together.
    :param same_rack: Whether the gang is slower over several racks.
    :param labels: Labels that a worker must have.
    :param data_rack: Rack on which its data lies, empty for none.
    :param most_per_worker: Most of its tasks on one worker; 0 for any.
    :param copies_allowed: Whether a task may run twice at the same time.
    :param lasting: Whether its tasks run until the job is cancelled.
    :param image: What the tasks run; tasks of one image behave alike.
    :param tail_limit: For tasks that serve: bound of the tail of their
        answers' times, in seconds; 0 for none.
    :param uses_leftover: Whether its tasks run on what others leave unused,
        so that their cpu needs no room.
    :param most_away: Most of its tasks that may be away at once.
    """

    tasks: int = 1
    cpu: int = 0
    memory: int = 0
    gpu: int = 0
    estimate: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    labels: tuple[str, ...] = ()
    data_rack: str = ""
    most_per_worker: int = 0
    copies_allowed: bool = False
    lasting: bool = False
    image: str = ""
    tail_limit: float = 0.0
    uses_leftover: bool = False
    most_away: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Job:
    """A job as its caller handed it in.

    :param spec: The text that each of its tasks is started with.
    :param steps: Its steps.
    :param first_run: When its first repetition is due, seconds since 1970.
    :param interval: Time between two repetitions, in seconds.
    :param repetitions: How often the steps run on a schedule; 0 for a job
        that runs once and at once.
    """

    spec: str
    steps: tuple[Step, ...]
    first_run: float = 0.0
    interval: float = 0.0
    repetitions: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class TaskName:
    """Which task of a job.

    :param repetition: Number of the repetition, from 0.
    :param step: Number of the step, from 0.
    :param index: Number of the task within the step, from 0.
    """

    repetition: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.repetition}.{self.step}.{self.index}"


def parse_task_name(text: str) -> TaskName | None:
    """Read a task's name within its job.

    :param text: Such as ``0.1.17``.
    :return: The name, or ``None`` for a text that is none.
    """
    # Names also come from workers; the interpreter refuses to read numbers of
    # thousands of digits, and no task has a number as long as this.
    if not text.isascii() or len(text) > NAME_LONGEST:
        return None
    parts = text.split(".")
    if len(parts) != 3:
        return None
    if not all(part.isdigit() for part in parts):
        return None
    return TaskName(
        repetition=int(parts[0]), step=int(parts[1]), index=int(parts[2])
    )


def validate(job: Job) -> None:
    """Check that a job can be carried out in principle.

    :param job: The job.
    :raises DocumentInvalidError: Says which field is wrong.
    """
    if not job.steps:
        raise errors.DocumentInvalidError("steps is empty; give one step")
    if len(job.steps) > MOST_STEPS:
        raise errors.DocumentInvalidError(f"more than {MOST_STEPS} steps")
    if not 0 <= job.repetitions <= MOST_REPETITIONS:
        raise errors.DocumentInvalidError(
            f"repetitions is not within 0 and {MOST_REPETITIONS}"
        )
    if sum(step.tasks for step in job.steps) > MOST_TASKS:
        raise errors.DocumentInvalidError(f"more than {MOST_TASKS} tasks")
    for number, step in enumerate(job.steps):
        _check_step(number, step)


def _check_step(number: int, step: Step) -> None:
    if step.tasks < 1:
        raise errors.DocumentInvalidError(f"step {number} has no tasks")
    if min(step.cpu, step.memory, step.gpu) < 0:
        raise errors.DocumentInvalidError(
            f"step {number} asks for less than 0"
        )
    # A step may wait for earlier ones only, hence there are no cycles.
    if any(not 0 <= earlier < number for earlier in step.after):
        raise errors.DocumentInvalidError(
            f"step {number} waits for a step that is not before it"
        )
