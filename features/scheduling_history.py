"""Generated histories of the pool scheduler, and the rules they keep."""

from __future__ import annotations

from hypothesis import strategies

from rackvalve.configuration import document
from rackvalve import outcomes
from rackvalve.requests import decisions
from rackvalve.requests import job as jobs
from rackvalve.requests import scheduler
from rackvalve.targets import group as groups
from tools.baselines import fifo
from tools import poolsim

QUICK = jobs.Class.QUICK
LONG = jobs.Class.LONG
QUOTA = 2
RESERVED = 0.5
TARGETS = 2
SLOTS = 2

ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["quick", "long", "finish", "fail", "cancel", "wait", "retry"]
        ),
        strategies.integers(0, 3),
    ),
    max_size=60,
)


class IdleScheduler(scheduler.PoolScheduler):
    """Naive: starts waiting jobs only one at a time."""

    def dispatch(self, now):
        return super().dispatch(now) if self.running == 0 else []


class ForgetfulScheduler(scheduler.PoolScheduler):
    """Naive: drops what it cannot start at once."""

    def submit(self, job, now):
        reply = super().submit(job, now)
        if isinstance(reply, decisions.Waiting):
            self.cancel(job)
        return reply


KINDS = {
    "right": scheduler.PoolScheduler,
    "fifo": fifo.FifoScheduler,
    "idle": IdleScheduler,
    "forgetful": ForgetfulScheduler,
}


class BrokenRuleError(AssertionError):
    """A rule does not hold."""


class History:
    """Runs generated actions and checks the rules after each."""

    def __init__(self, kind):
        policy = document.Pool(
            quick_reserved=RESERVED,
            long_guaranteed=0.25,
            queue_limit=20,
            workspace_queue_limit=10,
        )
        self.group = poolsim.make_group(TARGETS, SLOTS)
        self.pool = KINDS[kind](self.group, policy)
        for index in range(4):
            quota = QUOTA if index == 0 else None
            self.pool.set_account(f"ws-{index}", index + 1.0, quota)
        self.now = 0.0
        self.number = 0
        self.state = {}
        self.running = {}
        self.known = {}

    def run(self, actions):
        """Run actions, then let everything end."""
        for action, index in actions:
            self.now += 0.1
            self._act(action, index)
            self._check()
        for _ in range(200):
            if not self.running:
                break
            self._finish(0, groups.Result.GOOD)
            self._check()
        left = [n for n, state in self.state.items() if state == "waiting"]
        if left:
            raise BrokenRuleError("no job is lost")

    def _act(self, action, index):
        if action in ("quick", "long"):
            self._submit(jobs.Class(action), index)
        elif action in ("finish", "fail") and self.running:
            good = groups.Result.GOOD
            bad = groups.Result.FAILED
            self._finish(index, good if action == "finish" else bad)
        elif action == "cancel":
            self._cancel(index)
        elif action == "wait":
            self.now += 2.0
            self._note(self.pool.dispatch(self.now))
        elif action == "retry" and self.running:
            self._retry(index)

    def _submit(self, job_class, index):
        self.number += 1
        job = poolsim.make_job(
            self.number, f"ws-{index}", job_class, self.now, deadline=5.0
        )
        self.known[job.number] = job
        reply = self.pool.submit(job, self.now)
        if isinstance(reply, decisions.Started):
            self._note([reply])
        elif isinstance(reply, outcomes.Refused):
            self.state[job.number] = "refused"
        else:
            self.state[job.number] = "waiting"

    def _pick(self, index):
        attempts = sorted(self.running)
        return attempts[index % len(attempts)]

    def _finish(self, index, result):
        attempt = self._pick(index)
        started = self.running.pop(attempt)
        self.state[started.job.number] = "done"
        self.pool.finish(attempt, result, self.now)
        self._note(self.pool.dispatch(self.now))

    def _retry(self, index):
        if not hasattr(self.pool, "retry"):
            return
        attempt = self._pick(index)
        started = self.running.pop(attempt)
        self.pool.finish(attempt, groups.Result.FAILED, self.now)
        self.state[started.job.number] = "waiting"
        reply = self.pool.retry(started.job, [started.vm], self.now)
        if isinstance(reply, decisions.Started):
            self._note([reply])
        elif isinstance(reply, outcomes.Refused):
            self.state[started.job.number] = "refused"
        self._note(self.pool.dispatch(self.now))

    def _cancel(self, index):
        waiting = [n for n, state in self.state.items() if state == "waiting"]
        if waiting:
            number = waiting[index % len(waiting)]
            if self.pool.cancel(self.known[number]):
                self.state[number] = "cancelled"

    def _note(self, found):
        for decision in found:
            number = decision.job.number
            if isinstance(decision, decisions.Ended):
                self.state[number] = "ended"
                continue
            if self.state.get(number) not in (None, "waiting"):
                raise BrokenRuleError("a job that ended never starts")
            if decision.job.deadline <= self.now:
                raise BrokenRuleError("no start after the deadline")
            self.state[number] = "running"
            self.running[decision.attempt] = decision
            self._check_start(decision.job)

    def _check_start(self, job):
        classes = [s.job.job_class for s in self.running.values()]
        slots = self.group.slots
        long_most = max(slots - int(slots * RESERVED + 0.999), 1)
        if job.job_class is LONG and classes.count(LONG) > long_most:
            raise BrokenRuleError("reserved for quick")
        mine = [s for s in self.running.values() if s.job.workspace == "ws-0"]
        if job.workspace == "ws-0" and len(mine) > QUOTA:
            raise BrokenRuleError("quota")

    def _check(self):
        for target in self.group.get_targets().values():
            if target.in_use > target.allotment.share:
                raise BrokenRuleError("slots of a target")
            if target.in_use < 0:
                raise BrokenRuleError("slots given back twice")
        if self.pool.running != len(self.running):
            raise BrokenRuleError("no job is lost")
        free = self.group.slots - len(self.running)
        starters = [
            n
            for n, state in self.state.items()
            if state == "waiting"
            and self.known[n].job_class is QUICK
            and self.known[n].workspace != "ws-0"
            and self.known[n].deadline > self.now
        ]
        if free > 0 and self.group.ejected == 0 and starters:
            raise BrokenRuleError("work conserving")
