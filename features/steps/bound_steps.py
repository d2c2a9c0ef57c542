"""Steps about the bounds of workspaces, run on the scheduler's cluster."""

from __future__ import annotations

import collections
import dataclasses
import random

import behave

from features import job_bench
from features import job_history
from features import job_models as models
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import demand
from rackvalve.scheduling import fleet
from rackvalve.scheduling import messages
from rackvalve.scheduling import start_results
from rackvalve.workspaces import account
from rackvalve.workspaces import directory
from rackvalve.workspaces import usage

NAMES = ("north", "south")
HISTORY_LENGTH = 120
# Events in each job history, which has two owners.
EVENTS = 250
HISTORY_LEASE_S = 6.0


def make_resources(units):
    return fleet.Resources(cpu=units, memory=units, gpu=0)


def set_bounds(bench, bounds):
    workspaces = directory.Directory(
        account.Workspace(
            name=name, rate=100.0, bound=make_resources(bounds.get(name, 0))
        )
        for name in NAMES
    )
    bench.cluster.set_configuration(
        dataclasses.replace(models.CONFIGURATION, workspaces=workspaces)
    )


def make_step(tasks, units, **fields):
    return definition.Step(tasks=tasks, cpu=units, memory=units, **fields)


def add(bench, workspace, step, number=None):
    number = len(bench.cluster.jobs) if number is None else number
    state = progress.JobState(
        f"{number:016x}",
        models.QUEUE.name,
        definition.Job(spec="x", steps=(step,)),
        bench.now,
        workspace=workspace,
    )
    bench.cluster.add_job(state, bench.now, bench.now)
    return state


def end_run(bench, placed, ending):
    """Report the end of one run; its worker's other runs go on."""
    key = (placed.full_name, placed.run.number)
    rows = [
        row
        for row in bench.rows(placed.run.worker)
        if (row.task, row.run) != key
    ]
    bench.now += 0.05
    bench.report(placed.run.worker, rows, [(*key, ending)])


def count_running(bench, workspace):
    """Count the runs of a workspace without the usage sums."""
    return sum(
        len(task.runs)
        for state in bench.cluster.jobs.values()
        if state.workspace == workspace
        for task in state.tasks.values()
    )


@behave.given(
    "{count:d} workers with room for {room:d} and a bound of {bound:d} for "
    "north"
)
def make_bench(context, count, room, bound):
    names = [f"w{number}" for number in range(count)]
    context.bench = job_bench.Bench(names, capacity=make_resources(room))
    set_bounds(context.bench, {"north": bound})


@behave.when(
    "north and south each hand in {count:d} jobs of {tasks:d} tasks for 1"
)
def add_both(context, count, tasks):
    for _ in range(count):
        for name in NAMES:
            add(context.bench, name, make_step(tasks, 1))
    context.bench.start_all()


@behave.then("{north:d} tasks of north and {south:d} tasks of south run")
def check_both(context, north, south):
    found = [count_running(context.bench, name) for name in NAMES]
    assert found == [north, south], found


@behave.when("north hands in 1 job of {tasks:d} tasks for 1, and then 1 more")
def add_two(context, tasks):
    bench = context.bench
    context.first = add(bench, "north", make_step(tasks, 1))
    context.orders = bench.start_all()
    context.second = add(bench, "north", make_step(tasks, 1))
    bench.start_all()
    assert not context.second.list_planned()
    assert count_running(bench, "north") == tasks


@behave.when("the first job is cancelled")
def cancel_first(context):
    context.bench.cluster.cancel_job(context.first.identity, 1.0)


@behave.then(
    "a task of the second job starts for each of the first one's that ends"
)
def check_stopping(context):
    bench = context.bench
    for order in context.orders:
        assert not bench.start_all()
        end_run(bench, bench.placed(order), messages.Ending.CUT_SHORT)
        assert len(bench.start_all()) == 1


@behave.when("the workers of the first job say nothing any more")
def silence_workers(context):
    context.silent = {order.worker for order in context.orders}


