"""Steps about keys at managers that run as processes."""

from __future__ import annotations

import base64
import time

import behave

from features.steps import site_steps
from tools import site as sites

NORTH, SOUTH = "key-of-north-4711", "key-of-south-4712"
MIDDLE, NEWEST = "key-in-between-4713", "key-at-last-4714"
INVENTED = "invented-key-4715"
JOBS = 4
# Longer than a configuration may take to be in force.
IN_FORCE_S = 3.0


def show(key):
    return {"Authorization": f"Bearer {key}"}


@behave.given("a site of {count:d} managers whose callers show keys")
def start_closed_site(context, count):
    keys = {"north": [NORTH], "south": [SOUTH]}
    context.own_fleet = sites.Site(count, keys=keys)
    context.own_fleet.start()
    context.submitted = []


@behave.when(
    "jobs of two workspaces run while the owner is killed and the store is "
    "slow"
)
def run_jobs(context):
    fleet = context.own_fleet
    for _ in range(JOBS):
        site_steps.submit(context, spec="work_ms=300")
    fleet.set_store_fault("slow")
    fleet.owner()["process"].kill()
    time.sleep(0.5)
    fleet.set_store_fault("")


@behave.when("the first workspace's keys are changed twice within 0.1 s")
def change_keys(context):
    fleet = context.own_fleet
    for key in (MIDDLE, NEWEST):
        fleet.keys["north"] = [key]
        fleet.configure()
    context.changed = time.monotonic()
    context.alive = [
        manager
        for manager in fleet.managers
        if manager["process"].popen.poll() is None
    ]


def ask(context, manager, key):
    queue, identity = context.submitted[0]
    reply = context.own_fleet.call(
        manager, "GET", f"/{queue}/{identity}", headers=show(key)
    )
    return reply.status if reply is not None else None


@behave.then(
    "each manager comes to answer 401 by the old keys and 200 by the new one"
)
def check_keys(context):
    for manager in context.alive:
        site_steps.wait_for(
            lambda manager=manager: ask(context, manager, NEWEST) == 200,
            "the new key is known",
        )
    time.sleep(max(0.0, context.changed + IN_FORCE_S - time.monotonic()))
    for manager in context.alive:
        found = [
            ask(context, manager, key)
            for key in (NORTH, MIDDLE, INVENTED, NEWEST)
        ]
        assert found == [401, 401, 401, 200], found


@behave.then("another workspace's key opens none of them")
def check_closed(context):
    for manager in context.alive:
        assert ask(context, manager, SOUTH) == 403


@behave.then("no key stands in what the managers logged, measured or recorded")
def check_no_key(context):
    fleet = context.own_fleet
    output = fleet.read_output()
    queue, identity = context.submitted[0]
    for part in ("definition", "progress"):
        prefix = "progress" if part == "progress" else "job"
        key = f"{prefix}/{queue}/{identity}/{part}"
        item = fleet.order({"peek": key})["item"]
        output += base64.b64decode(item["value"]).decode()
    assert "north" in output
    for key in (NORTH, SOUTH, MIDDLE, NEWEST, INVENTED):
        assert key not in output, key
