"""A small site of separate processes on loopback.

The managers are started with the command of the deploy file and settings
like those of its template.  The platform is the project's own stand-in.
Everything that is sent and answered is written to the case's record.
"""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DEPS = ROOT / "target" / "deps"
HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 3.0
PORTS = range(15000, 32000)
_random = random.SystemRandom()
_returned_ports: set[int] = set()
# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotStartedError(Exception):
    """A process did not start."""


class Record:
    """The file in which a case tells what was sent, answered and run.

    :param path: The file.
    """

    def __init__(self, path):
        self._began = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")

    def write(self, text):
        """Write a line with its time."""
        passed = time.monotonic() - self._began
        self._file.write(f"{passed:8.3f} {text}\n")
        self._file.flush()

    def read_time(self, moment):
        """Return a moment of the steady clock as seconds of the record."""
        return moment - self._began


def find_port():
    """Return a free port below those of outgoing connections."""
    while True:
        port = _random.choice(PORTS)
        if port in _returned_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        _returned_ports.add(port)
        return port


def call(port, method, path, body=None, headers=None, timeout=CALL_TIMEOUT_S):
    """Make one call on a connection of its own.

    :return: The status and the body, or ``None`` without an answer.
    """
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    text = None if body is None else json.dumps(body)
    try:
        connection.request(method, path, text, headers or {})
        reply = connection.getresponse()
        return reply.status, json.loads(reply.read() or b"null")
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        connection.close()


