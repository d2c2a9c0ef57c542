"""Answers to requests that were not carried out, and end their connections."""

from __future__ import annotations

import functools
import http
import http.client

from gevent import socket as gevent_socket

from rackvalve.serving import errors

# Retry-After of a request for which there is no room, in seconds.
RETRY_AFTER_S = 1


@functools.singledispatch
def choose_status(error: Exception) -> http.HTTPStatus:
    """Return the status of a request that could not be read."""
    return http.HTTPStatus.BAD_REQUEST


@choose_status.register
def _(error: errors.RequestUnreadError) -> http.HTTPStatus:
    return error.status


@choose_status.register
def _(error: http.client.HTTPException) -> http.HTTPStatus:
    # The library limits the number of fields.
    return http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


@functools.cache
def encode(status: http.HTTPStatus) -> bytes:
    """Return the whole answer of a refusal that ends its connection.

    :param status: HTTP status.
    """
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Connection: close",
        "Content-Type: application/json",
        "Content-Length: 2",
    ]
    if status is http.HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(f"Retry-After: {RETRY_AFTER_S}")
    return ("\r\n".join(lines) + "\r\n\r\n{}").encode("latin-1")


def send(sock: gevent_socket.socket) -> None:
    """Tell a client that its request is refused, if it reads that at once."""
    try:
        sock.settimeout(0.0)
        sock.send(encode(http.HTTPStatus.SERVICE_UNAVAILABLE))
    except OSError:
        # The client takes no answer, or has gone.
        pass
