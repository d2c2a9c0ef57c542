"""All interleavings of two owners' commits, by the product's own judgement.

Two records and a store that carries out each call once, at any later time, or
never.  The first owner writes each record twice; a second one takes over at
any moment, knows the revision of the first record only, and writes both.  A
bounded number of answers is lost.  A variant leaves one condition out.
"""

from __future__ import annotations

import collections
import dataclasses

from rackvalve.manager import commit as commits
from rackvalve.platform import store as stores

OWNERSHIP = "o"
KEYS = ("a", "b")
# Revision of the second owner's key: above all that the first one writes.
FENCE = 1000
# What each owner writes to each record, in order.
VERSIONS = {1: (b"1.1", b"1.2"), 2: (b"2.1",)}


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """A commit on its way to the store.

    :param owner: Which owner sent it.
    :param key: The record.
    :param payload: Its value.
    :param conditions: Keys and the revisions that they must have.
    """

    owner: int
    key: str
    payload: bytes
    conditions: tuple[tuple[str, int], ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Sender:
    """What one owner knows of one record.

    :param written: How many versions it knows to be in the store.
    :param revision: The record's revision; ``None`` if it is not known.
    :param call: The try whose answer it waits for.
    :param answer: That answer: the revision that was written, 0 for none,
        and the store's items if a condition did not hold.
    """

    written: int = 0
    revision: int | None = None
    call: Call | None = None
    answer: tuple[int, tuple[tuple[str, int, bytes], ...]] | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class World:
    """One state.

    :param items: The store's items: key, revision, value.
    :param revision: The store's last revision.
    :param calls: Calls that may still be carried out.
    :param senders: Owner, key and what the owner knows of it.
    :param losses: Answers that may still be lost.
    """

    items: tuple[tuple[str, int, bytes], ...]
    revision: int
    calls: tuple[Call, ...]
    senders: tuple[tuple[int, str, Sender], ...]
    losses: int


class Explorer:
    """Walks through all states.

    :param without: The key whose condition is left out: a record's with
        ``record``, the ownership's with ``ownership``, none if empty.
    :param losses: How many answers may be lost.
    """

    def __init__(self, without: str, losses: int) -> None:
        self._without = without
        first = ((OWNERSHIP, 1, b"1"),)
        # What the first owner has read of an empty store.
        senders = tuple((1, key, Sender(revision=0)) for key in KEYS)
        self._start = World(first, 1, (), senders, losses)
        self.seen: set[World] = set()
        self.violations: collections.Counter[str] = collections.Counter()

    def run(self) -> None:
        """Visit all states, or as many as lead to a violation."""
        waiting = [self._start]
        while waiting and not self.violations:
            world = waiting.pop()
            if world in self.seen:
                continue
            self.seen.add(world)
            waiting.extend(self._follow(world))

    def _follow(self, world):
        """Return the states that may come next."""
        found = []
        for place, (owner, key, sender) in enumerate(world.senders):
            if sender.call is None:
                if sender.written < len(VERSIONS[owner]):
                    found.append(self._send(world, place, owner, key, sender))
                continue
            if sender.answer is not None:
                found.append(self._deliver(world, place, owner, key, sender))
            if world.losses:
                # Whatever becomes of this try, it is made again.
                fewer = dataclasses.replace(world, losses=world.losses - 1)
                found.append(self._send(fewer, place, owner, key, sender))
        for call in dict.fromkeys(world.calls):
            found.append(self._carry_out(world, call))
        if len(world.senders) == len(KEYS):
            found.append(self._take_over(world))
        return [state for state in found if state is not None]

    def _make_commit(self, owner, key, sender):
        fence = 1 if owner == 1 else FENCE
        revisions = commits.Revisions()
        if sender.revision is not None:
            revisions.set(key, sender.revision)
        payload = VERSIONS[owner][sender.written]
        commit = commits.Commit(
            stores.Condition(key=OWNERSHIP, revision=fence),
            {key: payload},
            revisions,
        )
        return commit, revisions

    def _send(self, world, place, owner, key, sender):
        commit, _ = self._make_commit(owner, key, sender)
        conditions = tuple(
            (condition.key, condition.revision)
            for condition in commit.make_conditions()
            if not self._is_left_out(condition.key)
        )
        call = Call(owner, key, commit.payloads[key], conditions)
        waiting = dataclasses.replace(sender, call=call, answer=None)
        return dataclasses.replace(
            _set_sender(world, place, waiting), calls=(*world.calls, call)
        )

    def _is_left_out(self, key):
        left_out = {"record": KEYS, "ownership": (OWNERSHIP,), "": ()}
        return key in left_out[self._without]

    def _carry_out(self, world, call):
        calls = list(world.calls)
        calls.remove(call)
        items = {key: (rev, payload) for key, rev, payload in world.items}
        held = all(
            items.get(key, (0, b""))[0] == revision
            for key, revision in call.conditions
        )
        revision = world.revision
        if held:
            if items.get(call.key, (0, b""))[1] > call.payload:
                self.violations["a record went back"] += 1
            revision += 1
            items[call.key] = (revision, call.payload)
        stored = tuple(sorted((k, r, p) for k, (r, p) in items.items()))
        world = dataclasses.replace(
            world, calls=tuple(calls), items=stored, revision=revision
        )
        answer = (revision, ()) if held else (0, stored)
        for place, (_, _, sender) in enumerate(world.senders):
            if sender.call == call and sender.answer is None:
                told = dataclasses.replace(sender, answer=answer)
                return _set_sender(world, place, told)
        return world

    def _deliver(self, world, place, owner, key, sender):
        commit, revisions = self._make_commit(owner, key, sender)
        revision, items = sender.answer
        result = commits.ConflictOutcome.WRITTEN
        if revision:
            commit.record_committed(revision)
        else:
            found = {
                name: stores.Item(
                    key=name, revision=rev, payload=payload, created=rev
                )
                for name, rev, payload in items
            }
            result = commit.resolve_conflict(stores.Conflict(items=found))
        if result is commits.ConflictOutcome.DEPOSED:
            if owner == max(number for number, _, _ in world.senders):
                self.violations["the only owner is deposed"] += 1
            return None
        done = sender.written
        if result is commits.ConflictOutcome.WRITTEN:
            done += 1
            now = {name: payload for name, _, payload in world.items}
            if now.get(key, b"") < commit.payloads[key]:
                self.violations["a written record is not there"] += 1
        known = Sender(written=done, revision=revisions.find(key))
        return _set_sender(world, place, known)

    def _take_over(self, world):
        items = {name: row for name, *row in world.items}
        revision = items["a"][0] if "a" in items else 0
        items[OWNERSHIP] = [FENCE, b"2"]
        stored = tuple(sorted((k, r, p) for k, (r, p) in items.items()))
        second = (
            (2, "a", Sender(revision=revision)),
            (2, "b", Sender()),
        )
        return dataclasses.replace(
            world,
            items=stored,
            revision=FENCE,
            senders=world.senders + second,
        )


def _set_sender(world, place, sender):
    senders = list(world.senders)
    owner, key, _ = senders[place]
    senders[place] = (owner, key, sender)
    return dataclasses.replace(world, senders=tuple(senders))
