"""Steps about operators' tokens."""

from __future__ import annotations

import dataclasses
import json

import behave

from rackvalve import codec
from rackvalve.configuration import document
from rackvalve.configuration import operators
from tools import fleet as fleets

TOKENS = {
    "reader": "token-of-the-reader",
    "operator": "token-of-the-operator",
    "chief": "token-of-the-chief",
    "expired": "token-of-the-expired",
}
ROLES = {
    "reader": "read",
    "operator": "operate",
    "chief": "administer",
    "expired": "administer",
}


def make_operators():
    return {
        name: document.Operator(
            role=ROLES[name],
            token_hash=operators.hash_token(token),
            expires=1.0 if name == "expired" else None,
        )
        for name, token in TOKENS.items()
    }


@behave.given("a fleet whose configuration names operators of each role")
def start_with_operators(context):
    if "operators" not in context.fleets:
        pools = {"alarms": 3}
        configuration = dataclasses.replace(
            fleets.make_configuration(pools, ["north"]),
            operators=make_operators(),
        )
        fleet = fleets.Fleet(
            {"north": 1}, pools, configuration=configuration, with_admin=True
        )
        context.fleets["operators"] = fleet
        fleet.start()
    context.fleet = context.fleets["operators"]


def send(context, token, method, path, body=b"", headers=None):
    given = dict(headers or {})
    if token:
        given["Authorization"] = f"Bearer {token}"
    port = context.fleet.entries[0].admin_port
    return fleets.call(port, method, path, body, given)


def run(context, token, statement):
    return send(context, token, "POST", "/v1/statements", statement.encode())


def get_token(who):
    guesses = {"nobody": "", "guesser": "token-of-the-chieF"}
    return guesses.get(who, TOKENS.get(who, ""))


@behave.when('"{who}" runs "{statement}"')
def run_as(context, who, statement):
    context.reply = run(context, get_token(who), statement)


@behave.then("the API answers {status:d}")
def check_status(context, status):
    assert context.reply.status == status, context.reply


@behave.when("each token but the chief's tries to change priority and drain")
def try_all(context):
    context.before = read_revisions(context)
    for who in ("nobody", "guesser", "expired", "reader"):
        for statement in (
            "SET PRIORITY OF ws-1 TO 9",
            "DRAIN VM north-alarms-1",
            "START WAVE w OVER POOL alarms",
        ):
            reply = run(context, get_token(who), statement)
            assert reply.status in (401, 403), reply


def read_revisions(context):
    return (
        context.fleet.read_configuration()[1],
        context.fleet.read_hall("north")[1],
    )


@behave.then("the configuration and the hall have the revisions of before")
def check_revisions(context):
    assert read_revisions(context) == context.before


@behave.when("the chief gives the reader a new token")
def rotate(context):
    configuration, revision = context.fleet.read_configuration()
    changed = dict(configuration.operators)
    changed["reader"] = dataclasses.replace(
        changed["reader"], token_hash=operators.hash_token("new-token")
    )
    reply = send(
        context,
        TOKENS["chief"],
        "PUT",
        "/v1/configuration",
        codec.encode(dataclasses.replace(configuration, operators=changed)),
        {"If-Match": str(revision)},
    )
    assert reply.status == 200, reply


@behave.then("the new token is taken and the old one is not")
def check_rotated(context):
    fleets.wait_until(
        lambda: run(context, "new-token", "SHOW POOLS").status == 200,
        3,
        "the new token is taken",
    )
    assert run(context, TOKENS["reader"], "SHOW POOLS").status == 401


@behave.then(
    'the audit log names "{who}", the command, the revision and "{outcome}"'
)
def check_audit(context, who, outcome):
    revision = json.loads(context.reply.body)["revision"]
    vm = context.fleet.entries[0].vm
    lines = [
        line
        for line in context.fleet.read_log(f"{vm}-admin")
        if line["event"] == "command.done"
    ]
    last = lines[-1]
    assert last["operator"] == who, last
    assert last["outcome"] == outcome, last
    assert last["revision"] == revision, last
    assert "set-priority" in last["command"], last
