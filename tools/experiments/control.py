"""Delay of configurations and cost of control, with real processes."""

from __future__ import annotations

import dataclasses
import json
import statistics
import time

import gevent

from rackvalve.fleet import record
from tools.experiments import capacity
from tools.experiments import figures
from tools import fleet as fleets

POOL = "alarms"
CHANGES = 40
IDLE_SECONDS = 10.0
# Settings as operators would use them, in place of the tests' quick ones.
PLAIN = {
    ("steward", "report_interval"): "1s",
    ("steward", "step_interval"): "500ms",
    ("steward", "lease_time"): "5s",
    ("steward", "watch_time"): "30s",
}


def run(seed):
    """Yield the figures."""
    yield from measure_in_force(seed)
    yield from measure_quiet(seed)
    yield from measure_cost(seed)


def make_fleet(halls, seed, targets=2, **options):
    """Start a fleet with plain settings."""
    fleet = fleets.Fleet(
        halls, {POOL: targets}, seed=seed, overrides=PLAIN, **options
    )
    fleet.start()
    return fleet


def get_applied(fleet):
    """Return the lowest revision in force at any entry, from their logs."""
    lowest = []
    for entry in fleet.entries:
        applied = [
            (line["time"], line["configuration"])
            for line in fleet.read_log(f"{entry.vm}-entry")
            if line["event"] == "view.applied"
        ]
        lowest.append(applied)
    return lowest


def measure_in_force(seed):
    """Yield the time from acceptance to force at every entry.

    At ten times the planned rate (5,700 a day) a change comes every 1.5 s;
    here they come every 0.25 s, sixty times the planned rate.
    """
    fleet = make_fleet({"north": 2, "south": 2}, seed, with_admin=True)
    accepted = {}
    try:
        for number in range(CHANGES):
            body = {"workspace": "ws-1", "priority": 1 + number % 9}
            payload = json.dumps({"kind": "set-priority", "body": body})
            before = time.time()
            reply = fleets.call(
                fleet.entries[0].admin_port,
                "POST",
                "/v1/commands",
                payload.encode(),
            )
            accepted[json.loads(reply.body)["revision"]] = before
            gevent.sleep(0.25)
        gevent.sleep(1.5)
        logs = get_applied(fleet)
    finally:
        fleet.stop()
    waits = []
    for revision, before in accepted.items():
        times = [
            min(when for when, applied in log if applied >= revision)
            for log in logs
        ]
        waits.append(max(times) - before)
    reverts = sum(
        later[1] < earlier[1]
        for log in logs
        for earlier, later in zip(log, log[1:], strict=False)
    )
    waits.sort()
    yield figures.Figure(
        figure="config.in_force_p99_s",
        value=waits[int(len(waits) * 0.99)],
        unit="s",
        n=len(waits) * len(logs),
        seed=seed,
    )
    yield figures.Figure(
        figure="config.reverts",
        value=reverts,
        unit="reverts",
        n=sum(len(log) for log in logs),
        seed=seed,
    )


def measure_quiet(seed):
    """Yield the time from a drain's order to the VM's last request."""
    fleet = make_fleet({"north": 2}, seed, targets=5, with_admin=True)
    took = []
    try:
        addresses = [f"{fleets.HOST}:{e.entry_port}" for e in fleet.entries]
        load = figures.start_load(
            addresses, pool=POOL, connections=4, seconds=14,
            path="/work?run_ms=5",
        )  # fmt: skip
        gevent.sleep(1.0)
        for number in range(1, 4):
            took.append(time_drain(fleet, f"north-{POOL}-{number}"))
        lost = figures.finish_load(load)
    finally:
        fleet.stop()
    yield figures.Figure(
        figure="leaving.quiet_max_s",
        value=max(took),
        unit="s",
        n=len(took),
        seed=seed,
    )
    yield figures.Figure(
        figure="drain.cut_off",
        value=lost["sent"] - lost["served"],
        unit="requests",
        n=lost["sent"],
        seed=seed,
    )


def time_drain(fleet, vm):
    """Drain a VM and return how long requests went on coming to it."""
    body = json.dumps({"kind": "drain", "body": {"vm": vm}}).encode()
    ordered = time.monotonic()
    fleets.call(fleet.entries[0].admin_port, "POST", "/v1/commands", body)
    last = ordered
    arrived = fleet.control_target(vm)["arrived"]
    while time.monotonic() - ordered < 3.5:
        now = fleet.control_target(vm)["arrived"]
        if now != arrived:
            last = time.monotonic()
            arrived = now
        gevent.sleep(0.01)
    hall, _ = fleet.read_hall("north")
    assert hall.targets[vm].state is record.State.AWAY, hall.targets[vm]
    return last - ordered


