"""Sizing of a pool's buffer: the VMs that it must hold idle.

The buffer is the capacity beyond the budget that keeps a pool at its budget
through failures and maintenance.  It covers failures that occur while a VM
is replaced, the loss of the fullest rack, and the VMs that a wave takes out
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
    """Failures and maintenance that a pool must withstand.

    :param vms: Number of VMs in the pool.
    :param rack_vms: Most VMs of the pool in one rack; 0 if the pool need
        not survive the loss of a rack.
    :param failures_per_day: VMs of the pool that fail per day.
    :param replace_hours: Hours until a failed VM is replaced.
    :param wave_days: Days in which each VM must be maintained once.
    :param away_hours: Hours that one VM is away for maintenance.
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

    A wave stops while a rack is lost, so only the greater of the two
    counts; single failures are added to it.

    :param demand: Failures and maintenance of the pool.
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

    :param demand: Failures and maintenance of the pool.
    """
    slots = demand.wave_days * 24.0 / demand.away_hours
    return math.ceil(demand.vms / slots)


def count_failures(demand: Demand) -> int:
    """Return the VMs down at once, exceeded only with the accepted risk.

    Failures are assumed to be independent: their number during one
    replacement has a Poisson distribution.  Racks are counted separately.

    :param demand: Failures and maintenance of the pool.
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
