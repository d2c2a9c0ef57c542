"""The owner: loads the jobs, schedules them, and records what happens.

An owner lives from the taking of its fencing token until it is deposed.  All
it knows is in its book; all that must last is in the store before a worker
hears of it.
"""

from __future__ import annotations

from collections.abc import Callable
import functools

import gevent
from gevent import event
import msgspec

from rackvalve import clocks
from rackvalve import errors
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve import logs
from rackvalve.manager import admission
from rackvalve.manager import caretaker as caretakers
from rackvalve.manager import contact as contacts
from rackvalve.manager import election
from rackvalve.manager import timing
from rackvalve.manager import view as views
from rackvalve.manager import watcher as watchers
from rackvalve.manager import writer as writers
from rackvalve.platform import advisers
from rackvalve.platform import connections
from rackvalve.platform import documents
from rackvalve.platform import machines as machine_clients
from rackvalve.platform import store as stores
from rackvalve.platform import workers as clients
from rackvalve.scheduling import book as books
from rackvalve.scheduling import messages
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import reports
from rackvalve.scheduling import sharing
from rackvalve.scheduling import workers
from rackvalve import telemetry as telemetries

WAITING_KEY = "waiting"
# What an earlier owner may have extended just before it lost its rights.
INHERITED_LEASE_S = (
    timing.EXTENSION_LIMIT_S
    + timing.WORKER_LEASE_S * (1 + workers.CLOCK_TOLERANCE)
    + workers.LEASE_MARGIN_S
)


