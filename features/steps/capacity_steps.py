"""Steps about how many jobs an owner can hold, and how often they come."""

from __future__ import annotations

import io
import json
import time

import behave

from features import job_api_bench
from rackvalve import errors
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.jobs import weights
from rackvalve.manager.api import counts
from rackvalve.manager.api import job_capacity
from rackvalve.manager.api import submission_rate
from rackvalve.manager import memory_record
from rackvalve.platform import callers
from rackvalve.platform import store as stores
from rackvalve import servers

MB = 1000 * 1000
NOW = 100.0
WALL = 5000.0
# So heavy that a manager reads what the owner holds before it accepts it.
JOB = json.dumps({"spec": "", "steps": [{"count": 4096}]}).encode()


def repeat(item, count):
    return b",".join([item] * count)


JOBS = {
    "10000 repetitions of 4096 tasks": (
        b'{"spec":"","steps":[{"count":4096}],"repetitions":10000}'
    ),
    "87000 empty steps": b'{"spec":"","steps":['
    + repeat(b"{}", 87000)
    + b"]}",
    "a step with 60000 labels": (
        b'{"spec":"","steps":[{"requirements":['
        + repeat(b'"a"', 60000)
        + b"]}]}"
    ),
    "a step after 60000 others": (
        b'{"spec":"","steps":[{"after-rev":[' + repeat(b"0", 60000) + b"]}]}"
    ),
    "fields that are nested 100000 deep": (
        b'{"spec":"","steps":[{}],"x":' + b"[" * 100000
    ),
}


@behave.when("a caller submits {job}")
def read_job(context, job):
    try:
        callers.read_job(JOBS[job])
    except errors.DocumentInvalidError as error:
        context.reason = error.reason


@behave.then('it is rejected for "{reason}"')
def check_rejected(context, reason):
    assert reason in context.reason, context.reason


@behave.given(
    "an owner with {capacity:d} bytes for jobs, and {count:d} queues"
)
def start_owner(context, capacity, count):
    context.limit = capacity
    context.queue_count = count
    context.capacity = job_capacity.JobCapacity(lambda: capacity)


@behave.when("it holds {held:d} bytes of jobs of one queue")
def hold(context, held):
    context.load = job_capacity.Load(
        held={"one": held}, capacity=context.limit
    )
    context.capacity.note_load(context.load, NOW)


def find_excess(context, queue, weight):
    return context.capacity.find_excess(queue, weight, context.queue_count)


@behave.then(
    "a job of {one:d} bytes is refused there, and one of {other:d} accepted "
    "elsewhere"
)
def check_shares(context, one, other):
    assert find_excess(context, "one", one)
    assert not find_excess(context, "other", other)


@behave.when(
    "this manager accepts jobs of {weight:d} bytes until it refuses one"
)
def accept_jobs(context, weight):
    context.weight = weight
    context.accepted = 0
    while not find_excess(context, "one", weight):
        context.capacity.note_accepted("one", weight)
        context.accepted += 1


@behave.then("it has accepted {count:d} of them")
def check_accepted(context, count):
    assert context.accepted == count, context.accepted


@behave.then("after two publications of the owner it accepts another one")
def check_published(context):
    for _ in range(2):
        assert context.capacity.needs_load(context.weight, NOW + 2)
        context.capacity.note_load(context.load, NOW)
        if not find_excess(context, "one", context.weight):
            return
    raise AssertionError("refused after two publications")


@behave.then("a job of {count:d} tasks takes a quarter less once it has ended")
def check_weight(context, count):
    job = definition.Job(spec="", steps=(definition.Step(tasks=count),))
    weight = weights.weigh(job, 100)
    state = progress.JobState("1", "one", job, 0.0, weight=weight)
    assert state.weight == weight >= count * weights.TASK_BYTES
    state.finish(progress.Phase.COMPLETED, 1.0, "")
    assert state.weight == weight * 3 // 4


