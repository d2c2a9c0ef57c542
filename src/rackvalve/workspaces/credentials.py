"""What a caller shows for its right to call: a bearer key, as a digest.

A key is a secret that opens a workspace's jobs to whoever has it.  It is
turned into its digest where it is read, and stands nowhere else: not in a
configuration that is held, a log line, an error or a record.
"""

from __future__ import annotations

import dataclasses
import hashlib

SCHEME = "bearer"
# Longest key that is looked up, in characters; keys in use have some twenty.
MAX_KEY_LENGTH = 512

Digest = bytes


@dataclasses.dataclass(slots=True, frozen=True)
class PresentedKey:
    """A key was shown.

    :param digest: Its digest.
    """

    digest: Digest


@dataclasses.dataclass(slots=True, frozen=True)
class UnusableKey:
    """No key was shown that could be looked up.

    :param reason: Why, without the caller's own words.
    """

    reason: str


def digest(key: str) -> Digest:
    """Return the digest under which a key is kept and looked up.

    Equal digests are found by hashing, so that the time of a look-up tells
    nothing about how much of a key was guessed right.

    :param key: The key.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


def parse_header(header: str | None) -> PresentedKey | UnusableKey:
    """Read the header by which a caller shows its key (RFC 6750).

    :param header: Its value; ``None`` if there is none.
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
