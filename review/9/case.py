"""A job whose only worker goes down and up by turns is shown as failed."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_3 import harness  # noqa: E402

IDENTITY = "00000000000000a9"
PATH = f"/probe/{IDENTITY}"
WORKERS = 10
# The largest dose of the users' site files: a tenth of the workers, down and
# up by turns with a period of 1.4 s, for 6.5 s.
FLAP_S = 6.5
PERIOD_S = 1.4
# A worker's entry goes after three heartbeats of 1.5 s without a write.
ENTRY_S = 4.5
WATCH_S = 25.0


def play(record):
    """Play the case; return whether the rule held."""
    site = harness.Site(
        record,
        {"frostwerk": WORKERS},
        [harness.make_route("probe", "frostwerk")],
        racks=WORKERS,
    )
    try:
        site.start()
        return observe(record, site)
    finally:
        site.stop()


def observe(record, site):
    """Submit the job, play the disruption and watch the job's state."""
    time.sleep(2.0)
    machine = site.list_machines()[0]
    label = machine["labels"][1]
    job = {
        "spec": "work_ms=3000",
        "steps": [
            {
                "count": 1,
                "cpu": 1800,
                "mem-mb": 5100,
                "estimate-ms": 3000,
                "requirements": label,
            }
        ],
    }
    site.submit(PATH, job)
    time.sleep(0.5)
    if harness.is_troubled():
        flap(record, site, machine["machine"])
    states = watch(site)
    journal = site.read_journal()
    record.write_runs(journal, IDENTITY)
    hows = [
        row[5]
        for row in journal["journal"]
        if row[1] == "end" and row[3].startswith(IDENTITY)
    ]
    record.write(f"ends of its runs: {hows}; states shown: {sorted(states)}")
    # Only ends `failed` count as attempts, and nobody cancelled the job.
    has_cause = hows.count("failed") >= 3
    return has_cause or not states & {"failed", "cancelled"}


def flap(record, site, machine):
    """Take one worker down and up by turns."""
    began = time.monotonic()
    while time.monotonic() - began < FLAP_S - PERIOD_S / 2:
        record.write(f"disruption: the worker on {machine} goes down")
        away = PERIOD_S / 2
        site.order({"crash": machine, "entry": ENTRY_S, "away": away})
        time.sleep(PERIOD_S)
    record.write("disruption: over, the worker stays up")


def watch(site):
    """Return all states that the managers show until the job has ended."""
    states = set()
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        found = set(site.read_states(PATH))
        states |= found
        if found <= {"completed", "failed", "cancelled"}:
            break
        time.sleep(0.5)
    return states


if __name__ == "__main__":
    harness.run(FOLDER, play)
