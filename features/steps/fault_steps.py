"""Steps about requests under faults."""

from __future__ import annotations

import json
import socket
import sys
import time

import behave
import gevent
from geventhttpclient import response as http_response

from tools import campaign as campaigns
from tools import fleet as fleets
from tools import processes

POOL = "alarms"


@behave.given("an own fleet of two halls with three entry VMs")
def start_three(context):
    fleet = fleets.Fleet({"north": 2, "south": 1}, {POOL: 3}, slots=6)
    context.own_fleet = context.fleet = fleet
    fleet.start()


@behave.given("an own fleet with a naive pass-through in place of the entries")
def start_naive(context):
    start_three(context)
    fleet = context.fleet
    addresses = [f"{fleets.HOST}:{p}" for p in fleet.targets.values()]
    for entry in fleet.entries:
        entry.entry.kill()
        entry.entry = processes.Process(
            f"{entry.vm}-naive",
            [
                sys.executable,
                "-m",
                "tools.passthrough",
                "--port",
                str(entry.entry_port),
                *addresses,
            ],
            fleet.folder / f"{entry.vm}-naive.log",
        )
        entry.entry.start()
        fleets.wait_until(
            lambda port=entry.entry_port: fleets.is_open(port), 10, "naive"
        )


@behave.when("callers send while each fault but kills is injected")
def run_without_kills(context):
    run_campaign(context, campaigns.WITHOUT_KILLS)


@behave.when("callers send while each fault, kills included, is injected")
def run_with_kills(context):
    run_campaign(context, campaigns.KILLS)


@behave.when("callers send while answers break and targets fail")
def run_with_broken_answers(context):
    run_campaign(context, ("broken_answers", "failing_target") * 2)


def run_campaign(context, faults):
    context.report = campaigns.Campaign(context.fleet, 1).run(faults, 1)
    assert context.report.outcomes["served"] > 100, context.report


@behave.then("no keyed request ran twice")
def check_once(context):
    assert context.report.duplicates == 0, context.report


@behave.then("a keyed request ran twice")
def check_not_once(context):
    assert context.report.duplicates > 0, context.report


@behave.then("no refused request ran")
def check_refused(context):
    assert context.report.refused_ran == 0, context.report


@behave.then("no answer was mixed up or passed off as whole")
def check_whole(context):
    assert context.report.mismatched == 0, context.report


@behave.then("no target ran more jobs than it has slots")
def check_slots(context):
    assert context.report.over == 0, context.report


@behave.given('every target answers with the fault "{fault}"')
def fault_all_targets(context, fault):
    for vm in context.fleet.targets:
        context.fleet.control_target(vm, fault=fault)


@behave.given('one target of the pool answers with the fault "{fault}"')
def fault_one_target(context, fault):
    context.fleet.control_target(f"north-{POOL}-1", fault=fault)


@behave.when("a caller sends a keyed request")
def send_keyed(context):
    send_keyed_until(context, 5000)


@behave.when("a caller sends a keyed request with a deadline of {ms:d} ms")
def send_keyed_until(context, ms):
    context.key = fleets.make_key()
    started = time.monotonic()
    context.reply = context.fleet.request(
        context.fleet.entries[0],
        POOL,
        method="POST",
        headers={
            "Idempotency-Key": context.key,
            "Rackvalve-Deadline": str(ms),
        },
    )
    context.took = time.monotonic() - started


@behave.then("its answer came within {seconds:g} seconds")
def check_took(context, seconds):
    assert context.took < seconds, context.took


@behave.then("it ran at most once")
def check_ran(context):
    assert count_runs(context, context.key) <= 1


def count_runs(context, key):
    path = context.fleet.folder / "north-targets.log"
    return path.read_text().splitlines().count(f"ran {key}")


@behave.when("a caller asks for an answer of {size:d} bytes that breaks off")
def request_broken_answer(context, size):
    try:
        context.reply = context.fleet.request(
            context.fleet.entries[0], POOL, path=f"/work?size={size}"
        )
    except (OSError, http_response.HTTPParseError) as error:
        context.reply = error


@behave.then("the caller sees that it is not whole")
def check_not_whole(context):
    assert isinstance(context.reply, Exception), context.reply


@behave.given("all slots of the pool are taken for {seconds:d} seconds")
def take_slots(context, seconds):
    fleet = context.fleet
    context.holders = [
        gevent.spawn(
            fleet.request,
            fleet.entries[n % 2],
            POOL,
            path=f"/work?run_ms={seconds * 1000}",
        )
        for n in range(2 * fleet.slots)
    ]
    fleets.wait_until(
        lambda: fleet.count_running(POOL) == 2 * fleet.slots,
        5,
        "slots are taken",
    )


@behave.when("{count:d} callers send and go away at once")
def disconnect_callers(context, count):
    head = (
        f"GET /work HTTP/1.1\r\nHost: e\r\nRackvalve-Workspace: ws-1\r\n"
        f"Rackvalve-Pool: {POOL}\r\n\r\n"
    ).encode()
    entry = context.fleet.entries[0]
    address = (fleets.HOST, entry.entry_port)
    callers = [socket.create_connection(address) for _ in range(count)]
    for caller in callers:
        caller.sendall(head)
    gevent.sleep(0.3)
    context.gone_at = time.monotonic()
    for caller in callers:
        caller.close()
    context.count = count


@behave.then("the entries' queues are empty within {seconds:d} second")
def check_queue_empty(context, seconds):
    vm = context.fleet.entries[0].vm

    def count_cancelled():
        lines = context.fleet.read_log(f"{vm}-entry")
        return sum(line.get("reason") == "cancelled" for line in lines)

    fleets.wait_until(
        lambda: count_cancelled() == context.count, seconds, "all cancelled"
    )


@behave.when("{count:d} keyed requests are each sent to both entries at once")
def send_both(context, count):
    context.pairs = []
    for _ in range(count):
        key = fleets.make_key()
        pair = [
            gevent.spawn(
                context.fleet.request,
                entry,
                POOL,
                method="POST",
                headers={"Idempotency-Key": key},
            )
            for entry in context.fleet.entries
        ]
        gevent.joinall(pair, raise_error=True)
        context.pairs.append((key, [job.value.outcome for job in pair]))


@behave.then("each ran once and was served once")
def check_pairs(context):
    for key, outcomes in context.pairs:
        assert sorted(outcomes) == ["refused", "served"], (key, outcomes)
        assert count_runs(context, key) == 1, json.dumps(outcomes)
