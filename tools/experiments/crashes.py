"""Cost of crashing jobs to the other jobs of a small pool.

Real processes.  Crashing jobs are submitted one after the other beside jobs
that could be completed, while the owner is killed or frozen.
"""

from __future__ import annotations

import collections
import dataclasses
import time

import gevent

from tools.experiments import figures
from tools import site as sites
from tools.soak import checks

MANAGERS = 3
POOL = "lookups"
QUEUE = "lookup"
# How long jobs are submitted, and the wait for their ends after that, in
# seconds.
WORK_S = 30.0
SETTLE_S = 8.0
ORDINARY_JOBS = 30
ORDINARY = ([{"count": 3, "cpu": 500}], "work_ms=700")
LASTING = (
    [{"count": 4, "cpu": 100, "long-running": True, "anti-affinity": 2}],
    "lasting work_ms=500",
)
GANG = ([{"count": 3, "cpu": 500, "gang": True}], "work_ms=700")
CRASH_MS = 10
# Longer than it takes until the worker crashes.
CRASHING_WORK_MS = 60000
FREEZE_S = 2.5


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Case:
    """One site with its load and faults.

    :param name: Its name.
    :param vms: Number of VMs of the pool.
    :param crashing: Number of crashing jobs.
    :param every: Interval between two of them, in seconds.
    :param tasks: Number of tasks of each.
    :param crash_ms: How long after its start a task crashes its worker.
    :param lasting: Number of jobs with lasting tasks.
    :param gangs: Number of jobs whose tasks start together.
    :param owner_fault: Fault of the owner; empty for none.
    :param fault_count: How often it occurs.
    :param keep_names: Whether crashed workers keep their names.
    """

    name: str
    vms: int
    crashing: int
    every: float
    tasks: int = 1
    crash_ms: int = CRASH_MS
    lasting: int = 6
    gangs: int = 0
    owner_fault: str = ""
    fault_count: int = 4
    keep_names: bool = False


