"""Steps about revalidating the configuration for callers' requests."""

from __future__ import annotations

import time

import behave
import gevent
import msgspec

from features import job_api_bench
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from rackvalve.scheduling import queues

HOST = "jobs.example"
KNOWN = "/known/"
OTHER = "/other/"
JOB = "00000000000000aa"
COMPARISON_S = 0.02


def make_item(version, *prefixes):
    routes = [
        {"name": prefix, "host": HOST, "path-prefix": prefix, "service": "p"}
        for prefix in prefixes
    ]
    payload = msgspec.json.encode({"version": version, "routes": routes})
    return stores.Item(
        key=documents.CONFIGURATION_KEY,
        payload=payload,
        revision=version,
        created=1,
    )


class FakeStore:
    """Store with a configuration and no job, which counts comparisons."""

    def __init__(self, item):
        self.item = item
        self.silent = False
        self.comparisons = 0

    def commit(self, conditions, puts, removals=None, *, timeout=None):
        (condition,) = conditions
        assert condition.key == documents.CONFIGURATION_KEY and not puts
        self.comparisons += 1
        gevent.sleep(COMPARISON_S)
        if self.silent:
            return stores.Unavailable(reason="silent")
        if condition.revision == self.item.revision:
            return stores.Committed(revision=self.item.revision)
        return stores.Conflict(items={self.item.key: self.item})

    def read(self, key, *, timeout=None):
        return stores.Missing()


@behave.given("a process whose view was confirmed {age:f} s ago")
def make_job_api(context, age):
    item = make_item(1, KNOWN)
    job_api_bench.make_job_api(context, FakeStore(item), item, age)


@behave.given("a newer configuration without the queue in the store")
def remove_queue(context):
    context.store.item = make_item(2, OTHER)


@behave.given("a newer configuration with another queue in the store")
def add_queue(context):
    context.store.item = make_item(2, KNOWN, OTHER)


@behave.given("a store that has been silent for {age:f} s")
def silence(context, age):
    context.store.silent = True
    context.view._last_contact = time.monotonic() - age


def ask(context, count, prefix):
    context.statuses = []
    context.headers = []

    def note_answer(status, headers):
        context.statuses.append(status[:3])
        context.headers.extend(headers)

    def call():
        context.job_api(
            {
                "REQUEST_METHOD": "GET",
                "HTTP_HOST": HOST,
                "PATH_INFO": prefix + JOB,
            },
            note_answer,
        )

    gevent.joinall([gevent.spawn(call) for _ in range(count)])


@behave.when("{count:d} callers ask for the queue that is known")
@behave.when("{count:d} caller asks for the queue that is known")
def ask_known(context, count):
    ask(context, count, KNOWN)
    assert len(context.statuses) == count


@behave.when("1 caller asks for the other queue")
def ask_other(context):
    ask(context, 1, OTHER)


@behave.then(
    "it is answered 410 and the store was not asked for the configuration"
)
def check_trusted(context):
    assert context.statuses == ["410"]
    assert context.store.comparisons == 0


@behave.then("all are answered 410 and the revisions were compared once")
def check_once(context):
    assert set(context.statuses) == {"410"}
    assert context.store.comparisons == 1


@behave.then("it is answered {status:d}")
def check_status(context, status):
    assert context.statuses == [str(status)], context.statuses


@behave.then(
    "it is answered 503 at once, and told to come back after {seconds:d} "
    "seconds"
)
def check_refused(context, seconds):
    assert context.statuses == ["503"]
    assert ("Retry-After", str(seconds)) in context.headers
    assert context.store.comparisons == 0


@behave.given(
    "a configuration of {count:d} queues with prefixes within each other"
)
def make_many(context, count):
    names = ["/", "/a/", "/a/b/"] + [f"/q{n}/" for n in range(count - 3)]
    context.configuration = queues.Configuration(
        version=1,
        queues=tuple(
            queues.Queue(
                name=name,
                host=HOST,
                prefix=name,
                pool="p",
                priority=0,
                attempts=1,
                stretch=1.0,
                allowance=0.0,
                admission=None,
            )
            for name in names
        ),
        pools={},
        body_limit=1,
    )


@behave.then("each path leads to the queue with the longest prefix of it")
def check_prefixes(context):
    found = context.configuration
    for path, name in (
        ("/a/b/x", "/a/b/"),
        ("/a/x", "/a/"),
        ("/ab", "/"),
        ("/q17/x", "/q17/"),
        ("/q17", "/"),
    ):
        assert found.find_queue(HOST, path).name == name, path
    assert found.find_queue("elsewhere.example", "/a/") is None
    assert found.queue_by_name("/q17/").prefix == "/q17/"
    assert found.queue_by_name("none") is None
