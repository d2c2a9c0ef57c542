"""Checks that the members of a gang start so that they can work together."""

from __future__ import annotations

import collections

from tools.soak import checks
from tools.soak import spans as fault_spans

# A member that ends alone has waited for the others this long, in seconds.
WAIT_S = 3.0


def check_gangs(jobs, rows, spans):
    """Check what members of gangs start from, and whether they meet.

    :param jobs: All jobs.
    :param rows: Rows of the workers' journal, oldest first.
    :param spans: Faults with their times.
    """
    cancelled = {job.identity: job.cancelled_at for job in jobs}
    brought = collections.defaultdict(set)
    for time, kind, worker, task, run, detail in rows:
        if kind == "brought":
            checkpoints = brought[task.rpartition(".")[0], run]
            checkpoints.add(detail)
            if len(checkpoints) > 1:
                yield checks.Violation(
                    promise="a gang starts from one checkpoint",
                    detail=f"{task} run {run} on {worker}: {checkpoints}",
                )
        elif kind == "end" and detail == "alone":
            began = time - WAIT_S
            if time > cancelled.get(task.partition(".")[0], time):
                continue
            if fault_spans.find_calm(spans, began, time, WAIT_S) is None:
                continue
            yield checks.Violation(
                promise="no member of a gang ends alone in a calm time",
                detail=f"{task} run {run} on {worker} at {time:.3f}",
            )
