"""Steps about the ownership in outages of an in-process store."""

from __future__ import annotations

import time

import behave
import gevent

from rackvalve.manager.election import candidacy
from rackvalve.manager.election import election
from rackvalve.platform import store as stores
from rackvalve import telemetry

# Answer time of the store.
ANSWER_S = 0.004
LARGE, SMALL = 2.0, 0.5


class FakeStore:
    """In-memory store with revisions and leases, for several processes."""

    def __init__(self):
        self.items = {}
        self.revision = 0
        # End of each lease, and its length from each renewal on.
        self.leases = {}
        self.lengths = {}
        self.history = []
        self.changed = gevent.event.Event()
        # Processes that get no answer; ``None`` for all.
        self.unreachable = frozenset()
        # Processes whose next call raises an unexpected error.
        self.failing = set()
        # Number of next commits that take effect without an answer.
        self.lost_answers = 0
        # Whether the next commit takes effect after the next read only, and
        # that commit.
        self.is_late = False
        self.late = None
        # Stall of each process in each of its calls, in seconds.
        self.pause = 0.0

    def expire(self):
        now = time.monotonic()
        for lease, until in list(self.leases.items()):
            if now > until:
                self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        for key, (_, owner) in list(self.items.items()):
            if owner == lease:
                self.remove(key)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append((self.revision, key, None))
            self.wake()

    def write(self, key, payload, lease, revision):
        item = stores.Item(
            key=key, payload=payload, revision=revision, created=revision
        )
        self.items[key] = (item, lease)
        self.history.append((revision, key, item))
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed.clear()


class Connection:
    """One process's connection to the store."""

    def __init__(self, store, name):
        self.store = store
        self.name = name

    def is_unreachable(self):
        unreachable = self.store.unreachable
        return unreachable is None or self.name in unreachable

    def wait_for_answer(self, timeout=0.4):
        """Wait as long as a call takes; return whether it is answered."""
        if self.name in self.store.failing:
            self.store.failing.discard(self.name)
            raise RuntimeError("an error that nobody expects")
        until = time.monotonic() + timeout
        while self.is_unreachable():
            if time.monotonic() > until:
                return False
            gevent.sleep(0.01)
        gevent.sleep(ANSWER_S + self.store.pause)
        self.store.expire()
        return True

    def open_lease(self, duration):
        if not self.wait_for_answer():
            return stores.Unavailable(reason="silent")
        identity = len(self.store.history) + 1000 * len(self.store.leases) + 1
        while identity in self.store.leases:
            identity += 1
        self.store.leases[identity] = time.monotonic() + duration
        self.store.lengths[identity] = duration
        # The store may grant a longer lease than requested.
        return stores.Lease(identity=identity, duration=duration + 1.0)

    def renew_lease(self, identity, timeout):
        if not self.wait_for_answer(timeout):
            return stores.Unavailable(reason="silent")
        if identity not in self.store.leases:
            return False
        length = self.store.lengths[identity]
        self.store.leases[identity] = time.monotonic() + length
        return True

    def end_lease(self, identity):
        if not self.wait_for_answer():
            return stores.Unavailable(reason="silent")
        self.store.end(identity)
        return True

    def read(self, key, *, timeout=None):
        if not self.wait_for_answer():
            return stores.Unavailable(reason="silent")
        found = self.store.items.get(key)
        if self.store.late is not None:
            late, self.store.late = self.store.late, None
            self.make_commit(*late)
        return stores.Missing() if found is None else found[0]

    def read_range(self, prefix):
        if not self.wait_for_answer():
            return stores.Unavailable(reason="silent")
        items = tuple(item for item, _ in self.store.items.values())
        return stores.Range(items=items, revision=self.store.revision)

    def watch(self, prefix, after, wait, *, slack):
        if not self.wait_for_answer(wait + slack):
            return stores.Unavailable(reason="silent")
        if self.store.revision <= after:
            self.store.changed.wait(wait)
        if not self.wait_for_answer(slack):
            return stores.Unavailable(reason="silent")
        rows = [row for row in self.store.history if row[0] > after]
        return stores.Changes(
            written=tuple(item for _, _, item in rows if item is not None),
            removed=tuple(
                (key, revision) for revision, key, item in rows if item is None
            ),
            revision=self.store.revision,
        )

    def commit(self, conditions, puts, removals=None, *, timeout=None):
        if not self.wait_for_answer():
            return stores.Unknown(reason="silent")
        if self.store.is_late:
            self.store.is_late = False
            self.store.late = (conditions, puts)
            return stores.Unknown(reason="cancelled")
        return self.make_commit(conditions, puts)

    def make_commit(self, conditions, puts):
        """Make a commit that has arrived."""
        found = {key: item for key, (item, _) in self.store.items.items()}
        for condition in conditions:
            item = found.get(condition.key)
            revision = item.revision if item is not None else 0
            if revision != condition.revision:
                return stores.Conflict(
                    items={
                        one.key: found[one.key]
                        for one in conditions
                        if one.key in found
                    }
                )
        self.store.revision += 1
        revision = self.store.revision
        for put in puts:
            if put.lease and put.lease not in self.store.leases:
                return stores.LeaseOver()
            self.store.write(put.key, put.payload, put.lease, revision)
        if self.store.lost_answers:
            self.store.lost_answers -= 1
            return stores.Unknown(reason="lost")
        return stores.Committed(revision=revision)


