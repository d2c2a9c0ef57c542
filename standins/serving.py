"""HTTP helpers of the stand-ins."""

from __future__ import annotations

import json
import socket

import gevent
from gevent import pywsgi


# Delays of second answers, used in rotation, in seconds.
STUTTER_DELAYS_S = (0.002, 0.02, 0.1, 0.45)


class _StutterCount:
    """Counts the answers that were sent twice."""

    count = 0


class Closing:
    """Decides which answers of this process close their connection.

    :ivar every: One answer in this many; 0 for none.
    """

    every = 0
    answers = 0

    @classmethod
    def is_due(cls):
        """Count an answer, and return whether it closes its connection."""
        cls.answers += 1
        return bool(cls.every) and cls.answers % cls.every == 0


class Handler(pywsgi.WSGIHandler):
    """Handles one connection, without delay of small writes."""

    def __init__(self, sock, address, server):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server)

    def get_environ(self):
        environ = super().get_environ()
        environ["standin.socket"] = self.socket
        return environ

    def handle_error(self, t, v, tb):
        """Close the connection: tests requested this error as a fault."""
        self.close_connection = True


def make_server(host, port, application):
    """Return a server that has not been started."""
    return pywsgi.WSGIServer(
        (host, port), application, log=None, handler_class=Handler
    )


def read_json(environ):
    """Read a request's JSON body."""
    return json.loads(environ["wsgi.input"].read() or b"{}")


def answer_json(start_response, value, status="200 OK", *, closes=False):
    """Answer with JSON."""
    body = json.dumps(value).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    if Closing.is_due() or closes:
        headers.append(("Connection", "close"))
    start_response(status, headers)
    return [body]


def answer_with_fault(environ, start_response, value, status, fault):
    """Answer with JSON under a fault of the connection.

    :param fault: ``closing`` closes the connection with the answer,
        ``stuttering`` sends it again after a delay; others have no effect.
    """
    closes = fault == "closing"
    body = answer_json(start_response, value, status, closes=closes)
    if fault == "stuttering":
        _StutterCount.count += 1
        delay = STUTTER_DELAYS_S[_StutterCount.count % len(STUTTER_DELAYS_S)]
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body[0])}\r\n\r\n"
        gevent.spawn_later(
            delay, _send, environ["standin.socket"], head.encode() + body[0]
        )
    return body


def _send(sock, answer):
    try:
        sock.sendall(answer)
    except OSError:
        # Its client has closed the connection.
        return


def serve_until_killed():
    """Serve until a signal ends the process."""
    while True:
        gevent.sleep(3600)
