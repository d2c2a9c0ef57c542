"""One connection of a misbehaving client."""

from __future__ import annotations

import collections
import random
import socket

import gevent
from gevent import socket as gevent_socket

HOST = "127.0.0.1"
CONNECT_TIMEOUT_S = 5.0
# Largest block read at once, in bytes.
READ_BLOCK = 65536
# Pause before a client whose connection was closed connects again, in seconds.
RECONNECT_PAUSE_S = 0.2


class ClosedError(Exception):
    """The server has closed the connection."""


class Session:
    """A client that plays one kind, on one connection after the other.

    :param port: Port of the server.
    :param path: Path that its requests name; ``{}`` stands for a new
        identifier of a job.
    :param seed: Seed of its choices.
    :param counts: Counts of what happened, shared by all sessions.
    """

    def __init__(self, port, path, seed, counts):
        self.port = port
        self.random = random.Random(seed)
        self.counts = counts
        self._path = path
        self._sock = None

    def run(self, play):
        """Play forever; each closed connection is replaced.

        :param play: Function that plays on the open connection.
        """
        while True:
            try:
                self._open()
                play(self)
            except (OSError, ClosedError) as error:
                self.counts[f"closed: {type(error).__name__}"] += 1
            finally:
                self._close()
            gevent.sleep(RECONNECT_PAUSE_S)

    def make_path(self):
        """Return the path of the next request."""
        return self._path.format(f"{self.random.getrandbits(64):016x}")

    def make_head(self, method="POST", fields=()):
        """Return the request line and the header fields, as bytes.

        :param method: HTTP method.
        :param fields: Lines of further header fields.
        """
        lines = [
            f"{method} {self.make_path()} HTTP/1.1",
            "Host: jobs.example",
            *fields,
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def send(self, data):
        """Send bytes, waiting as long as the server takes none."""
        self._sock.sendall(data)
        self.counts["sent bytes"] += len(data)

    def send_slowly(self, data, *, size, pause):
        """Send bytes in pieces.

        :param data: The bytes.
        :param size: Length of a piece, in bytes.
        :param pause: Pause after each piece, in seconds.
        """
        for start in range(0, len(data), size):
            self.send(data[start : start + size])
            gevent.sleep(pause)

    def read_answer(self):
        """Read what has arrived of an answer, waiting for its first bytes."""
        data = self._sock.recv(READ_BLOCK)
        if not data:
            raise ClosedError
        for line in data.split(b"\r\n"):
            if line.startswith(b"HTTP/1.1 "):
                self.counts[f"status {line[9:12].decode()}"] += 1

    def hold(self):
        """Send nothing further until the server closes the connection."""
        while True:
            self.read_answer()

    def shrink_receive_buffer(self):
        """Take as few bytes at once as the system allows."""
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)

    def read_slowly(self, *, pause):
        """Read an answer byte by byte, forever.

        :param pause: Pause after each byte, in seconds.
        """
        while self._sock.recv(1):
            gevent.sleep(pause)
        raise ClosedError

    def _open(self):
        sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect((HOST, self.port))
        sock.settimeout(None)
        self.counts["opened"] += 1

    def _close(self):
        if self._sock is not None:
            self._sock.close()
            self._sock = None


def make_counts():
    """Make the counts that the sessions of one process share."""
    return collections.Counter()
