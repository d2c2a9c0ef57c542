"""Figures of decisions over emulated days, compared with simpler policies."""

from __future__ import annotations

import dataclasses
import random
import statistics

from tools.baselines import decisions as baselines
from tools.emulator import day as days
from tools.emulator import faults
from tools.emulator import loads
from tools.emulator import plans
from tools.emulator import scores
from tools.experiments import figures

DAYS = 4
# Two queues of small jobs and two of large ones, as in the users' data sheets.
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
WAVE = faults.Wave(at=2.0, seconds=26.0, share=0.45, most_away=6)
FAULTS = (
    WAVE,
    faults.SlowWorkers(at=8.0, seconds=7.0, count=2, times=6.0),
    faults.RackOutage(at=10.5, seconds=6.0, rack=2),
    faults.HallPartition(at=33.5, seconds=5.8, hall=1),
    faults.OwnerLoss(at=41.2, seconds=1.5),
)
TURNS = plans.Plan(
    fleet=plans.Fleet(),
    kinds=KINDS,
    shape=loads.Shape(),
    faults=(WAVE,),
    length=50.0,
)
LOADS = {
    "turns": TURNS,
    "faults": dataclasses.replace(TURNS, faults=FAULTS),
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
# Decides as the previous release did.
UNAWARE = plans.Policy(
    detector=baselines.PassiveFailureDetector, speeds=baselines.UniformSpeeds
)


def run(seed):
    """Yield all figures.

    :param seed: Seed of the first day; it rises by one for each next day.
    """
    for name, plan in LOADS.items():
        product = simulate_all(plan, plans.PRODUCT, seed)
        for other, policy in (
            ("first_come", FIRST_COME),
            ("unaware", UNAWARE),
        ):
            rated = simulate_all(plan, policy, seed)
            yield from compare(f"{name}.{other}", product, rated, seed)


def simulate_all(plan, policy, seed):
    """Simulate several days under a policy.

    :param plan: The plan of each day; the offset of the turns differs by day.
    :param policy: The policy that decides.
    :param seed: Seed of the first day.
    :return: Their scores.
    """
    return [simulate(plan, policy, seed + number) for number in range(DAYS)]


def simulate(plan, policy, seed):
    """Simulate one day.

    :param plan: Its plan.
    :param policy: The policy that decides.
    :param seed: Its seed.
    """
    cycle = plan.shape.turn * len(plan.kinds)
    offset = random.Random(seed).random() * cycle
    shape = dataclasses.replace(plan.shape, offset=offset)
    day = days.Day(dataclasses.replace(plan, shape=shape), seed, policy)
    return scores.rate(day.simulate())


def compare(name, product, baseline, seed):
    """Yield the product's figures with those of another policy as baseline.

    :param name: Load and policy.
    :param product: Scores of the product.
    :param baseline: Scores of the other policy.
    :param seed: Seed of the first day.
    """
    for part in ("worth", "whole", "windows", "price"):
        yield figures.Figure(
            figure=f"decisions.{part}.{name}",
            value=statistics.mean(getattr(score, part) for score in product),
            baseline=statistics.mean(
                getattr(score, part) for score in baseline
            ),
            unit="share",
            n=len(product),
            seed=seed,
        )
