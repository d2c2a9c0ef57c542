"""Generated histories of a hall that check the budgets of its pools."""

from __future__ import annotations

import dataclasses

from rackvalve.fleet import record
from rackvalve.fleet import transitions
from rackvalve.fleet import waves

POOLS = ("p", "q")
VMS = 8
BUDGETS = {"p": 2, "q": 1}


def make_hall(vms, racks=3, pools=("p",)):
    targets = {
        f"vm-{n}": record.Target(
            pool=pools[n % len(pools)],
            host="h",
            port=1,
            slots=1,
            rack=f"r{n % racks}",
        )
        for n in range(vms)
    }
    epoch = record.Epoch(since=0.0, entries=["a"])
    division = record.Division(epochs=[epoch], addresses={"a": "x"})
    return record.Hall(targets=targets, division=division)


def count_serving(hall, pool, down):
    return transitions.count_available(hall, pool, down)


class FleetHistory:
    """Random orders, steps, failures and returns in one hall.

    :param source: Source of random numbers.
    :param naive: Whether to empty whole racks without regard to budgets.
    """

    def __init__(self, source, naive):
        self.source = source
        self.naive = naive
        self.hall = make_hall(VMS, pools=POOLS)
        self.down = set()
        self.broken = False

    def run(self, length):
        """Run random events and check the hall after each."""
        events = [
            self._order_wave,
            self._step,
            self._step,
            self._acknowledge,
            self._acknowledge,
            self._come_back,
            self._fail,
            self._recover,
            self._drain,
            self._move,
        ]
        for _ in range(length):
            before = self.hall
            self.source.choice(events)()
            self._check(before)

    def _pick(self):
        return f"vm-{self.source.randrange(VMS)}"

    def _apply(self, outcome):
        if isinstance(outcome, transitions.Changed):
            self.hall = outcome.hall

    def _order_wave(self):
        vms = {self._pick() for _ in range(4)}
        name = f"w{len(self.hall.waves)}"
        self._apply(waves.order_wave(self.hall, name, vms, 0.0))

    def _step(self):
        if self.naive:
            self._step_rack()
            return
        self._apply(waves.step_waves(self.hall, BUDGETS, self.down))

    def _step_rack(self):
        rack = f"r{self.source.randrange(3)}"
        for vm, target in self.hall.targets.items():
            if target.rack == rack and target.state is record.State.SERVING:
                leaving = dataclasses.replace(
                    target, state=record.State.REVOKING
                )
                self.hall = transitions.put_target(self.hall, vm, leaving)

    def _acknowledge(self):
        report = record.Report(
            vm="a", incarnation="i", address="x", hall_revision=1
        )
        changed, _ = transitions.step(self.hall, 1, {"a": report}, ["a"], 0.0)
        if changed is not None:
            self.hall = changed.hall

    def _come_back(self):
        self._apply(transitions.order_return(self.hall, self._pick()))

    def _fail(self):
        self.down.add(self._pick())

    def _recover(self):
        self.down.discard(self._pick())

    def _drain(self):
        vm = self._pick()
        budget = BUDGETS[self.hall.targets[vm].pool]
        self._apply(
            transitions.order_drain(
                self.hall, vm, budget=budget, unavailable=self.down
            )
        )

    def _move(self):
        vm = self._pick()
        budget = BUDGETS[self.hall.targets[vm].pool]
        self._apply(
            transitions.order_move(
                self.hall,
                vm,
                self.source.choice(POOLS),
                budget=budget,
                unavailable=self.down,
            )
        )

    def _check(self, before):
        assert set(self.hall.targets) == set(before.targets)
        for pool, budget in BUDGETS.items():
            had = count_serving(before, pool, self.down)
            has = count_serving(self.hall, pool, self.down)
            # A failure may take a pool below its budget; an order may not.
            if has < had and has < budget:
                self.broken = True
