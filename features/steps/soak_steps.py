"""Steps about the fault soak and its checks."""

from __future__ import annotations

import random

import behave

from tools import fleet as fleets
from tools.soak import availability
from tools.soak import callers
from tools.soak import checks
from tools.soak import gangs
from tools.soak import plan
from tools.soak import runner
from tools.soak import sizes
from tools.soak import spans
from tools.soak import stalls

MANAGERS = 3
ODD_ANSWERS = (
    "worker silent",
    "worker stuttering",
    "worker closing",
    "store stuttering",
    "store closing",
)
GROWN_MANAGERS = 8
OWNERS_AND_CONFIGURATIONS = (
    "owner killed",
    "owners stopped",
    "configurations",
    "configuration invalid",
    "worker crashed",
    "wave",
    "power lost",
)
JOB = "00000000000000aa"
REFUSED = "00000000000000bb"
CRASHING = "00000000000000cc"


@behave.when(
    "the soak runs with seed {seed:d} for {seconds:d} seconds, {shape}"
)
def run_soak(context, seed, seconds, shape):
    run = runner.Runner(seed, float(seconds), MANAGERS, shape)
    context.result = run.run()


@behave.when(
    "the soak runs with seed {seed:d} for {seconds:d} seconds, in bursts of "
    "these alone"
)
def run_odd_answers(context, seed, seconds):
    run = runner.Runner(
        seed, float(seconds), MANAGERS, plan.BURSTS, ODD_ANSWERS
    )
    context.result = run.run()


@behave.when(
    "the soak runs with seed {seed:d} for {seconds:d} seconds, in bursts of "
    "failing reports"
)
def run_failing_reports(context, seed, seconds):
    run = runner.Runner(
        seed, float(seconds), MANAGERS, plan.BURSTS, tuple(plan.DEFECTS)
    )
    context.result = run.run()


@behave.when(
    "the soak runs with seed {seed:d} for {seconds:d} seconds on the grown "
    "site"
)
def run_grown(context, seed, seconds):
    run = runner.Runner(
        seed,
        float(seconds),
        GROWN_MANAGERS,
        plan.BURSTS,
        OWNERS_AND_CONFIGURATIONS,
        sizes.GROWN,
    )
    context.result = run.run()


@behave.then(
    "jobs were accepted, faults were applied, and no promise was broken"
)
def check_soak(context):
    result = context.result
    assert not result.violations, (result.violations, result.folder)
    assert result.accepted and result.faults


@behave.then(
    "seed {one:d} draws the same {seconds:d} seconds of faults twice, and "
    "seed {other:d} others"
)
def check_draws(context, one, other, seconds):
    first = plan.draw_faults(one, seconds)
    assert first == plan.draw_faults(one, seconds)
    assert first != plan.draw_faults(other, seconds)


@behave.then("over {count:d} seeds each kind of fault is drawn")
def check_kinds(context, count):
    drawn = {
        fault.kind
        for seed in range(count)
        for fault in plan.draw_faults(seed, 60.0, plan.BURSTS)
    }
    assert drawn == set(plan.BURST_KINDS), set(plan.BURST_KINDS) - drawn


@behave.given("a run in which all promises were kept")
def make_run(context):
    steps = [{"count": 1}, {"count": 1, "after-rev": [0]}]
    good = callers.Job(
        identity=JOB, queue="lookup", pool="lookups", steps=steps
    )
    good.accepted, good.refused = True, False
    good.states = ["queued", "running", "completed"]
    bad = callers.Job(
        identity=REFUSED, queue="lookup", pool="lookups", steps=steps
    )
    context.jobs = [good, bad]
    context.journal = []
    for number in range(2):
        task = f"{JOB}.0.{number}.0"
        for kind, detail in (("start", ""), ("end", "done"), ("known", "")):
            context.journal.append(
                [0.0, kind, "w1", task, 1, detail or "done"]
            )
    context.calls = [callers.Call(0, 1.0, 1.1, 200)]
    context.told, context.output = [], ""
    context.absences = []
    context.orders = [[0.0, "/machine-move", "m1", "vm", 1, 0, 0]]
    assert not judge(context)


