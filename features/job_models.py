"""Models of the platform for job histories: store, VM list and workers.

Workers have leases and fencing tokens.  The checks of a history use only what
these workers did.
"""

from __future__ import annotations

import collections
import dataclasses

from rackvalve.jobs import definition
from rackvalve.jobs import incarnations
from rackvalve.scheduling import fleet
from rackvalve.scheduling import messages
from rackvalve.scheduling import queues

POOL = "pool"
QUEUE = queues.Queue(
    name="queue",
    host="h",
    prefix="/q/",
    pool=POOL,
    priority=0,
    attempts=3,
    stretch=2.0,
    allowance=1.0,
    admission=None,
)
CONFIGURATION = queues.Configuration(
    version=1,
    queues=(QUEUE,),
    pools={POOL: queues.Pool(name=POOL, spare=False)},
    body_limit=1000,
)
CAPACITY = fleet.Resources(cpu=4, memory=4, gpu=0)
# Slowest rate of a worker's clock, relative to the owner's.
SLOWEST = 0.98
# Specification of jobs whose tasks crash their workers.
CRASHING = "crashing"
# After this many crashes a task may be started fewer than so many times more.
CRASHES_MOST = 3


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Rules:
    """Rules that a history keeps, and the faults that it has.

    :param fence: Whether workers compare fencing tokens.
    :param record: Whether a run is recorded before it is ordered.
    :param proof: Whether owners wait for proof about silent workers.
    :param acknowledge: Whether ends are acknowledged only once recorded.
    :param bound: The most tasks that the one workspace of the history may
        have running; 0 for no bound.
    :param keep_bound: Whether owners know of the bound.
    :param lag: Longest staleness of the platform's list, in seconds.
    :param crashing: Share of jobs whose tasks crash their workers.
    :param restarting: Share of crashed workers that restart under their
        names, where delayed calls may reach them.
    :param asking: Whether owners also ask incarnations that only records name.
    :param births: Whether owners tell a worker's incarnations apart.
    :param raised: Whether a later incarnation gets a greater token.
    """

    fence: bool = True
    record: bool = True
    proof: bool = True
    acknowledge: bool = True
    bound: int = 0
    keep_bound: bool = True
    lag: float = 0.0
    crashing: float = 0.0
    restarting: float = 0.0
    asking: bool = False
    births: bool = True
    raised: bool = True


class Violation(Exception):
    """A history broke a rule; the text says which."""


class World:
    """What callers and workers saw, for the checks."""

    def __init__(self) -> None:
        self.now = 100.0
        self.jobs: dict[str, definition.Job] = {}
        self.running: dict[str, set[tuple[str, int]]] = {}
        # Tasks whose successful end a worker was told to discard.
        self.settled: set[str] = set()
        self.done: set[str] = set()
        self.failures: collections.Counter[str] = collections.Counter()
        self.completed: set[str] = set()
        self.starts = 0
        # Jobs of which a worker has started a task.
        self.begun: set[str] = set()
        # The most tasks that may run at once; 0 for any number.
        self.bound = 0
        # Crashes of workers by crashing task, and its starts after
        # CRASHES_MOST of them.
        self.crashes: collections.Counter[str] = collections.Counter()
        self.late_starts: collections.Counter[str] = collections.Counter()

    def crashes_workers(self, task: str) -> bool:
        """Return whether a task crashes the worker that starts it."""
        return self.jobs[task.partition(".")[0]].spec == CRASHING

    def note_crash(self, task: str) -> None:
        if self.crashes_workers(task):
            self.crashes[task] += 1

    def check_given_up(self, identity: str) -> None:
        """Check that a failed job crashes workers or has failed too often."""
        if self.jobs[identity].spec == CRASHING:
            return
        most = max(
            (
                count
                for task, count in self.failures.items()
                if task.startswith(identity)
            ),
            default=0,
        )
        if most < QUEUE.attempts:
            raise Violation(f"{identity} is given up and could be done")

    def check_begun(self, identity: str) -> None:
        """Check that a worker started a job that is reported as begun."""
        if identity not in self.begun:
            raise Violation(f"{identity} is running and no worker started it")

    def check_start(self, worker: str, task: str, run: int) -> None:
        self.starts += 1
        others = {key for key in self.running.get(task, set())}
        if others:
            raise Violation(f"{task} runs twice: {others} and {worker}")
        if task in self.settled:
            raise Violation(f"{task} starts after its end was settled")
        identity, _, rest = task.partition(".")
        self.begun.add(identity)
        if identity in self.completed:
            raise Violation(f"{task} starts after its job is completed")
        name = definition.parse_task_name(rest)
        step = self.jobs[identity].steps[name.step]
        for earlier in step.after:
            for index in range(self.jobs[identity].steps[earlier].tasks):
                if f"{identity}.0.{earlier}.{index}" not in self.done:
                    raise Violation(f"{task} starts before step {earlier}")
        self.running.setdefault(task, set()).add((worker, run))
        if self.crashes[task] >= CRASHES_MOST:
            self.late_starts[task] += 1
        if self.late_starts[task] >= CRASHES_MOST:
            raise Violation(
                f"{task} is started {self.late_starts[task]} times more "
                f"after {CRASHES_MOST} crashes"
            )
        count = sum(len(runs) for runs in self.running.values())
        if self.bound and count > self.bound:
            raise Violation(f"{count} tasks run, {self.bound} may")

    def check_end(self, worker: str, task: str, run: int) -> None:
        self.running.get(task, set()).discard((worker, run))


