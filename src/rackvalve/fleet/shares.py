"""Division of a target's slots, and of idempotency keys, among entries.

During a change of the division, an entry uses the lesser of its shares
before and after.  The sum then never exceeds the slots, whichever entries
know of the change, because the new division takes effect only after all old
holders have acknowledged it (:mod:`rackvalve.fleet.transitions`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from rackvalve.fleet import record


def rank_entries(name: str, entries: list[str]) -> list[str]:
    """Order entries by rendezvous hash.

    :param name: Name of the key, target or quota.
    :param entries: Identities of the entries.
    :return: The entries, the highest-ranked first.
    """
    return sorted(
        entries,
        key=lambda entry: xxhash.xxh3_64_intdigest(
            f"{entry}\0{name}".encode()
        ),
    )


def divide(name: str, slots: int, entries: list[str], entry: str) -> int:
    """Return an entry's share of slots in one division.

    :param name: Name of the target or quota.
    :param slots: Slots of the target or quota.
    :param entries: Entries of the division.
    :param entry: The entry.
    :return: Number of slots; all shares add up to ``slots``.
    """
    if entry not in entries:
        return 0
    share, rest = divmod(slots, len(entries))
    rank = rank_entries(name, entries).index(entry)
    return share + (1 if rank < rest else 0)


def compute_share(
    division: record.Division, name: str, slots: int, entry: str
) -> int:
    """Return the slots that an entry may use now.

    :param division: Present and next entries.
    :param name: Name of the target or quota.
    :param slots: Slots of the target or quota.
    :param entry: The entry.
    """
    share = divide(name, slots, division.entries, entry)
    if division.next_entries is None:
        return share
    return min(share, divide(name, slots, division.next_entries, entry))


def find_owner(key: str, entries: list[str]) -> str | None:
    """Return the entry that owns an idempotency key in one division.

    :param key: The idempotency key.
    :param entries: The entries of the division.
    """
    return rank_entries(key, entries)[0] if entries else None
