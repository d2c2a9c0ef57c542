"""Model checker for all interleavings of two owners' commits.

Used by the commit steps; conflicts are resolved by the product's own code.
There are two records, and a store that applies each call once, at any later
time, or never.  The first owner writes each record twice.  A second owner
takes over at any moment, knows the revision of the first record only, and
writes both.  A bounded number of answers is lost.  A variant leaves one
condition out.
"""

from __future__ import annotations

import collections
import dataclasses

from rackvalve.manager.owner import commit as commits
from rackvalve.platform import store as stores

OWNERSHIP = "o"
KEYS = ("a", "b")
# Revision of the second owner's key: above all revisions of the first's
# writes.
FENCE = 1000
# What each owner writes to each record, in order.
VERSIONS = {1: (b"1.1", b"1.2"), 2: (b"2.1",)}


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """A commit in flight.

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
    """One owner's knowledge of one record.

    :param written: How many versions it knows to be in the store.
    :param revision: The record's revision; ``None`` if it is not known.
    :param call: The attempt whose answer it waits for.
    :param answer: That answer: the revision that was written, 0 for none,
        and the store's items if a condition did not hold.
    """

    written: int = 0
    revision: int | None = None
    call: Call | None = None
    answer: tuple[int, tuple[tuple[str, int, bytes], ...]] | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class State:
    """One state of the model.

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
    """Explores all states of the model.

    :param without: The key whose condition is left out: a record's with
        ``record``, the ownership's with ``ownership``, none if empty.
    :param losses: How many answers may be lost.
    """

    def __init__(self, without: str, losses: int) -> None:
        self._without = without
        first = ((OWNERSHIP, 1, b"1"),)
        # The first owner has read the empty store.
        senders = tuple((1, key, Sender(revision=0)) for key in KEYS)
        self._start = State(first, 1, (), senders, losses)
        self.seen: set[State] = set()
        self.violations: collections.Counter[str] = collections.Counter()

    def run(self) -> None:
        """Visit all states, or as many as lead to a violation."""
        waiting = [self._start]
        while waiting and not self.violations:
            state = waiting.pop()
            if state in self.seen:
                continue
            self.seen.add(state)
            waiting.extend(self._find_successors(state))

    def _find_successors(self, state):
        """Return the states that may come next."""
        found = []
        for place, (owner, key, sender) in enumerate(state.senders):
            if sender.call is None:
                if sender.written < len(VERSIONS[owner]):
                    found.append(self._send(state, place, owner, key, sender))
                continue
            if sender.answer is not None:
                found.append(self._deliver(state, place, owner, key, sender))
            if state.losses:
                # The answer is lost, so the attempt is repeated whether or
                # not it takes effect.
                fewer = dataclasses.replace(state, losses=state.losses - 1)
                found.append(self._send(fewer, place, owner, key, sender))
        for call in dict.fromkeys(state.calls):
            found.append(self._apply_call(state, call))
        if len(state.senders) == len(KEYS):
            found.append(self._take_over(state))
        return [following for following in found if following is not None]

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

    def _send(self, state, place, owner, key, sender):
        commit, _ = self._make_commit(owner, key, sender)
        conditions = tuple(
            (condition.key, condition.revision)
            for condition in commit.make_conditions()
            if not self._is_left_out(condition.key)
        )
        call = Call(owner, key, commit.payloads[key], conditions)
        waiting = dataclasses.replace(sender, call=call, answer=None)
        return dataclasses.replace(
            _set_sender(state, place, waiting), calls=(*state.calls, call)
        )

    def _is_left_out(self, key):
        left_out = {"record": KEYS, "ownership": (OWNERSHIP,), "": ()}
        return key in left_out[self._without]

    def _apply_call(self, state, call):
        calls = list(state.calls)
        calls.remove(call)
        items = {key: (rev, payload) for key, rev, payload in state.items}
        held = all(
            items.get(key, (0, b""))[0] == revision
            for key, revision in call.conditions
        )
        revision = state.revision
        if held:
            if items.get(call.key, (0, b""))[1] > call.payload:
                self.violations["a record went back"] += 1
            revision += 1
            items[call.key] = (revision, call.payload)
        stored = tuple(sorted((k, r, p) for k, (r, p) in items.items()))
        state = dataclasses.replace(
            state, calls=tuple(calls), items=stored, revision=revision
        )
        answer = (revision, ()) if held else (0, stored)
        for place, (_, _, sender) in enumerate(state.senders):
            if sender.call == call and sender.answer is None:
                told = dataclasses.replace(sender, answer=answer)
                return _set_sender(state, place, told)
        return state

    def _deliver(self, state, place, owner, key, sender):
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
            if owner == max(number for number, _, _ in state.senders):
                self.violations["the only owner is deposed"] += 1
            return None
        done = sender.written
        if result is commits.ConflictOutcome.WRITTEN:
            done += 1
            now = {name: payload for name, _, payload in state.items}
            if now.get(key, b"") < commit.payloads[key]:
                self.violations["a written record is not there"] += 1
        known = Sender(written=done, revision=revisions.find(key))
        return _set_sender(state, place, known)

    def _take_over(self, state):
        items = {name: row for name, *row in state.items}
        revision = items["a"][0] if "a" in items else 0
        items[OWNERSHIP] = [FENCE, b"2"]
        stored = tuple(sorted((k, r, p) for k, (r, p) in items.items()))
        second = (
            (2, "a", Sender(revision=revision)),
            (2, "b", Sender()),
        )
        return dataclasses.replace(
            state,
            items=stored,
            revision=FENCE,
            senders=state.senders + second,
        )


def _set_sender(state, place, sender):
    senders = list(state.senders)
    owner, key, _ = senders[place]
    senders[place] = (owner, key, sender)
    return dataclasses.replace(state, senders=tuple(senders))
