"""Steps about room for tasks that would leave their workers."""

from __future__ import annotations

import behave

from features import job_bench as benches
from features import job_models as models
from features.steps import reservation_steps
from rackvalve.jobs import definition
from rackvalve.scheduling import crashes
from rackvalve.scheduling import evacuation
from rackvalve.scheduling import fleet

OTHER = f"{9:016x}"
GANG = f"{8:016x}"
CORE = fleet.Resources(cpu=1, memory=0, gpu=0)


@behave.given("a run on one of two workers, and another worker {how}")
def make_pair(context, how):
    labels = {"w0": ("kind",), "w1": ("kind",)}
    if how == "without its label":
        labels["w1"] = ()
    bench = context.bench = benches.Bench(["w0", "w1"], labels=labels)
    has_sibling = "of its step" in how
    step = definition.Step(
        tasks=2 if has_sibling else 1,
        cpu=1,
        labels=("kind",),
        most_per_worker=1,
    )
    context.state = bench.add(step)
    orders = bench.start_all()
    context.placed = bench.placed(orders[0])
    context.other = ({"w0", "w1"} - {context.placed.run.worker}).pop()
    if how == "without its label":
        assert context.other == "w1"
    if "reserved" in how:
        view = bench.planner._refresh_view(models.POOL, bench.now)
        view.reserved = {context.other: bench.add(step, identity=OTHER)}
    if "isolates" in how:
        isolate(bench, context.other)
    if "admi" in how:
        reservation_steps.admit_none(bench)
        admit(context, how)
    if "removed" in how:
        del bench.cluster.queues[context.state.queue]


def isolate(bench, name):
    """Have a worker isolate a run of another job."""
    state = bench.add(definition.Step(tasks=1, cpu=1), identity=OTHER)
    (task,) = state.tasks.values()
    task.crashes = crashes.LAST_START_FROM
    number = state.take_run_number()
    worker = bench.cluster.workers[name]
    crashes.isolate(worker, state, task, number)
    bench.cluster.place(state, task, worker, number, bench.now)


def admit(context, how):
    """Have the admission service admit one worker of the run's step."""
    admitted = {
        "that is not admitted": {context.placed.run.worker: "ticket"},
        "that is admitted": {context.other: "ticket"},
    }
    tickets = context.bench.planner.tickets
    tickets[context.state.step_name(0, 0)] = admitted.get(how, {})


@behave.then("it {has} room elsewhere")
def check_room(context, has):
    bench = context.bench
    found = bench.planner._has_room_elsewhere(context.placed, bench.now)
    assert found == (has == "has"), found


@behave.given(
    "a pool with room for 4 tasks, and a lasting gang of {tasks:d} that waits"
)
def make_gang(context, tasks):
    names = [f"w{number}" for number in range(4)]
    bench = context.bench = benches.Bench(names, capacity=CORE)
    step = definition.Step(tasks=tasks, cpu=1, gang=True, lasting=True)
    bench.add(step, identity=GANG)
    step = definition.Step(tasks=4, cpu=1, lasting=True)
    context.state = bench.add(step)
    context.leaving = list(context.state.tasks.values())


@behave.then("there is room for {count:d} tasks that leave an evacuated hall")
def check_left(context, count):
    bench, state = context.bench, context.state
    for task in context.leaving:
        # They do not wait, so that the gang alone takes room.
        task.done = True
    members = list(bench.cluster.workers.values())
    room = evacuation.measure_room(
        bench.cluster, models.POOL, members, (), lambda *step: None
    )
    taken = [room.take(state, task) for task in context.leaving]
    assert taken.count(True) == count, taken