def advance(bench, seconds, silent):
    """Advance the clock until runs start; return how many started.

    All workers but the silent ones keep reporting.
    """
    until = bench.now + seconds
    started = 0
    while not started and bench.now < until - 1e-6:
        bench.now += 0.1
        for name in bench.numbers:
            if name not in silent:
                bench.report(name, bench.rows(name))
        started = len(bench.start_all())
    return started


@behave.then(
    "no task of the second job starts within {seconds:f} s, but after the "
    "lease"
)
def check_silent(context, seconds):
    assert advance(context.bench, seconds, context.silent) == 0
    assert advance(context.bench, 2.0, context.silent) == 2


@behave.when(
    "an owner takes over whose records name {count:d} runs of north on a "
    "silent worker"
)
def take_over(context, count, **fields):
    bench = context.bench
    state = progress.JobState(
        job_bench.IDENTITY,
        models.QUEUE.name,
        definition.Job(spec="x", steps=(make_step(count, 1, **fields),)),
        bench.now,
        workspace="north",
    )
    for index in range(count):
        name = definition.TaskName(repetition=0, step=0, index=index)
        run = progress.Run(
            index + 1, "gone", progress.Stage.ORDERED, bench.now
        )
        run.inherited = True
        state.task(name).runs[run.number] = run
    state.next_run = count + 1
    bench.cluster.add_job(state, bench.now, bench.now)


@behave.when("north hands in 1 job of {tasks:d} tasks for 1 to the new owner")
def add_to_new(context, tasks):
    add(context.bench, "north", make_step(tasks, 1))


@behave.then("no task of the new job starts until the inherited lease is over")
def check_inherited(context):
    # The bench's owner inherits leases of 5 s.
    assert advance(context.bench, 4.8, {"gone"}) == 0
    assert advance(context.bench, 0.5, {"gone"}) == 2


@behave.when("north hands in {count:d} jobs of {tasks:d} tasks for {units:d}")
@behave.when("north hands in {count:d} jobs of {tasks:d} task for {units:d}")
def add_north(context, count, tasks, units):
    for _ in range(count):
        add(context.bench, "north", make_step(tasks, units))
    context.orders = context.bench.start_all()


@behave.when("its bound becomes {bound:d}, and 1 task ends")
def lower_bound(context, bound):
    set_bounds(context.bench, {"north": bound})
    placed = context.bench.placed(context.orders[0])
    end_run(context.bench, placed, messages.Ending.DONE)
    context.bench.start_all()


@behave.when("its bound becomes {bound:d} and it hands in {count:d} more jobs")
def raise_bound(context, bound, count):
    set_bounds(context.bench, {"north": bound})
    add_north(context, count, 2, 1)


@behave.then("{count:d} tasks of north run and none is stopped")
@behave.then("{count:d} task of north runs")
def check_north(context, count):
    assert count_running(context.bench, "north") == count
    assert not context.bench.stops()


@behave.when("north hands in a gang of {first:d} and a gang of {second:d}")
def add_gangs(context, first, second):
    for tasks in (first, second):
        add(context.bench, "north", make_step(tasks, 1, gang=True))
    context.orders = context.bench.start_all()


@behave.then("the gang of {tasks:d} runs alone")
def check_gang(context, tasks):
    assert len(context.orders) == tasks
    assert len({order.job for order in context.orders}) == 1


@behave.then("the pool is asked for {vms:f} VMs")
def check_demand(context, vms):
    measured = demand.measure(context.bench.cluster, context.bench.now)
    assert measured[models.POOL].vms == vms, measured


