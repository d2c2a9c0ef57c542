"""Registry of the managers that run, kept by each of them from the store.

Each manager registers under the election's prefix, which all of them watch
anyway, so that membership needs no watch of its own.  A registration ends with
its lease.  An outage of the store lets all leases expire although the managers
are well, so a manager whose registration has ended still counts as recently
known for a while.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

import msgspec

from rackvalve import codec
from rackvalve import errors
from rackvalve import logs
from rackvalve.platform import store as stores

PREFIX = "owner/member/"
# How long a manager counts as recently known after its registration ended, in
# seconds: its lease has expired before, and after an outage it registers again
# within a second.
RECENT_S = 3.0


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """Registration of a manager, as stored.

    Fields that another release adds are ignored.

    :param process: Unique name of the process; begins with its VM.
    :param vm: Identity of the VM.
    :param hall: Data hall of the VM.
    :param cores: Processor of the VM, in cores of the usual speed.
    :param address: ``IP:PORT`` at which it accepts relayed requests; empty if
        it accepts none.
    """

    process: str
    vm: str
    hall: str
    cores: float
    address: str = ""

    def encode(self) -> bytes:
        """Return the value to be stored."""
        return msgspec.json.encode(self)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Registered:
    """A registration and its revision in the store."""

    member: Member
    revision: int


def make_key(process: str) -> str:
    """Return the key of a manager's registration.

    :param process: Unique name of the process.
    """
    return PREFIX + process


class Membership:
    """The managers that are registered, as one of them knows it."""

    __slots__ = ("_registered", "_ended", "_unreadable")

    def __init__(self) -> None:
        self._registered: dict[str, _Registered] = {}
        # Members whose registration has ended, and when that was seen, in
        # seconds.
        self._ended: dict[str, tuple[Member, float]] = {}
        # Revisions of registrations that were logged as unreadable, by key.
        self._unreadable: dict[str, int] = {}

    def apply_range(self, items: Iterable[stores.Item], now: float) -> None:
        """Replace all registrations.

        :param items: All items under the election's prefix; others than
            registrations are ignored.
        :param now: Present time, in seconds.
        """
        found = {item.key for item in items if item.key.startswith(PREFIX)}
        for key in self._registered.keys() - found:
            self._remove(key, now)
        for key in self._unreadable.keys() - found:
            del self._unreadable[key]
        for item in items:
            self._put(item)

    def apply_changes(self, changes: stores.Changes, now: float) -> None:
        """Apply registrations that were just written or have ended.

        :param changes: The changes under the election's prefix.
        :param now: Present time, in seconds.
        """
        for item in changes.written:
            self._put(item)
        for key, revision in changes.removed:
            if self._unreadable.get(key, revision) < revision:
                del self._unreadable[key]
            known = self._registered.get(key)
            if known is not None and revision > known.revision:
                self._remove(key, now)

    def list_members(self) -> list[Member]:
        """Return the registered managers, in the order of their names."""
        found = [known.member for known in self._registered.values()]
        return sorted(found, key=lambda member: member.process)

    def list_recent(self, now: float) -> list[Member]:
        """Return the registered and the recently known managers.

        :param now: Present time, in seconds.
        :return: The managers, in the order of their names.
        """
        found = {member.process: member for member in self.list_members()}
        for member, ended in self._ended.values():
            if now - ended <= RECENT_S:
                found.setdefault(member.process, member)
        return [found[name] for name in sorted(found)]

    def _put(self, item: stores.Item) -> None:
        if not item.key.startswith(PREFIX):
            return
        known = self._registered.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        try:
            member = codec.decode_as(item.payload, Member)
        except errors.DocumentInvalidError as error:
            self._log_unreadable(item, error.reason)
            return
        if item.key != make_key(member.process):
            self._log_unreadable(
                item, f"registers {member.process!r}, not its own process"
            )
            return
        self._ended.pop(item.key, None)
        self._registered[item.key] = _Registered(
            member=member, revision=item.revision
        )

    def _remove(self, key: str, now: float) -> None:
        known = self._registered.pop(key)
        self._ended = {
            other: (member, ended)
            for other, (member, ended) in self._ended.items()
            if now - ended <= RECENT_S
        }
        self._ended[key] = (known.member, now)

    def _log_unreadable(self, item: stores.Item, reason: str) -> None:
        """Log a registration that cannot be read, once for each revision."""
        if self._unreadable.get(item.key) == item.revision:
            return
        self._unreadable[item.key] = item.revision
        logs.write_warning(
            "document.rejected",
            key=item.key,
            revision=item.revision,
            reason=reason,
        )


def rank_standbys(
    members: Iterable[Member], owner: str, count: int
) -> tuple[Member, ...]:
    """Return the managers that keep the owner's view, the first in line first.

    Managers on the largest VMs go first, since a small VM would schedule too
    slowly.  Of these, halls other than the owner's and each other's go first,
    so that no loss of one hall takes the owner and all standbys.

    :param members: The managers that run.
    :param owner: Name of the owner's process; empty if there is none.
    :param count: How many standbys there are at most.
    """
    candidates = [one for one in members if one.process != owner]
    used = {one.hall for one in members if one.process == owner}
    chosen: list[Member] = []
    while candidates and len(chosen) < count:
        best = min(
            candidates,
            key=lambda one: (-one.cores, one.hall in used, one.process),
        )
        chosen.append(best)
        candidates.remove(best)
        used.add(best.hall)
    return tuple(chosen)


def list_relay_targets(
    members: Iterable[Member], own: Member, per_hall: int
) -> tuple[Member, ...]:
    """Return the managers that take relayed requests, the nearest first.

    In each hall these are the largest VMs, so that the others need no server
    for it.  All managers compute the same targets from the same members.

    :param members: The managers that run; those without an address are left
        out.
    :param own: The manager that asks, which is left out, as is an earlier
        process of its VM at the same address.
    :param per_hall: How many managers of each hall take relayed requests.
    """
    by_hall: dict[str, list[Member]] = {}
    for member in members:
        if member.address:
            by_hall.setdefault(member.hall, []).append(member)
    found = []
    for hall in sorted(by_hall, key=lambda hall: (hall != own.hall, hall)):
        ranked = sorted(
            by_hall[hall], key=lambda one: (-one.cores, one.process)
        )
        found.extend(ranked[:per_hall])
    return tuple(
        one
        for one in found
        if one.process != own.process
        and (one.vm, one.address) != (own.vm, own.address)
    )
