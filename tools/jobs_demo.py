"""The demo of durable jobs, with a kill of the owner and a wave."""

from __future__ import annotations

import collections
import json
import shutil
import time

from tools import fleet as fleets
from tools import site as sites

JOBS = 6
STEPS = [{"count": 4, "cpu": 500}, {"count": 2, "cpu": 500, "after-rev": [0]}]
TASKS = 6
WAVE_S = 20
KILL_AFTER_S = 0.3


class JobsDemo:
    """One run of the demo."""

    def __init__(self):
        self.site = sites.Site(3)
        self.good = True

    def run(self):
        """Run all steps and return whether each went well."""
        try:
            print("starting the platform's stand-in and 3 managers ...")
            self.site.start()
            self._kill_owner()
            self._run_wave()
        finally:
            self.site.stop()
        shutil.rmtree(self.site.folder)
        return self.good

    def _report(self, title, good):
        print(f"  {'ok ' if good else 'BAD'} {title}")
        self.good = self.good and good

    def _kill_owner(self):
        """Submit jobs, kill the owner, and wait until all jobs have ended."""
        jobs = [
            self.site.submit("lookup", STEPS, "work_ms=400")
            for _ in range(JOBS)
        ]
        time.sleep(KILL_AFTER_S)
        owner = self.site.owner()
        print(f"{JOBS} jobs accepted; {owner['vm']} owns them and is killed")
        owner["process"].kill()
        killed = time.monotonic()
        states = [self.site.wait_final("lookup", job) for job in jobs]
        taken = time.monotonic() - killed
        self._report(
            f"all jobs completed, {taken:.1f} s after the kill",
            set(states) == {"completed"},
        )
        good = collections.Counter(
            row[3]
            for row in self.site.journal()["journal"]
            if row[1] == "end" and row[5] == "done"
        )
        self._report(
            f"{len(good)} tasks ended well, each of them once",
            len(good) == JOBS * TASKS and set(good.values()) == {1},
        )
        after = self.site.owner()
        self._report(f"{after['vm']} owns them now", after is not owner)
        owner["process"].start()

    def _run_wave(self):
        """Maintain all VMs while a job runs."""
        listed = json.loads(
            fleets.call(self.site.port, "GET", "/machines").body
        )
        vms = [vm["machine"] for vm in listed["machines"]]
        print(f"a wave over all {len(vms)} VMs is ordered, 2 at once")
        wave = {
            "wave": 1,
            "machines": vms,
            "duration-s": WAVE_S,
            "upper-bound": 2,
        }
        self.site.order({"put": "op/wave/1", "value": wave})
        job = self.site.submit("lookup", STEPS, "work_ms=200")
        until = time.monotonic() + WAVE_S
        orders = []
        while time.monotonic() < until and len(orders) < len(vms):
            time.sleep(0.2)
            orders = [
                order
                for order in self.site.journal()["orders"]
                if order[1] == "/machine-upkeep"
            ]
        self._report(
            f"{len(orders)} VMs maintained, each of them once and empty",
            sorted(order[2] for order in orders) == sorted(vms)
            and not any(order[5] for order in orders),
        )
        state = self.site.wait_final("lookup", job)
        self._report("the job beside it completed", state == "completed")
