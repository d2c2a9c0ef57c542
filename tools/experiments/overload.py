"""An entry at ten times the load that its pool serves, and quick work."""

from __future__ import annotations

from tools.experiments import figures
from tools import fleet as fleets

POOL = "alarms"
RUN_MS = 100
SLOTS = 4
TARGETS = 2
SECONDS = 6
CAPACITY = TARGETS * SLOTS * 1000 / RUN_MS


def run(seed):
    """Yield the figures."""
    fleet = fleets.Fleet({"north": 1}, {POOL: TARGETS}, slots=SLOTS, seed=seed)
    try:
        fleet.start()
        yield from measure_overload(fleet, seed)
        yield from measure_quick(fleet, seed)
    finally:
        fleet.stop()


def offer(fleet, factor, connections):
    """Offer a multiple of the capacity."""
    return figures.run_load(
        [f"{fleets.HOST}:{fleet.entries[0].entry_port}"],
        pool=POOL,
        path=f"/work?run_ms={RUN_MS}",
        connections=connections,
        rate=CAPACITY * factor,
        seconds=SECONDS,
        deadline_ms=2000,
    )


def measure_overload(fleet, seed):
    """Yield goodput and memory under ten times the capacity."""
    pid = fleet.entries[0].entry.popen.pid
    peak = max(
        (offer(fleet, factor, 32) for factor in (0.8, 1.0)),
        key=lambda done: done["served"] / done["seconds"],
    )
    before = figures.read_rss_mb(pid)
    over = offer(fleet, 10, 400)
    after = figures.read_rss_mb(pid)
    rate = over["served"] / over["seconds"]
    yield figures.Figure(
        figure="overload.goodput_ratio",
        value=rate / (peak["served"] / peak["seconds"]),
        unit="of the peak",
        baseline=1.0,
        n=over["sent"],
        seed=seed,
    )
    yield figures.Figure(
        figure="overload.rss_growth_mb",
        value=after - before,
        unit="MB",
        baseline=before,
        n=over["sent"],
        seed=seed,
    )
    yield figures.Figure(
        figure="refused.answer_p99_ms",
        value=over["refusal"]["p99"],
        unit="ms",
        n=sum(over["refused"].values()),
        seed=seed,
    )


def measure_quick(fleet, seed):
    """Yield the latency of quick work while long work saturates the pool."""
    address = f"{fleets.HOST}:{fleet.entries[0].entry_port}"
    quick = {
        "pool": POOL,
        "path": "/work?run_ms=10",
        "rate": 20,
        "connections": 4,
        "seconds": SECONDS,
    }
    alone = figures.run_load([address], **quick)
    long = figures.start_load(
        [address],
        pool=POOL,
        path="/work?run_ms=1500",
        connections=24,
        seconds=SECONDS + 2,
        job_class="long",
    )
    beside = figures.run_load([address], **quick)
    figures.finish_load(long)
    yield figures.Figure(
        figure="quick.answer_p99_ms.processes",
        value=beside["latency"]["p99"],
        unit="ms",
        baseline=alone["latency"]["p99"],
        n=beside["served"],
        seed=seed,
    )
