"""Steps about managers that run as processes against the stand-in."""

from __future__ import annotations

import base64
import collections
import json
import time

import behave

from tools import fleet as fleets
from tools import site as sites

STEPS = [{"count": 4, "cpu": 500}, {"count": 2, "cpu": 500, "after-rev": [0]}]
TASKS = 6
WAIT_S = 20.0


@behave.given("a site of {count:d} managers")
def start_site(context, count):
    context.own_fleet = sites.Site(count)
    context.own_fleet.start()
    context.submitted = []


def submit(context, queue="lookup", steps=None, spec="work_ms=50"):
    identity = context.own_fleet.submit(queue, steps or STEPS, spec)
    context.submitted.append((queue, identity))
    return identity


def wait_for(condition, what):
    until = time.monotonic() + WAIT_S
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"not seen: {what}")


def read_runs(context):
    """Return the journal's rows of starts and ends."""
    return context.own_fleet.journal()["journal"]


@behave.when("a job of 4 tasks and then 2 tasks is handed in")
def submit_one(context):
    submit(context)


@behave.then("it is shown as completed and each task ended well once")
@behave.then(
    "all of them are shown as completed and each task ended well once"
)
def check_completed(context):
    check_shown(context)
    good = collections.Counter(
        row[3]
        for row in read_runs(context)
        if row[1] == "end" and row[5] == "done"
    )
    for _, identity in context.submitted:
        own = [n for task, n in good.items() if task.startswith(identity)]
        assert len(own) == TASKS and set(own) == {1}, (identity, own)


@behave.then("all of them are shown as completed")
def check_shown(context):
    for queue, identity in context.submitted:
        state = context.own_fleet.wait_final(queue, identity)
        assert state == "completed", (identity, state)


@behave.then("its state is the same at each manager")
def check_states(context):
    queue, identity = context.submitted[0]
    for manager in context.own_fleet.managers:
        reply = context.own_fleet.call(manager, "GET", f"/{queue}/{identity}")
        assert json.loads(reply.body) == {"state": "completed"}


@behave.then("handing it in again starts nothing")
def submit_again(context):
    queue, identity = context.submitted[0]
    before = len(read_runs(context))
    reply = context.own_fleet.call(
        context.own_fleet.managers[-1],
        "POST",
        f"/{queue}/{identity}",
        {"spec": "work_ms=50", "steps": STEPS},
    )
    assert reply.status == 200
    time.sleep(0.5)
    assert len(read_runs(context)) == before


@behave.then("these calls are answered so")
def check_calls(context):
    for row in context.table:
        for manager in context.own_fleet.managers:
            reply = context.own_fleet.call(
                manager, row["method"], row["path"], row["body"].encode()
            )
            assert reply.status == int(row["status"]), (
                row["method"],
                row["path"],
                row["body"],
                reply,
            )


@behave.then("a body over the limit is refused with 413")
def check_large(context):
    reply = context.own_fleet.call(
        context.own_fleet.managers[0],
        "POST",
        "/lookup/00000000000000ff",
        b"x" * 70000,
    )
    assert reply.status == 413


@behave.then("the managers still answer")
def check_alive(context):
    for manager in context.own_fleet.managers:
        reply = context.own_fleet.call(manager, "GET", "/lookup/")
        assert reply.status == 200


@behave.when("a job of 2 long tasks is handed in and runs")
def submit_long(context):
    identity = submit(context, steps=[{"count": 2}], spec="work_ms=30000")
    wait_for(
        lambda: (
            sum(1 for row in read_runs(context) if row[3].startswith(identity))
            == 2
        ),
        "2 starts",
    )


@behave.when("it is cancelled")
def cancel(context):
    queue, identity = context.submitted[0]
    reply = context.own_fleet.call(
        context.own_fleet.managers[-1], "DELETE", f"/{queue}/{identity}"
    )
    assert reply.status == 200


@behave.then("it is shown as cancelled and nothing of it runs")
def check_cancelled(context):
    queue, identity = context.submitted[0]
    assert context.own_fleet.wait_final(queue, identity) == "cancelled"
    wait_for(
        lambda: (
            sum(
                1
                for row in read_runs(context)
                if row[1] == "end" and row[3].startswith(identity)
            )
            == 2
        ),
        "2 ends",
    )


