"""Faults of an emulated day."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RackOutage:
    """All workers of a rack end; new ones start after a time.

    :param at: Its beginning, in seconds.
    :param seconds: How long the rack has no workers.
    :param rack: Number of the rack.
    """

    at: float
    seconds: float
    rack: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class HallPartition:
    """The workers of a hall cannot be reached and keep running.

    :param at: Its beginning, in seconds.
    :param seconds: Its length.
    :param hall: Number of the hall.
    """

    at: float
    seconds: float
    hall: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class OwnerLoss:
    """There is no owner: nothing is decided and no job accepted.

    :param at: Its beginning, in seconds.
    :param seconds: Its length.
    """

    at: float
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SlowWorkers:
    """Tasks that start on some VMs take longer.

    :param at: Its beginning, in seconds.
    :param seconds: Its length.
    :param count: Number of VMs.
    :param times: The factor by which tasks take longer.
    """

    at: float
    seconds: float
    count: int
    times: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Wave:
    """A wave of maintenance.

    :param at: Its beginning, in seconds.
    :param seconds: Its duration.
    :param share: Share of all VMs that it maintains.
    :param most_away: Limit of VMs that may be away at once.
    """

    at: float
    seconds: float
    share: float
    most_away: int


Fault = RackOutage | HallPartition | OwnerLoss | SlowWorkers | Wave
