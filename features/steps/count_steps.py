"""Steps about the count of jobs that have not begun."""

from __future__ import annotations

import json
import time

import behave
import gevent

from features import job_bench as benches
from features import job_history as histories
from features import job_models as models
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import messages
from rackvalve.scheduling import start_results
from tools import site as sites

HISTORY_STEPS = 300
PAIR = definition.Step(tasks=2, cpu=1, gang=True)
SINGLE = definition.Step(tasks=1, cpu=1)
SILENT_POOLS = {"lookups": 6, "rebuilds": 1, "spare": 1}
# Pause between two questions to one manager, in seconds.
ASK_PAUSE_S = 0.25
# A job must be counted this long after it was accepted, in seconds: the users'
# `visible_ms` of 3 s, and the 2 s that a count may be old.
COUNTED_AFTER_S = 5.0
TASK_MS = 3000


class JobCase:
    """A job of one or two tasks and the answers and reports of its workers."""

    def __init__(self, step):
        self.bench = benches.Bench(["w1", "w2"])
        self.state = self.bench.add(step)
        self.order = None

    def order_start(self):
        """Plan the job's runs and have them recorded."""
        self.bench.plan()
        self.orders = self.bench.starts()
        self.order = self.orders[0]

    def answer(self, result, *, uncertain=False):
        """Have the order of the first start answered."""
        start_results.apply_start_result(
            self.bench.cluster,
            self.bench.placed(self.order),
            result,
            uncertain=uncertain,
            now=self.bench.now,
        )

    def end(self, cause):
        """Have the first run's end reported."""
        self.bench.now += 0.05
        worker = self.bench.cluster.workers[self.order.worker]
        ending = {
            "done": messages.Ending.DONE,
            "failed": messages.Ending.FAILED,
        }.get(cause, messages.Ending.CUT_SHORT)
        row = messages.EndedRow(
            number=1,
            task=f"{self.order.job}.{self.order.task}",
            run=self.order.run,
            ending=ending,
            cause=cause,
            checkpoint="",
        )
        self.bench.handler.apply(
            worker,
            messages.Report(sent=self.bench.now, running=(), ended=(row,)),
            now=self.bench.now,
            wall=self.bench.now,
        )

    def report(self, rows=()):
        """Have the first run's worker report."""
        self.bench.now += 0.05
        self.bench.report(self.order.worker, rows)


def _plan_only(case):
    case.bench.planner.plan(case.bench.now, case.bench.now)


def _take(case):
    case.order_start()
    case.answer(messages.StartResult.STARTED)


def _find_no_room(case):
    case.order_start()
    case.answer(messages.StartResult.NO_ROOM)


def _give_up(case):
    case.order_start()
    case.answer(messages.StartResult.UNWELL, uncertain=True)


def _start_too_late(case):
    case.order_start()
    case.answer(messages.StartResult.OUTDATED)


def _list(case):
    case.order_start()
    case.report(case.bench.rows(case.order.worker))


def _stop(case):
    case.order_start()
    case.end("stopped")


def _seal(case):
    _give_up(case)
    key = (f"{case.order.job}.{case.order.task}", case.order.run)
    case.bench.cluster.confirm_stop(case.order.worker, key, case.bench.now)
    case.report()


def _lose_worker(case):
    case.order_start()
    case.bench.end_incarnation(case.order.worker)


def _start_and_lose_worker(case):
    _take(case)
    case.bench.end_incarnation(case.order.worker)


def _take_both(case):
    case.order_start()
    for order in case.orders:
        case.bench.confirm(order)


def _start_without_partner(case):
    _take(case)
    case.end("alone")


def _end_well(case):
    case.order_start()
    case.end("done")


