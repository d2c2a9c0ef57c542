"""HTTP servers on gevent's WSGI server, set up alike in all programs."""

from __future__ import annotations

import socket
from typing import Any

import gevent
from gevent import pywsgi

from rackvalve import logs

SOCKET_KEY = "rackvalve.socket"
TARGET_KEY = "rackvalve.target"
ABANDON_KEY = "rackvalve.abandon"
IDLE_TIMEOUT_S = 120.0
LEFTOVER_TIMEOUT_S = 0.5
LEFTOVER_LIMIT = 16 * 1024 * 1024


class Handler(pywsgi.WSGIHandler):
    """Handles one connection; turns off the delay of small writes."""

    def __init__(self, sock: socket.socket, address: Any, server: Any) -> None:
        # Without this, an answer in two writes waits 40 ms for the peer's
        # delayed acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(IDLE_TIMEOUT_S)
        self._leftover: Any = None
        super().__init__(sock, address, server)

    def get_environ(self) -> dict[str, Any]:
        """Add the socket and the request's target as it was sent."""
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[TARGET_KEY] = self.path
        environ[ABANDON_KEY] = self.abandon_input
        return environ

    def log_request(self) -> None:
        """Write nothing; the programs log events instead."""

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Log an unexpected error and end the connection."""
        if not isinstance(v, OSError):
            logs.write_failure("task.failed", message="request", error=repr(v))
        super().handle_error(t, v, tb)

    def handle_one_response(self) -> None:
        """Answer, then drop what an abandoned request still sends."""
        self._leftover = None
        super().handle_one_response()
        if self._leftover is not None:
            self._drop_leftover(self._leftover)

    def abandon_input(self) -> None:
        """Leave the rest of a request's body unread and close after it."""
        self.close_connection = True
        self._leftover = self.wsgi_input
        self.wsgi_input: Any = _NoInput()

    def _drop_leftover(self, source: Any) -> None:
        """Read on for a moment, so that the caller sees the answer.

        To close while the caller is still sending would reset the
        connection, and the answer with it.
        """
        left = LEFTOVER_LIMIT
        with gevent.Timeout(LEFTOVER_TIMEOUT_S, False):
            try:
                while left > 0 and (chunk := source.read(65536)):
                    left -= len(chunk)
            except (OSError, ValueError):
                return


Server = pywsgi.WSGIServer


class _NoInput:
    """Stands for a body that is not read any further."""

    def _discard(self) -> None:
        """Do nothing; the server calls this after each request."""


class _ErrorLog:
    """Drops the library's own text; the programs log events instead."""

    def write(self, text: str) -> None:
        """Drop a text."""

    def flush(self) -> None:
        """Do nothing."""

    def writelines(self, lines: list[str]) -> None:
        """Drop lines."""


def make_server(
    host: str, port: int, application: Any, handler: type[Handler] = Handler
) -> pywsgi.WSGIServer:
    """Make a server; it listens once it is started.

    :param host: IP number.
    :param port: Port.
    :param application: The WSGI application.
    :param handler: Handler of its connections.
    """
    return pywsgi.WSGIServer(
        (host, port),
        application,
        log=None,
        error_log=_ErrorLog(),
        handler_class=handler,
    )
