"""Decodes the parts of the platform's rules that bind a deployment.

The platform names them in the settings of each process.
"""

from __future__ import annotations

from collections.abc import Collection
import dataclasses

# Operators may evacuate a hall.
EVACUATIONS = "places"
# Callers may send many times their usual load at once.
SURGES = "pressure"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Terms:
    """What a deployment must be able to bear.

    :param evacuations: Operators may evacuate halls.
    :param surges: Callers may send many times their usual load at once.
    """

    evacuations: bool
    surges: bool


def read_terms(names: Collection[str]) -> Terms:
    """Decode the parts of the rules in force.

    :param names: Their names; unknown ones are ignored, since newer releases
        of the platform add some.
    """
    return Terms(
        evacuations=EVACUATIONS in names,
        surges=SURGES in names,
    )
