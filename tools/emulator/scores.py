"""Scores a day by its value to callers and its cost, by the users' rules."""

from __future__ import annotations

import dataclasses

from tools.emulator import plans

# Share of its value that a late job still earns, up to this multiple of its
# objective.
LATE_RATIO = 0.07
LATE_UNTIL = 3.0
STRETCH = 1.6
ALLOWANCE_S = 0.6
# Length of the windows, of which the two worst count, in seconds.
WINDOW_S = 2.0
# Value of lasting tasks in each window if all of them are at work.
LASTING_WORTH = 3.1
# Weights of the parts; prices of a VM's second in a pool and of a move.
DAY_WEIGHT = 0.48
WINDOWS_WEIGHT = 0.4
SIZES_WEIGHT = 0.12
VM_SECOND_PRICE = 0.064
MOVE_PRICE = 0.073


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Score:
    """The score of a day.

    :param worth: The total score, at most 1.
    :param whole: Share of the value that was earned.
    :param windows: The same in the two worst windows.
    :param largest: The same of the largest tenth of jobs.
    :param price: Cost of VMs in pools and of moves, as a share of the value.
    """

    worth: float
    whole: float
    windows: float
    largest: float
    price: float


def rate(result: plans.Result) -> Score:
    """Score a day.

    :param result: The result of the day.
    """
    owed: dict[int, float] = {}
    earned: dict[int, float] = {}
    for outcome in result.jobs:
        window = int(outcome.arrival.at // WINDOW_S)
        owed[window] = owed.get(window, 0.0) + outcome.arrival.worth
        gain = compute_earned_share(outcome) * outcome.arrival.worth
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
    largest = _score_largest(result)
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


def compute_earned_share(outcome: plans.JobOutcome) -> float:
    """Return the share of its value that a job has earned.

    :param outcome: The job.
    """
    if outcome.ended is None:
        return 0.0
    objective = STRETCH * outcome.arrival.chain + ALLOWANCE_S
    taken = outcome.ended - outcome.arrival.at
    if taken <= objective:
        return 1.0
    return LATE_RATIO if taken <= LATE_UNTIL * objective else 0.0


def _score_largest(result: plans.Result) -> float:
    """Return the lowest share earned by a queue's largest tenth of jobs."""
    worst = 1.0
    for queue in {outcome.arrival.queue for outcome in result.jobs}:
        own = [s for s in result.jobs if s.arrival.queue == queue]
        own.sort(key=lambda s: s.arrival.worth)
        tenth = own[-max(1, len(own) // 10) :]
        owed = sum(s.arrival.worth for s in tenth)
        gained = sum(compute_earned_share(s) * s.arrival.worth for s in tenth)
        worst = min(worst, gained / owed)
    return worst
