"""Steps about jobs that are cancelled before they are stored."""

from __future__ import annotations

import io
import json
from unittest import mock

import behave

from features import job_api_bench
from features import job_cores as cores
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve.manager.api import job_api
from rackvalve.manager.owner import intake as intakes
from rackvalve.manager.peers import relay
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from rackvalve import servers
from rackvalve import telemetry

IDENTITY = "7a3d91c0be5f2468"
JOB = {"spec": "x", "steps": [{"count": 2, "cpu": 1}]}
DEADLINE_MS = "400"


class LateStore:
    """Store that may make a write without an answer later, and has leases."""

    def __init__(self):
        self.items = {}
        self.revision = 10
        self.leases = {}
        self.writes = 0
        self.delayed = []
        # Called before each commit; may say how the commit fails.
        self.intervene = lambda conditions: None

    def read(self, key, *, timeout=None):
        return self.items.get(key, stores.Missing())

    def read_range(self, prefix):
        items = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix)
        ]
        return stores.Range(items=tuple(items), revision=self.revision)

    def open_lease(self, duration):
        lease = stores.Lease(identity=len(self.leases) + 1, duration=duration)
        self.leases[lease.identity] = (lease, set())
        return lease

    def end_leases(self):
        for _, keys in self.leases.values():
            for key in keys:
                self.items.pop(key, None)
        self.leases = {number: (None, set()) for number in self.leases}

    def commit(self, conditions, puts, removals=None, *, timeout=None):
        if conditions[0].key == documents.CONFIGURATION_KEY:
            return stores.Committed(revision=1)
        self.writes += 1
        fault = self.intervene(conditions)
        if fault is not None:
            if isinstance(fault, stores.Unknown):
                self.delayed.append((conditions, puts))
            return fault
        return self.apply(conditions, puts)

    def apply(self, conditions, puts):
        if any(self.find(one.key) != one.revision for one in conditions):
            keys = [one.key for one in conditions]
            found = {key: self.items.get(key) for key in keys}
            return stores.Conflict(
                items={key: item for key, item in found.items() if item}
            )
        for put in puts:
            if put.lease and self.leases[put.lease][0] is None:
                return stores.LeaseOver()
        self.revision += 1
        for put in puts:
            for _, keys in self.leases.values():
                keys.discard(put.key)
            if put.lease:
                self.leases[put.lease][1].add(put.key)
            self.items[put.key] = stores.Item(
                key=put.key,
                payload=put.payload,
                revision=self.revision,
                created=self.revision,
            )
        return stores.Committed(revision=self.revision)

    def find(self, key):
        item = self.items.get(key)
        return 0 if item is None else item.revision

    def make_delayed(self):
        for conditions, puts in self.delayed:
            self.apply(conditions, puts)
        self.delayed.clear()


def make_item():
    routes = [
        {"name": name, "host": "h", "path-prefix": f"/{name}/"}
        for name in ("queue", "other")
    ]
    return stores.Item(
        key=documents.CONFIGURATION_KEY,
        payload=json.dumps({"version": 1, "routes": routes}).encode(),
        revision=1,
        created=1,
    )


@behave.given("two managers at one store")
def make_managers(context):
    store = LateStore()
    job_api_bench.make_job_api(context, store, make_item(), 0.0)
    context.first = context.job_api
    job_api_bench.make_job_api(context, store, make_item(), 0.0)
    context.second = context.job_api


@behave.given("two managers at a store of {rate:d} writes per second")
def make_slow_managers(context, rate):
    make_managers(context)
    context.first = job_api.JobApi(
        context.store,
        context.view,
        telemetry.Telemetry(),
        is_stopping=lambda: False,
        write_rate=rate,
    )


def call(api, method, body=None, *, identity=IDENTITY, queue="queue"):
    """Call a manager as a caller does; return status and Retry-After."""
    status, headers, _ = exchange(
        api, method, body, identity=identity, queue=queue
    )
    return status, headers.get("Retry-After")


def exchange(api, method, body=None, *, identity=IDENTITY, queue="queue"):
    """Call a manager as a caller does; return status, headers and body."""
    answers = []
    payload = b"" if body is None else json.dumps(body).encode()
    environ = {
        "REQUEST_METHOD": method,
        "HTTP_HOST": "h",
        "PATH_INFO": f"/{queue}/{identity}",
        "HTTP_DEADLINE_MS": DEADLINE_MS,
        "CONTENT_LENGTH": str(len(payload)),
        "wsgi.input": io.BytesIO(payload),
        servers.ABANDON_KEY: lambda: None,
    }
    chunks = api(
        environ, lambda status, headers: answers.append((status, headers))
    )
    ((status, headers),) = answers
    return int(status[:3]), dict(headers), b"".join(chunks)


def lose_writes(store):
    """Leave all writes of definitions without an answer."""
    store.intervene = lambda conditions: (
        stores.Unknown(reason="no answer")
        if conditions[0].key.endswith("/definition")
        and conditions[0].revision == 0
        else None
    )


def cancel(context):
    context.store.intervene = lambda conditions: None
    context.cancel_status, _ = call(context.second, "DELETE")


def submit_relayed(context):
    context.first.answer_relayed(
        relay.RelayedRequest(
            method="POST",
            host="h",
            path=f"/queue/{IDENTITY}",
            key=None,
            body=json.dumps(JOB).encode(),
            remaining=0.3,
        )
    )