CASES = {
    "none: it was handed in": (SINGLE, lambda case: None),
    "none: its start is planned": (SINGLE, _plan_only),
    "none: its start is in the store": (SINGLE, JobCase.order_start),
    "its start is taken": (SINGLE, _take),
    "its start finds no room": (SINGLE, _find_no_room),
    "its start has no answer and is given up": (SINGLE, _give_up),
    "its start comes after its end": (SINGLE, _start_too_late),
    "a report lists it": (SINGLE, _list),
    "a report tells that it was stopped": (SINGLE, _stop),
    "a report does not list it, its start is sealed": (SINGLE, _seal),
    "none: its worker is proved to be over": (SINGLE, _lose_worker),
    "its start is taken, then its worker is over": (
        SINGLE,
        _start_and_lose_worker,
    ),
    "one of two that start together is there": (PAIR, _take),
    "both of two that start together are there": (PAIR, _take_both),
    "one of two that start together waited in vain": (
        PAIR,
        _start_without_partner,
    ),
    "one of two that start together ends well": (PAIR, _end_well),
}


@behave.then("a job counts as begun after these words of its workers")
def check_words(context):
    wrong = []
    for row in context.table:
        step, say = CASES[row["words"]]
        case = JobCase(step)
        say(case)
        counted = case.state.phase is not progress.Phase.QUEUED
        if counted != (row["begun"] == "yes"):
            wrong.append(row["words"])
    assert not wrong, wrong


@behave.when(
    "{count:d} job histories run and every record is read as a caller would"
)
def run_histories(context, count):
    rules = models.Rules(lag=0.8, crashing=0.05)
    context.violations = histories.explore(count, HISTORY_STEPS, rules, 5000)


@behave.then("none tells of a job as begun before a worker has started it")
def check_histories(context):
    assert not context.violations, context.violations[:5]


@behave.given(
    "a site of {count:d} managers whose {vms:d} VMs for the jobs are silent"
)
def start_silent(context, count, vms):
    site = context.own_fleet = sites.Site(count, pools=SILENT_POOLS)
    site.start()
    assert vms == SILENT_POOLS["lookups"]
    for machine in site.list_members("lookups"):
        site.order({"machine": machine, "fault": "silent"})


@behave.when(
    "{count:d} jobs of 2 tasks of 3 s are handed in and each manager is asked "
    "for {seconds:d} s"
)
def ask_all(context, count, seconds):
    site = context.own_fleet
    context.told, context.accepted, context.shown = [], {}, {}
    until = time.monotonic() + seconds
    asking = [
        gevent.spawn(ask_until, context, manager, until)
        for manager in site.managers
    ]
    for _ in range(count):
        identity = site.submit(
            "lookup", [{"count": 2, "cpu": 500}], f"work_ms={TASK_MS}"
        )
        context.accepted[identity] = time.monotonic()
    while time.monotonic() < until:
        for identity in context.accepted:
            asked = time.monotonic()
            if site.state("lookup", identity) == "running":
                context.shown.setdefault(identity, asked)
        gevent.sleep(ASK_PAUSE_S)
    gevent.joinall(asking, raise_error=True)


def ask_until(context, manager, until):
    """Ask one manager for the count until a time."""
    while time.monotonic() < until:
        asked = time.monotonic()
        reply = context.own_fleet.call(manager, "GET", "/lookup/")
        if reply is not None and reply.status == 200:
            told = json.loads(reply.body)["waiting"]
            context.told.append((asked, manager["vm"], told))
        gevent.sleep(ASK_PAUSE_S)


def read_first_starts(context):
    """Return when a worker first started a task of each job."""
    began = {}
    for at, kind, _, task, _, _ in context.own_fleet.journal()["journal"]:
        if kind == "start":
            began.setdefault(task.partition(".")[0], at)
    return began


@behave.then(
    "no answer tells under half of the jobs that were accepted 5 s before and "
    "have not begun"
)
def check_told(context):
    began = read_first_starts(context)
    wrong = []
    for asked, vm, told in context.told:
        waiting = sum(
            at < asked - COUNTED_AFTER_S
            and began.get(identity, asked + 1) > asked
            for identity, at in context.accepted.items()
        )
        if told * 2 < waiting:
            wrong.append((vm, told, waiting))
    assert len(context.told) > 10 * len(context.own_fleet.managers)
    assert not wrong, (len(wrong), wrong[:3], context.own_fleet.folder)


@behave.then("no job is shown as running before a worker has started it")
def check_shown(context):
    began = read_first_starts(context)
    early = [
        identity
        for identity, asked in context.shown.items()
        # Between the question and its answer a worker may start it.
        if began.get(identity, float("inf")) > asked + ASK_PAUSE_S
    ]
    assert not early, early
