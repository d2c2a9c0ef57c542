"""Steps about maintenance waves, paced tasks and admission."""

from __future__ import annotations

import dataclasses

import behave

from features import job_bench as benches
from features import job_models as models
from features import vm_bench as vms
from rackvalve.jobs import definition
from rackvalve.scheduling import eviction
from rackvalve.scheduling import fleet
from rackvalve.scheduling import maintenance
from rackvalve.scheduling import messages
from rackvalve.scheduling import pacing
from rackvalve.scheduling import queues
from rackvalve.scheduling import sizing

AWAY_S = 1.0


@behave.given(
    "a pool of {count:d} VMs and a wave over all of them that bears "
    "{most:d} away"
)
def make_wave(context, count, most):
    context.vms = [f"w{number}" for number in range(count)]
    context.bench = benches.Bench(context.vms)
    vms.make_pools(context.bench.cluster)
    context.maintenance = maintenance.MaintenancePlanner(context.bench.cluster)
    context.wave = fleet.Wave(
        number=1, vms=tuple(context.vms), duration=60.0, most_away=most
    )
    context.maintenance.add_wave(context.wave, context.bench.now)
    context.maintenance.take_list(
        [vms.list_vm(vm) for vm in context.vms], context.bench.now
    )
    context.most = most


@behave.when("the wave is carried out to its end")
def run_wave(context):
    bench = context.bench
    context.orders, context.busy = [], []
    context.greatest, context.early = 0, False
    context.incarnations = {vm: vm for vm in context.vms}
    # When each VM that is away is back.
    context.back = {}
    state = context.maintenance.waves[1]
    for number in range(600):
        bench.now += 0.1
        if number % 10 == 0:
            identity = f"{number:016x}"
            bench.add(definition.Step(cpu=1), identity=identity)
        do_work(context)
        maintain_chosen(context)
        context.greatest = max(context.greatest, len(context.back))
        context.early |= state.complete and len(context.orders) < len(
            context.vms
        )
        bring_back(context)
        close_and_list(context)
        end_long_work(context)


def do_work(context):
    """Start planned tasks, end half of them, and let all workers report."""
    bench = context.bench
    for order in bench.start_all():
        # Half of the tasks end at once, the others later.
        if order.run % 2:
            bench.end(order, messages.Ending.DONE)
    for vm, incarnation in context.incarnations.items():
        if vm not in context.back:
            bench.report(incarnation, bench.rows(incarnation))


def maintain_chosen(context):
    """Carry out the orders to VMs, and note the runs on them."""
    bench, planner = context.bench, context.maintenance
    for order in planner.decide(bench.now):
        worker = bench.cluster.workers[context.incarnations[order.vm]]
        context.busy.extend(worker.runs)
        context.orders.append(order.vm)
        planner.note_ordered(order, bench.now)
        bench.end_incarnation(worker.identity)
        context.back[order.vm] = bench.now + AWAY_S


def bring_back(context):
    """Start new incarnations on VMs whose maintenance is over."""
    bench, incarnations = context.bench, context.incarnations
    for vm, time in list(context.back.items()):
        if bench.now >= time:
            del context.back[vm]
            incarnations[vm] += "x"
            bench.numbers[incarnations[vm]] = 0
            entry = dataclasses.replace(
                models.FakeWorker(
                    models.World(), incarnations[vm], models.Rules(), 1.0
                ).entry(),
                vm=vm,
            )
            bench.cluster.set_entry(entry)
            bench.report(incarnations[vm])


def close_and_list(context):
    """Close or reopen workers by their VMs, and list all VMs."""
    bench, planner = context.bench, context.maintenance
    for worker in bench.cluster.workers.values():
        vm = worker.entry.vm
        worker.close_reason = (
            maintenance.CLOSED if vm in planner.list_leaving() else ""
        )
    planner.take_list(
        [
            vms.list_vm(vm, worker=incarnation, up=vm not in context.back)
            for vm, incarnation in context.incarnations.items()
        ],
        bench.now,
    )


def end_long_work(context):
    """End work that lasts too long for the wave's grace period."""
    bench = context.bench
    for incarnation in context.incarnations.values():
        worker = bench.cluster.workers.get(incarnation)
        runs = list(worker.runs.values()) if worker is not None else []
        for placed in runs:
            if bench.now - placed.run.since > 2.0:
                bench.cluster.release(placed, bench.now)
                placed.task.done = True


