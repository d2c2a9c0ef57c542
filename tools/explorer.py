"""Explores all interleavings of a small model over the pure core.

The model: a few entry VMs, each with a steward and an entry, one or two
targets of one slot, and the platform's record of the hall.  Reports and
answers of writes may be lost or late; stewards act at once; VMs restart
without state and read documents from the platform or from a peer.  Each
action is one step of one process, and the product's own functions decide.  A
variant omits one part of the rule.
"""

from __future__ import annotations

import collections
import dataclasses

from rackvalve.fleet import record
from rackvalve.fleet import shares
from rackvalve.fleet import transitions

TARGET = "t"
SLOTS = 1


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Variant:
    """Which parts of the rule are kept.

    :param revoke: Whether a drain revokes before the target is away.
    :param acknowledge: Whether a step waits for acknowledgements.
    :param confirm: Whether holders are asked again before the write.
    :param trust: Whether a VM that starts anew trusts any peer's copy.
    :param shrink: Whether shares shrink while entries change.
    """

    revoke: bool = True
    acknowledge: bool = True
    confirm: bool = True
    trust: bool = True
    shrink: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Vm:
    """One entry VM.

    :param copy: Revision of the steward's copy; 0 for none.
    :param applied: Revision in force at the entry; 0 for none.
    :param round: Name of the newest round that the entry knows.
    :param busy: Jobs that the entry has on the target.
    :param heard: VMs whose newest documents the steward has read since its
        start; ``*`` for the platform.
    """

    copy: int = 0
    applied: int = 0
    round: str = ""
    busy: int = 0
    heard: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class Steward:
    """State of an acting steward.

    :param reports: Last report of each entry: VM, revision, busy, round.
    :param asked: Revision and round of the pending confirmation.
    :param number: Number of rounds that it has begun.
    """

    reports: tuple[tuple[str, int, int, str], ...] = ()
    asked: tuple[int, str] | None = None
    number: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class World:
    """One state of the model.

    :param vms: The entry VMs by name.
    :param stewards: State of their stewards.
    :param latest: Newest revision on the platform.
    :param restarts: Restarts left.
    :param orders: Drains left to order.
    """

    vms: tuple[tuple[str, Vm], ...]
    stewards: tuple[tuple[str, Steward], ...]
    latest: int
    restarts: int
    orders: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Found:
    """Result of an exploration.

    :param states: Number of states reached.
    :param violation: The violation, empty if none was found.
    :param path: Actions that lead to it.
    """

    states: int
    violation: str
    path: tuple[str, ...] = ()


