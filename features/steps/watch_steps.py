"""Steps about watches that are answered late or not at all."""

from __future__ import annotations

import time

import behave
import gevent

from rackvalve.manager import timing
from rackvalve.manager import watcher as watchers
from rackvalve.platform import store as stores

PREFIX = "job/"
KEY = "job/q/1/definition"


class SlowWatchStore:
    """Store that answers all calls at once except watches."""

    def __init__(self, *, silence=0.0, late=0.0, refuses=False):
        self.refuses = refuses
        self.began = time.monotonic()
        self.silence = silence
        self.late = late
        self.items = []
        self.range_reads = 0

    @property
    def revision(self):
        return 10 + len(self.items)

    def read_range(self, prefix):
        self.range_reads += 1
        return stores.Range(items=tuple(self.items), revision=self.revision)

    def watch(self, prefix, after, wait, *, slack):
        if self.refuses:
            return stores.Unavailable(reason="status 429")
        muted = self.began + self.silence - time.monotonic()
        if muted > wait + slack or self.late > slack:
            gevent.sleep(wait + slack)
            return stores.Unavailable(reason="no answer in time")
        gevent.sleep(max(muted, wait + self.late))
        written = tuple(item for item in self.items if item.revision > after)
        return stores.Changes(
            written=written, removed=(), revision=self.revision
        )


@behave.given("a store whose watches say nothing for {silence:g} seconds")
def mute_watches(context, silence):
    context.store = SlowWatchStore(silence=silence)


@behave.given("a store whose watches answer {late:g} seconds late")
def delay_watches(context, late):
    context.store = SlowWatchStore(late=late)


@behave.given("a store that refuses watches at once")
def refuse_watches(context):
    context.store = SlowWatchStore(refuses=True)


def start_watcher(context):
    context.seen = {}
    context.reported = []

    def record_items(items):
        for item in items:
            context.seen.setdefault(item.key, time.monotonic())

    def record_changes(changes):
        context.reported.extend(item.key for item in changes.written)
        record_items(changes.written)

    watcher = watchers.Watcher(
        context.store,
        PREFIX,
        pace=timing.OWNER_WATCH,
        on_range=record_items,
        on_changes=record_changes,
        on_contact=lambda: None,
    )
    assert watcher.read()
    return gevent.spawn(watcher.run)


@behave.when(
    "an owner follows its jobs and one is written after {delay:g} seconds"
)
def write_job(context, delay):
    running = start_watcher(context)
    gevent.sleep(delay)
    store = context.store
    store.items.append(
        stores.Item(
            key=KEY, payload=b"", revision=store.revision + 1, created=1
        )
    )
    gevent.sleep(store.silence + 0.3)
    running.kill()


@behave.then("the owner has seen it before a watch has told of it")
def check_seen(context):
    answers_from = context.store.began + context.store.silence
    assert context.seen[KEY] < answers_from, context.seen[KEY] - answers_from


@behave.then("no job is told twice as new")
def check_told_once(context):
    assert context.reported.count(KEY) <= 1, context.reported


@behave.when("an owner follows its jobs for {seconds:g} seconds")
def follow_for(context, seconds):
    running = start_watcher(context)
    gevent.sleep(seconds)
    running.kill()


@behave.then("all items were read {count:d} times at the most")
def check_readings(context, count):
    assert context.store.range_reads <= count, context.store.range_reads
