"""Steps about configuration, kills, restarts and stops."""

from __future__ import annotations

import dataclasses
import json
import re
import socket

import behave
import gevent

from rackvalve import codec
from rackvalve.configuration import document
from rackvalve import logs
from rackvalve.rpc import documents as document_module
from rackvalve.steward import keeper as keepers
from tools.experiments import figures
from tools import fleet as fleets

POOL = "alarms"
POOLS = {POOL: 2, "calib": 2}
EVENTS = {"", *logs.EVENTS}


@behave.given("a fleet of one hall with two entry VMs")
def start_one_hall(context):
    if "one" not in context.fleets:
        fleet = fleets.Fleet({"north": 2}, POOLS, with_admin=True)
        context.fleets["one"] = fleet
        fleet.start()
    context.fleet = context.fleets["one"]
    context.revision = context.fleet.read_configuration()[1]


@behave.given("an own fleet of one hall with two entry VMs")
def start_own_fleet(context):
    context.receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.receiver.bind((fleets.HOST, 0))
    fleet = fleets.Fleet({"north": 2}, POOLS)
    fleet.statsd_port = context.receiver.getsockname()[1]
    context.own_fleet = fleet
    fleet.start()
    context.fleet = fleet
    context.loads = []


def call_admin(context, method, path, value=None, headers=None, index=0):
    port = context.fleet.entries[index].admin_port
    body = b"" if value is None else codec.encode(value)
    reply = fleets.call(port, method, path, body, headers)
    return reply.status, json.loads(reply.body)


def send_command(context, kind, index=0, **body):
    value = {"kind": kind, "body": body}
    return call_admin(context, "POST", "/v1/commands", value, index=index)


def set_priority(context, workspace, priority, expected=None, index=0):
    return send_command(
        context,
        "set-priority",
        index,
        workspace=workspace,
        priority=priority,
        expected=expected,
    )


@behave.when('the operator sets the priority of "{workspace}" to {priority:d}')
def order_priority(context, workspace, priority):
    context.status, context.answer = set_priority(context, workspace, priority)


@behave.then(
    'the priority of "{workspace}" is {priority:d} at a higher revision'
)
def check_priority(context, workspace, priority):
    configuration, revision = context.fleet.read_configuration()
    assert configuration.workspaces[workspace].priority == priority
    assert revision > context.revision
    context.revision = revision


@behave.then("every entry reports that revision within {seconds:d} seconds")
def check_reported(context, seconds):
    def is_in_force():
        _, status = call_admin(context, "GET", "/v1/status")
        reports = status["reports"]
        return len(reports) == 2 and all(
            report["configuration_revision"] >= context.revision
            for report in reports
        )

    fleets.wait_until(is_in_force, seconds, "in force everywhere")


@behave.when("the operator puts a configuration with two faults")
def put_invalid(context):
    bad = document.Configuration(
        pools={"alarms": document.Pool(budget=-1)},
        workspaces={"ws-1": document.Workspace(pools=["nowhere"])},
        key_halls=["north"],
    )
    headers = {"If-Match": str(context.revision)}
    context.status, context.answer = call_admin(
        context, "PUT", "/v1/configuration", bad, headers
    )


@behave.then("the command is refused with {status:d} and names both faults")
def check_invalid(context, status):
    assert context.status == status, context.answer
    assert "pools.alarms.budget" in context.answer["detail"]
    assert "pool 'nowhere' is not defined" in context.answer["detail"]


@behave.then("the revision has not changed")
def check_same_revision(context):
    assert context.fleet.read_configuration()[1] == context.revision


@behave.when("two operators change the configuration on the same revision")
def race(context):
    context.race = gevent.joinall(
        [
            gevent.spawn(
                set_priority, context, "ws-1", 3, context.revision, 0
            ),
            gevent.spawn(
                set_priority, context, "ws-2", 4, context.revision, 1
            ),
        ]
    )


@behave.then("one is accepted and the other gets a conflict with the revision")
def check_race(context):
    results = [job.value for job in context.race]
    assert sorted(status for status, _ in results) == [200, 409], results
    accepted = next(answer for status, answer in results if status == 200)
    conflict = next(answer for status, answer in results if status == 409)
    assert conflict["revision"] == accepted["revision"], results


@behave.given("the platform loses the answer to the next write")
def lose_answer(context):
    context.fleet.control_platform(faults={"lose_answers": 1})


@behave.then("the command was accepted")
def check_accepted(context):
    assert context.status == 200, context.answer


@behave.then("the revision has risen by one")
def check_risen(context):
    configuration, revision = context.fleet.read_configuration()
    assert configuration.workspaces["ws-1"].priority == 8
    assert revision == context.answer["revision"]


@behave.given("the platform is down")
def stop_platform(context):
    context.before = {
        entry.vm: get_revisions(context, entry)
        for entry in context.fleet.entries
    }
    context.fleet.control_platform(faults={"outage": True})


def get_revisions(context, entry):
    reply = fleets.call(entry.admin_port, "GET", "/v1/status")
    status = json.loads(reply.body)
    return status["configuration_revision"], status["hall_revision"]


@behave.when("a caller sends {count:d} requests to each entry")
def send_many(context, count):
    context.replies = [
        context.fleet.request(entry, POOL)
        for entry in context.fleet.entries
        for _ in range(count)
    ]


