"""What goes wrong in an emulated day."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RackDark:
    """All workers of a rack die; new ones come after a while.

    :param at: When, in seconds.
    :param seconds: How long none is there.
    :param rack: Number of the rack.
    """

    at: float
    seconds: float
    rack: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class HallCut:
    """The workers of a hall are not reached, and run on.

    :param at: When, in seconds.
    :param seconds: How long.
    :param hall: Number of the hall.
    """

    at: float
    seconds: float
    hall: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class OwnerLost:
    """Nothing is decided, and nothing accepted, for a while.

    :param at: When, in seconds.
    :param seconds: How long.
    """

    at: float
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SlowWorkers:
    """Tasks that start on some VMs take longer.

    :param at: When, in seconds.
    :param seconds: How long.
    :param count: How many VMs.
    :param times: How many times as long.
    """

    at: float
    seconds: float
    count: int
    times: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Wave:
    """VMs are to be maintained.

    :param at: When, in seconds.
    :param seconds: Within this time.
    :param share: Part of all VMs.
    :param most_away: Most of them that may be away at once.
    """

    at: float
    seconds: float
    share: float
    most_away: int


Trouble = RackDark | HallCut | OwnerLost | SlowWorkers | Wave