class Site:
    """Processes of one site.

    :param record: The case's record.
    :param managers: Number of managers.
    :param pools: Number of VMs by pool.
    :param platform: Words that name the platform's stand-in.
    :param make_store: Returns the port of the store that a manager is given,
        from its number and the store's own port.
    :param advice: What the queues say of the service that admits workers;
        ``None`` for queues without it.
    :param adviser: Port of that service; 0 for none.
    """

    def __init__(
        self,
        record,
        managers=3,
        pools=None,
        platform=("-m", "standins.site"),
        make_store=None,
        advice=None,
        adviser=0,
    ):
        self.record = record
        self.pools = pools or {"lookups": 4}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rackvalve-case-"))
        self.port = find_port()
        self._platform = platform
        self._advice = advice
        self.adviser = adviser
        self._make_store = make_store or (lambda number, port: port)
        self._processes = []
        self._version = 0
        self.managers = [
            {"vm": f"edge-{number + 1}", "number": number}
            for number in range(managers)
        ]

    def start(self):
        """Start all processes and wait until each manager is ready."""
        ports = [find_port() for _ in range(sum(self.pools.values()))]
        self._spawn(
            "platform",
            [
                sys.executable,
                *self._platform,
                f"--port={self.port}",
                "--worker-ports=" + ",".join(f"{p}:{p}" for p in ports),
                "--pools="
                + ",".join(f"{pool}={n}" for pool, n in self.pools.items()),
                "--no-births",
            ],
            {"PYTHONPATH": f"{DEPS}{os.pathsep}{ROOT}"},
        )
        self._wait(lambda: self.order({}) is not None, "the platform")
        self.configure()
        for manager in self.managers:
            self.start_manager(manager)
        for manager in self.managers:
            self._wait(lambda: self._is_ready(manager), manager["vm"])
        self.record.write("all managers are ready")

    def stop(self):
        """End all processes that were started."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def start_manager(self, manager):
        """Start a manager by the deploy file."""
        ports = {name: find_port() for name in ("front", "ready", "metrics")}
        manager.update(ports)
        manager["store"] = self._make_store(manager["number"], self.port)
        settings = self.write_settings(manager)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        manager["process"] = self._spawn(
            manager["vm"],
            deploy["roles"]["manager"]["run"].split(" "),
            {"PYTHONPATH": str(DEPS), "RACKVALVE_CONFIG": str(settings)},
        )

    def write_settings(self, manager):
        """Write a manager's settings file, and return its path."""
        settings = self.folder / f"{manager['vm']}.ini"
        settings.write_text(
            "[instance]\n"
            f"vm = {manager['vm']}\n"
            "hall = muc-a\n"
            "processor_share = 0.537\n"
            "processor_speed = 2\n"
            "[manager]\n"
            f"front_listen = {HOST}:{manager['front']}\n"
            f"ready_listen = {HOST}:{manager['ready']}\n"
            f"metrics_listen = {HOST}:{manager['metrics']}\n"
            f"store = {HOST}:{manager['store']}\n"
            f"machines = {HOST}:{self.port}\n"
            + (f"adviser = {HOST}:{self.adviser}\n" if self.adviser else "")
            + "store_writes = 400\n"
            "memory = 300MiB\n"
            "descriptors = 4100\n"
            "grace_time = 6s\n"
            "keep_time = 120s\n"
            "order_pause = 3000ms\n"
            "stop_time = 900ms\n"
            "pace_interval = 100ms\n"
            "terms = base,drain,config,cost,recover,sched,platform,advice,"
            "upkeep,sharing\n"
            "standby = auto\n"
            "relay = auto\n"
            "failure_domains = auto\n"
            "evacuation = auto\n"
        )
        return settings

    def configure(self, removed=()):
        """Write the operator's configuration, with a queue for each pool.

        :param removed: Pools that have no queue.
        """
        self._version += 2
        document = {
            "version": self._version,
            "routes": [
                {
                    "name": f"r-{pool}",
                    "host": "jobs.example",
                    "path-prefix": f"/{pool}/",
                    "service": pool,
                    "priority": 0,
                    "max-attempts": 3,
                    "stretch": 2.2,
                    "target-latency-ms": 2500,
                    "timeout-ms": 3000,
                    **({"advice": self._advice} if self._advice else {}),
                }
                for pool in self.pools
                if pool not in removed
            ],
            "services": [
                {
                    "name": pool,
                    "admission-check": True,
                    "spare": pool == "spare",
                }
                for pool in self.pools
            ],
            "limits": {"max-body-bytes": 262144},
        }
        self.order({"put": "op/config", "value": document})

    def hang_up(self, manager):
        """Tell a manager that its settings file has changed."""
        manager["process"].send_signal(signal.SIGHUP)

    def order(self, order):
        """Send an order to the platform's stand-in."""
        found = call(self.port, "POST", "/-/order", order)
        return None if found is None else found[1]

    def read_journal(self):
        """Return what workers and the platform have seen."""
        found = call(self.port, "GET", "/-/journal", timeout=20.0)
        return {} if found is None else found[1]

    def list_vms(self, pool):
        """Return the platform's rows of a pool's VMs, in a fixed order."""
        found = call(self.port, "GET", "/machines")
        rows = [] if found is None else found[1]["machines"]
        return sorted(
            (row for row in rows if row["pool"] == pool),
            key=lambda row: row["machine"],
        )

    def ask(self, manager, method, path, body=None, timeout=CALL_TIMEOUT_S):
        """Call a manager as a client does, and record the call."""
        headers = {
            "Host": "jobs.example",
            "Content-Type": "application/json",
            "Deadline-Ms": "3000",
        }
        port = manager["front"]
        found = call(port, method, path, body, headers, timeout)
        answer = "no answer" if found is None else f"{found[0]} {found[1]}"
        sent = "" if body is None else f" {json.dumps(body)}"
        self.record.write(
            f"client: {method} {path}{sent} at {manager['vm']}: {answer}"
        )
        return found

    def submit(self, path, body):
        """Submit a job at one manager after the other until it is accepted.

        :return: Whether it was accepted.
        """
        for manager in self.managers * 4:
            found = self.ask(manager, "POST", path, body)
            if found is not None and 200 <= found[0] < 300:
                return True
            time.sleep(0.5)
        return False

    def ask_state(self, path):
        """Return a job's state; ``gone`` for 410, empty without an answer."""
        for manager in self.managers:
            found = self.ask(manager, "GET", path)
            if found is not None and found[0] == 410:
                return "gone"
            if found is not None and found[0] == 200:
                return found[1]["state"]
        return ""

    def list_runs(self, identity):
        """Return the starts and ends of a job's runs at workers."""
        rows = self.read_journal().get("journal", [])
        return [row for row in rows if row[3].partition(".")[0] == identity]

    def write_runs(self, identity):
        """Write the starts and ends of a job's runs to the record."""
        for moment, kind, worker, task, run, detail in self.list_runs(
            identity
        ):
            at = self.record.read_time(moment)
            self.record.write(
                f"worker {worker}: {kind} of {task} run {run} at {at:.3f}: "
                f"{detail}"
            )

    def _spawn(self, name, command, variables):
        kept = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**kept, **variables},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        return process

    def _is_ready(self, manager):
        found = call(manager["ready"], "GET", "/ready", timeout=1.0)
        return found is not None and found[0] == 200

    def _wait(self, condition, what):
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.05)
        raise NotStartedError(f"{what} did not start; see {self.folder}")


def run_case(folder, play, *, prepare=None, **options):
    """Run a case and exit with its result.

    :param folder: Folder of the case, in which the record is written.
    :param play: Plays the case on a site; returns whether the rule held.
    :param prepare: Returns further options of the site, from the record.
    :param options: Options of the site.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    if prepare is not None:
        options.update(prepare(record))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'on' if has_trouble else 'off'}")
    site = Site(record, **options)
    try:
        site.start()
        result = HELD if play(site, has_trouble) else BROKEN
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        result = NOT_RUN
    finally:
        site.stop()
    record.write(f"exit code {result}")
    sys.exit(result)
