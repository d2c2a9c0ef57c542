"""Costs and quality of the scheduling core, in virtual time."""

from __future__ import annotations

import random
import statistics
import time

from rackvalve.configuration import document
from rackvalve.requests import job as jobs
from rackvalve.requests import scheduler
from rackvalve.targets import group as groups
from tools.baselines import fifo
from tools.experiments import figures
from tools import poolsim

QUICK = jobs.Class.QUICK
LONG = jobs.Class.LONG
DECISIONS = 4000
CANCELS = 1000
WORKSPACES = 570


def run(seed):
    """Yield the figures."""
    yield from measure_decisions(seed)
    yield from measure_cancels(seed)
    yield from measure_fairness(seed)
    yield from measure_quick(seed)
    yield from measure_expectation(seed)


def time_decisions(targets, group_class, seed):
    """Return the time of one decision, in microseconds."""
    group = poolsim.make_group(targets, 4, seed=seed, group_class=group_class)
    pool = scheduler.PoolScheduler(group, document.Pool())
    pool.set_account("ws", 1.0, None)
    made = [
        poolsim.make_job(number, "ws", QUICK, 0.0)
        for number in range(DECISIONS)
    ]
    started = time.perf_counter()
    for job in made:
        decision = pool.submit(job, 0.0)
        pool.finish(decision.attempt, groups.Result.GOOD, 0.01)
    return (time.perf_counter() - started) / DECISIONS * 1e6


def measure_decisions(seed):
    """Yield the cost of a start and an end, beside a scan of all targets."""
    for targets in (8, 320, 3200):
        pairs = [
            (
                time_decisions(targets, groups.TargetGroup, seed),
                time_decisions(targets, fifo.ScanGroup, seed),
            )
            for _ in range(3)
        ]
        yield figures.Figure(
            figure=f"dispatch.decision_us.{targets}",
            value=statistics.median(pair[0] for pair in pairs),
            unit="us",
            baseline=statistics.median(pair[1] for pair in pairs),
            n=3 * DECISIONS,
            seed=seed,
        )


def measure_cancels(seed):
    """Yield the cost of a cancellation, by the number waiting."""
    source = random.Random(seed)
    for waiting in (1000, 100_000):
        pool = poolsim.make_pool(1, 1, {"ws": 1})
        made = [
            poolsim.make_job(number, "ws", QUICK, 0.0)
            for number in range(waiting + 1)
        ]
        for job in made:
            pool.submit(job, 0.0)
        chosen = source.sample(made[1:], min(CANCELS, waiting))
        started = time.perf_counter()
        for job in chosen:
            pool.cancel(job)
        took = time.perf_counter() - started
        yield figures.Figure(
            figure=f"queue.cancel_us.{waiting}",
            value=took / len(chosen) * 1e6,
            unit="us",
            n=len(chosen),
            seed=seed,
        )


def simulate_shares(kind, seed):
    """Return the greatest relative error of a share, and the jobs run."""
    source = random.Random(seed)
    weights = {f"ws-{n}": 1 + n % 4 for n in range(WORKSPACES)}
    arrivals = [
        poolsim.Arrival(0.0, name, QUICK, source.uniform(0.05, 0.15))
        for name in weights
        for _ in range(180)
    ]
    source.shuffle(arrivals)
    pool = poolsim.make_pool(8, 8, weights, kind=kind)
    done = poolsim.Simulation(pool, arrivals).run(90.0)
    total = sum(done.busy.values())
    paid = sum(weights.values())
    errors = [
        abs(done.busy[name] / total * paid / weight - 1.0)
        for name, weight in weights.items()
    ]
    return max(errors), sum(done.started.values())


def measure_fairness(seed):
    """Yield how far shares of 570 workspaces are from what they paid."""
    fair, n = simulate_shares(scheduler.PoolScheduler, seed)
    naive, _ = simulate_shares(fifo.FifoScheduler, seed)
    yield figures.Figure(
        figure="fair.share_error",
        value=fair,
        unit="of the share",
        baseline=naive,
        n=n,
        seed=seed,
    )


def simulate_quick(kind, targets, slots, seed):
    """Return quick waits and the state after long work saturated a pool."""
    source = random.Random(seed)
    weights = {f"ws-{n}": 1 + n % 4 for n in range(20)}
    names = sorted(weights)
    total = targets * slots
    arrivals = [
        poolsim.Arrival(
            source.uniform(0, 1), source.choice(names), LONG,
            source.uniform(5.0, 30.0),
        )
        for _ in range(total * 3)
    ]  # fmt: skip
    arrivals += [
        poolsim.Arrival(
            2.0 + source.uniform(0, 20), source.choice(names), QUICK,
            source.expovariate(50.0),
        )
        for _ in range(total * 20)
    ]  # fmt: skip
    pool = poolsim.make_pool(targets, slots, weights, kind=kind)
    done = poolsim.Simulation(pool, arrivals).run(400.0)
    waits = sorted(done.waits[QUICK])
    dropped = total * 3 - done.started[LONG]
    return waits[int(len(waits) * 0.99)] * 1000.0, len(waits), dropped


def measure_quick(seed):
    """Yield how long quick work waits while long work saturates a pool.

    A pool of the target size has 103 targets; an entry of four has two
    slots on each.
    """
    dropped = 0
    count = 0
    for name, targets, slots in (("today", 8, 4), ("target", 103, 2)):
        value, n, lost = simulate_quick(
            scheduler.PoolScheduler, targets, slots, seed
        )
        naive, _, _ = simulate_quick(fifo.FifoScheduler, targets, slots, seed)
        dropped += lost
        count += targets * slots * 3
        yield figures.Figure(
            figure=f"quick.start_p99_ms.{name}",
            value=value,
            unit="ms",
            baseline=naive,
            n=n,
            seed=seed,
        )
    yield figures.Figure(
        figure="long.dropped",
        value=dropped,
        unit="jobs",
        n=count,
        seed=seed,
    )


def measure_expectation(seed):
    """Yield how far a Retry-After is from when a place did come.

    Every job is let in, told the wait that a refusal would have told, and
    compared with the wait it had.
    """
    source = random.Random(seed)
    weights = {f"ws-{n}": 1 + n % 4 for n in range(20)}
    names = sorted(weights)
    pool = poolsim.make_pool(8, 8, weights)
    arrivals = []
    now = 0.0
    for _ in range(20_000):
        now += source.expovariate(900.0 if now % 10 < 4 else 500.0)
        arrivals.append(
            poolsim.Arrival(
                now, source.choice(names), QUICK, source.expovariate(10.0)
            )
        )
    expected = {}
    simulation = poolsim.Simulation(pool, arrivals)
    submit = pool.submit

    class RecordingPool:
        """Records the expected wait before each submission."""

        def __getattr__(self, name):
            return getattr(pool, name)

        def submit(self, job, at):
            expected[job.number] = pool.estimate_wait(job)
            return submit(job, at)

    simulation.pool = RecordingPool()
    waits = {}
    start_all = simulation._start_all

    def record_waits(found, at):
        for decision in found:
            waits[decision.job.number] = at - decision.job.received
        start_all(found, at)

    simulation._start_all = record_waits
    simulation.run(now + 60.0)
    pairs = [
        (expected[number], wait)
        for number, wait in waits.items()
        if wait > 0.2
    ]
    yield figures.Figure(
        figure="retry_after.error_ratio",
        value=statistics.median(abs(a - b) / b for a, b in pairs),
        unit="of the wait, median",
        baseline=statistics.median(abs(1.0 - b) / b for _, b in pairs),
        n=len(pairs),
        seed=seed,
    )
