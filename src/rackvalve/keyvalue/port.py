"""Port to the platform's key-value service and its list of VMs.

No other part of the product calls this service.  Values are at most one
megabyte; revisions are assigned by the platform and strictly increase with
each accepted write.
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

    :param revision: Revision of the write.
    """

    revision: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Conflict:
    """Another write came first; nothing was written.

    :param revision: The current revision.
    """

    revision: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Failed:
    """The call failed or its answer is unusable.

    :param reason: Description of the failure.
    :param applied: Whether a write may still have taken effect.
    """

    reason: str
    applied: bool


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unchanged:
    """A watch ended without a newer value."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Held:
    """The current holder of a lease.

    :param holder: Name of the holder.
    """

    holder: str


class Platform(Protocol):
    """Operations of the platform that the product uses."""

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
        :param expected: Expected revision of the key; 0 if it must not exist.
        """

    def watch(
        self, key: str, after: int, wait: float
    ) -> Value | Unchanged | Failed:
        """Wait for a value newer than a revision.

        :param key: Name of the value.
        :param after: The known revision.
        :param wait: Maximum wait, in seconds.
        """

    def take_lease(
        self, name: str, holder: str, duration: float
    ) -> Held | Failed:
        """Acquire or renew a lease unless another process holds it.

        :param name: Name of the lease.
        :param holder: Name of the process that requests it.
        :param duration: Duration of the lease, in seconds.
        :return: The holder after the call.
        """

    def list_vms(self) -> list[str] | Failed:
        """List live and leaving VMs; the list may lag behind."""
