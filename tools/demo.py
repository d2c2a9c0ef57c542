"""The demo: runs requests and operations on a small fleet."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import shutil  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402

from rackvalve.fleet import record  # noqa: E402
from tools.experiments import figures  # noqa: E402
from tools import fleet as fleets  # noqa: E402
from tools import jobs_demo  # noqa: E402

HALLS = {"bavaria-1": 2, "bavaria-2": 1}
POOLS = {"alarms": 3, "calibration": 2, "lookup": 3, "prices": 2}
WORKSPACES = {"cold-store": 1, "haulier": 2, "mechanic": 1, "dealer": 2}
LOAD_SECONDS = 6
REQUESTS = 20


class Demo:
    """One run of the demo."""

    def __init__(self):
        configuration = fleets.make_configuration(
            POOLS, sorted(HALLS), WORKSPACES
        )
        self.fleet = fleets.Fleet(
            HALLS, POOLS, configuration=configuration, with_admin=True
        )
        self.summary = {}

    def run(self):
        """Run all steps and return whether each went well."""
        try:
            print("starting platform, targets, entries and stewards ...")
            self.fleet.start()
            self._send_requests()
            self._ask_why()
            self._drain()
            self._run_wave()
            self._change_priority()
        finally:
            self.fleet.stop()
        shutil.rmtree(self.fleet.folder)
        return self._print_summary()

    def _send_requests(self):
        """Send quick lookups, keyed alarms and long recomputes."""
        entry = self.fleet.entries[0]
        kinds = {
            "lookups served": ("lookup", "mechanic", "GET", {}),
            "alarms served, once each": ("alarms", "haulier", "POST", {}),
            "recomputes served": (
                "calibration",
                "cold-store",
                "GET",
                {"Rackvalve-Class": "long"},
            ),
        }
        for title, (pool, workspace, method, extra) in kinds.items():
            served = 0
            for _ in range(REQUESTS):
                headers = dict(extra)
                if method == "POST":
                    headers["Idempotency-Key"] = fleets.make_key()
                reply = self.fleet.request(
                    entry,
                    pool,
                    workspace,
                    method=method,
                    headers=headers,
                    path="/work?run_ms=2",
                )
                served += reply.outcome == "served"
            self.summary[title] = (served, served == REQUESTS)
        self._send_twice(entry)

    def _send_twice(self, entry):
        headers = {"Idempotency-Key": fleets.make_key()}
        outcomes = [
            self.fleet.request(
                entry, "alarms", "haulier", method="POST", headers=headers
            ).outcome
            for _ in range(2)
        ]
        good = outcomes == ["served", "refused"]
        self.summary["same alarm sent twice"] = (" then ".join(outcomes), good)

    def _ask_why(self):
        entry = self.fleet.entries[0]
        headers = {"Rackvalve-Request-Id": "demo-lookup-1"}
        self.fleet.request(entry, "lookup", "mechanic", headers=headers)
        text = self._operate("why", "demo-lookup-1")
        print(text)
        self.summary["why explained"] = ("yes", "ran on" in text)

    def _drain(self):
        """Drain a VM while requests run, and count what was lost."""
        entry = self.fleet.entries[0]
        vm = f"{entry.hall}-lookup-1"
        addresses = [
            f"{fleets.HOST}:{e.entry_port}"
            for e in self.fleet.entries
            if e.hall == entry.hall
        ]
        load = figures.start_load(
            addresses,
            connections=8,
            seconds=LOAD_SECONDS,
            pool="lookup",
            workspaces="mechanic,dealer",
            path="/work?run_ms=5",
        )
        print(self._operate("drain", vm))
        fleets.wait_until(
            lambda: self._get_state(entry.hall, vm) is record.State.AWAY,
            10,
            f"{vm} is away",
        )
        arrived = self.fleet.control_target(vm)["arrived"]
        result = figures.finish_load(load)
        after = self.fleet.control_target(vm)["arrived"] - arrived
        lost = result["sent"] - result["served"]
        self.summary["requests during the drain"] = (result["sent"], True)
        self.summary["of them not served"] = (lost, lost == 0)
        self.summary["sent to the VM after it was away"] = (after, after == 0)
        print(self._operate("status"))

    def _run_wave(self):
        """Run a wave through a pool under load, within its budget."""
        entry = self.fleet.entries[0]
        print(self._operate("return", f"{entry.hall}-lookup-1"))
        print(self._operate("budget", "lookup", "2"))
        print(self._operate("wave", "start", "w1", "--pool", "lookup",
                            "--preview"))  # fmt: skip
        load = figures.start_load(
            [f"{fleets.HOST}:{entry.entry_port}"],
            connections=8,
            seconds=LOAD_SECONDS,
            pool="lookup",
            workspaces="mechanic,dealer",
            path="/work?run_ms=5",
        )
        print(self._operate("wave", "start", "w1", "--pool", "lookup"))
        least = self._maintain(entry.hall, "w1")
        result = figures.finish_load(load)
        lost = result["sent"] - result["served"]
        self.summary["requests during the wave"] = (result["sent"], True)
        self.summary["of them not served by the wave"] = (lost, lost == 0)
        self.summary["least VMs serving, with a budget of 2"] = (
            least,
            least >= 2,
        )

    def _maintain(self, hall, name):
        """Act as the platform: return VMs that are away to service."""
        least = 10**9
        while True:
            found, _ = self.fleet.read_hall(hall)
            serving = [
                target
                for target in found.targets.values()
                if target.pool == "lookup"
                and target.state is record.State.SERVING
            ]
            least = min(least, len(serving))
            if found.waves[name].phase is record.Phase.DONE:
                return least
            for vm in found.waves[name].active:
                if found.targets[vm].state is record.State.AWAY:
                    self._operate("return", vm)

    def _change_priority(self):
        print(self._operate("priority", "mechanic", "9"))
        shown = json.loads(self._operate("configuration", "show"))
        wanted = shown["expected"]
        fleets.wait_until(
            lambda: all(
                self._get_revision(entry) >= wanted
                for entry in self.fleet.entries
            ),
            10,
            "the priority is in force at every entry",
        )
        priority = shown["configuration"]["workspaces"]["mechanic"]
        self.summary["priority of mechanic, in force everywhere"] = (
            priority["priority"],
            priority["priority"] == 9,
        )

    def _operate(self, *words):
        entry = self.fleet.entries[0]
        command = [
            str(fleets.BIN / "rackvalve"),
            *words,
            "--admin",
            f"{fleets.HOST}:{entry.admin_port}",
        ]
        done = subprocess.run(command, capture_output=True, text=True)
        return (done.stdout + done.stderr).strip()

    def _get_state(self, hall, vm):
        return self.fleet.read_hall(hall)[0].targets[vm].state

    def _get_revision(self, entry):
        status = json.loads(
            fleets.call(entry.admin_port, "GET", "/v1/status").body
        )
        return min(
            [
                report["configuration_revision"]
                for report in status["reports"]
                if report["vm"] == entry.vm
            ],
            default=0,
        )

    def _print_summary(self):
        print("\nsummary")
        for title, (value, good) in self.summary.items():
            print(f"  {'ok  ' if good else 'BAD '} {title}: {value}")
        return all(good for _, good in self.summary.values())


def main():
    """Show durable jobs, then the requests of the first release.

    :return: 0 if each step went well.
    """
    jobs = jobs_demo.JobsDemo().run()
    requests = Demo().run()
    return 0 if jobs and requests else 1


if __name__ == "__main__":
    sys.exit(main())
