"""An accepted job is answered with 410 once its route has another name."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_3 import harness  # noqa: E402

IDENTITY = "00000000000000d3"
PREFIX = "/calib/"
PATH = f"{PREFIX}{IDENTITY}"
# `visible_ms` of the users' page, `config-apply-ms`, and a margin.
VISIBLE_S = 3.0
APPLY_S = 2.0
WATCH_S = 15.0


def play(record):
    """Play the case; return whether the rule held."""
    site = harness.Site(
        record, {"eisberg": 8}, [make_route("calib")], managers=3
    )
    try:
        site.start()
        return observe(record, site)
    finally:
        site.stop()


def make_route(name):
    """Return the route; only its name differs."""
    return {**harness.make_route(name, "eisberg"), "path-prefix": PREFIX}


def observe(record, site):
    """Submit a job of two steps, and exchange its route meanwhile."""
    time.sleep(2.0)
    step = {"count": 4, "cpu": 3800, "mem-mb": 7800, "estimate-ms": 1700}
    job = {
        "spec": "work_ms=1700",
        "steps": [step, {**step, "after-rev": [0]}],
    }
    site.submit(PATH, job)
    accepted = time.monotonic()
    time.sleep(0.5)
    if harness.is_troubled():
        site.configure([make_route("calib-2")])
    time.sleep(max(VISIBLE_S, APPLY_S) + 0.5)
    gone = 0
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        found = site.read_states(PATH)
        gone += found.count("410")
        if set(found) == {"completed"}:
            break
        time.sleep(1.0)
    journal = site.read_journal()
    record.write_runs(journal, IDENTITY)
    passed = time.monotonic() - accepted
    done = sum(
        row[1] == "end" and row[5] == "done" and row[3].startswith(IDENTITY)
        for row in journal["journal"]
    )
    record.write(
        f"{done} of 8 tasks are done {passed:.1f} s after the job was "
        f"accepted; answers 410: {gone}"
    )
    return gone == 0


if __name__ == "__main__":
    harness.run(FOLDER, play)