class Explorer:
    """Explores one model breadth first.

    :param variant: Which parts of the rule are kept.
    :param members: Entries that divide the slots at the start.
    :param joining: Entry VMs that want to join.
    :param bystanders: VMs whose stewards only keep and serve copies.
    :param restarts: How often a VM may restart.
    :param orders: How many drains may be ordered.
    :param acting: VMs whose stewards may act; all of them by default.
    :param working: VMs that start jobs; all members by default.
    :param rounds: How often a steward may ask for confirmation.
    """

    def __init__(
        self,
        variant,
        *,
        members,
        joining=(),
        bystanders=(),
        restarts=1,
        orders=1,
        acting=None,
        rounds=2,
        working=None,
    ):
        self.variant = variant
        self.members = tuple(members)
        self.joining = tuple(joining)
        self.bystanders = tuple(bystanders)
        self.restarts = restarts
        self.orders = orders
        self.acting = acting or (*self.members, *self.joining)
        self.rounds = rounds
        self.working = working or (*self.members, *self.joining)
        self.records = [None]
        self.numbers = {}

    def run(self, limit=2_000_000):
        """Explore until all states are reached or one violates the rule."""
        first = self._make_first()
        parents = {first: None}
        waiting = collections.deque([first])
        while waiting:
            world = waiting.popleft()
            bad = self._find_violation(world)
            if bad:
                return Found(
                    states=len(parents),
                    violation=bad,
                    path=_read_path(parents, world),
                )
            for name, following in self._list_actions(world):
                if following not in parents:
                    parents[following] = (world, name)
                    waiting.append(following)
            if len(parents) > limit:
                raise RuntimeError(f"more than {limit} states")
        return Found(states=len(parents), violation="")

    def _make_first(self):
        epoch = record.Epoch(since=0.0, entries=sorted(self.members))
        target = record.Target(pool="p", host="h", port=1, slots=SLOTS)
        hall = record.Hall(
            targets={TARGET: target},
            division=record.Division(
                epochs=[epoch],
                addresses={vm: "a" for vm in self.members},
            ),
        )
        latest = self._store(hall, 0)
        everyone = (*self.members, *self.joining, *self.bystanders)
        start = Vm(copy=latest, applied=latest, heard=frozenset("*"))
        return World(
            tuple(
                (vm, Vm() if vm in self.joining else start) for vm in everyone
            ),
            tuple((vm, Steward()) for vm in everyone),
            latest,
            self.restarts,
            self.orders,
        )

    def _store(self, hall, after):
        """Return the revision of a record that follows another one."""
        key = (after, repr(hall))
        if key not in self.numbers:
            self.records.append(hall)
            self.numbers[key] = len(self.records) - 1
        return self.numbers[key]

    def _list_actions(self, world):
        yield from self._list_orders(world)
        for index, (vm, state) in enumerate(world.vms):
            yield from self._list_entry_actions(world, index, vm, state)
            yield from self._list_steward_actions(world, index, vm, state)

    def _list_orders(self, world):
        hall = self.records[world.latest]
        if not world.orders:
            return
        ordered = transitions.order_drain(
            hall, TARGET, budget=0, unavailable=()
        )
        if not isinstance(ordered, transitions.Changed):
            return
        changed = ordered.hall
        if not self.variant.revoke:
            changed = _set_state(changed, record.State.AWAY)
        revision = self._store(changed, world.latest)
        yield (
            "order drain",
            dataclasses.replace(
                world, latest=revision, orders=world.orders - 1
            ),
        )

    def _list_entry_actions(self, world, index, vm, state):
        if vm in self.bystanders:
            return
        if state.applied < state.copy and self._is_trusted(vm, state):
            changed = dataclasses.replace(state, applied=state.copy)
            yield f"{vm} applies", _put(world, index, changed)
        works = vm in self.working
        if works and state.busy < self._count_share(vm, state.applied):
            changed = dataclasses.replace(state, busy=state.busy + 1)
            yield f"{vm} starts a job", _put(world, index, changed)
        if state.busy:
            changed = dataclasses.replace(state, busy=state.busy - 1)
            yield f"{vm} ends a job", _put(world, index, changed)
        if world.restarts:
            yield (
                f"{vm} restarts",
                dataclasses.replace(
                    _put_steward(_put(world, index, Vm()), index, Steward()),
                    restarts=world.restarts - 1,
                ),
            )

    def _list_steward_actions(self, world, index, vm, state):
        if state.copy < world.latest or "*" not in state.heard:
            changed = dataclasses.replace(
                state, copy=world.latest, heard=state.heard | {"*"}
            )
            yield f"{vm} reads the platform", _put(world, index, changed)
        for peer, other in world.vms:
            if peer == vm or not self._is_trusted(peer, other):
                continue
            changed = dataclasses.replace(
                state,
                copy=max(state.copy, other.copy),
                heard=state.heard | {peer},
            )
            if changed != state:
                yield f"{vm} takes from {peer}", _put(world, index, changed)
        if vm in self.acting:
            yield from self._list_acting_actions(world, index, vm, state)

    def _list_acting_actions(self, world, index, vm, state):
        memory = world.stewards[index][1]
        if not state.copy:
            return
        for other_index, (peer, other) in enumerate(world.vms):
            report = (peer, other.applied, other.busy, other.round)
            known = [old for old in memory.reports if old[0] != peer]
            reports = tuple(sorted([*known, report]))
            if peer in self.bystanders:
                continue
            if reports != memory.reports and other.applied:
                changed = dataclasses.replace(memory, reports=reports)
                yield (
                    f"{vm} hears {peer}",
                    _put_steward(world, index, changed),
                )
            if memory.asked is not None and other.round != memory.asked[1]:
                heard = dataclasses.replace(other, round=memory.asked[1])
                yield (
                    f"{peer} hears round of {vm}",
                    _put(world, other_index, heard),
                )
        yield from self._list_steps(world, index, vm, state, memory)

    def _list_steps(self, world, index, vm, state, memory):
        hall = self.records[state.copy]
        reports = self._make_reports(memory, state.copy)
        changed, _ = transitions.step(hall, state.copy, reports, None, 0.0)
        if changed is None and not self.variant.acknowledge:
            changed = _skip_wait(hall)
        if changed is None:
            changed = self._propose_join(hall, reports)
        if changed is None:
            return
        if self.variant.confirm:
            if memory.asked is None or memory.asked[0] != state.copy:
                if memory.number < self.rounds:
                    number = memory.number + 1
                    name = f"{vm}{number}"
                    asking = dataclasses.replace(
                        memory, asked=(state.copy, name), number=number
                    )
                    yield (
                        f"{vm} begins a round",
                        _put_steward(world, index, asking),
                    )
                return
            if transitions.list_unconfirmed(
                hall, None, reports, memory.asked[1]
            ):
                return
        if state.copy != world.latest:
            # The compare-and-swap fails, and nothing changes except that the
            # confirmation is requested again.
            return
        revision = self._store(changed.hall, world.latest)
        written = dataclasses.replace(world, latest=revision)
        forgets = dataclasses.replace(memory, asked=None)
        yield (
            f"{vm} writes, answer lost: {changed.note}",
            _put_steward(written, index, forgets),
        )

    def _make_reports(self, memory, revision):
        reports = {}
        for vm, applied, busy, number in memory.reports:
            share = self._count_share(vm, applied)
            over = [TARGET] if busy > share else []
            reports[vm] = record.Report(
                vm=vm,
                incarnation="i",
                address="a",
                hall_revision=applied,
                busy=over if share == 0 else [],
                excess=over if share else [],
                round=number,
            )
        return reports

    def _propose_join(self, hall, reports):
        """Propose entries as the product does, with all VMs listed."""
        if hall.division.next_entries is not None or not self.joining:
            return None
        wanted = sorted({*hall.division.entries, *reports})
        if wanted == hall.division.entries:
            return None
        division = dataclasses.replace(
            hall.division,
            next_entries=wanted,
            addresses={vm: "a" for vm in wanted},
        )
        return transitions.Changed(
            hall=dataclasses.replace(hall, division=division),
            note="entries to be " + ",".join(wanted),
        )

    def _count_share(self, vm, revision):
        if not revision:
            return 0
        hall = self.records[revision]
        target = hall.targets[TARGET]
        if target.state is not record.State.SERVING:
            return 0
        division = hall.division
        if not self.variant.shrink and division.next_entries is not None:
            return shares.divide(TARGET, SLOTS, division.next_entries, vm)
        return shares.compute_share(division, TARGET, SLOTS, vm)

    def _is_trusted(self, vm, state):
        if not state.copy:
            return False
        if not self.variant.trust or "*" in state.heard:
            return True
        hall = self.records[state.copy]
        return any(
            transitions.may_serve_copy(hall, vm, source)
            for source in state.heard
        )

    def _find_violation(self, world):
        hall = self.records[world.latest]
        busy = sum(state.busy for _, state in world.vms)
        if busy > SLOTS:
            return f"{busy} jobs on {SLOTS} slot"
        if hall.targets[TARGET].state is record.State.AWAY and busy:
            return "a job runs on a target that is away"
        return ""


def _set_state(hall, state):
    target = dataclasses.replace(hall.targets[TARGET], state=state)
    return dataclasses.replace(hall, targets={TARGET: target})


def _skip_wait(hall):
    """Proceed without acknowledgements, as after an expired lease."""
    if hall.targets[TARGET].state is record.State.REVOKING:
        away = _set_state(hall, record.State.AWAY)
        return transitions.Changed(hall=away, note="away unacknowledged")
    return None


def _put(world, index, state):
    vms = list(world.vms)
    vms[index] = (vms[index][0], state)
    return dataclasses.replace(world, vms=tuple(vms))


def _put_steward(world, index, memory):
    stewards = list(world.stewards)
    stewards[index] = (stewards[index][0], memory)
    return dataclasses.replace(world, stewards=tuple(stewards))


def _read_path(parents, world):
    path = []
    while parents[world] is not None:
        world, name = parents[world]
        path.append(name)
    return tuple(reversed(path))
