"""Steps about workers that start again under their names."""

from __future__ import annotations

import collections
import itertools
import time

import behave

from features import job_history as histories
from features import job_models as models
from tools import site as sites

POOLS = {"lookups": 6, "rebuilds": 1, "spare": 1}
STEPS = [{"count": 4, "cpu": 500}]
# How long the entry of an ended incarnation stays, in seconds.
ENTRY_S = 1.5
BACK_S = 0.2
SPACING_S = 0.1


HISTORY_STEPS = 300
FIRST_SEED = 9000
# Delay of the platform's list in histories, in seconds, and the part of
# crashed workers that start again under their names.
LAG_S = 0.8
RESTARTING = 0.7


def explore(count, **rules):
    """Return the first violation about starts in histories with restarts.

    Workers crash here so often that jobs are given up; the histories of
    crashes check that.
    """
    all_rules = models.Rules(lag=LAG_S, restarting=RESTARTING, **rules)
    for seed in range(FIRST_SEED, FIRST_SEED + count):
        found = histories.explore(1, HISTORY_STEPS, all_rules, seed)
        if found and "given up" not in found[0]:
            return found
    return []


@behave.when(
    "{count:d} job histories run in which workers start again under their "
    "names"
)
def run_histories(context, count):
    context.violations = explore(count)


@behave.when("up to {count:d} job histories with restarts run without {part}")
def run_without(context, count, part):
    context.violations = explore(count, **{part: False})


@behave.then(
    "no task starts after its acknowledged end, or beside another run"
)
def check_histories(context):
    assert not context.violations, context.violations[:5]


@behave.then("a task starts after its acknowledged end, or beside another run")
def check_found(context):
    assert context.violations


@behave.given(
    "a site of {count:d} managers with 6 VMs for the jobs, {births} told"
)
def start_site(context, count, births):
    arguments = () if births == "births" else ("--no-births",)
    context.own_fleet = sites.Site(count, pools=POOLS, platform=arguments)
    context.own_fleet.start()
    context.submitted = []


@behave.when(
    "{count:d} jobs of 4 tasks of 0.4 s run while workers start again under "
    "their names, {when}"
)
def run_beside_restarts(context, count, when):
    site = context.own_fleet
    names = sorted(site.list_members("lookups"))
    pairs = itertools.cycle([names[0:2], names[2:4], names[4:6]])
    restart = RESTARTS[when]
    for number in range(count):
        identity = site.submit("lookup", STEPS, "work_ms=400")
        context.submitted.append(("lookup", identity))
        time.sleep(SPACING_S)
        if number % 10 == 5:
            restart(site, names, next(pairs))


def restart_two(site, names, pair):
    site.order({"restart": pair, "entry": ENTRY_S, "away": BACK_S})


def restart_all(site, names, pair):
    site.order({"restart": names, "entry": ENTRY_S, "away": BACK_S})


def restart_and_kill(site, names, pair):
    restart_two(site, names, pair)
    owner = site.find_owner()
    if owner is not None:
        owner["process"].kill()
        owner["process"].start()


def restart_late(site, names, pair):
    """Delay calls, so that the next incarnation carries them out."""
    for name in pair:
        site.order({"machine": name, "fault": "late calls"})
    time.sleep(3 * SPACING_S)
    restart_two(site, names, pair)


RESTARTS = {
    "two of six every second": restart_two,
    "all at one moment, twice": restart_all,
    "two of six, the owner killed": restart_and_kill,
    "two of six, calls carried out late": restart_late,
}


def read_events(context):
    """Return what workers did and which ends were acknowledged, in order."""
    seen = context.own_fleet.journal()
    known = [[row[0], "known", *row[1:]] for row in seen["known"]]
    return sorted(seen["journal"] + known)


@behave.then("no task was started again after its good end was acknowledged")
def check_known(context):
    for queue, identity in context.submitted:
        context.own_fleet.wait_final(queue, identity)
    known, again = set(), []
    for _, kind, worker, task, run, how in read_events(context):
        if kind == "known" and how == "done":
            known.add(task)
        elif kind == "start" and task in known:
            again.append((task, run, worker))
    assert not again, (len(again), again[:5])


@behave.then("no task had two runs at once")
def check_alone(context):
    running = collections.defaultdict(set)
    for _, kind, worker, task, run, _ in read_events(context):
        if kind == "start":
            assert not running[task], (task, run, worker, running[task])
            running[task].add((worker, run))
        elif kind == "end":
            running[task].discard((worker, run))
