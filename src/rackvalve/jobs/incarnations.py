"""Incarnations of workers: a worker's name with the time of its start.

A worker that has crashed may start again under its name, without any state.
Its numbers, clock and tickets then begin anew.  So the owner keeps all that
it knows of a worker by the identity of one incarnation, and a later one
cannot inherit a number, a clock, a ticket or a suspicion.
"""

from __future__ import annotations

import dataclasses
import functools

# Stands between a worker's name and the time of its start.
SEPARATOR = "@"
# A number with more digits is no start time in milliseconds since 1970.
_MAX_DIGITS = 15


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Incarnation:
    """One incarnation of a worker.

    :param worker: The worker's name, which its next incarnation may share.
    :param born: When it started, in milliseconds since 1970; ``None`` if not
        known.
    """

    worker: str
    born: int | None

    @property
    def identity(self) -> str:
        """A text that is unique to the incarnation, for records and logs."""
        if self.born is not None:
            return f"{self.worker}{SEPARATOR}{self.born}"
        if SEPARATOR in self.worker:
            return f"{self.worker}{SEPARATOR}0"
        return self.worker


@functools.lru_cache(maxsize=4096)
def parse_incarnation(identity: str) -> Incarnation:
    """Parse the identity of an incarnation.

    :param identity: The identity.
    """
    worker, separator, digits = identity.rpartition(SEPARATOR)
    is_birth = digits.isascii() and digits.isdigit()
    if not separator or not is_birth or len(digits) > _MAX_DIGITS:
        return Incarnation(worker=identity, born=None)
    return Incarnation(worker=worker, born=int(digits) or None)
