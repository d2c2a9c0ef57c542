"""Owner of generated histories, which drives the product's cores in steps."""

from __future__ import annotations

import dataclasses

from features import job_cores as cores
from features import job_models as models
from rackvalve.jobs import incarnations
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve.manager.owner import resources
from rackvalve.manager import timing
from rackvalve.scheduling import endings
from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import fencing_tokens
from rackvalve.scheduling import fleet
from rackvalve.scheduling import maintenance
from rackvalve.scheduling import messages
from rackvalve.scheduling import queues
from rackvalve.scheduling import start_results
from rackvalve.scheduling import worker_clock
from rackvalve.scheduling import worker_restarts
from rackvalve.scheduling import workers
from rackvalve.workspaces import account
from rackvalve.workspaces import directory

WORKSPACE = "north"


def make_configuration(bound: int) -> queues.Configuration:
    """Return the configuration with a workspace that has a bound, or none."""
    room = fleet.Resources(cpu=bound, memory=0, gpu=0)
    workspace = account.Workspace(name=WORKSPACE, rate=1.0, bound=room)
    return dataclasses.replace(
        models.CONFIGURATION, workspaces=directory.Directory([workspace])
    )


class ActingOwner:
    """One owner that drives the product's cores step by step."""

    def __init__(self, world, store, platform, fakes, rules, fence):
        self.world = world
        self.store = store
        self.platform = platform
        self.fakes = fakes
        self.rules = rules
        self.fence = fence
        self.deposed = False
        self.heard = world.now
        self.unreachable: set[str] = set()
        self.clocks: dict[str, worker_clock.WorkerClock] = {}
        # Answers not yet handled, with the worker's clock, and the platform's
        # list of VMs with the time at which its read began.
        self.answers: list[tuple[str, messages.Report, float]] = []
        self.listed: tuple[list[fleet.Vm], float] | None = None
        self.paused_until = 0.0
        self.writes = 0
        self.durable = 0
        self.planned: list[messages.Order] = []
        self.uncertain: set[tuple[str, str, int]] = set()
        self.tokens = fencing_tokens.FencingTokens(fence)
        # Revision of this owner's newest commit.
        self.committed_revision = fence
        lease = resources.MAX_INHERITED_LEASE_S if rules.proof else 0.0
        made = cores.make_cores(world.now, inherited_lease=lease)
        self.cluster, self.handler = made.cluster, made.handler
        self.planner = made.planner
        self.maintenance = maintenance.MaintenancePlanner(self.cluster)
        self.detector = failure_detector.FailureDetector(
            self.cluster, self.maintenance
        )
        if rules.keep_bound:
            self.cluster.set_configuration(make_configuration(rules.bound))
        self.refresh()

    def refresh(self) -> None:
        """Apply changes of jobs, cancels and workers, like the watches."""
        now = self.world.now
        for identity, payload in self.store.definitions.items():
            if identity not in self.cluster.jobs:
                state = records.decode_definition("queue", identity, payload)
                stored = self.store.progress.get(identity)
                if stored is not None:
                    records.decode_progress(state, stored, now)
                self.cluster.add_job(state, now, now)
        for identity in self.store.cancels:
            self.cluster.cancel_job(identity, now)
        for fake in self.fakes.values():
            known = self.cluster.workers.get(fake.identity)
            if fake.alive and (known is None or known.entry is None):
                worker = self.cluster.set_entry(fake.entry())
                self.cluster.remove_entry(fake.name, now, besides=worker)
                self.raise_token(worker)

    def raise_token(self, worker: workers.WorkerState) -> None:
        """Raise the token for an incarnation that has a predecessor."""
        others = self.cluster.workers_by_name.find(worker.incarnation.worker)
        if self.rules.raised and len(others) > 1:
            self.tokens.raise_for(worker, self.committed_revision)

    def note_refused(self, worker: workers.WorkerState) -> None:
        """Note that an incarnation has seen a greater token."""
        self.deposed = not self.tokens.catch_up(
            worker, self.tokens.find(worker)
        )

    def find_fake(self, identity: str):
        """Return the current incarnation of a worker; ``None`` without one."""
        return self.fakes.get(incarnations.parse_incarnation(identity).worker)

    def make_late_hold(self, identity: str):
        """Return the worker's name and a hold that is carried out later."""
        name = incarnations.parse_incarnation(identity).worker
        seen = self.cluster.workers[identity].find_acknowledged(self.is_stored)
        token = self.tokens.find(self.cluster.workers[identity])
        now = self.world.now
        return name, lambda fake: fake.hold(token, seen, None, now)

    def make_late_start(
        self, identity: str, task: str, run: int, until: float
    ):
        """Return the worker's name and a start that is carried out later."""
        name = incarnations.parse_incarnation(identity).worker
        worker = self.cluster.workers.get(identity)
        token = self.fence if worker is None else self.tokens.find(worker)
        return name, lambda fake: fake.start(task, run, token, until)

    def is_stored(self, job: str, write: int) -> bool:
        return write <= self.durable

    def write(self) -> None:
        """Commit all changed records, on condition of the ownership."""
        if not self.cluster.changed:
            self.durable = self.writes
            return
        if self.store.owner != self.fence:
            self.deposed = True
            return
        self.heard = self.world.now
        self.store.revision += 1
        self.committed_revision = self.store.revision
        for identity in list(self.cluster.changed):
            state = self.cluster.jobs[identity]
            planned = state.list_planned()
            self.store.progress[identity] = records.encode_progress(state)
            if state.phase is progress.Phase.RUNNING:
                self.world.check_begun(identity)
            if state.phase is progress.Phase.COMPLETED:
                self.world.completed.add(identity)
            elif state.phase is progress.Phase.FAILED:
                self.world.check_given_up(identity)
            self.cluster.order_recorded(identity, planned, self.world.now)
        self.cluster.changed.clear()
        self.durable = self.writes

    def plan(self) -> None:
        if self.deposed:
            return
        if self.listed is not None:
            self.maintenance.take_list(*self.listed)
            self.listed = None
        self.detector.check(self.world.now)
        self.planner.stop_and_release(self.world.now, self.world.now)
        self.planner.plan(self.world.now, self.world.now)
        if not self.rules.record:
            for identity in list(self.cluster.changed):
                state = self.cluster.jobs[identity]
                planned = state.list_planned()
                self.cluster.order_recorded(identity, planned, self.world.now)

    def list_vms(self, lag: float) -> None:
        self.listed = (self.platform.read(lag), self.world.now)

    def pause(self, seconds: float) -> None:
        """Stall for some time after sending a hold to each worker."""
        for identity in list(self.cluster.workers):
            self.ask(identity)
        self.paused_until = self.world.now + seconds

    def lease_until(self, identity: str) -> float | None:
        clock = self.clocks.setdefault(identity, worker_clock.WorkerClock())
        shown = clock.read(self.world.now)
        return None if shown is None else shown + timing.WORKER_LEASE_S

    def hold(self, identity: str, lose_answer: bool) -> None:
        self.take_answers()
        self.ask(identity)
        if lose_answer:
            self.answers.clear()
        self.take_answers()

    def ask(self, identity: str) -> None:
        """Hold a worker; its answer is handled later."""
        fake = self.find_fake(identity)
        worker = self.cluster.workers.get(identity)
        if worker is None or worker.location is None or self.deposed:
            return
        is_asking = self.rules.asking or self.rules.restarting
        if worker.entry is None and not is_asking:
            return
        name = worker.incarnation.worker
        reachable = name not in self.unreachable
        if fake is None:
            vm = worker.location.vm
            if reachable and self.platform.is_replaced(vm, name):
                endings.end_incarnation(
                    self.cluster,
                    identity,
                    "another life answers",
                    now=self.world.now,
                    wall=self.world.now,
                )
            return
        if fake.identity != identity:
            if reachable and fake.answers:
                later = worker_restarts.note_replaced(
                    self.cluster, worker, fake.born, self.world.now
                )
                if later is not None:
                    self.raise_token(later)
            return
        until = None
        fresh = self.world.now - worker.last_alive_at < 1.0
        extend = self.world.now - self.heard <= timing.EXTENSION_LIMIT_S
        if fresh and extend:
            until = self.lease_until(identity)
            if until is not None:
                worker.note_extension(self.world.now, timing.WORKER_LEASE_S)
        if not reachable or not fake.answers:
            return
        if self.rules.acknowledge:
            seen = worker.find_acknowledged(self.is_stored)
        else:
            seen = worker.handled
        token = self.tokens.find(worker)
        report = fake.hold(token, seen, until, self.world.now)
        if report is None:
            self.note_refused(worker)
            return
        self.answers.append((identity, report, fake.clock()))

    def take_answers(self) -> None:
        for identity, report, clock in self.answers:
            worker = self.cluster.workers.get(identity)
            if worker is None or self.deposed:
                continue
            known = self.clocks.setdefault(
                identity, worker_clock.WorkerClock()
            )
            known.note(clock, self.world.now)
            self.handler.apply(
                worker, report, now=self.world.now, wall=self.world.now
            )
            self.writes += 1
            worker.note_write(self.writes)
        self.answers.clear()
        if not self.cluster.changed:
            self.durable = self.writes

    def deliver(self, order: messages.Order, lose_answer: bool) -> bool:
        """Carry out one order.

        :return: Whether the owner knows the result.
        """
        fake = self.find_fake(order.worker)
        if fake is None or not fake.answers or fake.name in self.unreachable:
            return False
        worker = self.cluster.workers.get(order.worker)
        if fake.identity != order.worker or worker is None:
            return False
        if isinstance(order, messages.StopRun):
            token = self.tokens.find(worker)
            taken = fake.stop(order.task, order.run, token)
            if lose_answer:
                return False
            if taken:
                self.cluster.confirm_stop(
                    order.worker, (order.task, order.run), self.world.now
                )
            else:
                self.note_refused(worker)
            return True
        return self.deliver_start(order, fake, lose_answer)

    def find_wanted(
        self, order: messages.StartRun
    ) -> workers.PlacedRun | None:
        """Return the run of an order to start; ``None`` if it is over."""
        full = f"{order.job}.{order.task}"
        worker = self.cluster.workers.get(order.worker)
        placed = worker.runs.get((full, order.run)) if worker else None
        if placed is None or placed.run.stop_wanted:
            return None
        return placed

    def deliver_start(self, order, fake, lose_answer: bool) -> bool:
        full = f"{order.job}.{order.task}"
        worker = self.cluster.workers.get(order.worker)
        placed = self.find_wanted(order)
        if placed is None:
            return True
        until = self.lease_until(order.worker)
        if until is None:
            return False
        worker.note_extension(self.world.now, timing.WORKER_LEASE_S)
        token = self.tokens.find(worker)
        result = fake.start(full, order.run, token, until)
        key = (order.worker, full, order.run)
        if lose_answer:
            self.uncertain.add(key)
            return False
        if result is None:
            self.note_refused(worker)
            return self.deposed
        start_results.apply_start_result(
            self.cluster,
            placed,
            result,
            uncertain=key in self.uncertain,
            now=self.world.now,
        )
        return True
