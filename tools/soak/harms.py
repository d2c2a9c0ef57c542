"""Harms a running site as its faults say, and heals it."""

from __future__ import annotations

import time

import gevent

from tools import site as sites
from tools.soak import checks
from tools.soak import links
from tools.soak import spans

TERM_TIMEOUT_S = 30.0
# Time that a wave of the operator is given, and how many VMs it bears away.
WAVE_S = 20
WAVE_MOST_AWAY = 2
# The store's faults, by the last word of their kind.
STORE_FAULTS = frozenset({"busy", "silent", "slow", "lost"})


class Harms:
    """What harms one site.

    :param site: The site.
    :param store_links: Links that lead managers to the platform.
    :param worker_links: Links that lead to workers.
    """

    def __init__(self, site, store_links, worker_links):
        # How many faults were applied.
        self.applied = 0
        # Times without one of the managers.
        self.absences = []
        # What was harmed, and when.
        self.spans = []
        self._site = site
        self._store_links = store_links
        self._worker_links = worker_links
        # Harms to links that are in force, oldest first.
        self._link_harms = []
        # Faults of the store that are in force, oldest first.
        self._store_faults = []
        # Numbers of managers that are to be started again.
        self._down = set()
        self._waves = 0

    def apply(self, fault):
        """Apply a fault from its beginning to its end."""
        self.applied += 1
        self._note(fault.kind, fault.length)
        began = time.monotonic()
        place = self._apply(fault)
        # What is asked of a healthy system is no harm.
        if fault.kind != "wave":
            self.spans.append(
                spans.Span(
                    began=began,
                    ended=time.monotonic(),
                    kind=fault.kind,
                    place=place,
                )
            )

    def _apply(self, fault):
        """Apply a fault.

        :return: What was hit, if that is one VM or one link.
        """
        subject, _, how = fault.kind.partition(" ")
        if how.startswith("link "):
            return self._harm_link(subject, how.removeprefix("link "), fault)
        if subject == "worker":
            return self._harm_worker(how, fault)
        if fault.kind == "all killed":
            self._kill_all(fault.length)
        elif subject in ("manager", "owner"):
            self._harm_manager(subject, how, fault)
        elif how in STORE_FAULTS:
            self._harm_store(how, fault.length)
        elif fault.kind == "store forgets":
            self._site.set_store_fault("forget")
        elif fault.kind == "configuration":
            self._put_configuration(fault)
        else:
            self._put_wave()
        return ""

    def heal(self):
        """End all harm to the store, links, managers and workers."""
        self._site.set_store_fault("")
        for link in self._store_links + self._worker_links:
            link.set_harm(links.Harm.NONE)
        for manager in self._site.managers:
            manager["process"].resume()
        for machine in self._site.list_machines():
            self._site.order({"machine": machine, "fault": ""})

    def _note(self, *words):
        """Write down what was done, and when, beside the processes' logs."""
        with open(self._site.folder / "faults.txt", "a") as out:
            print(
                f"{time.time():.3f} {time.monotonic():.3f}", *words, file=out
            )

    def _harm_manager(self, subject, how, fault):
        if how == "robbed":
            self._site.revoke("owner/scheduling")
            return
        number = int(fault.draw * len(self._site.managers))
        if subject == "owner":
            owner = self._site.find_owner()
            if owner is not None:
                number = self._site.managers.index(owner)
        process = self._site.managers[number]["process"]
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

    def _kill_all(self, length):
        gevent.joinall(
            [
                gevent.spawn(self._kill, number, length)
                for number in range(len(self._site.managers))
            ],
            raise_error=True,
        )

    def _kill(self, number, length):
        if number in self._down:
            return
        self._down.add(number)
        began = time.monotonic()
        self._site.managers[number]["process"].kill()
        gevent.sleep(length)
        self._restart(number, began, began, planned=False)

    def _stop(self, number, length):
        """End a manager as planned; another freeze may hold it up."""
        self._down.add(number)
        process = self._site.managers[number]["process"]
        asked = time.monotonic()
        process.terminate(TERM_TIMEOUT_S)
        began = time.monotonic()
        gevent.sleep(length)
        self._restart(number, asked, began, planned=True)

    def _restart(self, number, asked, began, *, planned):
        manager = self._site.managers[number]
        manager["process"].start()
        self._site.wait_listening(manager)
        self._down.discard(number)
        self.absences.append(
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
        self._link_harms.append(harm)
        link.set_harm(harm[1])
        gevent.sleep(fault.length)
        self._link_harms.remove(harm)
        # Of several harms to one link the newest is in force.
        left = [other for one, other in self._link_harms if one is link]
        link.set_harm(left[-1] if left else links.Harm.NONE)
        return f"m-{link.target}" if subject == "worker" else "store"

    def _harm_store(self, how, length):
        self._store_faults.append(how)
        self._site.set_store_fault(how)
        gevent.sleep(length)
        self._store_faults.remove(how)
        self._site.set_store_fault(
            self._store_faults[-1] if self._store_faults else ""
        )

    def _harm_worker(self, how, fault):
        machines = self._site.list_machines()
        machine = machines[int(fault.draw * len(machines))]
        if how == "crashed":
            self._site.order({"crash": machine})
            return machine
        self._site.order({"machine": machine, "fault": how})
        gevent.sleep(fault.length)
        self._site.order({"machine": machine, "fault": ""})
        return machine

    def _put_configuration(self, fault):
        extra = {f"extra{int(fault.draw * 10)}": "rebuilds"}
        # The second workspace's keys change with each configuration.
        self._site.keys["south"] = [f"soak-key-south-{self.applied}"]
        self._site.configure({**sites.QUEUES, **extra})

    def _put_wave(self):
        self._waves += 1
        self._site.order(
            {
                "put": f"op/wave/{self._waves}",
                "value": {
                    "wave": self._waves,
                    "machines": self._site.list_machines(),
                    "duration-s": WAVE_S,
                    "upper-bound": WAVE_MOST_AWAY,
                },
            }
        )
