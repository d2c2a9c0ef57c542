"""Transitions of a hall's record, as pure functions that return outcomes.

Every transition revokes a right before it grants the right elsewhere.  A
right counts as revoked only once its holder has acknowledged that or is
proved gone, never by time alone.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from rackvalve.fleet import record

# Epochs retained.  The owner of an idempotency key refuses a key that is
# older than the oldest of them.
EPOCHS_KEPT = 8

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Changed:
    """The transition changes the record.

    :param hall: The new record.
    :param note: Description of the change, for logs.
    """

    hall: record.Hall
    note: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Waiting:
    """The transition waits for acknowledgements.

    :param subject: The VM whose transition waits.
    :param holders: Entries whose acknowledgement is missing.
    """

    subject: str
    holders: list[str]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Rejected:
    """The command cannot be applied to this record.

    :param reason: Cause, with the name of the VM, pool or wave.
    """

    reason: str


Outcome = Changed | Waiting | Rejected


def order_drain(
    hall: record.Hall, vm: str, *, budget: int, unavailable: Collection[str]
) -> Changed | Rejected:
    """Order a target to leave, within the budget of its pool.

    :param hall: Record of the hall.
    :param vm: The target.
    :param budget: Minimum available VMs of the target's pool in this hall.
    :param unavailable: Targets that do not serve now, though their state
        is ``serving``.
    """
    target = hall.targets.get(vm)
    if target is None:
        return Rejected(reason=f"VM {vm!r} is not in this hall")
    if target.state is not record.State.SERVING:
        return Rejected(reason=f"VM {vm!r} is {target.state.value} already")
    left = count_available(hall, target.pool, unavailable)
    if vm not in unavailable:
        left -= 1
    if left < budget:
        return Rejected(
            reason=f"pool {target.pool!r} would keep {left} VMs available; "
            f"its budget is {budget}"
        )
    revoking = dataclasses.replace(target, state=record.State.REVOKING)
    return Changed(hall=put_target(hall, vm, revoking), note=f"drain of {vm}")


def order_move(
    hall: record.Hall,
    vm: str,
    pool: str,
    *,
    budget: int,
    unavailable: Collection[str],
) -> Changed | Rejected:
    """Order a target to join another pool, within the budget of its own.

    The target belongs to its old pool until every sender has acknowledged;
    one write then moves it to the new pool.

    :param hall: Record of the hall.
    :param vm: The target.
    :param pool: The pool to join.
    :param budget: Minimum available VMs of the target's present pool.
    :param unavailable: Targets that do not serve now.
    """
    target = hall.targets.get(vm)
    if target is not None and target.pool == pool:
        return Rejected(reason=f"VM {vm!r} is in pool {pool!r} already")
    ordered = order_drain(hall, vm, budget=budget, unavailable=unavailable)
    if isinstance(ordered, Rejected):
        return ordered
    moving = dataclasses.replace(ordered.hall.targets[vm], move_to=pool)
    return Changed(
        hall=put_target(hall, vm, moving), note=f"move of {vm} to {pool}"
    )


def order_return(hall: record.Hall, vm: str) -> Changed | Rejected:
    """Order a target that is leaving or away to serve again.

    :param hall: Record of the hall.
    :param vm: The target.
    """
    target = hall.targets.get(vm)
    if target is None:
        return Rejected(reason=f"VM {vm!r} is not in this hall")
    if target.state is record.State.SERVING:
        return Rejected(reason=f"VM {vm!r} serves already")
    if target.state is record.State.REVOKING and target.move_to is not None:
        return Rejected(reason=f"VM {vm!r} moves; wait until it has joined")
    serving = dataclasses.replace(target, state=record.State.SERVING)
    return Changed(hall=put_target(hall, vm, serving), note=f"return of {vm}")


def count_available(
    hall: record.Hall, pool: str, unavailable: Collection[str]
) -> int:
    """Count a pool's available targets.

    :param hall: Record of the hall.
    :param pool: Name of the pool.
    :param unavailable: Targets that do not serve now, whatever their state.
    """
    return sum(
        1
        for vm, target in hall.targets.items()
        if target.pool == pool
        and target.state is record.State.SERVING
        and vm not in unavailable
    )


def step(
    hall: record.Hall,
    revision: int,
    reports: Mapping[str, record.Report],
    listed: Collection[str] | None,
    now: float,
) -> tuple[Changed | None, list[Waiting]]:
    """Return the next change that the acknowledgements permit.

    The change is proposed on acknowledgements alone.  Before the caller
    writes it, it asks every holder (:func:`list_holders`) again: an entry
    that restarted after its acknowledgement then reports its present work.

    :param hall: Record of the hall.
    :param revision: Revision of the record.
    :param reports: Newest report of each entry, by VM identity.
    :param listed: VMs on the platform's list; ``None`` if it is not known.
    :param now: Present time by this VM's clock, in seconds.
    :return: The change, ``None`` if there is none, and the transitions that
        wait.
    """
    waits: list[Waiting] = []
    left = hall
    notes = []
    holders = list_holders(hall, listed)
    for vm, target in hall.targets.items():
        if target.state is not record.State.REVOKING:
            continue
        missing = [
            entry
            for entry in holders
            if not _has_left_target(reports.get(entry), revision, vm)
        ]
        if missing:
            waits.append(Waiting(subject=vm, holders=missing))
            continue
        gone = _complete_revocation(left, vm, target)
        left = gone.hall
        notes.append(gone.note)
    if notes:
        return Changed(hall=left, note=", ".join(notes)), waits
    changed, blocked = _step_entries(hall, revision, reports, listed, now)
    return changed, waits + blocked


def list_holders(
    hall: record.Hall, listed: Collection[str] | None
) -> list[str]:
    """List the entries that may hold rights on the hall's targets.

    An entry joins only while the platform lists its VM, so a VM of the
    division that is no longer listed is proved gone.

    An entry that is about to join has no share, and hence no rights, until
    the division that includes it is in force.

    :param hall: Record of the hall.
    :param listed: VMs on the platform's list; ``None`` if it is not known.
    """
    entries = hall.division.entries
    if listed is None:
        return list(entries)
    return [entry for entry in entries if entry in listed]


def list_unconfirmed(
    hall: record.Hall,
    listed: Collection[str] | None,
    reports: Mapping[str, record.Report],
    asked: str,
) -> list[str]:
    """List the holders that have not reported in a confirmation round.

    :param hall: Record of the hall.
    :param listed: VMs on the platform's list; ``None`` if it is not known.
    :param reports: Newest report of each entry, by VM identity.
    :param asked: Name of the round, which began after all acknowledgements
        for the step had arrived.
    """
    missing = []
    for holder in list_holders(hall, listed):
        report = reports.get(holder)
        if report is None or report.round != asked:
            missing.append(holder)
    return missing


def may_serve_copy(hall: record.Hall, vm: str, source: str) -> bool:
    """Return whether a restarted VM may serve on a peer's copy.

    The copy must come from another entry that holds rights.  A step that
    this VM acknowledged before its restart was either written after that
    entry's acknowledgement too, or is written only after asking again.

    :param hall: The peer's copy of the hall's record.
    :param vm: The restarted VM.
    :param source: VM of the peer.
    """
    return source != vm and source in hall.division.entries


def _step_entries(
    hall: record.Hall,
    revision: int,
    reports: Mapping[str, record.Report],
    listed: Collection[str] | None,
    now: float,
) -> tuple[Changed | None, list[Waiting]]:
    division = hall.division
    if division.next_entries is None:
        return _propose_entries(hall, reports, listed), []
    holders = [
        entry
        for entry in list_holders(hall, listed)
        if not _has_released_excess(hall, reports.get(entry), revision)
    ]
    if holders:
        return None, [Waiting(subject="entries", holders=holders)]
    epoch = record.Epoch(since=now, entries=division.next_entries)
    changed = dataclasses.replace(
        division,
        epochs=[*division.epochs, epoch][-EPOCHS_KEPT:],
        next_entries=None,
    )
    return Changed(
        hall=dataclasses.replace(hall, division=changed),
        note="entries are " + ",".join(epoch.entries),
    ), []


def _propose_entries(
    hall: record.Hall,
    reports: Mapping[str, record.Report],
    listed: Collection[str] | None,
) -> Changed | None:
    division = hall.division
    members = set(list_holders(hall, listed))
    addresses = dict(division.addresses)
    for vm, report in reports.items():
        if report.leaving:
            members.discard(vm)
        if report.leaving or listed is None or vm not in listed:
            continue
        members.add(vm)
        addresses[vm] = report.address
    wanted = sorted(members)
    addresses = {vm: addresses[vm] for vm in wanted if vm in addresses}
    if wanted == division.entries and addresses == division.addresses:
        return None
    proposal = None if wanted == division.entries else wanted
    changed = dataclasses.replace(
        division, next_entries=proposal, addresses=addresses
    )
    return Changed(
        hall=dataclasses.replace(hall, division=changed),
        note="entries to be " + ",".join(wanted),
    )


def _has_left_target(
    report: record.Report | None, revision: int, vm: str
) -> bool:
    if report is None or report.hall_revision < revision:
        return False
    return vm not in report.busy


def _has_released_excess(
    hall: record.Hall, report: record.Report | None, revision: int
) -> bool:
    if report is None or report.hall_revision < revision:
        return False
    # A revoked target is in no share; its own transition waits for holders.
    held = [
        vm
        for vm in (*report.busy, *report.excess)
        if vm in hall.targets
        and hall.targets[vm].state is record.State.SERVING
    ]
    return not held


def _complete_revocation(
    hall: record.Hall, vm: str, target: record.Target
) -> Changed:
    """Move a revoked target on after all senders have acknowledged."""
    if target.move_to is not None:
        joined = dataclasses.replace(
            target,
            pool=target.move_to,
            move_to=None,
            state=record.State.SERVING,
        )
        note = f"{vm} joined {joined.pool}"
        return Changed(hall=put_target(hall, vm, joined), note=note)
    away = dataclasses.replace(target, state=record.State.AWAY)
    return Changed(hall=put_target(hall, vm, away), note=f"{vm} away")


def put_target(
    hall: record.Hall, vm: str, target: record.Target
) -> record.Hall:
    """Return a record with one target replaced.

    :param hall: Record of the hall.
    :param vm: Identity of the target.
    :param target: New state of the target.
    """
    targets = dict(hall.targets)
    targets[vm] = target
    return dataclasses.replace(hall, targets=targets)
