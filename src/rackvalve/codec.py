"""JSON coding of typed values, with one error for all that is malformed."""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec

from rackvalve import errors

T = TypeVar("T")
# Whole numbers of documents are of 64 bits, as a store's revisions and leases.
MAX_INTEGER = 2**63 - 1
# Greater ones may have no float, so that the first division would fail.
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
# Errors of the decoder, which leaves some of its own limits to the
# interpreter.
_MALFORMED = (
    msgspec.DecodeError,
    ValueError,
    OverflowError,
    RecursionError,
)


def decode(decoder: msgspec.json.Decoder[T], payload: bytes) -> T:
    """Decode a payload.

    :param decoder: Decoder of the type wanted.
    :param payload: JSON.
    :return: The value.
    :raises DocumentInvalidError: The payload is no JSON of that shape.
    """
    try:
        return decoder.decode(payload)
    except _MALFORMED as error:
        raise errors.DocumentInvalidError(str(error)) from error


def decode_as(payload: bytes | str | msgspec.Raw, kind: type[T]) -> T:
    """Decode a payload that arrives from outside this process.

    :param payload: JSON.
    :param kind: The type wanted.
    :return: The value.
    :raises DocumentInvalidError: The payload is no JSON of that shape.
    """
    try:
        return msgspec.json.decode(payload, type=kind)
    except _MALFORMED as error:
        raise errors.DocumentInvalidError(str(error)) from error


def encode(value: Any) -> bytes:
    """Encode a value as JSON.

    :param value: A typed value.
    """
    return msgspec.json.encode(value)
