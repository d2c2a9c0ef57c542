"""Steps about failure domains."""

from __future__ import annotations

import collections
from unittest import mock

import behave

from features import domain_bench
from features import job_bench as benches
from features import job_models as models
from features import vm_bench as vms
from rackvalve.jobs import definition
from rackvalve.platform import connections
from rackvalve.platform import machines
from rackvalve.scheduling import domains
from rackvalve.scheduling import eviction
from rackvalve.scheduling import fleet
from rackvalve.scheduling import placement
from rackvalve.scheduling import policy as policies
from rackvalve.scheduling import sizing
from rackvalve.scheduling import suspicion
from rackvalve.scheduling import wave_order


@behave.given("the platform lists VMs with these labels")
def list_labels(context):
    rows = ", ".join(
        f'{{"machine": "{row["vm"]}", "state": "up", "labels": '
        f"{row['labels']}}}"
        for row in context.table
    )
    client = mock.Mock()
    client.exchange.return_value = connections.Answer(
        status=200, body=f'{{"machines": [{rows}]}}'.encode()
    )
    context.listed = machines.Machines(client, "vm", timeout=1.0).list_vms()
    context.expected = [row["rack"] for row in context.table]


@behave.then(
    "the list has their racks, and a rack that a worker stated is kept"
)
def check_racks(context):
    assert [vm.rack for vm in context.listed] == context.expected
    cluster = benches.Bench(["b"], racks={"b": "r2"}).cluster
    cluster.remove_incarnation("b")
    # The list does not name this rack.
    cluster.locations.note_list(context.listed)
    places = [cluster.locations.find(vm.identity) for vm in context.listed]
    assert [place.rack for place in places[:3]] == ["r1", "r2", ""]
    # Each VM without a rack is its own domain.
    assert len({place.domain for place in places}) == len(places), places


@behave.given("racks of {sizes} workers in {halls:d} halls")
@behave.given("racks of {sizes} workers in {halls:d} halls {part}")
def make_racks(context, sizes, halls, part="on"):
    """Make racks; 4x5 means four of five workers each."""
    count, _, size = sizes.partition("x")
    numbers = [size] * int(count) if size else sizes.split(", ")
    context.racks = domain_bench.Racks(
        [int(number) for number in numbers], halls, part != "without the part"
    )
    if part != "just taken over":
        context.racks.step(2.0)
        return
    for worker in context.racks.cluster.workers.values():
        worker.last_answer_at = float("-inf")


@behave.given("{spares:d} spare VMs in each, and work for all workers")
def make_busy(context, spares):
    # As much work as keeps the pool at its size.
    tasks = int((len(context.racks.names) - 1) / sizing.HEADROOM)
    context.racks.bench.add(definition.Step(tasks=tasks, cpu=4))
    context.racks.bench.start_all()
    context.racks.add_spares(spares)
    context.racks.step(1.0, size_pools=True)
    assert not context.racks.moves


@behave.when("{places} falls silent for {seconds:g} s")
def fall_silent(context, places, seconds):
    context.racks.dead |= context.racks.find(places)
    context.runs = [
        context.racks.cluster.workers[name].runs.copy()
        for name in sorted(context.racks.dead)
    ]
    pass_time(context, seconds)


@behave.when("{seconds:g} s pass")
def pass_time(context, seconds):
    context.racks.step(seconds, size_pools=bool(context.racks.cluster.jobs))


@behave.when("{places} answer again for {seconds:g} s")
def answer_again(context, places, seconds):
    context.racks.dead -= context.racks.find(places)
    context.racks.step(seconds)


@behave.when("{places} falls silent one by one")
def fall_in_turn(context, places):
    for name in sorted(context.racks.find(places)):
        # Each is dead just after an answer, 0.4 s after the one before.
        context.racks.answer_at[name] = context.racks.bench.now
        context.racks.step(domain_bench.TICK_S)
        context.racks.dead.add(name)
        context.racks.step(0.35)
        assert not context.racks.list_suspected()
    context.racks.step(1.5)


