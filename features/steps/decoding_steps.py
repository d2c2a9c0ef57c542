"""Steps about documents of odd forms, from each source."""

from __future__ import annotations

import json
from unittest import mock

import behave

from features import odd_documents
from features.steps import vm_controller_steps
from rackvalve import errors
from rackvalve.explain import events
from rackvalve.jobs import definition
from rackvalve.jobs import records
from rackvalve.manager.api import counts
from rackvalve.manager.election import candidacy
from rackvalve.manager import memory_record
from rackvalve.manager.owner import vm_controller
from rackvalve.manager.peers import membership
from rackvalve.manager import view as views
from rackvalve.platform import advisers
from rackvalve.platform import callers
from rackvalve.platform import connections
from rackvalve.platform import documents
from rackvalve.platform import machines
from rackvalve.platform import store as stores
from rackvalve.platform import workers
from rackvalve.scheduling import namespaces

ENTRY = {"addr": "127.0.0.1:8001", "service": "p", "state": "ready"}
ITEM = {"key": "k", "rev": 1, "value": "e30=", "made": 1}
REPORT = {"clock-ms": 7, "running": [], "ended": []}
JOB = {"spec": "x", "steps": [{"count": 1, "cpu": 1}]}


def answer(body, status=200):
    """Have all HTTP clients get one answer."""
    found = connections.Answer(status=status, body=body)
    return mock.patch.object(
        connections.HttpClient, "exchange", return_value=found
    )


def call_store(body, name, *arguments, status=200, **fields):
    store = stores.Store(
        "127.0.0.1", 1, timeout=1.0, on_call=lambda call, outcome: None
    )
    with answer(body, status):
        return getattr(store, name)(*arguments, **fields)


def call_worker(body, status=200):
    worker = workers.Worker("127.0.0.1", 1, "w1", timeout=1.0)
    with answer(body, status):
        return worker.stop(task="t", run=1, fence=1, min_clock=0.0)


def hold_worker(body):
    worker = workers.Worker("127.0.0.1", 1, "w1", timeout=1.0)
    with answer(body):
        return worker.hold(
            lease_until=None,
            fence=1,
            acknowledged=0,
            wait=0.0,
            timeout=1.0,
            min_clock=0.0,
        )


def make_machines():
    return machines.Machines(
        connections.HttpClient("127.0.0.1", 1), "holder", timeout=1.0
    )


def list_vms(body):
    with answer(body):
        return make_machines().list_vms()


def order_vm(body):
    with answer(body, 409):
        return make_machines().move("vm", "pool", 1)


def advise(body):
    service = advisers.Adviser(connections.HttpClient("127.0.0.1", 1))
    with answer(body):
        return service.ask("1.0.0", ["w1"], 1.0)


def read_progress(body):
    job = definition.Job(spec="x", steps=(definition.Step(),))
    state = records.decode_definition(
        "queue", "a", records.encode_definition(job, 1.0)
    )
    records.decode_progress(state, body, 1.0)
    return records.decode_summary(body)


def register(body):
    members = membership.Membership()
    item = stores.Item(
        key=membership.PREFIX + "p", payload=body, revision=1, created=1
    )
    members.apply_range([item], 1.0)


