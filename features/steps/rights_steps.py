"""Steps about idempotency keys, slot shares and explored models."""

from __future__ import annotations

import random

import behave
import hypothesis
from hypothesis import strategies

from rackvalve.fleet import record
from rackvalve.fleet import shares
from rackvalve import outcomes
from rackvalve.requests import keys
from rackvalve.steward import keeper as keepers
from rackvalve.steward import stepper as steppers
from tools.baselines import keys as naive_keys
from tools import explorer

POLICY = keys.Policy(lifetime=600.0, skew=1.0)
ENTRIES = ["a", "b", "c"]
REGISTRIES = {
    "right": keys.KeyRegistry,
    "naive": naive_keys.MemoryRegistry,
}
MODELS = {
    "two stewards act at once": {
        "members": ("a", "b"),
        "restarts": 0,
        "rounds": 1,
    },
    "a VM restarts while draining": {
        "members": ("a", "b"),
        "restarts": 1,
        "acting": ("a",),
    },
    "an entry joins": {
        "members": ("a",),
        "joining": ("b",),
        "restarts": 0,
        "orders": 0,
        "acting": ("a",),
    },
    "an old copy beside a newer": {
        "members": ("a", "b"),
        "bystanders": ("c",),
        "working": ("b",),
        "rounds": 1,
        "restarts": 1,
        "acting": ("a",),
    },
}

KEY_ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["claim", "claim", "claim", "restart", "change", "settle", "wait"]
        ),
        strategies.integers(0, 4),
        strategies.integers(0, 2),
    ),
    max_size=40,
)


