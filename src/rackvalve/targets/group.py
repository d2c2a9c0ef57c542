"""The targets of one pool as one entry sees them.

Keeps what the entry uses of each target, its health, and the limit that
adapts to it.  A target is chosen in constant time: of two open targets
taken at random, the one with the smaller part of its limit in use.
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
STEADY_RATIO = 1.3
SMOOTHING = 0.2
TYPICAL_SMOOTHING = 0.05
LEAST_SLOWNESS = 1e-3
SHRINK_FACTOR = 0.75
EJECT_DOUBLINGS = 6
SEARCH_TRIES = 8


class Result(enum.Enum):
    """How a target dealt with one attempt."""

    GOOD = "good"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    ABANDONED = "abandoned"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Policy:
    """When a target is ejected.

    :param failures: Failures in a row that eject a target.
    :param time: Length of the first ejection, in seconds.
    :param cap: Largest share of the targets that is ejected at once.
    """

    failures: int
    time: float
    cap: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Allotment:
    """An entry's right on one target.

    :param host: IP number of the target.
    :param port: Port of the target.
    :param share: Slots that the entry may use.
    """

    host: str
    port: int
    share: int


class Target:
    """One target's use and health.

    :param vm: Identity of the VM.
    :param allotment: The entry's right on it.
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
        """Slots that may be in use at once now."""
        if self.ejected_until is not None:
            return 0
        if self.allotment.share == 0:
            return 0
        return min(self.allotment.share, max(1, int(self.limit)))

    @property
    def load(self) -> float:
        """Part of the usable slots that is in use."""
        return self.in_use / self.usable


