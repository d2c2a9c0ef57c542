"""Jobs that callers submit in an emulated day."""

from __future__ import annotations

import dataclasses
import math
import random

from rackvalve.jobs import definition

# Limit of a job's weight, as a multiple of the mean job's, and the part of its
# weight that does not depend on its work (the users' rules).
MAX_WEIGHT = 4.0
MIN_WEIGHT = 0.3


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Kind:
    """Jobs of one queue.

    :param queue: Name of the queue, and of its pool.
    :param rate: Mean number of jobs submitted in a second.
    :param steps: Mean number of steps.
    :param tasks: Mean number of tasks of a step.
    :param seconds: Mean duration of a task.
    :param cpu: Mean processor request of a task, in thousandths of a core.
    :param memory: Mean memory request of a task, in MB.
    :param worth: Value of a mean job to its caller.
    :param lasting: Number of lasting tasks of the pool.
    """

    queue: str
    rate: float
    steps: float
    tasks: float
    seconds: float
    cpu: float
    memory: float
    worth: float
    lasting: int = 5


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Shape:
    """How the rates of all queues change.

    :param turn: Length of a queue's turn, in seconds; 0 for steady rates.
    :param high: Rate in its turn, as a multiple of the mean.
    :param low: Rate outside of it, as a multiple of the mean.
    :param offset: Offset of the day's start in the first turn, in seconds.
    """

    turn: float = 4.5
    high: float = 5.0
    low: float = 0.05
    offset: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Burst:
    """A time in which one queue receives more jobs.

    :param queue: The queue.
    :param at: When it begins, in seconds.
    :param seconds: How long it lasts.
    :param times: The factor by which its rate rises.
    """

    queue: str
    at: float
    seconds: float
    times: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Arrival:
    """The arrival of a job.

    :param at: When it is submitted, in seconds.
    :param queue: Its queue.
    :param job: Its definition.
    :param times: Actual duration of each task, by step, in seconds.
    :param worth: Its value if it completes in time.
    """

    at: float
    queue: str
    job: definition.Job
    times: tuple[tuple[float, ...], ...]
    worth: float

    @property
    def chain(self) -> float:
        """The duration of its longest chain of tasks, in seconds."""
        return sum(max(step) for step in self.times)


def draw_arrivals(
    kinds: tuple[Kind, ...],
    shape: Shape,
    bursts: tuple[Burst, ...],
    length: float,
    rng: random.Random,
) -> list[Arrival]:
    """Draw all jobs of a day, by time of arrival.

    :param kinds: The kinds of jobs.
    :param shape: How their rates change.
    :param bursts: Times of higher rates.
    :param length: How long jobs are submitted, in seconds.
    :param rng: Random source.
    """
    arrivals: list[Arrival] = []
    for number, kind in enumerate(kinds):
        top = kind.rate * max(1.0, shape.high) * 4
        at = rng.expovariate(top)
        while at < length:
            rate = _rate_at(kind, number, len(kinds), shape, bursts, at)
            if rng.random() < rate / top:
                arrivals.append(_draw_job(kind, at, rng))
            at += rng.expovariate(top)
    arrivals.sort(key=lambda arrival: arrival.at)
    return arrivals


def _rate_at(
    kind: Kind,
    number: int,
    count: int,
    shape: Shape,
    bursts: tuple[Burst, ...],
    at: float,
) -> float:
    rate = kind.rate
    if shape.turn:
        turn = int((at + shape.offset) // shape.turn) % count
        rate *= shape.high if turn == number else shape.low
    for burst in bursts:
        if burst.queue == kind.queue and 0 <= at - burst.at < burst.seconds:
            rate *= burst.times
    return rate


def _draw(mean: float, spread: float, rng: random.Random) -> float:
    """Draw from a log-normal distribution with a given mean."""
    deviation = math.sqrt(math.log(1 + spread * spread))
    return rng.lognormvariate(
        math.log(mean) - deviation * deviation / 2, deviation
    )


def _draw_job(kind: Kind, at: float, rng: random.Random) -> Arrival:
    count = max(1, round(_draw(kind.steps, 0.4, rng)))
    steps: list[definition.Step] = []
    times: list[tuple[float, ...]] = []
    work = 0.0
    for number in range(count):
        tasks = max(1, round(_draw(kind.tasks, 0.6, rng)))
        cpu = max(100, round(_draw(kind.cpu, 0.45, rng)))
        base = min(2.5 * kind.seconds, _draw(kind.seconds, 0.5, rng))
        own = tuple(_draw(base, 0.3, rng) for _ in range(tasks))
        times.append(own)
        work += sum(own) * cpu
        steps.append(
            definition.Step(
                tasks=tasks,
                cpu=min(cpu, 3 * round(kind.cpu)),
                memory=max(64, round(_draw(kind.memory, 0.6, rng))),
                estimate=base * math.exp(rng.gauss(0.0, 0.5)),
                after=(number - 1,) if number else (),
            )
        )
    mean = kind.steps * kind.tasks * kind.seconds * kind.cpu
    weight = MIN_WEIGHT + (1 - MIN_WEIGHT) * work / mean
    return Arrival(
        at=at,
        queue=kind.queue,
        job=definition.Job(spec="x", steps=tuple(steps)),
        times=tuple(times),
        worth=kind.worth * min(MAX_WEIGHT, weight),
    )
