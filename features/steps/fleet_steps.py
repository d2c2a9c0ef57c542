"""Steps that start fleets and send requests."""

from __future__ import annotations

import hashlib

import behave

from tools import fleet as fleets

POOL = "alarms"


@behave.given("a fleet of two halls")
def start_shared_fleet(context):
    if "two" not in context.fleets:
        fleet = fleets.Fleet({"north": 2, "south": 1}, {POOL: 2, "calib": 2})
        context.fleets["two"] = fleet
        fleet.start()
    context.fleet = context.fleets["two"]


@behave.when(
    'a caller sends a request of {size:d} bytes through hall "{hall}"'
)
def send_sized(context, size, hall):
    entry = next(e for e in context.fleet.entries if e.hall == hall)
    context.body = b"b" * size
    context.reply = context.fleet.request(
        entry,
        POOL,
        method="POST",
        body=context.body,
        headers={"Idempotency-Key": fleets.make_key()},
    )


@behave.when('a caller sends a request with identifier "{request_id}"')
def send_identified(context, request_id):
    context.reply = context.fleet.request(
        context.fleet.entries[0],
        POOL,
        headers={"Rackvalve-Request-Id": request_id},
    )


@behave.when("a caller asks for an answer of {size:d} bytes")
def ask_large(context, size):
    context.reply = context.fleet.request(
        context.fleet.entries[0], POOL, path=f"/work?size={size}"
    )


@behave.then('the outcome is "{outcome}"')
def check_outcome(context, outcome):
    assert context.reply.outcome == outcome, context.reply


@behave.then("the answer is the whole answer to this request")
def check_answer(context):
    request_id = context.reply.headers["rackvalve-request-id"]
    digest = hashlib.sha256(context.body).hexdigest()
    vm = context.reply.headers["target-vm"]
    wanted = f"{vm} {request_id} {digest}\n".encode()
    assert context.reply.body == wanted, context.reply


@behave.then('the answer carries identifier "{request_id}"')
def check_identifier(context, request_id):
    assert context.reply.headers["rackvalve-request-id"] == request_id


@behave.then('the target saw identifier "{request_id}"')
def check_target_saw(context, request_id):
    vm = context.reply.headers["target-vm"]
    seen = context.fleet.control_target(vm, ids=True)["ids"]
    assert request_id in seen, seen


@behave.then("the answer has {size:d} bytes")
def check_size(context, size):
    assert len(context.reply.body) == size, len(context.reply.body)
