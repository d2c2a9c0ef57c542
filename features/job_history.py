"""Generated histories of jobs, owners and workers over the product's cores.

The store, the workers and the network are small models with the platform's
rules; every decision is made by the product's own book, planner, reports and
records.  Owners change while the old one lives on, orders and answers are
lost or late, workers crash and are cut off from single owners.  The checks
look only at what workers did.
"""

from __future__ import annotations

import dataclasses
import random

from features import job_cores as cores
from features import job_models as models
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve.manager import owner as owners
from rackvalve.manager import timing
from rackvalve.scheduling import fleet
from rackvalve.scheduling import messages
from rackvalve.scheduling import queues
from rackvalve.workspaces import account
from rackvalve.workspaces import directory


WORKSPACE = "north"


def make_configuration(bound: int) -> queues.Configuration:
    """Return the configuration with a workspace that has a bound, or none."""
    room = fleet.Room(cpu=bound, memory=0, gpu=0)
    workspace = account.Workspace(name=WORKSPACE, rate=1.0, bound=room)
    return dataclasses.replace(
        models.CONFIGURATION, workspaces=directory.Directory([workspace])
    )


class ActingOwner:
    """One owner: the product's cores, driven step by step."""

    def __init__(self, world, store, lives, rules, fence):
        self.world = world
        self.store = store
        self.lives = lives
        self.rules = rules
        self.fence = fence
        self.deposed = False
        self.heard = world.now
        self.cut: set[str] = set()
        self.clocks: dict[str, tuple[float, float]] = {}
        self.writes = 0
        self.durable = 0
        self.planned: list[messages.Order] = []
        self.uncertain: set[tuple[str, str, int]] = set()
        lease = owners.INHERITED_LEASE_S if rules.proof else 0.0
        made = cores.make_cores(world.now, inherited_lease=lease)
        self.book, self.handler = made.book, made.handler
        self.planner = made.planner
        if rules.keep_bound:
            self.book.set_configuration(make_configuration(rules.bound))
        self.refresh()

    def refresh(self) -> None:
        """Learn of jobs, cancels and workers as a watch would."""
        now = self.world.now
        for identity, payload in self.store.definitions.items():
            if identity not in self.book.jobs:
                state = records.read_definition("queue", identity, payload)
                stored = self.store.progress.get(identity)
                if stored is not None:
                    records.read_progress(state, stored, now)
                self.book.add_job(state, now, now)
        for identity in self.store.cancels:
            self.book.cancel_job(identity, now)
        for life in self.lives.values():
            if life.alive and life.identity not in self.book.workers:
                self.book.set_entry(life.entry())
            elif life.alive and self.book.workers[life.identity].entry is None:
                self.book.set_entry(life.entry())

    def write(self) -> None:
        """Commit all marked records, under the condition of ownership."""
        if not self.book.changed:
            self.durable = self.writes
            return
        if self.store.owner != self.fence:
            self.deposed = True
            return
        self.heard = self.world.now
        for identity in list(self.book.changed):
            state = self.book.jobs[identity]
            planned = state.list_planned()
            self.store.progress[identity] = records.write_progress(state)
            if state.phase is progress.Phase.COMPLETED:
                self.world.completed.add(identity)
            self.book.take_recorded(identity, planned, self.world.now)
        self.book.changed.clear()
        self.durable = self.writes

    def plan(self) -> None:
        if self.deposed:
            return
        self.planner.stop_and_release(self.world.now)
        self.planner.plan(self.world.now, self.world.now)
        if not self.rules.record:
            for identity in list(self.book.changed):
                state = self.book.jobs[identity]
                planned = state.list_planned()
                self.book.take_recorded(identity, planned, self.world.now)

    def lease_until(self, identity: str) -> float | None:
        known = self.clocks.get(identity)
        if known is None:
            return None
        told, heard = known
        return told + (self.world.now - heard) + timing.WORKER_LEASE_S

    def hold(self, identity: str, lose_answer: bool) -> None:
        life = self.lives.get(identity)
        worker = self.book.workers.get(identity)
        if worker is None or self.deposed:
            return
        reachable = identity not in self.cut
        if life is None or not life.alive:
            if reachable:
                self.book.end_life(identity, self.world.now)
            return
        until = None
        fresh = self.world.now - worker.answered < 1.0
        extend = self.world.now - self.heard <= timing.EXTENSION_LIMIT_S
        if fresh and extend:
            until = self.lease_until(identity)
            if until is not None:
                worker.note_extension(self.world.now, timing.WORKER_LEASE_S)
        if not reachable:
            return
        if self.rules.acknowledge:
            seen = worker.acknowledged(self.durable)
        else:
            seen = worker.handled
        report = life.hold(self.fence, seen, until, self.world.now)
        if lose_answer:
            return
        if report is None:
            self.deposed = True
            return
        self.clocks[identity] = (life.clock(), self.world.now)
        self.handler.take(
            worker, report, now=self.world.now, wall=self.world.now
        )
        self.writes += 1
        worker.note_write(self.writes)
        if not self.book.changed:
            self.durable = self.writes

    def deliver(self, order: messages.Order, lose_answer: bool) -> bool:
        """Carry out one order.

        :return: Whether the owner knows what became of it.
        """
        life = self.lives.get(order.worker)
        if life is None or not life.alive or order.worker in self.cut:
            return False
        if isinstance(order, messages.StopRun):
            taken = life.stop(order.task, order.run, self.fence)
            if lose_answer:
                return False
            if taken:
                self.book.take_stop(
                    order.worker, (order.task, order.run), self.world.now
                )
            else:
                self.deposed = True
            return True
        return self.deliver_start(order, life, lose_answer)

    def deliver_start(self, order, life, lose_answer: bool) -> bool:
        full = f"{order.job}.{order.task}"
        worker = self.book.workers.get(order.worker)
        placed = worker.runs.get((full, order.run)) if worker else None
        if placed is None or placed.run.stop_wanted:
            return True
        until = self.lease_until(order.worker)
        if until is None:
            return False
        worker.note_extension(self.world.now, timing.WORKER_LEASE_S)
        result = life.start(full, order.run, self.fence, until)
        key = (order.worker, full, order.run)
        if lose_answer:
            self.uncertain.add(key)
            return False
        if result is None:
            self.deposed = True
            return True
        self.book.take_start(
            placed,
            result,
            uncertain=key in self.uncertain,
            now=self.world.now,
        )
        return True


