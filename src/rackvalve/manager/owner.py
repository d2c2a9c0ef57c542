"""The owner: loads the jobs, schedules them, and records what happens.

An owner lives from the taking of its fencing token until it is deposed.  All
it knows is in its book; all that must last is in the store before a worker
hears of it.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import gevent
from gevent import event
from gevent import pool as greenlet_pools

from rackvalve import clocks
from rackvalve.jobs import records
from rackvalve import logs
from rackvalve.manager import admission
from rackvalve.manager import caretaker as caretakers
from rackvalve.manager import election
from rackvalve.manager import intake as intakes
from rackvalve.manager import recorder as recorders
from rackvalve.manager import reporter as reporters
from rackvalve.manager import roster as rosters
from rackvalve.manager import timing
from rackvalve.manager import view as views
from rackvalve.manager import watcher as watchers
from rackvalve.manager import writer as writers
from rackvalve.platform import advisers
from rackvalve.platform import documents
from rackvalve.platform import machines as machine_clients
from rackvalve.platform import store as stores
from rackvalve.scheduling import book as books
from rackvalve.scheduling import fencing_tokens
from rackvalve.scheduling import messages
from rackvalve.scheduling import pacing
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import queues
from rackvalve.scheduling import reports
from rackvalve.scheduling import workers
from rackvalve import telemetry as telemetries

# What an earlier owner may have extended just before it lost its rights.
INHERITED_LEASE_S = (
    timing.EXTENSION_LIMIT_S
    + timing.WORKER_LEASE_S * (1 + workers.CLOCK_TOLERANCE)
    + workers.LEASE_MARGIN_S
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Resources:
    """What owners of this process use.

    :param store: The store.
    :param machines: The platform's interface to its VMs.
    :param adviser: The service that admits workers; ``None`` without one.
    :param view: The operator's orders.
    :param telemetry: Counts what happens.
    :param on_contact: Called at each answer of the store.
    """

    store: stores.Store
    machines: machine_clients.Machines
    adviser: advisers.Adviser | None
    view: views.View
    telemetry: telemetries.Telemetry
    on_contact: Callable[[], None]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Rules:
    """Times from the settings.

    :param keep: How long ended jobs are kept, in seconds.
    :param order_pause: Time without orders to VMs after the taking of the
        token, in seconds.
    :param pace_interval: Least time between two changes of a run's pace, in
        seconds.
    :param stop_time: How long a worker takes at most to stop a run, in
        seconds.
    """

    keep: float
    order_pause: float
    pace_interval: float
    stop_time: float


class Owner:
    """Schedules all pools while it holds the ownership.

    :param resources: What it uses.
    :param rules: Times from the settings.
    :param configuration: The operator's configuration.
    :param fence: Fencing token.
    """

    def __init__(
        self,
        resources: Resources,
        rules: Rules,
        configuration: queues.Configuration,
        fence: int,
    ) -> None:
        self._resources = resources
        self._rules = rules
        self._telemetry = resources.telemetry
        self.fence = fence
        self.deposed = ""
        self._greenlets = greenlet_pools.Group()
        self._wanted = event.Event()
        self._heard = clocks.read_steady()
        self._book = books.Book(
            configuration, inherited_lease=INHERITED_LEASE_S, now=self._heard
        )
        self._handler = reports.Handler(
            self._book,
            lease=timing.WORKER_LEASE_S,
            max_stop_time=rules.stop_time + timing.STOP_MARGIN_S,
            hold_wait=timing.HOLD_WAIT_S,
            hold_most=timing.HOLD_MOST_S,
        )
        self._planner = planners.Planner(
            self._book,
            planners.Limits(
                freshness=timing.FRESHNESS_S,
                entry_grace=timing.ENTRY_GRACE_S,
            ),
        )
        self._reporter = reporters.Reporter(
            self._book, self._handler, self._planner, resources.telemetry
        )
        self.fences = fencing_tokens.FencingTokens(fence)
        self._roster = rosters.Roster(
            self, self._book, on_change=self._wanted.set
        )
        # Follows what callers hand in and cancel, once it is loaded.
        self._jobs: watchers.Watcher
        self._writer = writers.Writer(
            resources.store,
            stores.Condition(key=election.TERM_KEY, revision=fence),
            on_deposed=self.depose,
            on_contact=self._note_store,
            spawn=self._spawn,
        )
        self._recorder = recorders.Recorder(
            self._book,
            self._writer,
            resources.telemetry,
            keep=rules.keep,
            on_recorded=self._send_orders,
        )

    @property
    def durable(self) -> int:
        """Number of the last write that is in the store."""
        return self._writer.durable

    @property
    def committed_revision(self) -> int:
        """The store's revision of the newest commit; 0 before the first."""
        return self._writer.committed_revision

    def wait_for_commit(self, timeout: float) -> None:
        """Wait until something more may be in the store.

        :param timeout: Longest wait, in seconds.
        """
        self._writer.wait(timeout)

    def start(self) -> None:
        """Load the jobs and begin, in greenlets of its own."""
        self._spawn(self._run)

    def stop(self, reason: str) -> None:
        """End all work at once; what runs on workers runs on.

        :param reason: Why, for logs.
        """
        self.deposed = self.deposed or reason
        self._roster.close()
        self._reporter.close()
        current = gevent.getcurrent()
        others = [green for green in self._greenlets if green is not current]
        gevent.killall(others, block=False)

    def depose(self, reason: str) -> None:
        """Note that another owner has taken over.

        :param reason: How that was learned.
        """
        if not self.deposed:
            logs.write_warning(
                "ownership.deposed", fence=self.fence, reason=reason
            )
        self.deposed = self.deposed or reason

    def note_contact(self, now: float) -> None:
        """Note that the store knew this process as the owner.

        :param now: When the call that told so was sent, in seconds: the next
            owner counts from its own taking on, which may lie between that
            and the answer.
        """
        self._heard = max(self._heard, now)

    def may_extend(self, now: float) -> bool:
        """Return whether leases on workers may still be extended.

        :param now: Present time, in seconds.
        """
        return (
            not self.deposed and now - self._heard <= timing.EXTENSION_LIMIT_S
        )

    # -- told by contacts --------------------------------------------------

    def take_report(
        self, worker: workers.WorkerState, report: messages.Report, now: float
    ) -> None:
        """Apply a worker's report.

        :param worker: The worker.
        :param report: Its report.
        :param now: Present time, in seconds.
        """
        if self.deposed:
            return
        first = not worker.established
        self._handler.apply(worker, report, now=now, wall=clocks.read_wall())
        self._forget_lives()
        if first:
            logs.write_event(
                "worker.established",
                worker=worker.identity,
                fence=self.fences.find(worker),
                running=len(report.running),
                ended=len(report.ended),
            )
        self._book.orders.extend(
            pacing.set_paces(worker, now, self._rules.pace_interval)
        )
        self._reporter.log_begun()
        self._reporter.log_ends()
        self._recorder.mark_changed()
        worker.note_write(self._writer.number)
        self._wanted.set()

    def take_start(
        self,
        placed: workers.PlacedRun,
        result: messages.StartResult,
        uncertain: bool,
    ) -> None:
        """Apply what became of an order to start a run.

        :param placed: The run.
        :param result: What the worker said.
        :param uncertain: Whether an earlier try may still be carried out.
        """
        if self.deposed:
            return
        if result is not messages.StartResult.STARTED:
            self._telemetry.starts_rejected.labels(result.value).inc()
            logs.write_warning(
                "run.rejected",
                job=placed.state.identity,
                task=str(placed.task.name),
                run=placed.run.number,
                worker=placed.run.worker,
                reason=result.value,
                uncertain=uncertain,
            )
        self._book.apply_start_result(
            placed, result, uncertain=uncertain, now=clocks.read_steady()
        )
        self._reporter.log_begun()
        self._wanted.set()

    def take_stop(self, worker: str, key: workers.RunKey) -> None:
        """Note that a worker has taken an order to stop a run.

        :param worker: Identity of the worker.
        :param key: Full name of the task and number of the run.
        """
        self._book.confirm_stop(worker, key, clocks.read_steady())

    def _forget_lives(self) -> None:
        """Have nothing more to do with lives that later ones have ended."""
        for release in self._handler.released:
            self._roster.forget(release.worker)
            self._reporter.log_release(release)
        self._handler.released.clear()

    def follow(self, worker: workers.WorkerState, born: int) -> None:
        """Turn to the life that answers in place of an earlier one.

        :param worker: The earlier one.
        :param born: When the later one began, in milliseconds since 1970.
        """
        if not self.deposed:
            self._roster.follow(worker, born)

    def end_life(self, identity: str, reason: str) -> None:
        """Forget a worker whose life is over.

        :param identity: The worker.
        :param reason: What proves it.
        """
        release = self._roster.end_life(identity, reason)
        if release is not None:
            self._reporter.log_release(release)

    # -- beginning ---------------------------------------------------------

    def _spawn(self, function: Callable[[], None]) -> None:
        self._greenlets.spawn(self._guard, function)

    def _guard(self, function: Callable[[], None]) -> None:
        try:
            function()
        except Exception:
            # Another process goes on from the records.
            name = getattr(function, "__qualname__", repr(function))
            logs.write_failure("task.failed", message=name)
            self.depose("an unexpected error; see task.failed")

    def _run(self) -> None:
        watches = self._load()
        # Before anything is placed: on some VMs nothing may be.
        caretaker = self._load_vms()
        for watcher in watches:
            self._spawn(watcher.run)
        self._spawn(self._writer.run)
        self._spawn(caretaker.run)
        self._spawn(
            admission.Admission(
                self._resources.adviser,
                self._book,
                self._planner,
                on_change=self._wanted.set,
            ).run
        )
        self._plan_forever()

    def _load(self) -> list[watchers.Watcher]:
        """Read all records and workers.

        :return: The watches that go on from there.
        """
        began = clocks.read_steady()
        # Read before the definitions: a job may gain a definition between the
        # two readings, but no progress, which only this owner writes.
        known = self._read_all(records.PROGRESS_PREFIX)
        self._writer.load_revisions(known)
        intake = intakes.JobIntake(
            self._book, known, on_change=self._note_intake
        )
        self._jobs = self._watch(
            records.PREFIX, intake.apply_range, intake.apply_changes
        )
        watches = [
            self._jobs,
            self._watch(
                documents.WORKER_PREFIX,
                self._roster.take_range,
                self._roster.take_changes,
            ),
        ]
        for watcher in watches:
            while not watcher.read():
                gevent.sleep(timing.STORE_PAUSE_S)
        logs.write_event(
            "owner.loaded",
            fence=self.fence,
            jobs=len(self._book.jobs),
            workers=len(self._book.workers),
            seconds=round(clocks.read_steady() - began, 3),
        )
        return watches

    def _watch(
        self,
        prefix: str,
        on_range: Callable[[tuple[stores.Item, ...]], None],
        on_changes: Callable[[stores.Changes], None],
    ) -> watchers.Watcher:
        return watchers.Watcher(
            self._resources.store,
            prefix,
            on_range=on_range,
            on_changes=on_changes,
            on_contact=self._resources.on_contact,
            pace=timing.OWNER_WATCH,
        )

    def _read_all(self, prefix: str) -> tuple[stores.Item, ...]:
        while True:
            found = self._resources.store.read_range(prefix)
            if isinstance(found, stores.Range):
                return found.items
            gevent.sleep(timing.STORE_PAUSE_S)

    def _load_vms(self) -> caretakers.Caretaker:
        caretaker = caretakers.Caretaker(
            self._resources.machines,
            self._resources.view,
            self._book,
            self._writer,
            self.fence,
            telemetry=self._telemetry,
            order_pause=self._rules.order_pause,
            spawn=self._spawn,
            on_change=self._wanted.set,
        )
        items: list[stores.Item] = []
        for prefix in caretakers.PREFIXES:
            items.extend(self._read_all(prefix))
        caretaker.load(tuple(items))
        return caretaker

    def _note_store(self, sent: float) -> None:
        """Note that a commit under the ownership was answered.

        :param sent: When it was sent, in seconds.
        """
        self.note_contact(sent)
        self._resources.on_contact()

    def _note_intake(self) -> None:
        self._recorder.mark_changed()
        self._wanted.set()

    # -- planning ----------------------------------------------------------

    def _plan_forever(self) -> None:
        checked = planned = 0.0
        while not self.deposed:
            self._wanted.wait(timing.CHECK_INTERVAL_S)
            # What comes within a moment is planned together; the first of it
            # does not wait.
            since_plan = clocks.read_steady() - planned
            if since_plan < timing.PLAN_INTERVAL_S:
                gevent.sleep(timing.PLAN_INTERVAL_S - since_plan)
            self._wanted.clear()
            now = planned = clocks.read_steady()
            if now - checked >= timing.CHECK_INTERVAL_S:
                checked = now
                self._check(now)
            self._planner.plan(now, clocks.read_wall())
            # Room that is free before a plan is not free after it.
            self._reporter.log_stalls(now)
            self._recorder.mark_changed()
            self._send_orders()

    def _check(self, now: float) -> None:
        configuration = self._resources.view.configuration
        if configuration is not None:
            if configuration.version != self._book.configuration.version:
                self._book.set_configuration(configuration)
        wall = clocks.read_wall()
        for release in self._planner.stop_and_release(now, wall):
            self._reporter.log_release(release)
        self._reporter.log_bounds(now)
        self._roster.forget_gone(now)
        self._recorder.publish_waiting(now, wall, self._jobs.confirmed_at)
        self._recorder.collect(now, wall)

    def _send_orders(self) -> None:
        while self._book.orders:
            order = self._book.orders.popleft()
            if self._roster.send(order):
                self._reporter.log_order(order)
                continue
            # A start is freed by its lease's end only; a stop is kept.
            logs.write_warning(
                "order.undeliverable",
                worker=order.worker,
                order=type(order).__name__,
                run=order.run,
            )