def measure_cost(seed):
    """Yield calls, processor time and memory of control when idle."""
    shapes = {
        "2x1": {"a": 1, "b": 1},
        "2x3": {"a": 3, "b": 3},
        "6x1": {name: 1 for name in "abcdef"},
    }
    for name, halls in shapes.items():
        fleet = make_fleet(halls, seed)
        try:
            gevent.sleep(3.0)
            yield from measure_idle(fleet, name, seed)
        finally:
            fleet.stop()
    yield from measure_memory(seed)
    yield from measure_target_size(seed)


def measure_target_size(seed):
    """Yield what control costs in one hall of the size to design for.

    31 pools, 217 VMs, 570 workspaces; the configuration changes at ten
    times the planned rate of 5,700 a day.
    """
    configuration = dataclasses.replace(
        capacity.make_configuration(31, 570), key_halls=["a"]
    )
    pools = {name: 7 for name in configuration.pools}
    fleet = fleets.Fleet(
        {"a": 2},
        pools,
        seed=seed,
        overrides=PLAIN,
        configuration=configuration,
        with_admin=True,
    )
    try:
        fleet.start(wait=False)
        gevent.sleep(8.0)
        yield from measure_changes(fleet, seed)
    finally:
        fleet.stop()


def measure_changes(fleet, seed):
    """Yield what a fleet costs while its configuration changes."""
    pids = {
        "steward": [e.steward.popen.pid for e in fleet.entries],
        "entry": [e.entry.popen.pid for e in fleet.entries],
    }
    before = {
        role: [figures.read_cpu(pid) for pid in found]
        for role, found in pids.items()
    }
    started = time.monotonic()
    for number in range(12):
        body = {"workspace": "workspace-1", "priority": 1 + number % 9}
        payload = json.dumps({"kind": "set-priority", "body": body})
        port = fleet.entries[0].admin_port
        fleets.call(port, "POST", "/v1/commands", payload.encode())
        gevent.sleep(1.5)
    seconds = time.monotonic() - started
    for role, found in pids.items():
        shares = [
            (figures.read_cpu(pid) - start) / seconds * 100.0
            for pid, start in zip(found, before[role], strict=True)
        ]
        yield figures.Figure(
            figure=f"control.cpu_percent.{role}.target_size_busy",
            value=max(shares),
            unit="% of a core",
            n=len(shares),
            seed=seed,
        )
        yield figures.Figure(
            figure=f"control.rss_mb.{role}.target_size",
            value=max(figures.read_rss_mb(pid) for pid in found),
            unit="MB",
            n=len(found),
            seed=seed,
        )


def measure_idle(fleet, name, seed):
    """Yield what a fleet without traffic costs."""
    before = fleet.control_platform()["calls"]
    pids = {
        "steward": [e.steward.popen.pid for e in fleet.entries],
        "entry": [e.entry.popen.pid for e in fleet.entries],
    }
    used = {
        role: [figures.read_cpu(pid) for pid in found]
        for role, found in pids.items()
    }
    gevent.sleep(IDLE_SECONDS)
    after = fleet.control_platform()["calls"]
    calls = sum(after.values()) - sum(before.values())
    yield figures.Figure(
        figure=f"platform.calls_per_s.{name}",
        value=calls / IDLE_SECONDS,
        unit="calls/s",
        n=int(calls),
        seed=seed,
    )
    for role, found in pids.items():
        shares = [
            (figures.read_cpu(pid) - start) / IDLE_SECONDS * 100.0
            for pid, start in zip(found, used[role], strict=True)
        ]
        yield figures.Figure(
            figure=f"control.cpu_percent.{role}.{name}",
            value=statistics.median(shares),
            unit="% of a core",
            n=len(shares),
            seed=seed,
        )


def measure_memory(seed):
    """Yield memory by the number of targets of a hall."""
    for targets in (4, 200):
        fleet = fleets.Fleet({"a": 1}, {POOL: targets}, seed=seed)
        try:
            fleet.start()
            gevent.sleep(1.0)
            entry = fleet.entries[0]
            found = {
                "steward": entry.steward.popen.pid,
                "entry": entry.entry.popen.pid,
            }
            for role, pid in found.items():
                yield figures.Figure(
                    figure=f"control.rss_mb.{role}.{targets}_targets",
                    value=figures.read_rss_mb(pid),
                    unit="MB",
                    n=targets,
                    seed=seed,
                )
        finally:
            fleet.stop()
