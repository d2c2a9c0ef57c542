"""Authorization of operators by role and token.

The operator keeps the random token; the configuration contains its SHA-256,
so that a new token is valid as soon as the configuration is applied, without
a restart.  Tokens are long and random, hence an unsalted hash is sufficient.
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
    """Permissions of an operator; each role includes those before it."""

    READ = "read"
    OPERATE = "operate"
    ADMINISTER = "administer"


_RANKS = {role: rank for rank, role in enumerate(Role)}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Denied:
    """The token does not grant the required role.

    :param known: Whether the token belongs to an operator and has not expired.
    """

    known: bool


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Allowed:
    """The token grants the required role.

    :param operator: Name of the operator; empty while none is defined.
    """

    operator: str


def hash_token(token: str) -> str:
    """Return the hash of a token, as stored in the configuration.

    :param token: The token.
    """
    return hashlib.sha256(token.encode("utf-8", "replace")).hexdigest()


def check_token(
    known: Mapping[str, document.Operator],
    token: str,
    needed: Role,
    now: float,
) -> Allowed | Denied:
    """Check whether a token grants a role.

    The token is compared with those of all operators, each in constant time,
    so that the duration reveals nothing about how close a guess was.

    :param known: The operators; if there are none, everything is allowed.
    :param token: The token presented; empty for none.
    :param needed: The required role.
    :param now: Current time, in seconds since 1970.
    """
    if not known:
        return Allowed(operator="")
    digest = hash_token(token)
    matched = ""
    for name, operator in known.items():
        if hmac.compare_digest(digest, operator.token_hash):
            matched = name
    if not matched:
        return Denied(known=False)
    operator = known[matched]
    if operator.expires is not None and now >= operator.expires:
        return Denied(known=False)
    if _RANKS[Role(operator.role)] < _RANKS[needed]:
        return Denied(known=True)
    return Allowed(operator=matched)
