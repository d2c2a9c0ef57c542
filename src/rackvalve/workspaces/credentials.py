"""Bearer keys of callers: parsing the Authorization header, and digests.

A key is a secret that gives access to a workspace's jobs.  It is replaced by
its digest as soon as it is read, and is never kept in a configuration, a log
line, an error or a record.
"""

from __future__ import annotations

import dataclasses
import hashlib

SCHEME = "bearer"
# Longest key that is looked up, in characters; usual keys have about 20.
MAX_KEY_LENGTH = 512

Digest = bytes


@dataclasses.dataclass(slots=True, frozen=True)
class PresentedKey:
    """The caller presented a well-formed key, which may be unknown.

    :param digest: Digest of the key.
    """

    digest: Digest


@dataclasses.dataclass(slots=True, frozen=True)
class UnusableKey:
    """The caller presented no key that can be looked up.

    :param reason: Cause, without any text from the caller.
    """

    reason: str


def digest(key: str) -> Digest:
    """Return the digest under which a key is stored and looked up.

    Digests are compared instead of keys, so that the time of a look-up
    does not reveal how much of a guessed key is right.

    :param key: The key.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


def parse_header(header: str | None) -> PresentedKey | UnusableKey:
    """Parse the Authorization header that carries a key (RFC 6750).

    :param header: Value of the header; ``None`` if it is absent.
    """
    if header is None or not header.strip():
        return UnusableKey("no key was shown")
    scheme, _, key = header.strip().partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME:
        return UnusableKey("the key is not shown as a bearer key")
    if not key:
        return UnusableKey("the key is empty")
    if len(key) > MAX_KEY_LENGTH:
        return UnusableKey(
            f"the key has more than {MAX_KEY_LENGTH} characters"
        )
    if "," in key or any(char.isspace() for char in key):
        return UnusableKey("more than one key was shown")
    return PresentedKey(digest(key))
