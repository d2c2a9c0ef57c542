"""Paces tasks that run on the leftover resources of a worker.

Such a filling task slows down a serving task beside it.  Its pace is lowered
when the tail latency of a serving task nears its limit, set to 0 when the tail
is well over the limit, and raised step by step once there is headroom again.
"""

from __future__ import annotations

from rackvalve.jobs import progress
from rackvalve.scheduling import messages
from rackvalve.scheduling import workers

FULL_PACE = 100
# Share of the tail limit above which filling tasks slow down.  The figure that
# a worker reports is rough and half a second old.
LOWER_ABOVE = 0.85
# Share of the tail limit above which filling tasks stop at once.
STOP_ABOVE = 1.1
# Share of the tail limit below which filling tasks speed up again.
RAISE_BELOW = 0.65
# Steps of the pace, in percent.  Reports come twice a second, so four of them
# come within the time that a serving task may be over its limit.
LOWER_STEP = 50
RAISE_STEP = 20


def set_paces(
    worker: workers.WorkerState, now: float, interval: float
) -> list[messages.SetPace]:
    """Set the paces of the filling tasks on a worker.

    :param worker: The worker, just after its report.
    :param now: Present time, in seconds.
    :param interval: Least time between two changes of a pace, in seconds.
    :return: The changed paces, to be sent to the worker.
    """
    fillers = [
        placed
        for placed in worker.runs.values()
        if placed.step.uses_leftover
        and placed.run.stage is progress.Stage.CONFIRMED
    ]
    if not fillers:
        return []
    pressure = _measure_pressure(worker)
    orders = []
    for placed in fillers:
        wanted = _choose_pace(placed.run.pace, pressure)
        if wanted == placed.run.pace or now - placed.run.paced_at < interval:
            continue
        placed.run.pace = wanted
        placed.run.paced_at = now
        orders.append(
            messages.SetPace(
                worker=worker.identity,
                task=placed.full_name,
                run=placed.run.number,
                percent=wanted,
            )
        )
    return orders


def _measure_pressure(worker: workers.WorkerState) -> float:
    """Return the worst tail latency on a worker, as a share of its limit."""
    return max(
        (
            placed.run.load / 1000 / placed.step.tail_limit
            for placed in worker.runs.values()
            if placed.step.tail_limit and not placed.step.uses_leftover
        ),
        default=0.0,
    )


def _choose_pace(known: int | None, pressure: float) -> int:
    pace = known
    if pace is None:
        # The present pace is unknown; start low beside a tail near its limit.
        is_near = pressure >= RAISE_BELOW
        pace = FULL_PACE - LOWER_STEP if is_near else FULL_PACE
    if pressure > STOP_ABOVE:
        return 0
    if pressure > LOWER_ABOVE:
        return max(0, pace - LOWER_STEP)
    if pressure < RAISE_BELOW:
        return min(FULL_PACE, pace + RAISE_STEP)
    return pace
