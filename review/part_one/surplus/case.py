"""A job that fits only on workers that its own pool has closed."""

from __future__ import annotations

import pathlib
import sys
import time

from review.part_one.harness import deployment

HERE = pathlib.Path(__file__).resolve().parent
CPU = 32000
LASTING = {"count": 3, "cpu": 4000, "long-running": True, "may_miss": 1}
# Three large jobs fit beside the lasting tasks, three need other VMs.
LARGE = (27000, 27000, 27000, 30000, 30000, 30000)
SMALL = {"count": 1, "cpu": 500}
SMALL_JOBS = 18
WAITING = {"count": 1, "cpu": 27500}
SPECS = {
    "a": "work_ms=300 lasting",
    "b": "work_ms=6000",
    "c": "work_ms=60000",
    "e": "work_ms=60000",
    "d": "work_ms=2000",
}

JOB = "00000000000000d1"
# The rule's time, and what it asks for.
WAIT_S = 3.0


def main() -> int:
    record = deployment.Record(HERE)
    site = deployment.Deployment(
        record,
        pools={"lookups": 3, "spare": 6},
        queues={"lookup": {"service": "lookups"}},
        words=("--no-births", f"--cpu={CPU}", "--move=1.5"),
    )
    try:
        site.start()
        return play(site, record)
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        return 2
    finally:
        site.stop()


def submit(
    site: deployment.Deployment, name: str, step: dict[str, object]
) -> None:
    identity = f"{0:014x}{name}"
    site.send(
        "POST",
        f"/lookup/{identity}",
        {"spec": SPECS[name[0]], "steps": [step]},
    )


def play(site: deployment.Deployment, record: deployment.Record) -> int:
    submit(site, "a1", LASTING)
    time.sleep(6.0)
    if deployment.has_trouble():
        record.write("large jobs come at once")
        for number, cpu in enumerate(LARGE):
            submit(site, f"b{number}", {"count": 1, "cpu": cpu})
        time.sleep(4.0)
    for number in range(SMALL_JOBS):
        submit(site, f"c{number:x}"[:2] if number < 16 else f"e{number - 16}", SMALL)
    time.sleep(9.0)
    submit(site, "d1", WAITING)
    began = time.monotonic()
    stood = 0.0
    since: float | None = None
    while time.monotonic() - began < 25.0:
        now = time.monotonic()
        free = list_free(site)
        room = sum(one // WAITING["cpu"] for one in free.values())
        used = 1 - sum(free.values()) / max(1, CPU * len(free))
        state = site.read_state("lookup", JOB)
        stands = state == "queued" and room >= 2 and used < 0.5
        since = (since or now) if stands else None
        stood = max(stood, now - since if since else 0.0)
        record.write(
            f"job {state!r}; free by VM of the pool: {free}; "
            f"used {used:.2f}; stands: {stands}"
        )
        if state == "completed":
            break
        time.sleep(0.5)
    for row in site.journal()["journal"]:
        record.write(f"worker {row}")
    record.write(f"stood for {stood:.1f} s with room for it twice over")
    return 1 if stood > WAIT_S else 0


def list_free(site: deployment.Deployment) -> dict[str, int]:
    """Return the free processor of each VM of the pool that is up."""
    found = {
        str(vm["id"]): CPU
        for vm in site.list_machines()
        if vm["pool"] == "lookups" and vm["state"] == "up" and vm["id"]
    }
    needs = {"a": 4000, "c": 500, "e": 500, "d": WAITING["cpu"]}
    running: dict[tuple[str, str], str] = {}
    for _, kind, worker, task, run, _detail in site.journal()["journal"]:
        if kind == "start":
            running[(str(task), str(run))] = str(worker)
        elif kind == "end":
            running.pop((str(task), str(run)), None)
    for (task, _), worker in running.items():
        if worker in found:
            found[worker] -= (
                LARGE[int(task[15])] if task[14] == "b" else needs[task[14]]
            )
    return found


if __name__ == "__main__":
    sys.exit(main())
