"""Slopes from which docs/CAPACITY.md is calculated."""

from __future__ import annotations

import random
import time
import tracemalloc

from rackvalve import codec
from rackvalve.configuration import document
from rackvalve.configuration import rules
from rackvalve.fleet import record
from rackvalve.fleet import transitions
from rackvalve.fleet import waves
from rackvalve.keyvalue import packing
from rackvalve.requests import admission as admissions
from rackvalve.requests import keys
from rackvalve.targets import group
from tools.experiments import figures
from tools import fleet as fleets

ROUNDS = 5


def run(seed):
    """Yield the slopes."""
    yield from measure_documents(seed)
    yield from measure_decisions(seed)
    yield from measure_keys(seed)


def make_configuration(pools, workspaces):
    """Make a configuration of a given size."""
    names = [f"pool-{number}" for number in range(pools)]
    return document.Configuration(
        pools={name: document.Pool(budget=3) for name in names},
        workspaces={
            f"workspace-{number}": document.Workspace(
                priority=1 + number % 9, pools=names[:4], quota=64
            )
            for number in range(workspaces)
        },
        key_halls=["north"],
    )


def make_hall(vms, pools, entries):
    """Make a hall's record of a given size."""
    targets = {
        f"north-vm-{number:05d}": record.Target(
            pool=f"pool-{number % pools}",
            host="10.0.0.1",
            port=8080,
            slots=8,
            rack=f"north-rack-{number // 16}",
        )
        for number in range(vms)
    }
    names = sorted(f"north-entry-{number}" for number in range(entries))
    division = record.Division(
        epochs=[record.Epoch(since=1.0, entries=names)],
        addresses={name: "10.0.0.2:9000" for name in names},
    )
    return record.Hall(targets=targets, division=division)


def time_call(function):
    """Return the median time of a call, in milliseconds."""
    took = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        function()
        took.append((time.perf_counter() - started) * 1000.0)
    return sorted(took)[ROUNDS // 2]


def measure_documents(seed):
    """Yield sizes of documents, and the time to take and apply them."""
    for vms, pools, workspaces in ((8, 5, 20), (107, 31, 285), (213, 31, 570)):
        name = f"{vms}_vms_{workspaces}_workspaces"
        configuration = make_configuration(pools, workspaces)
        hall = make_hall(vms, pools, 4)
        payload = codec.encode(configuration)
        hall_payload = codec.encode(hall)
        view = admissions.View(
            configuration=configuration,
            configuration_revision=1,
            hall=hall,
            hall_revision=1,
        )
        values = {
            "configuration_bytes": (len(payload), "bytes"),
            "hall_bytes": (len(hall_payload), "bytes"),
            "configuration_packed_bytes": (
                len(packing.pack(payload)),
                "bytes",
            ),
            "hall_packed_bytes": (len(packing.pack(hall_payload)), "bytes"),
            "take_configuration_ms": (
                time_call(
                    lambda p=payload: rules.find_faults(document.decode(p))
                ),
                "ms",
            ),
            "take_hall_ms": (
                time_call(lambda p=hall_payload: record.decode(p)),
                "ms",
            ),
            "apply_view_ms": (time_call(lambda v=view: apply(v)), "ms"),
        }
        for figure, (value, unit) in values.items():
            yield figures.Figure(
                figure=f"capacity.{figure}.{name}",
                value=value,
                unit=unit,
                n=ROUNDS,
                seed=seed,
            )


def apply(view):
    """Apply a view at an entry that starts."""
    policy = group.Policy(failures=5, time=5.0, cap=0.5)
    admission = admissions.Admission(
        "north-entry-0",
        policy=policy,
        retry_ratio=0.1,
        rng=random.Random(1),
    )
    admission.apply(view)


def measure_decisions(seed):
    """Yield the time of an acting steward's steps in one hall."""
    for vms in (8, 107, 213):
        hall = make_hall(vms, 31, 4)
        budgets = {f"pool-{number}": 3 for number in range(31)}
        entries = hall.division.entries
        reports = {
            entry: record.Report(
                vm=entry, incarnation="i", address="a", hall_revision=1
            )
            for entry in entries
        }
        ordered = waves.order_wave(hall, "w", hall.targets, 0.0).hall
        values = {
            "step_ms": time_call(
                lambda h=hall: transitions.step(h, 1, reports, entries, 0.0)
            ),
            "wave_ms": time_call(
                lambda h=ordered: waves.step_waves(h, budgets, ())
            ),
        }
        for figure, value in values.items():
            yield figures.Figure(
                figure=f"capacity.{figure}.{vms}_vms",
                value=value,
                unit="ms",
                n=ROUNDS,
                seed=seed,
            )
    report = codec.encode(reports[entries[0]])
    yield figures.Figure(
        figure="capacity.report_bytes",
        value=len(report),
        unit="bytes",
        n=1,
        seed=seed,
    )


def measure_keys(seed):
    """Yield the memory of idempotency keys that an owner remembers."""
    division = record.Division(epochs=[record.Epoch(since=0.0, entries=["a"])])
    policy = keys.Policy(lifetime=600.0, skew=2.0)
    registry = keys.KeyRegistry("a", started=1.0, policy=policy)
    made = [fleets.make_key() for _ in range(20_000)]
    now = time.time()
    tracemalloc.start()
    for number, key in enumerate(made):
        registry.claim(division, "workspace", key, f"claim-{number}", now)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    yield figures.Figure(
        figure="capacity.key_bytes",
        value=used / len(registry),
        unit="bytes a key",
        n=len(registry),
        seed=seed,
    )