@behave.then("all are served")
def check_all_served(context):
    bad = [r for r in context.replies if r.outcome != "served"]
    assert not bad, bad


@behave.then("a command fails and says that nothing changed")
def check_command_fails(context):
    status, answer = set_priority(context, "ws-1", 2)
    assert status == 503, answer
    assert "nothing changed" in answer["title"]


@behave.when("the second VM's programs are killed and started again")
def restart_second(context):
    entry = context.fleet.entries[1]
    entry.entry.kill()
    entry.steward.kill()
    context.fleet.start_entry(entry)
    context.fleet.start_steward(entry)


@behave.then("the second VM serves again")
def check_second_serves(context):
    check_serves(context, context.fleet.entries[1])


@behave.then("the first VM serves again")
def check_first_serves(context):
    check_serves(context, context.fleet.entries[0])


def check_serves(context, entry):
    fleets.wait_until(
        lambda: context.fleet.try_request(entry, POOL, "ws-1"),
        15,
        f"{entry.vm} serves",
    )


@behave.then("it has the same revisions as before")
def check_same_revisions(context):
    entry = context.fleet.entries[1]
    assert get_revisions(context, entry) == context.before[entry.vm]


@behave.when("documents of revisions 5, 3, 9 and 4 are offered to a keeper")
def offer_documents(context):
    keeper = keepers.Keeper("vm-1", "north", clock=lambda: 0.0)
    context.took = []
    for revision in (5, 3, 9, 4):
        payload = codec.encode(document.Configuration(operation=str(revision)))
        offered = document_module.Document(
            name=document.KEY, revision=revision, payload=payload
        )
        keeper.tell(keepers.DocumentOffered(offered))
        context.took.append(keeper.documents.get_revision(document.KEY))
    context.keeper = keeper


@behave.then("it took revisions 5 and 9")
def check_took(context):
    assert context.took == [5, 5, 9, 9], context.took
    assert context.keeper.get_configuration()[0].operation == "9"


def start_load(context, indices, seconds=3):
    addresses = [
        f"{fleets.HOST}:{context.fleet.entries[index].entry_port}"
        for index in indices
    ]
    context.loads.append(
        figures.start_load(
            addresses,
            connections=8,
            seconds=seconds,
            pool=POOL,
            path="/work?run_ms=20",
        )
    )
    # On a busy machine the load may take longer to begin than an entry to
    # stop, and there would be nothing that could be cut off.
    fleets.wait_until(
        lambda: context.fleet.count_running(POOL) > 0, 20, "load is served"
    )
    gevent.sleep(0.5)


@behave.when("the {program} of the first VM is killed under load")
def kill_program(context, program):
    # The load goes to the VM whose program stays, and to the first one
    # only where its entry is not the program that is killed.
    start_load(context, [1] if program == "entry" else [0, 1])
    getattr(context.fleet.entries[0], program).kill()


@behave.when("the {program} of the first VM is started again")
def start_program(context, program):
    getattr(context.fleet, f"start_{program}")(context.fleet.entries[0])


@behave.then("no answer was broken")
def check_loads(context):
    for load in context.loads:
        found = figures.finish_load(load)
        load.found = found
        assert found["served"] > 0, found
        assert found["broken"] == 0, found
        assert not found["unknown"], found


@behave.when("all programs are killed and started in reverse order")
def restart_all(context):
    for entry in context.fleet.entries:
        entry.entry.kill()
        entry.steward.kill()
    for entry in reversed(context.fleet.entries):
        context.fleet.start_entry(entry)
        context.fleet.start_steward(entry)


@behave.when("the first entry is told to stop under load")
def stop_entry(context):
    start_load(context, [0])
    context.code = context.fleet.entries[0].entry.terminate()


@behave.then("it ends with code {code:d} and had cut off {count:d} requests")
def check_stopped(context, code, count):
    assert context.code == code
    vm = context.fleet.entries[0].vm
    lines = context.fleet.read_log(f"{vm}-entry")
    ended = [line for line in lines if line["event"] == "program.stopped"]
    assert ended and ended[-1]["cut_off"] == count, lines[-3:]


@behave.when("a second process of the first entry is started")
def start_second_process(context):
    entry = context.fleet.entries[0]
    second = dataclasses.replace(entry, vm=f"{entry.vm}-second")
    context.fleet.start_entry(second)
    context.code = second.entry.popen.wait(20)


@behave.then("it ends with code {code:d}")
def check_code(context, code):
    assert context.code == code, context.code


@behave.then("every log line is JSON with a known event, VM and hall")
def check_logs(context):
    for entry in context.fleet.entries:
        for program in ("entry", "steward"):
            for line in context.fleet.read_log(f"{entry.vm}-{program}"):
                assert line["event"] in logs.EVENTS, line
                assert line["vm"] == entry.vm, line
                assert line["hall"] == entry.hall, line


@behave.then("the statsd receiver counts at least {count:d} requests served")
def check_statsd(context, count):
    context.receiver.settimeout(5.0)
    served = 0
    pattern = re.compile(r"rackvalve\.entry\.requests\.served:(\d+)\|c")
    while served < count:
        text = context.receiver.recv(65536).decode()
        served += sum(int(number) for number in pattern.findall(text))