@behave.when("the owner is paused for {seconds:g} s")
def pause(context, seconds):
    # The answers of one rack were due at its pause, and are read last.
    racks = context.racks
    for name in racks.names:
        racks.answer_at[name] = racks.bench.now + seconds
    for name in racks.find("r1"):
        racks.cluster.workers[name].last_answer_at = racks.bench.now - 0.45
        racks.answer_at[name] += 0.1
    racks.bench.now += seconds
    for _ in range(4):
        racks.step(domain_bench.TICK_S)
        assert not racks.list_suspected()


@behave.when("{places} drains, or is ordered away, and falls silent")
def end_as_planned(context, places):
    for number, name in enumerate(sorted(context.racks.find(places))):
        context.racks.set_entry(name, draining=number < 3)
        context.racks.cluster.workers[name].ordered_away = number >= 3
    fall_silent(context, places, 2.0)


@behave.when("the entries of {places} go, and {seconds:g} s pass")
def remove_entries(context, places, seconds):
    for name in context.racks.find(places):
        context.racks.cluster.remove_entry(name, context.racks.bench.now)
    context.racks.step(seconds)


@behave.then("{places} is suspected and {taking:d} workers take work")
def check_suspected(context, places, taking):
    expected = [] if places == "nothing" else places.split(", ")
    found = context.racks.list_suspected()
    assert found == expected, found
    assert context.racks.read_gauge() == len(expected)
    assert len(context.racks.list_taking()) == taking


@behave.then("{count:d} VMs have moved to the pool, none of them of {rack}")
def check_moved(context, count, rack):
    moved = [move.vm for move in context.racks.moves]
    assert len(moved) == count, moved
    assert not any(vm.startswith(rack) for vm in moved), moved


@behave.then("no run on {places} was released or stopped")
def check_kept(context, places):
    names = sorted(context.racks.find(places))
    runs = [context.racks.cluster.workers[name].runs for name in names]
    assert runs == context.runs and any(runs)
    assert not context.racks.bench.stops()


def _place(context, step, names, identity="e" * 16):
    racks = context.racks
    context.state = racks.bench.add(step, identity=identity)
    tasks = list(context.state.tasks.values())
    for task, name in zip(tasks, names, strict=False):
        worker = racks.cluster.workers[name]
        number = context.state.take_run_number()
        racks.cluster.place(
            context.state, task, worker, number, racks.bench.now
        )
    return tasks[len(names) :]


@behave.when("a start is planned on {name}")
def plan_start(context, name):
    _place(context, definition.Step(cpu=1), [name])


@behave.then("the task starts in another rack")
def check_not_sent(context):
    for _ in range(2):
        context.racks.bench.plan()
    (order,) = context.racks.bench.starts()
    assert order.worker not in context.racks.dead, order


@behave.when("the pool needs {count:d} VMs more")
def grow(context, count):
    racks = context.racks
    racks.add_spares(5)
    racks.step(domain_bench.TICK_S)
    size = racks.sizer.pools[models.POOL]
    size.have, size.wanted = 0, count
    context.vms = [move.vm for move in racks.sizer._grow_all(vms.SPARE)]


@behave.when("{hall} is suspected and the pool needs {count:d} VMs more")
def grow_suspected(context, hall, count):
    domain = suspicion.Domain(hall=hall)
    context.racks.detector.suspicions._since[domain] = context.racks.bench.now
    grow(context, count)


@behave.when("{names} are busy and the pool has {count:d} VMs too many")
def shrink(context, names, count):
    racks = context.racks
    busy = names.split(", ")
    _place(context, definition.Step(tasks=len(busy), cpu=4), busy)
    racks.detector.suspicions._since.clear()
    size = racks.sizer.pools[models.POOL]
    now = racks.bench.now
    context.vms = racks.sizer._choose_leaving(models.POOL, size, now, count)
    assert not set(busy) & set(context.vms), context.vms


@behave.then("it gets VMs of {expected}")
@behave.then("it gives away VMs of {expected}")
def check_vms(context, expected):
    found = [vm.partition("-")[0] for vm in context.vms]
    assert found == expected.split(", "), found


