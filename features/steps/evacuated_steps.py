"""Steps about lasting tasks, pools and waves while halls are evacuated."""

from __future__ import annotations

import dataclasses
from unittest import mock

import behave

from features import job_bench as benches
from features import job_models as models
from features.steps import evacuation_steps as halls
from features import vm_bench as vms
from rackvalve.jobs import definition
from rackvalve import logs
from rackvalve.manager.owner import evacuation_reporter
from rackvalve.manager import timing
from rackvalve.scheduling import eviction
from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import fleet
from rackvalve.scheduling import maintenance
from rackvalve.scheduling import messages
from rackvalve.scheduling import policy as policies
from rackvalve.scheduling import sizing
from rackvalve import telemetry as telemetries
from rackvalve.workspaces import account
from rackvalve.workspaces import directory

TICK_S = 0.1
LONG_S = 20.0
ONE = fleet.Resources(cpu=1, memory=0, gpu=0)
ON = policies.Policy(evacuation=True)


def start_tasks(context, count, step, capacity):
    names = [f"a{number}" for number in range(count)]
    bench = context.bench = benches.Bench(names, capacity=capacity)
    bench.cluster.policy = ON
    for name in names:
        halls.put_in_hall(bench, name, "a")
    context.state = bench.add(step)
    for order in bench.start_all():
        bench.placed(order).run.percent = 100


@behave.given(
    "6 lasting tasks in hall a of which {most:d} may be away, and {there:d} "
    "workers in hall b"
)
def make_halls(context, most, there):
    step = definition.Step(tasks=6, cpu=1, lasting=True, most_away=most)
    start_tasks(context, 6, step, ONE)
    cluster = context.bench.cluster
    known = cluster.workers["a0"].entry
    for name in (f"b{number}" for number in range(there)):
        context.bench.numbers[name] = 0
        entry = dataclasses.replace(known, identity=name, vm=name, hall="b")
        cluster.set_entry(entry)
        context.bench.report(name)


def lower_bound(context):
    """Bound the job's workspace to one task less than it runs."""
    cluster = context.bench.cluster
    context.state.workspace = "north"
    bound = dataclasses.replace(ONE, cpu=5)
    north = account.Workspace(name="north", rate=1.0, bound=bound)
    cluster.configuration = dataclasses.replace(
        cluster.configuration, workspaces=directory.Directory([north])
    )
    cluster.usage.add("north", dataclasses.replace(ONE, cpu=6))


def add_bounded(context):
    """Add a job with as many tasks, which its workspace may not start."""
    cluster = context.bench.cluster
    south = account.Workspace(name="south", rate=1.0, bound=ONE)
    cluster.configuration = dataclasses.replace(
        cluster.configuration, workspaces=directory.Directory([south])
    )
    cluster.usage.add("south", ONE)
    step = definition.Step(tasks=6, cpu=1, lasting=True)
    state = context.bench.add(step, identity="b" * 16)
    state.workspace = "south"


def step_cluster(context, silent):
    """Carry out one round of the planner's orders."""
    bench = context.bench
    bench.now += TICK_S
    for name, worker in bench.cluster.workers.items():
        if name != silent:
            worker.last_alive_at = worker.last_answer_at = bench.now
            worker.note_extension(bench.now, timing.WORKER_LEASE_S)
        for placed in worker.runs.values():
            if bench.now - placed.run.since > 5 * TICK_S:
                placed.run.percent = 100
    bench.start_all()
    tasks = context.state.tasks.values()
    ready = sum(
        any(r.percent == 100 and not r.stop_wanted for r in task.runs.values())
        for task in tasks
    )
    context.away = max(context.away, len(tasks) - ready)
    for order in bench.stops():
        bench.cluster.orders.remove(order)
        ended = (order.task, order.run, messages.Ending.CUT_SHORT)
        bench.report(order.worker, ended=[ended])
    bench.start_all()
    context.waited += sum(
        context.state.tasks[name].not_before <= bench.now
        for name in context.state.waiting
    )