class Choice:
    """A target that was chosen, and among how many.

    :param target: The target; its slot is taken.
    :param load: Part of its slots in use before.
    :param other: The target that it was weighed against, if any.
    :param open_targets: Targets that had a free slot.
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
    """All targets of one pool.

    :param policy: When targets are ejected.
    :param rng: Source of the random choices.
    """

    __slots__ = (
        "_policy",
        "_rng",
        "_targets",
        "_open",
        "_ejected",
        "_slots",
        "_returns",
        "_over",
        "_typical",
    )

    def __init__(self, policy: Policy, *, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._targets: dict[str, Target] = {}
        self._open: list[Target] = []
        self._ejected = 0
        self._slots = 0
        self._returns: list[tuple[float, str]] = []
        self._over: set[str] = set()
        # Slowness of the targets taken together.
        self._typical = 1.0

    @property
    def slots(self) -> int:
        """Slots usable over all targets, free or not."""
        return self._slots

    @property
    def ejected(self) -> int:
        """Number of ejected targets."""
        return self._ejected

    def has_targets(self) -> bool:
        """Return whether any target allots a slot to this entry."""
        return any(
            target.allotment.share > 0 for target in self._targets.values()
        )

    def update(self, allotments: Mapping[str, Allotment]) -> None:
        """Take new rights in place of the present ones.

        :param allotments: The rights by VM identity; a target that is not
            named gives none.
        """
        for vm, target in list(self._targets.items()):
            if vm not in allotments:
                self._allot(target, dataclasses.replace(
                    target.allotment, share=0))  # fmt: skip
        for vm, allotment in allotments.items():
            known = self._targets.get(vm)
            if known is None:
                known = Target(vm, Allotment(
                    host=allotment.host, port=allotment.port, share=0,
                ))  # fmt: skip
                known.limit = float(allotment.share)
                self._targets[vm] = known
            self._allot(known, allotment)

    def list_ejected(self) -> list[str]:
        """List the ejected targets."""
        return [
            vm
            for vm, target in self._targets.items()
            if target.ejected_until is not None
        ]

    def count_excess(self) -> int:
        """Count the targets on which more is in use than rights allow."""
        return len(self._over)

    def list_excess(self) -> tuple[list[str], list[str]]:
        """List targets on which more is in use than the rights allow.

        :return: Targets without any right, and targets over their share.
        """
        busy: list[str] = []
        excess: list[str] = []
        for vm in sorted(self._over):
            share = self._targets[vm].allotment.share
            (busy if share == 0 else excess).append(vm)
        return busy, excess

    def choose(self, excluded: Collection[str]) -> Choice | None:
        """Choose a target with a free slot and take the slot.

        :param excluded: Targets not to choose if another is found open.
        :return: The choice, or ``None`` if no slot is free.
        """
        if not self._open:
            return None
        first = self._draw(excluded)
        second = self._draw(excluded)
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
        """Give a slot back and learn from the attempt.

        :param vm: The target.
        :param result: How the target dealt with it.
        :param slowness: Time that the attempt took, as a multiple of what
            was expected; ``None`` if that is not known.
        :param now: Present time, in seconds.
        """
        target = self._targets[vm]
        before = target.usable
        target.in_use -= 1
        if result is Result.GOOD:
            target.failures = 0
            target.ejections = 0
            self._adapt(target, slowness)
        elif result is not Result.ABANDONED:
            target.failures += 1
            self._consider_ejection(target, now)
        self._slots += target.usable - before
        self._update_open(target)
        if target.in_use == 0 and target.allotment.share == 0:
            self._forget(target)

    def count_unanswered(self, vm: str, now: float) -> None:
        """Count an attempt that stays unanswered, without its slot.

        :param vm: The target; nothing happens if it is unknown.
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
        """Take the ejected targets whose time is over, to be probed.

        :param now: Present time, in seconds.
        """
        due = []
        while self._returns and self._returns[0][0] <= now:
            when, vm = heapq.heappop(self._returns)
            target = self._targets.get(vm)
            if target is not None and target.ejected_until == when:
                due.append(target)
        return due

    def conclude_probe(self, vm: str, healthy: bool, now: float) -> None:
        """Return a target to service, or eject it anew.

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
        # A target that comes back starts with one slot and earns the rest.
        target.limit = 1.0
        target.slowness = 1.0
        self._ejected -= 1
        self._slots += target.usable
        self._update_open(target)

    def get_targets(self) -> Mapping[str, Target]:
        """Return the targets by VM identity, for queries."""
        return self._targets

    def _allot(self, target: Target, allotment: Allotment) -> None:
        before = target.usable
        grown = allotment.share - target.allotment.share
        if target.limit >= target.allotment.share and grown > 0:
            target.limit = float(allotment.share)
        target.allotment = allotment
        self._slots += target.usable - before
        self._update_open(target)
        if target.in_use == 0 and allotment.share == 0:
            self._forget(target)

    def _forget(self, target: Target) -> None:
        if target.ejected_until is not None:
            self._ejected -= 1
        del self._targets[target.vm]

    def _adapt(self, target: Target, slowness: float | None) -> None:
        """Let a target's limit follow its speed beside the others'.

        Work that has become longer everywhere makes no target slow.
        """
        if slowness is not None:
            target.slowness += SMOOTHING * (slowness - target.slowness)
            self._typical += TYPICAL_SMOOTHING * (slowness - self._typical)
        relative = target.slowness / max(self._typical, LEAST_SLOWNESS)
        if relative > SLOW_RATIO:
            target.limit = max(1.0, target.limit * SHRINK_FACTOR)
        elif relative < STEADY_RATIO:
            grown = target.limit + 1.0 / max(1.0, target.limit)
            target.limit = min(float(target.allotment.share), grown)

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
        target.ejections = min(target.ejections + 1, EJECT_DOUBLINGS)
        target.ejected_until = now + length
        heapq.heappush(self._returns, (target.ejected_until, target.vm))

    def _update_open(self, target: Target) -> None:
        """Keep the list of open targets, and that of overused ones."""
        if target.in_use > target.allotment.share:
            self._over.add(target.vm)
        else:
            self._over.discard(target.vm)
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

    def _draw(self, excluded: Collection[str]) -> Target:
        candidate = self._rng.choice(self._open)
        tries = SEARCH_TRIES if excluded else 0
        while tries and candidate.vm in excluded:
            candidate = self._rng.choice(self._open)
            tries -= 1
        return candidate