@behave.when("{count:d} jobs run and the owner is {fault}")
def lose_owner(context, count, fault):
    for _ in range(count // 2):
        submit(context, spec="work_ms=300")
    owner = context.own_fleet.owner()
    assert owner is not None
    process = owner["process"]
    if fault == "killed":
        process.kill()
    elif fault == "frozen for 4 seconds":
        process.freeze()
    elif fault == "robbed of its key":
        context.own_fleet.revoke("owner/scheduling")
    else:
        process.terminate()
    others = [m for m in context.own_fleet.managers if m is not owner]
    for number in range(count - count // 2):
        identity = context.own_fleet.submit(
            "lookup",
            STEPS,
            "work_ms=300",
            manager=others[number % len(others)],
        )
        context.submitted.append(("lookup", identity))
    if fault.startswith("frozen"):
        time.sleep(4)
        process.resume()


@behave.then("no task ever ran twice at the same time")
def check_once(context):
    running = collections.defaultdict(set)
    for _, kind, worker, task, run, detail in read_runs(context):
        if kind == "start":
            assert not running[task], (task, running[task], worker, run)
            running[task].add((worker, run))
        else:
            running[task].discard((worker, run))


@behave.when("{count:d} jobs run while the store is {fault} for 2 seconds")
def fail_store(context, count, fault):
    for _ in range(count // 2):
        submit(context, spec="work_ms=300")
    context.own_fleet.set_store_fault(fault)
    time.sleep(2)
    context.own_fleet.set_store_fault("")
    for _ in range(count - count // 2):
        submit(context, spec="work_ms=300")


@behave.when("the store is busy")
def make_busy(context):
    context.own_fleet.set_store_fault("busy")


@behave.then("a job is refused with 503 and Retry-After and never runs")
def check_refused(context):
    reply = context.own_fleet.call(
        context.own_fleet.managers[0],
        "POST",
        "/lookup/00000000000000ee",
        {"spec": "work_ms=1", "steps": STEPS},
        headers={"Deadline-Ms": "1000"},
    )
    assert reply.status == 503
    assert int(reply.headers["retry-after"]) >= 1
    context.own_fleet.set_store_fault("")
    submit(context)
    check_completed(context)
    assert not any(
        row[3].startswith("00000000000000ee") for row in read_runs(context)
    )


@behave.when("{count:d} jobs run and a worker of theirs is {fault}")
def fail_worker(context, count, fault):
    for _ in range(count // 2):
        submit(context, spec="work_ms=300")
    wait_for(lambda: read_runs(context), "a start")
    incarnation = read_runs(context)[0][2]
    listed = json.loads(
        fleets.call(context.own_fleet.port, "GET", "/machines").body
    )
    machine = next(
        vm["machine"] for vm in listed["machines"] if vm["id"] == incarnation
    )
    if fault == "crashed":
        context.own_fleet.order({"crash": machine})
    else:
        context.own_fleet.order({"machine": machine, "fault": fault})
    for _ in range(count - count // 2):
        submit(context, spec="work_ms=300")
    if fault == "dead":
        # A VM without power comes back with a new incarnation.
        time.sleep(1)
        context.own_fleet.order({"crash": machine})


@behave.when("a wave over all VMs is ordered while jobs run")
def order_wave(context):
    for _ in range(4):
        submit(context, spec="work_ms=200")
    listed = json.loads(
        fleets.call(context.own_fleet.port, "GET", "/machines").body
    )
    context.vms = [vm["machine"] for vm in listed["machines"]]
    context.own_fleet.order(
        {
            "put": "op/wave/1",
            "value": {
                "wave": 1,
                "machines": context.vms,
                "duration-s": 20,
                "upper-bound": 2,
            },
        }
    )
    for _ in range(4):
        submit(context, spec="work_ms=200")


@behave.then("the wave is shown as completed")
def check_wave(context):
    def is_completed():
        reply = fleets.call(
            context.own_fleet.port, "GET", "/kv-key?key=status/wave/1"
        )
        if reply.status != 200:
            return False
        value = base64.b64decode(json.loads(reply.body)["value"])
        return json.loads(value) == {"state": "completed"}

    wait_for(is_completed, "the wave's completion")


@behave.then("each VM was maintained once and nothing ran on it")
def check_maintained(context):
    orders = [
        order
        for order in context.own_fleet.journal()["orders"]
        if order[1] == "/machine-upkeep"
    ]
    assert sorted(order[2] for order in orders) == sorted(context.vms)
    assert all(order[5] == 0 for order in orders), orders
    assert len({order[3] for order in orders}) == 1


@behave.when("the queue rebuild is removed")
def remove_queue(context):
    context.own_fleet.configure({"lookup": "lookups"})


@behave.then("each manager comes to answer 404 for it")
def check_removed(context):
    for manager in context.own_fleet.managers:
        wait_for(
            lambda manager=manager: (
                context.own_fleet.call(manager, "GET", "/rebuild/").status
                == 404
            ),
            f"404 of {manager['vm']}",
        )


@behave.then("the queue lookup still takes jobs")
def check_takes(context):
    submit(context)
    check_completed(context)


@behave.then("the owner's measures count its runs and its end")
def check_measures(context):
    owner = context.own_fleet.owner()
    text = fleets.call(owner["metrics"], "GET", "/metrics").body.decode()
    assert f'rackvalve_runs_ordered_total{{queue="lookup"}} {TASKS}.0' in text
    assert 'rackvalve_runs_ended_total{cause="done"} 6.0' in text
    assert 'phase="completed",queue="lookup"} 1.0' in text
