"""Limits of a server: what a client may send, and what the process holds."""

from __future__ import annotations

import dataclasses

# Memory that one connection takes, in bytes: its greenlet and buffers, what
# the system holds unread, and a body of up to ``FREE_BODY_BYTES``.
CONNECTION_BYTES = 40 * 1024
# Length up to which a body takes no memory beyond its connection's, in bytes.
FREE_BODY_BYTES = 8 * 1024
# Length up to which a body in chunks is read while there is no memory for
# longer bodies, in bytes.
SHORT_BODY_BYTES = 2 * 1024
# Memory that each byte of a longer body takes: the body, its decoded form and
# the write that stores it.
BYTES_PER_BODY_BYTE = 3
# Shares of the VM's memory that connections and longer bodies may take.
CONNECTION_SHARE = 0.2
BODY_SHARE = 0.15
# Memory of a VM whose settings do not give it, in bytes.
DEFAULT_MEMORY = 256 * 1024**2
# Share of the VM's descriptors that connections of callers may take; the
# others are for the store, workers, peers, health checks and files.
DESCRIPTOR_SHARE = 0.4


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Limits:
    """What one client may send, and how slowly.

    :param header_bytes: Longest header, and longest trailer, in bytes.
    :param header_timeout: Longest time from the first byte of a header to its
        last, in seconds.
    :param idle_timeout: Longest time in which a client neither sends nor takes
        a byte, in seconds.
    """

    header_bytes: int = 16384
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


DEFAULT_LIMITS = Limits()


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Capacity:
    """What all clients of a server may make its process hold.

    :param connections: Open connections.
    :param body_bytes: Memory for bodies longer than ``FREE_BODY_BYTES``, in
        bytes.
    """

    connections: int
    body_bytes: int


# A load balancer needs one connection, and a few callers share the metrics,
# each of whose answers is long.
READY_CAPACITY = Capacity(connections=64, body_bytes=0)
METRICS_CAPACITY = Capacity(connections=8, body_bytes=0)


def share_capacity(memory: int, descriptors: int) -> Capacity:
    """Return the capacity for callers on a VM.

    :param memory: Memory of the VM, in bytes.
    :param descriptors: Descriptors that the process may open.
    """
    by_memory = int(memory * CONNECTION_SHARE) // CONNECTION_BYTES
    by_descriptors = int(descriptors * DESCRIPTOR_SHARE)
    return Capacity(
        connections=max(1, min(by_memory, by_descriptors)),
        body_bytes=int(memory * BODY_SHARE),
    )


def weigh_body(length: int) -> int:
    """Return the memory that a body takes beyond its connection's, in bytes.

    :param length: Length of the body, in bytes.
    """
    if length <= FREE_BODY_BYTES:
        return 0
    return length * BYTES_PER_BODY_BYTE
