"""Steps about owners whose terms end by an unexpected error."""

from __future__ import annotations

import behave
import gevent

from features.steps import outage_steps
from rackvalve.manager.election import election
from rackvalve.manager.election import failures


def fail(context, worker):
    """Have the present owner fail, and note its term."""
    owner = context.first.owners[-1]
    context.failed_fence = owner.fence
    owner.failure = failures.Failure(worker=worker)
    owner.deposed = "an unexpected error"


@behave.when('its owner fails on the answers of worker "{worker}"')
def fail_on_worker(context, worker):
    fail(context, worker)


@behave.when("its owner fails on no worker")
def fail_elsewhere(context):
    fail(context, "")


@behave.when(
    'its owner fails on the answers of worker "{worker}", after another one '
    "took the term"
)
def fail_without_term(context, worker):
    store = context.store
    store.revision += 1
    context.other_term = store.revision
    store.write(election.TERM_KEY, b"another", 0, store.revision)
    fail(context, worker)
    gevent.sleep(0.6)


@behave.then(
    "within {seconds:g} s the same process owns, under a greater token"
)
def check_same(context, seconds):
    outage_steps.wait_until(
        lambda: context.first.owners[-1].fence > context.failed_fence, seconds
    )
    assert context.first.owns
    assert len(outage_steps.find_owners(context)) == 1


@behave.then(
    "within {seconds:g} s another process owns, under a greater token"
)
def check_other(context, seconds):
    def find_others():
        found = outage_steps.find_owners(context)
        return [one for one in found if one is not context.first]

    outage_steps.wait_until(find_others, seconds)
    assert not context.first.owns
    assert find_others()[0].owners[-1].fence > context.failed_fence


@behave.then('it has quarantined "{worker}" for {seconds:g} s')
def check_quarantined(context, worker, seconds):
    history = context.first.election._failures
    noted = history._by_worker[worker][-1]
    assert history.is_quarantined(worker, noted + seconds - 0.01)
    assert not history.is_quarantined(worker, noted + seconds)


@behave.then("it has begun no term without that of the other one")
def check_terms(context):
    failed, *later = context.first.owners
    assert failed.stopped
    assert all(owner.fence > context.other_term for owner in later)


@behave.then("no other process has owned")
def check_alone(context):
    others = [one for one in context.processes if one is not context.first]
    assert not any(one.owners for one in others)


@behave.given("a process whose owners fail at these seconds on {workers}")
def make_history(context, workers):
    context.history = failures.FailureHistory()
    for row in context.table:
        names = {
            "no worker": "",
            "worker w1": "w1",
            "a worker each time": f"w{row['at']}",
        }
        context.history.note_failure(
            failures.Failure(worker=names[workers]), float(row["at"])
        )


@behave.given(
    "a process whose owners fail on {count:d} workers within a second"
)
def make_many(context, count):
    context.history = failures.FailureHistory()
    for number in range(count):
        context.history.note_failure(
            failures.Failure(worker=f"w{number}"), number / count
        )


@behave.then("at {at:g} s {held} are quarantined, and the process {does}")
def check_history(context, at, held, does):
    found = context.history.list_quarantined(at)
    if held.isdigit():
        assert len(found) == int(held), found
    else:
        assert found == ([] if held == "none" else [held]), found
    assert context.history.is_paused(at) == (does == "lets others own")
