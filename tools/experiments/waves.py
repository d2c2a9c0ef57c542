"""Roll-out time, planning cost, and buffers, in the users' shapes."""

from __future__ import annotations

import time

from rackvalve.fleet import buffers
from rackvalve.fleet import record
from rackvalve.fleet import waves
from tools.experiments import figures

SHAPES = {
    # name: (halls, pools, VMs of a pool over all halls, VMs of a rack)
    "vogl": (4, 5, 8, 4),
    "phan_gia": (3, 5, 6, 4),
    "target": (15, 31, 103, 16),
}
SPARE = 0.25


def run(seed):
    """Yield the figures."""
    yield from measure_rounds(seed)
    yield from measure_planning(seed)
    yield from measure_buffers(seed)


def make_hall(pools, vms, rack_vms):
    """Make a hall whose racks hold VMs of mixed pools."""
    targets = {}
    for number in range(pools * vms):
        targets[f"vm-{number:05d}"] = record.Target(
            pool=f"pool-{number % pools}",
            host="h",
            port=1,
            slots=8,
            rack=f"rack-{number // rack_vms}",
        )
    return record.Hall(targets=targets)


def make_budgets(hall):
    """Return budgets that leave a quarter of each pool, one VM at least."""
    counts = {}
    for target in hall.targets.values():
        counts[target.pool] = counts.get(target.pool, 0) + 1
    return {
        pool: min(count - 1, int(count * (1.0 - SPARE)))
        for pool, count in counts.items()
    }


def count_rack_rounds(hall, budgets):
    """Count rounds rack by rack, a rack in as many as budgets ask for."""
    rounds = 0
    racks = {target.rack for target in hall.targets.values()}
    for rack in racks:
        vms = [
            vm for vm, target in hall.targets.items() if target.rack == rack
        ]
        rounds += waves.preview_wave(hall, vms, budgets, ()).rounds
    return rounds


def count_best_rounds(hall, budgets):
    """Count the fewest rounds there can be: the tightest pool decides."""
    counts = {}
    for target in hall.targets.values():
        counts[target.pool] = counts.get(target.pool, 0) + 1
    return max(
        -(-count // (count - budgets[pool])) for pool, count in counts.items()
    )


def measure_rounds(seed):
    """Yield rounds of a wave over a hall, compared with three alternatives."""
    for name, (halls, pools, vms, rack_vms) in SHAPES.items():
        hall = make_hall(pools, max(2, vms // halls), rack_vms)
        budgets = make_budgets(hall)
        preview = waves.preview_wave(hall, hall.targets, budgets, ())
        others = {
            "": len(hall.targets),
            ".beside_racks": count_rack_rounds(hall, budgets),
            ".beside_best": count_best_rounds(hall, budgets),
        }
        for suffix, baseline in others.items():
            yield figures.Figure(
                figure=f"wave.rollout_rounds.{name}{suffix}",
                value=preview.rounds,
                unit="rounds",
                baseline=baseline,
                n=len(hall.targets),
                seed=seed,
            )


def measure_planning(seed):
    """Yield the time of one decision about a wave over the hall."""
    for workers in (40, 400, 3200):
        hall = make_hall(max(1, workers // 100), 100, 16)
        if workers < 100:
            hall = make_hall(1, workers, 16)
        budgets = make_budgets(hall)
        wave = record.Wave(pending=sorted(hall.targets))
        ordered = waves.order_wave(hall, "w", hall.targets, 0.0).hall
        took = []
        for _ in range(5):
            started = time.perf_counter()
            waves.step_waves(ordered, budgets, ())
            took.append(time.perf_counter() - started)
        yield figures.Figure(
            figure=f"plan.decision_ms.{workers}",
            value=sorted(took)[2] * 1000.0,
            unit="ms",
            n=len(wave.pending),
            seed=seed,
        )


def measure_buffers(seed):
    """Yield idle VMs, compared with a fixed share of the same reliability.

    A fixed share for all pools has to be as large as the largest share that
    any pool needs.
    """
    sizes = {"small": 12, "middle": 60, "large": 240}
    needed = {}
    for name, vms in sizes.items():
        demand = buffers.Demand(
            vms=vms,
            rack_vms=2,
            failures_per_day=28 * vms / 3200,
            replace_hours=4.0,
            wave_days=28.0,
            away_hours=1.0,
            risk=1e-3,
        )
        needed[name] = buffers.size_buffer(demand).idle_vms
    share = max(needed[name] / vms for name, vms in sizes.items())
    fixed = sum(-(-int(share * vms * 1000) // 1000) for vms in sizes.values())
    yield figures.Figure(
        figure="buffer.idle_vms",
        value=sum(needed.values()),
        unit="VMs",
        baseline=fixed,
        n=sum(sizes.values()),
        seed=seed,
    )
