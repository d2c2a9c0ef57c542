"""A job of many tasks is accepted, and no job runs from then on."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_3 import harness  # noqa: E402

LARGE = "/calib/00000000000000e1"
IDENTITY = "00000000000000e2"
SMALL = f"/audit/{IDENTITY}"
TASKS = 4000
TIMES = 5
CALL_TIMEOUT_S = 10.0
# After its submission, until the small job comes.
LEAD_S = 3.0
# RULES.md, LOST, says 3 s. All stand-ins share one processor here; their
# slowness is not judged.
IDLE_S = 30.0
WATCH_S = 45.0


def play(record):
    """Play the case; return whether the rule held."""
    site = harness.Site(
        record,
        {"eisberg": 8, "vogl-audit": 8},
        [
            harness.make_route("calib", "eisberg"),
            harness.make_route("audit", "vogl-audit"),
        ],
        managers=3,
    )
    try:
        site.start()
        return observe(record, site)
    finally:
        site.stop()


def observe(record, site):
    """Submit a large job, and later a small one to another service."""
    time.sleep(2.0)
    if harness.is_troubled():
        reply = site.managers[0].call(
            "POST", LARGE, make_large(), timeout=CALL_TIMEOUT_S
        )
        status = reply.status if reply else "no answer"
        record.write(f"client: POST {LARGE} -> {status}")
    time.sleep(LEAD_S)
    step = {"count": 8, "cpu": 3800, "mem-mb": 7800, "estimate-ms": 1700}
    small = {
        "spec": "work_ms=1700",
        "steps": [step, {**step, "after-rev": [0]}],
    }
    site.submit(SMALL, small)
    accepted = time.monotonic()
    until = accepted + WATCH_S
    while time.monotonic() < until:
        if harness.is_troubled():
            site.read_states(LARGE)
        if set(site.read_states(SMALL)) == {"completed"}:
            break
        time.sleep(1.0)
    journal = site.read_journal()
    record.write_runs(journal, IDENTITY)
    refused = site.order({"refused values": True})["refused"]
    for _, key, size in refused[:1]:
        record.write(f"store: the first value refused: {key}, {size} bytes")
    record.write(f"store: {len(refused)} writes refused")
    starts = sum(row[1] == "start" for row in journal["journal"])
    record.write(f"starts of any job's tasks: {starts}")
    idle = find_idle(journal, accepted, min(until, time.monotonic()))
    record.write(f"longest time without a run of the small job: {idle:.1f} s")
    return idle < IDLE_S


def find_idle(journal, accepted, until):
    """Return for how long the small job had nothing running at most."""
    running, since, longest, done = 0, accepted, 0.0, 0
    for row in journal["journal"]:
        if not row[3].startswith(IDENTITY):
            continue
        if row[1] == "start":
            if not running:
                longest = max(longest, row[0] - since)
            running += 1
        elif row[1] == "end":
            running -= 1
            done += row[5] == "done"
            since = row[0]
    if not running and done < 16:
        longest = max(longest, until - since)
    return longest


def make_large():
    """Return a scheduled job; its times overlap."""
    return {
        "spec": "work_ms=20000",
        "steps": [
            {"count": TASKS, "cpu": 8, "mem-mb": 16, "estimate-ms": 20000}
        ],
        "first-run-ms": int(time.time() * 1000),
        "interval-ms": 200,
        "repetitions": TIMES,
    }


if __name__ == "__main__":
    harness.run(FOLDER, play)
