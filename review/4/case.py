"""Workers of one pool crash one after the other; no task is the cause."""

from __future__ import annotations

import pathlib
import time

from harness_2 import site as sites

IDENTITY = "5c0e7a21d94b36f8"
PATH = f"/relays/{IDENTITY}"
JOB = {
    "spec": "lasting work_ms=500",
    "steps": [
        {
            "count": 4,
            "cpu": 2600,
            "mem-mb": 1024,
            "anti-affinity": 1,
            "long-running": True,
            "may_miss": 1,
        }
    ],
}
# Time between two crashes, how long a crashed worker is away, and how long
# its entry stays after it, in seconds.
GAP_S = 2.0
AWAY_S = 2.0
ENTRY_S = 4.5
PLAY_S = 90.0


def play(site, has_trouble):
    """Crash one worker after the other while a job lasts."""
    if not site.submit(PATH, JOB):
        raise sites.NotStartedError("the job was not accepted")
    time.sleep(3.0)
    until = time.monotonic() + PLAY_S
    crashed = 0
    state = ""
    while time.monotonic() < until and state != "failed":
        if has_trouble:
            vms = site.list_vms("relays")
            vm = vms[crashed % len(vms)]["machine"]
            site.record.write(f"disruption: the worker on {vm} crashes")
            site.order({"crash": vm, "entry": ENTRY_S, "away": AWAY_S})
            crashed += 1
        time.sleep(GAP_S)
        state = site.ask_state(PATH)
    rows = site.list_runs(IDENTITY)
    site.write_runs(IDENTITY)
    failed_runs = [row for row in rows if row[5] == "failed"]
    site.record.write(
        f"the job is shown as {state!r}; {crashed} crashes; "
        f"{len(failed_runs)} runs ended failed"
    )
    return not (state == "failed" and not failed_runs)


if __name__ == "__main__":
    sites.run_case(pathlib.Path(__file__).parent, play, pools={"relays": 8})
