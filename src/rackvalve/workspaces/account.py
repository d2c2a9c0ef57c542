"""A workspace's guaranteed rate, its bound and the keys of its callers."""

from __future__ import annotations

import dataclasses

from rackvalve.scheduling import fleet
from rackvalve.workspaces import credentials


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Workspace:
    """A workspace: the party that pays for jobs on the fleet.

    :param name: Name of the workspace.
    :param rate: Jobs per second that are guaranteed when the fleet is full;
        0 for no guarantee.
    :param bound: Most resources that the workspace may use at once over all
        pools; 0 for a resource means unbounded.
    :param keys: Digests of the API keys of the workspace's callers.
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
    """Return whether one more task fits within a bound.

    A workspace with nothing running may always start one task: otherwise a
    task larger than the bound could never run.

    :param bound: Most resources in use at once; 0 means unbounded.
    :param used: Resources of all runs that may still be running.
    :param need: Resources that the task requests.
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
