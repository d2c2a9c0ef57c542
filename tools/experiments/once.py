"""Compares three ways to run a keyed request at most once.

``owner``: the key's owner remembers it.  ``write``: one compare-and-swap on
the platform for each request.  ``group``: requests of 20 ms share one.
"""

from __future__ import annotations

import time

import gevent
from gevent import event

from rackvalve.keyvalue import http
from rackvalve.keyvalue import port
from rackvalve import metrics
from rackvalve.settings import kinds
from tools.experiments import figures
from tools import fleet as fleets

POOL = "alarms"
SECONDS = 3
RATE = 60
GROUP_S = 0.02


def run(seed):
    """Yield the figures."""
    fleet = fleets.Fleet({"north": 2}, {POOL: 2}, seed=seed)
    try:
        fleet.start()
        yield from measure_owner(fleet, seed)
        yield from measure_writes(fleet, seed, "write", claim_by_write)
        yield from measure_writes(fleet, seed, "group", claim_by_group)
    finally:
        fleet.stop()


def make_figures(way, latency, writes, refused, n, seed):
    """Yield the three figures of one way."""
    units = {
        "added_latency_ms": (latency, "ms, median"),
        "platform_writes_per_request": (writes, "writes"),
        "refused_in_outage_ratio": (refused, "of requests"),
    }
    for name, (value, unit) in units.items():
        yield figures.Figure(
            figure=f"once.{name}.{way}",
            value=value,
            unit=unit,
            n=n,
            seed=seed,
        )


def measure_owner(fleet, seed):
    """Measure keyed requests through the entries themselves."""
    addresses = [f"{fleets.HOST}:{e.entry_port}" for e in fleet.entries]
    options = {
        "pool": POOL,
        "connections": 2,
        "seconds": SECONDS,
        "rate": RATE,
    }
    plain = figures.run_load(addresses, **options)
    before = fleet.control_platform()["revision"]
    keyed = figures.run_load(addresses, method="POST", **options)
    writes = fleet.control_platform()["revision"] - before
    fleet.control_platform(faults={"outage": True})
    outage = figures.run_load(addresses, method="POST", **options)
    fleet.heal_platform()
    yield from make_figures(
        "owner",
        keyed["latency"]["p50"] - plain["latency"]["p50"],
        writes / keyed["sent"],
        1.0 - outage["served"] / outage["sent"],
        keyed["sent"],
        seed,
    )


def make_platform(fleet):
    """Connect to the fleet's platform as a steward does."""
    quiet = metrics.Metrics(
        kinds.Address(fleets.HOST, fleet.statsd_port), "bench", interval=1.0
    )
    return http.HttpPlatform(
        kinds.Address(fleets.HOST, fleet.platform_port),
        timeout=1.0,
        metrics=quiet,
    )


def claim_by_write(platform, state):
    """Claim one key by one write."""
    written = platform.write(f"key/{fleets.make_key()}", b"{}", 0)
    return isinstance(written, port.Written), 1.0


def claim_by_group(platform, state):
    """Claim one key together with all others that arrive within 20 ms."""
    if state.get("group") is None:
        state["group"] = event.AsyncResult()
        state["size"] = 0
        gevent.spawn_later(GROUP_S, write_group, platform, state)
    state["size"] += 1
    good, size = state["group"].get()
    return good, 1.0 / size


def write_group(platform, state):
    """Write one group."""
    group, size = state["group"], state["size"]
    state["group"] = None
    written = platform.write(f"keys/{fleets.make_key()}", b"{}" * size, 0)
    group.set((isinstance(written, port.Written), size))


def measure_writes(fleet, seed, way, claim):
    """Measure a way that writes to the platform."""
    platform = make_platform(fleet)
    good, took, writes = drive(platform, claim)
    fleet.control_platform(faults={"outage": True})
    during, _, _ = drive(platform, claim)
    fleet.heal_platform()
    took.sort()
    yield from make_figures(
        way,
        took[len(took) // 2] * 1000.0,
        sum(writes) / len(writes),
        1.0 - sum(during) / len(during),
        len(good),
        seed,
    )


def drive(platform, claim):
    """Claim keys at a steady rate."""
    good, took, writes = [], [], []
    state = {}

    def claim_one():
        started = time.monotonic()
        granted, cost = claim(platform, state)
        good.append(granted)
        took.append(time.monotonic() - started)
        writes.append(cost)

    running = []
    for _ in range(SECONDS * RATE):
        running.append(gevent.spawn(claim_one))
        gevent.sleep(1.0 / RATE)
    gevent.joinall(running)
    return good, took, writes
