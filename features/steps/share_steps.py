"""Steps about the guaranteed rates of workspaces."""

from __future__ import annotations

import dataclasses

import behave

from features import job_bench
from features import job_models as models
from features.steps import bound_steps as bounds
from rackvalve.scheduling import fleet
from rackvalve.workspaces import account
from rackvalve.workspaces import credentials
from rackvalve.workspaces import directory
from rackvalve.workspaces import rates


def make_workspace(name, rate, keys=()):
    return account.Workspace(
        name=name, rate=rate, bound=fleet.NO_RESOURCES, keys=frozenset(keys)
    )


@behave.given(
    "a pool with room for {room:d} tasks and workspaces with these rates"
)
def make_pool(context, room):
    context.bench = job_bench.Bench(
        ["w0"], capacity=bounds.make_resources(room)
    )
    context.sends = {
        row["workspace"]: int(row["sends"]) for row in context.table
    }
    workspaces = directory.Directory(
        make_workspace(row["workspace"], float(row["rate"]))
        for row in context.table
    )
    context.bench.cluster.set_configuration(
        dataclasses.replace(models.CONFIGURATION, workspaces=workspaces)
    )


@behave.when("each has handed its jobs of 1 task in within a second")
def hand_in(context):
    bench = context.bench
    began = bench.now
    context.states = []
    for name, count in context.sends.items():
        for number in range(count):
            bench.now = began + number / count
            state = bounds.add(bench, name, bounds.make_step(1, 1))
            context.states.append(state)
    bench.now = began + 1.0
    bench.report("w0", bench.rows("w0"))
    bench.start_all()


def list_started(context):
    return [
        state
        for state in context.states
        if state.tasks and any(task.runs for task in state.tasks.values())
    ]


@behave.then(
    "of the {count:d} that start first {beyond:d} are of greedy beyond its "
    "rate"
)
def check_first(context, count, beyond):
    started = list_started(context)
    assert len(started) == count
    found = [state for state in started if not state.guaranteed]
    assert len(found) == beyond, [state.workspace for state in found]


@behave.then(
    "all jobs of small and other start before greedy's {count:d} beyond its "
    "rate"
)
def check_order(context, count):
    beyond = [state for state in context.states if not state.guaranteed]
    assert len(beyond) == count, len(beyond)
    assert {state.workspace for state in beyond} == {"greedy"}
    bench = context.bench
    for _ in range(2):
        for placed in list(bench.cluster.workers["w0"].runs.values()):
            bounds.end_run(bench, placed, bounds.messages.Ending.DONE)
        bench.start_all()
    late = [
        state
        for state in context.states
        if state.guaranteed
        and state not in list_started(context)
        and not state.is_final
    ]
    assert not late, [state.workspace for state in late]


@behave.then("all {count:d} of them run")
def check_all(context, count):
    assert len(list_started(context)) == count


@behave.given("a workspace with a rate of {rate:g} a second")
def make_one(context, rate):
    context.workspace = make_workspace("north", rate)
    context.rates = rates.Rates()


def count_conforming(context, times):
    return sum(
        context.rates.count_job(context.workspace, time) for time in times
    )


@behave.when(
    "it sends {first:d} jobs in the first second and {second:d} in the next"
)
def send(context, first, second):
    context.counts = [
        count_conforming(context, [100.0 + n / first for n in range(first)]),
        count_conforming(
            context, [101.0 + n / max(1, second) for n in range(second)]
        ),
    ]


@behave.then(
    "{first:d} jobs of the first and {second:d} of the next second are within "
    "its rate"
)
def check_counts(context, first, second):
    assert context.counts == [first, second], context.counts


@behave.when("it sends {count:d} jobs at once after {rest:d} seconds of rest")
def send_after_rest(context, count, rest):
    count_conforming(context, [100.0])
    context.counts = [count_conforming(context, [100.0 + rest] * count)]


@behave.when(
    "{count:d} jobs sent {gap:f} s apart reach the owner in pairs that are "
    "swapped"
)
def send_swapped(context, count, gap):
    times = [100.0 + gap * number for number in range(count)]
    swapped = [times[number ^ 1] for number in range(count)]
    context.counts = [count_conforming(context, swapped)]


@behave.then("{count:d} of them are within its rate")
def check_count(context, count):
    assert context.counts == [count], context.counts


@behave.given(
    "directories of {few:d} and {many:d} workspaces with {keys:d} keys each"
)
def make_directories(context, few, many, keys):
    context.directories = {
        count: directory.Directory(
            make_workspace(
                f"w{number}",
                1.0,
                [credentials.digest(f"k{number}-{n}") for n in range(keys)],
            )
            for number in range(count)
        )
        for count in (few, many)
    }
    context.keys = keys


@behave.then(
    "a key, a name, a rate and a bound are found without looking at others"
)
def check_found(context):
    for count, found in context.directories.items():
        assert len(found) == count
        assert found.key_count == count * context.keys
        last = count - 1
        shown = credentials.parse_header(f"Bearer k{last}-{context.keys - 1}")
        assert found.find_by_key(shown) is found.find(f"w{last}")
        assert found.find("w-none") is None
