"""Runs a site under crowds of misbehaving clients, and checks its promises.

``python -m tools.clients.trial held-bodies --where no-route --seconds 20``
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import dataclasses  # noqa: E402
import enum  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import resource  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from tools.clients import kinds  # noqa: E402
from tools.clients import memory  # noqa: E402
from tools.clients import ordinary  # noqa: E402
from tools import processes  # noqa: E402
from tools import site as sites  # noqa: E402

# Memory and descriptors of the smallest VM in the users' deployments.
MEMORY_MB = 160
DESCRIPTORS = 4100
MANAGERS = 3
POOLS = {"lookups": 4, "rebuilds": 2, "spare": 1}
QUEUES = {"lookup": "lookups", "rebuild": "rebuilds"}
CROWD_QUEUE = "lookup"
ORDINARY_QUEUE = "rebuild"
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": kinds.BODY_LIMIT,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
SETTINGS = {
    "memory": f"{MEMORY_MB * memory.MB}B",
    "descriptors": str(DESCRIPTORS),
}
# How long ordinary callers call before the crowd, in seconds.
CALM_S = 1.0
# Timeout of the first successful call after the crowd, and of the end of the
# accepted jobs, in seconds.
RECOVERY_TIMEOUT_S = 10.0
SETTLE_TIMEOUT_S = 60.0
# Health checks in a row that may fail: the load balancer removes a manager
# that fails two.
ALLOWED_FAILED_CHECKS = 1
# Paths by the part of a manager that a crowd calls.
PATHS = {
    "route": ("front", f"/{CROWD_QUEUE}/{{}}"),
    "no-route": ("front", "/nowhere/{}"),
    "ready": ("ready", "/ready"),
    "metrics": ("metrics", "/metrics"),
}


class Concern(enum.Enum):
    """What a broken promise is about."""

    PROCESSES = "processes"
    CALLERS = "callers"
    SLOW_CALLER = "slow caller"
    JOBS = "jobs"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Crowd:
    """A crowd of clients of one kind.

    :param kind: The kind.
    :param where: The part of the manager that they call.
    :param connections: Their number; ``None`` for the kind's own.
    """

    kind: str
    where: str = "route"
    connections: int | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """The result of a trial.

    :param violations: Broken promises, each with what it is about.
    :param peaks: Greatest memory of each process, in bytes, by its VM.
    :param unread: The part of it that was not read yet, in bytes, by VM.
    :param statuses: Number of ordinary calls by status, at the crowd's manager
        and at the others.
    :param slowest: Longest time of an answered ordinary call at the crowd's
        manager, in seconds.
    :param counts: What each crowd counted.
    :param folder: Where the processes' logs are.
    """

    violations: list
    peaks: dict
    unread: dict
    statuses: dict
    slowest: float
    counts: list
    folder: str


class Trial:
    """One site under some crowds.

    :param crowds: The crowds, all at one manager.
    :param seconds: How long they last.
    :param seed: Seed of the clients' choices.
    :param settings: Further settings of the managers.
    """

    def __init__(self, crowds, *, seconds=6.0, seed=1, settings=None):
        self._crowds = crowds
        self._seconds = seconds
        self._random = random.Random(seed)
        self.site = sites.Site(
            MANAGERS,
            pools=POOLS,
            queues=QUEUES,
            limits=LIMITS,
            settings=lambda number: {**SETTINGS, **(settings or {})},
        )
        self._callers = ordinary.Callers(self.site.managers, ORDINARY_QUEUE)
        self._watch = memory.MemoryWatch(
            self.site.managers, MEMORY_MB * memory.MB
        )
        self._target = self._random.choice(self.site.managers)
        self._violations = []

    def run(self):
        """Run it, and return the result."""
        self.site.start()
        try:
            for manager in self.site.managers:
                resource.prlimit(
                    manager["process"].popen.pid,
                    resource.RLIMIT_NOFILE,
                    (DESCRIPTORS, DESCRIPTORS),
                )
            self._watch.start()
            self._callers.start(self._target)
            gevent.sleep(CALM_S)
            counts = self._play_crowds()
            self._check_recovery()
            self._callers.stop()
            self._check_jobs()
            self._watch.stop()
            self._check_processes()
            self._check_calls()
        finally:
            self.site.stop()
        return self._make_result(counts)

    def _play_crowds(self):
        started = [self._start_crowd(crowd) for crowd in self._crowds]
        for process in started:
            process.popen.wait()
        counts = []
        for process in started:
            with open(process.log, encoding="utf-8") as log:
                lines = log.read().splitlines()
            counts.append(json.loads(lines[-1]) if lines else {})
        return counts

    def _start_crowd(self, crowd):
        port, path = PATHS[crowd.where]
        name = f"crowd-{crowd.kind}-{crowd.where}"
        command = [
            sys.executable,
            "-m",
            "tools.clients",
            crowd.kind,
            f"--port={self._target[port]}",
            f"--path={path}",
            f"--seconds={self._seconds}",
            f"--seed={self._random.getrandbits(32)}",
        ]
        if crowd.connections is not None:
            command.append(f"--connections={crowd.connections}")
        process = processes.Process(
            name, command, str(self.site.folder / f"{name}.log")
        )
        process.start()
        return process

    def _check_recovery(self):
        """Check that one request is served in the calm after the crowd."""
        until = time.monotonic() + RECOVERY_TIMEOUT_S
        call = None
        while time.monotonic() < until:
            call = self._callers.submit(self._target)
            if call.status == 200:
                return
            gevent.sleep(ordinary.CALL_PAUSE_S)
        self._note(Concern.CALLERS, f"not served after the crowd: {call}")

    def _note(self, concern, text):
        """Note a broken promise."""
        self._violations.append((concern, text))

    def _check_processes(self):
        for vm, used in self._watch.exceeded.items():
            self._note(
                Concern.PROCESSES,
                f"{vm} took {used / memory.MB:.0f} MB of {MEMORY_MB}",
            )
        for manager in self.site.managers:
            code = manager["process"].popen.poll()
            if code is not None and manager["vm"] not in self._watch.exceeded:
                self._note(
                    Concern.PROCESSES, f"{manager['vm']} ended with {code}"
                )
        for vm, checks in self._callers.checks.items():
            row = _find_longest_failure(checks)
            if row > ALLOWED_FAILED_CHECKS:
                reasons = sorted(set(checks) - {""})
                self._note(
                    Concern.PROCESSES,
                    f"{vm} failed {row} health checks in a row: {reasons}",
                )

    def _check_calls(self):
        for call in self._callers.calls:
            if call.status != 200 and not (
                call.vm == self._target["vm"] and call.is_refused
            ):
                self._note(Concern.CALLERS, f"a call failed: {call}")
        for call in self._callers.slow_calls:
            if call.status != 200 and not call.is_refused:
                self._note(Concern.SLOW_CALLER, f"a call failed: {call}")
        slow = [call.status for call in self._callers.slow_calls]
        if 200 not in slow:
            self._note(Concern.SLOW_CALLER, f"none was served: {slow}")

    def _check_jobs(self):
        """Check that accepted jobs end, and that refused ones never begin."""
        calls = [*self._callers.calls, *self._callers.slow_calls]
        accepted = [call.identity for call in calls if call.status == 200]
        until = time.monotonic() + SETTLE_TIMEOUT_S
        ended = set()
        started = set()
        while time.monotonic() < until:
            started, ended = self._read_journal()
            if ended.issuperset(accepted):
                break
            gevent.sleep(0.5)
        missing = [one for one in accepted if one not in ended]
        if missing:
            self._note(
                Concern.JOBS,
                f"{len(missing)} of {len(accepted)} accepted jobs did not "
                f"end: {missing[:3]}",
            )
        for call in calls:
            if call.is_refused and call.identity in started:
                self._note(Concern.JOBS, f"a refused job has run: {call}")

    def _read_journal(self):
        """Return the identifiers of jobs that began, and that ended well."""
        journal = self.site.journal()
        if journal is None:
            return set(), set()
        rows = journal["journal"]
        started = {row[3].split(".")[0] for row in rows if row[1] == "start"}
        ended = {
            row[3].split(".")[0]
            for row in rows
            if row[1] == "end" and row[5] == "done"
        }
        return started, ended

    def _make_result(self, counts):
        at_target = [
            call
            for call in self._callers.calls
            if call.vm == self._target["vm"]
        ]
        others = [
            call
            for call in self._callers.calls
            if call.vm != self._target["vm"]
        ]
        return Result(
            violations=self._violations,
            peaks=self._watch.peaks,
            unread=self._watch.unread,
            statuses={
                "crowd's manager": _count_statuses(at_target),
                "others": _count_statuses(others),
                "slow caller": _count_statuses(self._callers.slow_calls),
            },
            slowest=max(
                (call.seconds for call in at_target if call.status), default=0
            ),
            counts=counts,
            folder=str(self.site.folder),
        )


def _count_statuses(calls):
    statuses = {}
    for call in calls:
        statuses[call.status] = statuses.get(call.status, 0) + 1
    return statuses


def _find_longest_failure(checks):
    """Return the greatest number of failed checks in a row."""
    longest = current = 0
    for fault in checks:
        current = current + 1 if fault else 0
        longest = max(longest, current)
    return longest


def report(name, result):
    """Print a result, the violations last."""
    peaks = {vm: round(peak / memory.MB) for vm, peak in result.peaks.items()}
    unread = max(result.unread.values()) / memory.MB
    print(
        f"{name}: {peaks} MB, of these {unread:.0f} MB not read yet;", end=" "
    )
    print(f"calls {result.statuses}, the slowest at the crowd's", end=" ")
    print(f"{result.slowest:.2f} s; crowds {result.counts}", flush=True)
    for concern, text in result.violations[:8]:
        print(f"  BROKEN {concern.value}: {text}")
    if result.violations:
        print(f"  {len(result.violations)} violations; logs: {result.folder}")


def read_arguments():
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="python -m tools.clients.trial")
    parser.add_argument("kinds", nargs="*", help="all kinds by default")
    parser.add_argument("--where", choices=sorted(PATHS), default="route")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--connections", type=int)
    parser.add_argument("--store-writes", type=int, default=400)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def main():
    """Run one trial for each kind that the command line names."""
    options = read_arguments()
    broken = 0
    for kind in options.kinds or sorted(kinds.KINDS):
        crowd = Crowd(
            kind=kind, where=options.where, connections=options.connections
        )
        trial = Trial(
            [crowd],
            seconds=options.seconds,
            seed=options.seed,
            settings={"store_writes": str(options.store_writes)},
        )
        result = trial.run()
        report(f"{kind} at {options.where}, seed {options.seed}", result)
        broken += bool(result.violations)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