class FakeOwner:
    """Owner that records why it was stopped."""

    def __init__(self, fence):
        self.fence = fence
        self.deposed = ""
        self.failure = None
        self.is_loaded = True
        self.stopped = ""

    def start(self):
        pass

    def stop(self, reason):
        self.stopped = reason

    def note_confirmation(self, now):
        pass


class Process:
    """One process that takes part in the election."""

    def __init__(self, store, number, cores, **options):
        self.name = f"p{number}"
        self.owners = []
        self.election = election.Election(
            Connection(store, self.name),
            self.name,
            cores=cores,
            make_owner=self.make_owner,
            may_own=lambda: True,
            telemetry=telemetry.Telemetry(),
            on_contact=lambda: None,
            **options,
        )
        self.greenlets = self.election.start()

    def make_owner(self, fence):
        self.owners.append(FakeOwner(fence))
        return self.owners[-1]

    @property
    def owns(self):
        return bool(self.owners) and not self.owners[-1].stopped


def wait_until(condition, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until and not condition():
        gevent.sleep(0.01)
    assert condition()


def kill(process):
    """End a process at once; its lease expires later."""
    gevent.killall(process.greenlets)


def find_owners(context):
    return [process for process in context.processes if process.owns]


@behave.given("an owner on the largest VM and {count:d} others in one store")
def start_processes(context, count):
    context.store = FakeStore()
    first = Process(context.store, 0, LARGE)
    context.processes = [first]
    wait_until(lambda: first.owns, 3.0)
    context.processes.extend(
        Process(context.store, number + 1, (LARGE, SMALL)[number % 2])
        for number in range(count)
    )
    context.first = first
    context.fence = first.owners[-1].fence
    gevent.sleep(0.3)


def make_unreachable(context, seconds, unreachable):
    context.store.unreachable = unreachable
    gevent.sleep(seconds)
    context.store.expire()
    context.store.unreachable = frozenset()
    context.returned = time.monotonic()


@behave.when("the store says nothing for {seconds:f} s and its leases end")
def make_store_unreachable(context, seconds):
    make_unreachable(context, seconds, None)


@behave.when(
    "the store says nothing for {seconds:f} s and its leases end, and the "
    "owner dies"
)
def make_store_unreachable_and_kill(context, seconds):
    kill(context.first)
    context.processes.remove(context.first)
    make_unreachable(context, seconds, None)


@behave.when("the owner alone is cut off for {seconds:f} s")
def isolate_owner(context, seconds):
    make_unreachable(context, seconds, frozenset({context.first.name}))


@behave.then(
    "{seconds:f} s after its return the same owner holds the key, under its "
    "token"
)
def check_kept(context, seconds):
    wait_until(lambda: election.KEY in context.store.items, seconds)
    gevent.sleep(seconds)
    holder = candidacy.read_holder(
        context.store.items[election.KEY][0].payload
    )
    assert holder.process == context.first.name
    assert context.first.owns and len(context.first.owners) == 1


@behave.then("nobody else has taken the ownership")
def check_no_other_owner(context):
    assert [len(process.owners) for process in context.processes] == [
        1,
        0,
        0,
        0,
    ]


@behave.then(
    "it waits {wait:d} ms before it takes an ownership that is free since an "
    "outage"
)
def check_grace(context, wait):
    found = candidacy.compute_candidacy_delay(context.known_cores, 0.0)
    assert round(found * 1000) == wait, found


@behave.then(
    "{wait:d} ms before it takes one that is free {since:f} s after an outage"
)
def check_no_grace(context, wait, since):
    found = candidacy.compute_candidacy_delay(context.known_cores, since)
    assert round(found * 1000) == wait, found


@behave.then(
    "{seconds:f} s after its return another one owns, under a greater token"
)
@behave.then("{seconds:f} s later another one owns, under a greater token")
def check_successor(context, seconds):
    def find_successors():
        return [
            process
            for process in find_owners(context)
            if process is not context.first
            and process.owners[-1].fence > context.fence
        ]

    wait_until(find_successors, seconds)
    assert len(find_owners(context)) == 1


@behave.then("another one owns, under a greater token")
def check_other(context):
    others = [p for p in find_owners(context) if p is not context.first]
    (other,) = others
    assert other.owners[-1].fence > context.fence


@behave.then(
    "the first one is deposed when it hears of it and has written nothing"
)
def check_deposed(context):
    wait_until(lambda: not context.first.owns, 3.0)
    term = context.store.items[election.TERM_KEY][0]
    assert term.revision > context.fence
    (owner,) = find_owners(context)
    assert owner.owners[-1].fence == term.revision


@behave.when("its key is taken away {count:d} times, once a second")
def remove_key_repeatedly(context, count):
    context.tokens = []
    context.counts = []
    for _ in range(count):
        context.store.remove(election.KEY)
        gevent.sleep(1.0)
        owners = find_owners(context)
        context.counts.append(len(owners))
        context.tokens.append(owners[0].owners[-1].fence)


@behave.then("each time one process owns, and the tokens never fall")
def check_tokens(context):
    assert set(context.counts) == {1}, context.counts
    assert context.tokens == sorted(context.tokens)


@behave.when(
    "its key is taken away and it is told to hand over at the same time"
)
def remove_key_and_resign(context):
    context.store.remove(election.KEY)
    gevent.sleep(2 * ANSWER_S)
    context.first.election.resign()


@behave.when(
    "each of them stands still for {pause:f} s at each call, for {seconds:f} s"
)
def stall_processes(context, pause, seconds):
    context.store.pause = pause
    gevent.sleep(seconds)


@behave.then("nobody takes the ownership in the next {seconds:f} s")
def check_no_change(context, seconds):
    before = [len(process.owners) for process in context.processes]
    gevent.sleep(seconds)
    after = [len(process.owners) for process in context.processes]
    assert before == after, (before, after)
    assert len(find_owners(context)) == 1


@behave.when(
    "the owner is late for a moment, and the answer that gives it a longer "
    "lease is lost"
)
def lose_longer_lease(context):
    delays = context.first.election._delays
    context.store.lost_answers = 1
    delays.record(0.9, time.monotonic())
    wait_until(lambda: not context.store.lost_answers, 2.0)
    # From now on the shortest lease suffices again.
    delays._delays.clear()


@behave.then("its key is not written anew in the next {seconds:f} s")
def check_unwritten(context, seconds):
    before = context.store.items[election.KEY][0].revision
    gevent.sleep(seconds)
    assert context.store.items[election.KEY][0].revision == before
