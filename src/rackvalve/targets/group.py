"""Group of the targets of one pool, with load balancing at one entry.

The pool's scheduler uses it.  It counts the entry's slots in use on each
target, ejects failing targets and adapts a concurrency limit to the speed of
each target.  A target is chosen in constant time: of two random open targets,
the one with the smaller part of its limit in use.
"""

from __future__ import annotations

import dataclasses
import enum
import heapq
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

SLOW_RATIO = 2.0
NORMAL_RATIO = 1.3
SMOOTHING = 0.2
POOL_SMOOTHING = 0.05
MIN_SLOWNESS = 1e-3
LIMIT_DECREASE_FACTOR = 0.75
MAX_EJECTION_DOUBLINGS = 6
MAX_REDRAWS = 8


class Result(enum.Enum):
    """How a target handled one attempt."""

    GOOD = "good"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    ABANDONED = "abandoned"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Policy:
    """Rules for the ejection of failing targets.

    :param failures: Consecutive failures that eject a target.
    :param time: Length of the first ejection, in seconds.
    :param cap: Maximum share of the targets ejected at once.
    """

    failures: int
    time: float
    cap: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Allotment:
    """Share of one target's slots that an entry may use.

    :param host: IP number of the target.
    :param port: Port of the target.
    :param share: Slots that the entry may use.
    """

    host: str
    port: int
    share: int


class Target:
    """Slots in use, limit and health of one target.

    :param vm: Identity of the VM.
    :param allotment: The entry's share of its slots.
    """

    __slots__ = (
        "vm",
        "allotment",
        "in_use",
        "limit",
        "failures",
        "ejections",
        "ejected_until",
        "slowness",
        "position",
    )

    def __init__(self, vm: str, allotment: Allotment) -> None:
        self.vm = vm
        self.allotment = allotment
        self.in_use = 0
        self.limit = float(allotment.share)
        self.failures = 0
        self.ejections = 0
        self.ejected_until: float | None = None
        self.slowness = 1.0
        self.position = -1

    @property
    def usable(self) -> int:
        """Number of slots that may be in use at once at present."""
        if self.ejected_until is not None:
            return 0
        if self.allotment.share == 0:
            return 0
        return min(self.allotment.share, max(1, int(self.limit)))

    @property
    def load(self) -> float:
        """Slots in use as a part of the usable slots."""
        return self.in_use / self.usable


class Choice:
    """The chosen target and the basis of the choice.

    :param target: The target, with one more slot in use.
    :param load: Its load before the choice.
    :param other: The target that it was compared with, if any.
    :param open_targets: Number of targets that had a free slot.
    """

    __slots__ = ("target", "load", "other", "open_targets")

    def __init__(
        self,
        target: Target,
        *,
        load: float,
        other: Target | None,
        open_targets: int,
    ) -> None:
        self.target = target
        self.load = load
        self.other = other
        self.open_targets = open_targets


