"""Steps about invalid requests to an entry."""

from __future__ import annotations

import random
import socket

import behave

from tools import fleet as fleets

POOL = "alarms"
FIELDS = {"Rackvalve-Workspace": "ws-1", "Rackvalve-Pool": POOL}


def get_entry(context):
    return context.fleet.entries[0]


def count_arrivals(context):
    return sum(
        context.fleet.control_target(vm)["arrived"]
        for vm in context.fleet.targets
    )


def send_raw(context, data, timeout=10.0):
    """Send bytes unchanged and return everything that is received."""
    entry = get_entry(context)
    with socket.create_connection(
        (fleets.HOST, entry.entry_port), timeout
    ) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := sock.recv(65536):
            received += chunk
    return received


def send_head(context, lines, body=b"", method="PUT", path="/work"):
    head = [f"{method} {path} HTTP/1.1", "Host: entry"]
    head += [f"{name}: {value}" for name, value in FIELDS.items()]
    data = "\r\n".join([*head, *lines, "", ""]).encode() + body
    context.arrived = count_arrivals(context)
    received = send_raw(context, data)
    head, _, text = received.partition(b"\r\n\r\n")
    status = int(head.split()[1])
    headers = dict(
        line.decode().lower().split(": ", 1)
        for line in head.split(b"\r\n")[1:]
    )
    context.reply = fleets.Reply(status, headers, text)


def send(context, headers, method="GET"):
    context.arrived = count_arrivals(context)
    entry = get_entry(context)
    context.reply = fleets.call(
        entry.entry_port, method, "/work", headers=headers
    )


@behave.when('a caller sends a request with {header} "{value}"')
def send_with(context, header, value):
    method = "POST" if header == "Idempotency-Key" else "GET"
    send(context, {**FIELDS, header: value}, method)


@behave.when('a caller sends a request without "{header}"')
def send_without(context, header):
    send(context, {k: v for k, v in FIELDS.items() if k != header})


@behave.when("a caller sends a request with a {header} of {size:d} characters")
def send_long(context, header, size):
    send(context, {**FIELDS, header: "p" * size})


@behave.when("a caller posts without a key")
def post_without_key(context):
    send(context, FIELDS, "POST")


@behave.when('a caller posts with key "{key}"')
def post_with_key(context, key):
    send(context, {**FIELDS, "Idempotency-Key": key}, "POST")


@behave.when("a caller announces a body of {size:d} bytes")
def announce_body(context, size):
    send_head(context, [f"Content-Length: {size}"], b"x" * 1000)


@behave.when("a caller sends a chunked body of {size:d} bytes")
def send_chunked(context, size):
    chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
    body = chunk * (size // 65536) + b"0\r\n\r\n"
    send_head(context, ["Transfer-Encoding: chunked"], body)


@behave.when("a caller sends a chunked body that also announces 5 bytes")
def send_two_lengths(context):
    lines = ["Transfer-Encoding: chunked", "Content-Length: 5"]
    context.body = b"0123456789"
    send_head(context, lines, b"a\r\n0123456789\r\n0\r\n\r\n")


@behave.when("a caller announces {size:d} bytes and sends {sent:d}")
def send_truncated(context, size, sent):
    send_head(context, [f"Content-Length: {size}"], b"x" * sent)


@behave.when('a caller sends the path "{path}"')
def send_path(context, path):
    send_head(context, [], method="GET", path=path)


@behave.then('the answer has status {status:d} and names "{field}"')
def check_status(context, status, field):
    reply = context.reply
    assert reply.status == status, reply
    assert field.encode() in reply.body, reply


@behave.then("no target was reached")
def check_no_arrival(context):
    assert count_arrivals(context) == context.arrived


@behave.when("{count:d} generated requests are sent as they are")
def send_generated(context, count):
    source = random.Random(7)
    parts = [
        b"GET /work HTTP/1.1\r\n",
        b"POST / HTTP/1.0\r\n",
        b"Rackvalve-Pool: alarms\r\n",
        b"Rackvalve-Workspace: ws-1\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: -1\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"\r\n",
        b"5\r\nhello\r\n",
        b"\x00\xff\xfe",
        b": : :\r\n",
        b"hello",
    ]
    for _ in range(count):
        chosen = [source.choice(parts) for _ in range(source.randint(1, 12))]
        try:
            send_raw(context, b"".join(chosen), timeout=5.0)
        except ConnectionError:
            continue


@behave.then("the entry still serves")
def check_still_serves(context):
    reply = context.fleet.request(get_entry(context), POOL)
    assert reply.outcome == "served", reply
