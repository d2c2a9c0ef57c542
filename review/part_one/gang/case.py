"""A gang that saves its progress, after the crash of one member's worker."""

from __future__ import annotations

import pathlib
import sys
import time

from review.part_one.harness import deployment

HERE = pathlib.Path(__file__).resolve().parent
JOB = "00000000000000a1"
# The rule leaves out what is near a disruption.
NEAR_S = 3.0
WATCHED_S = 45.0


def main() -> int:
    record = deployment.Record(HERE)
    site = deployment.Deployment(
        record,
        pools={"lookups": 4, "spare": 2},
        queues={"lookup": {"service": "lookups"}},
        program="review.part_one.gang.platform",
        words=("--no-births", "--cpu=32000"),
    )
    try:
        site.start()
        return play(site, record)
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        return 2
    finally:
        site.stop()


def play(site: deployment.Deployment, record: deployment.Record) -> int:
    time.sleep(5.0)
    step = {
        "count": 4,
        "cpu": 9000,
        "gang": True,
        "checkpoints": True,
        "estimate-ms": 6000,
    }
    body = {"spec": "work_ms=6000 gang=4", "steps": [step]}
    site.send("POST", f"/lookup/{JOB}", body)
    time.sleep(2.5)
    crashed = 0.0
    if deployment.has_trouble():
        loads = site.order({"loads": True})
        assert isinstance(loads, dict)
        by_load = loads["loads"]
        victim = min(
            (name for name in by_load if by_load[name]), key=by_load.get
        )
        site.order({"crash": victim, "entry": 4.5, "away": 4.5})
        crashed = time.monotonic()
        record.write(f"the worker on {victim} crashes")
    state = ""
    until = time.monotonic() + WATCHED_S
    while time.monotonic() < until and state != "completed":
        found = site.read_state("lookup", JOB)
        if found != state:
            state = found
            record.write(f"the job is shown as {state!r}")
        time.sleep(0.25)
    journal = site.journal()
    rows = sorted(journal["journal"] + journal["states"])
    for row in rows:
        record.write(f"worker {row}")
    alone = [
        row
        for row in rows
        if row[1] == "end"
        and row[5] == "alone"
        and float(str(row[0])) > crashed + NEAR_S
    ]
    record.write(f"ends 'alone': {len(alone)}; shown as {state!r}")
    return 1 if alone else 0


if __name__ == "__main__":
    sys.exit(main())
