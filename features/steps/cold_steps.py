"""Steps about workers that have just started."""

from __future__ import annotations

import collections
import dataclasses
import json
from unittest import mock

import behave

from features import job_bench as benches
from features import job_cores as cores
from features import job_models as models
from features.steps import entry_steps
from rackvalve import clocks
from rackvalve.jobs import definition
from rackvalve import logs
from rackvalve.manager.owner import worker_registry as worker_registries
from rackvalve.manager.owner import worker_session as worker_sessions
from rackvalve.manager import timing
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from rackvalve.scheduling import fleet
from rackvalve.scheduling import policy as policies
from rackvalve.scheduling import queues

# Present time of the owner that reads entries, in seconds.
NOW = 100.0
TICK_S = 0.05
KINDS = {"usual": {}, "lasting": {"lasting": True}, "gang": {"gang": True}}


@behave.given(
    "an owner that has the part {switch}, and an entry that says {ms:d} ms"
)
def make_owner(context, switch, ms):
    context.cluster = cores.make_cores(NOW, inherited_lease=5.0).cluster
    context.cluster.policy = policies.Policy(evacuation=switch == "on")
    context.registry = worker_registries.WorkerRegistry(
        mock.Mock(), context.cluster, on_change=lambda: None
    )
    context.warnings = mock.Mock()
    read_entry(context, ms, 1, NOW)


def read_entry(context, cold_left, revision, now):
    text = json.dumps({**entry_steps.GOOD, "cold-left-ms": cold_left})
    item = stores.Item(
        key=entry_steps.KEY,
        payload=text.encode(),
        revision=revision,
        created=1,
    )
    with (
        mock.patch.object(worker_sessions.WorkerSession, "start"),
        mock.patch.object(clocks, "read_steady", lambda: now),
        mock.patch.object(logs, "write_warning", context.warnings),
    ):
        context.registry.apply_range((item,))


@behave.when("a next entry says {value} ms and is read twice, 1 s apart")
def change_entry(context, value):
    for seconds in (1.0, 2.0):
        read_entry(context, json.loads(value), 2, NOW + seconds)


@behave.then(
    "{count:d} entries are rejected in the log, and it is cold for "
    "{seconds:g} s"
)
def check_entry(context, count, seconds):
    assert context.warnings.call_count == count, context.warnings.mock_calls
    until = context.cluster.workers["w1"].cold_until
    assert max(0.0, until - NOW) == seconds, until


@behave.then('cold-start-s 5, -1, "x" and null mean 5, 0, 0 and 0 s')
def check_configuration(context):
    for value, seconds in ((5, 5.0), (-1, 0.0), ("x", 0.0), (None, 0.0)):
        service = {"name": "p", "cold-start-s": value, "cold-per-s": value}
        text = json.dumps({"version": 1, "services": [service]}).encode()
        pool = documents.read_configuration(text).pools["p"]
        assert (pool.cold_start, pool.cold_rate) == (seconds, seconds), pool


def make_cluster(context, names):
    bench = context.bench = benches.Bench(names)
    bench.cluster.policy = policies.Policy(evacuation=True)
    pool = queues.Pool(name=models.POOL, spare=False, cold_rate=2.0)
    bench.cluster.set_configuration(
        dataclasses.replace(models.CONFIGURATION, pools={models.POOL: pool})
    )


def let_answer(bench):
    for worker in bench.cluster.workers.values():
        worker.last_answer_at = worker.last_alive_at = bench.now
        worker.note_extension(bench.now, timing.WORKER_LEASE_S)


@behave.given(
    "2 workers of 4 cores, the {cold} cold for {seconds:g} s with 2 starts "
    "per second"
)
def make_cold(context, cold, seconds):
    make_cluster(context, ["w1", "w2"])
    for name in ("w1", "w2") if cold == "both" else ("w2",):
        worker = context.bench.cluster.workers[name]
        worker.cold_until = context.bench.now + seconds


@behave.when("{count:d} {kind} tasks are planned for {seconds:g} s")
def plan_tasks(context, count, kind, seconds):
    bench = context.bench
    state = bench.add(definition.Step(tasks=count, cpu=1, **KINDS[kind]))
    context.rounds = []
    for _ in range(round(seconds / TICK_S)):
        let_answer(bench)
        for task in state.tasks.values():
            for run in task.runs.values():
                run.percent_since = bench.now
        context.rounds.append([start.worker for start in bench.start_all()])
        bench.now += TICK_S


@behave.then(
    "{first} start at once on the first and the second, and {total:d} in all"
)
def check_starts(context, first, total):
    found = collections.Counter(context.rounds[0])
    assert f"{found['w1']} {found['w2']}" == first, found
    assert sum(map(len, context.rounds)) == total, context.rounds
    cold = [number for number, starts in enumerate(context.rounds) if starts]
    pauses = [late - soon for soon, late in zip(cold, cold[1:], strict=False)]
    assert all(pause * TICK_S >= 0.5 for pause in pauses), cold


@behave.given(
    "4 workers with tasks of a step, the last of them cold for {seconds:g} s"
)
def make_step(context, seconds):
    make_cluster(context, ["w1", "w2", "w3", "w4"])
    bench = context.bench
    bench.add(definition.Step(tasks=16, cpu=1))
    bench.start_all()
    bench.cluster.workers["w4"].cold_until = bench.now + seconds
    # Runs that are stopped have room elsewhere.
    wide = fleet.Resources(cpu=8, memory=8, gpu=0)
    known = bench.cluster.workers["w1"].entry
    bench.cluster.set_entry(dataclasses.replace(known, capacity=wide))


@behave.when("it is {factor:g} times as slow as the others for {seconds:g} s")
def slow_down(context, factor, seconds):
    bench = context.bench
    for _ in range(round(seconds / TICK_S)):
        bench.now += TICK_S
        let_answer(bench)
        for worker in bench.cluster.workers.values():
            for placed in worker.runs.values():
                run, before = placed.run, int(placed.run.percent)
                run.rate = 10.0 / (factor if run.worker == "w4" else 1)
                run.percent += run.rate * TICK_S
                # Progress is reported in whole percent.
                if int(run.percent) > before:
                    run.percent_since = bench.now
        bench.planner.stop_and_release(bench.now, bench.now)


@behave.then("{count:d} of its runs are stopped")
def check_stops(context, count):
    stopped = [order.worker for order in context.bench.stops()]
    assert stopped == ["w4"] * count, stopped