SOURCES = {
    "a worker's entry": (
        ENTRY,
        lambda body: documents.read_worker(
            documents.WORKER_PREFIX + "w1", body, reads_cold=True
        ),
    ),
    "the configuration": ({"version": 1}, documents.read_configuration),
    "a wave": ({"wave": 1}, documents.read_wave),
    "a job's definition": (
        {"accepted": 1.0, "job": {"spec": "x", "steps": [{}]}},
        lambda body: records.decode_definition("queue", "a", body),
    ),
    "a job's progress": ({"phase": "running"}, read_progress),
    "a job's cancellation": ({}, records.parse_workspace),
    "the owner's key": (
        {"process": "vm-1", "attempt": 1, "cores": 1.0},
        candidacy.read_holder,
    ),
    "a member's registration": (
        {"process": "p", "vm": "v", "hall": "h", "cores": 1.0},
        register,
    ),
    "the memory record": (
        {"memory": 1, "confirmed": 1.0},
        memory_record._decode,
    ),
    "the published counts": (
        {"counted": 1.0, "waiting": {}},
        lambda body: (counts._decode(body), counts.read_load(body)),
    ),
    "the namespaces": ({"queues": []}, namespaces.decode),
    "a caller's job": (JOB, callers.read_job),
    "a worker's report": (REPORT, hold_worker),
    "a worker's answer": ({"clock-ms": 7}, call_worker),
    "a worker's refusal": (
        {"clock-ms": 7, "reason": "room"},
        lambda body: call_worker(body, 409),
    ),
    "the list of VMs": ({"machines": []}, list_vms),
    "the refusal of a VM order": ({"reason": "busy"}, order_vm),
    "an advice": ({"good": []}, advise),
    "a read of the store": (ITEM, lambda body: call_store(body, "read", "k")),
    "a range of the store": (
        {"items": [], "at": 1},
        lambda body: call_store(body, "read_range", "p/"),
    ),
    "a watch of the store": (
        {"events": [], "at": 1},
        lambda body: call_store(body, "watch", "p/", 1, 0.1, slack=0.1),
    ),
    "a commit in the store": (
        {"rev": 2},
        lambda body: call_store(body, "commit", [], []),
    ),
    "a conflict in the store": (
        {"items": []},
        lambda body: call_store(body, "commit", [], [], status=412),
    ),
    "a lease of the store": (
        {"lease": 1, "ttl_ms": 1000},
        lambda body: call_store(body, "open_lease", 1.0),
    ),
    "a line of the log": (
        {"time": 1.0, "event": "x"},
        lambda body: events._read_line(body.decode("utf-8", "replace")),
    ),
}


def list_odd(document):
    """Return a document in each odd form."""
    found = []
    for form in odd_documents.FORMS:
        found.append(odd_documents.make_alone(form))
        found.append(odd_documents.make(form, document))
        for field in document:
            rest = {name: document[name] for name in document if name != field}
            text = json.dumps(rest)[1:]
            value = odd_documents.FORMS[form]
            comma = "," if rest else ""
            found.append(f'{{"{field}":{value}{comma}{text}'.encode())
    return [*found, b"", b"\xff\xfe", b"null", b"[", b"\x00" * 9]


@behave.given("a document of {source}")
def choose_source(context, source):
    context.document, context.read = SOURCES[source]
    context.read(json.dumps(context.document).encode())


@behave.when("each odd form takes its place, or stands in it")
def read_odd(context):
    context.unexpected = []
    for body in list_odd(context.document):
        try:
            context.read(body)
        except errors.DocumentInvalidError:
            continue
        except Exception as error:
            context.unexpected.append((body[:60], repr(error)))


@behave.then("each is used or refused by name")
def check_named(context):
    assert not context.unexpected, context.unexpected[:5]


@behave.given("a manager's view of the operator's documents")
def make_view(context):
    context.view = views.View()


def make_item(key, payload, revision):
    return stores.Item(key=key, payload=payload, revision=revision, created=1)


@behave.when(
    "each odd form is written as configuration and as wave, and then good ones"
)
def write_odd(context):
    revision = 0
    keys = (documents.CONFIGURATION_KEY, documents.WAVE_PREFIX + "1")
    for body in list_odd({"version": 1, "wave": 1}):
        for key in keys:
            revision += 1
            changes = stores.Changes(
                written=(make_item(key, body, revision),),
                removed=(),
                revision=revision,
            )
            context.view.apply_changes(changes)
    rows = (({"version": 10**6}, keys[0]), ({"wave": 7}, keys[1]))
    good = tuple(
        make_item(key, json.dumps(one).encode(), revision + 1)
        for one, key in rows
    )
    context.view.apply_range(good)


@behave.then("the good ones are in force")
def check_in_force(context):
    assert context.view.version == 10**6, context.view.version
    assert 7 in context.view.waves


@behave.given("a new owner's control of VMs")
def make_control(context):
    vm_controller_steps.make_controller(context, [], [])


@behave.when("the records of waves, moves and orders are of odd forms")
def load_odd(context):
    rows = [
        (key, body)
        for key in (
            vm_controller.ORDERS_KEY,
            vm_controller.MOVES_KEY,
            vm_controller.PREFIX + "1",
            vm_controller.PREFIX,
        )
        for body in list_odd({"w0": 1.0})
    ]
    rows.append((vm_controller.ORDERS_KEY, b'{"w0": 0.1}'))
    items = tuple(make_item(key, body, 1) for key, body in rows)
    context.controller.load(items)


@behave.then("it begins, and keeps what it can read")
def check_begun(context):
    assert "w0" in context.controller._held, context.controller._held
