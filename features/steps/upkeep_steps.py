"""Steps about waves, sizes of pools, shared workers and admission."""

from __future__ import annotations

import dataclasses

import behave

from features import job_bench as benches
from features import job_models as models
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import eviction
from rackvalve.scheduling import fleet
from rackvalve.scheduling import messages
from rackvalve.scheduling import queues
from rackvalve.scheduling import sharing
from rackvalve.scheduling import sizing
from rackvalve.scheduling import upkeep

OTHER = "other"
SPARE = "spare"
AWAY_S = 1.0
WIDE = fleet.Room(cpu=4, memory=4, gpu=0)


def make_pools(book, *names):
    book.set_configuration(
        dataclasses.replace(
            models.CONFIGURATION,
            pools={
                name: queues.Pool(name=name, guarded=True, spare=name == SPARE)
                for name in (models.POOL, SPARE, *names)
            },
        )
    )


def list_vm(identity, pool=models.POOL, worker=None, up=True):
    return upkeep.Vm(
        identity=identity,
        pool=pool,
        up=up,
        worker=identity if worker is None else worker,
    )


@behave.given(
    "a pool of {count:d} VMs and a wave over all of them that bears "
    "{most:d} away"
)
def make_wave(context, count, most):
    context.vms = [f"w{number}" for number in range(count)]
    context.bench = benches.Bench(context.vms)
    make_pools(context.bench.book)
    context.upkeep = upkeep.Upkeep(context.bench.book)
    context.wave = fleet.Wave(
        number=1, vms=tuple(context.vms), duration=60.0, most_away=most
    )
    context.upkeep.add_wave(context.wave, context.bench.now)
    context.upkeep.take_list(
        [list_vm(vm) for vm in context.vms], context.bench.now
    )
    context.most = most


@behave.when("the wave is carried out to its end")
def run_wave(context):
    bench = context.bench
    context.orders, context.busy = [], []
    context.greatest, context.early = 0, False
    context.lives = {vm: vm for vm in context.vms}
    # When each VM that is away comes back.
    context.back = {}
    state = context.upkeep.waves[1]
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
    """Start what is planned, end half of it, and let all workers report."""
    bench = context.bench
    for order in bench.start_all():
        # Half of the tasks end at once, the others later.
        if order.run % 2:
            bench.end(order, messages.Ending.DONE)
    for vm, life in context.lives.items():
        if vm not in context.back:
            bench.report(life, bench.rows(life))


def maintain_chosen(context):
    """Carry out the orders to VMs, and note what ran on them."""
    bench, care = context.bench, context.upkeep
    for order in care.decide(bench.now):
        worker = bench.book.workers[context.lives[order.vm]]
        context.busy.extend(worker.runs)
        context.orders.append(order.vm)
        care.note_ordered(order, bench.now)
        bench.book.end_life(worker.identity, bench.now)
        context.back[order.vm] = bench.now + AWAY_S


def bring_back(context):
    """Begin new lives on VMs whose maintenance is over."""
    bench, lives = context.bench, context.lives
    for vm, time in list(context.back.items()):
        if bench.now >= time:
            del context.back[vm]
            lives[vm] += "x"
            bench.numbers[lives[vm]] = 0
            entry = dataclasses.replace(
                models.FakeWorker(
                    models.World(), lives[vm], models.Rules(), 1.0
                ).entry(),
                vm=vm,
            )
            bench.book.set_entry(entry)
            bench.report(lives[vm])


def close_and_list(context):
    """Tell workers whether they are closed, and list all VMs."""
    bench, care = context.bench, context.upkeep
    for worker in bench.book.workers.values():
        vm = worker.entry.vm
        worker.closing = upkeep.CLOSED if vm in care.leaving() else ""
    care.take_list(
        [
            list_vm(vm, worker=life, up=vm not in context.back)
            for vm, life in context.lives.items()
        ],
        bench.now,
    )


