"""Steps about the order in which registered managers take the ownership."""

from __future__ import annotations

import time

import behave
import gevent

from features.steps import outage_steps
from rackvalve.manager.election import election
from rackvalve.manager.election import succession
from rackvalve.manager.peers import membership as memberships
from rackvalve.manager.peers import registration as registrations
from rackvalve.platform import store as stores

LARGE = 2.15


def make_member(name, cores):
    return memberships.Member(process=name, vm=name, hall="h", cores=cores)


@behave.given(
    "managers a, b, c and d with 2.15 cores and s with 0.5, where a owned"
)
def make_members(context):
    context.cores = {**dict.fromkeys("abcd", LARGE), "s": 0.5}


@behave.given("managers a with 2.15 cores and s with 0.5, where a owned")
def make_two_members(context):
    context.cores = {"a": LARGE, "s": 0.5}


def check_delay(context, manager, wait, *, since_recovery, free_for):
    found = succession.compute_delay(
        [make_member(*one) for one in context.cores.items()],
        manager,
        context.cores[manager],
        previous_owner="a",
        since_recovery=since_recovery,
        free_for=free_for,
    )
    assert round(found * 1000) == wait, found


@behave.then(
    "{manager} waits {wait:d} ms, the ownership being free for {free:f} s"
)
def check_free(context, manager, wait, free):
    check_delay(
        context, manager, wait, since_recovery=float("inf"), free_for=free
    )


@behave.then("{manager} waits {wait:d} ms, {since:f} s after an outage")
def check_recovery(context, manager, wait, since):
    check_delay(context, manager, wait, since_recovery=since, free_for=0.0)


def make_process(store, number, cores):
    """Make a process that registers and succeeds in the order of members."""
    process = outage_steps.Process(
        store, number, cores, membership=memberships.Membership(), standby=True
    )
    registration = registrations.Registration(
        outage_steps.Connection(store, process.name),
        make_member(process.name, cores),
        may_register=lambda: True,
    )
    process.greenlets += (gevent.spawn(registration.run),)
    return process


@behave.given(
    "registered managers with 2, 2 and 0.5 cores, the first one owning"
)
def start_three(context):
    start_processes(context, (2.0, 2.0, 0.5))


def expire_forever(store):
    """End leases when they are over, not only at the next call."""
    while True:
        store.expire()
        gevent.sleep(0.01)


def start_processes(context, cores):
    context.store = outage_steps.FakeStore()
    context.processes = []
    expiring = gevent.spawn(expire_forever, context.store)
    context.add_cleanup(expiring.kill)
    for number, own in enumerate(cores):
        process = make_process(context.store, number, own)
        context.processes.append(process)
        context.add_cleanup(outage_steps.kill, process)
        if not number:
            outage_steps.wait_until(lambda: process.owns, 3.0)
    gevent.sleep(0.5)


@behave.when("the owner dies, and the next one does not finish loading")
def kill_owner_and_load_slowly(context):
    outage_steps.kill(context.processes[0])
    small = context.processes[2]
    # The larger one may not own until the small one does.
    context.processes[1].election._may_own = lambda: small.owns
    make_owner = small.election._make_owner

    def make_loading(fence):
        owner = make_owner(fence)
        owner.is_loaded = False
        return owner

    small.election._make_owner = make_loading
    outage_steps.wait_until(lambda: small.owns, 4.0)
    context.processes[1].election._may_own = lambda: True


@behave.when(
    "the owner dies, and the commit of the next one takes effect late"
)
def delay_commit(context):
    outage_steps.kill(context.processes[0])
    context.store.is_late = True
    outage_steps.wait_until(
        lambda: not context.store.is_late and context.store.late is None, 3.0
    )


@behave.then("reading the store again does not begin the wait anew")
def check_free_since(context):
    candidate = election.Election(
        None,
        "a",
        cores=LARGE,
        make_owner=None,
        may_own=None,
        telemetry=None,
        on_contact=None,
    )
    candidate._apply_range(())
    since = candidate._held_since
    assert time.monotonic() - since < 1.0
    gevent.sleep(0.05)
    candidate._apply_range(())
    assert candidate._held_since == since
    item = stores.Item(key=election.KEY, payload=b"{}", revision=7, created=7)
    for items in ((item,), ()):
        gevent.sleep(0.05)
        candidate._apply_range(items)
        assert candidate._held_since > since
        since = candidate._held_since


@behave.given("a manager that registers, whose first write is cut")
def start_registration(context):
    context.store = outage_steps.FakeStore()
    context.store.is_late = True
    context.connection = outage_steps.Connection(context.store, "a")
    context.registration = registrations.Registration(
        context.connection, make_member("a", LARGE), may_register=lambda: True
    )
    running = gevent.spawn(context.registration.run)
    context.add_cleanup(running.kill)


@behave.when("that write takes effect {when} the next one")
def write_late(context, when):
    store, registration = context.store, context.registration
    outage_steps.wait_until(lambda: store.late is not None, 1.0)
    if when == "after":
        outage_steps.wait_until(lambda: registration._lease, 2.0)
    context.connection.make_commit(*store.late)


@behave.then("the manager is registered under the lease that it renews")
def check_registered(context):
    registration = context.registration
    outage_steps.wait_until(lambda: registration._lease, 3.0)
    gevent.sleep(0.05)
    ((_, lease),) = context.store.items.values()
    assert lease == registration._lease, (lease, registration._lease)


@behave.given("a manager that is told to end while it opens a lease")
def end_registration(context):
    start_registration(context)
    gevent.sleep(outage_steps.ANSWER_S / 2)
    context.registration.end()


@behave.then("it leaves no registration and no lease")
def check_ended(context):
    gevent.sleep(0.1)
    assert not context.store.items and context.store.late is None
    assert not context.store.leases, context.store.leases


@behave.then("one of them owns {limit:f} s later")
def check_owned(context, limit):
    others = context.processes[1:]
    outage_steps.wait_until(lambda: any(one.owns for one in others), limit)


@behave.then(
    "it owns for {least:f} to {most:f} s, and the larger VM follows it"
)
def check_handover(context, least, most):
    _, large, small = context.processes
    began = time.monotonic()
    outage_steps.wait_until(lambda: not small.owns, most)
    assert time.monotonic() - began >= least
    outage_steps.wait_until(lambda: large.owns, 0.5)
    assert len(small.owners) == 1
