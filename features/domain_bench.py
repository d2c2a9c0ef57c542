"""Racks of workers that answer, or stop answering, for steps about them."""

from __future__ import annotations

import dataclasses

from features import job_bench as benches
from features import job_models as models
from features import vm_bench as vms
from rackvalve.manager.owner import domain_monitor
from rackvalve.manager import timing
from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import maintenance
from rackvalve.scheduling import policy as policies
from rackvalve.scheduling import sizing
from rackvalve import telemetry

TICK_S = 0.05


class Racks:
    """Workers r0-0, r0-1 ... of one pool; rack number N is in hall N modulo H.

    :param sizes: How many workers each rack has.
    :param halls: How many halls there are.
    :param is_active: Whether failure domains are regarded.
    """

    def __init__(self, sizes, halls, is_active=True):
        self.names = [
            f"r{rack}-{number}"
            for rack, size in enumerate(sizes)
            for number in range(size)
        ]
        racks = {name: name.partition("-")[0] for name in self.names}
        self.bench = benches.Bench(self.names, vms.WIDE, racks)
        self.cluster = self.bench.cluster
        self.cluster.policy = policies.Policy(failure_domains=is_active)
        vms.make_pools(self.cluster)
        self.halls = {
            f"r{rack}": f"h{rack % halls}" for rack in range(len(sizes))
        }
        for name in self.names:
            self.set_entry(name, hall=self.halls[racks[name]])
        self.listed = {name: self.list_vm(name) for name in self.names}
        # Each worker's holds end at another time.
        self.dead = set()
        self.answer_at = {
            name: self.bench.now + number % 10 * timing.HOLD_WAIT_S / 10
            for number, name in enumerate(self.names)
        }
        self.maintenance = maintenance.MaintenancePlanner(self.cluster)
        self.detector = failure_detector.FailureDetector(
            self.cluster, self.maintenance
        )
        self.telemetry = telemetry.Telemetry()
        self.monitor = domain_monitor.DomainMonitor(
            self.detector.suspicions, self.telemetry, lambda: None
        )
        self.sizer = sizing.Sizer(
            self.cluster, self.maintenance, self.detector
        )
        self.sizer.pools[models.POOL] = sizing.PoolSize()
        self.moves = []

    def set_entry(self, name, **fields):
        entry = self.cluster.workers[name].entry
        self.cluster.set_entry(dataclasses.replace(entry, **fields))

    def list_vm(self, name, **fields):
        rack = name.partition("-")[0]
        listed = vms.list_vm(name, hall=self.halls[rack], **fields)
        return dataclasses.replace(listed, rack=rack)

    def add_spares(self, count):
        for vm in [
            f"{rack}-s{n}" for rack in self.halls for n in range(count)
        ]:
            self.listed[vm] = self.list_vm(vm, pool=vms.SPARE, worker="")

    def find(self, places):
        """Return the workers of racks or halls, or those that are named."""
        wanted = set(places.split(", "))
        return {
            name
            for name in self.names
            if wanted
            & {name, (rack := name.partition("-")[0]), self.halls[rack]}
        }

    def step(self, seconds, size_pools=False):
        """Let time pass; workers that are not dead answer their holds."""
        until = self.bench.now + seconds - TICK_S / 2
        while self.bench.now < until:
            self.bench.now += TICK_S
            for name in set(self.names) - self.dead:
                if self.bench.now >= self.answer_at[name]:
                    self.bench.report(name, self.bench.rows(name))
                    self.answer_at[name] = self.bench.now + timing.HOLD_WAIT_S
            self.maintenance.take_list(
                list(self.listed.values()), self.bench.now
            )
            self.monitor.check(self.bench.now)
            self.detector.check(self.bench.now)
            if size_pools:
                self.moves += self.sizer.decide(self.bench.now)

    def list_taking(self):
        """Return the workers that take new runs."""
        return {
            worker.identity
            for worker in self.cluster.workers.values()
            if worker.takes_work(self.bench.now, timing.FRESHNESS_S)
        }

    def read_gauge(self):
        """Return how many racks and halls the gauge tells to be suspected."""
        return sum(
            self.telemetry._registry.get_sample_value(
                "rackvalve_domains_suspected", {"kind": kind}
            )
            or 0
            for kind in ("rack", "hall")
        )

    def list_suspected(self):
        return sorted(
            domain.rack or domain.hall
            for domain in self.detector.suspicions.suspected
        )