@behave.when("halls a and z are evacuated {how}")
def evacuate(context, how):
    cluster = context.bench.cluster
    cluster.halls = frozenset({"a", "b"})
    seconds = float(how.split()[1]) if how.startswith("for ") else 3.0
    silent = "a0" if "reach" in how else ""
    if silent:
        cluster.workers[silent].last_alive_at -= eviction.SILENCE_S + TICK_S
    if "bound" in how:
        lower_bound(context)
    if "off" in how:
        cluster.policy = policies.DEFAULT
    if "at its bound" in how:
        add_bounded(context)
    context.away = context.waited = 0
    context.events = []
    reporter = evacuation_reporter.EvacuationReporter(
        cluster, telemetries.Telemetry()
    )

    def note(event, **fields):
        context.events.append((event, fields["evacuated_hall"], fields))

    with mock.patch.multiple(logs, write_event=note, write_warning=note):
        cluster.set_evacuated(frozenset({"a", "z"}))
        for number in range(round((seconds + LONG_S * (not silent)) / TICK_S)):
            if number == round(seconds / TICK_S):
                cluster.set_evacuated(frozenset())
            step_cluster(context, silent)
            reporter.report(context.bench.now)
    context.seconds = seconds


@behave.then(
    "at most {away:d} were away at a time, none waited for room, and {left:d} "
    "stay in hall a"
)
def check_moves(context, away, left):
    runs = [
        run for t in context.state.tasks.values() for run in t.runs.values()
    ]
    context.left = sum(run.worker.startswith("a") for run in runs)
    found = (context.away, context.waited, context.left)
    assert found == (away, 0, left), found


@behave.then(
    "the log tells this progress once a second, and rejects hall z once"
)
def check_log(context):
    names = [event[:2] for event in context.events]
    on = context.bench.cluster.policy is ON
    assert names.count(("evacuation.begun", "a")) == on, names
    assert names.count(("evacuation.rejected", "z")) == on, names
    told = [e[2]["lasting"] for e in context.events if "progress" in e[0]]
    assert told == sorted(told, reverse=True), told
    assert len(told) <= context.seconds + 1 and (told or not on), told
    if context.seconds == LONG_S:
        assert told[-1] == context.left, told


@behave.given(
    "16 VMs in hall a with a task each of 9 of 16 cores, and 30 spare VMs in "
    "hall b"
)
def make_pool(context):
    step = definition.Step(tasks=16, cpu=9, lasting=True)
    start_tasks(context, 16, step, dataclasses.replace(ONE, cpu=16))
    cluster = context.bench.cluster
    vms.make_pools(cluster)
    planner = maintenance.MaintenancePlanner(cluster)
    listed = [vms.list_vm(name, hall="a") for name in cluster.workers]
    spares = [f"b{number}" for number in range(30)]
    listed += [vms.list_vm(vm, vms.SPARE, "", hall="b") for vm in spares]
    planner.take_list(listed, context.bench.now)
    detector = failure_detector.FailureDetector(cluster, planner)
    context.sizer = sizing.Sizer(cluster, planner, detector)


@behave.then("the pool gets {count:d} VMs when hall a is evacuated")
def check_growth(context, count):
    context.bench.cluster.set_evacuated(frozenset({"a"}))
    moves = context.sizer.decide(context.bench.now)
    found = sum(move.pool == models.POOL for move in moves)
    assert found == count, found


@behave.then(
    "its first {count:d} orders are the last VMs, when these are evacuated"
)
def check_first(context, count):
    cluster, inside = context.bench.cluster, context.vms[-4:]
    cluster.policy = ON
    cluster.set_evacuated(frozenset({"a"}))
    listed = [
        vms.list_vm(vm, hall="a" if vm in inside else "b")
        for vm in context.vms
    ]
    context.maintenance.take_list(listed, context.bench.now)
    orders = context.maintenance.decide(context.bench.now)
    assert [order.vm for order in orders] == inside[:count], orders


@behave.then(
    "only the last VMs are closed, when these are evacuated and {shortage}"
)
def check_closed(context, shortage):
    cluster, inside = context.bench.cluster, context.vms[-4:]
    cluster.policy = ON
    cluster.set_evacuated(frozenset({"a"}))
    listed = [
        vms.list_vm(vm, hall="a" if vm in inside else "b")
        for vm in context.vms
    ]
    planner, is_short = context.maintenance, "short" in shortage
    planner.take_list(listed, context.bench.now)
    orders = planner.decide(
        context.bench.now, short=is_short, reserved=0 if is_short else 9
    )
    assert [order.vm for order in orders] == inside[:2], orders
    closed = planner.list_leaving()
    assert closed and closed <= set(inside), closed