class History:
    """Random events on one cluster, checked by an independent usage count."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.bench = job_bench.Bench(["w0", "w1", "w2"], make_resources(12))
        self.bounds = {}
        self.added = 0
        self.workers = 3

    def play(self):
        """Play the history; return the first fault, or an empty string."""
        for _ in range(HISTORY_LENGTH):
            before = self.count()
            event = self.random.choice(
                (
                    self.hand_in,
                    self.hand_in,
                    self.end_run,
                    self.end_run,
                    self.cancel,
                    self.change_bound,
                    self.lose_worker,
                    self.reject_start,
                    self.wait,
                )
            )
            event()
            self.bench.start_all()
            fault = self.check(before)
            if fault:
                return fault
        return ""

    def count(self):
        return collections.Counter(
            {name: self.sum_memory(name) for name in NAMES}
        )

    def sum_memory(self, name):
        return sum(
            state.step_of(task.name).memory * len(task.runs)
            for state in self.bench.cluster.jobs.values()
            if state.workspace == name
            for task in state.tasks.values()
        )

    def check(self, before):
        for name, now in self.count().items():
            counted = self.bench.cluster.usage.used(name).memory
            if counted != now:
                return f"{name} runs {now}, counted are {counted}"
            bound = self.bounds.get(name, 0)
            alone = self.count_runs(name) == 1
            if bound and now > max(bound, before[name]) and not alone:
                return f"{name} runs {now} beyond its bound of {bound}"
        return ""

    def count_runs(self, name):
        return count_running(self.bench, name)

    def hand_in(self):
        step = make_step(
            self.random.randint(1, 4),
            self.random.randint(1, 3),
            gang=self.random.random() < 0.2,
        )
        self.added += 1
        add(self.bench, self.random.choice(NAMES), step, self.added)

    def pick_run(self):
        found = [
            placed
            for name in self.bench.numbers
            if name in self.bench.cluster.workers
            for placed in self.bench.cluster.workers[name].runs.values()
        ]
        return self.random.choice(found) if found else None

    def end_run(self):
        placed = self.pick_run()
        if placed is not None:
            ending = self.random.choice(list(messages.Ending))
            end_run(self.bench, placed, ending)

    def cancel(self):
        open_jobs = list(self.bench.cluster.open_jobs)
        if open_jobs and self.random.random() < 0.5:
            identity = self.random.choice(open_jobs)
            self.bench.cluster.cancel_job(identity, self.bench.now)

    def change_bound(self):
        name = self.random.choice(NAMES)
        self.bounds[name] = self.random.choice((0, 2, 4, 9, 20))
        set_bounds(self.bench, self.bounds)

    def lose_worker(self):
        if self.random.random() < 0.8:
            return
        name = self.random.choice(list(self.bench.numbers))
        if len(self.bench.numbers) > 1:
            del self.bench.numbers[name]
            self.bench.end_incarnation(name)

    def reject_start(self):
        placed = self.pick_run()
        if placed is not None:
            start_results.apply_start_result(
                self.bench.cluster,
                placed,
                messages.StartResult.NO_ROOM,
                uncertain=self.random.random() < 0.5,
                now=self.bench.now,
            )

    def wait(self):
        self.bench.now += self.random.random() * HISTORY_LEASE_S
        for name in self.bench.numbers:
            if self.random.random() < 0.7:
                self.bench.report(name, self.bench.rows(name))


@behave.when("{count:d} job histories run under a bound of {bound:d} tasks")
def run_bounded(context, count, bound):
    rules = models.Rules(bound=bound)
    context.violations = job_history.explore(count, EVENTS, rules, 5000)


@behave.when(
    "up to {count:d} job histories run under a bound of {bound:d} that owners "
    "do not know"
)
def run_unknown(context, count, bound):
    rules = models.Rules(bound=bound, keep_bound=False)
    context.violations = job_history.explore(count, EVENTS, rules, 5000)


@behave.when("{count:d} histories are played with the bound")
def play_bound(context, count):
    context.faults = [History(seed).play() for seed in range(count)]


@behave.when("{count:d} histories are played without the bound")
def play_unbound(context, count):
    kept = usage.Usage.count_allowed
    usage.Usage.count_allowed = lambda self, workspace, ask, most: most
    try:
        context.faults = [History(seed).play() for seed in range(count)]
    finally:
        usage.Usage.count_allowed = kept


@behave.then("no workspace ever has more than it")
def check_histories(context):
    assert not any(context.faults), [f for f in context.faults if f][:3]


@behave.then("a workspace has more than its bound")
def check_caught(context):
    caught = [fault for fault in context.faults if "beyond" in fault]
    assert len(caught) > len(context.faults) / 2, context.faults
