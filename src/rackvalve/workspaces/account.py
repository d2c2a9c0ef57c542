"""What a workspace has paid for."""

from __future__ import annotations

import dataclasses

from rackvalve.scheduling import fleet
from rackvalve.workspaces import credentials


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Workspace:
    """One paying customer of the fleet.

    :param name: Its name.
    :param rate: Jobs a second that it may count on when all is full; 0
        guarantees none.
    :param bound: The most that it may have running over all pools; 0 in a
        kind of room is no bound.
    :param keys: Digests of the keys by which callers are known as its own.
    """

    name: str
    rate: float
    bound: fleet.Resources
    keys: frozenset[credentials.Digest] = dataclasses.field(
        default=frozenset(), repr=False
    )


def allows(
    bound: fleet.Resources, used: fleet.Resources, need: fleet.Resources
) -> bool:
    """Return whether a bound leaves room for one more task.

    A workspace without anything running may always start one task: it could
    otherwise never run a task that is larger than its bound.

    :param bound: The most that may run; 0 is no bound.
    :param used: What may be running now.
    :param need: What the task takes.
    """
    if used == fleet.NO_RESOURCES:
        return True
    return (
        _fits(bound.cpu, used.cpu, need.cpu)
        and _fits(bound.memory, used.memory, need.memory)
        and _fits(bound.gpu, used.gpu, need.gpu)
    )


def _fits(bound: int, used: int, need: int) -> bool:
    return not bound or not need or used + need <= bound
