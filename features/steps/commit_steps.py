"""Steps about commits: their interleavings, timing, and answers."""

from __future__ import annotations

import behave
import gevent
from gevent import pool

from features import commit_model as models
from rackvalve.manager.owner import backlog as backlogs
from rackvalve.manager.owner import writer as writers
from rackvalve.manager import timing
from rackvalve.platform import store as stores
from tools.experiments import commits

OWNER = "owner"


@behave.when(
    "all interleavings of commits with {losses:d} lost answer are explored"
)
def explore_all(context, losses):
    context.explorer = models.Explorer("", losses)
    context.explorer.run()


@behave.when(
    "the interleavings of commits without the condition on the {key} "
    "are explored"
)
def explore_without(context, key):
    context.explorer = models.Explorer(key, 1)
    context.explorer.run()


@behave.then("no violation is found in more than {count:d} interleavings")
def check_no_violation(context, count):
    assert not context.explorer.violations, context.explorer.violations
    assert len(context.explorer.seen) > count, len(context.explorer.seen)


@behave.then('it is found that "{violation}"')
def check_violation(context, violation):
    found = context.explorer.violations
    assert violation in found, found


@behave.given("a store that answers after {answer:d} ms")
def set_answer(context, answer):
    context.answer = answer / 1000


@behave.when("a turn of {seconds:d} seconds marks {rate:d} records a second")
def play_turn(context, seconds, rate):
    times = [number / rate for number in range(seconds * rate)]
    context.waits, context.calls = commits.simulate_backlog(
        context.answer, times
    )
    context.chained, context.chain_calls = commits.simulate_chain(
        context.answer, times
    )


