"""Steps about tasks that crash the workers that start them."""

from __future__ import annotations

import collections
import time

import behave

from features import job_history as histories
from features import job_models as models
from features.steps import site_steps
from tools import site as sites

HISTORY_STEPS = 300
LAG_S = 0.8
POOLS = {"lookups": 6, "rebuilds": 2, "spare": 4}
# A crash at once, as the tasks did that were seen.
CRASHING = "crash_ms=10"
# When the owner is killed, in seconds after the jobs were handed in.
KILLS_AT_S = (1.0, 3.0, 5.0)
GIVEN_UP_S = 20.0


@behave.when(
    "{count:d} job histories run in which some tasks crash their workers"
)
def run_histories(context, count):
    rules = models.Rules(lag=LAG_S, crashing=0.15)
    context.violations = histories.explore(count, HISTORY_STEPS, rules, 3000)


@behave.then(
    "no history starts a task three times more after three crashes, or gives "
    "up another job"
)
def check_histories(context):
    assert not context.violations, context.violations[:5]


@behave.given(
    "a site of {count:d} managers with VMs of their own for the jobs"
)
def start_site(context, count):
    context.own_fleet = sites.Site(count, pools=POOLS)
    context.own_fleet.start()
    context.submitted = []


@behave.when(
    "{count:d} jobs crash each worker beside {others:d} others, {when}"
)
def crash_workers(context, count, others, when):
    site = context.own_fleet
    site.submit(
        "lookup",
        [{"count": 3, "cpu": 100, "long-running": True}],
        "lasting work_ms=500",
    )
    began = time.monotonic()
    context.crashing = [
        site.submit("lookup", [{"count": 1, "cpu": 500}], CRASHING)
        for _ in range(count)
    ]
    for _ in range(others):
        site_steps.submit(context, spec="work_ms=300")
    if "killed" in when:
        kill_owners(site, began)


def kill_owners(site, began):
    for at in KILLS_AT_S:
        time.sleep(max(0.0, began + at - time.monotonic()))
        process = site.owner()["process"]
        process.kill()
        process.start()


@behave.then(
    "both are shown as failed, after {most:d} starts each at the most"
)
def check_given_up(context, most):
    site = context.own_fleet
    until = time.monotonic() + GIVEN_UP_S
    states = {}
    while time.monotonic() < until:
        states = {one: site.state("lookup", one) for one in context.crashing}
        if set(states.values()) == {"failed"}:
            break
        time.sleep(0.1)
    starts = collections.Counter(
        row[3].partition(".")[0]
        for row in site_steps.read_runs(context)
        if row[1] == "start"
    )
    found = {one: (states[one], starts[one]) for one in context.crashing}
    good = all(
        state == "failed" and count <= most for state, count in found.values()
    )
    assert good, found


@behave.then(
    "all others are shown as completed and none starts again once its good "
    "end was taken note of"
)
def check_others(context):
    site_steps.check_shown(context)
    seen = context.own_fleet.journal()
    known = [[row[0], "known", *row[1:]] for row in seen["known"]]
    done, settled = set(), set()
    for _, kind, _, task, _, how in sorted(seen["journal"] + known):
        if kind == "start":
            assert task not in settled, task
        elif how == "done":
            (settled if kind == "known" else done).add(task)
    for _, identity in context.submitted:
        own = [task for task in done if task.startswith(identity)]
        assert len(own) == site_steps.TASKS, (identity, own)
