"""Steps about the soak's checks of configurations."""

from __future__ import annotations

import behave

from tools.soak import callers
from tools.soak import checks
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
    context.downtimes = []
    context.stalls = []


def make_change(version, at, queues, *, is_valid=True, is_readable=False):
    return configurations.Change(
        version=version,
        sent=at - 0.01,
        acknowledged=at,
        queues=frozenset({STEADY_QUEUE, *queues}),
        is_valid=is_valid,
        is_readable=is_readable,
    )


@behave.given('an invalid one at {at:g} s that names "{queue}"')
def add_invalid(context, at, queue):
    context.changes.append(make_change(0, at, {queue}, is_valid=False))


@behave.given('one with an older version at {at:g} s that names "{queue}"')
def add_older(context, at, queue):
    older = make_change(0, at, {queue}, is_valid=False, is_readable=True)
    # As the operator's records are, by the time of their sending.
    context.changes.insert(2, older)


@behave.given("manager {manager:d} was down from {began:g} s to {ended:g} s")
def add_downtime(context, manager, began, ended):
    context.downtimes.append(
        checks.Downtime(
            manager=manager,
            asked=began,
            began=began,
            ended=ended,
            planned=False,
        )
    )


@behave.given("the stand-ins stalled from {began:g} s to {ended:g} s")
def add_stall(context, began, ended):
    context.stalls.append([began, ended])


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
        *spans.list_stalls(context.stalls),
    ]
    broken = configurations.check_configurations(
        context.changes, context.queue_answers, context.downtimes, faults
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
