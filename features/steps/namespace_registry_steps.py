"""Steps about managers that find and register namespaces in the store."""

from __future__ import annotations

import dataclasses
import json
import time

import behave
import gevent

from features import job_models as models
from features.steps import cancellation_steps as cancellations
from rackvalve.jobs import definition
from rackvalve.jobs import records
from rackvalve.manager.api import counts
from rackvalve.manager.api import job_api
from rackvalve.manager.api import relaying
from rackvalve.manager import namespace_registry
from rackvalve.manager import view as views
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from rackvalve.scheduling import namespaces
from rackvalve import telemetry

WALL = 1000.0


def make_item(name, prefix="/queue/"):
    route = {"name": name, "host": "h", "path-prefix": prefix}
    return stores.Item(
        key=documents.CONFIGURATION_KEY,
        payload=json.dumps({"version": 1, "routes": [route]}).encode(),
        revision=1,
        created=1,
    )


def make_manager(store, name):
    """Make a manager that knows one queue, under a name."""
    view = views.View()
    view.apply_item(make_item(name))
    view.note_contact()
    view.note_confirmed(time.monotonic())
    return job_api.JobApi(
        store,
        view,
        telemetry.Telemetry(),
        is_stopping=lambda: False,
        registry=namespace_registry.NamespaceRegistry(store, view),
    )


@behave.given("a manager whose queue got another name")
def make_renamed(context):
    context.store = cancellations.LateStore()
    cancellations.call(make_manager(context.store, "first"), "GET")
    context.manager = make_manager(context.store, "second")


@behave.when("an earlier release stores a job under that name")
def store_earlier(context):
    job = definition.Job(spec="x", steps=(definition.Step(tasks=1),))
    context.key = records.format_key(
        "second", cancellations.IDENTITY, records.Part.DEFINITION
    )
    payload = records.encode_definition(job, WALL)
    context.store.apply([], [stores.Put(key=context.key, payload=payload)])


@behave.then("the manager shows it, takes it for the same job and cancels it")
def check_earlier(context):
    stored = set(context.store.items)
    for method, body in (("GET", None), ("POST", cancellations.JOB)):
        status, _ = cancellations.call(context.manager, method, body)
        assert status == 200, (method, status)
    assert set(context.store.items) == stored
    assert cancellations.call(context.manager, "DELETE")[0] == 200
    cancel_key = records.format_key(
        "second", cancellations.IDENTITY, records.Part.CANCEL
    )
    assert set(context.store.items) - stored == {cancel_key}


@behave.when("jobs wait under both names, as the owner told")
def publish_counts(context):
    payload = counts.encode({"first": 1, "second": 1, "x": 1}, time.time())
    put = stores.Put(key=counts.WAITING_KEY, payload=payload)
    context.store.apply([], [put])


@behave.when("jobs wait under both names, by their records")
def store_both(context):
    job = definition.Job(spec="x", steps=(definition.Step(tasks=1),))
    for number, name in enumerate(("first", "second", "x")):
        key = records.format_key(
            name, f"{number:016x}", records.Part.DEFINITION
        )
        payload = records.encode_definition(job, WALL)
        context.store.apply([], [stores.Put(key=key, payload=payload)])


@behave.then("the manager counts {count:d} waiting jobs")
def check_count(context, count):
    status, _, body = cancellations.exchange(
        context.manager, "GET", identity=""
    )
    assert status == 200, status
    assert json.loads(body) == {"waiting": count}, body


@behave.given("a manager whose copy says that its queue was removed 400 s ago")
def make_removed(context):
    context.store = cancellations.LateStore()
    context.manager = make_manager(context.store, "second")
    queue = dataclasses.replace(
        models.QUEUE, name="first", host="h", prefix="/queue/"
    )
    entry = namespaces.Entry(
        namespace="first", queue=queue, removed_at=time.time() - 400
    )
    context.directory = namespaces.Directory(
        entries={namespaces.locate(queue): entry}
    )
    context.manager._registry._set(context.directory, 11, time.monotonic())


@behave.when("the namespace is kept, and a job is submitted there")
def submit_kept(context):
    write_directory(context, context.directory)
    submit_there(context)


@behave.when("the namespace is given up, and a job is submitted there")
def submit_given_up(context):
    write_directory(context, context.directory)
    write_directory(context, namespaces.EMPTY)
    submit_there(context)


def write_directory(context, directory):
    put = stores.Put(
        key=namespace_registry.DIRECTORY_KEY,
        payload=namespaces.encode(directory),
    )
    context.store.apply([], [put])


@behave.then('the job is stored under the namespace "{namespace}"')
def check_namespace(context, namespace):
    key = records.format_key(
        namespace, cancellations.IDENTITY, records.Part.DEFINITION
    )
    assert key in context.store.items, context.store.items.keys()
    context.namespace = namespace


