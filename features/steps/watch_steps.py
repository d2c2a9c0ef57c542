"""Steps about watches that are answered late or not at all."""

from __future__ import annotations

import json
import time
from unittest import mock

import behave
import gevent
from gevent import event

from rackvalve import logs
from rackvalve.manager import timing
from rackvalve.manager import view as views
from rackvalve.manager import watcher as watchers
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from rackvalve import tasks

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


class ChangingStore:
    """Store whose watches end with a change or after their wait."""

    def __init__(self, *, delay=0.0):
        self.items = []
        self.delay = delay
        # When each answer was sent, on the monotonic clock.
        self.sent_at = []
        self._changed = event.Event()

    @property
    def revision(self):
        return 10 + len(self.items)

    def write(self):
        self.items.append(
            stores.Item(
                key=KEY, payload=b"", revision=self.revision + 1, created=1
            )
        )
        self._changed.set()

    def read_range(self, prefix):
        self.sent_at.append(time.monotonic())
        return stores.Range(items=tuple(self.items), revision=self.revision)

    def watch(self, prefix, after, wait, *, slack):
        if self.revision <= after:
            self._changed.clear()
            self._changed.wait(wait)
        written = tuple(item for item in self.items if item.revision > after)
        self.sent_at.append(time.monotonic())
        revision = self.revision
        gevent.sleep(self.delay)
        return stores.Changes(written=written, removed=(), revision=revision)


@behave.given(
    "a store with changes, and a reader that fails on the first {number:d} of "
    "them"
)
def make_failing_reader(context, number):
    context.store = ChangingStore()
    context.failures_left = number


@behave.given(
    "a store with changes, whose answers are read {delay:g} seconds late"
)
def make_late_reader(context, delay):
    context.store = ChangingStore(delay=delay)
    context.failures_left = 0


def run_reader(context, seconds, *, is_written):
    context.applied_at = []
    context.confirmations = []

    def apply(items):
        if not items:
            return
        if context.failures_left:
            context.failures_left -= 1
            raise RuntimeError("this change cannot be applied")
        context.applied_at.append(time.monotonic())

    def note_confirmed(at):
        context.confirmations.append((time.monotonic(), at))

    watcher = watchers.Watcher(
        context.store,
        PREFIX,
        pace=timing.OWNER_WATCH,
        on_range=apply,
        on_changes=lambda changes: apply(changes.written),
        on_contact=lambda: None,
        on_confirmed=note_confirmed,
    )
    assert watcher.read()
    pause = timing.TASK_RESTART_DELAY_S
    running = tasks.run_forever("a watch", pause, watcher.run)
    gevent.sleep(0.1)
    if is_written:
        context.written_at = time.monotonic()
        context.store.write()
    gevent.sleep(seconds)
    running.kill()


@behave.when(
    "a change is written and the reader runs on for {seconds:g} seconds"
)
def run_with_change(context, seconds):
    run_reader(context, seconds, is_written=True)


@behave.when("the reader runs on for {seconds:g} seconds")
def run_without_change(context, seconds):
    run_reader(context, seconds, is_written=False)


@behave.then("the change is applied, and was confirmed by no answer before")
def check_applied(context):
    assert context.applied_at, "the change was lost"
    too_early = [
        at
        for noted, at in context.confirmations
        if noted < context.applied_at[0] and at > context.written_at
    ]
    assert not too_early, too_early


@behave.then("no answer has confirmed a later time than that of its sending")
def check_confirmations(context):
    assert len(context.confirmations) > 1
    for (noted, at), sent in zip(
        context.confirmations, context.store.sent_at, strict=False
    ):
        assert at <= sent + 0.05, (noted, at, sent)


WAVE_KEY = f"{documents.WAVE_PREFIX}1"


@behave.given("a view that fails on the operator's wave")
def make_failing_view(context):
    context.view = views.View()


@behave.when("it reads the wave and, after it, a configuration")
def read_documents(context):
    configuration = json.dumps({"version": 7}).encode()
    items = (
        stores.Item(key=WAVE_KEY, payload=b"{}", revision=1, created=1),
        stores.Item(
            key=documents.CONFIGURATION_KEY,
            payload=configuration,
            revision=2,
            created=2,
        ),
    )
    with (
        mock.patch.object(documents, "read_wave", side_effect=ValueError),
        mock.patch.object(logs, "write_failure") as context.failure,
    ):
        context.view.apply_range(items)


@behave.then(
    "it holds the configuration, and an error that names the wave is logged"
)
def check_view(context):
    assert context.view.version == 7
    context.failure.assert_called_once_with("task.failed", message=WAVE_KEY)
