"""Loopback links that delay, reset, drop one way, or silence connections."""

from __future__ import annotations

import enum
import socket
import struct

import gevent
from gevent import server as gevent_server
from gevent import socket as gevent_socket

HOST = "127.0.0.1"
BLOCK = 65536
DELAY_S = 0.15
POLL_INTERVAL_S = 0.02


class LinkFault(enum.Enum):
    """The fault of a link."""

    NONE = "none"
    DELAYED = "delayed"
    # Nothing passes, in either direction; connections stay open.
    SILENT = "silent"
    # Requests arrive, answers do not.
    ONE_WAY = "one way"
    # Open and new connections are reset.
    RESET = "reset"


class Link:
    """Forwards connections from a port of its own to another port.

    Delayed bytes are delivered when the fault ends, as over a network that was
    partitioned.

    :param target: Port on loopback to forward to.
    :param source: Loopback address from which the target is called; the
        target tells links apart by it.
    """

    def __init__(self, target, source=HOST):
        self.target = target
        self.source = source
        self.fault = LinkFault.NONE
        self._pairs = set()
        self._server = gevent_server.StreamServer((HOST, 0), self._serve)
        self._server.start()
        self.port = self._server.server_port

    def set_fault(self, fault):
        """Apply a fault to all connections; ``LinkFault.NONE`` ends it."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for pair in list(self._pairs):
                for sock in pair:
                    _reset(sock)

    def close(self):
        """Stop forwarding and close all connections."""
        self._server.stop(timeout=0)
        for pair in list(self._pairs):
            for sock in pair:
                sock.close()

    def _serve(self, caller, address):
        if self.fault is LinkFault.RESET:
            _reset(caller)
            return
        try:
            callee = gevent_socket.create_connection(
                (HOST, self.target), source_address=(self.source, 0)
            )
        except OSError:
            _reset(caller)
            return
        pair = (caller, callee)
        self._pairs.add(pair)
        for sock in pair:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        answers = gevent.spawn(self._pump, callee, caller, True)
        self._pump(caller, callee, False)
        answers.join()
        self._pairs.discard(pair)
        for sock in pair:
            sock.close()

    def _pump(self, source, sink, answers):
        try:
            while block := source.recv(BLOCK):
                self._wait_until_open(answers)
                sink.sendall(block)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One end has closed, which ends the connection.
            for sock in (source, sink):
                _reset(sock)

    def _wait_until_open(self, answers):
        if self.fault is LinkFault.DELAYED:
            gevent.sleep(DELAY_S)
        while self.fault is LinkFault.SILENT or (
            self.fault is LinkFault.ONE_WAY and answers
        ):
            gevent.sleep(POLL_INTERVAL_S)


def _reset(sock):
    """Close a connection so that its peer sees a reset."""
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        # Wakes a blocked reader, which a close alone does not.
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
