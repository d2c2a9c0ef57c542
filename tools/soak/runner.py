"""Runs a site with callers and faults, ends the faults, and checks."""

from __future__ import annotations

import dataclasses
import json
import time

import gevent

from tools import fleet as fleets
from tools import site as sites
from tools.soak import availability
from tools.soak import callers
from tools.soak import checks
from tools.soak import configurations
from tools.soak import crowds
from tools.soak import defects
from tools.soak import evacuations
from tools.soak import fault_injector
from tools.soak import gangs
from tools.soak import links
from tools.soak import operators
from tools.soak import plan
from tools.soak import sizes
from tools.soak import spans
from tools.soak import stalls

# How long a VM is maintained, in seconds.
UPKEEP_S = 2.0
# How long a move and a maintenance take, and the lag of the platform's list of
# VMs, in seconds.
PLATFORM_OPTIONS = (
    "--move=1.5",
    f"--upkeep={UPKEEP_S}",
    "--list-lag=0.8",
)
# Further options where halls are evacuated: workers report that they are cold
# for this many seconds after their start.
EVACUATION_OPTIONS = ("--halls=2", "--cold=1.5")
# Further options where racks go down.
RACK_OPTIONS = ("--racks=3",)
# Timeout for all accepted jobs to end after the last fault, in seconds.
SETTLE_TIMEOUT_S = 60.0
# Number of loopback addresses from which links connect.
SOURCES = 250
# Halls of the managers where they relay requests: all requests of a hall
# whose first two managers are both rejected would otherwise be refused.
HALLS = 3
# Interval at which a job is polled until it has ended, in seconds.
POLL_INTERVAL_S = 0.1


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Result:
    """The result of a run.

    :param violations: Violations of promises.
    :param faults: Number of faults that were applied.
    :param accepted: Number of jobs that were accepted.
    :param calls: Number of calls that were made.
    :param longest: Longest time in which a job had no run, in seconds, the
        job or task, and when it began.
    :param longest_calm: The same among those that contain a calm time.
    :param folder: Where the processes' logs are.
    """

    violations: list
    faults: int
    accepted: int
    calls: int
    longest: tuple
    longest_calm: tuple
    folder: str


