"""Steps about commits that get no answer while others do."""

from __future__ import annotations

import behave
import gevent

from features import job_bench
from features.steps import commit_steps
from features.steps import refused_record_steps as refused
from rackvalve import clocks
from rackvalve.manager.owner import writer as writers
from rackvalve.manager import timing
from rackvalve.platform import store as stores
from rackvalve.scheduling import workers

LARGE = "large"


class UnansweringStore(commit_steps.FakeStore):
    """Store that answers no commit of one record."""

    def __init__(self):
        super().__init__()
        self.unanswered = 0

    def commit(self, conditions, puts, removals, *, timeout):
        if any(put.key == LARGE for put in puts):
            gevent.sleep(0.02)
            self.unanswered += 1
            return stores.Unknown(reason="no answer in time")
        return super().commit(conditions, puts, removals, timeout=timeout)


@behave.given('a writer whose commits of "large" get no answer')
def answer_none(context):
    context.is_reached = False
    refused.make_writer(
        context,
        UnansweringStore(),
        get_contact=lambda: (
            clocks.read_steady() if context.is_reached else 0.0
        ),
    )
    commit_steps.mark_record(context, LARGE)
    refused.wait_for(lambda: context.store.unanswered)


@behave.when("other records are written while other calls are answered")
def write_reached(context):
    context.is_reached = True
    write_others(context)


@behave.when("other records are written while no call is answered")
def write_others(context):
    for number in range(3):
        commit_steps.mark_record(context, f"r{number}")
        gevent.sleep(2 * timing.STORE_RETRY_DELAY_S)


@behave.then('they are in the store, and "large" is tried on')
def check_written(context):
    assert context.store.order == ["r0", "r1", "r2"], context.store.order
    assert context.store.unanswered > 2


def acknowledge(context, jobs):
    """Return the last end that a worker may discard, of one end a job."""
    worker = job_bench.Bench(["w1"]).cluster.workers["w1"]
    worker.handled = len(jobs)
    worker.unrecorded = [
        workers.UnrecordedEnd(number, job)
        for number, job in enumerate(jobs, start=1)
    ]
    worker.note_write(context.writer.number)
    return worker.find_acknowledged(context.writer.is_stored)


@behave.then("a worker with ends of other jobs may discard all of them")
def check_acknowledged(context):
    assert acknowledge(context, ["r0", "r1", "r2"]) == 3


@behave.then('a worker with an end of "large" may discard the ones before it')
def check_kept(context):
    assert acknowledge(context, ["r0", LARGE, "r2"]) == 1


@behave.then("they wait for that commit")
def check_waiting(context):
    assert not context.store.order, context.store.order


@behave.when("a commit of {size:d} bytes is sent for the first time")
def send_sized(context, size):
    context.timeout = writers._choose_timeout(0, size)


@behave.then("it has {seconds:g} s for its answer")
def check_timeout(context, seconds):
    assert context.timeout == seconds, context.timeout
