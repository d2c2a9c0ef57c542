"""Simulates one pool's scheduler in virtual time, for tests and figures."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random

from rackvalve.configuration import document
from rackvalve import outcomes
from rackvalve.requests import decisions
from rackvalve.requests import job as jobs
from rackvalve.requests import scheduler
from rackvalve.targets import group as groups

POLICY = groups.Policy(failures=5, time=5.0, cap=0.5)


def make_group(targets, slots, *, seed=1, group_class=groups.TargetGroup):
    """Make a group of equal targets."""
    group = group_class(POLICY, rng=random.Random(seed))
    group.update(
        {
            f"vm-{number}": groups.Allotment(host="h", port=1, share=slots)
            for number in range(targets)
        }
    )
    return group


def make_job(number, workspace, job_class, now, *, deadline=1e9, run=None):
    """Make a job."""
    return jobs.Job(
        number=number,
        request_id=str(number),
        workspace=workspace,
        pool="p",
        job_class=job_class,
        received=now,
        deadline=now + deadline,
        repeatable=True,
        key="",
        declared_run=run,
    )


@dataclasses.dataclass(slots=True)
class Arrival:
    """The arrival of a job."""

    when: float
    workspace: str
    job_class: jobs.Class
    run: float
    deadline: float = 1e9
    declared: float | None = None


class Simulation:
    """Runs arrivals through a scheduler."""

    def __init__(self, pool, arrivals):
        self.pool = pool
        self.arrivals = arrivals
        self.events = []
        self.numbers = itertools.count(1)
        self.runs = {}
        self.busy = collections.Counter()
        self.waits = {jobs.Class.QUICK: [], jobs.Class.LONG: []}
        self.refusals = []
        self.started = collections.Counter()
        self.freed_at = []
        self.end = 0.0

    def run(self, until):
        """Run until a time; unfinished runs are counted up to it."""
        self.end = until
        for arrival in self.arrivals:
            self._push(arrival.when, "arrive", arrival)
        while self.events and self.events[0][0] <= until:
            now, _, kind, value = heapq.heappop(self.events)
            if kind == "arrive":
                self._arrive(value, now)
            else:
                self.freed_at.append(now)
                self.pool.finish(value, groups.Result.GOOD, now)
                self._start_all(self.pool.dispatch(now), now)
        return self

    def _push(self, when, kind, value):
        heapq.heappush(self.events, (when, next(self.numbers), kind, value))

    def _arrive(self, arrival, now):
        job = make_job(
            next(self.numbers),
            arrival.workspace,
            arrival.job_class,
            now,
            deadline=arrival.deadline,
            run=arrival.declared,
        )
        self.runs[job.number] = arrival.run
        reply = self.pool.submit(job, now)
        if isinstance(reply, decisions.Started):
            self._start_all([reply], now)
        elif isinstance(reply, outcomes.Refused):
            self.refusals.append((now, job, reply))

    def _start_all(self, found, now):
        for decision in found:
            job = decision.job
            if isinstance(decision, decisions.Ended):
                self.refusals.append((now, job, decision.refused))
                continue
            run = self.runs[job.number]
            self.started[job.job_class] += 1
            self.waits[job.job_class].append(now - job.received)
            self.busy[job.workspace] += max(0.0, min(run, self.end - now))
            self._push(now + run, "finish", decision.attempt)


def make_pool(
    targets, slots, weights, *, kind=scheduler.PoolScheduler, **policy
):
    """Make a pool scheduler with accounts."""
    limits = {"queue_limit": 10**6, "workspace_queue_limit": 10**6}
    pool = kind(
        make_group(targets, slots), document.Pool(**{**limits, **policy})
    )
    for workspace, weight in weights.items():
        pool.set_account(workspace, float(weight), None)
    return pool
