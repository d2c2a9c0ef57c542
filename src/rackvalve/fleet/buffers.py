"""How many VMs a pool must hold idle, and why.

The buffer is what a pool needs beyond its budget so that failures and
maintenance do not take it below: the failures that come while a VM is
replaced, the loss of its fullest rack, and the VMs that a wave takes out
so that each VM is maintained in time.
"""

from __future__ import annotations

import dataclasses
import math

RACK_LOSS = "rack"
FAILURES = "failures"
WAVE = "wave"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Demand:
    """What a pool has to survive.

    :param vms: Its VMs.
    :param rack_vms: Most of them in one rack; 0 if racks need not be
        survived.
    :param failures_per_day: VMs of the pool that fail a day.
    :param replace_hours: Time until a failed VM is replaced.
    :param wave_days: Time in which each VM must be maintained once.
    :param away_hours: Time that one VM is away for maintenance.
    :param risk: Accepted probability that failures exceed the buffer.
    """

    vms: int
    rack_vms: int
    failures_per_day: float
    replace_hours: float
    wave_days: float
    away_hours: float
    risk: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Buffer:
    """The buffer of one pool.

    :param idle_vms: VMs to hold idle.
    :param parts: VMs by reason.
    """

    idle_vms: int
    parts: dict[str, int]


def size_buffer(demand: Demand) -> Buffer:
    """Return the buffer that a pool needs.

    A wave stops while a rack is lost, so that only the greater of the two
    counts; single failures come on top of either.

    :param demand: What the pool has to survive.
    """
    parts = {
        FAILURES: count_failures(demand),
        RACK_LOSS: demand.rack_vms,
        WAVE: count_away(demand),
    }
    idle = parts[FAILURES] + max(parts[RACK_LOSS], parts[WAVE])
    return Buffer(idle_vms=min(idle, demand.vms), parts=parts)


def count_away(demand: Demand) -> int:
    """Return how many VMs must be away at once to maintain all in time.

    :param demand: What the pool has to survive.
    """
    slots = demand.wave_days * 24.0 / demand.away_hours
    return math.ceil(demand.vms / slots)


def count_failures(demand: Demand) -> int:
    """Return how many VMs are down at once, but for the accepted risk.

    Failures are taken as independent (a Poisson distribution of those
    that come while one is replaced); racks are counted apart.

    :param demand: What the pool has to survive.
    """
    mean = demand.failures_per_day * demand.replace_hours / 24.0
    term = math.exp(-mean)
    total = term
    count = 0
    while total < 1.0 - demand.risk and count < demand.vms:
        count += 1
        term *= mean / count
        total += term
    return count
