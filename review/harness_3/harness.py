"""Starts managers by the deploy file on loopback, calls them, keeps a record.

Only the standard library is used here; the programs and stand-ins take their
libraries from ``target/deps``, where the build of the deploy file puts them.
"""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import random
import re
import shlex
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, UNABLE = 0, 1, 2
HOST_NAME = "jobs.example"
START_TIMEOUT_S = 20.0
# A stand-in may be busy; its answers to the script are not judged.
STAND_IN_TIMEOUT_S = 15.0
# Settings of the small deployment of the users' pages (DEPLOY.md).
FIELDS = {
    "zone": "muc-a",
    "limits": {
        "cpu-share": 0.537,
        "cores": 2,
        "memory-mb": 300,
        "max-fds": 4100,
    },
    "contracts": [
        "base",
        "drain",
        "config",
        "cost",
        "recover",
        "sched",
        "platform",
        "advice",
        "upkeep",
        "sharing",
    ],
    "bounds": {
        "grace-s": 6,
        "status_s": 120,
        "lease-ms": 3000,
        "stop_ms": 900,
        "pace_ms": 100,
    },
}


def is_troubled():
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_port(host="127.0.0.1"):
    """Return a free port below those of outgoing connections."""
    while True:
        port = random.randrange(15000, 32000)
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
            return port


def _look_up(fields, path):
    found = fields
    for part in path.split("."):
        found = found.get(part) if isinstance(found, dict) else None
    return found


def render(template, fields):
    """Fill a template of the deploy file, as far as DEPLOY.md is needed."""

    def fill_section(match):
        given = _look_up(fields, match[1])
        return match[2] if given not in (None, False, "") else ""

    def fill_gap(match):
        given = _look_up(fields, match[1])
        if isinstance(given, list):
            return ",".join(map(str, given))
        return "" if given is None else str(given)

    text = re.sub(
        r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", fill_section, template, flags=re.S
    )
    return re.sub(r"\{\{([^#/^}]+)\}\}", fill_gap, text)


class Reply:
    """An answer to a call.

    :param status: HTTP status.
    :param body: The body in JSON, decoded.
    """

    def __init__(self, status, body):
        self.status = status
        self.body = body


def call(host, port, method, path, body=None, timeout=3.0):
    """Send one request; ``None`` without an answer."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        headers = {"Host": HOST_NAME, "Content-Type": "application/json"}
        connection.request(method, path, text, headers)
        answer = connection.getresponse()
        data = answer.read()
        return Reply(answer.status, json.loads(data) if data else None)
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        connection.close()


class Manager:
    """One manager process.

    :param site: The site.
    :param number: Its number, from 0.
    """

    def __init__(self, site, number):
        self.site = site
        self.name = f"edge-muc-a-{number + 1}"
        # The metrics port is fixed in the template, so each has an address.
        low = random.randrange(2, 250)
        self.host = f"127.{random.randrange(1, 250)}.{number}.{low}"
        self.front = find_port(self.host)
        self.ready = find_port(self.host)
        self.log = site.folder / f"{self.name}.log"
        self.settings = site.folder / f"{self.name}.ini"
        fields = {
            **FIELDS,
            "node": self.name,
            "ip": self.host,
            "listen": {
                "front": f"{self.host}:{self.front}",
                "ready": f"{self.host}:{self.ready}",
            },
            "platform": {
                "addr": f"127.0.0.1:{site.port}",
                "writes_per_s": 400,
            },
            "cloud-api": {"addr": f"127.0.0.1:{site.port}"},
            "advice": f"127.0.0.1:{site.port}",
            "internal-ports": ["7060", "7075"],
        }
        template = (ROOT / site.role["template"]).read_text()
        self.settings.write_text(render(template, fields))
        self.popen = None

    def start(self):
        """Start the process with the command of the deploy file."""
        self.popen = subprocess.Popen(
            shlex.split(self.site.role["run"]),
            cwd=ROOT,
            env=self.site.make_environment(RACKVALVE_CONFIG=self.settings),
            stdout=self.log.open("ab"),
            stderr=subprocess.STDOUT,
        )

    def call(self, method, path, body=None, timeout=3.0):
        """Call the manager as a client."""
        return call(self.host, self.front, method, path, body, timeout)

    def is_ready(self):
        """Return whether it answers the platform's check."""
        found = call(self.host, self.ready, "GET", "/ready", timeout=1.0)
        return found is not None and found.status == 200