@behave.then(
    "the stored directory has that namespace, and its queue is not removed"
)
def check_renewed(context):
    item = context.store.items[namespace_registry.DIRECTORY_KEY]
    (entry,) = namespaces.decode(item.payload).entries.values()
    assert entry.namespace == context.namespace, entry
    assert entry.removed_at == 0.0, entry


@behave.given("two managers with a directory of namespaces at one store")
def make_two(context):
    context.store = cancellations.LateStore()


@behave.when("one knows a queue by its first name and one by its second")
def register_both(context):
    context.managers = [
        make_manager(context.store, name) for name in ("first", "second")
    ]
    for manager in context.managers:
        cancellations.call(manager, "POST", cancellations.JOB)


@behave.then("both use the first one's namespace, and it was written once")
def check_agreed(context):
    key = records.format_key(
        "first", cancellations.IDENTITY, records.Part.DEFINITION
    )
    wanted = {key, namespace_registry.DIRECTORY_KEY}
    assert set(context.store.items) == wanted, context.store.items
    item = context.store.items[namespace_registry.DIRECTORY_KEY]
    assert item.revision == 11


@behave.given("a manager whose store refuses the directory")
def refuse_directory(context):
    context.store = cancellations.LateStore()
    context.sent = 0

    def intervene(conditions):
        if conditions[0].key != namespace_registry.DIRECTORY_KEY:
            return None
        context.sent += 1
        return stores.Refused(reason="status 400")

    context.store.intervene = intervene
    context.manager = make_manager(context.store, "first")


@behave.when("{count:d} jobs are submitted there")
def submit_several(context, count):
    context.identities = [f"{number:016x}" for number in range(count)]
    for identity in context.identities:
        status, _ = cancellations.call(
            context.manager, "POST", cancellations.JOB, identity=identity
        )
        assert status == 200, status


@behave.then(
    "all are stored under their queue's name, and the directory was sent once"
)
def check_sent_once(context):
    keys = {
        records.format_key("first", identity, records.Part.DEFINITION)
        for identity in context.identities
    }
    assert set(context.store.items) == keys, context.store.items
    assert context.sent == 1, context.sent


class SilentStore:
    """Store that answers no reading, and counts them."""

    def __init__(self):
        self.reads = 0

    def read(self, key, *, timeout=None):
        self.reads += 1
        gevent.sleep(timeout or 0.3)
        return stores.Unavailable(reason="no answer in time")


def make_registry(context, directory, read_at):
    context.store = SilentStore()
    context.registry = namespace_registry.NamespaceRegistry(
        context.store, views.View()
    )
    context.registry._set(directory, 1, read_at)


@behave.given(
    "a manager that read the directory {age:d} s ago, and a silent store"
)
def make_old_copy(context, age):
    directory = namespaces.extend(namespaces.EMPTY, [models.QUEUE])
    make_registry(context, directory, time.monotonic() - age)


@behave.given("a manager that has read no directory, and a silent store")
def make_no_copy(context):
    make_registry(context, namespaces.EMPTY, float("-inf"))


def resolve(context, seconds):
    wait = relaying.StoreWait(time.monotonic() + seconds)
    return context.registry.resolve(models.QUEUE, wait)


@behave.then("the namespace of its queue is known at once")
def check_known_at_once(context):
    began = time.monotonic()
    assert resolve(context, 5.0) == ("queue",)
    assert time.monotonic() - began < 0.1


@behave.then("it is read again in the background")
def check_read_again(context):
    gevent.sleep(0.01)
    assert context.store.reads == 1, context.store.reads


@behave.then("20 requests at once are told so within 1 s")
def check_told(context):
    began = time.monotonic()
    asking = [gevent.spawn(resolve, context, 0.5) for _ in range(20)]
    gevent.joinall(asking, raise_error=True)
    assert {one.value for one in asking} == {()}
    assert time.monotonic() - began < 1.0


@behave.given("a manager whose stored directory does not decode")
def make_invalid(context):
    context.store = cancellations.LateStore()
    context.payload = b'{"queues": 7}'
    context.store.apply(
        [],
        [
            stores.Put(
                key=namespace_registry.DIRECTORY_KEY, payload=context.payload
            )
        ],
    )
    context.manager = make_manager(context.store, "first")


@behave.when("a job is submitted there")
def submit_there(context):
    status, _ = cancellations.call(context.manager, "POST", cancellations.JOB)
    assert status == 200


@behave.then(
    "it is stored under its queue's name, and the directory is unchanged"
)
def check_unchanged(context):
    key = records.format_key(
        "first", cancellations.IDENTITY, records.Part.DEFINITION
    )
    assert key in context.store.items
    item = context.store.items[namespace_registry.DIRECTORY_KEY]
    assert item.payload == context.payload
