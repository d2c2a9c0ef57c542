"""When a worker's life began, as the worker tells it."""

from __future__ import annotations

import msgspec

# No worker lives on that was born later, in milliseconds since 1970: the year
# 5138.
BIRTH_MOST_MS = 100_000_000_000_000
# The field where it is missing.
MISSING = msgspec.Raw(b"null")


def read_birth(wire: msgspec.Raw) -> int | None:
    """Decode the birth that a worker tells.

    :param wire: The field, or :data:`MISSING`.
    :return: Milliseconds since 1970; ``None`` for what is no birth.
    """
    try:
        born = msgspec.json.decode(wire, type=int)
    except msgspec.DecodeError:
        return None
    return born if 0 < born < BIRTH_MOST_MS else None
