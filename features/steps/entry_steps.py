"""Steps about entries that workers, or others, write."""

from __future__ import annotations

import json
from unittest import mock

import behave

from features import job_cores as cores
from features import odd_documents
from rackvalve import errors
from rackvalve.manager.owner import worker_registry as worker_registries
from rackvalve.manager.owner import worker_session as worker_sessions
from rackvalve.platform import connections
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from tools import site as sites

KEY = documents.WORKER_PREFIX + "w1"
GOOD = {
    "addr": "127.0.0.1:8001",
    "service": "pool",
    "state": "ready",
    "machine": "m-1",
    "capacity": {"cpu": 4, "mem-mb": 4},
}
# Present time in these steps, in seconds.
NOW = 100.0


@behave.given("a worker's entry whose {field} is {value}")
def make_entry(context, field, value):
    context.entry = {**GOOD, field: json.loads(value.replace("\\\\", "\\"))}


@behave.then("it is refused")
def check_refused(context):
    documents.read_worker(KEY, json.dumps(GOOD).encode())
    try:
        documents.read_worker(KEY, json.dumps(context.entry).encode())
    except errors.DocumentInvalidError:
        return
    raise AssertionError(context.entry)


@behave.given("a worker with a good entry that has just answered")
def make_worker(context):
    context.cluster = cores.make_cores(NOW, inherited_lease=5.0).cluster
    context.registry = worker_registries.WorkerRegistry(
        mock.Mock(), context.cluster, on_change=lambda: None
    )
    write_entry(context)
    worker = context.cluster.workers["w1"]
    worker.established = True
    worker.last_answer_at = worker.last_alive_at = NOW


def write_entry(context, payload=None):
    text = json.dumps(GOOD).encode() if payload is None else payload
    item = stores.Item(key=KEY, payload=text, revision=1, created=1)
    changes = stores.Changes(written=(item,), removed=(), revision=1)
    with mock.patch.object(worker_sessions.WorkerSession, "start"):
        context.registry.apply_changes(changes)


@behave.when("its entry turns unreadable")
def invalidate_entry(context):
    write_entry(context, b"\xff\x00")


@behave.when("its entry turns unreadable, and is removed")
def remove_unreadable(context):
    invalidate_entry(context)
    assert context.registry._rejected
    removed = stores.Changes(written=(), removed=((KEY, 2),), revision=2)
    context.registry.apply_changes(removed)


@behave.when("its entry turns unreadable, and is gone when all are read")
def lose_unreadable(context):
    invalidate_entry(context)
    assert context.registry._rejected
    context.registry.apply_range(())


@behave.then("no entry is kept as unreadable")
def check_forgotten(context):
    assert not context.registry._rejected, context.registry._rejected


@behave.then("it takes no work, and its incarnation is not over")
def check_unused(context):
    worker = context.cluster.workers["w1"]
    assert not worker.takes_work(NOW, 0.9)
    assert context.registry.find_session("w1") is not None


@behave.when("its entry is good again")
def restore_entry(context):
    write_entry(context)


@behave.then("it takes work")
def check_used(context):
    assert context.cluster.workers["w1"].takes_work(NOW, 0.9)


@behave.when('"{host}" port {port:d} and "{other}" port {far:d} are called')
def call_invalid_addresses(context, host, port, other, far):
    context.outcomes = [
        connections.HttpClient(*address).exchange("GET", "/", timeout=1.0)
        for address in ((host, port), (other, far))
    ]


@behave.then("neither call was answered or sent")
def check_unsent(context):
    for outcome in context.outcomes:
        assert isinstance(outcome, connections.NoAnswer), outcome
        assert not outcome.sent, outcome


@behave.when(
    "another writer leaves an entry {where}, before a good one: {what}"
)
def write_odd_entry(context, what, where):
    names = {"under a new name": "odd", "under its name": "w1"}
    context.odd = names.get(where, "")
    assert what in odd_documents.FORMS or "unexpected" in what, what
    good = {**GOOD, "addr": "127.0.0.1:8002", "machine": "m-2"}
    rows = (
        (context.odd, odd_documents.make(what, GOOD)),
        ("w2", json.dumps(good).encode()),
    )
    items = tuple(
        stores.Item(
            key=documents.WORKER_PREFIX + name,
            payload=payload,
            revision=2,
            created=1,
        )
        for name, payload in rows
    )
    changes = stores.Changes(written=items, removed=(), revision=2)
    read_worker = documents.read_worker

    def fail(key, payload, **fields):
        if "unexpected" in what and key == items[0].key:
            raise ZeroDivisionError
        return read_worker(key, payload, **fields)

    with (
        mock.patch.object(worker_sessions.WorkerSession, "start"),
        mock.patch.object(documents, "read_worker", fail),
    ):
        context.registry.apply_changes(changes)
        context.registry.apply_range(items)


@behave.then("the good one is applied, and the odd one names no worker to use")
def check_odd_entry(context):
    workers = context.cluster.workers
    assert workers["w2"].entry_missing_since is None
    odd = workers.get(context.odd)
    assert odd is None or not odd.takes_work(NOW, 0.9)


@behave.given(
    "a site of {count:d} managers, with odd entries among those of its workers"
)
def start_odd_site(context, count):
    context.own_fleet = sites.Site(count)
    context.own_fleet.start()
    for number, what in enumerate(odd_documents.FORMS):
        payload = odd_documents.make(what, GOOD)
        for name in (f"odd-{number}", ""):
            key = documents.WORKER_PREFIX + name
            text = payload.decode("utf-8", "replace")
            context.own_fleet.order({"put text": key, "text": text})


@behave.when(
    "{count:d} jobs are submitted there, and the owner is killed between them"
)
def submit_beside_odd(context, count):
    site = context.own_fleet
    context.submitted = []
    for number in range(count):
        if number == count // 2:
            owner = site.owner()
            owner["process"].kill()
        context.submitted.append(site.submit("lookup", [{"count": 2}]))


@behave.then("all of them are completed, and no task of a manager has failed")
def check_beside_odd(context):
    site = context.own_fleet
    for identity in context.submitted:
        assert site.wait_final("lookup", identity) == "completed", identity
    assert '"event":"task.failed"' not in site.read_output()
