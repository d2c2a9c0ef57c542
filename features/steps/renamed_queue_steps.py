"""Steps about queues whose names change while they have jobs."""

from __future__ import annotations

import dataclasses
import itertools
import json
import time

import behave

from features import job_bench
from features import job_models as models
from features.steps import site_steps
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import attempts
from rackvalve.scheduling import messages
from rackvalve.scheduling import namespaces

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
