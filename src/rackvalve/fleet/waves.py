"""Maintenance waves, as pure functions of the record, budgets and health.

A wave lets as many VMs leave at once as the budgets of their pools allow.
Only VMs that serve and are healthy now count as available, so a VM that does
not come back counts as missing.  The whole state of a wave is in the hall's
record, so that any steward can resume it.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from rackvalve.fleet import record
from rackvalve.fleet import transitions

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

ENDED_KEPT = 20

_PRIOR_PHASES: dict[record.Phase, tuple[record.Phase, ...]] = {
    record.Phase.PAUSED: (record.Phase.RUNNING,),
    record.Phase.RUNNING: (record.Phase.PAUSED,),
    record.Phase.ABANDONED: (record.Phase.RUNNING, record.Phase.PAUSED),
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Preview:
    """Expected course of a wave.

    :param rounds: Rounds of the wave if every VM comes back.
    :param most_away: Most VMs away at once.
    :param stuck: VMs that can never leave within the budgets.
    """

    rounds: int
    most_away: int
    stuck: list[str]


def order_wave(
    hall: record.Hall, name: str, vms: Collection[str], now: float
) -> transitions.Changed | transitions.Rejected:
    """Order a wave over VMs.

    :param hall: Record of the hall.
    :param name: Name of the wave.
    :param vms: The VMs.
    :param now: Present time, in seconds.
    """
    if name in hall.waves:
        return transitions.Rejected(reason=f"wave {name!r} exists already")
    if not vms:
        return transitions.Rejected(reason=f"wave {name!r} has no VMs")
    for vm in sorted(vms):
        if vm not in hall.targets:
            return transitions.Rejected(
                reason=f"VM {vm!r} is not in this hall"
            )
    wave = record.Wave(pending=sorted(vms), started=now)
    ordered = _put_wave(_drop_oldest_ended(hall), name, wave)
    return transitions.Changed(hall=ordered, note=f"wave {name} ordered")


def change_phase(
    hall: record.Hall, name: str, phase: record.Phase
) -> transitions.Changed | transitions.Rejected:
    """Pause, resume or abandon a wave.

    VMs that have already left still come back; to pause or abandon a wave
    only keeps further VMs from leaving.

    :param hall: Record of the hall.
    :param name: Name of the wave.
    :param phase: Phase to change to.
    """
    wave = hall.waves.get(name)
    if wave is None:
        return transitions.Rejected(reason=f"wave {name!r} does not exist")
    if wave.phase not in _PRIOR_PHASES.get(phase, ()):
        return transitions.Rejected(
            reason=f"wave {name!r} is {wave.phase.value}"
        )
    changed = dataclasses.replace(wave, phase=phase)
    return transitions.Changed(
        hall=_put_wave(hall, name, changed), note=f"wave {name} {phase.value}"
    )


def step_waves(
    hall: record.Hall,
    budgets: Mapping[str, int],
    unavailable: Collection[str],
    *,
    rack_safe: Collection[str] = (),
) -> transitions.Changed | None:
    """Revoke further VMs of running waves and record those that came back.

    :param hall: Record of the hall.
    :param budgets: Minimum available VMs by pool.
    :param unavailable: Targets that do not serve now, though their state
        is ``serving``.
    :param rack_safe: Pools that must keep their budget if a rack is lost.
    :return: ``None`` if there is nothing to change.
    """
    changed = hall
    notes = []
    for name, wave in hall.waves.items():
        settled = _update_progress(changed, wave)
        leaving: list[str] = []
        if settled.phase is record.Phase.RUNNING:
            leaving = choose_leaving(
                changed,
                settled.pending,
                budgets,
                unavailable,
                rack_safe=rack_safe,
            )
            settled = _finish(_activate(settled, leaving))
        changed = _revoke(changed, leaving)
        if settled != wave:
            changed = _put_wave(changed, name, settled)
            notes.append(f"wave {name}: {', '.join(leaving) or 'settled'}")
    if not notes:
        return None
    return transitions.Changed(hall=changed, note="; ".join(notes))


def choose_leaving(
    hall: record.Hall,
    pending: Collection[str],
    budgets: Mapping[str, int],
    unavailable: Collection[str],
    *,
    rack_safe: Collection[str] = (),
) -> list[str]:
    """Choose which VMs may leave now.

    Unhealthy VMs go first, since they cost no availability; then VMs of
    racks where others have already left, so that racks are finished one
    after another and as few as possible are affected at once.

    :param hall: Record of the hall.
    :param pending: VMs that have yet to leave.
    :param budgets: Minimum available VMs by pool.
    :param unavailable: Targets that do not serve now.
    :param rack_safe: Pools that must keep their budget if a rack is lost.
    """
    headroom = _Headroom(hall, budgets, unavailable, rack_safe)
    affected_racks = collections.Counter(
        target.rack
        for target in hall.targets.values()
        if target.state is not record.State.SERVING
    )
    ready = [
        vm for vm in pending if hall.targets[vm].state is record.State.SERVING
    ]
    ready.sort(
        key=lambda vm: (
            vm not in unavailable,
            -affected_racks[hall.targets[vm].rack],
            hall.targets[vm].rack,
            vm,
        )
    )
    chosen = []
    for vm in ready:
        if vm in unavailable or headroom.reserve(hall.targets[vm]):
            chosen.append(vm)
    return chosen


def preview_wave(
    hall: record.Hall,
    vms: Collection[str],
    budgets: Mapping[str, int],
    unavailable: Collection[str],
    *,
    rack_safe: Collection[str] = (),
) -> Preview:
    """Simulate a wave in which every VM comes back in each round.

    :param hall: Record of the hall.
    :param vms: VMs of the wave.
    :param budgets: Minimum available VMs by pool.
    :param unavailable: Targets that do not serve now.
    :param rack_safe: Pools that must keep their budget if a rack is lost.
    """
    pending = [vm for vm in sorted(vms) if vm in hall.targets]
    rounds = 0
    most = 0
    while pending:
        leaving = choose_leaving(
            hall, pending, budgets, unavailable, rack_safe=rack_safe
        )
        if not leaving:
            break
        rounds += 1
        most = max(most, len(leaving))
        left = set(leaving)
        pending = [vm for vm in pending if vm not in left]
    return Preview(rounds=rounds, most_away=most, stuck=pending)


class _Headroom:
    """Headroom of each pool above its budget while VMs are chosen.

    :param hall: Record of the hall.
    :param budgets: Minimum available VMs by pool.
    :param unavailable: Targets that do not serve now.
    :param rack_safe: Pools that must keep their budget if a rack is lost.
    """

    def __init__(
        self,
        hall: record.Hall,
        budgets: Mapping[str, int],
        unavailable: Collection[str],
        rack_safe: Collection[str],
    ) -> None:
        self._budgets = budgets
        self._racks: dict[str, collections.Counter[str]] = {}
        self._totals: collections.Counter[str] = collections.Counter()
        for vm, target in hall.targets.items():
            if target.state is record.State.SERVING and vm not in unavailable:
                racks = self._racks.setdefault(
                    target.pool, collections.Counter()
                )
                racks[target.rack] += 1
                self._totals[target.pool] += 1
        # A pool that could not survive the loss of a rack even now is exempt,
        # so that its wave is not blocked.
        self._rack_safe = {
            pool for pool in rack_safe if self._survives_rack(pool)
        }

    def reserve(self, target: record.Target) -> bool:
        """Count one available VM as leaving if its pool permits it.

        :param target: The VM.
        :return: Whether the VM may leave.
        """
        pool = target.pool
        if self._totals[pool] <= self._budgets.get(pool, 0):
            return False
        self._count(target, -1)
        if pool in self._rack_safe and not self._survives_rack(pool):
            self._count(target, 1)
            return False
        return True

    def _count(self, target: record.Target, change: int) -> None:
        self._totals[target.pool] += change
        self._racks[target.pool][target.rack] += change

    def _survives_rack(self, pool: str) -> bool:
        racks = self._racks.get(pool)
        if not racks:
            return False
        left = self._totals[pool] - max(racks.values())
        return left >= self._budgets.get(pool, 0)


def _update_progress(hall: record.Hall, wave: record.Wave) -> record.Wave:
    """Update a wave for VMs that came back or were removed from the hall."""
    back = [
        vm
        for vm in wave.active
        if vm in hall.targets
        and hall.targets[vm].state is record.State.SERVING
    ]
    gone = [
        vm for vm in (*wave.active, *wave.pending) if vm not in hall.targets
    ]
    if not back and not gone:
        return _finish(wave)
    ended = {*back, *gone}
    settled = dataclasses.replace(
        wave,
        active=[vm for vm in wave.active if vm not in ended],
        pending=[vm for vm in wave.pending if vm not in ended],
        done=sorted([*wave.done, *back]),
    )
    return _finish(settled)


def _revoke(hall: record.Hall, leaving: list[str]) -> record.Hall:
    """Return a record with VMs revoked; copies the targets only once."""
    if not leaving:
        return hall
    targets = dict(hall.targets)
    for vm in leaving:
        targets[vm] = dataclasses.replace(
            targets[vm], state=record.State.REVOKING
        )
    return dataclasses.replace(hall, targets=targets)


def _activate(wave: record.Wave, leaving: list[str]) -> record.Wave:
    if not leaving:
        return wave
    left = set(leaving)
    return dataclasses.replace(
        wave,
        pending=[vm for vm in wave.pending if vm not in left],
        active=sorted([*wave.active, *leaving]),
    )


def _finish(wave: record.Wave) -> record.Wave:
    ended = not wave.pending and not wave.active
    if ended and wave.phase is record.Phase.RUNNING:
        return dataclasses.replace(wave, phase=record.Phase.DONE)
    return wave


def _drop_oldest_ended(hall: record.Hall) -> record.Hall:
    """Remove the oldest ended waves to keep the record small.

    An abandoned wave is kept while VMs of it are still away.
    """
    ended = [
        (wave.started, name)
        for name, wave in hall.waves.items()
        if wave.phase is record.Phase.DONE
        or (wave.phase is record.Phase.ABANDONED and not wave.active)
    ]
    dropped = {name for _, name in sorted(ended)[:-ENDED_KEPT]}
    if not dropped:
        return hall
    waves = {
        name: wave for name, wave in hall.waves.items() if name not in dropped
    }
    return dataclasses.replace(hall, waves=waves)


def _put_wave(hall: record.Hall, name: str, wave: record.Wave) -> record.Hall:
    waves = dict(hall.waves)
    waves[name] = wave
    return dataclasses.replace(hall, waves=waves)
