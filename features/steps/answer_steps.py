"""Steps about answers that end a connection, are damaged, or come twice."""

from __future__ import annotations

import json
import random

import behave
import gevent
from gevent import server as gevent_server

from features.steps import site_steps
from features import stutter_bench as benches
from rackvalve.platform import connections
from rackvalve.platform import workers
from tools import site as sites

TIMEOUT_S = 0.5
DAMAGE_SEED = 40


class ScriptedServer:
    """HTTP server whose answers are scripted.

    :param script: Called with the number of the call; yields pieces of bytes,
        pauses in seconds, or ``None`` to close the connection.
    """

    def __init__(self, script):
        self.calls = 0
        self._script = script
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", 0), self._serve
        )
        self._server.start()
        self.port = self._server.server_port
        self.client = connections.HttpClient("127.0.0.1", self.port)

    def stop(self):
        self.client.close()
        self._server.stop(timeout=0)

    def _serve(self, sock, address):
        try:
            while sock.recv(65536):
                self.calls += 1
                for piece in self._script(self.calls):
                    if piece is None:
                        sock.close()
                        return
                    if isinstance(piece, float):
                        gevent.sleep(piece)
                    else:
                        sock.sendall(piece)
        except OSError:
            # Its client has closed the connection.
            return


def write_answer(body, *, status=b"200 OK", version=b"1.1", headers=b""):
    """Return an HTTP answer with a Content-Length header."""
    return (
        b"HTTP/%s %s\r\n%sContent-Length: %d\r\n\r\n"
        % (version, status, headers, len(body))
    ) + body


def write_body(number):
    return b'{"number":%d}' % number


def _answer_closing(number):
    yield write_answer(write_body(number), headers=b"Connection: close\r\n")


def _answer_and_close(number):
    yield from _answer_closing(number)
    yield None


def _answer_http_1_0(number):
    yield write_answer(write_body(number), version=b"1.0")
    yield None


def _answer_without_length(number):
    yield b"HTTP/1.1 200 OK\r\n\r\n" + write_body(number)
    yield None


def _answer_interim(number):
    yield b"HTTP/1.1 100 Continue\r\n\r\n"
    yield write_answer(write_body(number))


ANSWERS = {
    "whole": lambda number: [write_answer(write_body(number))],
    "and says that it closes, and does": _answer_and_close,
    "and says that it closes, and does not yet": _answer_closing,
    "in HTTP/1.0": _answer_http_1_0,
    "without a length, ended by the close": _answer_without_length,
    "after an interim one": _answer_interim,
}


@behave.then("a server that answers so is answered by {count:d} calls in turn")
def check_answers(context, count):
    wrong = []
    for row in context.table:
        server = ScriptedServer(ANSWERS[row["answer"]])
        try:
            outcomes = [
                server.client.exchange("GET", "/", timeout=TIMEOUT_S)
                for _ in range(count)
            ]
        except OSError as error:
            outcomes = [error]
        server.stop()
        expected = [(200, write_body(number + 1)) for number in range(count)]
        found = [
            isinstance(one, connections.Answer) and (one.status, one.body)
            for one in outcomes
        ]
        if found != expected:
            wrong.append((row["answer"], outcomes[:2]))
    assert not wrong, wrong


@behave.then(
    "of {count:d} calls none takes another's answer, and a third has its own "
    "at least"
)
def check_second_answers(context, count):
    found = []
    for row in context.table:
        at_once = row["second answer"] == "at once"
        wrong, own = benches.call_in_turn(row["call"], count, at_once=at_once)
        if wrong or own * 3 < count:
            found.append((row["call"], row["second answer"], wrong, own))
    assert not found, found


@behave.given(
    "a worker that refuses one order with 503, twice, and takes all others"
)
def make_refusing(context):
    refusal = b"HTTP/1.1 503 Unwell\r\nContent-Length: 0\r\n\r\n"

    def script(number):
        if number > 2:
            yield write_answer(b'{"clock-ms":482113}')
            return
        if number == 2:
            # Repeats the first order's refusal before the second's answer.
            yield refusal
            yield 0.01
        yield write_answer(b'{"clock-ms":482113}') if number > 1 else refusal

    context.server = ScriptedServer(script)


@behave.then(
    "of 2 orders in turn the first is refused and the second is taken"
)
def check_refusals(context):
    worker = workers.Worker(
        "127.0.0.1", context.server.port, "i-1", timeout=TIMEOUT_S
    )
    outcomes = [
        worker.stop(task="t", run=run, fence=1, min_clock=0.0)
        for run in (1, 2)
    ]
    worker.close()
    context.server.stop()
    kinds = [type(outcome) for outcome in outcomes]
    assert kinds == [workers.Unwell, workers.Done], outcomes