class Owner:
    """Schedules all pools while it holds the ownership.

    :param store: The store.
    :param view: The operator's orders.
    :param fence: Fencing token.
    :param name: Name of this process, unlike those of all others.
    :param telemetry: Counts what happens.
    :param machines: The platform's interface to its VMs.
    :param keep: How long ended jobs are kept, in seconds.
    :param order_pause: Time without orders to VMs after the taking of the
        token, in seconds.
    :param pace_interval: Least time between two changes of a run's pace, in
        seconds.
    :param adviser: The service that admits workers; ``None`` without one.
    :param on_contact: Called at each answer of the store.
    """

    def __init__(
        self,
        store: stores.Store,
        view: views.View,
        fence: int,
        *,
        name: str,
        telemetry: telemetries.Telemetry,
        machines: machine_clients.Machines,
        keep: float,
        order_pause: float,
        pace_interval: float,
        adviser: advisers.Adviser | None,
        on_contact: Callable[[], None],
    ) -> None:
        self._pace_interval = pace_interval
        self._adviser = adviser
        self._telemetry = telemetry
        self._machines = machines
        self._order_pause = order_pause
        self._store = store
        self._view = view
        self.fence = fence
        self._name = name
        self._keep = keep
        self._on_contact = on_contact
        self.deposed = ""
        self._book: books.Book | None = None
        self._writer: writers.Writer | None = None
        self._contacts: dict[str, contacts.Contact] = {}
        self._greenlets: list[gevent.Greenlet] = []
        self._wanted = event.Event()
        self._heard = clocks.read_steady()
        self._progress: tuple[stores.Item, ...] = ()
        self._waiting: dict[str, int] = {}
        self._waiting_at = 0.0
        self._collected_at = clocks.read_steady()

    @property
    def durable(self) -> int:
        """Number of the last write that is in the store."""
        assert self._writer is not None
        return self._writer.durable

    def start(self) -> None:
        """Load the jobs and begin, in greenlets of its own."""
        self._spawn(self._run)

    def stop(self, reason: str) -> None:
        """End all work at once; what runs on workers runs on.

        :param reason: Why, for logs.
        """
        self.deposed = self.deposed or reason
        for contact in self._contacts.values():
            contact.close()
        self._contacts.clear()
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
        """Note that the store knows this process as the owner.

        :param now: Present time, in seconds.
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
        self, worker: workers.WorkerState, report: reports.Report, now: float
    ) -> None:
        """Apply a worker's report.

        :param worker: The worker.
        :param report: Its report.
        :param now: Present time, in seconds.
        """
        if self.deposed or self._book is None or self._writer is None:
            return
        first = not worker.established
        self._handler.take(worker, report, now=now, wall=clocks.read_wall())
        if first:
            logs.write_event(
                "worker.established",
                worker=worker.identity,
                fence=self.fence,
                running=len(report.running),
                ended=len(report.ended),
            )
        self._book.orders.extend(
            sharing.set_paces(worker, now, self._pace_interval)
        )
        self._log_ends()
        self._mark_changed()
        worker.note_write(self._writer.number)
        self._wanted.set()

    def take_start(
        self,
        placed: workers.Placed,
        result: messages.StartResult,
        uncertain: bool,
    ) -> None:
        """Apply what became of an order to start a run.

        :param placed: The run.
        :param result: What the worker said.
        :param uncertain: Whether an earlier try may still be carried out.
        """
        if self._book is None or self.deposed:
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
        self._book.take_start(
            placed, result, uncertain=uncertain, now=clocks.read_steady()
        )
        self._wanted.set()

    def take_stop(self, worker: str, key: workers.RunKey) -> None:
        """Note that a worker has taken an order to stop a run.

        :param worker: Identity of the worker.
        :param key: Full name of the task and number of the run.
        """
        if self._book is not None:
            self._book.take_stop(worker, key, clocks.read_steady())

    def end_life(self, identity: str, reason: str) -> None:
        """Forget a worker whose life is over.

        :param identity: The worker.
        :param reason: What proves it.
        """
        contact = self._contacts.pop(identity, None)
        if self._book is not None and identity in self._book.workers:
            logs.write_event(
                "worker.over",
                worker=identity,
                reason=reason,
                runs=len(self._book.workers[identity].runs),
            )
            self._book.end_life(identity, clocks.read_steady())
            self._wanted.set()
        if contact is not None:
            # May be called by one of the contact's own greenlets.
            gevent.spawn(contact.close)

    # -- beginning ---------------------------------------------------------

    def _spawn(self, function: Callable[[], None]) -> None:
        self._greenlets.append(gevent.spawn(self._guard, function))

    def _guard(self, function: Callable[[], None]) -> None:
        try:
            function()
        except Exception:
            # Another process goes on from the records.
            logs.write_failure("task.failed", message=function.__qualname__)
            self.depose("an unexpected error; see task.failed")

    def _run(self) -> None:
        began = clocks.read_steady()
        while self._view.configuration is None:
            gevent.sleep(timing.STORE_PAUSE_S)
        self._book = books.Book(
            self._view.configuration,
            inherited_lease=INHERITED_LEASE_S,
            now=clocks.read_steady(),
        )
        self._handler = reports.Handler(
            self._book, early=timing.EARLY_S, lease=timing.WORKER_LEASE_S
        )
        self._planner = planners.Planner(
            self._book,
            planners.Limits(
                freshness=timing.FRESHNESS_S, early=timing.EARLY_S
            ),
        )
        last_commit = self._read_last_commit()
        self._writer = writers.Writer(
            self._store,
            stores.Condition(key=election.KEY, revision=self.fence),
            last_commit,
            name=f"{self._name} {self.fence}",
            on_deposed=self.depose,
            on_contact=self._note_store,
        )
        jobs = self._watch(
            records.PREFIX, self._take_jobs, self._take_job_changes
        )
        fleet = self._watch(
            documents.WORKER_PREFIX,
            self._take_workers,
            self._take_worker_changes,
        )
        # Read before the definitions: a job may gain a definition between the
        # two readings, but no progress, which only this owner writes.
        self._progress = self._read_all(records.PROGRESS_PREFIX)
        for watcher in (jobs, fleet):
            while not watcher.read():
                gevent.sleep(timing.STORE_PAUSE_S)
        self._progress = ()
        logs.write_event(
            "owner.loaded",
            fence=self.fence,
            jobs=len(self._book.jobs),
            workers=len(self._book.workers),
            seconds=round(clocks.read_steady() - began, 3),
        )
        self._spawn(jobs.run)
        self._spawn(fleet.run)
        self._spawn(self._writer.run)
        self._spawn(self._look_after_vms)
        self._spawn(
            admission.Admission(
                self._adviser,
                self._book,
                self._planner,
                on_change=self._wanted.set,
            ).run
        )
        self._plan_forever()

    def _look_after_vms(self) -> None:
        assert self._book is not None and self._writer is not None
        caretaker = caretakers.Caretaker(
            self._machines,
            self._view,
            self._book,
            self._writer,
            self.fence,
            telemetry=self._telemetry,
            order_pause=self._order_pause,
            on_change=self._wanted.set,
        )
        caretaker.load(self._read_all(caretakers.PREFIX))
        caretaker.run()

    def _read_all(self, prefix: str) -> tuple[stores.Item, ...]:
        while True:
            found = self._store.read_range(prefix)
            if isinstance(found, stores.Range):
                return found.items
            gevent.sleep(timing.STORE_PAUSE_S)

    def _watch(
        self,
        prefix: str,
        on_range: Callable[[tuple[stores.Item, ...]], None],
        on_changes: Callable[[stores.Changes], None],
    ) -> watchers.Watcher:
        return watchers.Watcher(
            self._store,
            prefix,
            on_range=on_range,
            on_changes=on_changes,
            on_contact=self._on_contact,
        )

    def _read_last_commit(self) -> int:
        while True:
            found = self._store.read(writers.COMMIT_KEY)
            if isinstance(found, stores.Item):
                return found.revision
            if isinstance(found, stores.Missing):
                return 0
            gevent.sleep(timing.STORE_PAUSE_S)

    def _note_store(self) -> None:
        self.note_contact(clocks.read_steady())
        self._on_contact()

    # -- jobs --------------------------------------------------------------

    def _take_jobs(self, items: tuple[stores.Item, ...]) -> None:
        # After lost history all is read anew; what is known stays as it is.
        items += self._progress
        by_job: dict[str, dict[records.Part, stores.Item]] = {}
        queues: dict[str, str] = {}
        for item in items:
            key = records.read_key(item.key)
            if key is None:
                continue
            by_job.setdefault(key.identity, {})[key.part] = item
            queues[key.identity] = key.queue
        for identity, parts in by_job.items():
            self._take_job(queues[identity], identity, parts)
        self._finish_take()

    def _take_job(
        self,
        queue: str,
        identity: str,
        parts: dict[records.Part, stores.Item],
    ) -> None:
        assert self._book is not None
        defined = parts.get(records.Part.DEFINITION)
        if defined is not None and identity not in self._book.jobs:
            now = clocks.read_steady()
            try:
                state = records.read_definition(
                    queue, identity, defined.payload
                )
                stored = parts.get(records.Part.PROGRESS)
                if stored is not None:
                    records.read_progress(state, stored.payload, now)
            except errors.DocumentInvalidError as error:
                logs.write_warning(
                    "document.rejected", key=defined.key, reason=error.reason
                )
                return
            self._book.add_job(state, now, clocks.read_wall(), timing.EARLY_S)
            logs.write_event(
                "job.taken",
                job=identity,
                queue=queue,
                phase=state.phase.value,
                tasks=sum(step.tasks for step in state.job.steps),
                lasting=any(step.lasting for step in state.job.steps),
                revision=defined.revision,
            )
        if records.Part.CANCEL in parts:
            self._cancel(identity)

    def _cancel(self, identity: str) -> None:
        assert self._book is not None
        state = self._book.jobs.get(identity)
        if state is None or state.is_final:
            return
        self._book.cancel_job(identity, clocks.read_wall())
        logs.write_event(
            "job.cancelled",
            job=identity,
            runs=sum(len(task.runs) for task in state.tasks.values()),
        )

    def _take_job_changes(self, changes: stores.Changes) -> None:
        for item in changes.written:
            key = records.read_key(item.key)
            if key is None:
                continue
            self._take_job(key.queue, key.identity, {key.part: item})
        self._finish_take()

    def _finish_take(self) -> None:
        self._mark_changed()
        self._wanted.set()

    # -- workers -----------------------------------------------------------

    def _take_workers(self, items: tuple[stores.Item, ...]) -> None:
        assert self._book is not None
        present = set()
        for item in items:
            self._take_worker(item)
            present.add(item.key.removeprefix(documents.WORKER_PREFIX))
        now = clocks.read_steady()
        for identity, worker in self._book.workers.items():
            if worker.entry is not None and identity not in present:
                self._book.remove_entry(identity, now)
        self._wanted.set()

    def _take_worker_changes(self, changes: stores.Changes) -> None:
        assert self._book is not None
        for item in changes.written:
            self._take_worker(item)
        now = clocks.read_steady()
        written = {item.key: item.revision for item in changes.written}
        for key, revision in changes.removed:
            if written.get(key, 0) < revision:
                identity = key.removeprefix(documents.WORKER_PREFIX)
                self._book.remove_entry(identity, now)
        self._wanted.set()

    def _take_worker(self, item: stores.Item) -> None:
        assert self._book is not None
        try:
            entry = documents.read_worker(item.key, item.payload)
        except errors.DocumentInvalidError as error:
            logs.write_warning(
                "document.rejected", key=item.key, reason=error.reason
            )
            return
        known = self._book.workers.get(entry.identity)
        if known is None or known.entry is None:
            logs.write_event(
                "worker.found",
                worker=entry.identity,
                pool=entry.pool,
                vm=entry.vm,
                revision=item.revision,
            )
        elif entry.draining and known.entry and not known.entry.draining:
            logs.write_event(
                "worker.draining",
                worker=entry.identity,
                remaining=entry.remaining,
                runs=len(known.runs),
            )
        worker = self._book.set_entry(entry)
        if entry.identity not in self._contacts:
            client = clients.Worker(
                connections.HttpClient(entry.host, entry.port),
                entry.identity,
                timeout=timing.ORDER_TIMEOUT_S,
            )
            contact = contacts.Contact(self, worker, client)
            self._contacts[entry.identity] = contact
            contact.start()

    def _forget_gone(self, now: float) -> None:
        """Forget workers that have left: no entry, no answer, no lease."""
        assert self._book is not None
        for identity, worker in list(self._book.workers.items()):
            if worker.runs or not worker.is_over(now):
                continue
            gone = worker.entry is None or (
                worker.gone_since is not None
                and now - worker.gone_since > timing.ENTRY_GRACE_S
                and now - worker.answered > timing.ENTRY_GRACE_S
            )
            if gone:
                self.end_life(identity, "its entry is gone, it is silent")

    # -- planning ----------------------------------------------------------

    def _plan_forever(self) -> None:
        checked = 0.0
        while not self.deposed:
            self._wanted.wait(timing.CHECK_INTERVAL_S)
            self._wanted.clear()
            now = clocks.read_steady()
            if now - checked >= timing.CHECK_INTERVAL_S:
                checked = now
                self._check(now)
            self._plan(now)
            self._mark_changed()
            self._send_orders()

    def _check(self, now: float) -> None:
        assert self._book is not None
        configuration = self._view.configuration
        if configuration is not None:
            if configuration.version != self._book.configuration.version:
                self._book.set_configuration(configuration)
        self._planner.find_stuck(now)
        self._forget_gone(now)
        self._publish_waiting(now)
        if now - self._collected_at > timing.COLLECT_INTERVAL_S:
            self._collected_at = now
            self._collect(clocks.read_wall())

    def _plan(self, now: float) -> None:
        self._planner.plan(now, clocks.read_wall())

    def _mark_changed(self) -> None:
        assert self._book is not None and self._writer is not None
        for identity, urgent in list(self._book.changed.items()):
            state = self._book.jobs.get(identity)
            if state is not None:
                self._writer.mark(
                    records.write_key(
                        state.queue, identity, records.Part.PROGRESS
                    ),
                    functools.partial(self._make_record, state),
                    urgent=urgent,
                )
        self._book.changed.clear()

    def _make_record(self, state: progress.JobState) -> writers.Record:
        planned = [
            (task.name, run.number)
            for task in state.tasks.values()
            for run in task.runs.values()
            if run.stage is progress.Stage.PLANNED
        ]
        return writers.Record(
            payload=records.write_progress(state),
            written=functools.partial(
                self._take_recorded, state, planned, state.phase
            ),
        )

    def _take_recorded(
        self,
        state: progress.JobState,
        planned: list[tuple[definition.TaskName, int]],
        phase: progress.Phase,
    ) -> None:
        assert self._book is not None
        if phase in progress.FINAL:
            taken = clocks.read_steady() - state.arrived
            self._telemetry.jobs_ended.labels(state.queue, phase.value).inc()
            self._telemetry.job_seconds.labels(
                state.queue, phase.value
            ).observe(taken)
            logs.write_event(
                "job.ended",
                job=state.identity,
                queue=state.queue,
                phase=phase.value,
                reason=state.reason,
                seconds=round(taken, 3),
            )
        self._book.take_recorded(state.identity, planned, clocks.read_steady())
        self._send_orders()

    def _send_orders(self) -> None:
        assert self._book is not None
        while self._book.orders:
            order = self._book.orders.popleft()
            contact = self._contacts.get(order.worker)
            if contact is None:
                # The run's worker is unknown; only its lease's end frees it.
                logs.write_warning(
                    "order.undeliverable",
                    worker=order.worker,
                    order=type(order).__name__,
                    run=order.run,
                )
                continue
            if isinstance(order, messages.StartRun):
                self._count_start(order)
                logs.write_event(
                    "run.ordered",
                    job=order.job,
                    task=str(order.task),
                    run=order.run,
                    worker=order.worker,
                )
            elif isinstance(order, messages.StopRun):
                logs.write_event(
                    "run.stopping",
                    task=order.task,
                    run=order.run,
                    worker=order.worker,
                    reason=order.reason,
                )
            else:
                logs.write_event(
                    "run.paced",
                    task=order.task,
                    run=order.run,
                    worker=order.worker,
                    percent=order.percent,
                )
            contact.send(order)

    def _count_start(self, order: messages.StartRun) -> None:
        assert self._book is not None
        state = self._book.jobs[order.job]
        self._telemetry.runs_ordered.labels(state.queue).inc()
        if order.run == 1:
            waited = clocks.read_steady() - state.arrived
            self._telemetry.job_wait.labels(state.queue).observe(waited)

    def _log_ends(self) -> None:
        for end in self._handler.ended:
            self._telemetry.runs_ended.labels(end.cause).inc()
            logs.write_event(
                "run.ended",
                task=end.task,
                run=end.run,
                worker=end.worker,
                cause=end.cause,
                counted=end.counted,
            )
        self._handler.ended.clear()

    # -- upkeep of the records ---------------------------------------------

    def _publish_waiting(self, now: float) -> None:
        assert self._book is not None and self._writer is not None
        if now - self._waiting_at < timing.WAITING_INTERVAL_S:
            return
        counts = self._book.count_waiting()
        if counts == self._waiting:
            return
        self._waiting_at = now
        self._waiting = counts
        self._writer.mark(
            WAITING_KEY,
            lambda: writers.Record(payload=msgspec.json.encode(counts)),
        )

    def _collect(self, wall: float) -> None:
        """Remove the records of jobs that ended long ago."""
        assert self._book is not None and self._writer is not None
        limit = wall - self._keep - timing.KEEP_MARGIN_S
        for state in list(self._book.jobs.values()):
            busy = any(task.runs for task in state.tasks.values())
            if not state.finished or state.finished > limit or busy:
                continue
            del self._book.jobs[state.identity]
            for part in records.Part:
                self._writer.mark(
                    records.write_key(state.queue, state.identity, part),
                    lambda: writers.Record(payload=None),
                )
