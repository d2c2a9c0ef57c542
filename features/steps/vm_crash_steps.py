"""Steps about crashes that VMs cause, and what they mean for jobs."""

from __future__ import annotations

import dataclasses
from unittest import mock

import behave

from features import job_bench as benches
from features import job_models as models
from features.steps import crash_steps
from features.steps import isolation_steps
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve import logs
from rackvalve.manager.owner import reporter as reporters
from rackvalve.scheduling import attribution
from rackvalve.scheduling import endings
from rackvalve.scheduling import releases

# Longer than all waits of a decision, in seconds.
LONG_S = attribution.SETTLING_S + attribution.DOUBT_S + 1.0


@behave.given(
    "{count:d} VMs and a task under which {crashes:d} workers have crashed"
)
def make_vms(context, count, crashes):
    context.bench = bench = benches.Bench([f"w{n}" for n in range(count)])
    context.made = 0
    context.state = bench.add(definition.Step(tasks=1, cpu=1))
    if crashes:
        isolation_steps.count_crashes(bench, context.state, crashes)


def pass_time(bench, seconds, silent=()):
    """Let time pass while all workers answer."""
    for _ in range(round(seconds * 10)):
        bench.now += 0.1
        for name in bench.numbers.keys() - set(silent):
            bench.report(name, bench.rows(name))
        bench.planner.stop_and_release(bench.now, bench.now)


def crash(context, name):
    """Let a VM crash, and a new worker start on it at once."""
    bench = context.bench
    entry = bench.cluster.workers[name].entry
    bench.end_incarnation(name)
    del bench.numbers[name]
    context.made += 1
    again = f"n{context.made}"
    bench.cluster.set_entry(dataclasses.replace(entry, identity=again))
    bench.numbers[again] = 0
    bench.report(again)


def start_isolated(context, *, is_confirmed=True):
    """Start the task once it may, and return its worker."""
    bench = context.bench
    for _ in range(100):
        bench.plan()
        for order in bench.starts():
            assert order.job == context.state.identity
            if is_confirmed:
                bench.confirm(order)
            return order.worker
        pass_time(bench, 0.1)
    raise AssertionError("the task does not start")


def find_other(context, *names):
    return next(name for name in context.bench.numbers if name not in names)


@behave.when("its isolated run ends with its worker twice, {how}")
def end_isolated(context, how):
    bench = context.bench
    if "had crashed while idle" in how:
        for name in list(bench.numbers):
            crash(context, name)
            bench.now += 2.0
            pass_time(bench, 0.1)
    for _ in range(2):
        pass_time(bench, 0.1)
        name = start_isolated(context, is_confirmed="before" not in how)
        other = find_other(context, name)
        bench.now += 2.85 if "2.85" in how else 0.2
        workers = bench.cluster.workers
        workers[name].note_unanswered(bench.now - 0.03, bench.now, is_cut=True)
        if "another VM" in how:
            workers[other].note_unanswered(
                bench.now - 0.02, bench.now, is_cut=True
            )
        if "silent" not in how and "moment" in how:
            crash(context, other)
        crash(context, name)
        if "idle VM's" in how:
            bench.now += 0.9
            crash(context, other)
        context.silent = [other] if "silent" in how else []
        pass_time(bench, attribution.SETTLING_S, context.silent)
    if not context.silent:
        pass_time(bench, LONG_S)


@behave.when("the worker of its isolated run is cut off twice, {how}")
def cut_off(context, how):
    bench = context.bench
    workers = bench.cluster.workers
    for _ in range(2):
        name = start_isolated(context)
        cut = [name, find_other(context, name)]
        if how == "alone":
            cut.pop()
        pass_time(bench, 0.2)
        for one in cut:
            workers[one].note_unanswered(
                bench.now - 0.7, bench.now, is_cut=False
            )
        pass_time(bench, 2.0, cut)
        endings.release_all(
            bench.cluster,
            workers[name],
            releases.LEASE_OVER,
            now=bench.now,
            wall=bench.now,
        )
        pass_time(bench, 1.0, cut)
        pass_time(bench, LONG_S)


@behave.when(
    "its isolated run ends with its worker, and the job is cancelled in the "
    "next one"
)
def cancel_isolated(context):
    bench = context.bench
    crash(context, start_isolated(context))
    context.worker = start_isolated(context)
    assert bench.cluster.crash_history.isolated
    bench.cluster.finish_job(
        context.state, progress.Phase.CANCELLED, bench.now, "cancelled"
    )