class TargetGroup:
    """All targets of one pool, with their health and load balancing.

    :param policy: Rules for the ejection of targets.
    :param rng: Source of the random choices.
    """

    __slots__ = (
        "_policy",
        "_rng",
        "_targets",
        "_open",
        "_ejected",
        "_slots",
        "_probe_times",
        "_overused",
        "_pool_slowness",
    )

    def __init__(self, policy: Policy, *, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._targets: dict[str, Target] = {}
        self._open: list[Target] = []
        self._ejected = 0
        self._slots = 0
        self._probe_times: list[tuple[float, str]] = []
        self._overused: set[str] = set()
        # Smoothed slowness over all targets of the pool.
        self._pool_slowness = 1.0

    @property
    def slots(self) -> int:
        """Number of usable slots over all targets, free or not."""
        return self._slots

    @property
    def ejected(self) -> int:
        """Number of ejected targets."""
        return self._ejected

    def has_targets(self) -> bool:
        """Return whether this entry has a slot on any target."""
        return any(
            target.allotment.share > 0 for target in self._targets.values()
        )

    def update(self, allotments: Mapping[str, Allotment]) -> None:
        """Replace the allotments.

        :param allotments: The allotments by VM identity; a target that is
            not named has a share of 0.
        """
        for vm, target in list(self._targets.items()):
            if vm not in allotments:
                self._set_allotment(target, dataclasses.replace(
                    target.allotment, share=0))  # fmt: skip
        for vm, allotment in allotments.items():
            known = self._targets.get(vm)
            if known is None:
                known = Target(vm, Allotment(
                    host=allotment.host, port=allotment.port, share=0,
                ))  # fmt: skip
                known.limit = float(allotment.share)
                self._targets[vm] = known
            self._set_allotment(known, allotment)

    def list_ejected(self) -> list[str]:
        """List the ejected targets."""
        return [
            vm
            for vm, target in self._targets.items()
            if target.ejected_until is not None
        ]

    def count_excess(self) -> int:
        """Count the targets with more slots in use than their share."""
        return len(self._overused)

    def list_excess(self) -> tuple[list[str], list[str]]:
        """List the targets with more slots in use than their share.

        :return: Targets with a share of 0, and targets over a larger share.
        """
        busy: list[str] = []
        excess: list[str] = []
        for vm in sorted(self._overused):
            share = self._targets[vm].allotment.share
            (busy if share == 0 else excess).append(vm)
        return busy, excess

    def choose(self, excluded: Collection[str]) -> Choice | None:
        """Choose a target with a free slot and take the slot.

        :param excluded: Targets to avoid; one is chosen nevertheless if the
            random draws find no other open target.
        :return: The choice, or ``None`` if no slot is free.
        """
        if not self._open:
            return None
        first = self._pick_random(excluded)
        second = self._pick_random(excluded)
        best, other = first, second
        if second.load < first.load:
            best, other = second, first
        choice = Choice(
            best,
            load=best.load,
            other=None if other is best else other,
            open_targets=len(self._open),
        )
        best.in_use += 1
        self._update_open(best)
        return choice

    def release(
        self, vm: str, result: Result, slowness: float | None, now: float
    ) -> None:
        """Free a slot and update the target's limit and health.

        :param vm: The target.
        :param result: How the target handled the attempt.
        :param slowness: Time that the attempt took, as a multiple of the
            expected time; ``None`` if that is not reliable.
        :param now: Present time, in seconds.
        """
        target = self._targets[vm]
        before = target.usable
        target.in_use -= 1
        if result is Result.GOOD:
            target.failures = 0
            target.ejections = 0
            self._adapt_limit(target, slowness)
        elif result is not Result.ABANDONED:
            target.failures += 1
            self._consider_ejection(target, now)
        self._slots += target.usable - before
        self._update_open(target)
        if target.in_use == 0 and target.allotment.share == 0:
            self._remove(target)

    def count_unanswered(self, vm: str, now: float) -> None:
        """Count an unanswered attempt as a failure; its slot stays in use.

        :param vm: The target; an unknown one is ignored.
        :param now: Present time, in seconds.
        """
        target = self._targets.get(vm)
        if target is None:
            return
        before = target.usable
        target.failures += 1
        self._consider_ejection(target, now)
        self._slots += target.usable - before
        self._update_open(target)

    def pop_due(self, now: float) -> list[Target]:
        """Dequeue the ejected targets that are due for a probe.

        :param now: Present time, in seconds.
        """
        due = []
        while self._probe_times and self._probe_times[0][0] <= now:
            when, vm = heapq.heappop(self._probe_times)
            target = self._targets.get(vm)
            if target is not None and target.ejected_until == when:
                due.append(target)
        return due

    def conclude_probe(self, vm: str, healthy: bool, now: float) -> None:
        """Return a target to service, or eject it again.

        :param vm: The target.
        :param healthy: Whether the probe was answered.
        :param now: Present time, in seconds.
        """
        target = self._targets.get(vm)
        if target is None or target.ejected_until is None:
            return
        if not healthy:
            self._eject(target, now)
            return
        target.ejected_until = None
        target.failures = 0
        # A returning target starts with one slot, and its limit grows with
        # each good attempt while its speed is normal.
        target.limit = 1.0
        target.slowness = 1.0
        self._ejected -= 1
        self._slots += target.usable
        self._update_open(target)

    def get_targets(self) -> Mapping[str, Target]:
        """Return the targets by VM identity, for queries."""
        return self._targets

    def _set_allotment(self, target: Target, allotment: Allotment) -> None:
        before = target.usable
        growth = allotment.share - target.allotment.share
        if target.limit >= target.allotment.share and growth > 0:
            target.limit = float(allotment.share)
        target.allotment = allotment
        self._slots += target.usable - before
        self._update_open(target)
        if target.in_use == 0 and allotment.share == 0:
            self._remove(target)

    def _remove(self, target: Target) -> None:
        if target.ejected_until is not None:
            self._ejected -= 1
        del self._targets[target.vm]

    def _adapt_limit(self, target: Target, slowness: float | None) -> None:
        """Adapt a target's limit to its speed relative to the pool.

        Compares with the pool, so that attempts that take longer on all
        targets make no target slow.
        """
        if slowness is not None:
            target.slowness += SMOOTHING * (slowness - target.slowness)
            self._pool_slowness += POOL_SMOOTHING * (
                slowness - self._pool_slowness
            )
        relative = target.slowness / max(self._pool_slowness, MIN_SLOWNESS)
        if relative > SLOW_RATIO:
            target.limit = max(1.0, target.limit * LIMIT_DECREASE_FACTOR)
        elif relative < NORMAL_RATIO:
            raised = target.limit + 1.0 / max(1.0, target.limit)
            target.limit = min(float(target.allotment.share), raised)

    def _consider_ejection(self, target: Target, now: float) -> None:
        if target.ejected_until is not None:
            return
        if target.failures < self._policy.failures:
            return
        if self._ejected + 1 > self._policy.cap * len(self._targets):
            return
        self._ejected += 1
        self._eject(target, now)

    def _eject(self, target: Target, now: float) -> None:
        length = self._policy.time * 2**target.ejections
        target.ejections = min(target.ejections + 1, MAX_EJECTION_DOUBLINGS)
        target.ejected_until = now + length
        heapq.heappush(self._probe_times, (target.ejected_until, target.vm))

    def _update_open(self, target: Target) -> None:
        """Update the list of open targets and the set of overused ones."""
        if target.in_use > target.allotment.share:
            self._overused.add(target.vm)
        else:
            self._overused.discard(target.vm)
        is_open = target.in_use < target.usable
        if is_open and target.position < 0:
            target.position = len(self._open)
            self._open.append(target)
        elif not is_open and target.position >= 0:
            last = self._open.pop()
            if last is not target:
                self._open[target.position] = last
                last.position = target.position
            target.position = -1

    def _pick_random(self, excluded: Collection[str]) -> Target:
        candidate = self._rng.choice(self._open)
        redraws = MAX_REDRAWS if excluded else 0
        while redraws and candidate.vm in excluded:
            candidate = self._rng.choice(self._open)
            redraws -= 1
        return candidate