class Site:
    """A platform stand-in and several managers.

    :param record: The record of the case.
    :param pools: Number of workers by service.
    :param routes: Routes of the configuration.
    :param racks: Number of racks; workers have their rack as a label.
    :param managers: Number of managers.
    """

    def __init__(self, record, pools, routes, *, racks=1, managers=3):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["manager"]
        self.record = record
        self.pools = pools
        self.routes = routes
        self.racks = racks
        self.version = 1
        self.temporary = tempfile.TemporaryDirectory(prefix="review-3-")
        self.folder = pathlib.Path(self.temporary.name)
        self.port = find_port()
        self.platform = None
        self.managers = [Manager(self, n) for n in range(managers)]
        self.began = time.monotonic()

    def make_environment(self, **variables):
        """Return the variables that the platform gives to a process."""
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        path = os.pathsep.join([str(ROOT / "target/deps"), str(ROOT)])
        given = {name: str(value) for name, value in variables.items()}
        return {**kept, "PYTHONPATH": path, "PYTHONUNBUFFERED": "1", **given}

    def start_platform(self):
        """Start the stand-in and write the first configuration."""
        ports = [find_port() for _ in range(sum(self.pools.values()))]
        log = (self.folder / "platform.log").open("ab")
        self.platform = subprocess.Popen(
            [
                "python3",
                "review/harness_3/stand_in.py",
                f"--port={self.port}",
                "--worker-ports=" + ",".join(map(str, ports)),
                "--pools="
                + ",".join(f"{name}={n}" for name, n in self.pools.items()),
                f"--racks={self.racks}",
            ],
            cwd=ROOT,
            env=self.make_environment(),
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.wait(lambda: self.order({}) is not None, "the platform")
        self.configure(self.routes)

    def start(self):
        """Start all processes and wait until all managers are ready."""
        self.start_platform()
        for manager in self.managers:
            manager.start()
        self.wait(
            lambda: all(one.is_ready() for one in self.managers),
            "the managers",
        )

    def stop(self):
        """End the processes that were started."""
        for manager in self.managers:
            if manager.popen is not None and manager.popen.poll() is None:
                manager.popen.kill()
                manager.popen.wait()
        if self.platform is not None and self.platform.poll() is None:
            self.platform.kill()
            self.platform.wait()
        self.temporary.cleanup()

    def configure(self, routes):
        """Write a configuration; the store's answer acknowledges it."""
        self.version += 3
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": name, "admission-check": True} for name in self.pools
            ],
            "limits": {"max-body-bytes": 262144},
        }
        self.order({"put": "op/config", "value": document})
        names = [route["name"] for route in routes]
        self.record.write(f"operator: version {self.version}, routes {names}")

    def order(self, order):
        """Give an order to the platform's stand-in."""
        found = call(
            "127.0.0.1",
            self.port,
            "POST",
            "/-/order",
            order,
            STAND_IN_TIMEOUT_S,
        )
        return None if found is None else found.body

    def read_journal(self):
        """Return what the workers did."""
        return call(
            "127.0.0.1",
            self.port,
            "GET",
            "/-/journal",
            timeout=STAND_IN_TIMEOUT_S,
        ).body

    def list_machines(self):
        """Return the machines as the platform lists them."""
        return call("127.0.0.1", self.port, "GET", "/machines").body[
            "machines"
        ]

    def submit(self, path, job):
        """Submit a job at any manager until it is accepted."""
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            for manager in self.managers:
                reply = manager.call("POST", path, job)
                status = reply.status if reply else "no answer"
                self.record.write(
                    f"client: POST {path} at {manager.name} -> {status}"
                )
                if reply is not None and reply.status == 200:
                    return
            time.sleep(0.2)
        raise TimeoutError("the job is not accepted")

    def read_states(self, path):
        """Return the job's state as each manager shows it."""
        found = []
        for manager in self.managers:
            reply = manager.call("GET", path)
            if reply is None:
                found.append("no answer")
            elif reply.status == 200:
                found.append(reply.body["state"])
            else:
                found.append(str(reply.status))
        self.record.write(f"client: GET {path} -> {', '.join(found)}")
        return found

    def wait(self, condition, what, timeout=START_TIMEOUT_S):
        """Wait until a condition holds."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.05)
        raise TimeoutError(f"{what}: not within {timeout} s")


class Record:
    """The record of one run of a case.

    :param path: The file.
    """

    def __init__(self, path):
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text):
        """Add a line with the time since the begin."""
        passed = time.monotonic() - self._began
        self._file.write(f"{passed:8.3f} s  {text}\n")
        self._file.flush()

    def write_runs(self, journal, identity):
        """Add what the workers ran of a job."""
        for row in journal["journal"]:
            if row[3].startswith(identity):
                at = row[0] - self._began
                words = " ".join(str(word) for word in row[1:])
                self._file.write(f"{at:8.3f} s  worker: {words}\n")
        self._file.flush()


def make_route(name, service, **fields):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path-prefix": f"/{name}/",
        "service": service,
        "priority": 0,
        "max-attempts": 3,
        "stretch": 1.6,
        "target-latency-ms": 600,
        "timeout-ms": 3000,
        **fields,
    }


def run(folder, play):
    """Run a case and end the process with its result.

    :param folder: The case's folder.
    :param play: Plays the case with a record; returns whether the rule held.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write(f"TROUBLE={'1' if is_troubled() else '0'}")
    try:
        held = play(record)
    except Exception:
        record.write("the case could not run:\n" + traceback.format_exc())
        sys.exit(UNABLE)
    record.write("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