def judge(context):
    return [
        *checks.check_all(
            context.jobs,
            context.calls,
            context.absences,
            context.journal,
            context.orders,
        ),
        *checks.check_counts(context.jobs, context.told, context.journal),
        *checks.check_output(context.output),
        *checks.check_waves(context.orders, most=2, away=2.0),
        *gangs.check_gangs(context.jobs, context.journal, []),
    ]


def start(task, run=2):
    return [0.0, "start", "w2", task, run, ""]


@behave.when("members of a gang start from two checkpoints")
def start_apart(context):
    for index, text in enumerate(("", "saved")):
        row = [0.0, "brought", "w1", f"{JOB}.0.0.{index}", 1, text]
        context.journal.append(row)


@behave.when("a member of a gang ends alone in a calm time")
def end_alone(context):
    row = [9.0, "end", "w1", f"{JOB}.0.0.0", 1, "alone"]
    context.journal.append(row)


@behave.when("a task is started beside its other run")
def start_beside(context):
    context.journal.insert(1, start(f"{JOB}.0.0.0"))


@behave.when("a task is started after its end was known")
def start_again(context):
    context.journal.append(start(f"{JOB}.0.0.0"))


@behave.when("a task of the second step is started first")
def start_early(context):
    context.journal.insert(0, start(f"{JOB}.0.1.0"))


@behave.when("a task is started that nobody handed in")
def start_unknown(context):
    context.journal.append(start("00000000000000cc.0.0.0"))


@behave.when("a caller is told that none of 2 jobs waits")
def tell_too_few(context):
    for identity in ("00000000000000dd", "00000000000000ee"):
        job = callers.Job(
            identity=identity,
            queue="lookup",
            pool="lookups",
            steps=[{"count": 1}],
        )
        job.accepted, job.refused, job.accepted_at = True, False, 1.0
        job.states = ["queued", "cancelled"]
        context.jobs.append(job)
    told = callers.CountAnswer(
        manager=0, queue="lookup", began=6.1, ended=6.2, waiting=0
    )
    context.told.append(told)


@behave.when("a manager tells of an error that nobody expected")
def tell_error(context):
    context.output = '{"level":"error","event":"task.failed"}'


@behave.when("an accepted job is last seen running")
def leave_running(context):
    context.jobs[0].states = ["queued", "running"]


@behave.when("a refused job's task is started")
def start_refused(context):
    context.journal.append(start(f"{REFUSED}.0.0.0"))


@behave.when("a job is seen queued after it was running")
def go_back(context):
    context.jobs[0].states = ["running", "queued", "completed"]


@behave.when("a job is shown as completed without a task")
def drop_end(context):
    context.journal = [
        row for row in context.journal if not row[3].endswith(".1.0")
    ]


@behave.when("a call is cut off without a reason")
def cut_off(context):
    context.calls.append(callers.Call(0, 5.0, 5.1, 0))
    context.absences.append(
        checks.Downtime(
            manager=0, asked=2.0, began=5.6, ended=6.0, planned=True
        )
    )
    context.absences.append(
        checks.Downtime(
            manager=1, asked=5.0, began=5.0, ended=6.0, planned=False
        )
    )


@behave.when("a connection is refused just after its manager was told to end")
def refuse(context):
    call = callers.Call(0, 5.0, 5.1, 0)
    call.refused = True
    context.calls.append(call)
    context.absences.append(
        checks.Downtime(
            manager=0, asked=4.0, began=7.0, ended=8.0, planned=True
        )
    )


@behave.when("a VM is moved with work on it")
def move_busy(context):
    context.orders.append([0.0, "/machine-move", "m1", "vm", 1, 2, 0])


@behave.when("three VMs of a wave of two are maintained at once")
def maintain_three(context):
    for at, vm in ((1.0, "m1"), (1.5, "m2"), (2.9, "m3")):
        context.orders.append([at, "/machine-upkeep", vm, "vm", 1, 0, 7])


@behave.when("a job that crashes workers is last seen running")
def leave_crashing(context):
    context.jobs[0].crashing = True
    context.jobs[0].states = ["queued", "running"]


@behave.when("a task is started thrice after three crashes")
def start_crashing(context):
    job = callers.Job(
        identity=CRASHING, queue="lookup", pool="lookups", steps=[{"count": 1}]
    )
    job.accepted, job.crashing, job.states = True, True, ["failed"]
    context.jobs.append(job)
    task = f"{CRASHING}.0.0.0"
    for run in range(1, 7):
        assert not judge(context)
        context.journal.append(start(task, run))
        if run < 6:
            context.journal.append([0.0, "end", "w2", task, run, "crash"])


