"""What a day is worth to callers and costs operators, in the users' terms."""

from __future__ import annotations

import dataclasses

from tools.emulator import plans

# Part of its worth that a job still has when it is late, up to so many times
# its objective.
LATE_PART = 0.07
LATE_UNTIL = 3.0
STRETCH = 1.6
ALLOWANCE_S = 0.6
# Length of the windows of which the two worst count.
WINDOW_S = 2.0
# What lasting work is worth in each window, all tasks at work.
LASTING_WORTH = 3.1
# Weights of the parts, and prices of a VM's second in a pool and of a move.
DAY_WEIGHT = 0.48
WINDOWS_WEIGHT = 0.4
SIZES_WEIGHT = 0.12
VM_SECOND_PRICE = 0.064
MOVE_PRICE = 0.073


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Score:
    """What a day came to.

    :param worth: All in all, at most 1.
    :param whole: Part of the worth that was earned.
    :param windows: The same in the two worst windows.
    :param largest: The same of the largest tenth of jobs.
    :param price: What VMs in pools and moves cost, as part of the worth.
    """

    worth: float
    whole: float
    windows: float
    largest: float
    price: float


def rate(result: plans.Result) -> Score:
    """Rate a day.

    :param result: What became of its jobs.
    """
    owed: dict[int, float] = {}
    earned: dict[int, float] = {}
    for served in result.jobs:
        window = int(served.arrival.at // WINDOW_S)
        owed[window] = owed.get(window, 0.0) + served.arrival.worth
        gain = earn(served) * served.arrival.worth
        earned[window] = earned.get(window, 0.0) + gain
    per_sample = LASTING_WORTH / 20
    for time, share in result.lasting:
        window = int(time // WINDOW_S)
        if window in owed:
            owed[window] += per_sample
            earned[window] += per_sample * share
    total = sum(owed.values())
    whole = sum(earned.values()) / total
    parts = sorted(earned[window] / owed[window] for window in owed)
    windows = sum(parts[:2]) / 2
    largest = _rate_largest(result)
    price = (
        result.pool_seconds * VM_SECOND_PRICE + result.moves * MOVE_PRICE
    ) / total
    return Score(
        worth=DAY_WEIGHT * whole
        + WINDOWS_WEIGHT * windows
        + SIZES_WEIGHT * largest
        - price,
        whole=whole,
        windows=windows,
        largest=largest,
        price=price,
    )


def earn(served: plans.Served) -> float:
    """Return which part of its worth a job has earned.

    :param served: The job.
    """
    if served.ended is None:
        return 0.0
    objective = STRETCH * served.arrival.chain + ALLOWANCE_S
    taken = served.ended - served.arrival.at
    if taken <= objective:
        return 1.0
    return LATE_PART if taken <= LATE_UNTIL * objective else 0.0


def _rate_largest(result: plans.Result) -> float:
    """Return what the largest tenth of each queue's jobs has earned, least."""
    worst = 1.0
    for queue in {served.arrival.queue for served in result.jobs}:
        own = [s for s in result.jobs if s.arrival.queue == queue]
        own.sort(key=lambda s: s.arrival.worth)
        tenth = own[-max(1, len(own) // 10) :]
        owed = sum(s.arrival.worth for s in tenth)
        gained = sum(earn(s) * s.arrival.worth for s in tenth)
        worst = min(worst, gained / owed)
    return worst
