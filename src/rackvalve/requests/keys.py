"""Idempotency keys: a request that is not repeatable runs at most once.

Each key has one owner, an entry of one hall, found by rendezvous hashing.
The owner gives the right to run a key's request once and remembers it in
memory.  Keys carry the time of their creation (UUIDv7), so that an owner
refuses every key that an earlier owner, or an earlier process of its own,
may have seen: no write for each request, and no request twice.

Clocks matter here and only here: the clocks of callers and entries are
assumed to differ by ``clock_skew`` at most.  With a larger difference a key
may be refused although it was never used, or, if an owner starts within
that difference, be accepted twice.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING
import uuid

from rackvalve.fleet import shares
from rackvalve import outcomes

if TYPE_CHECKING:
    from rackvalve.fleet import record

UUID_VERSION = 7
TIMESTAMP_SHIFT = 80
OWNER_CHANGE_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Policy:
    """Bounds of a key's life.

    :param lifetime: How long a key is valid after its creation, seconds.
    :param skew: Largest difference assumed between clocks, seconds.
    """

    lifetime: float
    skew: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Granted:
    """The claimant may run the request, once."""


Claim = Granted | outcomes.Refused


class _Entry:
    """What an owner remembers of one key."""

    __slots__ = ("claimed", "claimant", "outcome", "request_id")

    def __init__(self, claimed: float, claimant: str) -> None:
        self.claimed = claimed
        self.claimant = claimant
        self.outcome = "running"
        self.request_id = ""


def read_created(key: str) -> float | None:
    """Return the time at which a key was created, in seconds.

    :param key: The key.
    :return: ``None`` if it is no UUIDv7.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION or parsed.variant != uuid.RFC_4122:
        return None
    return (parsed.int >> TIMESTAMP_SHIFT) / 1000.0


def normalize(key: str) -> str:
    """Return the one spelling of a key that all processes compare.

    :param key: A key that :func:`read_created` accepts.
    """
    return str(uuid.UUID(key))


class KeyRegistry:
    """The keys that one process of an entry owns.

    :param entry: Identity of the entry's VM.
    :param started: Time at which this process started, in seconds.
    :param policy: Bounds of a key's life.
    """

    def __init__(self, entry: str, *, started: float, policy: Policy) -> None:
        self._entry = entry
        self._started = started
        self._policy = policy
        self._entries: collections.OrderedDict[tuple[str, str], _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def claim(
        self,
        division: record.Division,
        workspace: str,
        key: str,
        claimant: str,
        now: float,
    ) -> Claim:
        """Give the right to run a key's request, at most once.

        :param division: The entries of the hall that owns the key.
        :param workspace: The workspace; keys of two workspaces differ.
        :param key: The key.
        :param claimant: Identifier of this claim, unique to it.
        :param now: Present time, in seconds.
        """
        created = read_created(key)
        if created is None:
            return _refuse(
                outcomes.Reason.FIELD_MALFORMED, "is no UUID of version 7"
            )
        fault = self._check_time(created, now)
        if fault is not None:
            return fault
        key = normalize(key)
        fault = self._check_ownership(division, workspace, key, created)
        if fault is not None:
            return fault
        self._forget_expired(now)
        known = self._entries.get((workspace, key))
        if known is not None:
            detail = f"was used before; outcome {known.outcome}"
            if known.request_id:
                detail += f", request {known.request_id}"
            return _refuse(outcomes.Reason.KEY_USED, detail)
        self._entries[workspace, key] = _Entry(now, claimant)
        return Granted()

    def settle(
        self,
        workspace: str,
        key: str,
        claimant: str,
        outcome: str,
        request_id: str,
    ) -> None:
        """Remember how a key's request ended.

        A refusal gives the right back: the request did not run.

        :param workspace: The workspace.
        :param key: The key.
        :param claimant: Identifier of the claim that was granted.
        :param outcome: ``served``, ``refused`` or ``unknown``.
        :param request_id: Identifier of the request that ran.
        """
        place = (workspace, normalize(key))
        known = self._entries.get(place)
        if known is None or known.claimant != claimant:
            return
        if outcome == "refused":
            del self._entries[place]
            return
        known.outcome = outcome
        known.request_id = request_id

    def _check_time(
        self, created: float, now: float
    ) -> outcomes.Refused | None:
        if created > now + self._policy.skew:
            return _refuse(
                outcomes.Reason.KEY_IN_FUTURE, "was created in the future"
            )
        if created < now - self._policy.lifetime:
            return _refuse(outcomes.Reason.KEY_EXPIRED, "is too old")
        if created < self._started + 2 * self._policy.skew:
            return _refuse(
                outcomes.Reason.KEY_NOT_VOUCHED,
                "was created before its owner started; it may have been "
                "used, and this request did not run",
            )
        return None

    def _check_ownership(
        self,
        division: record.Division,
        workspace: str,
        key: str,
        created: float,
    ) -> outcomes.Refused | None:
        name = f"{workspace}/{key}"
        present = [division.entries]
        if division.next_entries is not None:
            present.append(division.next_entries)
        if not all(self._owns(name, entries) for entries in present):
            return _refuse(
                outcomes.Reason.OWNER_UNREACHABLE,
                "changes its owner now",
                OWNER_CHANGE_RETRY_AFTER_S,
            )
        # Each division that the key has lived under must have named us.
        margin = 2 * self._policy.skew
        for epoch in reversed(division.epochs):
            if not self._owns(name, epoch.entries):
                break
            if created >= epoch.since + margin:
                return None
        return _refuse(
            outcomes.Reason.KEY_NOT_VOUCHED,
            "was created under an earlier owner; it may have been used, "
            "and this request did not run",
        )

    def _owns(self, name: str, entries: list[str]) -> bool:
        return shares.find_owner(name, entries) == self._entry

    def _forget_expired(self, now: float) -> None:
        # Claims come in order of time, so the oldest stand first.
        horizon = now - self._policy.lifetime - 2 * self._policy.skew
        while self._entries:
            place, entry = next(iter(self._entries.items()))
            if entry.claimed >= horizon:
                return
            del self._entries[place]


def _refuse(
    reason: outcomes.Reason, detail: str, retry_after: float | None = None
) -> outcomes.Refused:
    return outcomes.Refused(
        reason=reason,
        detail=f"Idempotency-Key: {detail}",
        retry_after=retry_after,
    )
