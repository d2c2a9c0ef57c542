"""Jobs reported as failed though VMs crash by themselves, not under jobs.

With real processes, VMs of a small pool lose power beside ordinary jobs, which
crash no workers; one case adds crashing jobs.
"""

from __future__ import annotations

import collections
import dataclasses
import sys
import time

import gevent
import geventhttpclient.response

from tools.experiments import crashes
from tools.experiments import figures
from tools import site as sites
from tools.soak import checks

MANAGERS = 3
JOBS = 60
JOBS_S = 25.0
SETTLE_S = 30.0
TASKS = ([{"count": 4, "cpu": 500}], "work_ms=600")
CRASHING = ([{"count": 1, "cpu": 500}], "crash_ms=10 work_ms=60000")
ENTRY_S = 1.5


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Case:
    """One site and the power losses of its VMs.

    :param name: Its name.
    :param vms: Number of VMs of the pool.
    :param every: Interval between two power losses, in seconds.
    :param at_once: Number of VMs that lose power together.
    :param stride: Offset in VMs from one loss to the next.
    :param away: Time until a VM is back, in seconds.
    :param losses: Limit of power losses; 0 for none.
    :param crashing: Number of crashing jobs.
    :param owner_fault: Fault of the owner; empty for none.
    :param cpu: Processor of a VM, in thousandths of a core.
    :param keeps_name: Whether a worker returns under its former name; if not,
        only calls that time out show its end.
    """

    name: str
    vms: int = 3
    every: float = 3.0
    at_once: int = 2
    stride: int = 1
    away: float = 2.5
    losses: int = 0
    crashing: int = 0
    owner_fault: str = ""
    cpu: int = 8000
    keeps_name: bool = True


CASES = (
    Case(name="two of three"),
    Case(name="two of three, killed", owner_fault="killed"),
    Case(name="two of three, frozen", owner_fault="frozen"),
    Case(name="two of three, new names", keeps_name=False),
    # Always the first two of four VMs.
    Case(name="rack", vms=4, stride=0),
    Case(name="one VM", vms=1, every=5.0, at_once=1, stride=0, away=1.0),
    Case(name="whole pool", every=8.0, at_once=3, losses=2),
    # Two rounds over four VMs.
    Case(
        name="rolling",
        vms=4,
        every=3.0,
        at_once=1,
        away=1.0,
        losses=8,
        crashing=6,
    ),
)


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Seen:
    """The result of a run.

    :param given_up: Jobs that could complete and are reported as failed.
    :param open: Jobs that could complete and have not ended.
    :param told: Crashing jobs that are reported as failed.
    :param late_starts: Largest number of starts of a task of these after its
        third crash.
    """

    given_up: int
    open: int
    told: int
    late_starts: int


def run(seed):
    """Yield the figures of all cases.

    :param seed: Not used; the figures come from processes and clocks.
    """
    for case in CASES:
        seen = measure(case)
        for field in dataclasses.fields(seen):
            yield figures.Figure(
                figure=f"vm_crashes.{field.name}.{case.name}",
                value=getattr(seen, field.name),
                unit="",
                n=JOBS,
            )


def measure(case):
    """Run one case on a site of its own."""
    site = sites.Site(
        MANAGERS,
        pools={crashes.POOL: case.vms, "rebuilds": 1, "spare": 0},
        platform=(f"--cpu={case.cpu}",),
    )
    try:
        site.start()
        seen = _measure(site, case)
        if seen.given_up:
            print(case.name, site.folder, file=sys.stderr, flush=True)
        return seen
    finally:
        site.stop()


def _measure(site, case):
    good, crashing = [], []
    power_loss = gevent.spawn(_lose_power, site, case)
    disturber = gevent.spawn(_disturb_owner, site, case)
    due = [(n * JOBS_S / JOBS, good, TASKS) for n in range(JOBS)]
    due += [
        (n * JOBS_S / case.crashing, crashing, CRASHING)
        for n in range(case.crashing)
    ]
    began = time.monotonic()
    for at, jobs, (steps, spec) in sorted(due, key=lambda row: row[0]):
        gevent.sleep(max(0.0, began + at - time.monotonic()))
        jobs.append(_submit(site, steps, spec))
    gevent.joinall([power_loss, disturber], raise_error=True)
    until = time.monotonic() + SETTLE_S
    while time.monotonic() < until:
        states = {
            job: site.state(crashes.QUEUE, job) for job in good + crashing
        }
        if set(states.values()) <= set(sites.FINAL):
            break
        gevent.sleep(0.5)
    return _summarize(site.journal()["journal"], states, good, crashing)


def _submit(site, steps, spec):
    """Submit a job, with a retry if its manager is killed meanwhile."""
    while True:
        try:
            return site.submit(crashes.QUEUE, steps, spec=spec)
        except geventhttpclient.response.HTTPConnectionClosed:
            continue


def _lose_power(site, case):
    """Cut the power of VMs in turn while jobs arrive."""
    names = sorted(site.list_members(crashes.POOL))
    began, number = time.monotonic(), 0
    while time.monotonic() < began + JOBS_S:
        if case.losses and number >= case.losses:
            return
        at = began + (number + 1) * case.every
        gevent.sleep(max(0.0, at - time.monotonic()))
        first = number * case.stride
        lost = [names[(first + n) % len(names)] for n in range(case.at_once)]
        times = {"entry": ENTRY_S, "away": case.away}
        if case.keeps_name:
            site.order({"restart": lost, **times})
        else:
            for name in lost:
                site.order({"crash": name, **times})
        number += 1


def _disturb_owner(site, case):
    """Kill or freeze the owner four times while jobs arrive."""
    for _ in range(4 if case.owner_fault else 0):
        gevent.sleep(JOBS_S / 5)
        owner = site.owner()
        if owner is None:
            continue
        process = owner["process"]
        if case.owner_fault == "killed":
            process.kill()
            process.start()
            continue
        process.freeze()
        gevent.sleep(crashes.FREEZE_S)
        process.resume()


def _summarize(journal, states, good, crashing):
    counts, late = collections.Counter(), collections.Counter()
    for _, kind, _, task, _, detail in journal:
        if task.partition(".")[0] not in crashing:
            continue
        counts[task] += kind == "end" and detail == "crash"
        late[task] += kind == "start" and counts[task] >= checks.MAX_CRASHES
    return Seen(
        given_up=sum(states[job] == "failed" for job in good),
        open=sum(states[job] not in sites.FINAL for job in good),
        told=sum(states[job] == "failed" for job in crashing),
        late_starts=max(late.values(), default=0),
    )


def main():
    """Run one case repeatedly: ``NAME TIMES``."""
    (case,) = [one for one in CASES if one.name == sys.argv[1]]
    for _ in range(int(sys.argv[2])):
        print(case.name, measure(case), flush=True)


if __name__ == "__main__":
    main()
