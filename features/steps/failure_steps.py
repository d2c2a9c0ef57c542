"""Steps about unexpected errors and invalid data of other writers."""

from __future__ import annotations

import json
import random
from unittest import mock

import behave

from features import job_bench as benches
from features import job_models as models
from features import odd_answers
from features.steps import outage_steps
from rackvalve.jobs import definition
from rackvalve.jobs import records
from rackvalve.manager.owner import admission
from rackvalve.manager.owner import intake as intakes
from rackvalve.manager.owner import vm_controller as vm_controllers
from rackvalve.manager.owner import worker_registry as worker_registries
from rackvalve.manager.owner import worker_session as worker_sessions
from rackvalve.manager import view as views
from rackvalve.platform import advisers
from rackvalve.platform import connections
from rackvalve.platform import machines
from rackvalve.platform import store as stores
from rackvalve.platform import workers as clients
from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import fencing_tokens
from rackvalve.scheduling import maintenance
from rackvalve.scheduling import queues
from rackvalve.scheduling import sizing
from rackvalve.scheduling import worker_restarts

ODD_SEED = 40
TIMEOUT_S = 0.5
TAKE_OVER_S = 3.0


@behave.when(
    "a call of each process fails as nobody expects, and the owner dies"
)
def fail_calls(context):
    store = context.store
    store.failing = {process.name for process in context.processes}
    outage_steps.wait_until(lambda: not store.failing, TAKE_OVER_S)
    outage_steps.kill(context.first)
    context.processes.remove(context.first)


@behave.then("another one owns within {seconds:d} s")
def check_taken_over(context, seconds):
    outage_steps.wait_until(lambda: outage_steps.find_owners(context), seconds)


def make_item(key, payload):
    return stores.Item(key=key, payload=payload, revision=1, created=1)


def make_controller(cluster):
    return vm_controllers.VmController(
        mock.Mock(),
        views.View(),
        cluster,
        mock.Mock(),
        7,
        telemetry=mock.Mock(),
        order_pause=3.0,
        spawn=lambda function: None,
        on_change=lambda: None,
    )


@behave.then("an owner loads these records, and goes on without what is odd")
def check_loaded(context):
    failed = []
    for row in context.table:
        bench = benches.Bench(["m-1"])
        item = make_item(row["key"], row["payload"].encode())
        try:
            if row["key"].startswith("job/"):
                intake = intakes.JobIntake(
                    bench.cluster, (), on_change=lambda: None
                )
                intake.apply_range((item,))
                if bench.cluster.jobs:
                    failed.append((row["payload"], "it is taken"))
                    continue
            else:
                make_controller(bench.cluster).load((item,))
            _decide(bench)
        except Exception as error:
            failed.append((row["key"], repr(error)))
    assert not failed, failed


def _decide(bench):
    """Run each decision of an owner on the cluster once."""
    care = maintenance.MaintenancePlanner(bench.cluster)
    silent = failure_detector.FailureDetector(bench.cluster, care)
    sizes = sizing.Sizer(bench.cluster, care, silent)
    silent.check(bench.now)
    care.decide(
        bench.now,
        short=sizes.is_short,
        reserved=sizes.count_reserved(bench.now),
    )
    sizes.decide(bench.now)
    bench.plan()
    for state in bench.cluster.jobs.values():
        records.encode_progress(state)


class BenchOwner:
    """An owner that applies what a session reports to a bench."""

    committed_revision = 0

    def __init__(self, bench):
        self.bench = bench
        self.tokens = fencing_tokens.FencingTokens(7)
        self.deposed = ""

    def is_stored(self, job, write):
        return False

    def may_extend(self, now):
        return True

    def wait_for_commit(self, timeout):
        pass

    def depose(self, reason):
        self.deposed = reason

    def end_incarnation(self, identity, reason):
        self.bench.end_incarnation(identity, reason)

    def switch_incarnation(self, worker, born):
        worker_restarts.note_replaced(
            self.bench.cluster, worker, born, self.bench.now
        )

    def apply_report(self, worker, report, now):
        self.bench.handler.apply(worker, report, now=now, wall=now)


def _make_bench(names=("w1", "w2")):
    bench = benches.Bench(list(names))
    bench.add(definition.Step(tasks=3, cpu=1))
    return bench


def _answer_hold(rng, answer):
    bench = _make_bench(["w1"])
    bench.plan()
    rows = [
        [f"{order.job}.{order.task}", order.run, "", 7, 0]
        for order in bench.starts()
    ]
    ended = [[7, rows[0][0], rows[0][1], "done", ""]]
    told = {"clock-ms": 482113, "born": 1771263913116}
    answer(rng, {**told, "running": rows[1:], "ended": ended})
    client = clients.Worker("127.0.0.1", 1, "w1", timeout=TIMEOUT_S)
    session = worker_sessions.WorkerSession(
        BenchOwner(bench), bench.cluster.workers["w1"], client
    )
    for _ in range(2):
        outcome = session._hold()
        if isinstance(outcome, clients.Report):
            session._apply_report(outcome)
        else:
            session._handle_outcome(outcome)
    _decide(bench)


