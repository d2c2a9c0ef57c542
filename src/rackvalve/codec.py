"""JSON coding of typed values, with one error for all that is malformed."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

import msgspec

from rackvalve import errors

T = TypeVar("T")


def decode(decoder: msgspec.json.Decoder[T], payload: bytes) -> T:
    """Decode a payload.

    :param decoder: Decoder of the type wanted.
    :param payload: JSON.
    :return: The value.
    :raises DocumentInvalidError: The payload is no JSON of that shape.
    """
    try:
        return decoder.decode(payload)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise errors.DocumentInvalidError(str(error)) from error


def encode(value: Any) -> bytes:
    """Encode a value as JSON.

    :param value: A typed value.
    """
    return msgspec.json.encode(value)
