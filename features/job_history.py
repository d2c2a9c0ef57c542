"""Generated histories of jobs, owners and workers over the product's cores.

The store, the workers and the network are small models with the platform's
rules; all decisions are made by the product's own cluster view, planner,
reports and records.  Owners change while the old one is still running, orders
and answers are lost or late, workers crash and are cut off from single owners.
VMs go off and come back, new incarnations are silent for a second, the
platform's list is stale, and owners are paused while answers wait for them.
The checks use only what workers did.
"""

from __future__ import annotations

from collections.abc import Callable
import random

from features import job_models as models
from features import job_owner as owners
from rackvalve.jobs import definition
from rackvalve.jobs import records
from rackvalve.manager import timing
from rackvalve.scheduling import messages

# Times for which a crashed VM is off, and an owner is paused, in seconds.
OFF_TIMES_S = (0.1, 0.5, 1.0, 2.0)
PAUSES_S = (0.5, 1.5, 3.0)
# Times until a crashed worker restarts under its name, in seconds.
RESTART_DELAYS_S = (0.0, 0.05, 0.3, 1.5)
# Time for which a new worker is silent, and times after its start at which
# that begins, in seconds.
SILENCE_S = 1.0
SILENCE_DELAYS_S = (0.0, 0.3, 0.6)