CASES = (
    Case(name="6 VMs", vms=6, crashing=8, every=1.5),
    Case(name="4 VMs", vms=4, crashing=16, every=0.5),
    Case(name="frozen", vms=6, crashing=12, every=1.0, owner_fault="frozen"),
    Case(name="killed", vms=6, crashing=16, every=0.8, owner_fault="killed"),
    Case(name="10 VMs", vms=10, crashing=30, every=0.4),
    Case(name="3 lasting", vms=4, crashing=10, every=1.5, lasting=3),
    Case(
        name="10 lasting",
        vms=4,
        crashing=12,
        every=1.0,
        lasting=10,
        owner_fault="killed",
    ),
    Case(name="names", vms=6, crashing=12, every=1.0, keep_names=True),
    Case(name="gangs", vms=6, crashing=8, every=1.5, gangs=10),
    Case(name="late", vms=6, crashing=4, every=3.0, tasks=2, crash_ms=2500),
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Seen:
    """The result of a run.

    :param given_up: Jobs that could be completed and are reported as failed.
    :param told: Crashing jobs that are reported as failed.
    :param crashes: Crashes of workers under these.
    :param late_starts: Largest number of starts of a task of these after its
        third crash.
    :param lost: Runs of other jobs that ended by crashes.
    :param still: Longest time without a run of a job, or of a lasting task,
        that could be completed, in seconds.
    :param stillest: The task with this time.
    """

    given_up: int
    told: int
    crashes: int
    late_starts: int
    lost: int
    still: float
    stillest: str


def run(seed):
    """Yield the figures of all cases.

    :param seed: Not used; the figures come from processes and clocks.
    """
    for case in CASES:
        seen = measure(case)
        for field in dataclasses.fields(seen):
            if field.name == "stillest":
                continue
            yield figures.Figure(
                figure=f"crashes.{field.name}.{case.name}",
                value=getattr(seen, field.name),
                unit="s" if field.name == "still" else "",
                n=case.crashing,
            )


def measure(case):
    """Run one case on a site of its own."""
    site = sites.Site(
        MANAGERS,
        pools={POOL: case.vms, "rebuilds": 1, "spare": 0},
        platform=("--keep-names",) if case.keep_names else (),
    )
    try:
        site.start()
        return _measure(site, case)
    finally:
        site.stop()


def _measure(site, case):
    good, crashing_jobs = [], []
    began = time.monotonic()
    gevent.joinall(
        [
            gevent.spawn(submit, site, case, good, crashing_jobs),
            gevent.spawn(_disturb_owner, site, case, began),
        ],
        raise_error=True,
    )
    rest = began + WORK_S + SETTLE_S - time.monotonic()
    gevent.sleep(max(0.0, rest))
    ended = time.monotonic()
    states = {job: site.state(QUEUE, job) for job in good + crashing_jobs}
    return _summarize(
        site.journal()["journal"], states, good, crashing_jobs, ended
    )


def submit(site, case, good, crashing_jobs, *, seconds=WORK_S):
    """Submit jobs of each kind, evenly over a time.

    :param site: The site.
    :param case: The numbers of jobs.
    :param good: Receives the identifiers of jobs that could be completed.
    :param crashing_jobs: Receives the identifiers of crashing jobs.
    :param seconds: The time.
    """
    spec = f"crash_ms={case.crash_ms} work_ms={CRASHING_WORK_MS}"
    crashing = ([{"count": case.tasks, "cpu": 500}], spec)
    due = [(0.0, good, LASTING)] * case.lasting
    due += [
        (n * case.every, crashing_jobs, crashing) for n in range(case.crashing)
    ]
    due += _spread(good, ORDINARY, ORDINARY_JOBS, seconds)
    due += _spread(good, GANG, case.gangs, seconds)
    began = time.monotonic()
    for at, jobs, (steps, spec) in sorted(due, key=lambda row: row[0]):
        gevent.sleep(max(0.0, began + at - time.monotonic()))
        jobs.append(site.submit(QUEUE, steps, spec=spec))


def _spread(jobs, kind, count, seconds):
    return [(n * seconds / count, jobs, kind) for n in range(count)]


def _disturb_owner(site, case, began):
    for number in range(case.fault_count if case.owner_fault else 0):
        at = (number + 0.5) * WORK_S / case.fault_count / 2
        gevent.sleep(max(0.0, began + at - time.monotonic()))
        owner = site.owner()
        if owner is None:
            continue
        process = owner["process"]
        if case.owner_fault == "killed":
            process.kill()
            process.start()
            continue
        process.freeze()
        gevent.sleep(FREEZE_S)
        process.resume()


def _summarize(journal, states, good, crashing_jobs, ended):
    crashes, late = collections.Counter(), collections.Counter()
    lost, crashed = 0, set()
    for _, kind, worker, task, _, detail in journal:
        is_crashing = task.partition(".")[0] in crashing_jobs
        if kind == "end" and detail == "crash":
            crashes[task] += 1
            lost += not is_crashing
            crashed.update({worker} if is_crashing else ())
        elif kind == "start" and crashes[task] >= checks.MAX_CRASHES:
            late[task] += is_crashing
    still, stillest = _find_longest_stall(journal, states, good, ended)
    return Seen(
        given_up=sum(states[job] == "failed" for job in good),
        told=sum(states[job] == "failed" for job in crashing_jobs),
        crashes=len(crashed),
        late_starts=max(late.values(), default=0),
        lost=lost,
        still=round(still, 2),
        stillest=stillest,
    )


def _find_longest_stall(journal, states, good, ended):
    """Return the longest time from the end of a run to the next start."""
    since, longest = {}, (0.0, "")
    for at, kind, _, task, _, detail in journal:
        if task.partition(".")[0] not in good:
            continue
        if kind == "start":
            longest = max(longest, (at - since.pop(task, at), task))
        elif detail != "done":
            since[task] = at
    for task, at in since.items():
        if states[task.partition(".")[0]] not in sites.FINAL:
            longest = max(longest, (ended - at, task))
    return longest
