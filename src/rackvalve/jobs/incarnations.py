"""Who a worker is now: its name, and the life that it lives.

A worker that has crashed may start again under its name.  It then knows
nothing of before, and all that is numbered, timed or promised begins anew.  So
whatever is known of a worker is known of one life, and everything that is kept
by a worker's identity is kept by the identity of that life: a later one cannot
inherit a number, a clock, a ticket or a suspicion.
"""

from __future__ import annotations

import dataclasses

# Between a worker's name and its birth.
SEPARATOR = "@"
# More digits are no birth, in milliseconds since 1970.
_DIGITS_MOST = 15


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Incarnation:
    """One life of a worker.

    :param worker: The worker's name, which its next life may have, too.
    :param born: When it began, in milliseconds since 1970; ``None`` if that
        is not known.
    """

    worker: str
    born: int | None

    @property
    def identity(self) -> str:
        """A text that no other life has, as it stands in records and logs."""
        if self.born is not None:
            return f"{self.worker}{SEPARATOR}{self.born}"
        if SEPARATOR in self.worker:
            return f"{self.worker}{SEPARATOR}0"
        return self.worker


def parse_incarnation(identity: str) -> Incarnation:
    """Take an identity apart.

    :param identity: The identity of a life.
    """
    worker, separator, digits = identity.rpartition(SEPARATOR)
    is_birth = digits.isascii() and digits.isdigit()
    if not separator or not is_birth or len(digits) > _DIGITS_MOST:
        return Incarnation(worker=identity, born=None)
    return Incarnation(worker=worker, born=int(digits) or None)