class History:
    """One history of random steps."""

    def __init__(self, source: random.Random, rules: models.Rules) -> None:
        self.source = source
        self.rules = rules
        self.world = models.World()
        self.world.bound = rules.bound
        self.store = models.FakeStore()
        self.platform = models.FakePlatform(self.world)
        self.workers: dict[str, models.FakeWorker] = {}
        self.count = 0
        # VMs that are off, and the times at which they come back.
        self.off: dict[str, float] = {}
        for vm in ("v1", "v2", "v3"):
            self.add_worker(vm)
        self.owners: list[owners.ActingOwner] = []
        # Calls that are carried out later, by the worker that then has the
        # name.
        self.delayed_calls: list[
            tuple[str, Callable[[models.FakeWorker], object]]
        ] = []
        # Workers that restart under their names, and the times of that.
        self.restarting: list[tuple[float, models.FakeWorker]] = []
        self.change_owner()

    def add_worker(self, vm: str, name: str = "") -> None:
        self.count += 1
        name = name or f"w{self.count}"
        identity = name
        if self.rules.restarting and self.rules.births:
            identity = f"{name}@{self.count}"
        rate = self.source.choice([1.0, models.SLOWEST])
        worker = models.FakeWorker(self.world, identity, self.rules, rate, vm)
        if self.count > 3:
            began = self.world.now + self.source.choice(SILENCE_DELAYS_S)
            worker.silent_span = (began, began + SILENCE_S)
        self.workers[name] = worker
        self.platform.set_worker(vm, name)

    def change_owner(self) -> None:
        self.store.revision += 1
        self.store.owner = self.store.revision
        owner = owners.ActingOwner(
            self.world,
            self.store,
            self.platform,
            self.workers,
            self.rules,
            self.store.owner,
        )
        if self.workers and self.source.random() < 0.5:
            # The new owner often cannot reach what the old one reaches.
            owner.unreachable.add(self.source.choice(list(self.workers)))
        self.owners.append(owner)
        self.owners = self.owners[-2:]

    def run(self, steps: int) -> None:
        """Run random steps; a broken rule raises models.Violation."""
        actions = [
            (self.advance, 6),
            (self.submit, 2),
            (self.cancel, 0.3),
            (self.finish_tasks, 3),
            (self.act, 12),
            (self.work, 3),
            (self.change_owner, 0.7),
            (self.toggle_cut, 1.5),
            (self.crash, 0.3 + 0.4 * self.rules.restarting),
            (self.pause_owner, 0.2),
            (self.run_delayed_call, 1),
        ]
        chosen = self.source.choices(
            [action for action, _ in actions],
            [weight for _, weight in actions],
            k=steps,
        )
        for action in chosen:
            action()

    def settle(self) -> list[str]:
        """End all faults, let time pass and return the jobs still open."""
        self.change_owner()
        owner = self.owners[-1]
        owner.unreachable.clear()
        self.owners = [owner]
        for _ in range(600):
            self.world.now += 0.1
            self.restore_vms()
            owner.list_vms(lag=0.0)
            self.finish_tasks(chance=0.5, fail=0.0)
            self.crash_by_tasks()
            owner.refresh()
            for identity in list(owner.cluster.workers):
                owner.hold(identity, lose_answer=False)
            owner.plan()
            owner.write()
            self.deliver_all(owner)
        return [
            identity
            for identity, state in owner.cluster.jobs.items()
            if not state.is_final
        ]

    def deliver_all(self, owner: owners.ActingOwner) -> None:
        owner.planned.extend(owner.cluster.orders)
        owner.cluster.orders.clear()
        owner.planned = [
            order
            for order in owner.planned
            if order.worker in owner.cluster.workers
            and not owner.deliver(order, False)
        ]

    def advance(self) -> None:
        self.world.now += self.source.choice([0.02, 0.05, 0.1, 0.6])
        self.restore_vms()
        for worker in self.workers.values():
            if worker.alive:
                worker.lapse()
        self.crash_by_tasks()

    def submit(self) -> None:
        identity = f"{len(self.world.jobs):016x}"
        steps = [definition.Step(tasks=self.source.randint(1, 3), cpu=1)]
        if self.source.random() < 0.5:
            steps.append(definition.Step(tasks=2, cpu=1, after=(0,)))
        crashing = self.rules.crashing
        is_crashing = crashing and self.source.random() < crashing
        spec = models.CRASHING if is_crashing else "x"
        job = definition.Job(spec=spec, steps=tuple(steps))
        self.world.jobs[identity] = job
        workspace = owners.WORKSPACE if self.rules.bound else ""
        self.store.definitions[identity] = records.encode_definition(
            job, self.world.now, workspace
        )

    def cancel(self) -> None:
        if self.world.jobs:
            self.store.cancels.add(self.source.choice(list(self.world.jobs)))

    def finish_tasks(self, chance: float = 0.3, fail: float = 0.05) -> None:
        for worker in self.workers.values():
            worker.lapse()
            for key in list(worker.running):
                if self.world.crashes_workers(key[0]):
                    continue
                if self.source.random() < chance:
                    bad = self.source.random() < fail
                    worker.end(
                        key,
                        messages.Ending.FAILED
                        if bad
                        else messages.Ending.DONE,
                    )

    def act(self) -> None:
        """Let one owner, new or old, take one action."""
        owner = self.source.choice(self.owners)
        if owner.deposed or self.world.now < owner.paused_until:
            return
        owner.take_answers()
        kind = self.source.choice(
            ["refresh", "hold", "list", "plan", "write", "send"]
        )
        lost = self.source.random() < 0.25
        if kind == "refresh":
            if owner.store.owner == owner.fence:
                owner.refresh()
        elif kind == "hold":
            for identity in list(owner.cluster.workers):
                if lost and self.rules.restarting:
                    self.delayed_calls.append(owner.make_late_hold(identity))
                owner.hold(identity, lost)
        elif kind == "list":
            owner.list_vms(self.source.uniform(0.0, self.rules.lag))
        elif kind == "plan":
            owner.plan()
        elif kind == "write":
            owner.write()
        else:
            self.send(owner, lost)

    def work(self) -> None:
        """Let an owner take each action once, without a fault."""
        owner = self.source.choice(self.owners)
        if owner.deposed or self.world.now < owner.paused_until:
            return
        owner.take_answers()
        if owner.store.owner == owner.fence:
            owner.refresh()
        for identity in list(owner.cluster.workers):
            owner.hold(identity, lose_answer=False)
        owner.list_vms(self.source.uniform(0.0, self.rules.lag))
        owner.plan()
        owner.write()
        self.deliver_all(owner)

    def send(self, owner: owners.ActingOwner, lost: bool) -> None:
        owner.planned.extend(owner.cluster.orders)
        owner.cluster.orders.clear()
        if not owner.planned:
            return
        order = owner.planned.pop(0)
        if isinstance(order, messages.StartRun) and lost:
            if owner.find_wanted(order) is None:
                return
            until = owner.lease_until(order.worker)
            if until is not None:
                full = f"{order.job}.{order.task}"
                owner.uncertain.add((order.worker, full, order.run))
                worker = owner.cluster.workers.get(order.worker)
                if worker is not None:
                    worker.note_extension(
                        self.world.now, timing.WORKER_LEASE_S
                    )
                self.delayed_calls.append(
                    owner.make_late_start(order.worker, full, order.run, until)
                )
        elif owner.deliver(order, lost):
            return
        owner.planned.append(order)

    def run_delayed_call(self) -> None:
        if not self.delayed_calls:
            return
        name, call = self.delayed_calls.pop(
            self.source.randrange(len(self.delayed_calls))
        )
        worker = self.workers.get(name)
        # A worker that no owner has asked yet has no token to reject calls
        # by: no owner can keep a delayed call from reaching it.
        is_met = not self.rules.restarting or (
            worker is not None and worker.fence
        )
        if worker is not None and worker.alive and is_met:
            call(worker)

    def toggle_cut(self) -> None:
        if not self.workers:
            return
        owner = self.source.choice(self.owners)
        identity = self.source.choice(list(self.workers))
        owner.unreachable.symmetric_difference_update({identity})

    def pause_owner(self) -> None:
        owner = self.source.choice(self.owners)
        owner.pause(self.source.choice(PAUSES_S))

    def crash(self) -> None:
        """Crash a VM, which comes back soon or never."""
        if len(self.workers) <= 1:
            return
        identity = self.source.choice(list(self.workers))
        worker = self.workers.pop(identity)
        worker.die()
        if self._starts_again(worker):
            return
        if self.source.random() < 0.2:
            self.platform.remove(worker.vm)
            self.add_worker(f"v{self.count + 1}")
            return
        self.turn_off(worker)

    def _starts_again(self, worker: models.FakeWorker) -> bool:
        """Return whether a worker will restart under its name."""
        restarting = self.rules.restarting
        if not restarting or self.source.random() >= restarting:
            return False
        back = self.world.now + self.source.choice(RESTART_DELAYS_S)
        self.restarting.append((back, worker))
        if self.source.random() < 0.5:
            self.platform.set_worker(worker.vm, "")
        return True

    def turn_off(self, worker: models.FakeWorker) -> None:
        """Turn the VM of a crashed worker off for a while."""
        self.platform.set_worker(worker.vm, "")
        self.off[worker.vm] = self.world.now + self.source.choice(OFF_TIMES_S)

    def crash_by_tasks(self) -> None:
        """Crash the workers that run crashing tasks."""
        for identity, worker in list(self.workers.items()):
            tasks = [task for task, _ in worker.running]
            if any(self.world.crashes_workers(task) for task in tasks):
                worker.die()
                del self.workers[identity]
                if not self._starts_again(worker):
                    self.turn_off(worker)

    def restore_vms(self) -> None:
        for vm, time in list(self.off.items()):
            if time <= self.world.now:
                del self.off[vm]
                self.add_worker(vm)
        waiting, self.restarting = self.restarting, []
        for time, worker in waiting:
            if time <= self.world.now:
                self.add_worker(worker.vm, worker.name)
            else:
                self.restarting.append((time, worker))


def explore(
    count: int, steps: int, rules: models.Rules, seed: int
) -> list[str]:
    """Run histories and return the violations found.

    :param count: Number of histories.
    :param steps: Steps of each.
    :param rules: The rules that are kept.
    :param seed: Seed of the first history, raised by one for each next one.
    """
    found = []
    for number in range(count):
        history = History(random.Random(seed + number), rules)
        try:
            history.run(steps)
            history.delayed_calls.clear()
            left = history.settle()
            if left:
                raise models.Violation(f"jobs never end: {left}")
        except models.Violation as violation:
            found.append(f"seed {seed + number}: {violation}")
    return found