@behave.given(
    "a worker that answers 2 holds in the same millisecond, then a later one"
)
def make_same_millisecond(context):
    def script(number):
        clock = 482113 if number < 3 else 482114
        body = '{"clock-ms":%d,"running":[],"ended":[]}' % clock
        yield write_answer(body.encode())

    context.server = ScriptedServer(script)


@behave.then("of 3 holds in turn on one connection the second has no answer")
def check_holds(context):
    worker = workers.Worker(
        "127.0.0.1", context.server.port, "i-1", timeout=TIMEOUT_S
    )
    outcomes = [
        worker.hold(
            lease_until=None,
            fence=1,
            acknowledged=0,
            wait=0.0,
            timeout=TIMEOUT_S,
            min_clock=0.0,
        )
        for _ in range(3)
    ]
    worker.close()
    context.server.stop()
    kinds = [type(outcome) for outcome in outcomes]
    expected = [workers.Report, connections.NoAnswer, workers.Report]
    assert kinds == expected, outcomes


@behave.given("a server that answers after 50 ms")
def make_slow_server(context):
    context.servers = [
        ScriptedServer(
            lambda number, name=name: [0.05, write_answer(b'"%s"' % name)]
        )
        for name in (b"one", b"other")
    ]


@behave.when("another one is to be called while a call to it is under way")
def change_address(context):
    one, other = context.servers
    made = gevent.spawn(one.client.exchange, "GET", "/", timeout=TIMEOUT_S)
    gevent.sleep(0.02)
    one.client.set_address("127.0.0.1", other.port)
    made.join()


@behave.then("the next call goes to the other one")
def check_address(context):
    one, other = context.servers
    outcome = one.client.exchange("GET", "/", timeout=TIMEOUT_S)
    one.stop()
    other.stop()
    assert outcome.body == b'"other"', outcome


def damage(rng, answer):
    """Return an answer with some bytes changed, dropped, or cut off."""
    text = bytearray(answer)
    for _ in range(rng.randint(1, 3)):
        at = rng.randrange(len(text))
        how = rng.randrange(4)
        if how == 0:
            text[at] = rng.randrange(256)
        elif how == 1:
            del text[at]
        elif how == 2:
            del text[at:]
        else:
            text[at:at] = text[at : at + rng.randint(1, 20)]
        if not text:
            break
    return bytes(text)


@behave.when(
    "{count:d} answers with bytes changed, dropped or cut at random come"
)
def damage_answers(context, count):
    rng = random.Random(DAMAGE_SEED)
    headers = (b"", b"Connection: close\r\n", b"Transfer-Encoding: x\r\n")

    def script(number):
        version = rng.choice((b"1.1", b"1.0"))
        yield damage(
            rng,
            write_answer(
                write_body(number),
                version=version,
                headers=rng.choice(headers),
            ),
        )
        yield None

    server = ScriptedServer(script)
    context.outcomes = [
        server.client.exchange("GET", "/", timeout=TIMEOUT_S)
        for _ in range(count)
    ]
    server.stop()


@behave.then("each call has had an answer or none")
def check_damaged(context):
    kinds = {type(outcome) for outcome in context.outcomes}
    assert kinds == {connections.Answer, connections.NoAnswer}, kinds


@behave.given(
    "a site of {count:d} managers whose servers end a connection with each "
    "{every:d}th answer"
)
def start_closing_servers(context, count, every):
    context.own_fleet = sites.Site(count, platform=[f"--closing={every}"])
    context.own_fleet.start()
    context.submitted = []


@behave.when("{count:d} jobs of 2 tasks of 0.3 s are handed in")
def submit_jobs(context, count):
    context.owner = context.own_fleet.owner()["vm"]
    for _ in range(count):
        site_steps.submit(
            context, steps=[{"count": 2, "cpu": 500}], spec="work_ms=300"
        )


def read_events(site, event):
    """Return the log lines of an event from all managers."""
    lines = []
    for path in sorted(site.folder.glob("vm-*.log")):
        for text in path.read_text().splitlines():
            if f'"{event}"' in text:
                lines.append(json.loads(text))
    return lines


@behave.then("one process has owned all the time, and no task has failed")
def check_owner(context):
    site = context.own_fleet
    taken = [line["vm"] for line in read_events(site, "ownership.taken")]
    assert taken == [context.owner], (taken, site.folder)
    failed = read_events(site, "task.failed")
    assert not failed, (failed[0], site.folder)
