"""Steps about the age of the counts that callers are told."""

from __future__ import annotations

import json
import time
from unittest import mock

import behave
import gevent

from features import job_api_bench
from features.steps import currency_steps
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve.manager.api import counts
from rackvalve.manager.owner import recorder as recorders
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from rackvalve.scheduling import cluster as clusters
from rackvalve import telemetry

PREFIX = "/known/"
QUEUE = "known"
JOB = definition.Job(spec="x", steps=(definition.Step(tasks=1, cpu=1),))
ANSWER_S = 0.01


class CountStore:
    """Store with the records of a queue's jobs; counts range reads."""

    def __init__(self, item):
        self.item = item
        self.items = {}
        self.lists = 0
        self.lists_fail = False
        self.silent = False

    def put(self, key, payload):
        self.items[key] = stores.Item(
            key=key, payload=payload, revision=1, created=1
        )

    def read(self, key, *, timeout=None):
        gevent.sleep(ANSWER_S)
        if self.silent:
            return stores.Unavailable(reason="no answer in time")
        return self.items.get(key, stores.Missing())

    def read_range(self, prefix):
        self.lists += 1
        gevent.sleep(ANSWER_S)
        if self.silent or self.lists_fail:
            return stores.Unavailable(reason="status 503")
        found = [
            item for key, item in self.items.items() if key.startswith(prefix)
        ]
        return stores.Range(items=tuple(found), revision=1)


@behave.given(
    "a queue with {waiting:d} jobs accepted and not begun, {begun:d} begun, "
    "{ended:d} ended and {cancelled:d} cancelled"
)
def make_queue(context, waiting, begun, ended, cancelled):
    route = {"name": QUEUE, "host": currency_steps.HOST, "service": "p"}
    configuration = {
        "version": 1,
        "routes": [{**route, "path-prefix": PREFIX}],
    }
    item = stores.Item(
        key=documents.CONFIGURATION_KEY,
        payload=json.dumps(configuration).encode(),
        revision=1,
        created=1,
    )
    job_api_bench.make_job_api(context, CountStore(item), item, 0.1)
    phases = (
        [progress.Phase.QUEUED] * waiting
        + [progress.Phase.RUNNING] * begun
        + [progress.Phase.COMPLETED] * ended
        + [progress.Phase.QUEUED] * cancelled
    )
    for number, phase in enumerate(phases):
        # Half of the jobs that have not begun have a progress record.
        has_record = phase is not progress.Phase.QUEUED or number % 2
        add_job(context, number, phase if has_record else None)
    for number in range(len(phases) - cancelled, len(phases)):
        key = write_key(number, records.Part.CANCEL)
        context.store.put(key, b"{}")


def write_key(number, part):
    return records.format_key(QUEUE, f"{number:016x}", part)


def add_job(context, number, phase):
    """Put the records of a job into the store."""
    key = write_key(number, records.Part.DEFINITION)
    context.store.put(key, records.encode_definition(JOB, time.time()))
    if phase is not None:
        state = progress.JobState(f"{number:016x}", QUEUE, JOB, 0.0)
        state.phase = phase
        key = write_key(number, records.Part.PROGRESS)
        context.store.put(key, records.encode_progress(state))


def publish(context, number, age, view_age=0.0):
    """Have an owner publish a count of jobs that have not begun."""
    enqueued = {}
    writer = mock.Mock()
    writer.enqueue = lambda key, make, **fields: enqueued.update({key: make})
    cluster = clusters.Cluster(
        context.view.configuration, inherited_lease=0.0, now=0.0
    )
    for one in range(number):
        cluster.add_job(
            progress.JobState(f"{one:016x}", QUEUE, JOB, 0.0), 0.0, 0.0
        )
    recorder = recorders.Recorder(
        cluster,
        writer,
        telemetry.Telemetry(),
        keep=1.0,
        on_recorded=lambda: None,
    )
    publish_by(recorder, age, view_age)
    key, make = enqueued.popitem()
    context.store.put(key, make().payload)


def publish_by(recorder, age, view_age):
    """Have a recorder publish its count, dated some seconds ago."""
    wall = time.time() - age
    recorder.publish_waiting(1000.0, wall, 1000.0 - view_age)


def ask(context, callers=1):
    """Ask for the count; return the statuses and the bodies."""
    statuses, bodies = [], []

    def call():
        body = context.job_api(
            {
                "REQUEST_METHOD": "GET",
                "HTTP_HOST": currency_steps.HOST,
                "PATH_INFO": PREFIX,
            },
            lambda status, headers: statuses.append(status[:3]),
        )
        bodies.append(json.loads(body[0]))

    gevent.joinall([gevent.spawn(call) for _ in range(callers)])
    return statuses, bodies


PUBLISHED = {
    "8, a second ago": lambda context: publish(context, 8, 1.0),
    "9, a second ago": lambda context: publish(context, 9, 1.0),
    "0, five seconds ago": lambda context: publish(context, 0, 5.0),
    "0, an hour from now": lambda context: publish(context, 0, -3600.0),
    "0, a second ago, by a view of 5 s before": (
        lambda context: publish(context, 0, 1.0, 5.0)
    ),
    "nothing": lambda context: None,
    "what does not decode": (
        lambda context: context.store.put(counts.WAITING_KEY, b"[7")
    ),
}


@behave.then("a caller who asks for the count is told so")
def check_told(context):
    wrong = []
    for row in context.table:
        store = context.store
        store.items.pop(counts.WAITING_KEY, None)
        PUBLISHED[row["the owner has published"]](context)
        # Drops the cached count of the row before.
        context.job_api._counter = counts.Counter(store)
        store.lists_fail = row["the store"] == "does not list"
        store.silent = row["the store"] == "is silent"
        context.view.note_confirmed(time.monotonic())
        statuses, bodies = ask(context)
        told = "refused"
        if statuses == ["200"]:
            told = str(bodies[0]["waiting"])
        if told != row["told"]:
            wrong.append((*row.cells, told, statuses))
    assert not wrong, wrong


@behave.when(
    "{count:d} callers ask for the count at once and nothing is published"
)
def ask_many(context, count):
    statuses, bodies = ask(context, count)
    assert set(statuses) == {"200"} and len(statuses) == count, statuses
    assert bodies == [{"waiting": 8}] * count, bodies[:3]


@behave.then("the store was asked for {count:d} lists at the most")
def check_lists(context, count):
    assert context.store.lists <= count, context.store.lists
