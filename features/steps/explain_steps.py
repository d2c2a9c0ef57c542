"""Steps about explaining jobs from log lines."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile

import behave

from rackvalve.explain import day as days
from rackvalve.explain import events
from rackvalve.explain import job_report

JOB = "aa"
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def line(time, event, vm="vm-1", **fields):
    return json.dumps({"time": time, "event": event, "vm": vm, **fields})


def accept(time):
    return [
        line(time, "job.accepted", "vm-2", job=JOB, queue="q"),
        line(time + 0.02, "job.taken", job=JOB, queue="q"),
    ]


def order(time, task="0.0.0", run=1, worker="w1", vm="vm-1"):
    return line(
        time, "run.ordered", vm, job=JOB, task=task, run=run, worker=worker
    )


def end(
    time,
    cause="done",
    task="0.0.0",
    run=1,
    worker="w1",
    vm="vm-1",
    **fields,
):
    return line(
        time,
        "run.ended",
        vm,
        task=f"{JOB}.{task}",
        run=run,
        worker=worker,
        cause=cause,
        **fields,
    )


def finish(time, phase="completed", reason="all tasks are done"):
    return line(
        time,
        "job.ended",
        job=JOB,
        phase=phase,
        reason=reason,
        queue="q",
        pool="p",
        stretch=1.6,
        allowance=0.6,
    )


def refuse(time, status, reason, silence, version):
    return line(
        time,
        "call.answered",
        "vm-2",
        method="POST",
        path=f"/q/{JOB}",
        status=status,
        reason=reason,
        silence=silence,
        version=version,
    )


def lose(time, vm, dependency, **fields):
    return line(time, "dependency.lost", vm, dependency=dependency, **fields)


def size(time, pool, demand, have):
    return line(time, "pool.size", pool=pool, demand=demand, have=have)


def accept_from(workspace, guaranteed):
    return [
        line(1.0, "job.accepted", job=JOB, queue="q", workspace=workspace),
        line(
            1.01,
            "job.taken",
            job=JOB,
            queue="q",
            workspace=workspace,
            guaranteed=guaranteed,
            phase="queued",
        ),
    ]


def held(time, workspace):
    return line(
        time,
        "workspace.held",
        workspace=workspace,
        tasks=4,
        cpu=5,
        cpu_bound=0,
        memory=90,
        memory_bound=96,
    )


def stand(time, reason, **fields):
    return line(
        time, "job.standing", job=JOB, reason=reason, seconds=1.6, **fields
    )


CASES = {
    "a job whose task leaves an evacuated hall": [
        line(50.0, "halls.evacuated", "vm-2", halls=["b"]),
        line(60.0, "halls.evacuated", "vm-2", halls=[]),
        *accept(100.0),
        order(100.1),
        line(101.0, "halls.evacuated", "vm-2", halls=["a"]),
        line(
            101.5,
            "run.stopping",
            task="aa.0.0.0",
            run=1,
            worker="w1",
            reason="its hall a is evacuated",
        ),
        end(102.0, cause="stopped"),
        order(104.0, run=2, worker="w2"),
        end(105.0, run=2, worker="w2"),
        finish(105.1),
    ],
    "a job refused everywhere": [
        lose(1.0, "vm-2", "store", reason="no answer in time"),
        lose(1.0, "vm-3", "store", reason="no answer in time"),
        refuse(2.5, 503, "the store does not answer this process", 1.7, 4),
    ],
    "a task that always fails": [
        *accept(1.0),
        order(1.1, "0.0.1"),
        end(1.6, "failed", "0.0.1"),
        line(1.7, "ownership.taken", "vm-9", fence=3),
        order(1.8, "0.0.1", 2, "w2"),
        end(2.3, "failed", "0.0.1", 2, "w2"),
        finish(2.4, "failed", "task 0.0.1 failed 2 times"),
    ],
    "a task that crashes": [
        *accept(1.0),
        order(1.1),
        end(1.9, "its VM is listed as off", crashes=1),
        order(2.0, run=2, worker="w2"),
        end(2.5, "its lease is over", run=2, worker="w2", crashes=1),
        order(2.6, run=3, worker="w3"),
        end(3.4, "another life answers", run=3, worker="w3", crashes=2),
        finish(3.5, "failed", "2 workers crashed under task 0.0.0"),
    ],
    "a task whose VM crashes": [
        *accept(1.0),
        order(1.1),
        line(
            3.5,
            "crash.decided",
            "vm-1",
            job=JOB,
            task="0.0.0",
            failed=True,
            evidence=["w3 on m-3"],
            explained=["w1 on m-1: w4 on m-4 crashed as well"],
        ),
        finish(3.6, "failed", "3 workers crashed under task 0.0.0"),
    ],
    "a cancelled job": [
        *accept(1.0),
        line(1.5, "job.cancel_recorded", "vm-2", job=JOB),
        finish(1.6, "cancelled", "its caller cancelled it"),
    ],
    "a job late by its worker": [
        *accept(1.0),
        order(1.1),
        lose(2.0, "vm-1", "worker", worker="w9", reason="silent"),
        lose(2.0, "vm-1", "worker", worker="w1", reason="silent"),
        order(6.2, run=2, worker="w2"),
        end(7.0, run=2, worker="w2"),
        finish(7.1),
    ],
    "a job late by a lost rack": [
        *accept(1.0),
        order(1.1),
        *(
            line(
                2.0,
                "rack.suspected",
                hall="h1",
                rack=rack,
                overdue=3,
                working=5,
                workers=[worker, "w9"],
            )
            for rack, worker in (("r1", "w1"), ("r2", "w2"))
        ),
        order(6.2, run=2, worker="w2"),
        end(7.0, run=2, worker="w2"),
        finish(7.1),
    ],
    "a job late by a restart": [
        *accept(1.0),
        order(1.1, worker="w1@1000"),
        line(2.0, "worker.restarted", "vm-1", worker="w9@2", before="w9@1"),
        line(
            2.0, "worker.restarted", "vm-1", worker="w1@2000", before="w1@1000"
        ),
        order(6.2, run=2, worker="w2"),
        end(7.0, run=2, worker="w2"),
        finish(7.1),
    ],
    "a job late by its owner": [
        *accept(1.0),
        line(3.2, "ownership.taken", "vm-3", fence=9),
        size(3.5, "p", 3.0, 4),
        order(3.6, vm="vm-3"),
        end(4.0, vm="vm-3"),
        finish(4.1),
    ],
    "a job late for want of room": [
        *accept(1.0),
        size(2.0, "p", 9.5, 4),
        size(2.0, "q", 1.0, 4),
        size(3.0, "p", 12.5, 4),
        order(3.6),
        end(4.0),
        finish(4.1),
    ],
    "a job held by its bound": [
        *accept_from("north", guaranteed=True),
        held(2.0, "south"),
        held(2.5, "north"),
        order(3.6),
        end(4.0),
        finish(4.1),
    ],
    "a job beyond its rate": [
        *accept_from("north", guaranteed=False),
        order(3.6),
        end(4.0),
        finish(4.1),
    ],
    "a caller without a right": [
        refuse(2.5, 401, "key unknown by version 7", 0.1, 7),
    ],
    "a job in time": [*accept(1.0), order(1.05), end(1.5), finish(1.55)],
    "a job that never started": [
        *accept(1.0),
        lose(2.0, "vm-1", "worker", worker="w9", reason="silent"),
        size(9.02, "p", 1.0, 4),
    ],
    "a job that stood still": [
        *accept(1.0),
        line(3.2, "ownership.taken", "vm-3", fence=9),
        stand(
            4.0,
            "its workers do not answer",
            workers=["w7"],
            proof_in=2.5,
            awaited="its lease",
        ),
        line(
            4.0,
            "pool.standing",
            pool="p",
            reasons=["its workers do not answer: 3", "no worker has room: 1"],
            reason="its workers do not answer",
            seconds=2.25,
        ),
        order(6.5),
        end(7.0),
        finish(7.1),
    ],
    "a job that still stands": [
        *accept(1.0),
        stand(2.6, "no worker takes work"),
        size(9.02, "p", 1.0, 4),
    ],
    "another job": [line(1.0, "job.accepted", job="bb", queue="q")],
}


@behave.given("the log lines of {case}")
def take_lines(context, case):
    context.lines = CASES[case]


@behave.when("the job is explained")
def explain(context):
    read = events.read_lines(reversed(context.lines))
    assert not read.unread
    context.report = job_report.make_report(JOB, read)


@behave.then('the verdict is "{verdict}"')
def check_verdict(context, verdict):
    assert context.report.result.startswith(verdict), context.report.result


@behave.then('a cause says "{text}"')
def check_cause(context, text):
    assert any(text in cause for cause in context.report.causes), (
        context.report
    )


@behave.then('no cause says "{text}"')
def check_no_cause(context, text):
    assert not any(text in cause for cause in context.report.causes)


@behave.when("the operator's command explains it from a file")
def run_command(context):
    context.done = run_explain(context.lines, "job", JOB)


def run_explain(lines, *arguments):
    """Run the operator's command on a file of log lines."""
    with tempfile.NamedTemporaryFile("w", suffix=".log") as out:
        out.write("\n".join(lines))
        out.flush()
        return subprocess.run(
            [
                str(pathlib.Path(sys.executable).parent / "rackvalve"),
                "explain",
                *arguments,
                out.name,
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )


@behave.when("the day is explained")
def explain_day(context):
    read = events.read_lines(reversed(context.lines))
    (context.assessment,) = days.assess(read)


@behave.then('the job was late, mostly for "{cause}"')
def check_late(context, cause):
    assert context.assessment.late, context.assessment
    assert context.assessment.main_cause == cause, context.assessment


@behave.then("no job was late")
def check_in_time(context):
    assert not context.assessment.late, context.assessment


@behave.when("the operator's command explains the day from a file")
def run_day_command(context):
    context.done = run_explain(context.lines, "day")


@behave.then("it prints the window, the cause and the sizes")
def check_day_printed(context):
    assert context.done.returncode == 0, context.done
    for text in (
        "1 room in the pool",
        "1 of 1 jobs were late",
        "1 of 1 small",
    ):
        assert text in context.done.stdout, context.done.stdout


@behave.then("it prints what stood still")
def check_standing_printed(context):
    assert (
        "stood still: p: its workers do not answer: told in 1 s, 3 jobs at "
        "once, 2.2 s at the longest"
    ) in context.done.stdout, context.done.stdout


@behave.then("it ends with 0 and prints its verdict and its causes")
def check_printed(context):
    assert context.done.returncode == 0, context.done
    for text in ("completed", "dependency.lost", "run.ordered"):
        assert text in context.done.stdout, context.done.stdout


@behave.then("it ends with {code:d}")
def check_code(context, code):
    assert context.done.returncode == code, context.done


@behave.given("lines with text before the brace, broken ones and an empty one")
def take_broken(context):
    context.read = events.read_lines(
        ["12.5 vm-1 " + line(1.0, "job.taken"), "{broken", "no event", ""]
    )


@behave.then(
    "{count:d} event is read and {unread:d} lines are counted as unread"
)
def check_read(context, count, unread):
    assert len(context.read.events) == count
    assert context.read.unread == unread