def end_long_work(context):
    """End work that lasts too long for the wave's patience."""
    bench = context.bench
    for life in context.lives.values():
        worker = bench.book.workers.get(life)
        runs = list(worker.runs.values()) if worker is not None else []
        for placed in runs:
            if bench.now - placed.run.since > 2.0:
                bench.book.release(placed, bench.now)
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
    assert context.upkeep.waves[1].complete


@behave.when(
    "the platform's list still names the old life of a VM that has work"
)
def work_on_new_life(context):
    bench = context.bench
    bench.add(definition.Step(tasks=2, cpu=4))
    orders = bench.start_all()
    assert len(orders) == 2
    context.upkeep.take_list(
        [list_vm(vm, worker=f"old-{vm}") for vm in context.vms], bench.now
    )


@behave.then("that VM is not maintained")
def check_not_maintained(context):
    assert not context.upkeep.decide(context.bench.now)


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
    patience = {
        "maintenance": upkeep.PATIENCE_S,
        "surplus": sizing.PATIENCE_S,
    }
    eviction.vacate(
        context.bench.book,
        context.bench.book.workers["w1"],
        patience[reason],
        context.bench.now,
    )


@behave.then("the run {answer} ordered to stop")
def check_vacated(context, answer):
    assert len(context.bench.stops()) == (answer == "is")


@behave.when("an owner that had ordered 1 VM and finished 2 is replaced")
def restore(context):
    ordered, *done = context.vms[:3]
    context.upkeep.restore(1, [ordered], done)
    context.expected = {ordered}


@behave.then("the ordered VM is ordered again and the finished ones are not")
def check_restored(context):
    found = set()
    for _ in range(3):
        context.bench.now += 0.1
        for order in context.upkeep.decide(context.bench.now):
            found.add(order.vm)
    assert found == context.expected, found


@behave.when("{count:d} of the VMs were ordered lately by another owner")
def hold_vms(context, count):
    context.upkeep.held = frozenset(context.vms[:count])


@behave.then("only the other VM is maintained")
def check_held(context):
    found = set()
    for _ in range(50):
        context.bench.now += 0.1
        for order in context.upkeep.decide(context.bench.now):
            found.add(order.vm)
    assert found == set(context.vms[3:]), found


@behave.given("a pool of {count:d} VMs and {spares:d} spare VMs")
def make_sizing(context, count, spares):
    names = [f"w{number}" for number in range(count)]
    context.bench = benches.Bench(names, capacity=WIDE)
    make_pools(context.bench.book)
    context.upkeep = upkeep.Upkeep(context.bench.book)
    context.sizing = sizing.Sizing(context.bench.book, context.upkeep)
    context.listed = {name: list_vm(name) for name in names}
    for number in range(spares):
        vm = f"s{number}"
        context.listed[vm] = list_vm(vm, pool=SPARE, worker="")
    context.names = names


@behave.given(
    "a pool of {count:d} VMs, all of them busy, and {spares:d} spare VMs"
)
def make_busy_pool(context, count, spares):
    make_sizing(context, count, spares)
    # As many VMs as the pool keeps for this demand.
    busy = int((count - sizing.RESERVE) / sizing.HEADROOM)
    context.bench.add(definition.Step(tasks=busy, cpu=WIDE.cpu))
    context.bench.start_all()
    assert not step_sizing(context, 1.0)


@behave.when("a wave closes {count:d} of its VMs")
def close_vms(context, count):
    wave = fleet.Wave(
        number=1,
        vms=tuple(context.names[:count]),
        duration=60.0,
        most_away=count,
    )
    context.upkeep.add_wave(wave, context.bench.now)
    context.upkeep.waves[1].closed.update(wave.vms)
    context.moves = step_sizing(context, 0.5)


