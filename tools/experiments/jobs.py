"""Figures of durable jobs: acceptance, starts, lost owners, placement."""

from __future__ import annotations

import collections
import json
import statistics
import time

import gevent

from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve.scheduling import fleet
from rackvalve.scheduling import placement
from rackvalve.scheduling import workers
from tools.experiments import figures
from tools import fleet as fleets
from tools import site as sites

JOBS = 500
JOBS_PER_KILL = 100
TASKS = 2
STEPS = [{"count": TASKS, "cpu": 100}]
# Time after which a killed manager is restarted, in seconds.
RESTART_S = 2.5
DECISIONS = 2000
POOL_SIZES = (40, 400, 3200)


def run(seed):
    """Yield all figures.

    :param seed: Not used; the figures come from processes and clocks.
    """
    yield from measure_placement()
    yield from measure_site()


def measure_placement():
    """Time one choice of a worker, and a scan of all of them."""
    step = definition.Step(cpu=1)
    need = fleet.get_resource_request(step)
    for size in POOL_SIZES:
        members = [_make_worker(number) for number in range(size)]
        taken = _time_choice(members, step, need)
        scan = _time_scan(members, need)
        yield figures.Figure(
            figure=f"place.decision_us.{size}",
            value=taken * 1e6,
            unit="us",
            n=DECISIONS,
            baseline=scan * 1e6,
        )


def _make_worker(number):
    entry = fleet.Entry(
        identity=f"w{number}",
        pool="p",
        host="",
        port=0,
        vm=f"m{number}",
        rack="",
        hall="h",
        labels=frozenset(),
        capacity=fleet.Resources(cpu=1000000, memory=1000, gpu=0),
        draining=False,
        remaining=None,
    )
    return workers.WorkerState(entry.identity, entry, 0.0)


def _time_choice(members, step, need):
    view = placement.PoolView(members)
    task = progress.Task(definition.TaskName(repetition=0, step=0, index=0))
    used: collections.Counter = collections.Counter()
    began = time.perf_counter()
    for _ in range(DECISIONS):
        view.choose(step, task, need, used, now=0.0)
    return (time.perf_counter() - began) / DECISIONS


def _time_scan(members, need):
    rounds = 20
    began = time.perf_counter()
    for _ in range(rounds):
        fitting = [worker for worker in members if worker.free.fits(need)]
        max(fitting, key=lambda worker: worker.free.cpu)
    return (time.perf_counter() - began) / rounds


def measure_site():
    """Submit jobs while owners are killed, and read the workers' journal."""
    site = sites.Site(3, {"lookups": 4, "rebuilds": 2, "spare": 1})
    accept_times: list[float] = []
    accepted: list[float] = []
    kills: list[float] = []
    owned = time.monotonic()
    try:
        site.start()
        _submit_jobs(site, accept_times, accepted, kills)
        owned = kills[-1] if kills else owned
        states = [
            site.wait_final("lookup", f"{number + 1:016x}")
            for number in range(JOBS)
        ]
        journal = site.journal()["journal"]
        calls = fleets.call(site.port, "POST", "/-/fault", b"{}")
        owner = site.owner()
        pid = owner["process"].popen.pid
        cpu = figures.read_cpu(pid) / (time.monotonic() - owned)
        memory = figures.read_rss_mb(pid)
    finally:
        site.stop()
    yield figures.Figure(
        figure="jobs.accept_p50_ms",
        value=statistics.median(accept_times) * 1000,
        unit="ms",
        n=len(accept_times),
    )
    yield from _measure_starts(journal, accepted)
    yield from _measure_jobs(journal, states, kills)
    yield figures.Figure(
        figure="store.calls_per_job",
        value=json.loads(calls.body)["calls"] / JOBS,
        unit="calls",
        n=JOBS,
    )
    yield figures.Figure(
        figure="manager.cpu_percent", value=cpu * 100, unit="%", n=1
    )
    yield figures.Figure(figure="manager.rss_mb", value=memory, unit="MB", n=1)


def _measure_starts(journal, accepted):
    """Yield the times from a job's acceptance to its first start."""
    first: dict[str, float] = {}
    for time_seen, kind, _, task, *_ in journal:
        if kind == "start":
            first.setdefault(task.split(".")[0], time_seen)
    waits = sorted(
        max(0.0, first[f"{number + 1:016x}"] - time_accepted)
        for number, time_accepted in enumerate(accepted)
    )
    for share in (50, 99):
        yield figures.Figure(
            figure=f"jobs.start_p{share}_ms",
            value=waits[len(waits) * share // 100] * 1000,
            unit="ms",
            n=len(waits),
        )


def _measure_jobs(journal, states, kills):
    """Yield figures of the jobs and of the kills, from callers and workers."""
    starts = [row for row in journal if row[1] == "start"]
    yield figures.Figure(
        figure="jobs.twice", value=_count_twice(journal), unit="tasks", n=JOBS
    )
    lost = sum(state != "completed" for state in states)
    yield figures.Figure(figure="jobs.lost", value=lost, unit="jobs", n=JOBS)
    gaps = [_gap_after(kill, starts) for kill in kills]
    yield figures.Figure(
        figure="failover.gap_s", value=max(gaps), unit="s", n=len(gaps)
    )


def _submit_jobs(site, accept_times, accepted, kills):
    for number in range(JOBS):
        killed = None
        if number % JOBS_PER_KILL == JOBS_PER_KILL - 1:
            killed = site.owner()
        if killed is not None:
            killed["process"].kill()
            kills.append(time.monotonic())
        # A process that is down would add the caller's retries to the time.
        others = [one for one in site.managers if one is not killed]
        began = time.monotonic()
        site.submit("lookup", STEPS, "work_ms=20", manager=others[0])
        accepted.append(time.monotonic())
        accept_times.append(accepted[-1] - began)
        if killed is not None:
            gevent.sleep(RESTART_S)
            killed["process"].start()


def _count_twice(journal):
    running = collections.defaultdict(int)
    good = collections.Counter()
    twice = 0
    for _, kind, _, task, _, detail in journal:
        if kind == "start":
            running[task] += 1
            twice += running[task] > 1
        else:
            running[task] -= 1
            good[task] += detail == "done"
    return twice + sum(count > 1 for count in good.values())


def _gap_after(kill, starts):
    later = [row[0] for row in starts if row[0] > kill]
    return min(later) - kill if later else float("inf")
