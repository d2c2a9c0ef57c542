"""Operators, their roles, and their tokens.

A token is a random word that the operator keeps; the configuration holds
its SHA-256, so that a new token is in force as soon as the configuration
is, without a restart.  Tokens are long and random, hence a plain hash.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rackvalve.configuration import document


class Role(enum.Enum):
    """What an operator may do; each role includes those before it."""

    READ = "read"
    OPERATE = "operate"
    ADMINISTER = "administer"


_RANKS = {role: rank for rank, role in enumerate(Role)}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Denied:
    """A token does not allow what was asked.

    :param known: Whether the token is an operator's and is not expired.
    """

    known: bool


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Allowed:
    """A token allows what was asked.

    :param operator: Name of the operator; empty while none is defined.
    """

    operator: str


def hash_token(token: str) -> str:
    """Return what the configuration holds of a token.

    :param token: The token.
    """
    return hashlib.sha256(token.encode("utf-8", "replace")).hexdigest()


def check_token(
    known: Mapping[str, document.Operator],
    token: str,
    needed: Role,
    now: float,
) -> Allowed | Denied:
    """Return whether a token allows what a role may do.

    Every operator is compared, in constant time each, so that the time
    taken tells nothing of how near a guess was.

    :param known: The operators; while there are none, all is allowed.
    :param token: The token that was given, empty for none.
    :param needed: The role needed.
    :param now: Present time, in seconds since 1970.
    """
    if not known:
        return Allowed(operator="")
    given = hash_token(token)
    found = ""
    for name, operator in known.items():
        if hmac.compare_digest(given, operator.token_hash):
            found = name
    if not found:
        return Denied(known=False)
    operator = known[found]
    if operator.expires is not None and now >= operator.expires:
        return Denied(known=False)
    if _RANKS[Role(operator.role)] < _RANKS[needed]:
        return Denied(known=True)
    return Allowed(operator=found)
