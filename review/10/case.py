"""Tasks wait although an admitted worker is back empty after a crash."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_3 import harness  # noqa: E402

IDENTITY = "00000000000000b1"
PATH = f"/relay/{IDENTITY}"
# Two of 15 workers are within the share of 0.14 of the users' site file, and
# they are down for its 4.5 s.
WORKERS = 15
DOWN_S = 4.5
# A worker's entry goes after three heartbeats of 1.5 s without a write.
ENTRY_S = 4.5
TASKS = 3
# `contact-ms` and the calm 4 s before the 3 s of the rule, and from 6 s after
# the last run of a task.
CALM_S = 4.0
PAUSE_S = 3.0
AFTER_RUN_S = 6.0
WATCH_S = 25.0


def play(record):
    """Play the case; return whether the rule held."""
    advice = {"decide_ms": 50, "each_ms": 5, "valid_ms": 60000}
    site = harness.Site(
        record,
        {"kaltlink": WORKERS},
        [harness.make_route("relay", "kaltlink", advice=advice)],
    )
    try:
        site.start()
        return observe(record, site)
    finally:
        site.stop()


def observe(record, site):
    """Submit the job, crash two of its workers and watch its tasks."""
    machines = [row["machine"] for row in site.list_machines()]
    admitted = machines[:TASKS]
    site.order({"admit": admitted})
    record.write(f"platform: workers on {admitted} may run the job's step")
    time.sleep(2.0)
    job = {
        "spec": "work_ms=500 lasting",
        "steps": [
            {
                "count": TASKS,
                "cpu": 2600,
                "mem-mb": 9700,
                "estimate-ms": 500,
                "anti-affinity": 1,
                "long-running": True,
                "may_miss": 1,
            }
        ],
    }
    site.submit(PATH, job)
    site.wait(lambda: len(list_running(site)) == TASKS, "the tasks run")
    time.sleep(2.0)
    began = time.monotonic()
    if harness.is_troubled():
        for machine in admitted[:2]:
            record.write(f"disruption: the worker on {machine} crashes")
            site.order({"crash": machine, "entry": ENTRY_S, "away": DOWN_S})
        time.sleep(DOWN_S)
        record.write("disruption: over, both workers are back, empty")
    held = watch(record, site, began, time.monotonic())
    for at, step, asked, good in site.order({"advice calls": True})["calls"]:
        record.write(
            f"adviser: asked {at - began:.3f} s after the crash about "
            f"{len(asked)} workers for {step}: {len(good)} are good"
        )
    record.write_runs(site.read_journal(), IDENTITY)
    return held


def list_running(site):
    """Return the job's tasks that run, by the workers."""
    running = set()
    for row in site.read_journal()["journal"]:
        if row[3].startswith(IDENTITY) and row[1] == "start":
            running.add((row[3], row[4]))
        if row[3].startswith(IDENTITY) and row[1] == "end":
            running.discard((row[3], row[4]))
    return {task for task, _ in running}


def watch(record, site, crashed, back):
    """Return whether no task stands still for 3 s in calm."""
    since = max(back + CALM_S, crashed + AFTER_RUN_S)
    still = 0.0
    known = time.monotonic()
    until = known + WATCH_S
    longest = 0.0
    while time.monotonic() < until:
        now = time.monotonic()
        running = len(list_running(site))
        if now >= since and running < TASKS:
            still += now - max(known, since)
        elif running == TASKS:
            still = 0.0
        longest = max(longest, still)
        known = now
        if running == TASKS and now > since + PAUSE_S:
            break
        time.sleep(0.2)
    free = [row for row in site.list_machines() if row["state"] == "up"]
    record.write(f"{len(list_running(site))} of {TASKS} tasks run")
    record.write(f"{len(free)} of {WORKERS} workers are up")
    site.read_states(PATH)
    record.write(
        f"longest time in calm with a task not running: {longest:.1f} s"
    )
    return longest < PAUSE_S


if __name__ == "__main__":
    harness.run(FOLDER, play)
