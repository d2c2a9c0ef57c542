"""Draws the faults of a run from its seed."""

from __future__ import annotations

import dataclasses
import random

# Kinds of faults, with their weight and their shortest and longest duration in
# seconds.
KINDS = {
    "manager killed": (3, 0.3, 2.0),
    "manager frozen": (3, 0.5, 6.0),
    "manager stopped": (3, 0.1, 1.0),
    "manager reloaded": (1, 0.0, 0.0),
    "owner killed": (3, 0.3, 2.0),
    "owner frozen": (3, 0.5, 6.0),
    "owner stopped": (2, 0.1, 1.0),
    "all killed": (1, 0.3, 1.0),
    "store link delayed": (1, 0.5, 4.0),
    "store link silent": (3, 0.5, 6.0),
    "store link one way": (2, 0.5, 5.0),
    "store link reset": (2, 0.1, 3.0),
    "worker link delayed": (1, 0.5, 4.0),
    "worker link silent": (3, 0.5, 6.0),
    "worker link one way": (3, 0.5, 5.0),
    "worker link reset": (2, 0.1, 2.0),
    "worker crashed": (3, 0.5, 3.0),
    "worker late": (2, 0.5, 3.0),
    "store busy": (2, 0.3, 3.0),
    "store silent": (2, 0.3, 3.0),
    "store slow": (2, 0.5, 4.0),
    "store lost": (2, 0.3, 2.5),
    "store forgets": (2, 0.0, 0.0),
    "owner robbed": (2, 0.0, 0.0),
    "configuration": (3, 0.0, 0.0),
    "wave": (1, 0.0, 0.0),
}
# Kinds that only bursts have, and changed weights in bursts.
BURST_KINDS = {
    **KINDS,
    "owner starved": (3, 2.0, 8.0),
    "owners stopped": (3, 3.0, 11.0),
    "owners frozen": (3, 3.0, 11.0),
    "worker crashed and silent": (3, 0.5, 3.0),
    "worker unlisted": (3, 0.5, 3.0),
    "worker lost": (3, 1.5, 4.0),
    "wave": (8, 0.0, 0.0),
}
# Kinds that are drawn only if they are named, so that the seeds of the other
# kinds still draw the same faults.
NAMED_KINDS = {
    **BURST_KINDS,
    "job crashing": (6, 10.0, 14.0),
    "worker restarted": (8, 0.05, 2.5),
    "all workers restarted": (2, 0.05, 1.0),
    "worker late calls": (3, 0.5, 3.0),
    "worker silent": (4, 2.0, 7.0),
    "worker closing": (4, 2.0, 7.0),
    "worker stuttering": (4, 2.0, 7.0),
    "store closing": (3, 1.0, 6.0),
    "store stuttering": (3, 1.0, 6.0),
    "hall evacuated": (6, 3.0, 12.0),
    "managers rejected": (6, 4.0, 9.0),
    "rack down": (4, 2.0, 7.0),
    "configurations": (8, 0.5, 4.0),
    "configuration invalid": (3, 0.1, 3.0),
    "power lost": (2, 0.3, 2.0),
    "worker unhandled": (4, 6.0, 12.0),
    "manager crowded": (6, 2.0, 6.0),
}
# With one of these, workers that jobs crash also keep their names.
RESTARTS = frozenset({"worker restarted", "all workers restarted"})
# With one of these, VMs are in several halls and evacuation is switched on.
EVACUATIONS = frozenset({"hall evacuated"})
# With one of these, VMs are in several racks, which are failure domains.
RACKS = frozenset({"rack down"})
# With one of these, managers relay requests to each other.
RELAYED = frozenset({"managers rejected"})
# With one of these, managers have defects that the run switches on.
DEFECTS = frozenset({"worker unhandled"})
# With one of these, clients misbehave and the managers' memory is watched.
CROWDS = frozenset({"manager crowded"})
# Faults after which an owner waits for proof that a run has ended, with faults
# that make the next owner restart this wait or learn late what is known.  Half
# of the former are followed by one of the latter.
FOLLOWERS = {
    "worker lost": ("owners frozen", "owners stopped"),
    "worker crashed": ("owners frozen", "owners stopped"),
    "worker crashed and silent": ("owner starved",),
}
FOLLOWER_RATIO = 0.5
# How faults are spread over a run: throughout it, or in bursts with calm times
# between them, in which stalled jobs are detected.
STEADY, BURSTS = "steady", "bursts"
# Length of a burst, and of the time after the end of its last fault, in
# seconds: a restart takes some 4 s, and a wait for proof 8.4 s.
BURST_S = (2.0, 7.0)
CALM_S = (13.0, 16.0)
# Mean interval between two faults, in seconds; their durations overlap.
MEAN_GAP_S = 1.2
# The last fault begins this long before the end, in seconds.
QUIET_END_S = 2.0
# Share of the faults that are repeated, and the longest delay of the
# repetition, in seconds.
REPEAT_RATIO = 0.25
MAX_REPEAT_DELAY_S = 0.6


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Fault:
    """One fault.

    :param at: When it begins, in seconds from the start.
    :param kind: A key of :data:`NAMED_KINDS`.
    :param length: Its duration, in seconds.
    :param draw: Chooses its place, from 0 to 1.
    """

    at: float
    kind: str
    length: float
    draw: float

    @property
    def until(self):
        """When it ends, in seconds from the start."""
        return self.at + self.length


def draw_faults(seed, seconds, shape=STEADY, only=()):
    """Return the faults of a run, by their beginning.

    :param seed: The run's seed.
    :param seconds: Its duration.
    :param shape: :data:`STEADY` or :data:`BURSTS`.
    :param only: Kinds that bursts are drawn from; all of them if empty.
    """
    rng = random.Random(seed)
    last = seconds - QUIET_END_S
    if shape == STEADY:
        return _draw_burst(rng, KINDS, rng.uniform(0.2, 1.0), last)
    known = {kind: NAMED_KINDS[kind] for kind in only} or BURST_KINDS
    found = []
    at = rng.uniform(0.2, 1.0)
    while at < last:
        end = min(last, at + rng.uniform(*BURST_S))
        burst = _draw_burst(rng, known, at, end)
        burst += _draw_followers(rng, burst)
        found += sorted(burst, key=lambda fault: fault.at)
        at = max(fault.until for fault in burst) + rng.uniform(*CALM_S)
    return found


def _draw_burst(rng, known, at, last):
    """Return the faults between two times, by their beginning."""
    kinds = list(known)
    weights = [known[kind][0] for kind in kinds]
    found = []
    while at < last:
        kind = rng.choices(kinds, weights)[0]
        fault = _draw_fault(rng, known, kind, at)
        found.append(fault)
        if rng.random() < REPEAT_RATIO:
            later = at + rng.uniform(0, MAX_REPEAT_DELAY_S)
            found.append(_draw_fault(rng, known, kind, later))
        at += rng.expovariate(1 / MEAN_GAP_S)
    return sorted(found, key=lambda fault: fault.at)


def _draw_followers(rng, burst):
    """Return faults that follow some of the faults of a burst."""
    followers = []
    for fault in burst:
        if fault.kind in FOLLOWERS and rng.random() < FOLLOWER_RATIO:
            kind = rng.choice(FOLLOWERS[fault.kind])
            later = fault.at + rng.uniform(0, fault.length)
            followers.append(_draw_fault(rng, BURST_KINDS, kind, later))
    return followers


def _draw_fault(rng, known, kind, at):
    _, least, most = known[kind]
    return Fault(
        at=at,
        kind=kind,
        length=rng.uniform(least, most),
        draw=rng.random(),
    )
