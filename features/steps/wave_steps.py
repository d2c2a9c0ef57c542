"""Steps about maintenance waves, moves and drains."""

from __future__ import annotations

import itertools
import json
import random
import time

import behave
import gevent
from geventhttpclient import response as http_response

from features import fleet_history as histories
from rackvalve.fleet import record
from rackvalve.fleet import transitions
from rackvalve.fleet import waves
from rackvalve.steward import keeper as keepers
from tools.experiments import figures
from tools import fleet as fleets

POOL = "alarms"


def run_histories(count, naive):
    source = random.Random(23)
    for _ in range(count):
        history = histories.FleetHistory(source, naive)
        history.run(40)
        if history.broken:
            return True
    return False


@behave.when("{count:d} generated fleet histories run with the planner")
def run_planner(context, count):
    context.broken = run_histories(count, naive=False)


@behave.when("generated fleet histories run rack by rack")
def run_racks(context):
    context.broken = run_histories(200, naive=True)


@behave.then("no budget was broken and every VM is in one pool")
def check_budgets(context):
    assert not context.broken


@behave.then("a budget was broken")
def check_broken(context):
    assert context.broken


@behave.given("a hall of {vms:d} VMs in one pool with a budget of {budget:d}")
def make_small_hall(context, vms, budget):
    context.hall = histories.make_hall(vms)
    context.budgets = {"p": budget}
    context.down = set()


@behave.when("a wave over the pool is previewed")
def preview(context):
    context.preview = waves.preview_wave(
        context.hall, context.hall.targets, context.budgets, context.down
    )


def search_rounds(vms, most):
    """Return the fewest rounds, by exhaustive search of departure sets."""
    everyone = frozenset(range(vms))
    reached = {everyone}
    rounds = 0
    while frozenset() not in reached:
        rounds += 1
        reached = {
            left - frozenset(leaving)
            for left in reached
            for size in range(1, most + 1)
            for leaving in itertools.combinations(sorted(left), size)
        }
    return rounds


@behave.then("it takes as few rounds as an exhaustive search finds")
def check_rounds(context):
    vms = len(context.hall.targets)
    best = search_rounds(vms, vms - context.budgets["p"])
    assert context.preview.rounds == best, (context.preview, best)


@behave.then("fewer than one VM at a time")
def check_fewer(context):
    assert context.preview.rounds < len(context.hall.targets)


@behave.then("all {count:d} VMs are reported as stuck")
def check_stuck(context, count):
    assert len(context.preview.stuck) == count, context.preview
    assert context.preview.rounds == 0


@behave.when("{count:d} VMs become unhealthy and the wave steps")
def fail_and_step(context, count):
    context.down = {f"vm-{n}" for n in range(count)}
    ordered = waves.order_wave(context.hall, "w", context.hall.targets, 0.0)
    context.hall = ordered.hall
    step_wave(context)


def step_wave(context):
    changed = waves.step_waves(context.hall, context.budgets, context.down)
    if changed is not None:
        context.hall = changed.hall


def list_leaving(context):
    return {
        vm
        for vm, target in context.hall.targets.items()
        if target.state is not record.State.SERVING
    }


@behave.then("only the unhealthy VMs leave")
def check_unhealthy(context):
    assert list_leaving(context) == context.down


def lose_worst_rack(context, rack_safe):
    """Step a wave and return the VMs left after the worst loss of a rack."""
    ordered = waves.order_wave(context.hall, "w", context.hall.targets, 0.0)
    stepped = waves.step_waves(
        ordered.hall, context.budgets, (), rack_safe=rack_safe
    )
    left = []
    for rack in {t.rack for t in context.hall.targets.values()}:
        lost = {
            vm
            for vm, target in context.hall.targets.items()
            if target.rack == rack
        }
        left.append(histories.count_serving(stepped.hall, "p", lost))
    assert len(stepped.hall.waves["w"].active) > 0
    return min(left)


@behave.when("a wave that is to survive a rack steps and any rack is lost")
def step_safely(context):
    context.left = lose_worst_rack(context, {"p"})


@behave.then("the pool still has its budget")
def check_survived(context):
    assert context.left >= context.budgets["p"], context.left


@behave.then("a wave that is not leaves less than the budget")
def check_not_survived(context):
    assert lose_worst_rack(context, ()) < context.budgets["p"]


@behave.when("a wave is ordered and paused")
def order_and_pause(context):
    ordered = waves.order_wave(context.hall, "w", context.hall.targets, 0.0)
    paused = waves.change_phase(ordered.hall, "w", record.Phase.PAUSED)
    context.hall = paused.hall
    step_wave(context)


