"""Steps about misbehaving clients of managers that run as processes."""

from __future__ import annotations

import behave

from tools.clients import trial


@behave.when(
    "{count:d} clients play {kind} at {where} of a manager for {seconds:d} s"
)
def play_crowd(context, count, kind, where, seconds):
    crowd = trial.Crowd(kind=kind, where=where, connections=count)
    context.trial = trial.Trial([crowd], seconds=seconds)
    context.result = context.trial.run()
    trial.report(f"{kind} at {where}", context.result)


def check(context, concern):
    found = [one for one in context.result.violations if one[0] == concern]
    assert not found, (found[:5], context.result.folder)


@behave.then("no process ends, hangs or takes more than 160 MB")
def check_processes(context):
    check(context, trial.Concern.PROCESSES)


@behave.then(
    "each ordinary caller beside them is served, or refused at the crowd's "
    "manager"
)
def check_callers(context):
    check(context, trial.Concern.CALLERS)


@behave.then("a caller on a slow link is served")
def check_slow_caller(context):
    check(context, trial.Concern.SLOW_CALLER)


@behave.then("all accepted jobs end and no refused one runs")
def check_jobs(context):
    check(context, trial.Concern.JOBS)
