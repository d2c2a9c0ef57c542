"""Injects faults into a running site and reverts them."""

from __future__ import annotations

import json
import math
import pathlib
import time

import gevent

from tools.soak import callers
from tools.soak import checks
from tools.soak import crowds
from tools.soak import defects
from tools.soak import links
from tools.soak import operators
from tools.soak import spans

TERM_TIMEOUT_S = 30.0
# How long the entry of a crashed worker stays, in seconds: until three
# heartbeats were missed.
ENTRY_LIFETIME_S = 1.5
# An incarnation that goes silent soon after its start answers for at most the
# first of these times; bounds of the silence that follows, in seconds.
MAX_ANSWERING_S = 0.8
SILENT_S = (0.7, 4.0)
# Faults hit a worker on one of the VMs with the most runs: this many.
BUSIEST_VMS = 5
# Limit of the VMs that are lost for good in a run.
MAX_LOST_VMS = 3
# Interval at which a crashing job is polled, and how long a worker that a job
# has crashed is away, in seconds.
POLL_INTERVAL_S = 0.2
CRASH_RECOVERY_S = 2.5
# A starved process alternates between being stopped and running for these
# times, in seconds.
STARVE_STOP_S = 0.08
STARVE_RUN_S = 0.02
# How long the fault of each of several successive owners lasts, in seconds: a
# frozen owner is succeeded after some 1.3 s.
OWNER_FAULT_S = {"stopped": 0.3, "frozen": 1.8}
# How the store rejects managers, and the share of them that it rejects.
REJECTIONS = ("503", "429", "reset", "hang")
REJECTED_RATIO = 1 / 3
# Faults of the store, named by the last word of their kind.
# What operators do and what clients send, which excuse nothing.
HARMLESS = frozenset(
    {"wave", "configurations", "configuration invalid", "manager crowded"}
)
# Place of the link between the store and a manager, by the manager's number.
STORE_LINK = "store "
# Power fails within this time of a configuration's acknowledgement, in
# seconds.
MAX_POWER_DELAY_S = 0.4
STORE_FAULTS = frozenset(
    {"busy", "silent", "slow", "lost", "closing", "stuttering"}
)