@behave.then('the soak reports "{promise}"')
def check_report(context, promise):
    assert promise in {broken.promise for broken in judge(context)}


@behave.given(
    "a job of one task, accepted at {accepted:g} s and started at {begun:g} s"
)
def make_still(context, accepted, begun):
    job = callers.Job(
        identity=JOB, queue="lookup", pool="lookups", steps=[{"count": 1}]
    )
    job.accepted, job.accepted_at = True, accepted
    context.jobs = [job]
    context.journal = [
        [begun, "start", "w1", f"{JOB}.0.0.0", 1, ""],
        [begun + 1, "end", "w1", f"{JOB}.0.0.0", 1, "done"],
    ]


@behave.given(
    "a fault from {began:g} s to {ended:g} s, and a worker that is {load}"
)
def make_fault(context, began, ended, load):
    context.spans = [spans.Span(began=began, ended=ended, kind="", place="")]
    before = [[1.0, "life", "w1", "m1", 0, "lookups"]]
    if load == "full":
        before += [
            [1.5, "start", "w1", f"{REFUSED}.0.0.{number}", 1, ""]
            for number in range(sizes.SMALL.slots)
        ]
    context.journal = before + context.journal


@behave.then("the soak reports {found} of standing still")
def check_still(context, found):
    gaps = stalls.find_gaps(context.jobs, context.journal, 100.0)
    broken = stalls.check_stalls(
        gaps, context.journal, context.spans, sizes.SMALL.slots
    )
    assert len(list(broken)) == (found == "a case")


LASTING_ENDS = {
    "is moving": "moving",
    "is in upkeep": "upkeep",
    "is stopped": "stopped",
    "is held up": "stopped",
    "is silent": "moving",
    "is crashed": "crash",
    "is lapsed": "lapsed",
}


@behave.given(
    "a lasting job of {tasks:d} tasks at work at {begun:g} s, of which "
    "{most:d} may be away"
)
def make_lasting(context, tasks, begun, most):
    step = {"count": tasks, "long-running": True, "may_miss": most}
    job = callers.Job(
        identity=JOB, queue="lookup", pool="lookups", steps=[step]
    )
    job.accepted, job.accepted_at = True, begun
    context.jobs, context.spans = [job], []
    context.journal = [[0.0, "life", "w1", "m1", 0, "lookups"]]
    for task in job.list_tasks():
        context.journal.append([begun, "start", "w1", task, 1, ""])
        context.journal.append([begun, "at work", "w1", task, 1, ""])


@behave.given("its first task {what} at {at:g} s")
def end_first(context, what, at):
    add_end(context, f"{JOB}.0.0.0", "stopped" if "back" in what else what, at)
    if what == "is back":
        context.journal.append([at, "at work", "w1", f"{JOB}.0.0.0", 2, ""])


def add_end(context, task, what, at):
    how = LASTING_ENDS.get(what, what)
    context.journal.append([at, "end", "w1", task, 1, how])
    if what in ("is held up", "is silent"):
        kind = "worker link silent"
        ended = at - 0.1 if what == "is held up" else at + 1
        context.spans.append(
            spans.Span(began=at - 2, ended=ended, kind=kind, place="m1")
        )


@behave.when("its second task {what} at {at:g} s")
def end_second(context, what, at):
    add_end(context, f"{JOB}.0.0.1", what, at)


@behave.then("the soak reports {found} of too much away")
def check_away(context, found):
    broken = availability.check_availability(
        context.jobs, context.journal, context.spans, []
    )
    assert len(list(broken)) == (found == "a case")


@behave.when("another run draws {count:d} ports with the same luck")
def draw_ports(context, count):
    kept = fleets._random, fleets._returned_ports
    luck = random.SystemRandom().getrandbits(32)
    context.drawn = []
    try:
        for _ in range(2):
            fleets._random, fleets._returned_ports = random.Random(luck), set()
            context.drawn.append({fleets.find_port() for _ in range(count)})
    finally:
        fleets._random, fleets._returned_ports = kept


@behave.then("none of them was drawn by the first run")
def check_drawn(context):
    first, second = context.drawn
    assert not first & second, first & second
