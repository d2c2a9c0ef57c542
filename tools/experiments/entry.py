"""Overhead of the entry: latency and processor time of each request."""

from __future__ import annotations

import statistics
import sys

from tools.experiments import figures
from tools import fleet as fleets
from tools import processes

POOL = "alarms"
LATENCY_SECONDS = 3
RATE_SECONDS = 4
ROUNDS = 3
CONNECTIONS = 16


def run(seed):
    """Yield the figures."""
    fleet = fleets.Fleet({"north": 1}, {POOL: 4}, slots=64, seed=seed)
    try:
        fleet.start()
        passthrough = _start_passthrough(fleet)
        try:
            yield from _measure_latency(fleet, passthrough, seed)
            yield from _measure_rate(fleet, passthrough, seed)
        finally:
            passthrough.kill()
    finally:
        fleet.stop()


def _start_passthrough(fleet):
    port = fleets.find_port()
    addresses = [f"{fleets.HOST}:{port}" for port in fleet.targets.values()]
    process = processes.Process(
        "passthrough",
        [sys.executable, "-m", "tools.passthrough", "--port", str(port)]
        + addresses,
        fleet.folder / "passthrough.log",
    )
    process.start()
    process.port = port
    fleets.wait_until(lambda: fleets.is_open(port), 10, "pass-through")
    return process


def _measure_latency(fleet, passthrough, seed):
    """Compare one connection's latency: direct, naive, through the entry."""
    ports = {
        "entry": fleet.entries[0].entry_port,
        "direct": next(iter(fleet.targets.values())),
        "passthrough": passthrough.port,
    }
    rounds = {name: [] for name in ports}
    n = 0
    for _ in range(ROUNDS):
        for name, port in ports.items():
            summary = figures.run_load(
                [f"{fleets.HOST}:{port}"],
                pool=POOL,
                seconds=LATENCY_SECONDS,
            )
            rounds[name].append(summary["latency"])
            n += summary["served"]
    for quantile in ("p50", "p99"):
        direct = _find_median(rounds["direct"], quantile)
        for name in ("entry", "passthrough"):
            through = _find_median(rounds[name], quantile)
            yield figures.Figure(
                figure=f"{name}.added_latency_{quantile}_ms",
                value=through - direct,
                unit="ms",
                baseline=direct,
                n=n,
                seed=seed,
            )


def _find_median(latencies, quantile):
    return statistics.median(latency[quantile] for latency in latencies)


def _measure_rate(fleet, passthrough, seed):
    entry = fleet.entries[0]
    pairs = []
    n = 0
    for _ in range(ROUNDS):
        base, _ = _measure_side(passthrough.port, passthrough.popen.pid)
        value, count = _measure_side(entry.entry_port, entry.entry.popen.pid)
        pairs.append((value, base))
        n += count
    yield figures.Figure(
        figure="entry.requests_per_core_second",
        value=statistics.median(pair[0] for pair in pairs),
        unit="requests/s of processor time",
        baseline=statistics.median(pair[1] for pair in pairs),
        n=n,
        seed=seed,
    )
    yield figures.Figure(
        figure="entry.requests_per_core_ratio",
        value=statistics.median(pair[0] / pair[1] for pair in pairs),
        unit="of the pass-through",
        baseline=1.0,
        n=n,
        seed=seed,
    )


def _measure_side(port, pid):
    loads = 2
    options = {
        "pool": POOL,
        "seconds": RATE_SECONDS,
        "connections": CONNECTIONS // loads,
    }
    before = figures.read_cpu(pid)
    running = [
        figures.start_load([f"{fleets.HOST}:{port}"], **options)
        for _ in range(loads)
    ]
    served = sum(figures.finish_load(load)["served"] for load in running)
    used = figures.read_cpu(pid) - before
    return served / used, served