class Runner:
    """One run.

    :param seed: Draws the faults and the callers' choices.
    :param seconds: How long faults are injected.
    :param managers: Number of managers.
    :param shape: How the faults are spread over the run.
    :param only: Kinds of faults that bursts are drawn from, if not all.
    :param size: Size of the site and of its traffic.
    """

    def __init__(
        self,
        seed,
        seconds,
        managers,
        shape=plan.STEADY,
        only=(),
        size=sizes.SMALL,
    ):
        self.seed = seed
        self.size = size
        self.seconds = seconds
        self.shape = shape
        self.only = only
        self._links = []
        self.site = sites.Site(
            managers,
            pools=size.pools,
            queues=size.queues,
            make_link=self._make_link,
            slow_clocks=True,
            keys={"north": [callers.KEY], "south": []},
            platform=_choose_platform(only, size),
            settings=_choose_settings(only),
            make_command=(
                None if plan.DEFECTS.isdisjoint(only) else defects.make_command
            ),
            halls=1 if plan.RELAYED.isdisjoint(only) else HALLS,
        )
        # A site makes these links when it is constructed, and the links to
        # workers when it is started.
        self._store_links = tuple(self._links)

    def run(self):
        """Run the site and return the result."""
        try:
            self.site.start()
            watch = None
            if not plan.CROWDS.isdisjoint(self.only):
                watch = crowds.watch_memory(self.site)
            worker_links = tuple(self._links[len(self._store_links) :])
            found = self._work(worker_links)
            if watch is not None:
                found.violations.extend(crowds.check_memory(watch))
        finally:
            self.site.stop()
            for link in self._links:
                link.close()
        return found

    def _make_link(self, port):
        # The store tells managers apart by the address that calls it.
        source = f"127.0.0.{2 + len(self._links) % SOURCES}"
        link = links.Link(port, source)
        self._links.append(link)
        return link.port

    def _work(self, worker_links):
        ports = [manager["front"] for manager in self.site.managers]
        size, count = self.size, self.size.callers
        crasher = callers.Caller(count + 2, self.seed, ports, size)
        injector = fault_injector.FaultInjector(
            self.site, self._store_links, worker_links, crasher
        )
        active = [
            callers.Caller(number + 1, self.seed, ports, size)
            for number in range(count)
        ]
        lasting = callers.Caller(count + 1, self.seed, ports, size)
        counting = callers.Caller(count + 3, self.seed, ports, size)
        probing = callers.Caller(count + 4, self.seed, ports, size)
        ganging = callers.Caller(count + 5, self.seed, ports, size)
        injector.operator.put_configuration(0.0)
        lasting.submit_lasting_jobs()
        began = time.monotonic()
        # The start of the managers counts as a fault.
        injector.spans.append(spans.Span(began=0.0, ended=began, kind="start"))
        working = [
            gevent.spawn(caller.run, began + self.seconds) for caller in active
        ]
        working.append(
            gevent.spawn(ganging.submit_gangs, began + self.seconds)
        )
        working += [
            gevent.spawn(counting.count, number, began + self.seconds)
            for number in range(len(ports))
        ]
        working += [
            gevent.spawn(
                probing.probe,
                number,
                injector.operator.changes,
                began + self.seconds,
            )
            for number in range(len(ports))
        ]
        injecting = [
            gevent.spawn(_apply_at, injector, fault, began)
            for fault in plan.draw_faults(
                self.seed, self.seconds, self.shape, self.only
            )
        ]
        gevent.joinall(working + injecting, raise_error=True)
        injector.heal()
        lasting.cancel_all(time.monotonic() + SETTLE_TIMEOUT_S)
        active += [lasting, crasher, counting, probing, ganging]
        _wait_until_ended(active)
        for caller in active:
            caller.close()
        return self._check(active, injector, time.monotonic())

    def _check(self, active, injector, ended):
        jobs = [job for caller in active for job in caller.jobs]
        calls = [call for caller in active for call in caller.calls]
        count_answers = [
            one for caller in active for one in caller.count_answers
        ]
        seen = self.site.journal()
        injector.spans.extend(spans.list_stalls(seen["stalls"]))
        rows = seen["journal"] + seen["states"]
        rows += [[row[0], "known", *row[1:]] for row in seen["known"]]
        rows.sort(key=lambda row: row[0])
        violations = checks.check_all(
            jobs, calls, injector.downtimes, rows, seen["orders"]
        )
        violations.extend(
            checks.check_waves(
                seen["orders"], most=operators.WAVE_MAX_AWAY, away=UPKEEP_S
            )
        )
        violations.extend(checks.check_counts(jobs, count_answers, rows))
        violations.extend(gangs.check_gangs(jobs, rows, injector.spans))
        violations.extend(
            configurations.check_configurations(
                injector.operator.changes,
                [one for caller in active for one in caller.queue_answers],
                injector.downtimes,
                injector.spans,
            )
        )
        self._write_records(seen, injector.spans)
        gaps = stalls.find_gaps(jobs, rows, ended)
        violations.extend(
            stalls.check_stalls(
                gaps,
                rows,
                injector.spans,
                self.size.slots,
                is_overloaded=self.size.is_overloaded,
            )
        )
        violations.extend(
            availability.check_availability(
                jobs, rows, injector.spans, seen["orders"]
            )
        )
        violations.extend(
            evacuations.check_evacuations(
                injector.operator.evacuations, self.site.list_halls(), rows
            )
        )
        longest, longest_calm = stalls.measure(gaps, injector.spans)
        violations.extend(checks.check_output(self.site.read_output()))
        return Result(
            violations=violations,
            faults=injector.applied,
            accepted=sum(1 for job in jobs if job.accepted),
            calls=len(calls),
            longest=longest,
            longest_calm=longest_calm,
            folder=str(self.site.folder),
        )

    def _write_records(self, seen, fault_spans):
        """Write observations and faults to the folder of the logs."""
        faults = [dataclasses.asdict(span) for span in fault_spans]
        text = json.dumps({**seen, "harmed": faults})
        (self.site.folder / "journal.json").write_text(text)


def _apply_at(injector, fault, began):
    gevent.sleep(max(0.0, began + fault.at - time.monotonic()))
    injector.apply(fault)


def _wait_until_ended(active):
    """Poll every accepted job until it has ended."""
    until = time.monotonic() + SETTLE_TIMEOUT_S
    for caller in active:
        for job in caller.jobs:
            while job.accepted and time.monotonic() < until:
                if caller.read_state(job) in callers.FINAL:
                    break
                gevent.sleep(POLL_INTERVAL_S)


def _choose_platform(only, size):
    """Return options for the platform's command line.

    :param only: Kinds of faults that bursts are drawn from, if not all.
    :param size: Size of the site.
    """
    words = [*PLATFORM_OPTIONS, f"--cpu={size.cpu}", f"--tick={size.tick}"]
    if not plan.RESTARTS.isdisjoint(only):
        words.append("--keep-names")
    if not plan.EVACUATIONS.isdisjoint(only):
        words += EVACUATION_OPTIONS
    if not plan.RACKS.isdisjoint(only):
        words += RACK_OPTIONS
    return tuple(words)


def _choose_settings(only):
    """Return a function that makes further settings of a manager.

    :param only: Kinds of faults that bursts are drawn from, if not all.
    """
    is_relayed = not plan.RELAYED.isdisjoint(only)
    is_evacuated = not plan.EVACUATIONS.isdisjoint(only)
    has_racks = not plan.RACKS.isdisjoint(only)
    is_crowded = not plan.CROWDS.isdisjoint(only)

    def make_settings(number):
        settings = dict(crowds.SETTINGS) if is_crowded else {}
        if is_evacuated:
            settings["evacuation"] = "on"
        if has_racks:
            settings["failure_domains"] = "on"
        if is_relayed:
            # Managers on separate VMs would use the same port.
            port = fleets.find_port()
            settings.update(
                relay="on", standby="on", peer_ports=f"{port},{port}"
            )
        return settings

    return make_settings
