"""Maintenance waves: pure functions of the record, budgets and health.

A wave lets as many VMs leave at once as the budgets of their pools allow,
counting only VMs that serve and are healthy now; a VM that does not come
back counts as missing.  All it needs stands in the hall's record, so that
any steward resumes it.
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

_FOLLOWING: dict[record.Phase, tuple[record.Phase, ...]] = {
    record.Phase.PAUSED: (record.Phase.RUNNING,),
    record.Phase.RUNNING: (record.Phase.PAUSED,),
    record.Phase.ABANDONED: (record.Phase.RUNNING, record.Phase.PAUSED),
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Preview:
    """What a wave would do.

    :param rounds: Rounds that it takes if every VM comes back.
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
    ordered = _put_wave(_forget_ended(hall), name, wave)
    return transitions.Changed(hall=ordered, note=f"wave {name} ordered")


def change_phase(
    hall: record.Hall, name: str, phase: record.Phase
) -> transitions.Changed | transitions.Rejected:
    """Pause, resume or abandon a wave.

    VMs that have left already still come back; a pause and an abandonment
    only keep further ones from leaving.

    :param hall: Record of the hall.
    :param name: Name of the wave.
    :param phase: The phase wanted.
    """
    wave = hall.waves.get(name)
    if wave is None:
        return transitions.Rejected(reason=f"wave {name!r} does not exist")
    if wave.phase not in _FOLLOWING.get(phase, ()):
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
    """Let VMs of the running waves leave, and note those that came back.

    :param hall: Record of the hall.
    :param budgets: Least number of available VMs by pool.
    :param unavailable: Targets that do not serve now, though their state
        is ``serving``.
    :param rack_safe: Pools that keep their budget if a rack is lost too.
    :return: ``None`` if there is nothing to change.
    """
    changed = hall
    notes = []
    for name, wave in hall.waves.items():
        settled = _settle(changed, wave)
        leaving: list[str] = []
        if settled.phase is record.Phase.RUNNING:
            leaving = choose_leaving(
                changed,
                settled.pending,
                budgets,
                unavailable,
                rack_safe=rack_safe,
            )
            settled = _finish(_move_active(settled, leaving))
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

    Unhealthy VMs go first, since they cost no availability; then those of
    racks that are under way already, so that a rack is done as a whole and
    as few racks as possible are touched at once.

    :param hall: Record of the hall.
    :param pending: VMs that want to leave.
    :param budgets: Least number of available VMs by pool.
    :param unavailable: Targets that do not serve now.
    :param rack_safe: Pools that keep their budget if a rack is lost too.
    """
    room = _Room(hall, budgets, unavailable, rack_safe)
    touched = collections.Counter(
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
            -touched[hall.targets[vm].rack],
            hall.targets[vm].rack,
            vm,
        )
    )
    chosen = []
    for vm in ready:
        if vm in unavailable or room.take(hall.targets[vm]):
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
    """Return what a wave would do, if every VM came back each round.

    :param hall: Record of the hall.
    :param vms: VMs of the wave.
    :param budgets: Least number of available VMs by pool.
    :param unavailable: Targets that do not serve now.
    :param rack_safe: Pools that keep their budget if a rack is lost too.
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


class _Room:
    """How many available VMs each pool can spare, as VMs are chosen.

    :param hall: Record of the hall.
    :param budgets: Least number of available VMs by pool.
    :param unavailable: Targets that do not serve now.
    :param rack_safe: Pools that keep their budget if a rack is lost too.
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
        # A pool that a rack's loss would break already is not held up.
        self._rack_safe = {
            pool for pool in rack_safe if self._survives_rack(pool)
        }

    def take(self, target: record.Target) -> bool:
        """Take one available VM out, if its pool can spare it.

        :param target: The VM.
        :return: Whether it may leave.
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


def _settle(hall: record.Hall, wave: record.Wave) -> record.Wave:
    """Note which VMs came back, and which are gone from the hall."""
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
    """Return a record in which VMs leave, with one copy for all of them."""
    if not leaving:
        return hall
    targets = dict(hall.targets)
    for vm in leaving:
        targets[vm] = dataclasses.replace(
            targets[vm], state=record.State.REVOKING
        )
    return dataclasses.replace(hall, targets=targets)


def _move_active(wave: record.Wave, leaving: list[str]) -> record.Wave:
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


def _forget_ended(hall: record.Hall) -> record.Hall:
    """Drop the oldest waves that have ended, so that the record stays small.

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