@behave.when("the wave is resumed")
def resume(context):
    changed = waves.change_phase(context.hall, "w", record.Phase.RUNNING)
    context.hall = changed.hall
    step_wave(context)


@behave.when("the wave is abandoned")
def abandon(context):
    changed = waves.change_phase(context.hall, "w", record.Phase.ABANDONED)
    context.hall = changed.hall
    context.before = list_leaving(context)
    step_wave(context)


@behave.then("no VM leaves")
def check_none(context):
    assert not list_leaving(context)


@behave.then("{count:d} VMs leave")
def check_count(context, count):
    assert len(list_leaving(context)) == count


@behave.then("no further VM leaves, and those away come back")
def check_back(context):
    assert list_leaving(context) == context.before
    for vm in context.before:
        context.hall = transitions.order_return(context.hall, vm).hall
    step_wave(context)
    assert not list_leaving(context)
    wave = context.hall.waves["w"]
    assert len(wave.done) == 2 and len(wave.pending) == 2, wave


@behave.when("{count:d} waves run one after another")
def run_many(context, count):
    for number in range(count):
        ordered = waves.order_wave(
            context.hall, f"w{number}", context.hall.targets, float(number)
        )
        context.hall = ordered.hall
        step_wave(context)
        for vm in list_leaving(context):
            returned = transitions.order_return(context.hall, vm)
            context.hall = returned.hall
        step_wave(context)


@behave.then("the record holds at most {count:d} waves")
def check_waves(context, count):
    held = context.hall.waves
    assert len(held) <= count, len(held)
    assert "w99" in held and "w0" not in held, sorted(held)


@behave.given("a keeper with a report that finds a VM unhealthy")
def make_keeper(context):
    context.keeper = keepers.Keeper("vm-1", "north", clock=lambda: 0.0)
    report = record.Report(
        vm="entry-2", incarnation="i", address="a", unhealthy=["vm-9"]
    )
    context.keeper.tell(keepers.ReportReceived(report))
    assert context.keeper.list_unhealthy() == {"vm-9"}


@behave.when("the entry's VM is gone from the list")
def list_without(context):
    context.keeper.tell(keepers.VmsListed(frozenset({"vm-1", "vm-9"})))


@behave.then("no VM counts as unhealthy")
def check_no_unhealthy(context):
    assert not context.keeper.list_unhealthy()


@behave.given("an own fleet of one hall with administration")
def start_with_admin(context):
    fleet = fleets.Fleet({"north": 2}, {POOL: 4, "calib": 2}, with_admin=True)
    context.own_fleet = context.fleet = fleet
    fleet.start()
    context.loads = []
    context.least = 10**9


def order(context, kind, index=0, **body):
    port = context.fleet.entries[index].admin_port
    payload = json.dumps({"kind": kind, "body": body}).encode()
    reply = fleets.call(port, "POST", "/v1/commands", payload)
    return reply.status, json.loads(reply.body)


def retry_order(context, kind, **body):
    """Retry a command until it is accepted or found to be done already."""

    def try_order():
        status, answer = order(context, kind, 1, **body)
        done = "exists already" in answer.get("detail", "")
        done = done or "serves already" in answer.get("detail", "")
        return status == 200 or done

    fleets.wait_until(try_order, 20, f"{kind} is accepted")


def start_load(context, seconds, pool=POOL):
    addresses = [
        f"{fleets.HOST}:{entry.entry_port}" for entry in context.fleet.entries
    ]
    context.loads.append(
        figures.start_load(
            addresses,
            connections=8,
            seconds=seconds,
            pool=pool,
            path="/work?run_ms=20",
        )
    )
    gevent.sleep(0.7)


def complete_wave(context, name, disturb=lambda: None, timeout=60.0):
    """Return away VMs until a wave is done; track the fewest serving."""
    end = time.monotonic() + timeout
    wave = None
    while time.monotonic() < end:
        disturb()
        gevent.sleep(0.05)
        try:
            hall, _ = context.fleet.read_hall("north")
        except (OSError, http_response.HTTPParseError):
            continue
        context.least = min(
            context.least, histories.count_serving(hall, POOL, ())
        )
        wave = hall.waves.get(name)
        if wave is not None and wave.phase is record.Phase.DONE:
            context.wave = wave
            return
        for vm in wave.active if wave else ():
            if hall.targets[vm].state is record.State.AWAY:
                # A failed order is repeated in the next iteration.
                order(context, "return", 1, vm=vm)
    raise TimeoutError(f"wave is not done: {wave}")


@behave.when("a wave passes through the pool under load")
def run_wave(context):
    status, answer = order(context, "set-budget", pool=POOL, budget=3)
    assert status == 200, answer
    start_load(context, 8)
    retry_order(context, "start-wave", name="w", pool=POOL)
    complete_wave(context, "w")