@behave.then(
    "{few:d} of its VMs are closed at once while it is in time, and {many:d} "
    "later"
)
def check_late(context, few, many):
    state = context.upkeep.waves[1]
    bench = context.bench
    for vm in context.vms:
        # So that no VM is empty and ordered at once.
        bench.add(definition.Step(cpu=1), identity=f"{vm:0>16}")
    bench.start_all()
    aim = state.began + upkeep.AIM * state.wave.duration
    bench.now = aim - 0.5
    context.upkeep.decide(bench.now)
    assert len(state.closed) == few, state.closed
    bench.now = aim + 0.5
    context.upkeep.decide(bench.now)
    assert len(state.closed) == many, state.closed


def step_sizing(context, seconds):
    """Let time pass and collect the moves."""
    moves = []
    until = context.bench.now + seconds
    while context.bench.now < until:
        context.bench.now += 0.1
        context.upkeep.take_list(
            list(context.listed.values()), context.bench.now
        )
        for name in context.names:
            context.bench.report(name, context.bench.rows(name))
        moves.extend(context.sizing.decide(context.bench.now))
    return moves


@behave.when("work for {count:d} VMs waits")
def want_room(context, count):
    context.state = context.bench.add(
        definition.Step(tasks=count, cpu=WIDE.cpu)
    )
    context.moves = step_sizing(context, 0.5)


@behave.then("{count:d} VMs move to the pool")
def check_grown(context, count):
    assert len(context.moves) == count
    assert {move.pool for move in context.moves} == {models.POOL}
    for move in context.moves:
        context.listed[move.vm] = list_vm(move.vm)
        context.names.append(move.vm)
        context.bench.numbers[move.vm] = 0
        context.bench.book.set_entry(
            models.FakeWorker(
                models.World(), move.vm, models.Rules(), 1.0
            ).entry()
        )


@behave.when("the work is done and some time has passed")
def finish_work(context):
    context.bench.book.cancel_job(benches.IDENTITY, context.bench.now)
    context.moves = step_sizing(
        context, sizing.PEAK_WINDOW_S + sizing.STAY_S + 1.0
    )


@behave.then("the pool goes back to {count:d} VMs")
def check_shrunk(context, count):
    assert {move.pool for move in context.moves} == {SPARE}, context.moves
    assert len(context.names) - len(context.moves) == count
    assert count == sizing.LEAST


@behave.when("a job for {count:d} VMs comes")
def add_wide_job(context, count):
    step_sizing(context, sizing.RISE_WINDOW_S)
    context.bench.add(definition.Step(tasks=count, cpu=WIDE.cpu))
    step_sizing(context, 0.1)


@behave.then("the pool is expected to need {count:d} VMs")
def check_not_rising(context, count):
    size = context.sizing.pools[models.POOL]
    assert size.expected(context.bench.now) == count


@behave.when("{count:d} jobs for 1 VM come each 0.1 s for 0.8 s")
def add_rising_work(context, count):
    context.moves = step_sizing(context, sizing.RISE_WINDOW_S)
    began = context.bench.now
    for number in range(8 * count):
        context.bench.add(
            definition.Step(cpu=WIDE.cpu), identity=f"{number:016x}"
        )
        if number % count == count - 1:
            context.moves.extend(step_sizing(context, 0.1))
    context.come = 8 * count
    context.rate = context.come / (context.bench.now - began)


@behave.then("VMs for {part:d} % of what will come in 1.6 s are on their way")
def check_expected(context, part):
    ordered = len(context.names) + len(context.moves)
    coming = context.come + part / 100 * context.rate * sizing.LEAD_S
    assert abs(ordered - coming) <= 5, (ordered, coming)


@behave.when(
    "a lasting step of {count:d} small tasks runs there, at most {most:d} on "
    "a worker"
)
def spread_tasks(context, count, most):
    context.state = context.bench.add(
        definition.Step(tasks=count, cpu=1, lasting=True, most_per_worker=most)
    )
    assert len(context.bench.start_all()) == count


