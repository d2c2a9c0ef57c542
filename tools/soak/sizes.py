"""Sizes of the site that a run of the soak harms, and of its traffic."""

from __future__ import annotations

import dataclasses

from tools import site as sites

SPARE = "spare"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Size:
    """Pools, queues and traffic of a run.

    :param pools: Number of VMs by pool.
    :param queues: Pool by queue.
    :param cpu: Capacity of each VM, in thousandths of a core.
    :param task_cpu: Processor of an ordinary task, in the same unit.
    :param lasting_cpu: Processor of a lasting task, in the same unit.
    :param lasting_jobs: Number of lasting jobs for each queue.
    :param lasting_tasks: Number of tasks of a lasting job.
    :param max_missing: Most tasks of a lasting step that may be away at once.
    :param callers: Number of callers that submit ordinary jobs.
    :param turn: How long the turn of a queue lasts, in seconds.
    :param burst: How long its burst lasts at the beginning of a turn, in
        seconds.
    :param idle_pause: Bounds of a caller's pause outside of bursts, in
        seconds.
    :param is_overloaded: Whether pools are asked for more than they hold, so
        that jobs wait although nothing is wrong.
    :param tick: How often the stand-ins of workers look at their runs, in
        seconds.
    """

    pools: dict[str, int]
    queues: dict[str, str]
    cpu: int = 4000
    task_cpu: int = 500
    lasting_cpu: int = 100
    lasting_jobs: int = 3
    lasting_tasks: int = 4
    max_missing: int = 1
    callers: int = 4
    turn: float = 8.0
    burst: float = 3.2
    idle_pause: tuple[float, float] = (0.4, 4.0)
    is_overloaded: bool = False
    tick: float = 0.005

    @property
    def slots(self):
        """Ordinary tasks that fit on a worker."""
        return self.cpu // self.task_cpu


SMALL = Size(
    pools={"lookups": 5, "rebuilds": 5, SPARE: 6}, queues=dict(sites.QUEUES)
)
_GROWN_POOLS = ("lookups", "rebuilds", "checks", "routes", "tools")
# Pools take turns: in its turn a pool is asked for more than it holds, and for
# a twentieth of that in between, so VMs move from under lasting tasks.
GROWN = Size(
    pools={**dict.fromkeys(_GROWN_POOLS, 10), SPARE: 14},
    queues={pool.removesuffix("s"): pool for pool in _GROWN_POOLS},
    lasting_cpu=500,
    lasting_jobs=1,
    lasting_tasks=24,
    max_missing=3,
    callers=6,
    turn=4.0,
    burst=2.5,
    idle_pause=(1.0, 3.0),
    is_overloaded=True,
    tick=0.02,
)
SIZES = {"small": SMALL, "grown": GROWN}
