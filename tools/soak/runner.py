"""Starts a site, harms it as the plan says, heals it, and judges."""

from __future__ import annotations

import dataclasses
import time

import gevent

from tools import site as sites
from tools.soak import callers
from tools.soak import checks
from tools.soak import links
from tools.soak import plan

POOLS = {"lookups": 4, "rebuilds": 3, "spare": 2}
CALLERS = 4
# Longest wait for all accepted jobs to end once all is healed, in seconds.
SETTLE_S = 60.0
TERM_TIMEOUT_S = 30.0
WAVE_S = 20
# The store's faults, by the last word of their kind.
STORE_FAULTS = frozenset({"busy", "silent", "slow", "lost"})


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Result:
    """What a run came to.

    :param broken: Broken promises.
    :param faults: How many faults were applied.
    :param accepted: How many jobs were accepted.
    :param calls: How many calls were made.
    :param folder: Where the processes' logs are.
    """

    broken: list
    faults: int
    accepted: int
    calls: int
    folder: str


class Runner:
    """One run.

    :param seed: Draws the faults and the callers' choices.
    :param seconds: How long the site is harmed.
    :param managers: Number of managers.
    """

    def __init__(self, seed, seconds, managers):
        self.seed = seed
        self.seconds = seconds
        self._links = []
        self.site = sites.Site(
            managers, pools=POOLS, make_link=self._make_link, slow_clocks=True
        )
        # The first links lead managers to the platform, the others to
        # workers.
        self._store_links = self._links[:managers]
        self._worker_links = []
        self._harms = []
        # Faults of the store that are in force, oldest first.
        self._store_faults = []
        self._down = set()
        self._ends = []
        self._waves = 0
        self._applied = 0

    def run(self):
        """Run to the end and return the result."""
        try:
            self.site.start()
            self._worker_links = self._links[len(self._store_links) :]
            found = self._work()
        finally:
            self.site.stop()
            for link in self._links:
                link.close()
        return found

    def _make_link(self, port):
        link = links.Link(port)
        self._links.append(link)
        return link.port

    def _work(self):
        fronts = [manager["front"] for manager in self.site.managers]
        workers = [
            callers.Caller(number + 1, self.seed, fronts)
            for number in range(CALLERS)
        ]
        began = time.monotonic()
        working = [
            gevent.spawn(caller.run, began + self.seconds)
            for caller in workers
        ]
        faults = plan.draw_faults(self.seed, self.seconds)
        harming = [
            gevent.spawn(self._apply_at, fault, began) for fault in faults
        ]
        gevent.joinall(working + harming, raise_error=True)
        self._heal()
        jobs = [job for caller in workers for job in caller.jobs]
        self._settle(workers)
        calls = [call for caller in workers for call in caller.calls]
        for caller in workers:
            caller.close()
        return self._judge(jobs, calls)

    def _judge(self, jobs, calls):
        seen = self.site.journal()
        rows = seen["journal"] + [
            [row[0], "known", *row[1:]] for row in seen["known"]
        ]
        rows.sort(key=lambda row: row[0])
        broken = checks.check_all(
            jobs, calls, self._ends, rows, seen["orders"]
        )
        return Result(
            broken=broken,
            faults=self._applied,
            accepted=sum(1 for job in jobs if job.accepted),
            calls=len(calls),
            folder=str(self.site.folder),
        )

    def _settle(self, workers):
        """Ask for every accepted job until it has ended."""
        until = time.monotonic() + SETTLE_S
        for caller in workers:
            for job in caller.jobs:
                while job.accepted and time.monotonic() < until:
                    if caller.ask(job) in callers.FINAL:
                        break
                    gevent.sleep(0.1)

    # -- faults ------------------------------------------------------------

    def _apply_at(self, fault, began):
        gevent.sleep(max(0.0, began + fault.at - time.monotonic()))
        self._applied += 1
        self._note(fault.kind, fault.length)
        subject, _, how = fault.kind.partition(" ")
        if fault.kind == "all killed":
            gevent.joinall(
                [
                    gevent.spawn(self._kill, number, fault.length)
                    for number in range(len(self.site.managers))
                ],
                raise_error=True,
            )
        elif subject in ("manager", "owner"):
            self._harm_manager(subject, how, fault)
        elif how.startswith("link "):
            self._harm_link(subject, how.removeprefix("link "), fault)
        elif how in STORE_FAULTS:
            self._harm_store(how, fault.length)
        elif subject == "worker":
            self._harm_worker(how, fault)
        elif fault.kind == "store forgets":
            self.site.set_store_fault("forget")
        else:
            self._order_as_operator(fault)

    def _note(self, *words):
        """Write down what was done, and when, beside the processes' logs."""
        with open(self.site.folder / "faults.txt", "a") as out:
            print(
                f"{time.time():.3f} {time.monotonic():.3f}", *words, file=out
            )

    def _harm_manager(self, subject, how, fault):
        if how == "robbed":
            self.site.revoke("owner/scheduling")
            return
        number = int(fault.draw * len(self.site.managers))
        if subject == "owner":
            owner = self.site.find_owner()
            if owner is not None:
                number = self.site.managers.index(owner)
        process = self.site.managers[number]["process"]
        if number in self._down:
            return
        self._note("manager", number, how)
        if how == "killed":
            self._kill(number, fault.length)
        elif how == "stopped":
            self._stop(number, fault.length)
        elif how == "reloaded":
            process.hang_up()
        else:
            process.freeze()
            gevent.sleep(fault.length)
            process.resume()

    def _kill(self, number, length):
        if number in self._down:
            return
        self._down.add(number)
        began = time.monotonic()
        self.site.managers[number]["process"].kill()
        gevent.sleep(length)
        self._restart(number, began, began, planned=False)

    def _stop(self, number, length):
        """End a manager as planned; another freeze may hold it up."""
        self._down.add(number)
        process = self.site.managers[number]["process"]
        asked = time.monotonic()
        process.terminate(TERM_TIMEOUT_S)
        began = time.monotonic()
        gevent.sleep(length)
        self._restart(number, asked, began, planned=True)

    def _restart(self, number, asked, began, *, planned):
        manager = self.site.managers[number]
        manager["process"].start()
        self.site.wait_listening(manager)
        self._down.discard(number)
        self._ends.append(
            checks.Absence(
                manager=number,
                asked=asked,
                began=began,
                ended=time.monotonic(),
                planned=planned,
            )
        )

    def _harm_link(self, subject, how, fault):
        known = self._store_links if subject == "store" else self._worker_links
        link = known[int(fault.draw * len(known))]
        harm = (link, links.Harm(how))
        self._harms.append(harm)
        link.set_harm(harm[1])
        gevent.sleep(fault.length)
        self._harms.remove(harm)
        # Of several harms to one link the newest is in force.
        left = [other for one, other in self._harms if one is link]
        link.set_harm(left[-1] if left else links.Harm.NONE)

    def _harm_store(self, how, length):
        self._store_faults.append(how)
        self.site.set_store_fault(how)
        gevent.sleep(length)
        self._store_faults.remove(how)
        self.site.set_store_fault(
            self._store_faults[-1] if self._store_faults else ""
        )

    def _harm_worker(self, how, fault):
        machines = self.site.list_machines()
        machine = machines[int(fault.draw * len(machines))]
        if how == "crashed":
            self.site.order({"crash": machine})
            return
        self.site.order({"machine": machine, "fault": how})
        gevent.sleep(fault.length)
        self.site.order({"machine": machine, "fault": ""})

    def _order_as_operator(self, fault):
        if fault.kind == "configuration":
            extra = {f"extra{int(fault.draw * 10)}": "rebuilds"}
            self.site.configure({**sites.QUEUES, **extra})
            return
        self._waves += 1
        self.site.order(
            {
                "put": f"op/wave/{self._waves}",
                "value": {
                    "wave": self._waves,
                    "machines": self.site.list_machines(),
                    "duration-s": WAVE_S,
                    "upper-bound": 2,
                },
            }
        )

    def _heal(self):
        self.site.set_store_fault("")
        for link in self._links:
            link.set_harm(links.Harm.NONE)
        for manager in self.site.managers:
            manager["process"].resume()
        for machine in self.site.list_machines():
            self.site.order({"machine": machine, "fault": ""})
