"""Packing of stored values: large documents are compressed.

At the size to design for, the configuration is 54 KB and changes every 15
seconds; compressed, reading it stays within a daemon's bytes a second.
A document is JSON and starts with a brace, a packed value never does.
"""

from __future__ import annotations

import zlib

from rackvalve import errors

PACKED_FROM = 2048
UNPACKED_MAX = 8 * 1024 * 1024


def pack(payload: bytes) -> bytes:
    """Return a document as it is stored.

    :param payload: The document, JSON.
    """
    if len(payload) < PACKED_FROM:
        return payload
    return zlib.compress(payload)


def unpack(value: bytes) -> bytes:
    """Return a stored value's document.

    :param value: The value.
    :raises DocumentInvalidError: It is neither JSON nor packed, or grows
        beyond all sense.
    """
    if not value or value[:1] in (b"{", b"["):
        return value
    unpacker = zlib.decompressobj()
    try:
        payload = unpacker.decompress(value, UNPACKED_MAX)
    except zlib.error as error:
        raise errors.DocumentInvalidError(f"value: {error}") from error
    if not unpacker.eof:
        raise errors.DocumentInvalidError("value: truncated or too large")
    return payload