@behave.then(
    "the pool goes back to {count:d} VMs and each of the {tasks:d} tasks has "
    "a place"
)
def check_spread(context, count, tasks):
    bench, gone = context.bench, set()
    for _ in range(8):
        gone |= {
            move.vm for move in step_sizing(context, sizing.PEAK_WINDOW_S)
        }
        for order in bench.stops():
            bench.book.orders.remove(order)
            placed = bench.placed_run(order)
            bench.book.release(placed, bench.now)
        for name in gone:
            bench.book.workers[name].closing = sizing.SURPLUS
        bench.start_all()
    assert len(context.names) - len(gone) == count, gone
    placed = [run for t in context.state.tasks.values() for run in t.runs]
    assert len(placed) == tasks and not context.state.waiting


@behave.then("at most 1 VM is closed at a time")
def check_closed_at_once(context):
    context.upkeep.decide(context.bench.now)
    assert len(context.upkeep.leaving()) == 1


@behave.when("it gives a VM away and at once lacks room")
def give_and_want(context):
    moves = step_sizing(context, sizing.PEAK_WINDOW_S + 1.0)
    assert moves
    context.gone = {move.vm for move in moves}
    context.bench.add(definition.Step(tasks=6, cpu=WIDE.cpu))
    context.moves = step_sizing(context, 0.5)


@behave.then("the worker of that VM is closed and is not taken back")
def check_closed(context):
    assert context.gone <= context.sizing.departing()
    for vm in context.gone:
        assert context.bench.book.workers[vm].closing == sizing.SURPLUS
        assert not context.bench.book.workers[vm].takes_work(
            context.bench.now, 10.0
        )


@behave.when("work for {count:d} VMs has just ended there")
def end_work(context, count):
    context.bench.add(definition.Step(tasks=count, cpu=WIDE.cpu))
    step_sizing(context, sizing.RISE_WINDOW_S)
    context.bench.book.cancel_job(benches.IDENTITY, context.bench.now)


@behave.when("another pool lacks room")
def want_elsewhere(context):
    queue = dataclasses.replace(models.QUEUE, name="other-queue", pool=OTHER)
    book = context.bench.book
    make_pools(book, OTHER)
    book.set_configuration(
        dataclasses.replace(book.configuration, queues=(models.QUEUE, queue))
    )
    book.set_entry(
        dataclasses.replace(
            book.workers[context.names[0]].entry,
            identity="o0",
            vm="o0",
            pool=OTHER,
        )
    )
    context.listed["o0"] = list_vm("o0", pool=OTHER)
    context.bench.numbers["o0"] = 0
    context.names.append("o0")
    state = progress.JobState(
        "f" * 16,
        "other-queue",
        definition.Job(
            spec="x", steps=(definition.Step(tasks=8, cpu=WIDE.cpu),)
        ),
        context.bench.now,
    )
    book.add_job(state, context.bench.now, context.bench.now, 0.0)
    context.moves = step_sizing(context, 1.0)


@behave.then("empty VMs of the first pool move to the other")
def check_direct(context):
    assert len(context.moves) == 6 - sizing.LEAST
    assert {move.pool for move in context.moves} == {OTHER}


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
def press(context, tail, pace):
    context.placed["1"].run.load = float(tail)
    context.placed["2"].run.pace = pace
    context.orders = sharing.set_paces(
        context.bench.book.workers["w1"], context.bench.now, 0.1
    )


@behave.then("the pace becomes {new:d}")
def check_pace(context, new):
    assert context.placed["2"].run.pace == new
    assert context.placed["1"].run.pace == sharing.FULL_PACE
    for order in context.orders:
        assert order.percent == new and order.task.startswith("2" * 16)


@behave.given("3 workers of a queue with an admission service")
def make_admitted(context):
    context.bench = benches.Bench(["w1", "w2", "w3"])
    advice = queues.Advice(decide_time=0.1, worker_time=0.01, valid=3.0)
    context.bench.book.set_configuration(
        dataclasses.replace(
            models.CONFIGURATION,
            queues=(dataclasses.replace(models.QUEUE, advice=advice),),
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
