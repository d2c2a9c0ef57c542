"""Helpers that the stand-ins share."""

from __future__ import annotations

import json
import socket

import gevent
from gevent import pywsgi


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


def answer_json(start_response, value, status="200 OK"):
    """Answer with JSON."""
    body = json.dumps(value).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    if Closing.is_due():
        headers.append(("Connection", "close"))
    start_response(status, headers)
    return [body]


def serve_until_killed():
    """Serve; stand-ins end by a signal."""
    while True:
        gevent.sleep(3600)