class FakePlatform:
    """The VMs, and a stale list of them."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.vms: dict[str, fleet.Vm] = {}
        self.past: list[tuple[float, list[fleet.Vm]]] = []
        # Time that the newest read showed; later reads do not go back.
        self.told = world.now

    def set_worker(self, vm: str, worker: str) -> None:
        """Set the worker on a VM; without one the VM is off."""
        condition = fleet.Condition.UP if worker else fleet.Condition.DOWN
        self.vms[vm] = fleet.Vm(
            identity=vm,
            pool=POOL,
            condition=condition,
            worker=worker,
            hall="h",
        )
        self.past.append((self.world.now, list(self.vms.values())))

    def remove(self, vm: str) -> None:
        del self.vms[vm]
        self.past.append((self.world.now, list(self.vms.values())))

    def read(self, lag: float) -> list[fleet.Vm]:
        self.told = max(self.told, self.world.now - lag)
        return [vms for time, vms in self.past if time <= self.told][-1]

    def is_replaced(self, vm: str, worker: str) -> bool:
        """Return whether another worker is on a worker's VM."""
        listed = self.vms.get(vm)
        return listed is not None and listed.worker not in ("", worker)


class FakeWorker:
    """One incarnation of a worker, with the platform's rules."""

    def __init__(
        self,
        world: World,
        identity: str,
        rules: Rules,
        rate: float,
        vm: str = "",
    ):
        self.world = world
        self.identity = identity
        self.name = incarnations.parse_incarnation(identity).worker
        self.vm = vm or self.name
        # Begin and end of the time in which it runs and does not answer.
        self.silent_span = (world.now, world.now)
        self.rules = rules
        self.rate = rate
        self.started = world.now
        self.fence = 0
        self.running: dict[tuple[str, int], float] = {}
        self.ended: list[messages.EndedRow] = []
        self.sealed: dict[str, int] = {}
        self.lease = 0.0
        self.count = 0
        self.alive = True

    def clock(self) -> float:
        return (self.world.now - self.started) * self.rate

    @property
    def answers(self) -> bool:
        began, ended = self.silent_span
        return self.alive and not began <= self.world.now < ended

    def entry(self) -> fleet.Entry:
        return fleet.Entry(
            identity=self.identity,
            pool=POOL,
            host="",
            port=0,
            vm=self.vm,
            rack="",
            hall="h",
            labels=frozenset(),
            capacity=CAPACITY,
            draining=False,
            remaining=None,
        )

    def takes(self, fence: int) -> bool:
        if fence < self.fence and self.rules.fence:
            return False
        self.fence = max(self.fence, fence)
        return True

    def start(
        self, task: str, run: int, fence: int, until: float
    ) -> messages.StartResult | None:
        self.lapse()
        if not self.takes(fence):
            return None
        if (task, run) in self.running:
            return messages.StartResult.STARTED
        if run <= self.sealed.get(task, 0):
            return messages.StartResult.OUTDATED
        if until <= self.clock():
            return messages.StartResult.OUTDATED
        self.lease = max(self.lease, until)
        self.world.check_start(self.identity, task, run)
        self.running[task, run] = self.clock()
        return messages.StartResult.STARTED

    def stop(self, task: str, run: int, fence: int) -> bool:
        self.lapse()
        if not self.takes(fence):
            return False
        self.sealed[task] = max(run, self.sealed.get(task, 0))
        for key in list(self.running):
            if key[0] == task and key[1] <= run:
                self.end(key, messages.Ending.CUT_SHORT)
        return True

    def hold(
        self, fence: int, seen: int, until: float | None, sent: float
    ) -> messages.Report | None:
        self.lapse()
        if not self.takes(fence):
            return None
        if until is not None:
            self.lease = max(self.lease, until)
        for row in self.ended:
            if row.number <= seen and row.ending is messages.Ending.DONE:
                self.world.settled.add(row.task)
        self.ended = [row for row in self.ended if row.number > seen]
        return messages.Report(
            sent=sent,
            running=tuple(
                messages.RunningRow(
                    task=task,
                    run=run,
                    checkpoint="",
                    percent=(self.clock() - began) * 10 + 1,
                    load=0.0,
                )
                for (task, run), began in self.running.items()
            ),
            ended=tuple(self.ended),
        )

    @property
    def born(self) -> int:
        return incarnations.parse_incarnation(self.identity).born or 0

    def end(self, key: tuple[str, int], ending: messages.Ending) -> None:
        task, run = key
        del self.running[key]
        self.world.check_end(self.identity, task, run)
        self.sealed[task] = max(run, self.sealed.get(task, 0))
        if ending is messages.Ending.DONE:
            self.world.done.add(task)
        elif ending is messages.Ending.FAILED:
            self.world.failures[task] += 1
        self.count += 1
        self.ended.append(
            messages.EndedRow(
                number=self.count,
                task=task,
                run=run,
                ending=ending,
                cause=ending.value,
                checkpoint="",
            )
        )

    def lapse(self) -> None:
        if self.clock() >= self.lease:
            for key in list(self.running):
                self.end(key, messages.Ending.CUT_SHORT)

    def die(self) -> None:
        self.alive = False
        for task, run in list(self.running):
            self.world.check_end(self.identity, task, run)
            self.world.note_crash(task)
        self.running.clear()


class FakeStore:
    """The job records and the ownership key."""

    def __init__(self) -> None:
        self.owner = 0
        self.revision = 0
        self.definitions: dict[str, bytes] = {}
        self.cancels: set[str] = set()
        self.progress: dict[str, bytes] = {}
