"""Health checks of ejected targets before they are used again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import geventhttpclient
from geventhttpclient import response as http_response

from rackvalve.entry import messages

if TYPE_CHECKING:
    from collections.abc import Callable

PROBE_PATH = "/-/health"
PROBE_TIMEOUT_S = 1.0
STATUS_OK = 200


def start_probe(
    pool: str, vm: str, host: str, port: int, post: Callable[..., None]
) -> None:
    """Start a health check of a target in a separate greenlet.

    :param pool: Pool of the target.
    :param vm: The target.
    :param host: Its IP number.
    :param port: Its port.
    :param post: Receives the :class:`messages.ProbeEnded`.
    """
    gevent.spawn(_probe, pool, vm, host, port, post)


def _probe(
    pool: str, vm: str, host: str, port: int, post: Callable[..., None]
) -> None:
    healthy = _check_health(host, port)
    post(messages.ProbeEnded(pool, vm, healthy))


def _check_health(host: str, port: int) -> bool:
    client = geventhttpclient.HTTPClient(
        host,
        port,
        connection_timeout=PROBE_TIMEOUT_S,
        network_timeout=PROBE_TIMEOUT_S,
    )
    try:
        response = client.get(PROBE_PATH)
        response.read()
        return bool(response.status_code == STATUS_OK)
    except (OSError, http_response.HTTPParseError):
        return False
    finally:
        client.close()
