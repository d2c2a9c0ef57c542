"""Steps about keys of workspaces, with the job API and no network."""

from __future__ import annotations

import io
import time

import behave
import gevent
import msgspec

from features import job_api_bench
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve import logs
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from rackvalve.workspaces import credentials

HOST = "jobs.example"
JOB = "00000000000000aa"
COMPARISON_S = 0.004
KEYS = {
    "north": ["key-of-north", "second-key-of-north"],
    "south": ["key-of-south"],
}
DEFINITION_KEY = records.format_key("closed", JOB, records.Part.DEFINITION)
PROGRESS_KEY = records.format_key("closed", JOB, records.Part.PROGRESS)


def make_item(version, keys=KEYS, **fields):
    document = {
        "version": version,
        "routes": [
            {"name": "closed", "host": HOST, "path-prefix": "/closed/"},
            {
                "name": "open",
                "host": HOST,
                "path-prefix": "/open/",
                "no-auth": True,
            },
        ],
        **fields,
    }
    if keys is not None:
        document["tenants"] = [
            {"name": name, "api-keys": list(own), "weight": 5}
            for name, own in keys.items()
        ]
    return stores.Item(
        key=documents.CONFIGURATION_KEY,
        payload=msgspec.json.encode(document),
        revision=version,
        created=1,
    )


def make_job():
    return definition.Job(spec="x", steps=(definition.Step(),))


class FakeStore:
    """Store with a configuration and the records of one job of north."""

    def __init__(self, item):
        self.configuration = item
        self.items = {
            DEFINITION_KEY: records.encode_definition(make_job(), 1.0, "north")
        }
        self.silent = False
        self.comparisons = 0
        self.written = []

    def commit(self, conditions, puts, removals=None, *, timeout=None):
        if conditions[0].key == documents.CONFIGURATION_KEY:
            return self.compare(*conditions)
        stored = [one.key for one in conditions if one.key in self.items]
        if stored:
            return stores.Conflict(
                items={key: self.find(key) for key in stored}
            )
        self.written.extend(put.key for put in puts)
        return stores.Committed(revision=9)

    def compare(self, condition):
        self.comparisons += 1
        gevent.sleep(COMPARISON_S)
        if self.silent:
            return stores.Unavailable(reason="silent")
        if condition.revision == self.configuration.revision:
            return stores.Committed(revision=condition.revision)
        return stores.Conflict(
            items={self.configuration.key: self.configuration}
        )

    def find(self, key):
        return stores.Item(
            key=key, payload=self.items[key], revision=2, created=2
        )

    def read(self, key, *, timeout=None):
        if key not in self.items:
            return stores.Missing()
        return self.find(key)


@behave.given("an entry whose view was confirmed {age:f} s ago")
def make_entry(context, age):
    item = make_item(1)
    job_api_bench.make_job_api(context, FakeStore(item), item, age)
    context.statuses = []
    context.headers = []


@behave.given(
    'a newer configuration with the key "{key}" of north in the store'
)
def add_key(context, key):
    keys = {**KEYS, "north": [*KEYS["north"], key]}
    context.store.configuration = make_item(2, keys)


@behave.given("a newer configuration without the keys of north in the store")
def take_keys(context):
    context.store.configuration = make_item(2, {**KEYS, "north": []})


@behave.given("its store says nothing")
def silence_store(context):
    context.store.silent = True
    context.view._last_contact = time.monotonic() - 3.0


@behave.given("the job is {phase}")
def set_phase(context, phase):
    if phase == "running":
        state = progress.JobState(
            JOB, "closed", make_job(), 1.0, workspace="north"
        )
        state.phase = progress.Phase.RUNNING
        context.store.items[PROGRESS_KEY] = records.encode_progress(state)


@behave.given("a configuration in the store whose bounds are no numbers")
def break_configuration(context):
    context.store.configuration = make_item(
        2, None, tenants=[{"name": "n", "api-keys": [3, "key-in-error"]}]
    )
    context.logged = []
    context.write_warning = logs.write_warning
    logs.write_warning = lambda event, **fields: context.logged.append(
        (event, fields)
    )


