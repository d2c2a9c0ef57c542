"""The port to the platform's key-value service and VM list.

Nothing else of the product speaks to the platform.  Values are bytes up to
a megabyte; revisions are the platform's and rise strictly with each
accepted write.
"""

from __future__ import annotations

import dataclasses
from typing import Protocol


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Value:
    """A stored value.

    :param payload: The value.
    :param revision: Revision of the write that stored it; 0 for a key
        that was never written, whose payload is empty.
    """

    payload: bytes
    revision: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Written:
    """The write was accepted.

    :param revision: Revision that it got.
    """

    revision: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Conflict:
    """Another write came first; nothing was written.

    :param revision: The present revision.
    """

    revision: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Failed:
    """The call has no usable answer.

    :param reason: What happened.
    :param applied: Whether a write may have taken effect all the same.
    """

    reason: str
    applied: bool


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unchanged:
    """A watch ended without a newer value."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Held:
    """Who holds a lease.

    :param holder: The holder's name.
    """

    holder: str


class Platform(Protocol):
    """What the product needs of the platform."""

    def read(self, key: str) -> Value | Failed:
        """Read a value.

        :param key: Name of the value.
        """

    def write(
        self, key: str, payload: bytes, expected: int
    ) -> Written | Conflict | Failed:
        """Write a value if its revision is as expected.

        :param key: Name of the value.
        :param payload: The new value.
        :param expected: Revision that the key must have; 0 for none.
        """

    def watch(
        self, key: str, after: int, wait: float
    ) -> Value | Unchanged | Failed:
        """Wait for a value newer than a revision.

        :param key: Name of the value.
        :param after: The revision known.
        :param wait: Longest wait, in seconds.
        """

    def take_lease(
        self, name: str, holder: str, duration: float
    ) -> Held | Failed:
        """Take or renew a lease unless another holds it.

        :param name: Name of the lease.
        :param holder: Who wants it.
        :param duration: Length of the lease, in seconds.
        :return: Who holds it now.
        """

    def list_vms(self) -> list[str] | Failed:
        """List the identities of live and leaving VMs, with a lag."""