def _list_places(context):
    runs = [
        run
        for task in context.state.tasks.values()
        for run in task.runs.values()
    ]
    assert len(runs) == len(context.state.tasks)
    return [
        context.racks.cluster.locations.find(run.location.vm) for run in runs
    ]


@behave.when(
    "a lasting step of {tasks:d} tasks of which {most:d} may be away starts"
)
def start_lasting(context, tasks, most):
    step = definition.Step(tasks=tasks, cpu=3, lasting=True, most_away=most)
    context.state = context.racks.bench.add(step)
    context.racks.bench.start_all()


@behave.then(
    "no rack has more than {rack:d} of them and no hall more than {hall:d}"
)
def check_spread(context, rack, hall):
    places = _list_places(context)
    racks = collections.Counter(place.rack for place in places)
    halls = collections.Counter(place.hall for place in places)
    assert max(racks.values()) <= rack, racks
    assert max(halls.values()) <= hall, halls


@behave.when("{rack} fails and its tasks start again elsewhere")
def restart_lost(context, rack):
    for name in context.racks.find(rack):
        context.racks.names.remove(name)
        context.racks.bench.end_incarnation(name, "its VM is listed as off")
    context.racks.step(1.0)
    context.racks.bench.start_all()


@behave.when(
    "tasks of a lasting step of which {most:d} may be away run on {names}"
)
def run_lasting(context, most, names):
    busy = names.split(", ")
    step = definition.Step(
        tasks=len(busy) + 1, cpu=1, lasting=True, most_away=most
    )
    (context.task,) = _place(context, step, busy)


@behave.then("the next one always starts in {rack}")
def check_small_rack(context, rack):
    view = _make_view(context)
    for _ in view.members:
        worker = _choose(context, view)
        assert worker.identity.startswith(rack), worker.identity


@behave.when("a job of {tasks:d} tasks of {cores:d} core starts")
@behave.when("a job of {tasks:d} tasks of {cores:d} cores starts")
def start_job(context, tasks, cores):
    step = definition.Step(tasks=tasks, cpu=cores)
    context.state = context.racks.bench.add(step, identity=f"{cores:016x}")
    context.racks.bench.start_all()


@behave.then("they are on {count:d} workers in {racks:d} racks")
def check_packed(context, count, racks):
    runs = [
        run.worker
        for task in context.state.tasks.values()
        for run in task.runs.values()
    ]
    assert len(set(runs)) == count, runs
    assert len({place.rack for place in _list_places(context)}) == racks


@behave.when(
    "a wave that bears {most:d} away maintains all of them rack by rack"
)
def run_wave(context, most):
    racks, planner = context.racks, context.racks.maintenance
    wave = fleet.Wave(
        number=1, vms=tuple(racks.names), duration=6.0, most_away=most
    )
    planner.add_wave(wave, racks.bench.now)
    context.vms = []
    for _ in range(200):
        for vm in [vm for vm in racks.listed if not racks.listed[vm].up]:
            if racks.bench.now - planner.waves[1].ordered[vm] > 1.0:
                racks.listed[vm] = racks.list_vm(vm)
        racks.step(domain_bench.TICK_S)
        for order in planner.decide(racks.bench.now):
            context.vms.append(order.vm)
            planner.note_ordered(order, racks.bench.now)
            racks.listed[order.vm] = racks.list_vm(order.vm, up=False)


@behave.then("each was maintained once, the first two on racks {expected}")
def check_wave(context, expected):
    assert sorted(context.vms) == sorted(context.racks.names), context.vms
    found = [vm.partition("-")[0] for vm in context.vms[:2]]
    assert found == expected.split(", "), context.vms


@behave.given(
    "a lasting step of which {most:d} may be away is ready on {names}"
)
def run_ready(context, most, names):
    racks, on = context.racks, names.split(", ")
    step = definition.Step(tasks=len(on), cpu=1, lasting=True, most_away=most)
    _place(context, step, on)
    racks.bench.plan()
    for order in racks.bench.starts():
        racks.bench.confirm(order).run.percent = eviction.READY_PERCENT


