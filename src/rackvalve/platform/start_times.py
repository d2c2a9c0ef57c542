"""Decodes the start time of a worker's incarnation from its messages."""

from __future__ import annotations

import msgspec

from rackvalve import codec
from rackvalve import errors

# Start times from here on are invalid, in milliseconds since 1970: the year
# 5138.
MAX_START_TIME_MS = 100_000_000_000_000
# Value of a field that is absent.
ABSENT = msgspec.Raw(b"null")


def parse_start_time(wire: msgspec.Raw) -> int | None:
    """Decode the start time that a worker reports.

    :param wire: The field, or :data:`ABSENT`.
    :return: Milliseconds since 1970; ``None`` for an absent or invalid value.
    """
    try:
        born = codec.decode_as(wire, int)
    except errors.DocumentInvalidError:
        return None
    return born if 0 < born < MAX_START_TIME_MS else None
