"""Crashes the worker of one member of a gang that saves checkpoints.

Exits with 1 if the gang's later runs end `alone` without a disruption near,
or its job never completes; 0 if the rules held; 2 if it could not run.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
import traceback  # noqa: E402

import gevent  # noqa: E402

from review.harness import site as sites  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = pathlib.Path(__file__).resolve().parent
JOB = "5c0e7a21d94b36f8"
MEMBERS = 3
WORK_S = 5.0
CRASH_AFTER_S = 2.7
# The site's `srv_crash`: a share of 0.14 of a service's workers, one of the
# eight here, is down for 4.5 s.
AWAY_S = 4.5
CONTACT_S = 3.0
# Time in which the job is watched after the crash is over.
WATCH_S = 45.0


def main() -> int:
    """Play the case."""
    record = sites.Record(FOLDER / "record.txt")
    site = sites.Site(record, {"batch": 8})
    try:
        site.start({"rebuild": {"service": "batch"}})
        return play(site, record)
    finally:
        site.stop()


def play(site, record):
    """Hand the gang in, crash a worker, and judge what follows."""
    steps = [
        {
            "count": MEMBERS,
            "cpu": 8000,
            "mem-mb": 1024,
            "estimate-ms": int(WORK_S * 1000),
            "checkpoints": True,
            "gang": True,
            # On workers of their own, so that one crash hits one member.
            "anti-affinity": 1,
        }
    ]
    job = {"spec": f"work_ms={int(WORK_S * 1000)}", "steps": steps}
    status = site.submit(site.managers[0], "rebuild", JOB, job)
    if status != 200:
        raise RuntimeError(f"the job is not accepted: {status}")
    wait(lambda: at_work(site) == MEMBERS, 10.0)
    gevent.sleep(CRASH_AFTER_S)
    if TROUBLE:
        site.platform.crash(site.platform.find_machine(f"{JOB}.0.0.1"), AWAY_S)
    # From here on no disruption is near.
    calm = time.monotonic() + (AWAY_S + CONTACT_S if TROUBLE else 0.0)
    until = calm + WATCH_S
    state = ""
    while time.monotonic() < until and state not in sites.FINAL:
        gevent.sleep(1.0)
        state = site.read_state(site.managers[1], "rebuild", JOB)
    return judge(site, record, calm, state)


def at_work(site):
    """Return how many members work."""
    return sum(
        run.at_work_since is not None
        for machine in site.platform.machines.values()
        if machine.worker is not None
        for run in machine.worker.runs.values()
    )


def wait(condition, most):
    """Wait for a condition."""
    until = time.monotonic() + most
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError("the gang does not begin")
        gevent.sleep(0.05)


def judge(site, record, calm, state):
    """Judge by what workers and clients saw."""
    alone = [
        (task, number)
        for when, task, number, how, run in site.platform.ends
        if how == "alone" and run.began > calm
    ]
    brought = {}
    for when, task, number, run in site.platform.starts:
        brought.setdefault(number, set()).add(run.brought)
    for number, texts in sorted(brought.items()):
        record("judge", f"run {number} was started with {sorted(texts)}")
    record("judge", f"ends alone without a disruption near: {alone}")
    record("judge", f"state of the job at the end: {state}")
    if alone or state != "completed":
        record("judge", "broken: GANG")
        return 1
    record("judge", "held")
    return 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