class FaultInjector:
    """Injects faults into one site.

    :param site: The site.
    :param store_links: Links from the managers to the platform.
    :param worker_links: Links to workers.
    :param crasher: The caller that submits crashing jobs.
    """

    def __init__(self, site, store_links, worker_links, crasher):
        # Number of faults that were applied.
        self.applied = 0
        # Times at which a manager was down.
        self.downtimes = []
        # Which faults were in force, and when.
        self.spans = []
        self.operator = operators.Operator(site)
        self._site = site
        self._store_links = store_links
        self._worker_links = worker_links
        self._crasher = crasher
        # Active faults of links, oldest first.
        self._link_faults = []
        # Active faults of the store, oldest first.
        self._store_faults = []
        # How the store rejects callers, by their address.
        self._rejected = {}
        # Numbers of managers that are down until their restart.
        self._down = set()
        self._lost_vms = 0

    def apply(self, fault):
        """Apply a fault and return when it has ended."""
        self.applied += 1
        self._log_fault(fault.kind, fault.length)
        began = time.monotonic()
        place = self._dispatch(fault)
        # A wave is not a fault, and each of several owners has its own span.
        if not _is_harmless(fault.kind) and not fault.kind.startswith(
            "owners "
        ):
            self._add_span(began, fault.kind, place)

    def _add_span(self, began, kind, place=""):
        """Record a fault that ends now."""
        ended = time.monotonic()
        self.spans.append(
            spans.Span(
                began=began,
                ended=ended,
                kind=kind,
                place=place,
                manager=self._find_manager(place),
            )
        )

    def _find_manager(self, place):
        """Return the number of the manager at a place, if there is one."""
        if place.startswith(STORE_LINK):
            return int(place.removeprefix(STORE_LINK))
        names = [manager["vm"] for manager in self._site.managers]
        return names.index(place) if place in names else None

    def _dispatch(self, fault):
        """Apply a fault.

        :return: The place that it hit, if that is one VM or one link.
        """
        subject, _, how = fault.kind.partition(" ")
        if how.startswith("link "):
            return self._apply_link_fault(
                subject, how.removeprefix("link "), fault
            )
        if subject == "worker":
            return self._apply_worker_fault(how, fault)
        if fault.kind == "all workers restarted":
            self._restart_workers(self._site.list_machines(), fault.length)
        elif fault.kind == "job crashing":
            self._crash_by_job(fault)
        elif fault.kind == "all killed":
            self._kill_all(fault.length)
        elif fault.kind == "managers rejected":
            self._reject_managers(fault)
        elif subject == "owners":
            self._apply_to_owners(how, fault)
        elif subject in ("manager", "owner"):
            return self._apply_manager_fault(subject, how, fault)
        elif how in STORE_FAULTS:
            self._apply_store_fault(how, fault.length)
        elif fault.kind == "store forgets":
            self._site.set_store_fault("forget")
        elif subject == "rack":
            return self._take_rack_down(fault)
        elif subject == "hall":
            return self.operator.evacuate(fault)
        elif fault.kind == "configuration":
            self.operator.put_configuration(fault.draw)
        elif fault.kind == "configurations":
            self.operator.put_configurations(fault)
        elif fault.kind == "configuration invalid":
            self.operator.put_invalid(fault)
        elif fault.kind == "power lost":
            self._cut_power(fault)
        else:
            self.operator.order_wave()
        return ""

    def heal(self):
        """End all faults of the store, links, managers and workers."""
        self._site.set_store_fault("")
        self._site.reject_callers({})
        for link in self._store_links + self._worker_links:
            link.set_fault(links.LinkFault.NONE)
        for manager in self._site.managers:
            manager["process"].resume()
        for machine in self._site.list_machines():
            self._site.order({"machine": machine, "fault": ""})

    def _log_fault(self, *words):
        """Log a fault to a file in the folder of the processes' logs."""
        with open(self._site.folder / "faults.txt", "a") as out:
            print(
                f"{time.time():.3f} {time.monotonic():.3f}", *words, file=out
            )

    def _apply_manager_fault(self, subject, how, fault):
        if how == "robbed":
            self._site.revoke("owner/scheduling")
            return ""
        number = int(fault.draw * len(self._site.managers))
        if how == "crowded":
            # A crowd excuses nothing: what is left undone for it is broken.
            played = crowds.play_crowd(self._site, number, fault)
            self._log_fault("crowd", number, played)
            return ""
        if subject == "owner":
            owner = self._site.find_owner()
            if owner is not None:
                number = self._site.managers.index(owner)
        self._apply_to_manager(number, how, fault.length)
        return self._site.managers[number]["vm"]

    def _apply_to_manager(self, number, how, length):
        process = self._site.managers[number]["process"]
        if number in self._down:
            return
        self._log_fault("manager", number, how)
        if how == "killed":
            self._kill(number, length)
        elif how == "stopped":
            self._stop(number, length)
        elif how == "reloaded":
            process.hang_up()
        elif how == "starved":
            self._starve(process, length)
        else:
            process.freeze()
            gevent.sleep(length)
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
        """Stop a manager as planned; a concurrent freeze may delay its end."""
        self._down.add(number)
        process = self._site.managers[number]["process"]
        asked = time.monotonic()
        process.terminate(TERM_TIMEOUT_S)
        began = time.monotonic()
        stopped = self._read_stopped(number, asked)
        gevent.sleep(length)
        self._restart(number, asked, began, planned=True, stopped=stopped)

    def _read_stopped(self, number, asked):
        """Return when a stopped manager accepted its last call."""
        log = self._site.managers[number]["process"].log
        offset = time.time() - time.monotonic()
        for line in reversed(pathlib.Path(log).read_text().splitlines()):
            if '"program.stopped"' in line:
                stopped = json.loads(line)["time"] - offset
                return stopped if stopped >= asked else math.inf
        return math.inf

    def _restart(self, number, asked, began, *, planned, stopped=math.inf):
        manager = self._site.managers[number]
        manager["process"].start()
        self._site.wait_listening(manager)
        self._down.discard(number)
        self.downtimes.append(
            checks.Downtime(
                manager=number,
                asked=asked,
                began=began,
                ended=time.monotonic(),
                planned=planned,
                stopped=stopped,
            )
        )

    def _apply_link_fault(self, subject, how, fault):
        known = self._store_links if subject == "store" else self._worker_links
        link = known[int(fault.draw * len(known))]
        active = (link, links.LinkFault(how))
        self._link_faults.append(active)
        link.set_fault(active[1])
        gevent.sleep(fault.length)
        self._link_faults.remove(active)
        # Of several faults of one link the newest is in force.
        left = [other for one, other in self._link_faults if one is link]
        link.set_fault(left[-1] if left else links.LinkFault.NONE)
        if subject == "worker":
            return f"m-{link.target}"
        return f"{STORE_LINK}{known.index(link)}"

    def _apply_store_fault(self, how, length):
        self._store_faults.append(how)
        self._site.set_store_fault(how)
        gevent.sleep(length)
        self._store_faults.remove(how)
        self._site.set_store_fault(
            self._store_faults[-1] if self._store_faults else ""
        )

    def _reject_managers(self, fault):
        """Have the store reject a third of the managers."""
        if self._rejected:
            # At most a third of the managers is rejected at a time.
            return
        known = self._store_links
        first = int(fault.draw * len(known))
        count = max(1, round(len(known) * REJECTED_RATIO))
        how = REJECTIONS[int(fault.length * 1000) % len(REJECTIONS)]
        chosen = [
            known[(first + number) % len(known)].source
            for number in range(count)
        ]
        self._log_fault("rejected", how, *chosen)
        self._rejected = dict.fromkeys(chosen, how)
        self._site.reject_callers(self._rejected)
        gevent.sleep(fault.length)
        self._rejected = {}
        self._site.reject_callers(self._rejected)

    def _apply_worker_fault(self, how, fault):
        # A fault on a VM without runs would affect nothing.
        machines = self._site.list_busiest()[:BUSIEST_VMS]
        if not machines:
            # All workers are restarting.
            return ""
        machine = machines[int(fault.draw * len(machines))]
        if how in ("crashed", "crashed and silent"):
            self._crash(machine, how, fault)
        elif how == "restarted":
            self._restart_workers([machine], fault.length)
        elif how == "unlisted":
            self._site.order({"unlist": machine, "away": fault.length})
            gevent.sleep(fault.length)
        elif how == "unhandled":
            self._fail_reports(machine, fault.length)
        elif how == "lost":
            self._lose_vm(machine, fault.length)
        else:
            self._site.order({"machine": machine, "fault": how})
            gevent.sleep(fault.length)
            self._site.order({"machine": machine, "fault": ""})
        return machine

    def _crash(self, machine, how, fault):
        """Crash a worker; its next incarnation may go silent soon after."""
        order = {
            "crash": machine,
            "away": fault.length,
            "entry": ENTRY_LIFETIME_S,
        }
        self._site.order(order)
        gevent.sleep(fault.length)
        if how == "crashed":
            return
        gevent.sleep(fault.draw * MAX_ANSWERING_S)
        self._site.order({"machine": machine, "fault": "silent"})
        least, most = SILENT_S
        gevent.sleep(least + (most - least) * (fault.length % 1))
        self._site.order({"machine": machine, "fault": ""})

    def _restart_workers(self, machines, away):
        """Crash workers and restart them under their names."""
        self._site.order(
            {"restart": machines, "entry": ENTRY_LIFETIME_S, "away": away}
        )
        gevent.sleep(away)

    def _take_rack_down(self, fault):
        """Crash all workers of a rack at once, for as long as the fault is."""
        racks = self._site.list_racks()
        rack = sorted(racks)[int(fault.draw * len(racks))]
        for machine in racks[rack]:
            self._site.order(
                {
                    "crash": machine,
                    "away": fault.length,
                    "entry": ENTRY_LIFETIME_S,
                }
            )
        gevent.sleep(fault.length)
        return rack

    def _crash_by_job(self, fault):
        """Submit a crashing job and wait for its end."""
        until = time.monotonic() + fault.length
        job = self._crasher.submit_crashing_job(fault.draw)
        while job.accepted and time.monotonic() < until:
            if self._crasher.read_state(job) in callers.FINAL:
                break
            gevent.sleep(POLL_INTERVAL_S)
        # After this time the last worker that it crashed is back.
        gevent.sleep(CRASH_RECOVERY_S)

    def _lose_vm(self, machine, length):
        """Lose a VM for good, up to the limit of lost VMs."""
        if self._lost_vms >= MAX_LOST_VMS:
            return
        self._lost_vms += 1
        self._site.order({"lose": machine, "entry": length})
        gevent.sleep(length)

    def _fail_reports(self, machine, length):
        """Have each manager fail on the reports of the worker on a VM."""
        worker = self._site.list_incarnations()[machine]
        if worker is None:
            return
        defects.add_worker(self._site.folder, worker)
        gevent.sleep(length)
        defects.remove_worker(self._site.folder, worker)

    def _starve(self, process, length):
        """Leave a process a small share of processor time."""
        until = time.monotonic() + length
        while time.monotonic() < until:
            process.freeze()
            gevent.sleep(STARVE_STOP_S)
            process.resume()
            gevent.sleep(STARVE_RUN_S)

    def _apply_to_owners(self, how, fault):
        """Stop or freeze two or three successive owners."""
        owners = 2 + (fault.draw > 0.5)
        pause = fault.length / (owners - 1)
        gevent.joinall(
            [
                gevent.spawn_later(number * pause, self._apply_to_owner, how)
                for number in range(owners)
            ],
            raise_error=True,
        )

    def _apply_to_owner(self, how):
        owner = self._site.find_owner()
        if owner is not None:
            number = self._site.managers.index(owner)
            began = time.monotonic()
            self._apply_to_manager(number, how, OWNER_FAULT_S[how])
            self._add_span(
                began, f"owner {how}", self._site.managers[number]["vm"]
            )

    def _cut_power(self, fault):
        """End all managers and workers at once, just after a configuration."""
        self.operator.put_configuration(fault.draw)
        gevent.sleep(fault.draw * MAX_POWER_DELAY_S)
        for machine in self._site.list_machines():
            self._site.order(
                {
                    "crash": machine,
                    "away": fault.length,
                    "entry": ENTRY_LIFETIME_S,
                }
            )
        self._kill_all(fault.length)


def _is_harmless(kind):
    """Return whether a kind excuses nothing."""
    return kind in HARMLESS
