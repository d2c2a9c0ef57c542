"""Figures of the records of large jobs, and of the owner's work for them."""

from __future__ import annotations

import time
import tracemalloc

from features import job_bench
from rackvalve.jobs import definition
from rackvalve.jobs import parts
from rackvalve.jobs import record_parts
from rackvalve.platform import store as stores
from rackvalve.scheduling import fleet
from tools.experiments import figures

# A usual job, one whose record just fits in a value, and the largest one that
# is accepted.
SIZES = (16, 8192, definition.MAX_TOTAL_TASKS)
STEP_TASKS = 4096
WORKERS = 8
CAPACITY = fleet.Resources(cpu=10**6, memory=10**6, gpu=0)


def run(seed):
    """Yield all figures.

    :param seed: Not used; all tasks are alike.
    """
    for size in SIZES:
        bench, state = start_job(size)
        yield from measure_record(state, size)
        yield make_figure(
            "check_ms",
            size,
            measure(lambda: bench.planner.stop_and_release(bench.now, 0.0)),
        )


def start_job(size):
    """Return a bench with a job all of whose tasks run."""
    bench = job_bench.Bench(
        [f"w{number}" for number in range(WORKERS)], capacity=CAPACITY
    )
    steps = max(1, size // STEP_TASKS)
    state = bench.add(
        definition.Step(tasks=size // steps, cpu=1, memory=1),
        repetitions=steps if steps > 1 else 0,
        interval=0.0,
    )
    assert len(state.tasks) == size
    while bench.start_all():
        pass
    # The speed of a run is known by two reports.
    for _ in range(2):
        bench.now += 0.5
        for name in bench.numbers:
            bench.report(name, running=bench.rows(name))
    return bench, state


def measure_record(state, size):
    """Yield the figures of a job's record."""
    limit = stores.VALUE_BYTES
    values = {}
    taken = measure(lambda: values.update(record_parts.encode(state, limit)))
    yield make_figure("encode_ms", size, taken)
    yield make_figure("bytes", size, sum(map(len, values.values())), "bytes")
    yield make_figure("values", size, len(values), "values")
    largest = max(map(len, values.values()))
    yield make_figure("largest_value", size, largest, "bytes")
    parts.note_changed(state, next(iter(state.tasks.values())))
    taken = measure(lambda: record_parts.encode(state, limit))
    yield make_figure("encode_one_change_ms", size, taken)
    parts.note_changed(state)
    tracemalloc.start()
    record_parts.encode(state, limit)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield make_figure("encode_peak_mb", size, peak / 2**20, "MB")


def measure(function):
    """Return how long a call takes, in milliseconds."""
    began = time.perf_counter()
    function()
    return (time.perf_counter() - began) * 1000


def make_figure(name, size, value, unit="ms"):
    return figures.Figure(
        figure=f"records.{name}.{size}", value=value, unit=unit, n=1
    )
