"""Violated promises under faults, and the amplification by retries."""

from __future__ import annotations

from tools import campaign as campaigns
from tools.experiments import figures
from tools import fleet as fleets

POOL = "alarms"
ROUNDS = 2


def run(seed):
    """Yield the figures."""
    yield from measure_promises(seed)
    yield from measure_retries(seed)


def run_campaign(faults, seed):
    """Run one campaign on a fleet of its own."""
    fleet = fleets.Fleet({"north": 2, "south": 1}, {POOL: 3}, slots=6)
    try:
        fleet.start()
        return campaigns.Campaign(fleet, seed).run(faults, ROUNDS)
    finally:
        fleet.stop()


def measure_promises(seed):
    """Yield the violations of each promise; n is the number of faults."""
    gentle = run_campaign(campaigns.WITHOUT_KILLS, seed)
    harsh = run_campaign(campaigns.KILLS, seed)
    both = gentle.faults.total() + harsh.faults.total()
    values = {
        "once.duplicates": (gentle.duplicates + harsh.duplicates, both),
        "refused.ran": (gentle.refused_ran + harsh.refused_ran, both),
        "whole.mismatched": (gentle.mismatched + harsh.mismatched, both),
        "slots.exceeded": (gentle.over, gentle.faults.total()),
    }
    for name, (value, n) in values.items():
        yield figures.Figure(
            figure=name, value=value, unit="requests", n=n, seed=seed
        )


def run_half_down(ratio, seed):
    """Return attempts for each request with half the targets broken."""
    fleet = fleets.Fleet(
        {"north": 1},
        {POOL: 4},
        seed=seed,
        overrides={
            ("entry", "retry_ratio"): ratio,
            # Ejection is off, so that the budget alone bounds retries.
            ("entry", "eject_failures"): "1000",
        },
    )
    try:
        fleet.start()
        before = count_arrived(fleet)
        for number in (1, 2):
            fleet.control_target(f"north-{POOL}-{number}", fault="reset")
        address = f"{fleets.HOST}:{fleet.entries[0].entry_port}"
        done = figures.run_load([address], pool=POOL, connections=8, seconds=4)
        return (count_arrived(fleet) - before) / done["sent"], done["sent"]
    finally:
        fleet.stop()


def count_arrived(fleet):
    """Count the attempts that reached targets."""
    return sum(fleet.control_target(vm)["arrived"] for vm in fleet.targets)


def measure_retries(seed):
    """Yield attempts for each request, with and without a budget."""
    value, n = run_half_down("0.1", seed)
    naive, _ = run_half_down("1.0", seed)
    yield figures.Figure(
        figure="retry.amplification",
        value=value,
        unit="attempts a request",
        baseline=naive,
        n=n,
        seed=seed,
    )
