"""Callers that behave, beside a crowd of clients that do not."""

from __future__ import annotations

import dataclasses
import itertools
import json
import time

import gevent
from gevent import socket as gevent_socket
from geventhttpclient import response as http_response

from tools.clients import sessions
from tools import fleet as fleets

# Time after which a caller gives up, in seconds; its requests name it.
DEADLINE_S = 3.0
CALL_PAUSE_S = 0.1
JOB = {"spec": "work_ms=20", "steps": [{"count": 1, "cpu": 500}]}
HEADERS = {
    "Host": "jobs.example",
    "Content-Type": "application/json",
    "Deadline-Ms": str(int(DEADLINE_S * 1000)),
}
# Errors of a call that has no answer.
FAILURES = (OSError, ValueError, http_response.HTTPParseError)
REFUSALS = frozenset({429, 503})
# Timeout of the health check, and its interval, in seconds.
READY_TIMEOUT_S = 1.0
READY_INTERVAL_S = 1.0
# Time in which the slow caller sends its header, and the pause between the
# pieces of its body, in seconds; both are within the site's limits.
SLOW_HEADER_S = 2.0
SLOW_PAUSE_S = 0.5
SLOW_PIECES = 8
SLOW_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Call:
    """One call as its caller saw it.

    :param vm: VM of the manager.
    :param identity: Identifier of the job.
    :param status: HTTP status; 0 without an answer.
    :param seconds: How long it took.
    :param retry_after: Whether the answer says when to come back.
    :param error: Why there was no answer.
    """

    vm: str
    identity: str
    status: int
    seconds: float
    retry_after: bool = False
    error: str = ""

    @property
    def is_refused(self):
        """Whether the caller was told that the job is not taken."""
        return self.status in REFUSALS and self.retry_after


class Callers:
    """One caller for each manager, which submits one job after the other.

    :param managers: The managers.
    :param queue: The queue that they submit to.
    """

    def __init__(self, managers, queue):
        self._managers = managers
        self._queue = queue
        self._numbers = itertools.count(1)
        self._greenlets = []
        self.calls = []
        self.slow_calls = []
        self._stopping = False
        # Why each health check failed, empty if it did not, by VM, in order.
        self.checks = {manager["vm"]: [] for manager in managers}

    def start(self, slow_manager):
        """Begin to call, in greenlets.

        :param slow_manager: The manager that the slow caller calls.
        """
        for manager in self._managers:
            self._greenlets.append(gevent.spawn(self._call_forever, manager))
            self._greenlets.append(gevent.spawn(self._check_forever, manager))
        self._greenlets.append(
            gevent.spawn(self._call_slowly_forever, slow_manager)
        )

    def stop(self):
        """Stop calling once the calls in flight have ended."""
        self._stopping = True
        gevent.joinall(self._greenlets, timeout=SLOW_TIMEOUT_S * 2)

    def submit(self, manager):
        """Submit one job, and return the call."""
        identity = self._make_identity()
        began = time.monotonic()
        try:
            reply = fleets.call(
                manager["front"],
                "POST",
                f"/{self._queue}/{identity}",
                json.dumps(JOB).encode(),
                HEADERS,
                timeout=DEADLINE_S,
            )
        except FAILURES as error:
            return _end_call(manager, identity, began, error=repr(error))
        return _end_call(
            manager,
            identity,
            began,
            status=reply.status,
            retry_after="retry-after" in reply.headers,
        )

    def _make_identity(self):
        return f"{0xCA11 << 32 | next(self._numbers):016x}"

    def _call_forever(self, manager):
        while not self._stopping:
            self.calls.append(self.submit(manager))
            gevent.sleep(CALL_PAUSE_S)

    def _check_forever(self, manager):
        while not self._stopping:
            began = time.monotonic()
            try:
                reply = fleets.call(
                    manager["ready"],
                    "GET",
                    "/ready",
                    timeout=READY_TIMEOUT_S,
                )
                fault = "" if reply.status == 200 else f"{reply.status}"
            except FAILURES as error:
                fault = repr(error)
            self.checks[manager["vm"]].append(fault)
            taken = time.monotonic() - began
            gevent.sleep(max(0.0, READY_INTERVAL_S - taken))

    def _call_slowly_forever(self, manager):
        while not self._stopping:
            self.slow_calls.append(self._submit_slowly(manager))
            gevent.sleep(CALL_PAUSE_S)

    def _submit_slowly(self, manager):
        identity = self._make_identity()
        body = json.dumps(JOB).encode()
        head = (
            f"POST /{self._queue}/{identity} HTTP/1.1\r\n"
            "Host: jobs.example\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        began = time.monotonic()
        reason = "closed without an answer"
        answer = b""
        sock = gevent_socket.socket()
        sock.settimeout(SLOW_TIMEOUT_S)
        try:
            sock.connect((sessions.HOST, manager["front"]))
            _send_slowly(sock, head, SLOW_HEADER_S / SLOW_PIECES)
            _send_slowly(sock, body, SLOW_PAUSE_S)
        except OSError as error:
            # An answer may have been sent before the connection was closed.
            reason = repr(error)
        try:
            while block := sock.recv(sessions.READ_BLOCK):
                answer += block
        except OSError as error:
            reason = repr(error)
        finally:
            sock.close()
        if not answer.startswith(b"HTTP/1.1 "):
            return _end_call(manager, identity, began, error=reason)
        return _end_call(
            manager,
            identity,
            began,
            status=int(answer[9:12]),
            retry_after=b"\nretry-after:" in answer.lower(),
        )


def _end_call(
    manager, identity, began, *, status=0, retry_after=False, error=""
):
    return Call(
        vm=manager["vm"],
        identity=identity,
        status=status,
        seconds=time.monotonic() - began,
        retry_after=retry_after,
        error=error,
    )


def _send_slowly(sock, data, pause):
    size = -(-len(data) // SLOW_PIECES)
    for start in range(0, len(data), size):
        sock.sendall(data[start : start + size])
        gevent.sleep(pause)
