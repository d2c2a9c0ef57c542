"""One of two workers crashes four times and is lost; the other is well."""

from __future__ import annotations

import pathlib
import time

from harness_2 import site as sites

LASTING = "8c1f60d3e9ab5274"
LASTING_PATH = f"/relays/{LASTING}"
LASTING_JOB = {
    "spec": "lasting work_ms=500",
    "steps": [
        {
            "count": 2,
            "cpu": 1000,
            "mem-mb": 1024,
            "anti-affinity": 1,
            "long-running": True,
            "may_miss": 1,
        }
    ],
}
SHORT = "2b7d94e05cf8a136"
SHORT_PATH = f"/relays/{SHORT}"
SHORT_JOB = {
    "spec": "work_ms=500",
    "steps": [{"count": 2, "cpu": 500, "mem-mb": 512, "estimate-ms": 500}],
}
CRASHES = 4
GAP_S = 4.0
AWAY_S = 2.0
LOST_S = 1000.0
ENTRY_S = 4.5
# The short job is submitted this long after the last crash: the worker's
# entry has gone, and its lease is over.
CALM_S = 10.0
WATCH_S = 45.0
# The rule's bound for a job that has nothing running, in seconds.
IDLE_S = 3.0


def play(site, has_trouble):
    """Crash one worker, and submit a short job when all is calm."""
    if not site.submit(LASTING_PATH, LASTING_JOB):
        raise sites.NotStartedError("the lasting job was not accepted")
    time.sleep(GAP_S)
    vm = site.list_vms("relays")[0]["machine"]
    for number in range(CRASHES if has_trouble else 0):
        is_last = number == CRASHES - 1
        text = "crashes for good" if is_last else "crashes"
        site.record.write(f"disruption: the worker on {vm} {text}")
        away = LOST_S if is_last else AWAY_S
        site.order({"crash": vm, "entry": ENTRY_S, "away": away})
        time.sleep(GAP_S)
    time.sleep(CALM_S)
    if not site.submit(SHORT_PATH, SHORT_JOB):
        raise sites.NotStartedError("the short job was not accepted")
    accepted = time.monotonic()
    time.sleep(WATCH_S)
    state = site.ask_state(SHORT_PATH)
    site.ask_state(LASTING_PATH)
    site.write_runs(LASTING)
    site.write_runs(SHORT)
    starts = [row[0] for row in site.list_runs(SHORT) if row[1] == "start"]
    waited = min(starts, default=time.monotonic()) - accepted
    site.record.write(
        f"the short job is shown as {state!r} and had nothing running for "
        f"{waited:.1f} s, beside a worker with 7 of its 8 cores free"
    )
    return waited <= IDLE_S


if __name__ == "__main__":
    sites.run_case(pathlib.Path(__file__).parent, play, pools={"relays": 2})