class History:
    """One history of random steps."""

    def __init__(self, source: random.Random, rules: models.Rules) -> None:
        self.source = source
        self.rules = rules
        self.world = models.World()
        self.world.bound = rules.bound
        self.store = models.FakeStore()
        self.lives: dict[str, models.FakeWorker] = {}
        self.names = 0
        for _ in range(3):
            self.add_life()
        self.owners: list[ActingOwner] = []
        # Starts that are carried out later, with the token they were sent
        # under: task, run, worker, fence, until.
        self.late: list[tuple[str, int, str, int, float]] = []
        self.change_owner()

    def add_life(self) -> None:
        self.names += 1
        identity = f"w{self.names}"
        rate = self.source.choice([1.0, models.SLOWEST])
        self.lives[identity] = models.FakeWorker(
            self.world, identity, self.rules, rate
        )

    def change_owner(self) -> None:
        self.store.revision += 1
        self.store.owner = self.store.revision
        owner = ActingOwner(
            self.world, self.store, self.lives, self.rules, self.store.owner
        )
        if self.source.random() < 0.5:
            # The new owner often cannot reach what the old one reaches.
            owner.cut.add(self.source.choice(list(self.lives)))
        self.owners.append(owner)
        self.owners = self.owners[-2:]

    def run(self, steps: int) -> None:
        """Run random steps; a broken promise raises models.Violation."""
        actions = [
            (self.advance, 6),
            (self.submit, 2),
            (self.cancel, 0.3),
            (self.finish_tasks, 3),
            (self.act, 12),
            (self.change_owner, 0.7),
            (self.flip_cut, 1.5),
            (self.crash, 0.15),
            (self.carry_out_late, 1),
        ]
        chosen = self.source.choices(
            [action for action, _ in actions],
            [weight for _, weight in actions],
            k=steps,
        )
        for action in chosen:
            action()

    def settle(self) -> list[str]:
        """Let all faults end and time pass; return jobs that are open."""
        self.change_owner()
        owner = self.owners[-1]
        owner.cut.clear()
        self.owners = [owner]
        for _ in range(600):
            self.world.now += 0.1
            self.finish_tasks(chance=0.5, fail=0.0)
            owner.refresh()
            for identity in list(owner.book.workers):
                owner.hold(identity, lose_answer=False)
            owner.plan()
            owner.write()
            self.deliver_all(owner)
        return [
            identity
            for identity, state in owner.book.jobs.items()
            if not state.is_final
        ]

    def deliver_all(self, owner: ActingOwner) -> None:
        owner.planned.extend(owner.book.orders)
        owner.book.orders.clear()
        owner.planned = [
            order
            for order in owner.planned
            if order.worker in owner.book.workers
            and not owner.deliver(order, False)
        ]

    def advance(self) -> None:
        self.world.now += self.source.choice([0.02, 0.05, 0.1, 0.6])
        for life in self.lives.values():
            if life.alive:
                life.lapse()

    def submit(self) -> None:
        identity = f"{len(self.world.jobs):016x}"
        steps = [definition.Step(tasks=self.source.randint(1, 3), cpu=1)]
        if self.source.random() < 0.5:
            steps.append(definition.Step(tasks=2, cpu=1, after=(0,)))
        job = definition.Job(spec="x", steps=tuple(steps))
        self.world.jobs[identity] = job
        workspace = WORKSPACE if self.rules.bound else ""
        self.store.definitions[identity] = records.write_definition(
            job, self.world.now, workspace
        )

    def cancel(self) -> None:
        if self.world.jobs:
            self.store.cancels.add(self.source.choice(list(self.world.jobs)))

    def finish_tasks(self, chance: float = 0.3, fail: float = 0.05) -> None:
        for life in self.lives.values():
            life.lapse()
            for key in list(life.running):
                if self.source.random() < chance:
                    bad = self.source.random() < fail
                    life.end(
                        key,
                        messages.Ending.FAILED
                        if bad
                        else messages.Ending.DONE,
                    )

    def act(self) -> None:
        """Let one owner, new or old, do one of its tasks."""
        owner = self.source.choice(self.owners)
        if owner.deposed:
            return
        kind = self.source.choice(["refresh", "hold", "plan", "write", "send"])
        lost = self.source.random() < 0.25
        if kind == "refresh":
            if owner.store.owner == owner.fence:
                owner.refresh()
        elif kind == "hold":
            for identity in list(owner.book.workers):
                owner.hold(identity, lost)
        elif kind == "plan":
            owner.plan()
        elif kind == "write":
            owner.write()
        else:
            self.send(owner, lost)

    def send(self, owner: ActingOwner, lost: bool) -> None:
        owner.planned.extend(owner.book.orders)
        owner.book.orders.clear()
        if not owner.planned:
            return
        order = owner.planned.pop(0)
        if isinstance(order, messages.StartRun) and lost:
            until = owner.lease_until(order.worker)
            if until is not None:
                full = f"{order.job}.{order.task}"
                owner.uncertain.add((order.worker, full, order.run))
                worker = owner.book.workers.get(order.worker)
                if worker is not None:
                    worker.note_extension(
                        self.world.now, timing.WORKER_LEASE_S
                    )
                self.late.append(
                    (full, order.run, order.worker, owner.fence, until)
                )
        elif owner.deliver(order, lost):
            return
        owner.planned.append(order)

    def carry_out_late(self) -> None:
        if not self.late:
            return
        task, run, worker, fence, until = self.late.pop(
            self.source.randrange(len(self.late))
        )
        life = self.lives.get(worker)
        if life is not None and life.alive:
            life.start(task, run, fence, until)

    def flip_cut(self) -> None:
        owner = self.source.choice(self.owners)
        identity = self.source.choice(list(self.lives))
        owner.cut.symmetric_difference_update({identity})

    def crash(self) -> None:
        identity = self.source.choice(list(self.lives))
        self.lives.pop(identity).die()
        self.add_life()


def explore(
    count: int, steps: int, rules: models.Rules, seed: int
) -> list[str]:
    """Run histories and return the violations found.

    :param count: How many histories.
    :param steps: Steps of each.
    :param rules: Which parts of the rule are kept.
    :param seed: Seed of the first history; the others follow.
    """
    found = []
    for number in range(count):
        history = History(random.Random(seed + number), rules)
        try:
            history.run(steps)
            history.late.clear()
            left = history.settle()
            if left:
                raise models.Violation(f"jobs never end: {left}")
        except models.Violation as violation:
            found.append(f"seed {seed + number}: {violation}")
    return found