@behave.then(
    "at most {most:d} VMs were away at once and each was maintained once"
)
def check_wave(context, most):
    assert context.greatest <= most
    assert sorted(context.orders) == sorted(context.vms), context.orders


@behave.then("no VM was maintained with work on it")
def check_empty(context):
    assert not context.busy


@behave.then("the wave is complete only after the last of them")
def check_complete(context):
    assert not context.early
    assert context.maintenance.waves[1].complete


@behave.when(
    "the platform's list still names the old incarnation of a VM that has work"
)
def work_on_new_incarnation(context):
    bench = context.bench
    bench.add(definition.Step(tasks=2, cpu=4))
    orders = bench.start_all()
    assert len(orders) == 2
    context.maintenance.take_list(
        [vms.list_vm(vm, worker=f"old-{vm}") for vm in context.vms], bench.now
    )


@behave.then("that VM is not maintained")
def check_not_maintained(context):
    assert not context.maintenance.decide(context.bench.now)


@behave.given(
    "a worker on which a run has worked for {age:d} s and is at {percent:d} %"
)
def make_run(context, age, percent):
    context.bench = benches.Bench(["w1"])
    context.bench.add(definition.Step(cpu=1))
    (order,) = context.bench.start_all()
    context.bench.placed(order).run.percent = float(percent)
    context.bench.now += age


@behave.when("its VM is to leave for {reason}")
def vacate(context, reason):
    grace = {
        "maintenance": maintenance.GRACE_S,
        "surplus": sizing.GRACE_S,
    }
    eviction.vacate(
        context.bench.cluster,
        context.bench.cluster.workers["w1"],
        grace[reason],
        context.bench.now,
    )


@behave.then("the run {answer} ordered to stop")
def check_vacated(context, answer):
    assert len(context.bench.stops()) == (answer == "is")


def collect_orders(context, tenths):
    """Let time pass, and return the VMs that were ordered meanwhile."""
    found = set()
    for _ in range(tenths):
        context.bench.now += 0.1
        for order in context.maintenance.decide(context.bench.now):
            found.add(order.vm)
    return found


@behave.when("an owner that had ordered 1 VM and finished 2 is replaced")
def restore(context):
    ordered, *done = context.vms[:3]
    context.maintenance.restore(1, [ordered], done, context.bench.now)
    context.expected = {ordered}


@behave.then("the ordered VM is ordered again and the finished ones are not")
def check_restored(context):
    found = collect_orders(context, 3)
    assert found == context.expected, found


@behave.when(
    "each VM runs a task of a step of which another one is away for good"
)
def block_wave(context):
    bench = context.bench
    # One task more than fits.
    step = definition.Step(
        tasks=len(context.vms) + 1,
        cpu=models.CAPACITY.cpu,
        lasting=True,
        most_away=1,
    )
    bench.add(step)
    for order in bench.start_all():
        bench.placed(order).run.percent = 100.0
    # For how long each VM has been closed, and the longest such time.
    closed, context.stretch, context.ever = {}, 0.0, set()
    for _ in range(600):
        bench.now += 0.1
        for worker in bench.cluster.workers.values():
            worker.last_alive_at = bench.now
        assert not context.maintenance.decide(bench.now) and not bench.stops()
        leaving = context.maintenance.list_leaving()
        context.ever |= leaving
        closed = {vm: closed.get(vm, 0.0) + 0.1 for vm in leaving}
        context.stretch = max(context.stretch, *closed.values(), 0.0)


@behave.then(
    "no VM is closed for longer than {most:d} seconds without a break"
)
def check_stretch(context, most):
    assert 0 < context.stretch <= most + 0.2, context.stretch


@behave.then("each VM of the wave is closed once in 60 seconds")
def check_ever(context):
    assert context.ever == set(context.vms), context.ever


