"""Helpers that the stand-ins share."""

from __future__ import annotations

import json
import socket

import gevent
from gevent import pywsgi


# How much later second answers come, in turn, in seconds.
STUTTERS_S = (0.002, 0.02, 0.1, 0.45)


class _Stutter:
    """How many answers came twice."""

    count = 0


class Closing:
    """Which answers of this process end their connection.

    :ivar every: One of so many; 0 for none.
    """

    every = 0
    answers = 0

    @classmethod
    def is_due(cls):
        """Count an answer, and return whether it ends its connection."""
        cls.answers += 1
        return bool(cls.every) and cls.answers % cls.every == 0


class Handler(pywsgi.WSGIHandler):
    """Handles one connection without delaying small writes."""

    def __init__(self, sock, address, server):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server)

    def get_environ(self):
        environ = super().get_environ()
        environ["standin.socket"] = self.socket
        return environ

    def handle_error(self, t, v, tb):
        """Close without an answer; faults are ordered, not reported."""
        self.close_connection = True


def make_server(host, port, application):
    """Make a server that is not started yet."""
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


def answer_oddly(environ, start_response, value, status, fault):
    """Answer with JSON, in a way that tries the client.

    :param fault: ``closing`` ends the connection by the answer, ``stuttering``
        sends it once more, a while later; others change nothing.
    """
    closes = fault == "closing"
    body = answer_json(start_response, value, status, closes=closes)
    if fault == "stuttering":
        _Stutter.count += 1
        delay = STUTTERS_S[_Stutter.count % len(STUTTERS_S)]
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
    """Serve; stand-ins end by a signal."""
    while True:
        gevent.sleep(3600)