@behave.then("no evidence is kept, nor of a crash that follows")
def check_no_evidence(context):
    history = context.bench.cluster.crash_history
    assert not history.isolated and not history.due
    assert context.bench.cluster.workers[context.worker].runs
    crash(context, context.worker)
    assert not history.isolated and not history.due


@behave.then("the state of the job is {outcome}")
def check_outcome(context, outcome):
    phase = context.state.phase
    is_failed = phase is progress.Phase.FAILED
    assert is_failed == (outcome == "failed"), (phase, context.state.reason)


@behave.then("the job is open, and its task does not start again yet")
def check_held(context):
    assert not context.state.is_final, context.state.reason
    context.bench.plan()
    assert not context.bench.starts()


@behave.then("it is failed once the other VM has answered")
def check_answered(context):
    pass_time(context.bench, 1.0)
    assert context.state.phase is progress.Phase.FAILED


@behave.when("an idle VM has crashed 5 s before")
def crash_idle(context):
    crash(context, "w0")
    pass_time(context.bench, 5.0)


@behave.then(
    "it is failed by the next such crash, and its reason names the workers "
    "and VMs"
)
def check_next_crash(context):
    bench = context.bench
    name = start_isolated(context)
    vm = bench.cluster.workers[name].entry.vm
    bench.now += 0.2
    crash(context, name)
    pass_time(bench, LONG_S)
    assert context.state.phase is progress.Phase.FAILED
    assert f"{name} on {vm} at most 0.2" in context.state.reason


@behave.when("a new owner reads the record of the spent task")
def read_spent(context):
    context.state = crash_steps.hand_over(context.bench, context.state)


@behave.then("the task does not start within {seconds:g} s")
def check_not_started(context, seconds):
    pass_time(context.bench, seconds)
    context.bench.plan()
    assert not context.bench.starts()


@behave.when("one of the VMs crashes {count:d} times while idle")
def crash_repeatedly(context, count):
    bench = context.bench
    context.telemetry = mock.Mock()
    reporter = reporters.Reporter(
        bench.cluster, bench.handler, bench.planner, context.telemetry
    )
    name = "w1"
    with mock.patch.object(logs, "write_warning") as write:
        for _ in range(count):
            crash(context, name)
            name = f"n{context.made}"
            for _ in range(2):
                pass_time(bench, 1.1)
                reporter.log_crashes(bench.now)
    context.logged = write.call_args_list
    context.crashing = name


@behave.then("its worker is the last that gets tasks")
def check_last(context):
    bench = context.bench
    workers = bench.cluster.workers
    assert workers[context.crashing].is_crash_prone
    bench.add(definition.Step(tasks=9, cpu=1), identity=f"{7:016x}")
    used = {order.worker for order in bench.start_all()}
    assert context.crashing not in used, used


@behave.then(
    "the owner logs the VM once for each further crash, and counts it"
)
def check_logged(context):
    expected = [
        mock.call("vm.crashing", on_vm="w1", pool=models.POOL, crashes=count)
        for count in (2, 3)
    ]
    assert context.logged == expected, context.logged
    gauge = context.telemetry.vms_crashing.labels
    gauge.assert_called_with(models.POOL)
    gauge.return_value.set.assert_called_with(1)


@behave.when(
    "its isolated run ends with its worker, which is proved 2 s later"
)
def end_late(context):
    bench = context.bench
    name = start_isolated(context)
    bench.now += 0.2
    bench.cluster.workers[name].note_unanswered(
        bench.now - 0.03, bench.now, is_cut=True
    )
    bench.now += 2.0
    crash(context, name)


@behave.then("the task does not start before the next check")
def check_before_decision(context):
    # As the owner does between two checks.
    context.bench.planner.plan(context.bench.now, context.bench.now)
    assert not context.state.list_planned()


@behave.when(
    "a new owner finds its isolated run ended at the same time as those of "
    "another VM"
)
def find_ended(context):
    bench = context.bench
    beside = bench.add(definition.Step(tasks=1, cpu=1), identity=f"{8:016x}")
    bench.start_all()
    names = [
        next(iter(next(iter(state.tasks.values())).runs.values())).worker
        for state in (context.state, beside)
    ]
    assert len(set(names)) == 2, names
    old = bench.cluster
    states = [context.state, beside]
    for name in names:
        del bench.numbers[name]
    context.state, _ = crash_steps.take_over(bench, states)
    for name in names:
        worker = bench.cluster.workers[name]
        worker.set_entry(old.workers[name].entry)
        worker.note_unanswered(bench.now - 0.03, bench.now, is_cut=True)
    bench.now += 0.5
    for name in names:
        bench.end_incarnation(name)
    pass_time(bench, LONG_S)