@behave.then("every request was served")
def check_every(context):
    for load in context.loads:
        # The summary was read by the previous step.
        found = load.found
        assert found["served"] == found["sent"], found


@behave.then("the pool never had fewer VMs serving than its budget")
def check_budget_held(context):
    configuration, _ = context.fleet.read_configuration()
    assert context.least >= configuration.pools[POOL].budget, context.least


@behave.when("a wave passes while stewards are killed and the platform fails")
def run_disturbed(context):
    fleet = context.fleet
    retry_order(context, "start-wave", name="w", pool=POOL)
    faults = itertools.cycle(
        (
            lambda: fleet.entries[0].steward.kill(),
            lambda: fleet.start_steward(fleet.entries[0]),
            lambda: fleet.control_platform(faults={"outage": True}),
            fleet.heal_platform,
            lambda: fleet.control_platform(faults={"lose_answers": 2}),
            fleet.heal_platform,
            lambda: fleet.entries[1].steward.freeze(),
            lambda: fleet.entries[1].steward.resume(),
        )
    )
    count = itertools.count()

    def disturb():
        if next(count) < 16:
            next(faults)()
            gevent.sleep(0.4)

    complete_wave(context, "w", disturb)


@behave.then("the wave is done")
def check_done(context):
    assert len(context.wave.done) == 4, context.wave


@behave.when("a VM moves to another pool under load")
def run_move(context):
    context.vm = f"north-{POOL}-1"
    start_load(context, 6)
    status, answer = order(context, "move", vm=context.vm, pool="calib")
    assert status == 200, answer
    wait_for_state(
        context, lambda target: target.pool == "calib", 10, "it has joined"
    )
    context.arrived = context.fleet.control_target(context.vm)["arrived"]


def wait_for_state(context, condition, timeout, what):
    def check():
        hall, _ = context.fleet.read_hall("north")
        return condition(hall.targets[context.vm])

    fleets.wait_until(check, timeout, what)


@behave.then("the VM runs jobs of the new pool only")
def check_new_pool(context):
    now = context.fleet.control_target(context.vm)["arrived"]
    assert now == context.arrived, (now, context.arrived)

    def runs_new():
        reply = context.fleet.request(context.fleet.entries[0], "calib")
        return reply.headers.get("target-vm") == context.vm

    fleets.wait_until(runs_new, 10, "it runs jobs of the new pool")


@behave.when("an entry is frozen and a VM is drained")
def freeze_and_drain(context):
    context.vm = f"north-{POOL}-1"
    context.fleet.entries[0].entry.freeze()
    retry_order(context, "drain", vm=context.vm)
    gevent.sleep(2.0)


@behave.then("the VM is not away and the status names the frozen entry")
def check_waits(context):
    hall, _ = context.fleet.read_hall("north")
    assert hall.targets[context.vm].state is record.State.REVOKING
    port = context.fleet.entries[1].admin_port
    status = json.loads(fleets.call(port, "GET", "/v1/status").body)
    frozen = context.fleet.entries[0].vm
    waits = {wait["subject"]: wait["holders"] for wait in status["waits"]}
    assert waits == {context.vm: [frozen]}, status["waits"]


@behave.when("the frozen entry goes on")
def unfreeze(context):
    context.fleet.entries[0].entry.resume()


@behave.then("the VM is away within {seconds:d} seconds")
def check_away(context, seconds):
    wait_for_state(
        context,
        lambda target: target.state is record.State.AWAY,
        seconds,
        "it is away",
    )


@behave.when(
    "an entry VM is gone from the platform's list and a VM is drained"
)
def lose_vm(context):
    context.vm = f"north-{POOL}-1"
    entry = context.fleet.entries[0]
    entry.entry.kill()
    entry.steward.kill()
    context.fleet.list_vms(without=[entry.vm])
    retry_order(context, "drain", vm=context.vm)


@behave.when("an entry process is killed and a VM is drained")
def kill_and_drain(context):
    context.vm = f"north-{POOL}-1"
    context.fleet.entries[0].entry.kill()
    retry_order(context, "drain", vm=context.vm)


@behave.when("a VM is drained under load")
def drain_loaded(context):
    context.vm = f"north-{POOL}-1"
    start_load(context, 5)
    retry_order(context, "drain", vm=context.vm)
    context.ordered = time.monotonic()
    gevent.sleep(3.0)
    context.arrived = context.fleet.control_target(context.vm)["arrived"]
    gevent.sleep(1.0)


@behave.then("its last request came within {seconds:d} seconds of the order")
def check_quiet(context, seconds):
    now = context.fleet.control_target(context.vm)["arrived"]
    assert now == context.arrived, (now, context.arrived)