@behave.when("{count:d} of the VMs are down for good")
def lose_vms(context, count):
    context.lost = set(context.vms[:count])
    context.found = []
    for _ in range(300):
        context.bench.now += 0.1
        context.maintenance.take_list(
            [vms.list_vm(vm, lost=vm in context.lost) for vm in context.vms],
            context.bench.now,
        )
        for order in context.maintenance.decide(context.bench.now):
            context.found.append(order.vm)
            if order.vm in context.lost:
                context.maintenance.note_refused(
                    order, context.bench.now, for_good=False
                )
            else:
                context.maintenance.note_ordered(order, context.bench.now)


@behave.then("only the others are ordered within 30 seconds")
def check_others_ordered(context):
    assert set(context.found) == set(context.vms) - context.lost, context.found


@behave.when("{count:d} of the VMs were ordered lately by another owner")
def hold_vms(context, count):
    context.maintenance.held = frozenset(context.vms[:count])


@behave.then("no VM is maintained while these are left alone")
def check_none_ordered(context):
    assert not collect_orders(context, 50)


@behave.then("only the other VM is maintained")
def check_held(context):
    found = collect_orders(context, 50)
    assert found == set(context.vms[3:]), found


@behave.then(
    "{few:d} of its VMs are closed at once while it is in time, and {many:d} "
    "later"
)
def check_late(context, few, many):
    state = context.maintenance.waves[1]
    bench = context.bench
    for vm in context.vms:
        # So that no VM is empty and ordered at once.
        bench.add(definition.Step(cpu=1), identity=f"{vm:0>16}")
    bench.start_all()
    aim = state.began + maintenance.PLANNED_PART * state.wave.duration
    bench.now = aim - 0.5
    context.maintenance.decide(bench.now)
    assert len(state.closed) == few, state.closed
    bench.now = aim + 0.5
    context.maintenance.decide(bench.now)
    assert len(state.closed) == many, state.closed


@behave.when(
    "a lasting step of {count:d} small tasks runs there, at most {most:d} on "
    "a worker"
)
def spread_tasks(context, count, most):
    context.state = context.bench.add(
        definition.Step(tasks=count, cpu=1, lasting=True, most_per_worker=most)
    )
    assert len(context.bench.start_all()) == count


@behave.then("at most 1 VM is closed at a time")
def check_closed_at_once(context):
    context.maintenance.decide(context.bench.now)
    assert len(context.maintenance.list_leaving()) == 1


@behave.given(
    "a serving task with a limit of {limit:d} ms beside a filling task"
)
def make_shared(context, limit):
    context.bench = benches.Bench(["w1"])
    context.bench.add(
        definition.Step(lasting=True, tail_limit=limit / 1000),
        identity="1" * 16,
    )
    context.bench.add(
        definition.Step(lasting=True, uses_leftover=True), identity="2" * 16
    )
    context.placed = {
        order.job[0]: context.bench.placed(order)
        for order in context.bench.start_all()
    }


@behave.when("its tail is {tail:d} ms and the pace is {pace:d}")
def set_tail(context, tail, pace):
    context.placed["1"].run.load = float(tail)
    context.placed["2"].run.pace = pace
    context.orders = pacing.set_paces(
        context.bench.cluster.workers["w1"], context.bench.now, 0.1
    )


@behave.then("the pace becomes {new:d}")
def check_pace(context, new):
    assert context.placed["2"].run.pace == new
    assert context.placed["1"].run.pace == pacing.FULL_PACE
    for order in context.orders:
        assert order.percent == new and order.task.startswith("2" * 16)


@behave.given("3 workers of a queue with an admission service")
def make_admitted(context):
    context.bench = benches.Bench(["w1", "w2", "w3"])
    advice = queues.AdmissionLimits(
        decide_time=0.1, worker_time=0.01, valid=3.0
    )
    context.bench.cluster.set_configuration(
        dataclasses.replace(
            models.CONFIGURATION,
            queues=(dataclasses.replace(models.QUEUE, admission=advice),),
        )
    )
    context.bench.add(definition.Step(cpu=1))


@behave.then("nothing is placed without a ticket")
def check_no_ticket(context):
    assert not context.bench.start_all()


@behave.then("a task goes to the admitted worker and brings its ticket")
def check_ticket(context):
    step = f"{benches.IDENTITY}.0.0"
    context.bench.planner.tickets[step] = {"w2": "ticket"}
    (order,) = context.bench.start_all()
    assert order.worker == "w2"
    assert context.bench.placed(order).run.ticket == "ticket"
