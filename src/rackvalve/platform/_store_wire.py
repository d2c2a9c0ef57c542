"""Wire formats of the store's calls and answers, used by the store's client.

Fields without a default are required, so that an answer to another kind of
call does not decode.  Taken for an empty range or an early revision, it would
remove jobs and workers from the manager's state.
"""

from __future__ import annotations

import base64
import urllib.parse

import msgspec

from rackvalve import codec

_CALL_NAMES = (
    ("/kv-key", "read"),
    ("/kv-range", "range"),
    ("/kv-lease-end", "end lease"),
    ("/kv-lease", "open lease"),
    ("/kv-keep", "renew lease"),
)


class WireItem(msgspec.Struct):
    key: str
    rev: codec.Integer
    # In base64 on the wire.
    value: bytes = b""
    made: codec.Integer = 0
    gone: bool = False


class WirePage(msgspec.Struct):
    items: list[WireItem]
    at: codec.Integer
    more: bool = False


class WireEvents(msgspec.Struct):
    events: list[WireItem]
    at: codec.Integer


class WireCommitted(msgspec.Struct):
    rev: codec.Integer


class WireConflict(msgspec.Struct):
    items: list[WireItem]


class WireLease(msgspec.Struct):
    lease: codec.Integer
    ttl_ms: codec.Integer


def encode_commit(
    conditions: list[tuple[str, int]],
    puts: list[tuple[str, bytes, int]],
    removals: list[str],
) -> bytes:
    """Return the body of a commit.

    :param conditions: Keys and their expected revisions.
    :param puts: Keys, values to write and their leases.
    :param removals: Keys to remove.
    """
    return msgspec.json.encode(
        {
            "expected-rev": [
                {"key": key, "rev": revision} for key, revision in conditions
            ],
            "put": [_encode_put(*put) for put in puts],
            "remove": removals,
        }
    )


def _encode_put(key: str, payload: bytes, lease: int) -> dict[str, str | int]:
    """Return a value to write as it is sent.

    :param key: The key.
    :param payload: The value.
    :param lease: Lease with whose end the key is removed; 0 for none.
    """
    wire: dict[str, str | int] = {
        "key": key,
        "value": base64.b64encode(payload).decode("ascii"),
    }
    if lease:
        wire["lease"] = lease
    return wire


def make_watch_path(prefix: str, after: int, wait: float) -> str:
    """Return the path of a watch.

    :param prefix: The prefix.
    :param after: Store revision after which changes are returned.
    :param wait: Longest wait for a change, in seconds.
    """
    return (
        f"/kv-watch?path-prefix={quote(prefix)}&after-rev={after}"
        f"&wait-ms={int(wait * 1000)}"
    )


def quote(text: str) -> str:
    """Return a key or prefix as it appears in a path.

    :param text: The key or prefix.
    """
    return urllib.parse.quote(text, safe="/")


def name_call(path: str) -> str:
    """Return the name of a call, for metrics.

    :param path: Path of the call.
    """
    for prefix, name in _CALL_NAMES:
        if path.startswith(prefix):
            return name
    return "other"
