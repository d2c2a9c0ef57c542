"""First come, first served: no shares, no classes, no reserved slots."""

from __future__ import annotations

import collections

from rackvalve.requests import decisions
from rackvalve.targets import group as groups


class FifoScheduler:
    """Implements the part of the pool scheduler's interface that tests use."""

    def __init__(self, group, policy):
        self.group = group
        self._queue = collections.OrderedDict()
        self._runs = {}
        self._attempts = 0

    @property
    def waiting(self):
        """Number of waiting jobs."""
        return len(self._queue)

    @property
    def running(self):
        """Number of jobs on targets."""
        return len(self._runs)

    def set_account(self, workspace, weight, quota):
        """Ignore weights and quotas."""

    def submit(self, job, now):
        """Queue a job, and start jobs while slots are free."""
        self._queue[job.number] = job
        started = self.dispatch(now)
        for decision in started:
            if decision.job.number == job.number:
                return decision
        return decisions.Waiting(job=job, expected_wait=0.0)

    def finish(self, attempt, result, now):
        """Free a slot."""
        vm = self._runs.pop(attempt)
        self.group.release(vm, result, None, now)

    def cancel(self, job):
        """Remove a waiting job."""
        return self._queue.pop(job.number, None) is not None

    def dispatch(self, now):
        """Start the oldest jobs while a slot is free."""
        started = []
        while self._queue:
            choice = self.group.choose(frozenset())
            if choice is None:
                break
            _, job = self._queue.popitem(last=False)
            self._attempts += 1
            self._runs[self._attempts] = choice.target.vm
            started.append(
                decisions.Started(
                    job=job,
                    attempt=self._attempts,
                    vm=choice.target.vm,
                    host=choice.target.allotment.host,
                    port=choice.target.allotment.port,
                    waited=now - job.received,
                    expected_run=0.0,
                    choice=choice,
                )
            )
        return started


class ScanGroup(groups.TargetGroup):
    """Chooses a target by a scan of all targets."""

    def choose(self, excluded):
        """Scan for the least loaded target."""
        free = [
            target
            for target in self.get_targets().values()
            if target.in_use < target.usable
        ]
        if not free:
            return None
        best = min(free, key=lambda target: target.load)
        choice = groups.Choice(
            best, load=best.load, other=None, open_targets=len(free)
        )
        best.in_use += 1
        self._update_open(best)
        return choice
