"""The owner loads the jobs, schedules them and records what happens.

The election creates an owner for a fencing token; the owner works until it is
deposed or stopped.  Its state is its view of the cluster.  What must survive
it is in the store before a worker is told.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import event
from gevent import pool as greenlet_pools

from rackvalve import clocks
from rackvalve.jobs import records
from rackvalve import logs
from rackvalve.manager.election import election
from rackvalve.manager.election import failures
from rackvalve.manager.owner import admission
from rackvalve.manager.owner import intake as intakes
from rackvalve.manager.owner import loader as loaders
from rackvalve.manager.owner import queue_directory as queue_directories
from rackvalve.manager.owner import recorder as recorders
from rackvalve.manager.owner import reporter as reporters
from rackvalve.manager.owner import resources as owner_resources
from rackvalve.manager.owner import vm_controller as vm_controllers
from rackvalve.manager.owner import worker_registry as worker_registries
from rackvalve.manager.owner import writer as writers
from rackvalve.manager import timing
from rackvalve.manager import watcher as watchers
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from rackvalve.scheduling import attempts
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import fencing_tokens
from rackvalve.scheduling import messages
from rackvalve.scheduling import pacing
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import policy as policies
from rackvalve.scheduling import queues
from rackvalve.scheduling import reports
from rackvalve.scheduling import start_results
from rackvalve.scheduling import starter as starters
from rackvalve.scheduling import workers


class Owner:
    """Schedules all pools while it holds the ownership.

    :param resources: Shared clients.
    :param durations: Durations from the settings.
    :param configuration: The operator's configuration.
    :param fence: Fencing token.
    :param policy: The optional rules in force.
    """

    def __init__(
        self,
        resources: owner_resources.Resources,
        durations: owner_resources.Durations,
        configuration: queues.Configuration,
        fence: int,
        *,
        policy: policies.Policy = policies.DEFAULT,
    ) -> None:
        self._resources = resources
        self._durations = durations
        self.fence = fence
        self.deposed = ""
        self.failure: failures.Failure | None = None
        self.is_loaded = False
        self._greenlets = greenlet_pools.Group()
        self._plan_wanted = event.Event()
        self._began_at = self._confirmed_at = clocks.read_steady()
        self._cluster = clusters.Cluster(
            configuration,
            inherited_lease=owner_resources.MAX_INHERITED_LEASE_S,
            now=self._confirmed_at,
            policy=policy,
        )
        self._handler = reports.Handler(
            self._cluster,
            lease=timing.WORKER_LEASE_S,
            max_stop_time=durations.stop_time + timing.STOP_MARGIN_S,
            hold_wait=timing.HOLD_WAIT_S,
            hold_most=timing.MAX_HOLD_S,
        )
        self._planner = planners.Planner(
            self._cluster,
            planners.Limits(
                freshness=timing.FRESHNESS_S,
                entry_grace=timing.ENTRY_GRACE_S,
            ),
        )
        self._reporter = reporters.Reporter(
            self._cluster, self._handler, self._planner, resources.telemetry
        )
        self.tokens = fencing_tokens.FencingTokens(fence)
        self._registry = worker_registries.WorkerRegistry(
            self, self._cluster, on_change=self._plan_wanted.set
        )
        # Set by _run and _load.
        self._loader: loaders.Loader
        self._job_watcher: watchers.Watcher
        ownership = stores.Condition(key=election.TERM_KEY, revision=fence)
        self._queue_directory = queue_directories.QueueDirectory(
            self._cluster, resources.namespaces, ownership, spawn=self._spawn
        )
        self._writer = writers.Writer(
            resources.store,
            ownership,
            on_deposed=self.depose,
            on_contact=self._note_commit,
            on_refused=self._reporter.log_refused,
            get_contact=resources.view.get_contact,
            spawn=self._spawn,
        )
        self._recorder = recorders.Recorder(
            self._cluster,
            self._writer,
            resources.telemetry,
            keep=durations.keep,
            value_limit=resources.value_limit,
            get_job_bytes=resources.get_job_bytes,
            on_recorded=self._send_orders,
        )

    def is_stored(self, job: str, write: int) -> bool:
        """Return whether a job's changes up to a write are in the store.

        :param job: The job's identifier.
        :param write: Sequence number of the write.
        """
        return self._recorder.is_stored(job, write)

    @property
    def committed_revision(self) -> int:
        """The store's revision of the newest commit; 0 before the first."""
        return self._writer.committed_revision

    def wait_for_commit(self, timeout: float) -> None:
        """Wait until further writes may be in the store.

        :param timeout: Longest wait, in seconds.
        """
        self._writer.wait(timeout)

    def start(self) -> None:
        """Load the jobs and begin to schedule, in greenlets of the owner."""
        self._spawn(self._run)

    def stop(self, reason: str) -> None:
        """Stop all greenlets at once; runs on workers go on.

        :param reason: Why, for logs.
        """
        self.deposed = self.deposed or reason
        owned = clocks.read_steady() - self._began_at
        self._reporter.log_end(
            self.fence, self.deposed, owned, is_loaded=self.is_loaded
        )
        self._registry.close()
        self._reporter.close()
        current = gevent.getcurrent()
        others = [green for green in self._greenlets if green is not current]
        gevent.killall(others, block=False)

    def depose(self, reason: str) -> None:
        """Note that this owner has lost the ownership.

        :param reason: How that was learned.
        """
        if not self.deposed:
            logs.write_warning(
                "ownership.deposed", fence=self.fence, reason=reason
            )
        self.deposed = self.deposed or reason

    def fail(self, worker: str = "") -> None:
        """Note an unexpected error, after which this owner's term ends.

        The traffic with a quarantined worker ends alone.

        :param worker: Identity of the worker whose answer was being handled;
            empty for an error elsewhere.
        """
        now = clocks.read_steady()
        if worker and self._resources.failures.is_quarantined(worker, now):
            return
        if self.failure is None:
            self.failure = failures.Failure(worker=worker)
        self.depose("an unexpected error; see task.failed")

    def note_confirmation(self, now: float) -> None:
        """Note that the store confirmed the ownership.

        :param now: When the confirmed call was sent, in seconds.  The answer's
            time would be too late: the next owner may have taken the
            ownership in between and counts from then.
        """
        self._confirmed_at = max(self._confirmed_at, now)

    def may_extend(self, now: float) -> bool:
        """Return whether leases on workers may still be extended.

        :param now: Present time, in seconds.
        """
        return (
            not self.deposed
            and now - self._confirmed_at <= timing.EXTENSION_LIMIT_S
        )

    # -- called by worker sessions -----------------------------------------

    def apply_report(
        self, worker: workers.WorkerState, report: messages.Report, now: float
    ) -> None:
        """Apply a worker's report.

        :param worker: The worker.
        :param report: Its report.
        :param now: Present time, in seconds.
        """
        if self.deposed or self._check_quarantine(worker, now):
            return
        first = not worker.established
        self._handler.apply(worker, report, now=now, wall=clocks.read_wall())
        self._forget_ended()
        if first:
            logs.write_event(
                "worker.established",
                worker=worker.identity,
                fence=self.tokens.find(worker),
                running=len(report.running),
                ended=len(report.ended),
            )
        self._cluster.orders.extend(
            pacing.set_paces(worker, now, self._durations.pace_interval)
        )
        self._reporter.log_begun()
        self._reporter.log_ends()
        self._recorder.mark_changed()
        worker.note_write(self._writer.number)
        self._plan_wanted.set()

    def _check_quarantine(
        self, worker: workers.WorkerState, now: float
    ) -> bool:
        """Return whether a worker's reports are not handled for now."""
        quarantined = self._resources.failures.is_quarantined(
            worker.identity, now
        )
        if quarantined != worker.is_quarantined:
            worker.is_quarantined = quarantined
            logs.write_warning(
                "worker.quarantined" if quarantined else "worker.readmitted",
                worker=worker.identity,
                runs=len(worker.runs),
            )
        return quarantined

    def apply_start_result(
        self,
        placed: workers.PlacedRun,
        result: messages.StartResult,
        uncertain: bool,
    ) -> None:
        """Apply the result of an order to start a run.

        :param placed: The run.
        :param result: The worker's answer.
        :param uncertain: Whether an earlier attempt may still take effect.
        """
        if self.deposed:
            return
        if result is not messages.StartResult.STARTED:
            self._reporter.log_rejected(placed, result, uncertain=uncertain)
        start_results.apply_start_result(
            self._cluster,
            placed,
            result,
            uncertain=uncertain,
            now=clocks.read_steady(),
        )
        self._reporter.log_begun()
        self._plan_wanted.set()

    def confirm_stop(self, worker: str, key: workers.RunKey) -> None:
        """Note that a worker has accepted an order to stop a run.

        :param worker: Identity of the worker.
        :param key: Full name of the task and number of the run.
        """
        self._cluster.confirm_stop(worker, key, clocks.read_steady())

    def _forget_ended(self) -> None:
        """Forget incarnations that were replaced by later ones."""
        for release in self._handler.released:
            self._registry.forget(release.worker)
            self._reporter.log_release(release)
        self._handler.released.clear()

    def switch_incarnation(
        self, worker: workers.WorkerState, born: int
    ) -> None:
        """Go on with the incarnation that answers in place of an earlier one.

        :param worker: The earlier incarnation.
        :param born: When the later one began, in milliseconds since 1970.
        """
        if not self.deposed:
            self._registry.switch_incarnation(worker, born)

    def end_incarnation(self, identity: str, reason: str) -> None:
        """Forget a worker's incarnation that is over.

        :param identity: The worker.
        :param reason: How it is known to be over.
        """
        release = self._registry.end_incarnation(identity, reason)
        if release is not None:
            self._reporter.log_release(release)

    # -- loading -----------------------------------------------------------

    def _spawn(self, function: Callable[[], None]) -> None:
        self._greenlets.spawn(self._guard, function)

    def _guard(self, function: Callable[[], None]) -> None:
        try:
            function()
        except Exception:
            # Another process takes over, from the records in the store.
            name = getattr(function, "__qualname__", repr(function))
            logs.write_failure("task.failed", message=name)
            self.fail()

    def _run(self) -> None:
        self._loader = loaders.Loader(
            self._resources.store, self.fence, self._resources.take_replica()
        )
        watches = self._load()
        # Before the first plan: on some VMs nothing may be placed.
        controller = self._load_controller()
        self.is_loaded = True
        for watcher in watches:
            self._spawn(watcher.run)
        self._spawn(self._writer.run)
        self._spawn(self._queue_directory.run)
        self._spawn(controller.run)
        self._spawn(
            admission.Admission(
                self._resources.adviser,
                self._cluster,
                self._planner,
                on_change=self._plan_wanted.set,
            ).run
        )
        self._plan_forever()

    def _load(self) -> list[watchers.Watcher]:
        """Read all jobs and workers.

        :return: The watchers that follow later changes.
        """
        began = clocks.read_steady()
        self._queue_directory.load(clocks.read_wall())
        # Progress is read before the definitions: between the two reads a
        # definition may be added, but no progress, as only this owner
        # writes that.
        known = self._loader.load(records.PROGRESS_PREFIX)
        self._writer.load_revisions(known)
        intake = intakes.JobIntake(
            self._cluster, known, on_change=self._note_intake
        )
        self._job_watcher = self._watch(
            records.PREFIX, intake.apply_range, intake.apply_changes
        )
        worker_watcher = self._watch(
            documents.WORKER_PREFIX,
            self._registry.apply_range,
            self._registry.apply_changes,
        )
        self._loader.load_watcher(self._job_watcher, records.PREFIX)
        self._loader.load_watcher(worker_watcher, documents.WORKER_PREFIX)
        self._loader.log_copied()
        attempts.fail_all_exhausted(self._cluster, clocks.read_wall())
        self._reporter.log_load(self.fence, clocks.read_steady() - began)
        return [self._job_watcher, worker_watcher]

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

    def _load_controller(self) -> vm_controllers.VmController:
        controller = vm_controllers.VmController(
            self._resources.machines,
            self._resources.view,
            self._cluster,
            self._writer,
            self.fence,
            telemetry=self._resources.telemetry,
            order_pause=self._durations.order_pause,
            spawn=self._spawn,
            on_change=self._plan_wanted.set,
        )
        items: list[stores.Item] = []
        for prefix in vm_controllers.PREFIXES:
            items.extend(self._loader.read_all(prefix))
        controller.load(tuple(items))
        return controller

    def _note_commit(self, sent: float) -> None:
        """Note a commit's answer, which confirms the ownership.

        :param sent: When the commit was sent, in seconds.
        """
        self.note_confirmation(sent)
        self._resources.on_contact()

    def _note_intake(self) -> None:
        self._recorder.mark_changed()
        self._plan_wanted.set()

    # -- planning ----------------------------------------------------------

    def _plan_forever(self) -> None:
        checked = planned = 0.0
        while not self.deposed:
            self._plan_wanted.wait(timing.CHECK_INTERVAL_S)
            # Changes within the interval are planned together; the first one
            # after a longer pause is planned at once.
            since_plan = clocks.read_steady() - planned
            if since_plan < timing.PLAN_INTERVAL_S:
                gevent.sleep(timing.PLAN_INTERVAL_S - since_plan)
            self._plan_wanted.clear()
            now = planned = clocks.read_steady()
            if now - checked >= timing.CHECK_INTERVAL_S:
                checked = now
                self._check(now)
            count = self._planner.plan(now, clocks.read_wall())
            if count >= starters.MAX_STARTS_PER_ROUND:
                self._plan_wanted.set()
            # After the plan, which may have taken resources that were free.
            self._reporter.log_stalls(now)
            self._reporter.log_evacuations(now)
            self._recorder.mark_changed()
            self._send_orders()

    def _check(self, now: float) -> None:
        wall = clocks.read_wall()
        configuration = self._resources.view.configuration
        self._queue_directory.follow(configuration, now, wall)
        for release in self._planner.stop_and_release(now, wall):
            self._reporter.log_release(release)
        self._reporter.log_crashes(now)
        self._reporter.log_bounds(now)
        self._registry.forget_lost_workers(now)
        self._recorder.publish_waiting(
            now, wall, self._job_watcher.confirmed_at
        )
        self._recorder.collect(now, wall)

    def _send_orders(self) -> None:
        while self._cluster.orders:
            order = self._cluster.orders.popleft()
            if self._registry.send(order):
                self._reporter.log_order(order)
                continue
            # A start is undone when its lease expires; the registry keeps a
            # stop until the worker has an entry.
            logs.write_warning(
                "order.undeliverable",
                worker=order.worker,
                order=type(order).__name__,
                run=order.run,
            )
