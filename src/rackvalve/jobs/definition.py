"""Definition of a job as its caller submits it: steps of tasks."""

from __future__ import annotations

import dataclasses

from rackvalve import errors

# Bounds of what is accepted; no site could ever run a larger job.
MAX_STEPS = 64
MAX_TASKS = 4096
MAX_REPETITIONS = 10000
# Most tasks of a job in all its repetitions together.
MAX_TOTAL_TASKS = 32768
# Most characters of a task's name, which is three numbers and two dots.
MAX_NAME_LENGTH = 32


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Step:
    """Tasks of one kind that may run once earlier steps are done.

    :param tasks: How many tasks the step has.
    :param cpu: CPU that each task requests, in thousandths of a core.
    :param memory: Memory that each task requests, in MB.
    :param gpu: Accelerators that each task requests.
    :param estimate: The caller's estimate of a task's duration, in seconds.
    :param after: Numbers of the steps that must be done beforehand.
    :param checkpoints: Whether its tasks save their progress.
    :param gang: Whether its tasks can only run all at the same time.
    :param same_rack: Whether the gang is slower across several racks.
    :param labels: Labels that a worker must have.
    :param data_rack: Rack that holds the step's data; empty for none.
    :param most_per_worker: Most of its tasks on one worker; 0 for no limit.
    :param copies_allowed: Whether a task may have two runs at the same time.
    :param lasting: Whether its tasks run until the job is cancelled.
    :param image: What the tasks run; tasks of one image behave alike.
    :param tail_limit: For tasks that serve requests: bound of the tail
        latency, in seconds; 0 for none.
    :param uses_leftover: Whether its tasks run on CPU that others leave
        unused, so that none is reserved for them.
    :param most_away: Most of its tasks that may be unavailable at once.
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
    """A job as its caller submitted it.

    :param spec: The text that each of its tasks is started with.
    :param steps: Its steps.
    :param first_run: When its first repetition is due, seconds since 1970.
    :param interval: Time between two repetitions, in seconds.
    :param repetitions: How often the steps run on a schedule; 0 for a job
        that runs once, immediately.
    """

    spec: str
    steps: tuple[Step, ...]
    first_run: float = 0.0
    interval: float = 0.0
    repetitions: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class TaskName:
    """Name of a task within its job.

    :param repetition: Number of the repetition, from 0.
    :param step: Number of the step, from 0.
    :param index: Number of the task within the step, from 0.
    """

    repetition: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.repetition}.{self.step}.{self.index}"


def count_tasks(job: Job) -> int:
    """Return how many tasks a job has in all its repetitions together.

    :param job: The job.
    """
    return sum(step.tasks for step in job.steps) * max(1, job.repetitions)


def name_task(job: Job, number: int) -> TaskName:
    """Return the name of a task by its number.

    :param job: The job.
    :param number: Number of the task among all of the job, from 0, ordered by
        repetition, step and index.
    """
    repetition, rest = divmod(number, sum(step.tasks for step in job.steps))
    step = 0
    while rest >= job.steps[step].tasks:
        rest -= job.steps[step].tasks
        step += 1
    return TaskName(repetition=repetition, step=step, index=rest)


def check_size(job: Job) -> None:
    """Check that a job is small enough to be accepted.

    :param job: The job.
    :raises DocumentInvalidError: It has too many tasks.
    """
    tasks = count_tasks(job)
    if tasks > MAX_TOTAL_TASKS:
        raise errors.DocumentInvalidError(
            f"the job has {tasks} tasks in all its repetitions and may have "
            f"{MAX_TOTAL_TASKS}; submit several jobs"
        )


def parse_task_name(text: str) -> TaskName | None:
    """Parse a task's name within its job.

    :param text: The name, such as ``0.1.17``.
    :return: The name, or ``None`` if the text is not a task's name.
    """
    # Names also come from workers; the interpreter raises an error for numbers
    # of thousands of digits, and no task's name is as long as this.
    if not text.isascii() or len(text) > MAX_NAME_LENGTH:
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
    """Check the fields of a job.

    :param job: The job.
    :raises DocumentInvalidError: A field is wrong; the message names it.
    """
    if not job.steps:
        raise errors.DocumentInvalidError("steps is empty; give one step")
    if len(job.steps) > MAX_STEPS:
        raise errors.DocumentInvalidError(f"more than {MAX_STEPS} steps")
    if not 0 <= job.repetitions <= MAX_REPETITIONS:
        raise errors.DocumentInvalidError(
            f"repetitions is not within 0 and {MAX_REPETITIONS}"
        )
    if sum(step.tasks for step in job.steps) > MAX_TASKS:
        raise errors.DocumentInvalidError(f"more than {MAX_TASKS} tasks")
    for number, step in enumerate(job.steps):
        _check_step(number, step)


def _check_step(number: int, step: Step) -> None:
    if step.tasks < 1:
        raise errors.DocumentInvalidError(f"step {number} has no tasks")
    if min(step.cpu, step.memory, step.gpu) < 0:
        raise errors.DocumentInvalidError(
            f"step {number} asks for less than 0"
        )
    # A step may depend on earlier steps only, so there are no cycles.
    if any(not 0 <= earlier < number for earlier in step.after):
        raise errors.DocumentInvalidError(
            f"step {number} waits for a step that is not before it"
        )