def call(context, header, method="GET", path=f"/closed/{JOB}"):
    body = msgspec.json.encode({"spec": "x", "steps": [{}]})
    environ = {
        "REQUEST_METHOD": method,
        "HTTP_HOST": HOST,
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    if header is not None:
        environ["HTTP_AUTHORIZATION"] = header

    def note_answer(status, headers):
        context.statuses.append(int(status[:3]))
        context.headers.extend(headers)

    context.job_api(environ, note_answer)


@behave.when('a caller asks for its job with the key "{key}"')
def ask_with_key(context, key):
    call(context, f"Bearer {key}")


@behave.when("a caller asks for its job with the header {header}")
def ask_with_header(context, header):
    if header == "none":
        call(context, None)
    elif header == "600 characters":
        call(context, "Bearer " + "k" * 600)
    else:
        call(context, header.encode().decode("unicode_escape"))


@behave.when(
    'a caller sends {method} for the job of north with the key "{key}"'
)
def send(context, method, key):
    call(context, f"Bearer {key}", method)


@behave.when("{count:d} callers with invented keys come within {seconds:f} s")
def send_invented_keys(context, count, seconds):
    def send_one(number):
        gevent.sleep(seconds * number / count)
        call(context, f"Bearer invented-{number}")

    gevent.joinall([gevent.spawn(send_one, number) for number in range(count)])


@behave.when("a caller without a key asks for a job of the open queue")
def ask_open(context):
    call(context, None, path=f"/open/{JOB}")


@behave.when(
    "the configuration names no workspaces and a caller comes without a key"
)
def drop_workspaces(context):
    context.statuses.clear()
    context.store.configuration = make_item(2, None)
    context.view.confirmed_at = float("-inf")
    call(context, None)


@behave.then("the caller is answered {status:d} after {count:d} comparisons")
def check_answer(context, status, count):
    assert context.statuses == [status], context.statuses
    assert context.store.comparisons == count, context.store.comparisons


@behave.then(
    "all are answered {status:d} after {count:d} comparisons at the most"
)
def check_answers(context, status, count):
    assert set(context.statuses) == {status}, set(context.statuses)
    assert context.store.comparisons <= count, context.store.comparisons


@behave.then('the answer carries "{name}" and no key')
def check_challenge(context, name):
    values = dict(context.headers)
    assert values[name].startswith("Bearer"), values
    assert not any("key-of" in value for value in values.values())


@behave.then("nothing was written")
def check_untouched(context):
    assert context.store.written == []


@behave.when("a job of north is recorded and read again")
def record_job(context):
    payload = records.encode_definition(make_job(), 1.0, "north")
    context.state = records.decode_definition("closed", JOB, payload)
    context.written = records.encode_progress(context.state)
    context.definition = payload


@behave.then("it belongs to north, also by its progress alone")
def check_kept(context):
    assert context.state.workspace == "north"
    assert records.parse_workspace(context.definition) == "north"
    assert records.decode_summary(context.written).workspace == "north"


@behave.when("the record of an older release is read")
def read_older(context):
    payload = msgspec.json.encode({"accepted": 1.0, "job": make_job()})
    context.state = records.decode_definition("closed", JOB, payload)
    context.written = records.encode_progress(context.state)


@behave.then("it belongs to no workspace and its next record can be read")
def check_older(context):
    assert context.state.workspace == ""
    records.decode_progress(context.state, context.written, 1.0)
    summary = records.decode_summary(b'{"phase":"queued"}')
    assert summary.workspace == ""


@behave.when(
    "a configuration has two workspaces of one name, one key in two, and odd "
    "bounds"
)
def read_invalid_workspaces(context):
    bound = {"cpu": -5, "mem-mb": 2**61, "gpu": 0}
    tenants = [
        {"name": "a", "api-keys": ["k1"], "weight": -1, "upper-bound": bound},
        {"name": "a", "api-keys": ["k2"], "weight": 7},
        {"name": "b", "api-keys": ["k1", "k3"], "weight": 0},
    ]
    item = make_item(1, None, tenants=tenants)
    context.configuration = documents.read_configuration(item.payload)


@behave.then(
    "the first of each counts, a negative bound is none, a negative rate is 0"
)
def check_invalid_workspaces(context):
    directory = context.configuration.workspaces
    first = directory.find("a")
    assert (first.rate, first.bound.cpu, first.bound.memory) == (0, 0, 2**61)
    for key, name in (("k1", "a"), ("k2", "a"), ("k3", "b")):
        found = directory.find_by_key(
            credentials.parse_header(f"bearer {key}")
        )
        assert found is directory.find(name), key
    assert "k1" not in repr(context.configuration)


@behave.then(
    "the view still holds version 1, and no key stands in what was logged"
)
def check_rejected(context):
    logs.write_warning = context.write_warning
    assert context.view.configuration.version == 1
    events = [row[0] for row in context.logged]
    assert events and events[0] == "document.rejected", events
    assert "key-in-error" not in str(context.logged)