def submit_beside_cancel(context):
    """Cancel a job between two attempts to write it."""
    store = context.store

    def intervene(conditions):
        if conditions[0].key.endswith("/definition"):
            cancel(context)
            return stores.Unknown(reason="no answer")
        return None

    store.intervene = intervene
    context.status, _ = call(context.first, "POST", JOB)


@behave.when("a job is submitted at one and cancelled at the other and {then}")
def submit_and_cancel(context, then):
    if "tried again" in then:
        submit_beside_cancel(context)
        context.store.make_delayed()
        return
    lose_writes(context.store)
    if "relayed" in then:
        submit_relayed(context)
    else:
        status, _ = call(context.first, "POST", JOB)
        assert status == 504, status
    assert context.store.delayed
    cancel(context)
    if "submits it again" in then:
        context.status, _ = call(context.first, "POST", JOB)
        if "lease" in then:
            context.store.end_leases()
    context.store.make_delayed()


@behave.when(
    "a job is cancelled, and submitted once the lease of that is over"
)
def submit_after_lease(context):
    cancel(context)
    context.store.end_leases()
    context.status, _ = call(context.first, "POST", JOB)


@behave.when(
    "a job is cancelled whose write is made between the reading and the record"
)
def store_beside_cancel(context):
    lose_writes(context.store)
    call(context.first, "POST", JOB)
    context.store.intervene = lambda conditions: context.store.make_delayed()
    context.cancel_status, _ = call(context.second, "DELETE")


@behave.when(
    "a job is submitted, and its identifier cancelled in another queue"
)
def cancel_elsewhere(context):
    call(context.first, "POST", JOB)
    context.cancel_status, _ = call(context.second, "DELETE", queue="other")


@behave.then("the cancel is answered {status:d}")
def check_cancel(context, status):
    assert context.cancel_status == status, context.cancel_status


@behave.then("the submission is answered {status:d}")
def check_status(context, status):
    assert context.status == status, context.status


def take_over(context, *, later=()):
    """Return the job as an owner knows it, whose watch tells all in turn."""
    made = cores.make_cores(1000.0, inherited_lease=0.0)
    intake = intakes.JobIntake(made.cluster, (), on_change=mock.Mock())
    items = [
        item
        for item in context.store.items.values()
        if item.key.startswith(records.PREFIX)
    ]
    intake.apply_range(tuple(item for item in items if item not in later))
    for item in later:
        intake.apply_changes(
            stores.Changes(written=(item,), removed=(), revision=99)
        )
    made.planner.plan(1000.0, 1000.0)
    return made.cluster.jobs.get(IDENTITY)


def is_started(state):
    return state is not None and bool(state.waiting)


@behave.then("the job has no task to start, for this owner and the next")
def check_never_starts(context):
    for _ in range(2):
        assert not is_started(take_over(context)), context.store.items
        # The next owner reads what is left once all leases are over.
        context.store.end_leases()


@behave.then(
    "the owner shows it as cancelled, and so do its records after the lease "
    "is over"
)
def check_shown(context):
    for _ in range(2):
        state = take_over(context)
        assert state.phase is progress.Phase.CANCELLED, state.phase
        context.store.end_leases()


@behave.then("the owner starts it")
def check_starts(context):
    items = sorted(
        context.store.items.values(), key=lambda item: item.revision
    )
    for later in ((), tuple(items)):
        assert is_started(take_over(context, later=later))


@behave.when("{count:d} invented jobs are cancelled at one")
def cancel_invented(context, count):
    context.answers = [
        call(context.first, "DELETE", identity=f"{number + 1:016x}")
        for number in range(count)
    ]


@behave.then(
    "{gone:d} cancels are answered 410 and {refused:d} are answered 429 with "
    "a time to return"
)
def check_limited(context, gone, refused):
    statuses = [status for status, _ in context.answers]
    assert statuses.count(410) == gone, statuses
    assert statuses.count(429) == refused, statuses
    for status, retry_after in context.answers:
        assert status != 429 or 1 <= int(retry_after) <= 60, retry_after


@behave.then(
    "{count:d} writes were made, and one lease of {seconds:d} s was opened"
)
def check_cost(context, count, seconds):
    assert context.store.writes == count, context.store.writes
    ((lease, keys),) = context.store.leases.values()
    assert lease.duration == seconds, lease
    assert len(keys) == count


@behave.then("the other manager still answers 410")
def check_other(context):
    cancel(context)
    assert context.cancel_status == 410, context.cancel_status


@behave.then("a job submitted there is accepted")
def check_accepted(context):
    status, _ = call(context.first, "POST", JOB)
    assert status == 200, status


@behave.when("the store loses the lease of a cancel")
def lose_lease(context):
    cancel(context)
    context.store.end_leases()


@behave.then("the next cancel is answered 410 and has another lease")
def check_next_lease(context):
    cancel(context)
    assert context.cancel_status == 410
    _, keys = context.store.leases[2]
    assert len(keys) == 1, context.store.leases


@behave.when("an unknown job is cancelled while the store does not answer")
def cancel_unanswered(context):
    context.store.intervene = lambda conditions: stores.Unknown(
        reason="no answer"
    )
    context.cancel_status, _ = call(context.second, "DELETE")
