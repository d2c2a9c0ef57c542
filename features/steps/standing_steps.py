"""Steps about stalled jobs and how an owner reports them."""

from __future__ import annotations

import dataclasses
import re
from unittest import mock

import behave

from features import job_bench as benches
from features import job_models as models
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve import logs
from rackvalve.manager.owner import owner as owners
from rackvalve.manager.owner import reporter as reporters
from rackvalve.manager import timing
from rackvalve.scheduling import fleet
from rackvalve.scheduling import maintenance
from rackvalve.scheduling import queues
from rackvalve.scheduling import stalls
from rackvalve import telemetry as telemetries
from rackvalve.workspaces import account
from rackvalve.workspaces import directory

JOB = benches.IDENTITY
NAMES = ("w1", "w2")
FULL = models.CAPACITY
HALF = dataclasses.replace(FULL, cpu=FULL.cpu // 2)
JOBS = {
    "1 small task": definition.Step(tasks=1, cpu=1),
    "1 large task": definition.Step(tasks=1, cpu=FULL.cpu),
    "3 large tasks at once": definition.Step(tasks=3, cpu=FULL.cpu, gang=True),
    "2 lasting tasks": definition.Step(tasks=2, cpu=FULL.cpu, lasting=True),
}


def change_workers(**fields):
    """Make a blocker that changes both workers before the job is planned."""

    def apply(context):
        for name in NAMES:
            worker = context.bench.cluster.workers[name]
            for field, value in fields.items():
                setattr(worker, field, value)
        context.bench.plan()

    return apply


def configure(context, queue=models.QUEUE, **fields):
    context.bench.cluster.set_configuration(
        dataclasses.replace(
            models.CONFIGURATION, queues=(queue,) if queue else (), **fields
        )
    )
    context.bench.plan()


def bound_workspace(context):
    bound = fleet.Resources(cpu=1, memory=0, gpu=0)
    north = account.Workspace(name="north", rate=1.0, bound=bound)
    context.state.workspace = north.name
    context.bench.cluster.usage.add(north.name, bound)
    configure(context, workspaces=directory.Directory([north]))


def ask_adviser(context):
    advice = queues.AdmissionLimits(
        decide_time=0.1, worker_time=0.1, valid=1.0
    )
    configure(context, dataclasses.replace(models.QUEUE, admission=advice))


def silence_its_worker(context):
    order = context.bench.start_all()[0]
    context.order = order
    context.answering.remove(order.worker)


def drain(context):
    for name in NAMES:
        worker = context.bench.cluster.workers[name]
        worker.entry = dataclasses.replace(worker.entry, draining=True)
    context.bench.plan()


def silence_all(context):
    context.answering.clear()
    context.bench.now += timing.FRESHNESS_S + 0.1
    context.bench.plan()


def end_workers(context):
    context.answering.clear()
    for name in NAMES:
        context.bench.end_incarnation(name)


BLOCKERS = {
    "the queue is taken away": lambda context: configure(context, None),
    "the store takes no record": lambda context: context.bench.planner.plan(
        context.bench.now, context.bench.now
    ),
    "no worker confirms a start": lambda context: context.bench.plan(),
    "a wave closes the workers": change_workers(
        close_reason=maintenance.CLOSED
    ),
    "the workers are surplus": change_workers(close_reason="surplus"),
    "the workers fall silent": silence_all,
    "the workers were never heard": change_workers(established=False),
    "the workers drain": drain,
    "the entries are gone": change_workers(entry_missing_since=0.0),
    "the workers are over": end_workers,
    "its workspace is at a bound": bound_workspace,
    "the workers are half full": change_workers(free=HALF),
    "no worker is admitted": ask_adviser,
    "its worker falls silent": silence_its_worker,
    "nobody plans": lambda context: None,
    "its task is forgotten": lambda context: context.state.waiting.clear(),
    "nothing else": lambda context: context.bench.start_all(),
}


@behave.given("a job of {job} on 2 workers, and {blocker}")
def make_job(context, job, blocker):
    context.bench = bench = benches.Bench(NAMES)
    context.answering = list(NAMES)
    context.state = bench.add(JOBS[job])
    context.detector = stalls.StallDetector(
        bench.cluster, bench.planner, timing.FRESHNESS_S
    )
    BLOCKERS[blocker](context)
    if blocker == "the workers were never heard":
        context.answering.clear()


def pass_second(context):
    context.bench.now += 1.0
    for name in context.answering:
        worker = context.bench.cluster.workers[name]
        ordered = [
            key
            for key, placed in worker.runs.items()
            if placed.run.stage is progress.Stage.ORDERED
        ]
        rows = context.bench.rows(name)
        rows = [row for row in rows if (row.task, row.run) not in ordered]
        context.bench.report(name, rows)


@behave.when("the owner looks for 3 s")
def scan_jobs(context):
    context.scans = []
    for _ in range(3):
        pass_second(context)
        context.scans.append(context.detector.scan(context.bench.now))


@behave.then('it says "{cause}" and that the workers are "{workers}"')
def check_cause(context, cause, workers):
    check(context, cause, workers)


@behave.then('it says "{cause}" and that the workers are ""')
def check_no_workers(context, cause):
    check(context, cause, "")


def check(context, cause, workers):
    (pool,) = context.scans[-1].pools
    assert pool.oldest.cause.value == cause, pool
    assert 2.0 <= pool.oldest.seconds <= 4.0, pool
    assert [found.value for found in pool.causes] == [cause], pool
    counts = {kind.value: number for kind, number in pool.workers.items()}
    wanted = re.findall(r"([^:,]+): (\d+)", workers)
    assert counts == {kind.strip(): int(n) for kind, n in wanted}, counts
    (job,) = [job for scan in context.scans for job in scan.jobs]
    assert (job.job, job.cause) == (JOB, pool.oldest.cause), job


@behave.then("it says nothing")
def check_silent(context):
    assert not any(found.pools for found in context.scans), context.scans


@behave.when("the workers are opened after 3 s, and the job is planned")
def open_workers(context):
    scan_jobs(context)
    for name in NAMES:
        context.bench.cluster.workers[name].close_reason = ""
    context.bench.now += 1.0
    for name in NAMES:
        context.bench.report(name)
    context.bench.plan()
    context.scans = [context.detector.scan(context.bench.now)]


@behave.when("the run ends and the next one has not begun at the next look")
def end_run(context):
    for name in NAMES:
        context.bench.report(name)
    (end,) = context.bench.handler.ended
    context.detector.note_end(end.task)
    assert context.state.waiting
    first = context.detector.scan(context.bench.now + 1.0)
    context.scans = [first, context.detector.scan(context.bench.now + 2.0)]


@behave.then(
    'it says "{cause}" of 1 task, with its worker and the time to its proof'
)
def check_lasting(context, cause):
    (job,) = [job for scan in context.scans for job in scan.jobs]
    assert job.cause.value == cause, job
    assert job.task == str(context.order.task), job
    assert job.blocker.workers == (context.order.worker,), job
    assert 0.0 < job.blocker.proof_in < timing.WORKER_LEASE_S, job


@behave.given(
    "{more:d} more such jobs, of which {later:d} later ones have started"
)
def add_jobs(context, more, later):
    step = JOBS["1 small task"]
    for number in range(more):
        state = context.bench.add(step, identity=f"f{number:015x}")
        if number >= more - later:
            state.accepted += 1.0
            state.next_run = 2
            state.finish(state.phase.COMPLETED, 0.0, "")
            context.bench.cluster.mark_changed(state)


@behave.then(
    "each second has one line for the pool, with {jobs:d} jobs and "
    "{overtaken:d} that overtook"
)
def check_summaries(context, jobs, overtaken):
    # At the first scan no job is stalled for long enough.
    for found in context.scans[1:]:
        (pool,) = found.pools
        assert pool.causes.total() == jobs, pool
        assert pool.overtaken == overtaken, pool


@behave.then(
    "no look has told of more than {most:d} jobs, and none of them twice"
)
def check_reported(context, most):
    told = [[job.job for job in found.jobs] for found in context.scans]
    assert all(len(jobs) <= most for jobs in told), told
    names = sum(told, [])
    assert len(names) == len(set(names)) == 2 * most, told


@behave.then(
    "it has judged {judged:d} jobs, and says that it left out {left:d}"
)
def check_left_out(context, judged, left):
    found = context.scans[-1]
    assert found.count().total() == judged, found.count()
    assert found.unjudged == left, found.unjudged


def make_reporter(context):
    context.telemetry = telemetries.Telemetry()
    return reporters.Reporter(
        context.bench.cluster,
        context.bench.handler,
        context.bench.planner,
        context.telemetry,
    )


@behave.when("the owner's reporter looks for 3 s")
def report(context):
    context.reporter = make_reporter(context)
    with mock.patch.object(logs, "write_event") as written:
        for _ in range(3):
            pass_second(context)
            context.reporter.log_stalls(context.bench.now)
    context.lines = written.call_args_list


def read_gauge(context):
    (found,) = context.telemetry.jobs_standing.collect()
    return sum(sample.value for sample in found.samples)


@behave.then(
    "the lines pool.standing and job.standing name the reason, and the "
    "measure is 1"
)
def check_lines(context):
    names = [line.args[0] for line in context.lines]
    assert sorted(names) == [
        "job.standing",
        "pool.standing",
        "pool.standing",
    ], names
    for line in context.lines:
        assert line.args[0] in logs.EVENTS
        assert line.kwargs["reason"] == "no worker takes work", line
        assert line.kwargs["job"] == JOB, line
    assert context.lines[0].kwargs["workers"] == ["closed for a wave: 2"]
    assert read_gauge(context) == 1


@behave.then("the measure is 0 once the owner has stopped")
def check_gauge(context):
    context.reporter.close()
    assert read_gauge(context) == 0


@behave.when("its lease ends")
def end_lease(context):
    context.bench.now += timing.WORKER_LEASE_S + 1.0
    release_all(context)


@behave.when("its VM is listed as off")
def list_off(context):
    context.bench.cluster.workers[context.order.worker].note_lost()
    release_all(context)


def release_all(context):

    bench = context.bench
    context.released = bench.planner.stop_and_release(bench.now, bench.now)
    log_releases(context)


def log_releases(context):
    reporter = make_reporter(context)
    with mock.patch.object(logs, "write_event") as written:
        for release in context.released:
            reporter.log_release(release)
    context.lines = written.call_args_list


@behave.when("another life answers in its place")
def answer_other(context):
    registry = mock.Mock(end_incarnation=context.bench.end_incarnation)
    owner = mock.Mock(_cluster=context.bench.cluster, _registry=registry)
    with mock.patch.object(logs, "write_event") as written:
        owner._reporter = make_reporter(context)
        owners.Owner.end_incarnation(
            owner, context.order.worker, "another life answers"
        )
    context.lines = written.call_args_list


@behave.then('the owner says that {count:d} run is over, since "{proof}"')
def check_proof(context, count, proof):
    released, ended = context.lines
    assert released.args == ("worker.released",), released
    assert released.kwargs["proof"] == proof, released
    assert released.kwargs["runs"] == count, released
    assert ended.args == ("run.ended",), ended
    assert ended.kwargs["cause"] == proof, ended
    assert ended.kwargs["task"] == f"{JOB}.{context.order.task}", ended
