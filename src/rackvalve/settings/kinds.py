"""Kinds of setting values: parsing, units and ranges."""

from __future__ import annotations

import dataclasses
import functools
import re

UNIT_SECONDS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0}
UNIT_BYTES = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
PORT_MAX = 65535

_QUANTITY = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)")
_PORTS = re.compile(r"([0-9]{1,5})\s*,\s*([0-9]{1,5})")
_ADDRESS = re.compile(r"([0-9.]+):([0-9]{1,5})")


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Address:
    """An IP number and a port.

    :param host: The IP number, as text.
    :param port: The port, 1 to 65535.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class PortRange:
    """Consecutive ports.

    :param first: The first port, 1 to 65535; 0 if there are none.
    :param last: The last port, not below the first.
    """

    first: int
    last: int

    def __bool__(self) -> bool:
        return self.first > 0

    def __str__(self) -> str:
        return f"{self.first},{self.last}"


NO_PORTS = PortRange(first=0, last=0)

Value = (
    str
    | int
    | float
    | tuple[Address, ...]
    | tuple[str, ...]
    | Address
    | PortRange
    | None
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Malformed:
    """A text that is not a valid value of its kind.

    :param hint: How to correct the value.
    """

    hint: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Text:
    """A word without whitespace."""

    unit: str = "word"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Choice:
    """One of several words.

    :param words: The allowed words.
    """

    words: tuple[str, ...]
    unit: str = "word"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Duration:
    """A duration, converted to seconds.

    :param least: Minimum value, in seconds.
    :param most: Maximum value, in seconds.
    """

    least: float
    most: float
    unit: str = "time (us, ms, s, min, h)"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Size:
    """An amount of memory, converted to bytes.

    :param least: Minimum value, in bytes.
    :param most: Maximum value, in bytes.
    """

    least: int
    most: int
    unit: str = "size (B, KiB, MiB, GiB)"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Count:
    """An integer.

    :param least: Minimum value.
    :param most: Maximum value.
    """

    least: int
    most: int
    unit: str = "whole number"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Ratio:
    """A number from 0 to 1."""

    unit: str = "number from 0 to 1"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Number:
    """A floating-point number.

    :param least: Minimum value.
    :param most: Maximum value.
    """

    least: float
    most: float
    unit: str = "number"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Endpoint:
    """One address, ``IP:PORT``."""

    unit: str = "IP:PORT"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Endpoints:
    """Addresses separated by commas; may be empty."""

    unit: str = "IP:PORT, IP:PORT, ..."


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Words:
    """Words separated by commas; may be empty."""

    unit: str = "word, word, ..."


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Ports:
    """A range of ports, ``FIRST,LAST``; may be empty."""

    unit: str = "FIRST,LAST"


Kind = (
    Text
    | Choice
    | Words
    | Ports
    | Duration
    | Size
    | Count
    | Ratio
    | Number
    | Endpoint
    | Endpoints
)


@functools.singledispatch
def read_value(kind: object, text: str) -> Value | Malformed:
    """Parse a text as a value of a kind.

    :param kind: The kind of the value.
    :param text: The text in the settings file.
    :return: The value in the kind's base unit, or how to correct the text.
    """
    raise TypeError(f"no reader for {kind!r}")


@read_value.register
def _(kind: Text, text: str) -> Value | Malformed:
    if not text or len(text.split()) != 1:
        return Malformed(hint="write one word without spaces")
    return text


@read_value.register
def _(kind: Choice, text: str) -> Value | Malformed:
    if text not in kind.words:
        return Malformed(hint="write one of " + ", ".join(kind.words))
    return text


@read_value.register
def _(kind: Words, text: str) -> Value | Malformed:
    words = tuple(word.strip() for word in text.split(",")) if text else ()
    if any(len(word.split()) != 1 for word in words):
        return Malformed(hint="write words with a comma between them")
    return words


@read_value.register
def _(kind: Ports, text: str) -> Value | Malformed:
    if not text:
        return NO_PORTS
    found = _PORTS.fullmatch(text)
    if found is None:
        return Malformed(hint="write the first and the last port, FIRST,LAST")
    first, last = int(found[1]), int(found[2])
    if not 0 < first <= last <= PORT_MAX:
        return Malformed(
            hint=f"write two ports from 1 to {PORT_MAX}, the lower one first"
        )
    return PortRange(first=first, last=last)


def _read_quantity(
    text: str, units: dict[str, float] | dict[str, int]
) -> float | Malformed:
    names = ", ".join(units)
    match = _QUANTITY.fullmatch(text)
    if match is None:
        return Malformed(hint=f"write a number and a unit of {names}")
    if match[2] not in units:
        return Malformed(hint=f"unit {match[2]!r} is not one of {names}")
    return float(match[1]) * units[match[2]]


@read_value.register
def _(kind: Duration, text: str) -> Value | Malformed:
    seconds = _read_quantity(text, UNIT_SECONDS)
    if isinstance(seconds, Malformed):
        return seconds
    if not kind.least <= seconds <= kind.most:
        return Malformed(
            hint=f"write a time from {kind.least:g}s to {kind.most:g}s"
        )
    return seconds


@read_value.register
def _(kind: Size, text: str) -> Value | Malformed:
    size = _read_quantity(text, UNIT_BYTES)
    if isinstance(size, Malformed):
        return size
    if not kind.least <= size <= kind.most:
        return Malformed(
            hint=f"write a size from {kind.least}B to {kind.most}B"
        )
    return int(size)


@read_value.register
def _(kind: Count, text: str) -> Value | Malformed:
    if not text.isascii() or not text.isdigit():
        return Malformed(hint="write a whole number without a unit")
    # Checked before int(), which is slow on very long digit strings.
    number = int(text) if len(text) <= 18 else kind.most + 1
    if not kind.least <= number <= kind.most:
        return Malformed(
            hint=f"write a number from {kind.least} to {kind.most}"
        )
    return number


@read_value.register
def _(kind: Ratio, text: str) -> Value | Malformed:
    try:
        ratio = float(text)
    except ValueError:
        return Malformed(hint="write a number from 0 to 1")
    if not 0.0 <= ratio <= 1.0:
        return Malformed(hint="write a number from 0 to 1")
    return ratio


@read_value.register
def _(kind: Number, text: str) -> Value | Malformed:
    hint = f"write a number from {kind.least:g} to {kind.most:g}"
    try:
        number = float(text)
    except ValueError:
        return Malformed(hint=hint)
    if not kind.least <= number <= kind.most:
        return Malformed(hint=hint)
    return number


@read_value.register
def _(kind: Endpoint, text: str) -> Value | Malformed:
    match = _ADDRESS.fullmatch(text)
    if match is None:
        return Malformed(hint="write IP:PORT, such as 127.0.0.1:8080")
    port = int(match[2])
    if not 1 <= port <= PORT_MAX:
        return Malformed(hint=f"write a port from 1 to {PORT_MAX}")
    return Address(match[1], port)


@read_value.register
def _(kind: Endpoints, text: str) -> Value | Malformed:
    addresses = []
    for part in filter(None, (part.strip() for part in text.split(","))):
        address = read_value(Endpoint(), part)
        if not isinstance(address, Address):
            return Malformed(hint=f"{part!r}: write IP:PORT, IP:PORT")
        addresses.append(address)
    return tuple(addresses)
