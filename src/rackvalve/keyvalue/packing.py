"""Compression of large stored values.

At the design size, the configuration is 54 KB and changes every 15 seconds;
compression keeps the reads within a daemon's limit of bytes per second.
A document is JSON and starts with a brace or bracket; a compressed value
never does.
"""

from __future__ import annotations

import zlib

from rackvalve import errors

COMPRESS_MIN_BYTES = 2048
DECOMPRESSED_MAX_BYTES = 8 * 1024 * 1024


def pack(payload: bytes) -> bytes:
    """Encode a document for storage.

    :param payload: The document, JSON.
    """
    if len(payload) < COMPRESS_MIN_BYTES:
        return payload
    return zlib.compress(payload)


def unpack(value: bytes) -> bytes:
    """Decode the document of a stored value.

    :param value: The value.
    :raises DocumentInvalidError: The value is neither JSON nor compressed, is
        truncated, or exceeds the maximum size when decompressed.
    """
    if not value or value[:1] in (b"{", b"["):
        return value
    decompressor = zlib.decompressobj()
    try:
        payload = decompressor.decompress(value, DECOMPRESSED_MAX_BYTES)
    except zlib.error as error:
        raise errors.DocumentInvalidError(f"value: {error}") from error
    if not decompressor.eof:
        raise errors.DocumentInvalidError("value: truncated or too large")
    return payload
