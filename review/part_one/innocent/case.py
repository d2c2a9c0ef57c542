"""A healthy lasting job under repeated crashes of workers."""

from __future__ import annotations

import pathlib
import sys
import time

from review.part_one.harness import deployment

HERE = pathlib.Path(__file__).resolve().parent
JOB = "00000000000000a1"
WATCHED_S = 100.0
CRASH_GAP_S = 2.0


def main() -> int:
    record = deployment.Record(HERE)
    site = deployment.Deployment(
        record,
        pools={"lookups": 8, "spare": 4},
        queues={"lookup": {"service": "lookups"}},
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
    step = {"count": 5, "cpu": 2000, "long-running": True, "may_miss": 1}
    body = {"spec": "work_ms=500 lasting", "steps": [step]}
    site.send("POST", f"/lookup/{JOB}", body)
    time.sleep(6.0)
    began = time.monotonic()
    crashes = 0
    turn = 0
    state = ""
    while time.monotonic() - began < WATCHED_S:
        if deployment.has_trouble() and (
            time.monotonic() - began >= crashes * CRASH_GAP_S
        ):
            machines = [
                str(machine["machine"])
                for machine in site.list_machines()
                if machine["pool"] == "lookups" and machine["state"] == "up"
            ]
            victim = sorted(machines)[turn % len(machines)]
            turn += 1
            site.order({"crash": victim, "entry": 4.5, "away": 4.5})
            crashes += 1
            record.write(f"the worker on {victim} crashes")
        found = site.read_state("lookup", JOB)
        if found != state:
            state = found
            record.write(f"the job is shown as {state!r}")
        if state == "failed":
            break
        time.sleep(0.25)
    journal = site.journal()["journal"]
    for row in journal:
        record.write(f"worker {row[1:]}")
    failed = [row for row in journal if row[1] == "end" and row[5] == "failed"]
    record.write(
        f"crashes: {crashes}; ends 'failed': {len(failed)}; shown as {state!r}"
    )
    return 1 if state == "failed" and not failed else 0


if __name__ == "__main__":
    sys.exit(main())
