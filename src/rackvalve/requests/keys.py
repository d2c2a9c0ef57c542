"""Idempotency keys, by which a non-repeatable request runs at most once.

Each key has one owner, an entry of one hall, found by rendezvous hashing.
The owner grants one claim on a key and remembers the claim in memory.  Keys
carry their creation time (UUIDv7), so that an owner refuses every key that
an earlier owner, or an earlier process on its VM, may have granted: no
request runs twice, without a write to a store for each request.

Only this module relies on synchronized clocks: the clocks of callers and
entries are assumed to differ by ``clock_skew`` at most.  With a larger
difference a key may be refused although it was never used, or, if an owner
starts within that difference, be accepted twice.
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
    """Limits on the age of a key.

    :param lifetime: Time from its creation for which a key is valid, in
        seconds.
    :param skew: Maximum difference assumed between clocks, in seconds.
    """

    lifetime: float
    skew: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Granted:
    """The claimant may run the request once."""


Claim = Granted | outcomes.Refused


class _KeyRecord:
    """Record of a granted claim on one key."""

    __slots__ = ("claimed", "claimant", "outcome", "request_id")

    def __init__(self, claimed: float, claimant: str) -> None:
        self.claimed = claimed
        self.claimant = claimant
        self.outcome = "running"
        self.request_id = ""


def read_created(key: str) -> float | None:
    """Return the time at which a key was created, in seconds.

    :param key: The key.
    :return: The time; ``None`` if the key is not a UUIDv7.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION or parsed.variant != uuid.RFC_4122:
        return None
    return (parsed.int >> TIMESTAMP_SHIFT) / 1000.0


def normalize(key: str) -> str:
    """Return the canonical form of a key, which all processes compare.

    :param key: A key that :func:`read_created` accepts.
    """
    return str(uuid.UUID(key))


class KeyRegistry:
    """Registry of the keys that one process of an entry owns.

    :param entry: Identity of the entry's VM.
    :param started: Time at which this process started, in seconds.
    :param policy: Limits on the age of a key.
    """

    def __init__(self, entry: str, *, started: float, policy: Policy) -> None:
        self._entry = entry
        self._started = started
        self._policy = policy
        self._records: collections.OrderedDict[tuple[str, str], _KeyRecord] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def claim(
        self,
        division: record.Division,
        workspace: str,
        key: str,
        claimant: str,
        now: float,
    ) -> Claim:
        """Grant the right to run a key's request, at most once.

        :param division: The entries of the hall that owns the key.
        :param workspace: The workspace; each has key names of its own.
        :param key: The key.
        :param claimant: Unique identifier of this claim.
        :param now: Present time, in seconds.
        """
        created = read_created(key)
        if created is None:
            return _refuse(
                outcomes.Reason.FIELD_MALFORMED, "is no UUID of version 7"
            )
        refusal = self._check_time(created, now)
        if refusal is not None:
            return refusal
        key = normalize(key)
        refusal = self._check_ownership(division, workspace, key, created)
        if refusal is not None:
            return refusal
        self._forget_expired(now)
        known = self._records.get((workspace, key))
        if known is not None:
            detail = f"was used before; outcome {known.outcome}"
            if known.request_id:
                detail += f", request {known.request_id}"
            return _refuse(outcomes.Reason.KEY_USED, detail)
        self._records[workspace, key] = _KeyRecord(now, claimant)
        return Granted()

    def settle(
        self,
        workspace: str,
        key: str,
        claimant: str,
        outcome: str,
        request_id: str,
    ) -> None:
        """Record the outcome of a key's request.

        A refusal releases the claim, since the request did not run.

        :param workspace: The workspace.
        :param key: The key.
        :param claimant: Identifier of the claim that was granted.
        :param outcome: ``served``, ``refused`` or ``unknown``.
        :param request_id: Identifier of the request that ran.
        """
        record_key = (workspace, normalize(key))
        known = self._records.get(record_key)
        if known is None or known.claimant != claimant:
            return
        if outcome == "refused":
            del self._records[record_key]
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
            return _refuse(
                outcomes.Reason.KEY_EXPIRED,
                "is too old",
            )
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
        # Every division in force since the key was created must have named
        # this entry as the owner.
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
        # The records are in the order of their claims, oldest first.
        horizon = now - self._policy.lifetime - 2 * self._policy.skew
        while self._records:
            record_key, entry = next(iter(self._records.items()))
            if entry.claimed >= horizon:
                return
            del self._records[record_key]


def _refuse(
    reason: outcomes.Reason, detail: str, retry_after: float | None = None
) -> outcomes.Refused:
    return outcomes.Refused(
        reason=reason,
        detail=f"Idempotency-Key: {detail}",
        retry_after=retry_after,
    )
