"""Steps about queues whose names change while they have jobs."""

from __future__ import annotations

import dataclasses
import itertools
import json
import time

import behave
import gevent

from features import job_bench
from features import job_models as models
from features.steps import cancellation_steps as cancellations
from features.steps import site_steps
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve.manager.api import job_api
from rackvalve.manager.api import relaying
from rackvalve.manager import namespace_registry
from rackvalve.manager import view as views
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from rackvalve.scheduling import attempts
from rackvalve.scheduling import messages
from rackvalve.scheduling import namespaces
from rackvalve import telemetry

POOL = "lookups"
RENAMED = {"lookup-2": POOL}
PATH = {"lookup-2": "/lookup/"}
LONG = "work_ms=1500"
# The users' bound on the time until a configuration is in force, in seconds.
IN_FORCE_S = 2.0
WALL = 1000.0


# -- a site ----------------------------------------------------------------


def submit_long(context):
    """Submit a job of two long steps and wait until the first one runs."""
    identity = site_steps.submit(context, spec=LONG)
    site_steps.wait_for(
        lambda: count_rows(context, "start", identity) == 4, "the first step"
    )
    return identity


def count_rows(context, kind, identity):
    """Return how many rows of one kind the journal has for a job."""
    return sum(
        row[1] == kind and row[3].startswith(identity)
        for row in site_steps.read_runs(context)
    )


def configure(context, names, prefixes=None):
    """Write a configuration and wait until it is in force."""
    context.own_fleet.configure(names, prefixes)
    time.sleep(IN_FORCE_S)


@behave.when("a job of two long steps runs and its queue gets another name")
def rename_beside_job(context):
    submit_long(context)
    context.own_fleet.configure(RENAMED, PATH)


@behave.then("no manager answers 410 for it")
def check_known(context):
    ((queue, identity),) = context.submitted
    until = time.monotonic() + IN_FORCE_S
    while time.monotonic() < until:
        for manager in context.own_fleet.managers:
            reply = context.own_fleet.call(
                manager, "GET", f"/{queue}/{identity}"
            )
            assert reply is None or reply.status != 410, manager["vm"]
        time.sleep(0.1)


@behave.then("handing it in again at its path starts nothing")
def submit_again(context):
    ((queue, identity),) = context.submitted
    for manager in context.own_fleet.managers:
        reply = context.own_fleet.call(
            manager,
            "POST",
            f"/{queue}/{identity}",
            {"spec": LONG, "steps": site_steps.STEPS},
        )
        assert reply.status == 200, reply.status


@behave.when("a job is handed in that no worker has room for")
def submit_huge(context):
    site_steps.submit(context, steps=[{"count": 1, "cpu": 10**8}])


@behave.then("each manager counts one waiting job")
def check_counted(context):
    for manager in context.own_fleet.managers:
        reply = context.own_fleet.call(manager, "GET", "/lookup/")
        assert json.loads(reply.body) == {"waiting": 1}, reply.body


@behave.when("its queue gets another name")
def rename(context):
    configure(context, RENAMED, PATH)


@behave.when("a job of two long steps runs and its queue is removed")
def remove_beside_job(context):
    context.identity = submit_long(context)
    configure(context, {"rebuild": "rebuilds"})


@behave.then("its second step starts while the queue is away")
def check_second_step(context):
    site_steps.wait_for(
        lambda: count_rows(context, "start", context.identity) == 6,
        "the second step",
    )


@behave.when("its queue comes back under another name")
def bring_back(context):
    configure(context, RENAMED, PATH)


@behave.when(
    "a job of two long steps runs and its queue's name passes to another path"
)
def pass_name(context):
    submit_long(context)
    configure(
        context,
        {"lookup-2": POOL, "lookup": POOL},
        {"lookup-2": "/lookup/", "lookup": "/found/"},
    )


@behave.then("a job is accepted at the other path")
def submit_elsewhere(context):
    site_steps.submit(context, queue="found")


