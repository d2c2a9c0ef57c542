"""Figures of decisions over emulated days, beside simpler ways to decide."""

from __future__ import annotations

import dataclasses
import random
import statistics

from tools.baselines import decisions as baselines
from tools.emulator import day as days
from tools.emulator import loads
from tools.emulator import plans
from tools.emulator import scores
from tools.emulator import troubles
from tools.experiments import figures

DAYS = 4
# Two queues of small jobs and two of large ones, as on the users' sheets.
SMALL = loads.Kind(
    queue="tallies",
    rate=3.2,
    steps=1.6,
    tasks=6,
    seconds=1.0,
    cpu=880,
    memory=910,
    worth=0.51,
)
LARGE = loads.Kind(
    queue="manifests",
    rate=0.59,
    steps=2,
    tasks=8,
    seconds=1.7,
    cpu=1900,
    memory=3500,
    worth=3.12,
)
KINDS = (
    SMALL,
    LARGE,
    dataclasses.replace(SMALL, queue="requests", rate=4.0),
    dataclasses.replace(LARGE, queue="routes", rate=0.72),
)
WAVE = troubles.Wave(at=2.0, seconds=26.0, share=0.45, most_away=6)
FAULTS = (
    WAVE,
    troubles.SlowWorkers(at=8.0, seconds=7.0, count=2, times=6.0),
    troubles.RackDark(at=10.5, seconds=6.0, rack=2),
    troubles.HallCut(at=33.5, seconds=5.8, hall=1),
    troubles.OwnerLost(at=41.2, seconds=1.5),
)
TURNS = plans.Plan(
    fleet=plans.Fleet(),
    kinds=KINDS,
    shape=loads.Shape(),
    troubles=(WAVE,),
    length=50.0,
)
LOADS = {
    "turns": TURNS,
    "faults": dataclasses.replace(TURNS, troubles=FAULTS),
    "bursts": dataclasses.replace(
        TURNS,
        shape=loads.Shape(turn=0.0, high=1.0),
        bursts=tuple(
            loads.Burst(queue=kind.queue, at=10.0 * n, seconds=4.0, times=3.0)
            for n, kind in enumerate(KINDS)
        ),
    ),
}


FIRST_COME = plans.Policy(planner=baselines.FirstComePlanner)
# As the release before decided.
UNAWARE = plans.Policy(
    detector=baselines.BlindFailureDetector, speeds=baselines.UniformSpeeds
)


def run(seed):
    """Yield all figures.

    :param seed: Seed of the first day; each next one has the next seed.
    """
    for name, plan in LOADS.items():
        product = play_all(plan, plans.PRODUCT, seed)
        for other, policy in (
            ("first_come", FIRST_COME),
            ("unaware", UNAWARE),
        ):
            rated = play_all(plan, policy, seed)
            yield from compare(f"{name}.{other}", product, rated, seed)


def play_all(plan, policy, seed):
    """Play some days under a policy.

    :param plan: What happens in each; the turns begin elsewhere each day.
    :param policy: Who decides.
    :param seed: Seed of the first day.
    :return: Their scores.
    """
    return [play(plan, policy, seed + number) for number in range(DAYS)]


def play(plan, policy, seed):
    """Play one day.

    :param plan: What happens.
    :param policy: Who decides.
    :param seed: Its seed.
    """
    cycle = plan.shape.turn * len(plan.kinds)
    offset = random.Random(seed).random() * cycle
    shape = dataclasses.replace(plan.shape, offset=offset)
    day = days.Day(dataclasses.replace(plan, shape=shape), seed, policy)
    return scores.rate(day.play())


def compare(name, ours, theirs, seed):
    """Yield our figures beside those of another policy.

    :param name: Load and policy.
    :param ours: Scores of the product.
    :param theirs: Scores of the other policy.
    :param seed: Seed of the first day.
    """
    for part in ("worth", "whole", "windows", "price"):
        yield figures.Figure(
            figure=f"decisions.{part}.{name}",
            value=statistics.mean(getattr(score, part) for score in ours),
            baseline=statistics.mean(getattr(score, part) for score in theirs),
            unit="share",
            n=len(ours),
            seed=seed,
        )
