"""gRPC servers and channels with common options for all programs."""

from __future__ import annotations

from concurrent import futures
import typing

import grpc
from grpc.experimental import gevent as grpc_gevent  # type: ignore

MESSAGE_LIMIT = 4 * 1024 * 1024
WORKER_THREADS = 64
CONNECT_BACKOFF_MAX_MS = 1000
KEEPALIVE_MS = 5000

_SERVER_OPTIONS = (
    # Only one process may bind the address: a failed bind proves that an
    # earlier process is still running.
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MESSAGE_LIMIT),
    ("grpc.max_send_message_length", MESSAGE_LIMIT),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MS // 2),
)

_CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MESSAGE_LIMIT),
    ("grpc.max_send_message_length", MESSAGE_LIMIT),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", CONNECT_BACKOFF_MAX_MS),
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
)


def set_up() -> None:
    """Integrate gRPC with gevent; call once, before any other use."""
    grpc_gevent.init_gevent()


def make_server(
    executor: futures.Executor | None = None, *, limit: int | None = None
) -> grpc.Server:
    """Create a server without services and address.

    :param executor: Runs the calls; ``None`` for a thread pool, which
        requires cooperative threads (:func:`set_up`).
    :param limit: Most concurrent calls; further ones are rejected by gRPC.
        ``None`` for no limit.
    """
    # gRPC only uses the submit method, hence any executor is suitable.
    chosen = typing.cast(
        futures.ThreadPoolExecutor,
        executor or futures.ThreadPoolExecutor(max_workers=WORKER_THREADS),
    )
    return grpc.server(
        chosen,
        options=_SERVER_OPTIONS,
        maximum_concurrent_rpcs=limit,
        compression=grpc.Compression.Gzip,
    )


def listen(server: grpc.Server, address: str) -> bool:
    """Bind a server to an address.

    :param server: The server.
    :param address: ``IP:PORT``.
    :return: Whether the address was free.
    """
    try:
        return bool(server.add_insecure_port(address))
    except RuntimeError:
        return False


def make_channel(address: str) -> grpc.Channel:
    """Create a channel to another process.

    :param address: ``IP:PORT``.
    """
    return grpc.insecure_channel(address, options=_CHANNEL_OPTIONS)
