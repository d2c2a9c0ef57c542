"""Steps about records that the store refuses for their content."""

from __future__ import annotations

import time

import behave
import gevent
from gevent import pool

from features.steps import cancellation_steps as cancellations
from features.steps import commit_steps
from features.steps import decoding_steps
from features.steps import site_steps
from rackvalve.manager.api import job_api
from rackvalve.manager.owner import writer as writers
from rackvalve.platform import store as stores
from rackvalve import telemetry
from tools import fleet as fleets

BAD = "bad"
WAIT_S = 3.0


class RefusingStore(commit_steps.FakeStore):
    """Store that refuses one record for its content."""

    def __init__(self, refusals):
        super().__init__()
        self.refusals = refusals

    def commit(self, conditions, puts, removals, *, timeout):
        if self.refusals and any(put.key == BAD for put in puts):
            self.refusals -= 1
            self.calls += 1
            return stores.Refused(reason="status 400")
        return super().commit(conditions, puts, removals, timeout=timeout)


def make_writer(context, store, **fields):
    """Make a writer that notes what it gives up."""
    context.store = store
    context.written = []
    context.refused = []
    spawned = pool.Group()
    context.add_cleanup(spawned.kill)
    context.writer = writers.Writer(
        store,
        stores.Condition(key=commit_steps.OWNER, revision=store.fence),
        on_deposed=lambda reason: None,
        on_contact=lambda sent: None,
        spawn=spawned.spawn,
        on_refused=lambda key, size: context.refused.append((key, size)),
        **fields,
    )
    running = gevent.spawn(context.writer.run)
    context.add_cleanup(running.kill)


def wait_for(condition):
    until = time.monotonic() + WAIT_S
    while not condition() and time.monotonic() < until:
        gevent.sleep(0.01)


@behave.given('a writer whose store refuses the record "bad"')
def refuse_always(context):
    make_writer(context, RefusingStore(1000))


@behave.given('a writer whose store refuses the record "bad" {count:d} times')
def refuse_often(context, count):
    make_writer(context, RefusingStore(count))


@behave.when('it writes {count:d} records, one of them "bad"')
def write_records(context, count):
    context.keys = [f"r{number}" for number in range(count - 1)]
    context.keys.insert(count // 2, BAD)
    for key in context.keys:
        commit_steps.mark_record(context, key)
    wait_for(lambda: are_stored(context))


def are_stored(context):
    """Return whether all writes count as stored."""
    return all(
        context.writer.is_stored(key, number)
        for number, key in enumerate(context.keys, start=1)
    )


@behave.then(
    'all others are in the store, and "bad" is given up and told of once'
)
def check_others(context):
    assert set(context.keys) - {BAD} == set(context.store.order)
    assert context.refused == [(BAD, len(BAD))], context.refused
    assert BAD not in context.written


@behave.then("all writes are counted as done")
def check_done(context):
    assert context.writer.number == len(context.keys)
    assert are_stored(context)


@behave.then("all records are in the store")
def check_all(context):
    assert context.store.order == context.keys, context.store.order
    assert not context.refused


@behave.when("the store answers a commit with {status:d}")
def answer_commit(context, status):
    context.outcome = decoding_steps.call_store(
        b"{}", "commit", [], [], status=status
    )


@behave.then("its outcome is {name}")
def check_outcome(context, name):
    assert type(context.outcome).__name__ == name, context.outcome


# -- a site ----------------------------------------------------------------


@behave.when("a job is accepted whose record the store refuses")
def submit_refused(context):
    site = context.own_fleet
    identity = f"{site.jobs + 1:016x}"
    # The record of its end alone is smaller.
    site.refuse_values(f"progress/lookup/{identity}/", above=250)
    context.refused = ("lookup", site_steps.submit(context))
    context.submitted.clear()


@behave.then(
    "it is shown as failed, and the owner logs and counts the refusal"
)
def check_shown_failed(context):
    site = context.own_fleet
    assert site.wait_final(*context.refused) == "failed"
    text = fleets.call(site.owner()["metrics"], "GET", "/metrics").body
    assert b"rackvalve_records_refused_total 1.0" in text
    rows = site_steps.read_runs(context)
    assert not rows, rows


@behave.then("the others run, also after the owner ends")
def check_others_run(context):
    site_steps.submit(context)
    site_steps.check_completed(context)
    context.own_fleet.owner()["process"].kill()
    site_steps.submit(context, queue="rebuild")
    site_steps.check_completed(context)
    assert context.own_fleet.wait_final(*context.refused) == "failed"


# -- a definition ----------------------------------------------------------


@behave.given("two managers at a store that keeps values of {limit:d} bytes")
def make_limited(context, limit):
    cancellations.make_managers(context)
    context.first = job_api.JobApi(
        context.store,
        context.view,
        telemetry.Telemetry(),
        is_stopping=lambda: False,
        value_limit=limit,
    )


@behave.when("a job of {count:d} steps is submitted")
def submit_steps(context, count):
    job = {"spec": "x", "steps": [{"count": 1, "cpu": 1}] * count}
    context.status, _ = cancellations.call(context.first, "POST", job)


@behave.then("the submission is answered 413 and nothing was written")
def check_refused(context):
    assert context.status == 413, context.status
    assert context.store.writes == 0


@behave.given(
    "two managers at a store that refuses definitions {times:d} times"
)
def refuse_definitions(context, times):
    cancellations.make_managers(context)
    context.refusals = 0

    def intervene(conditions):
        if context.refusals == times:
            return None
        context.refusals += 1
        return stores.Refused(reason="status 400")

    context.first._store.intervene = intervene


@behave.then("the submission is answered {status:d} after {times:d} refusals")
def check_answered(context, status, times):
    assert context.status == status, context.status
    assert context.refusals == times, context.refusals
