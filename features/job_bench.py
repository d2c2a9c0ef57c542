"""A cluster whose workers answer as a test tells them to."""

from __future__ import annotations

from features import job_cores as cores
from features import job_models as models
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import endings
from rackvalve.scheduling import fleet
from rackvalve.scheduling import messages
from rackvalve.scheduling import start_results

IDENTITY = "00000000000000aa"


class Bench:
    """A cluster with workers that answer as the test tells them to."""

    def __init__(self, names, capacity=None, racks=None, labels=None):
        self.now = 1000.0
        made = cores.make_cores(self.now, inherited_lease=5.0)
        self.cluster, self.handler = made.cluster, made.handler
        self.planner = made.planner
        self.numbers = dict.fromkeys(names, 0)
        for name in names:
            self.cluster.set_entry(
                fleet.Entry(
                    identity=name,
                    pool=models.POOL,
                    host="",
                    port=0,
                    vm=name,
                    rack=(racks or {}).get(name, "r"),
                    hall="h",
                    labels=frozenset((labels or {}).get(name, ())),
                    capacity=capacity or models.CAPACITY,
                    draining=False,
                    remaining=None,
                )
            )
            self.report(name)

    def report(self, name, running=(), ended=()):
        worker = self.cluster.workers[name]
        rows = []
        for full, run, ending in ended:
            self.numbers[name] += 1
            rows.append(
                messages.EndedRow(
                    number=self.numbers[name],
                    task=full,
                    run=run,
                    ending=ending,
                    cause=ending.value,
                    checkpoint="",
                )
            )
        self.handler.apply(
            worker,
            messages.Report(
                sent=self.now, running=tuple(running), ended=tuple(rows)
            ),
            now=self.now,
            wall=self.now,
        )

    def add(self, *steps, identity=IDENTITY, **fields):
        state = progress.JobState(
            identity,
            "queue",
            definition.Job(spec="x", steps=tuple(steps), **fields),
            self.now,
        )
        self.cluster.add_job(state, self.now, self.now)
        return state

    def plan(self):
        """Plan, record, and have all starts confirmed."""
        self.planner.stop_and_release(self.now, self.now)
        self.planner.plan(self.now, self.now)
        for state in self.cluster.jobs.values():
            planned = state.list_planned()
            self.cluster.order_recorded(state.identity, planned, self.now)

    def starts(self):
        """Take the starts ordered so far."""
        found = [
            order
            for order in self.cluster.orders
            if isinstance(order, messages.StartRun)
        ]
        for order in found:
            self.cluster.orders.remove(order)
        return found

    def stops(self):
        return [
            order
            for order in self.cluster.orders
            if isinstance(order, messages.StopRun)
        ]

    def confirm(self, order):
        placed = self.placed(order)
        start_results.apply_start_result(
            self.cluster,
            placed,
            messages.StartResult.STARTED,
            uncertain=False,
            now=self.now,
        )
        return placed

    def placed(self, order):
        worker = self.cluster.workers[order.worker]
        return worker.runs[f"{order.job}.{order.task}", order.run]

    def placed_run(self, order):
        """Return the run that an order to stop names."""
        return self.cluster.workers[order.worker].runs[order.task, order.run]

    def end_incarnation(self, name, proof="another life answers"):
        """End a worker's incarnation by a proof."""
        return endings.end_incarnation(
            self.cluster, name, proof, now=self.now, wall=self.now
        )

    def start_all(self):
        self.plan()
        orders = self.starts()
        for order in orders:
            self.confirm(order)
        return orders

    def end(self, order, ending):
        self.now += 0.05
        self.report(
            order.worker,
            self.rows(order.worker, order),
            [(f"{order.job}.{order.task}", order.run, ending)],
        )

    def rows(self, name, without=None):
        """List what runs on a worker, with progress that moves."""
        found = []
        for (full, run), placed in self.cluster.workers[name].runs.items():
            if without is not None and run == without.run:
                continue
            found.append(
                messages.RunningRow(
                    task=full,
                    run=run,
                    checkpoint="",
                    percent=placed.run.percent + 1,
                    load=0.0,
                )
            )
        return found