def make_key(created, number):
    """Make an idempotency key (UUIDv7) of a given time, in seconds."""
    value = (int(created * 1000) << 80) | (7 << 76) | (2 << 62) | number
    text = f"{value:032x}"
    return "-".join(
        (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    )


class KeyHistory:
    """Random claims of keys at entries that restart, join and leave."""

    def __init__(self, kind):
        self.kind = kind
        self.now = 1000.0
        self.epochs = [record.Epoch(since=0.0, entries=list(ENTRIES))]
        self.registries = {vm: self.make(vm, 0.0) for vm in ENTRIES}
        self.keys = []
        self.granted = {}
        self.twice = False

    def make(self, vm, started):
        """Make the key registry of an entry that has just started."""
        return REGISTRIES[self.kind](vm, started=started, policy=POLICY)

    def run(self, actions):
        """Run actions; return whether a key was granted twice."""
        for number, (action, key, vm) in enumerate(actions):
            self.now += 0.7
            if action == "claim":
                self._claim(key, vm, number)
            elif action == "restart":
                name = ENTRIES[vm]
                self.registries[name] = self.make(name, self.now)
            elif action == "change":
                self._change(vm)
            elif action == "settle":
                self._settle(key)
            else:
                self.now += 5.0
        return self.twice

    def _get_key(self, index):
        while len(self.keys) <= index:
            self.keys.append(make_key(self.now, len(self.keys)))
        if index == 4:
            self.keys[4] = make_key(self.now - 0.9, 1000 + int(self.now))
        return self.keys[index]

    def _claim(self, index, vm, number):
        # A caller's load balancer may send the claim to any entry.
        key = self._get_key(index)
        division = record.Division(epochs=self.epochs)
        claim = self.registries[ENTRIES[vm]].claim(
            division, "ws", key, f"claim-{number}", self.now
        )
        if isinstance(claim, keys.Granted):
            if key in self.granted:
                self.twice = True
            self.granted[key] = (ENTRIES[vm], f"claim-{number}")

    def _settle(self, index):
        key = self._get_key(index)
        if key not in self.granted:
            return
        vm, claimant = self.granted[key]
        self.registries[vm].settle("ws", key, claimant, "served", "r")

    def _change(self, vm):
        present = set(self.epochs[-1].entries)
        present ^= {ENTRIES[vm]}
        if present:
            epoch = record.Epoch(since=self.now, entries=sorted(present))
            self.epochs = [*self.epochs, epoch][-8:]


@behave.when("{count:d} generated key histories run on the {kind} registry")
def run_key_histories(context, count, kind):
    context.twice = False
    context.ran = 0

    @hypothesis.settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(KEY_ACTIONS)
    def check(actions):
        context.ran += 1
        if KeyHistory(kind).run(actions):
            context.twice = True

    check()


@behave.then("no key was granted twice")
def check_not_twice(context):
    assert context.ran >= 1000, context.ran
    assert not context.twice


@behave.then("a key was granted twice")
def check_twice(context):
    assert context.twice


DIVISION = record.Division(epochs=[record.Epoch(since=0.0, entries=["a"])])


@behave.given("an owner that granted a key")
def grant(context):
    context.now = 1000.0
    context.registry = keys.KeyRegistry("a", started=0.0, policy=POLICY)
    context.key = make_key(context.now, 1)
    context.claims = 0
    assert isinstance(claim_again(context), keys.Granted)


def claim_again(context):
    context.claims += 1
    claimant = f"claim-{context.claims}"
    return context.registry.claim(
        DIVISION, "ws", context.key, claimant, context.now
    )


@behave.when('the request is settled as "{outcome}"')
def settle(context, outcome):
    claimant = f"claim-{context.claims}"
    context.registry.settle("ws", context.key, claimant, outcome, "r")


@behave.when('the first claim is settled as "{outcome}" once more')
def settle_first(context, outcome):
    context.registry.settle("ws", context.key, "claim-1", outcome, "r")


@behave.then("the key is granted again")
def check_granted(context):
    assert isinstance(claim_again(context), keys.Granted)


@behave.then('the key is refused for "{reason}"')
def check_key_refused(context, reason):
    claim = claim_again(context)
    assert isinstance(claim, outcomes.Refused), claim
    assert claim.reason.value == reason, claim


@behave.given("an owner that started {seconds:d} seconds ago")
def start_owner(context, seconds):
    context.now = 1000.0
    context.claims = 0
    context.registry = keys.KeyRegistry(
        "a", started=context.now - seconds, policy=POLICY
    )


@behave.when("a key made {age:d} seconds ago is claimed")
def claim_aged(context, age):
    context.key = make_key(context.now - age, 1)


def divide_generated(count, naive):
    """Return the greatest excess of shares over slots in any division mix."""
    source = random.Random(11)
    worst = -(10**9)
    for number in range(count):
        slots = source.randint(1, 16)
        before = sorted(source.sample("abcdef", source.randint(1, 5)))
        after = sorted(source.sample("abcdef", source.randint(1, 5)))
        first = record.Epoch(since=0.0, entries=before)
        second = record.Epoch(since=1.0, entries=after)
        # An entry may know of the change, of its end, or of neither; the
        # change ends only once all old holders know of it.
        old = record.Division(epochs=[first])
        between = record.Division(epochs=[first], next_entries=after)
        new = record.Division(epochs=[first, second])
        mixes = [(old, new)] if naive else [(old, between), (between, new)]
        for mix in mixes:
            total = sum(
                shares.compute_share(
                    source.choice(mix), f"vm-{number}", slots, entry
                )
                for entry in "abcdef"
            )
            worst = max(worst, total - slots)
    return worst


@behave.when("{count:d} generated changes of entries divide a target's slots")
def divide_rightly(context, count):
    context.worst = divide_generated(count, naive=False)


@behave.when("{count:d} generated changes of entries divide the slots naively")
def divide_naively(context, count):
    context.worst = divide_generated(count, naive=True)


@behave.then("the shares in force never exceeded the slots")
def check_within(context):
    assert context.worst == 0, context.worst


@behave.then("the shares in force exceeded the slots")
def check_beyond(context):
    assert context.worst > 0, context.worst


@behave.given("two stewards that act at once and have both begun rounds")
def begin_rounds(context):
    context.hall = record.Hall(division=DIVISION)
    context.keepers = []
    for number in range(2):
        keeper = keepers.Keeper(f"vm-{number}", "h", clock=lambda: 0.0)
        keeper.tell(keepers.ActingChanged(True))
        stepper = steppers.Stepper(
            "h", platform=None, keeper=keeper, clock=lambda: 0.0
        )
        assert not stepper._confirm(context.hall, 1)
        context.keepers.append((keeper, stepper))


@behave.when("an entry reports in the second steward's round")
def report_second(context):
    report = record.Report(
        vm="a",
        incarnation="i",
        address="x",
        hall_revision=1,
        round=context.keepers[1][0].round,
    )
    for keeper, _ in context.keepers:
        keeper.tell(keepers.ReportReceived(report))


@behave.then("the first steward still waits for it, the second does not")
def check_rounds(context):
    confirmed = [
        stepper._confirm(context.hall, 1) for _, stepper in context.keepers
    ]
    assert confirmed == [False, True], confirmed


@behave.when('the model "{model}" is explored')
def explore(context, model):
    variant = explorer.Variant()
    context.found = explorer.Explorer(variant, **MODELS[model]).run()


@behave.when('the model "{model}" is explored without "{part}"')
def explore_without(context, model, part):
    variant = explorer.Variant(**{part: False})
    context.found = explorer.Explorer(variant, **MODELS[model]).run()


@behave.then("no violation is found in more than {least:d} states")
def check_explored(context, least):
    found = context.found
    print(f"states explored: {found.states}")
    assert found.violation == "", (found.violation, found.path)
    assert found.states > least, found.states


@behave.then('the violation "{violation}" is found')
def check_violation(context, violation):
    assert violation in context.found.violation, context.found