@behave.then("the task on {name} may not be stopped")
def check_no_eviction(context, name):
    racks = context.racks
    (placed,) = racks.cluster.workers[name].runs.values()
    silent = [w for w in racks.cluster.workers.values() if w.is_suspected]
    # The answers of the rack are still recent.
    assert any(
        racks.bench.now - worker.last_alive_at <= eviction.SILENCE_S
        for worker in silent
        if worker.runs
    )
    assert not eviction.may_evict(racks.cluster, placed, racks.bench.now)
    for worker in silent:
        worker.suspected_at = None
    assert eviction.may_evict(racks.cluster, placed, racks.bench.now)


@behave.when("{names} leave, {event}, and the pool needs 1 VM more")
def take_back(context, names, event):
    racks, leaving = context.racks, names.split(", ")
    racks.add_spares(1)
    racks.step(domain_bench.TICK_S)
    chosen = event.split()[0]
    numbers = (0, 1) if chosen == "both" else (int(chosen[1:]),)
    if "evacuated" in event:
        racks.cluster.policy = policies.Policy(evacuation=True)
        halls = frozenset(f"h{number}" for number in numbers)
        racks.cluster.set_evacuated(halls)
        # Spare VMs of evacuated halls take no work either.
        racks.listed["s"] = vms.list_vm("s", vms.SPARE, "", hall="h9")
        racks.step(domain_bench.TICK_S)
    else:
        for number in numbers:
            domain = suspicion.Domain(hall=f"h{number}", rack=f"r{number}")
            racks.detector.suspicions._since[domain] = racks.bench.now
    size = racks.sizer.pools[models.POOL]
    size.leaving.update(leaving)
    size.have, size.wanted = 0, 1
    context.vms = [move.vm for move in racks.sizer._grow_all(vms.SPARE)]
    context.kept = set(leaving) - size.leaving


@behave.then("it keeps {kept}, and gets {count:d} other VMs")
@behave.then("it keeps , and gets {count:d} other VMs")
def check_taken_back(context, count, kept=""):
    assert context.kept == set(kept.split()), context.kept
    assert len(context.vms) == count, context.vms


@behave.when("all workers but {name} crash repeatedly by themselves")
def make_prone(context, name):
    workers = context.racks.cluster.workers
    for worker in workers.values():
        worker.is_crash_prone = worker.identity != name
    context.state = context.racks.bench.add(definition.Step(cpu=1))
    (context.task,) = context.state.tasks.values()


def _choose(context, view, is_spread=True):
    bench, state = context.racks.bench, context.state
    step = state.job.steps[0]
    spread = domains.TaskSpread(bench.cluster.locations, state, 0, 0)
    return view.choose(
        step,
        context.task,
        fleet.get_resource_request(step),
        collections.Counter(),
        now=bench.now,
        state=state,
        spread=spread if is_spread else None,
    )


def _make_view(context):
    bench = context.racks.bench
    return placement.PoolView(
        bench.planner.list_members(models.POOL, bench.now)
    )


@behave.then(
    "a task starts on {name} wherever the search begins, if {most:d} are "
    "compared"
)
def check_last_choices(context, name, most):
    assert placement.MAX_COMPARED_IN_ALL == most
    view = _make_view(context)
    for _ in view.members:
        worker = _choose(context, view)
        assert worker.identity == name, worker.identity


@behave.then("the search ends after {count:d} workers where the part is off")
@behave.then("{count:d} workers are compared for the next one")
def check_compared(context, count):
    is_spread = count == placement.MAX_COMPARED_IN_ALL
    view = _make_view(context)
    with mock.patch.object(
        placement, "_score", wraps=placement._score
    ) as score:
        assert _choose(context, view, is_spread) is not None
    assert score.call_count == count, score.call_count


@behave.when("{hall} is evacuated, and VMs are put in order for a wave")
def order_wave(context, hall):
    racks = context.racks
    racks.cluster.set_evacuated(frozenset({hall}))
    context.vms = wave_order.defer_last_vms(
        racks.names, racks.listed, racks.cluster, set()
    )


@behave.then("{name} is the first of them")
def check_first(context, name):
    assert context.vms[0] == name, context.vms
