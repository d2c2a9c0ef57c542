"""Steps about the removal of ended jobs from the store."""

from __future__ import annotations

from unittest import mock

import behave

from features import job_cores as cores
from rackvalve import clocks
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve.manager.owner import intake
from rackvalve.manager.owner import recorder
from rackvalve.manager import timing
from rackvalve.platform import store

IDENTITY = "00000000000000aa"
KEEP_S = 120.0
LONG_S = 1000.0


class FakeWriter:
    """Writer that keeps enqueued writes until the test completes them."""

    def __init__(self, items):
        self.items = items
        self.enqueued = {}

    def enqueue(self, key, make, *, urgent=True):
        self.enqueued[key] = make

    def write(self, key):
        record = self.enqueued.pop(key)()
        assert record.payload is None, key
        self.items.pop(key, None)
        if record.written is not None:
            record.written()


def read(items, prefix):
    return tuple(
        store.Item(key=key, payload=payload, revision=1, created=1)
        for key, payload in items.items()
        if key.startswith(prefix)
    )


def load(items):
    """Return the cluster and the intake of an owner that takes over now."""
    cluster = cores.make_cores(
        clocks.read_steady(), inherited_lease=0.0
    ).cluster
    known = read(items, records.PROGRESS_PREFIX)
    jobs = intake.JobIntake(cluster, known, on_change=mock.Mock())
    jobs.apply_range(read(items, records.PREFIX))
    return cluster, jobs


@behave.given("an owner with a job of {tasks:d} tasks that ended long ago")
def make_ended(context, tasks):
    job = definition.Job(
        spec="x", steps=(definition.Step(tasks=tasks, cpu=1),)
    )
    state = progress.JobState(IDENTITY, "queue", job, 1.0)
    state.open_steps(1.0)
    for task in state.tasks.values():
        task.done = True
    state.finish_if_done(1.0)
    payloads = {
        records.Part.DEFINITION: records.encode_definition(job, 1.0),
        records.Part.PROGRESS: records.encode_progress(state),
    }
    context.items = {
        records.format_key("queue", IDENTITY, part): payload
        for part, payload in payloads.items()
    }
    context.writer = FakeWriter(context.items)
    context.cluster, context.jobs = load(context.items)
    assert IDENTITY in context.cluster.jobs
    context.recorder = recorder.Recorder(
        context.cluster,
        context.writer,
        mock.Mock(),
        keep=KEEP_S,
        on_recorded=mock.Mock(),
    )
    context.now = clocks.read_steady()
    context.begun = []
    collect(context)


def collect(context):
    """Let the owner collect jobs that ended long ago."""
    context.now += timing.COLLECT_INTERVAL_S
    context.recorder.collect(context.now, LONG_S)


def remove_all(context, on_commit):
    """Complete all writes, one commit a key, progress as early as possible.

    :param on_commit: Called before the first commit and after each.
    """
    on_commit()
    while context.writer.enqueued:
        keys = sorted(context.writer.enqueued)
        context.writer.write(keys[-1])
        on_commit()


@behave.when("its records are removed, and an owner loads after each commit")
def remove_and_load(context):
    def on_commit():
        cluster, _ = load(context.items)
        context.begun.extend(cluster.open_jobs)

    remove_all(context, on_commit)


@behave.when(
    "its records are removed, and the owner reads all jobs after each commit"
)
def remove_and_read(context):
    def on_commit():
        context.jobs.apply_range(read(context.items, records.PREFIX))

    remove_all(context, on_commit)


@behave.when("its records are removed while the owner reads all jobs")
def remove_while_reading(context):
    found = read(context.items, records.PREFIX)
    remove_all(context, lambda: None)
    context.jobs.apply_range(found)


@behave.then("no owner has found a job to begin")
def check_none_begun(context):
    assert not context.begun, context.begun
    assert not context.cluster.open_jobs, context.cluster.open_jobs


@behave.then("none of its records is left")
def check_none_left(context):
    assert not context.items, context.items


@behave.then("the owner forgets the job at its next round")
def check_forgotten(context):
    collect(context)
    assert not context.cluster.jobs
