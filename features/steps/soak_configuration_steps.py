"""Steps about the soak's checks of configurations."""

from __future__ import annotations

import behave

from tools.soak import callers
from tools.soak import configurations
from tools.soak import spans

# A manager with a fault throughout, by its number.
FAULTY = 3
STEADY_QUEUE = "lookup"


@behave.given(
    'configurations that add "{first}" at {added:g} s and replace it by '
    '"{second}" at {replaced:g} s'
)
def make_changes(context, first, added, second, replaced):
    context.changes = [
        make_change(1, 0.0, set()),
        make_change(2, added, {first}),
        make_change(3, replaced, {second}),
    ]
    context.queue_answers = []


def make_change(version, at, queues, *, is_valid=True):
    return configurations.Change(
        version=version,
        sent=at - 0.01,
        acknowledged=at,
        queues=frozenset({STEADY_QUEUE, *queues}),
        is_valid=is_valid,
    )


@behave.given('an invalid one at {at:g} s that names "{queue}"')
def add_invalid(context, at, queue):
    context.changes.append(make_change(0, at, {queue}, is_valid=False))


@behave.when(
    'manager {manager:d} is answered {status:d} for "{queue}" at {at:g} s'
)
def add_answer(context, manager, status, queue, at):
    context.queue_answers.append(
        callers.QueueAnswer(
            manager=manager, queue=queue, began=at, ended=at, status=status
        )
    )


@behave.then('the soak reports of configurations "{promise}"')
def check_promise(context, promise):
    faults = [
        spans.Span(
            began=0.0, ended=60.0, kind="manager frozen", manager=FAULTY
        ),
        spans.Span(began=0.0, ended=60.0, kind="worker late", place="m1"),
    ]
    broken = configurations.check_configurations(
        context.changes, context.queue_answers, [], faults
    )
    expected = [] if promise == "nothing" else [promise]
    assert [one.promise for one in broken] == expected


@behave.given("a fault of {place} from {began:g} s to {ended:g} s")
def add_fault(context, place, began, ended):
    kinds = {
        "another worker": ("worker closing", "m2", None),
        "its own worker": ("worker closing", "m1", None),
        "a manager": ("manager frozen", "", 1),
    }
    kind, where, manager = kinds[place]
    context.spans.append(
        spans.Span(
            began=began, ended=ended, kind=kind, place=where, manager=manager
        )
    )
