"""Checks that orders leave enough tasks of each lasting step running."""

from __future__ import annotations

import collections

from tools.soak import checks
from tools.soak import spans as fault_spans

# Ends that the system under test has ordered.
ORDERED_ENDS = frozenset({"stopped", "moving", "upkeep"})
# A task that has not been at work for this long counts as away, whatever the
# cause, in seconds.
AWAY_AFTER_S = 4.5
# An order may have been delayed by a fault that ended less than this time
# before the order was carried out, in seconds.
DELAY_ALLOWANCE_S = 1.5
DELAYING_KINDS = frozenset({"worker late", "worker crashed and silent"})


class _Step:
    """State of the tasks of one lasting step at some time."""

    def __init__(self, job, tasks):
        self.job = job
        self.tasks = tasks
        # Runs at work by task, and tasks that an order has ended since then.
        self.working = collections.defaultdict(set)
        self.ordered = set()
        # Time since which each task has not been at work.
        self.since = dict.fromkeys(tasks, job.accepted_at)

    def note_work(self, task, run):
        self.working[task].add(run)
        self.ordered.discard(task)

    def note_end(self, task, run, time, *, is_ordered):
        was_working = bool(self.working[task])
        self.working[task].discard(run)
        # A task may have two runs; this check leaves that aside.
        if self.working[task]:
            return
        if was_working:
            self.since[task] = time
        if is_ordered:
            self.ordered.add(task)

    def list_away(self, task, time):
        """Return the other tasks that are away."""
        return [
            other
            for other in self.tasks
            if other != task
            and (
                other in self.ordered
                or (
                    not self.working[other]
                    and time - self.since[other] >= AWAY_AFTER_S
                )
            )
        ]


def check_availability(jobs, rows, spans, orders):
    """Return orders that ended a task while the limit of its step was away.

    :param jobs: All jobs.
    :param rows: Rows of the workers' journal, oldest first.
    :param spans: Faults with their times.
    :param orders: Orders to VMs.
    """
    steps = _list_steps(jobs)
    machines = {row[2]: row[3] for row in rows if row[1] == "life"}
    for time, kind, worker, task, run, detail in rows:
        step = steps.get(task)
        if step is None or time > step.job.cancelled_at:
            continue
        if kind == "at work":
            step.note_work(task, run)
        if kind != "end":
            continue
        machine = machines.get(worker)
        is_ordered = _is_ordered(detail, machine, time, spans)
        away = step.list_away(task, time)
        if (
            is_ordered
            and run in step.working[task]
            and len(away) >= _read_bound(step.job, task)
            and _is_unaffected(machine, time, spans)
            and not _may_be_delayed(detail, machine, time, spans)
        ):
            near = fault_spans.name_near(spans, time, time)
            sent = [order[:5] for order in orders if order[0] == time]
            yield checks.Violation(
                promise="enough of a lasting step stays at work",
                detail=f"{task} run {run} on {worker} {detail} at {time:.3f} "
                f"while {away} were away, near {near} {sent}",
            )
        step.note_end(task, run, time, is_ordered=is_ordered)


def _list_steps(jobs):
    """Return the step of each lasting task, by task."""
    steps = {}
    for job in jobs:
        if not job.accepted or not job.lasting:
            continue
        by_step = collections.defaultdict(list)
        for task in job.list_tasks():
            by_step[task.split(".")[2]].append(task)
        for tasks in by_step.values():
            steps.update(dict.fromkeys(tasks, _Step(job, tasks)))
    return steps


def _read_bound(job, task):
    return job.steps[int(task.split(".")[2])]["may_miss"]


def _is_ordered(detail, machine, time, spans):
    """Return whether the system under test has ordered an end.

    A lease that runs out counts as an order, unless a fault of the managers,
    of the store or of the worker itself is near: what another worker does may
    not cost this one its lease.
    """
    if detail == "lapsed":
        near = [
            span
            for span in spans
            if span.place == machine or not span.kind.startswith("worker ")
        ]
        return fault_spans.find_calm(near, time, time, 0.0) is not None
    return detail in ORDERED_ENDS


def _is_unaffected(machine, time, spans):
    """Return whether no fault affects a worker."""
    return not any(
        span.place == machine and span.began < time < span.ended
        for span in spans
    )


def _may_be_delayed(detail, machine, time, spans):
    """Return whether a fault may have delayed an order to a worker or VM."""
    return any(
        _is_on_way(span, detail, machine)
        and span.began < time < span.ended + DELAY_ALLOWANCE_S
        and (" link " in span.kind or span.kind in DELAYING_KINDS)
        for span in spans
    )


def _is_on_way(span, detail, machine):
    """Return whether a fault is at a place that an order has passed."""
    if detail == "stopped":
        return span.place == machine
    return span.place.startswith("store")
