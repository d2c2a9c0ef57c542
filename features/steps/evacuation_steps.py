"""Steps about halls that are evacuated."""

from __future__ import annotations

import dataclasses
import time

import behave

from features import job_bench as benches
from features import job_models as models
from features.steps import site_steps
from rackvalve.jobs import definition
from rackvalve.manager import view as views
from rackvalve.platform import store as stores
from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import fleet
from rackvalve.scheduling import maintenance
from rackvalve.scheduling import messages
from rackvalve.scheduling import policy as policies
from rackvalve.scheduling import queues
from rackvalve.scheduling import sizing

PREFIX = "op/evacuate/"
SPARE = "spare"
HALL_KEY = PREFIX + "hall-1"
STEP = definition.Step(tasks=6, cpu=1)
# Time after an evacuation is ordered within which starts are still allowed.
EVACUATION_DELAY_S = 1.0


def make_item(revision, hall):
    return stores.Item(
        key=PREFIX + hall, payload=b"{}", revision=revision, created=revision
    )


def change(view, written=(), removed=()):
    view.apply_changes(
        stores.Changes(
            written=tuple(written),
            removed=tuple((PREFIX + hall, at) for at, hall in removed),
            revision=9,
        )
    )


CHANGES = {
    "a and b are read": lambda v: v.apply_range(
        (make_item(1, "a"), make_item(2, "b"))
    ),
    "a is asked": lambda v: change(v, [make_item(3, "a")]),
    "a is taken back": lambda v: change(v, [], [(4, "a")]),
    "a is asked and taken back": lambda v: change(
        v, [make_item(5, "a")], [(6, "a")]
    ),
    "b is taken back and asked": lambda v: change(
        v, [make_item(8, "b")], [(7, "b")]
    ),
    "only c is read": lambda v: v.apply_range((make_item(9, "c"),)),
    "nothing is read": lambda v: v.apply_range(()),
    "one without a name is read": lambda v: v.apply_range((make_item(9, ""),)),
}


@behave.then("these changes leave these halls evacuated")
def check_view(context):
    view = views.View()
    wrong = []
    for row in context.table:
        CHANGES[row["change"]](view)
        if view.evacuated != set(row["evacuated"].split()):
            wrong.append((row["change"], sorted(view.evacuated)))
    assert not wrong, wrong


def put_in_hall(bench, name, hall):
    """Set the hall in a worker's entry."""
    entry = bench.cluster.workers[name].entry
    bench.cluster.set_entry(dataclasses.replace(entry, hall=hall))


@behave.given(
    "a pool of 2 workers in hall a and 1 in hall b, and a job of 6 tasks"
)
def make_pool(context):
    context.bench = benches.Bench(["w1", "w2", "w3"])
    for name, hall in (("w1", "a"), ("w2", "a"), ("w3", "b")):
        put_in_hall(context.bench, name, hall)
    context.bench.add(STEP)


@behave.when("hall a is evacuated and the job is planned")
def evacuate(context):
    context.bench.cluster.set_evacuated(frozenset({"a"}))
    plan(context)


@behave.when("a worker comes in hall a and the job is planned")
def add_worker(context):
    bench = context.bench
    known = bench.cluster.workers["w1"].entry
    bench.cluster.set_entry(dataclasses.replace(known, identity="w4", vm="w4"))
    bench.numbers["w4"] = 0
    bench.report("w4")
    plan(context)


@behave.when(
    "it is planned with the part {switch}, and {event} before it is recorded"
)
def plan_late(context, switch, event):
    bench = context.bench
    bench.cluster.policy = policies.Policy(evacuation=switch == "on")
    bench.planner.plan(bench.now, bench.now)
    if "evacuated" in event:
        bench.cluster.set_evacuated(frozenset({"a"}))
    for name in ("w1", "w2") if "drain" in event else ():
        entry = bench.cluster.workers[name].entry
        bench.cluster.set_entry(dataclasses.replace(entry, draining=True))
    for state in bench.cluster.jobs.values():
        planned = state.list_planned()
        assert len(planned) == STEP.tasks
        bench.cluster.order_recorded(state.identity, planned, bench.now)


@behave.then("{count:d} starts are sent to the workers of hall a")
def check_sent(context, count):
    sent = [
        order.worker
        for order in context.bench.cluster.orders
        if isinstance(order, messages.StartRun)
    ]
    assert sum(name != "w3" for name in sent) == count, sent


@behave.when("hall a is taken back and the job is planned")
def end_evacuation(context):
    context.bench.cluster.set_evacuated(frozenset())
    plan(context)


def plan(context):
    bench = context.bench
    bench.plan()
    context.halls = [
        bench.cluster.workers[order.worker].entry.hall
        for order in bench.starts()
    ]


@behave.then("all starts are in hall b")
def check_elsewhere(context):
    assert set(context.halls) <= {"b"}, context.halls


@behave.then("a start is in hall a")
def check_back(context):
    assert "a" in context.halls, context.halls


@behave.given("4 VMs of a pool in hall a, and spare ones in halls a and b")
def make_vms(context):
    names = [f"w{n}" for n in range(4)]
    bench = context.bench = benches.Bench(names)
    for name in names:
        put_in_hall(bench, name, "a")
    configuration = models.CONFIGURATION
    spare = queues.Pool(name=SPARE, spare=True)
    bench.cluster.set_configuration(
        dataclasses.replace(
            configuration, pools={**configuration.pools, SPARE: spare}
        )
    )
    context.maintenance = maintenance.MaintenancePlanner(bench.cluster)
    vms = [make_vm(name, models.POOL, "a", worker=name) for name in names]
    vms += [make_vm(f"a{n}", SPARE, "a") for n in range(9)]
    vms += [make_vm(f"b{n}", SPARE, "b") for n in range(9)]
    context.maintenance.take_list(vms, bench.now)
    context.sizing = sizing.Sizer(
        bench.cluster,
        context.maintenance,
        failure_detector.FailureDetector(bench.cluster, context.maintenance),
    )


def make_vm(name, pool, hall, worker=""):
    up = fleet.Condition.UP if worker else fleet.Condition.DOWN
    return fleet.Vm(
        identity=name, pool=pool, condition=up, worker=worker, hall=hall
    )


@behave.when("hall a is evacuated and work for 2 VMs waits")
def evacuate_busy(context):
    bench = context.bench
    bench.cluster.set_evacuated(frozenset({"a"}))
    bench.add(definition.Step(tasks=8, cpu=1))
    context.moves = context.sizing.decide(bench.now)


@behave.then("only VMs of hall b are moved, and as many as the pool needs")
def check_moves(context):
    size = context.sizing.pools[models.POOL]
    moved = [move.vm for move in context.moves if move.pool == models.POOL]
    assert moved and all(vm.startswith("b") for vm in moved), moved
    assert len(moved) == size.wanted, (moved, size.wanted)


@behave.then("no VM of hall a is given away")
def check_kept(context):
    assert not context.sizing.list_leaving()


@behave.when(
    "its only hall is evacuated, the owner is killed and 4 jobs are handed in"
)
def evacuate_all(context):
    site = context.own_fleet
    site.order({"put": HALL_KEY, "value": {}})
    time.sleep(EVACUATION_DELAY_S)
    site.owner()["process"].kill()
    for _ in range(4):
        site_steps.submit(context)


@behave.then("no task starts for {seconds:d} s")
def check_no_start(context, seconds):
    time.sleep(seconds)
    assert not site_steps.read_runs(context)


@behave.when("the hall is taken back")
def end_hall_evacuation(context):
    context.own_fleet.order({"drop": HALL_KEY})
