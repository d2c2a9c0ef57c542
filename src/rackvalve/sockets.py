"""Looking at a socket without reading from it."""

from __future__ import annotations

import enum
import socket

from gevent import socket as gevent_socket


class Peek(enum.Enum):
    """What is to be read on a socket at this moment."""

    QUIET = "quiet"
    DATA = "data"
    ENDED = "ended"


def peek(sock: gevent_socket.socket) -> Peek:
    """Return what is to be read on a socket, without waiting.

    :param sock: The socket.
    """
    timeout = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        data = sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return Peek.QUIET
    except OSError:
        return Peek.ENDED
    finally:
        sock.settimeout(timeout)
    return Peek.DATA if data else Peek.ENDED