@behave.then("each path shows its own job only")
def check_separate(context):
    for (path, _), (_, identity) in itertools.permutations(context.submitted):
        for manager in context.own_fleet.managers:
            reply = context.own_fleet.call(
                manager, "GET", f"/{path}/{identity}"
            )
            assert reply.status == 410, (path, reply.body)


@behave.when("the owner ends")
def end_owner(context):
    context.own_fleet.owner()["process"].kill()


# -- attempts --------------------------------------------------------------


@behave.given("a job with a task that has failed twice")
def make_failing(context):
    context.bench = job_bench.Bench(["w1", "w2", "w3"])
    context.directory = namespaces.extend(
        namespaces.EMPTY, models.CONFIGURATION.queues
    )
    context.state = context.bench.add(definition.Step(tasks=1, cpu=1))
    for _ in range(2):
        fail_next(context)
    assert not context.state.is_final


def fail_next(context):
    (order,) = context.bench.start_all()
    context.bench.end(order, messages.Ending.FAILED)
    context.bench.now += 1.0
    for name in context.bench.numbers:
        context.bench.report(name)


def apply_queues(context, *configured):
    """Have the owner use a configuration with these queues."""
    configuration = dataclasses.replace(
        models.CONFIGURATION, version=2, queues=configured
    )
    context.bench.cluster.set_configuration(configuration, context.directory)
    attempts.fail_all_exhausted(context.bench.cluster, context.bench.now)


@behave.when("its queue is removed and the task fails once more")
def fail_without_queue(context):
    apply_queues(context)
    fail_next(context)


@behave.when("its queue comes back with {count:d} attempts")
def lower_attempts(context, count):
    apply_queues(context, dataclasses.replace(models.QUEUE, attempts=count))


@behave.then("the job has failed")
def check_failed(context):
    assert context.state.phase is progress.Phase.FAILED
    assert not context.bench.start_all()


# -- the directory ---------------------------------------------------------


def parse_queues(text):
    """Return the queues that a text such as ``a=/a/ b=/b/`` names."""
    pairs = [word.split("=") for word in text.split()]
    return tuple(
        dataclasses.replace(models.QUEUE, name=name, prefix=prefix)
        for name, prefix in pairs
    )


def make_configuration(text):
    return dataclasses.replace(
        models.CONFIGURATION, version=2, queues=parse_queues(text)
    )


@behave.given("a directory of the queues {text}")
def make_directory(context, text):
    context.directory = namespaces.extend(namespaces.EMPTY, parse_queues(text))


@behave.when("the configuration has the queues {text}")
def update_directory(context, text):
    context.configuration = make_configuration(text)
    context.directory = namespaces.update(
        context.directory, context.configuration, (), WALL
    )


@behave.then("the namespaces are {text}")
def check_namespaces(context, text):
    wanted = dict(word.split("=") for word in text.split())
    found = {
        address.prefix: entry.namespace
        for address, entry in context.directory.entries.items()
    }
    assert found.keys() == wanted.keys(), found
    assert len(set(found.values())) == len(found), found
    for prefix, namespace in wanted.items():
        if namespace == "own":
            assert "/" not in found[prefix], found
        else:
            assert found[prefix] == namespace, found
    listed = namespaces.list_queues(context.directory, context.configuration)
    for queue in context.configuration.queues:
        namespace = context.directory.find(queue).namespace
        assert listed[namespace] == queue, (namespace, listed)


@behave.then("the namespace a is kept for 900 s, and longer while it has jobs")
def check_kept(context):
    def list_kept(held, wall):
        kept = namespaces.update(
            context.directory, context.configuration, held, wall
        )
        return {entry.namespace for entry in kept.entries.values()}

    assert list_kept((), WALL + 900.0) == {"a", "b"}
    assert list_kept((), WALL + 901.0) == {"b"}
    assert list_kept({"a"}, WALL + 901.0) == {"a", "b"}


@behave.then("the stored directory is read as it was written")
def check_stored(context):
    payload = namespaces.encode(context.directory)
    assert namespaces.decode(payload) == context.directory


# -- managers at one store -------------------------------------------------


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