@behave.then("99 of 100 records are in the store within {bound:d} ms")
def check_waits(context, bound):
    wait = context.waits[len(context.waits) * 99 // 100]
    assert wait * 1000 <= bound, wait


@behave.then("one commit at a time takes {bound:d} ms or more for them")
def check_chained(context, bound):
    wait = context.chained[len(context.chained) * 99 // 100]
    assert wait * 1000 >= bound, wait


@behave.then("it gets no more calls than by one commit at a time")
def check_calls(context):
    assert context.calls <= context.chain_calls, (
        context.calls,
        context.chain_calls,
    )


@behave.given("a store that answers no call")
def answer_none(context):
    context.backlog = backlogs.Backlog()


@behave.when("{count:d} records are marked")
def mark_many(context, count):
    backlog = context.backlog
    now = 100.0
    for number in range(count):
        backlog.enqueue(f"r{number}", lambda: None, now, urgent=True)
        if backlog.find_wait(now) == 0:
            backlog.take(now)
            backlog.is_failing = True
        now += 0.01


@behave.then("one commit is under way")
def check_one(context):
    assert context.backlog.in_flight == 1, context.backlog.in_flight


@behave.given("a record that is being written")
def begin_record(context):
    context.backlog = backlogs.Backlog()
    context.backlog.enqueue("a", lambda: None, 1.0, urgent=True)
    context.batch = context.backlog.take(1.0)


@behave.when("the same record is marked again beside another one")
def mark_again(context):
    context.backlog.enqueue("a", lambda: None, 1.0, urgent=True)
    context.backlog.enqueue("b", lambda: None, 1.0, urgent=True)
    context.next = context.backlog.take(1.1)


@behave.then("the next commit has only the other one")
def check_other(context):
    assert list(context.next.writes) == ["b"], context.next


@behave.then("the record's newer form is sent once the first is in the store")
def check_newer(context):
    backlog = context.backlog
    assert backlog.find_wait(1.2) is None
    backlog.complete_batch(context.batch, 1.2)
    # The newer form and the other record are not.
    stored = [
        (key, number)
        for key, number in (("a", 1), ("a", 2), ("b", 3))
        if backlog.is_stored(key, number)
    ]
    assert stored == [("a", 1)], stored
    assert list(backlog.take(1.2).writes) == ["a"]


class ResettingStore:
    """Store that resets each connection after the call was sent."""

    def __init__(self):
        self.calls = 0

    def commit(self, conditions, puts, removals, *, timeout):
        self.calls += 1
        gevent.sleep(0)
        return stores.Unknown(reason="reset")


@behave.given("a writer whose calls to the store are all reset at once")
def reset_calls(context):
    make_writer(context)
    context.store = context.writer._store = ResettingStore()


@behave.when("it has {count:d} records to write for {seconds:g} seconds")
def write_many(context, count, seconds):
    running = gevent.spawn(context.writer.run)
    for number in range(count):
        mark_record(context, f"r{number}")
        gevent.sleep(seconds / count)
    running.kill()


@behave.then("the store was called {count:d} times at the most")
def check_calls_bounded(context, count):
    assert context.store.calls <= count, context.store.calls


class FakeStore:
    """Store in memory with the commit semantics of the platform's store."""

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.order = []
        self.calls = 0
        # Numbers of the calls whose answers are lost.
        self.lost = set()
        self.put(OWNER, b"us")
        self.fence = self.revision

    def put(self, key, payload):
        self.revision += 1
        self.items[key] = stores.Item(
            key=key, payload=payload, revision=self.revision, created=1
        )

    def commit(self, conditions, puts, removals, *, timeout):
        self.calls += 1
        lost = self.calls in self.lost
        found = {
            condition.key: self.items[condition.key]
            for condition in conditions
            if condition.key in self.items
        }
        for condition in conditions:
            item = found.get(condition.key)
            if (item.revision if item else 0) != condition.revision:
                return stores.Conflict(items=found)
        for put in puts:
            self.put(put.key, put.payload)
            self.order.append(put.key)
        if lost:
            gevent.sleep(0.05)
            return stores.Unknown(reason="no answer in time")
        return stores.Committed(revision=self.revision)


def make_writer(context):
    context.store = FakeStore()
    context.deposed = []
    context.written = []
    # The writer's greenlets end with its owner; here with the scenario.
    spawned = pool.Group()
    context.add_cleanup(spawned.kill)
    context.writer = writers.Writer(
        context.store,
        stores.Condition(key=OWNER, revision=context.store.fence),
        on_deposed=context.deposed.append,
        on_contact=lambda sent: None,
        spawn=spawned.spawn,
    )


def mark_record(context, key):
    context.writer.enqueue(
        key,
        lambda: backlogs.Record(
            payload=key.encode(),
            written=lambda: context.written.append(key),
        ),
    )


@behave.given("a writer whose first commit gets no answer")
def lose_first(context):
    make_writer(context)
    context.store.lost = {1}


@behave.when("it writes 2 records, one after the other")
def write_two(context):
    running = gevent.spawn(context.writer.run)
    mark_record(context, "first")
    gevent.sleep(timing.COMMIT_SPACING_S)
    mark_record(context, "second")
    gevent.sleep(0.02)
    context.stored = [list_stored(context)]
    gevent.sleep(0.1)
    context.stored.append(list_stored(context))
    running.kill()


def list_stored(context):
    """Return the records that the writer takes for stored."""
    return [
        key
        for number, key in enumerate(("first", "second"), start=1)
        if context.writer.is_stored(key, number)
    ]


@behave.then("the second is in the store before the first")
def check_order(context):
    assert context.written == ["second", "first"], context.written


@behave.then("the first is written once, by a second try")
def check_tries(context):
    assert context.store.order == ["first", "second"], context.store.order
    assert context.store.calls == 3, context.store.calls


@behave.then("each is counted as stored once it is in the store itself")
def check_stored(context):
    assert context.stored == [["second"], ["first", "second"]], context.stored


@behave.given("a record that an earlier owner has left unread")
def leave_record(context):
    make_writer(context)
    context.store.put("record", b"old")


@behave.given("a writer whose ownership another process has taken")
def take_ownership(context):
    make_writer(context)
    context.store.put(OWNER, b"them")


@behave.when("a writer writes it")
def write_one(context):
    running = gevent.spawn(context.writer.run)
    mark_record(context, "record")
    gevent.sleep(0.05)
    running.kill()


@behave.then(
    "it is in the store after one conflict and the owner is not deposed"
)
def check_adopted(context):
    assert context.store.items["record"].payload == b"record"
    assert context.store.calls == 2, context.store.calls
    assert not context.deposed, context.deposed


@behave.then("nothing is in the store and the owner is deposed")
def check_deposed(context):
    assert "record" not in context.store.items
    assert len(context.deposed) == 1, context.deposed


@behave.when("its commit is tried for the {number:d}th time")
def try_late(context, number):
    context.limit = writers._choose_timeout(number - 1)


@behave.then("it waits as long as any try for its answer")
def check_limit(context):
    assert context.limit == timing.MAX_COMMIT_TIMEOUT_S, context.limit