@behave.given("a rate of {rate:d} submissions a second")
def start_rate(context, rate):
    context.rate = submission_rate.SubmissionRate(float(rate))


def take(context, count, now, *, is_ahead):
    return sum(context.rate.take(now, is_ahead=is_ahead) for _ in range(count))


@behave.when("{count:d} are sent ahead at once")
def send_ahead(context, count):
    context.taken = take(context, count, NOW, is_ahead=True)


@behave.then("{ahead:d} of them are taken, and {other:d} of others")
def check_taken(context, ahead, other):
    assert context.taken == ahead, context.taken
    assert take(context, 200, NOW, is_ahead=False) == other


@behave.then("a second later {count:d} of others are taken")
def check_later(context, count):
    assert take(context, 200, NOW + 1, is_ahead=False) == count


@behave.then(
    "a manager with {own:d} MB writes the record of {known:d} MB, {age:d} s "
    "old: {written}"
)
def check_record(context, own, known, age, written):
    record = memory_record.Record(memory=known * MB, confirmed=WALL - age)
    replaced = memory_record.is_replaced(record, own * MB, WALL)
    assert replaced == (written == "yes")
    assert memory_record.is_replaced(None, own * MB, WALL)


class FullStore:
    """A store whose owner has published that it is full.

    :param known: Key of a job that is stored.
    """

    def __init__(self, known=""):
        self.known = known
        self.commits = 0

    def read(self, key, *, timeout=None):
        if key == counts.WAITING_KEY:
            load = job_capacity.Load(held={"queue": 1000}, capacity=1000)
            return self._make_item(key, counts.encode({}, time.time(), load))
        if key == self.known:
            return self._make_item(key, b'{"accepted":1.0,"job":{}}')
        return stores.Missing()

    def _make_item(self, key, payload):
        return stores.Item(key=key, payload=payload, revision=1, created=1)

    def commit(self, conditions, puts, removals=None, *, timeout=None):
        self.commits += 1
        return stores.Committed(revision=2)


def make_api(context, store):
    document = {
        "version": 1,
        "routes": [{"name": "queue", "host": "h", "path-prefix": "/q/"}],
    }
    payload = json.dumps(document).encode()
    item = stores.Item(key="op/config", payload=payload, revision=1, created=1)
    job_api_bench.make_job_api(context, store, item, 0.0)


def call(context, method, path, body=b""):
    """Call the job API, and return the status and the headers."""
    answers = []
    context.job_api(
        {
            "REQUEST_METHOD": method,
            "HTTP_HOST": "h",
            "PATH_INFO": path,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            servers.ABANDON_KEY: lambda: None,
        },
        lambda status, headers: answers.append((status, dict(headers))),
    )
    return answers[0]


@behave.when("callers send {count:d} methods that they invented")
def send_methods(context, count):
    make_api(context, FullStore())
    for number in range(count):
        call(context, f"METHOD{number}", "/q/0123456789abcdef")


@behave.then("the metrics name one method for all of them")
def check_methods(context):
    telemetry = context.job_api._telemetry
    labels = {
        sample.labels["method"]
        for metric in telemetry.calls.collect()
        for sample in metric.samples
    }
    assert labels == {"other"}, labels


@behave.given("a manager whose owner holds as many jobs as it can")
def start_full_manager(context):
    make_api(context, FullStore(f"job/queue/{1:016x}/definition"))


@behave.when(
    "a job that was stored before is submitted again, and another one"
)
def submit_again(context):
    context.statuses = [
        call(context, "POST", f"/q/{number:016x}", JOB) for number in (1, 2)
    ]


@behave.then("the first is told to be accepted, and the other one refused")
def check_submitted(context):
    (known, _), (other, headers) = context.statuses
    assert known.startswith("200"), known
    assert other.startswith("503"), other
    assert int(headers["Retry-After"]) >= 1, headers
    assert not context.store.commits
