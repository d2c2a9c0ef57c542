"""Steps about relaying between managers that run as processes."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import time

import behave

from rackvalve import version
from tools import fleet as fleets
from tools import processes
from tools import site as sites
from tools.soak import links

STEPS = [{"count": 1}]
BODY = {"spec": "work_ms=50", "steps": STEPS}
WAIT_S = 10.0
PORTS = 10
FAULTS = {
    "has no such call": "none",
    "ends each call": "abort",
    "answers nonsense": "odd",
    "never answers": "hang",
}


def start_site(context, count):
    """Start managers that the store tells apart by their address."""
    context.links = []

    def make_link(port):
        source = f"127.0.0.{len(context.links) + 2}"
        context.links.append(links.Link(port, source))
        return context.links[-1].port

    first = fleets.find_port()
    context.own_fleet = sites.Site(
        count,
        make_link=make_link,
        keys={"north": ["north-key"]},
        settings=lambda number: {
            "relay": "on",
            "peer_ports": f"{first},{first + PORTS}",
        },
    )
    context.own_fleet.start()
    context.add_cleanup(lambda: [link.close() for link in context.links])


def wait_for(find, what):
    until = time.monotonic() + WAIT_S
    while time.monotonic() < until:
        found = find()
        if found:
            return found
        time.sleep(0.05)
    raise AssertionError(f"not seen: {what}")


def read_events(context, event):
    """Return the lines of one event of all managers."""
    lines = [
        json.loads(line)
        for path in context.own_fleet.folder.glob("vm-*.log")
        for line in path.read_text().splitlines()
        if f'"{event}"' in line
    ]
    return [line for line in lines if line["event"] == event]


@behave.given("a site of {count:d} managers that relay")
def start_relaying(context, count):
    start_site(context, count)
    # Two of the hall serve, each registered with its own port.
    wait_for(
        lambda: len(read_events(context, "relay.listening")) == 2,
        "servers of relayed requests",
    )
    time.sleep(0.5)


@behave.when("the store rejects the last manager by {how}")
def reject_last(context, how):
    count = len(context.own_fleet.managers)
    context.own_fleet.reject_callers({f"127.0.0.{count + 1}": how})
    context.rejected = context.own_fleet.managers[-1]


def call(context, method, identity, **options):
    body = BODY if method == "POST" else None
    return context.own_fleet.call(
        context.rejected, method, f"/lookup/{identity}", body, **options
    )


@behave.then(
    "jobs are submitted, read, counted and cancelled there as elsewhere"
)
def check_served(context):
    context.identities = [f"{number:016x}" for number in range(1, 21)]
    for identity in context.identities:
        for method in ("POST", "GET"):
            reply = call(context, method, identity)
            assert reply is not None and reply.status == 200, (method, reply)
    assert json.loads(call(context, "GET", "").body)["waiting"] <= 20
    identity = "00000000000000ff"
    body = {"spec": "work_ms=9000", "steps": [{"count": 1}]}
    path = f"/lookup/{identity}"
    site = context.own_fleet
    assert site.call(context.rejected, "POST", path, body).status == 200
    assert site.call(context.rejected, "DELETE", path).status == 200
    assert site.wait_final("lookup", identity) == "cancelled"


@behave.then("a key that is unknown is answered 401 there")
def check_key(context):
    headers = {"Authorization": "Bearer nobody"}
    reply = call(context, "GET", context.identities[0], headers=headers)
    assert reply.status == 401, reply


@behave.then("that manager is not ready")
def check_unready(context):
    def is_unready():
        ready = context.rejected["ready"]
        return fleets.call(ready, "GET", "/ready", timeout=2.0).status == 503

    wait_for(is_unready, "503 of /ready")


@behave.then("each job ran as often as it should")
def check_runs(context):
    for identity in context.identities:
        state = context.own_fleet.wait_final("lookup", identity)
        assert state == "completed", (identity, state)
    rows = context.own_fleet.journal()["journal"]
    started = [row[3][:16] for row in rows if row[1] == "start"]
    for identity in context.identities:
        assert started.count(identity) == 1, identity


def list_registered(context):
    """Return the addresses that the managers have registered last."""
    lines = read_events(context, "member.registered")
    return {line["vm"]: line["address"] for line in lines}


@behave.then(
    "{count:d} managers listen for peers on ports of their own, and register "
    "them"
)
def check_ports(context, count):
    listening = {
        line["vm"]: line["address"]
        for line in read_events(context, "relay.listening")
    }
    assert len(set(listening.values())) == count, listening
    wait_for(
        lambda: listening.items() <= list_registered(context).items(),
        "the ports taken",
    )
    context.listening = listening


@behave.then("{count:d} manager has not loaded gRPC")
def check_memory(context, count):
    loaded = []
    for manager in context.own_fleet.managers:
        pid = manager["process"].popen.pid
        maps = pathlib.Path(f"/proc/{pid}/maps").read_text()
        loaded.append("cygrpc" in maps)
    assert loaded.count(False) == count, loaded


@behave.then(
    "a manager that listens for peers ends in time when it is told to"
)
def check_end(context):
    for manager in context.own_fleet.managers:
        if manager["vm"] in context.listening:
            manager["process"].terminate(WAIT_S)
            assert manager["process"].popen.returncode == 0
            return


def ask(address, release, hops):
    printed = subprocess.run(
        [
            sys.executable,
            "-m",
            "standins.peer",
            f"--ask={address}",
            f"--release={release}",
            f"--hops={hops}",
        ],
        capture_output=True,
        check=True,
        text=True,
    )
    return json.loads(printed.stdout)["status"]


@behave.then(
    "a request of another release, or one of two hops, is answered 503"
)
def check_rejected(context):
    address = read_events(context, "relay.listening")[0]["address"]
    for _ in range(2):
        assert ask(address, "0.0.0", 1) == 503
        assert ask(address, version.VERSION, 2) == 503
    assert ask(address, version.VERSION, 1) in (401, 410)


@behave.then("each reason is logged once")
def check_logged(context):
    reasons = [
        line["reason"] for line in read_events(context, "relay.rejected")
    ]
    assert len(reasons) == len(set(reasons)) == 2, reasons


@behave.then("no call of a peer without a message delays its other callers")
def check_stalled(context):
    address = read_events(context, "relay.listening")[0]["address"]
    vm = read_events(context, "relay.listening")[0]["vm"]
    manager = next(
        one for one in context.own_fleet.managers if one["vm"] == vm
    )
    peer = subprocess.Popen(
        [sys.executable, "-m", "standins.peer", f"--stall={address}"]
    )
    context.add_cleanup(peer.kill)
    longest, asked = 0.0, 0
    while peer.poll() is None:
        began = time.monotonic()
        fleets.call(manager["ready"], "GET", "/ready", timeout=5.0)
        longest = max(longest, time.monotonic() - began)
        asked += 1
        time.sleep(0.02)
    assert longest < 1.0, longest
    assert peer.returncode == 0 and asked, (peer.returncode, asked)


@behave.given("a manager that the store rejects, whose only peer {fault}")
def start_faulty(context, fault):
    start_site(context, 1)
    context.rejected = context.own_fleet.managers[0]
    port = fleets.find_port()
    if fault in FAULTS:
        words = [f"--port={port}", f"--how={FAULTS[fault]}"]
        peer = processes.Process(
            "peer",
            [sys.executable, "-m", "standins.peer", *words],
            str(context.own_fleet.folder / "peer.log"),
        )
        peer.start()
        context.add_cleanup(peer.kill)
    process = "vm-9 0"
    registered = {
        "process": process,
        "vm": "vm-9",
        "hall": "hall-2",
        "cores": 1,
        "address": f"127.0.0.1:{port}",
    }
    order = {"put": f"owner/member/{process}", "value": registered}
    context.own_fleet.order(order)
    # Until the manager has seen it and the peer listens.
    time.sleep(1.5)
    reject_last(context, "503")


@behave.then(
    "a job submitted there is answered {post:d}, and one read there {get:d}"
)
def check_faulty(context, post, get):
    for _ in range(2):
        # A peer that has just failed is asked again after a second.
        reply = call(context, "POST", "00000000000000aa")
        assert reply.status == post, reply
        reply = call(context, "GET", "00000000000000aa")
        assert reply.status == get, reply
        time.sleep(1.1)
    context.own_fleet.reject_callers({})