def _answer_list(rng, answer):
    bench = _make_bench()
    rows = [
        {"machine": name, "pool": models.POOL, "state": "up", "id": name}
        for name in ("w1", "w2")
    ]
    answer(rng, {"machines": rows, "next-token": None})
    client = connections.HttpClient("127.0.0.1", 1)
    found = machines.Machines(client, "vm", timeout=TIMEOUT_S).list_vms()
    care = maintenance.MaintenancePlanner(bench.cluster)
    if isinstance(found, list):
        care.take_list(found, bench.now)
    silent = failure_detector.FailureDetector(bench.cluster, care)
    silent.check(bench.now)
    sizing.Sizer(bench.cluster, care, silent).decide(bench.now)


def _answer_admission(rng, answer):
    bench = _make_bench()
    answer(rng, {"good": [["w1", "t7"]], "valid_ms": 7})
    asking = admission.Admission(
        advisers.Adviser(connections.HttpClient("127.0.0.1", 1)),
        bench.cluster,
        bench.planner,
        on_change=lambda: None,
    )
    state = bench.cluster.jobs[benches.IDENTITY]
    advice = queues.AdmissionLimits(
        decide_time=0.1, worker_time=0.01, valid=1.0
    )
    with mock.patch.object(admission.gevent, "sleep"):
        asking._ask_service(state.step_name(0, 0), ["w1", "w2"], advice)
    asking._drop_expired(bench.now)
    _decide(bench)


def _write_entry(rng, answer):
    bench = _make_bench()
    payload = odd_answers.vary(
        rng,
        {
            "service": models.POOL,
            "addr": "127.0.0.1:7",
            "zone": "h",
            "state": "ready",
            "capacity": {"cpu": 7, "mem-mb": 7, "gpu": 0},
            "labels": ["a", "r"],
            "machine": "m",
            "remaining-ms": 7,
            "born": 1771263913116,
        },
    )
    registry = worker_registries.WorkerRegistry(
        BenchOwner(bench), bench.cluster, on_change=lambda: None
    )
    with mock.patch.object(worker_registries.worker_sessions, "WorkerSession"):
        registry.apply_range((make_item("servers/w9", payload),))
    _decide(bench)


def _write_orders(rng, answer):
    bench = _make_bench()
    documents = {
        "op/wave/7": {
            "wave": 7,
            "machines": ["w1", "w2"],
            "duration-s": 7,
            "upper-bound": 1,
        },
        "op/config": {
            "version": 7,
            "routes": [
                {
                    "name": "queue",
                    "host": "h",
                    "path-prefix": "/q/",
                    "service": models.POOL,
                    "max-attempts": 3,
                    "stretch": 2.0,
                    "advice": {"decide_ms": 7, "valid_ms": 7},
                }
            ],
            "services": [{"name": models.POOL, "spare": False}],
            "limits": {"max-body-bytes": 7},
            "tenants": [{"name": "n", "api-keys": ["k"], "weight": 7}],
        },
    }
    view = views.View()
    for key, document in documents.items():
        view.apply_item(make_item(key, odd_answers.vary(rng, document)))
    care = maintenance.MaintenancePlanner(bench.cluster)
    for wave in view.waves.values():
        care.add_wave(wave, bench.now)
    if view.configuration is not None:
        bench.cluster.set_configuration(view.configuration)
        view.configuration.find_queue("h", "/q/x")
    _decide(bench)


ANSWERERS = {
    "a worker": _answer_hold,
    "the list of VMs": _answer_list,
    "the admission service": _answer_admission,
    "a worker's entry": _write_entry,
    "the operator": _write_orders,
}


@behave.given(
    "a worker whose first answer shows a clock of 1e308 ms, and later ones "
    "its own"
)
def make_odd_clock(context):
    bench = _make_bench(["w1"])
    client = clients.Worker("127.0.0.1", 1, "w1", timeout=TIMEOUT_S)
    context.session = worker_sessions.WorkerSession(
        BenchOwner(bench), bench.cluster.workers["w1"], client
    )
    context.clocks = ["1e308", "482113", "482114"]


@behave.then("its second answer is a report, and a lease can be given")
def check_lease(context):
    def exchange(self, *words, **fields):
        clock = context.clocks.pop(0)
        body = '{"clock-ms":%s,"running":[],"ended":[]}' % clock
        return connections.Answer(status=200, body=body.encode())

    with mock.patch.object(connections.HttpClient, "exchange", exchange):
        outcomes = [context.session._hold() for _ in range(2)]
        context.session._apply_report(outcomes[1])
        until = context.session._grant_lease()
    kinds = [type(outcome) for outcome in outcomes]
    assert kinds == [connections.NoAnswer, clients.Report], outcomes
    assert until is not None and until < 1e6, until


@behave.when("{count:d} answers of {peer} are made odd")
def make_odd(context, count, peer):
    rng = random.Random(ODD_SEED)
    context.errors = []
    for _ in range(count):
        made = []

        def answer(rng, document, made=made):
            made.append(odd_answers.vary(rng, document))

        def exchange(self, *words, made=made, **fields):
            # Only the first page is odd: an endless list would be read for
            # ever.
            body = made.pop(0) if made and "/hold" not in words else b""
            if "/hold" in words:
                body = made[0]
            return connections.Answer(status=200 if body else 500, body=body)

        with mock.patch.object(connections.HttpClient, "exchange", exchange):
            try:
                ANSWERERS[peer](rng, answer)
            except Exception as error:
                context.errors.append((repr(error), made))


@behave.then("each is taken or refused, without an error")
def check_no_error(context):
    assert not context.errors, json.dumps(
        [str(one)[:300] for one in context.errors[:3]]
    )
