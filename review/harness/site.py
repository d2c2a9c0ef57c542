"""A small site: managers as separate processes, and its clients."""

from __future__ import annotations

import base64
import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

import gevent

from review.harness import platform as platforms

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = platforms.HOST
START_TIMEOUT_S = 25.0
METRICS_PORT = 9464
# How much of a log an error shows, in characters.
LOG_TAIL = 2000
CLIENT_HOST = "jobs.example"
FINAL = ("completed", "failed", "cancelled")
# As in the settings of the users' small deployments.
FIELDS = {
    "zone": "muc-a",
    "limits.cpu-share": "1",
    "limits.cores": "1",
    "bounds.grace-s": "6",
    "bounds.status_s": "120",
    "bounds.lease-ms": "3000",
    "bounds.stop_ms": "900",
    "bounds.pace_ms": "100",
    "contracts": "base,drain,config,cost,recover,sched,platform,advice,"
    "upkeep,sharing",
    "internal-ports": "7060,7075",
}
_SECTION = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_GAP = re.compile(r"\{\{([^}]+)\}\}")


class Record:
    """The record of what was sent, answered and run.

    :param path: The file.
    """

    def __init__(self, path):
        self._out = open(path, "w", encoding="utf-8", buffering=1)
        self._began = time.monotonic()

    def __call__(self, *words):
        passed = time.monotonic() - self._began
        self._out.write(f"{passed:8.3f} {' '.join(words)}\n")


class Manager:
    """One manager process.

    :param number: Its number, from 1.
    :param folder: Folder of its settings and logs.
    """

    def __init__(self, number, folder):
        self.name = f"edge-muc-a-{number}"
        self.host = _find_host(number)
        self.front = platforms.find_port(self.host)
        self.ready = platforms.find_port(self.host)
        self.settings = folder / f"{self.name}.conf"
        self.log = folder / f"{self.name}.log"
        self.process = None

    def write_settings(self, platform, advice):
        """Write its settings file from the template of the deploy file."""
        fields = FIELDS | {
            "node": self.name,
            "ip": self.host,
            "listen.front": f"{self.host}:{self.front}",
            "listen.ready": f"{self.host}:{self.ready}",
            "platform.addr": f"{HOST}:{platform.store_port}",
            "cloud-api.addr": f"{HOST}:{platform.cloud_port}",
            "advice": f"{HOST}:{advice}" if advice else "",
        }
        deploy = _read_deploy()
        text = (ROOT / deploy["template"]).read_text("utf-8")
        text = _SECTION.sub(
            lambda found: found[2] if fields.get(found[1]) else "", text
        )
        text = _GAP.sub(lambda found: fields.get(found[1], ""), text)
        self.settings.write_text(text, "utf-8")

    def start(self):
        """Start it with the command of the deploy file."""
        kept = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment["RACKVALVE_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(
                _read_deploy()["run"].split(),
                stdout=out,
                stderr=out,
                cwd=ROOT,
                env=environment,
            )

    def signal(self, number):
        """Send it a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """End it."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Site:
    """The platform's stand-in, managers and clients.

    :param record: The record.
    :param pools: Number of machines by pool; the pool ``spare`` holds the
        spare ones.
    :param managers: Number of managers.
    :param kinds: Kinds of machines by their numbers.
    """

    def __init__(self, record, pools, managers=3, kinds=None):
        self.record = record
        self.platform = platforms.Platform(record, pools, kinds)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.managers = [
            Manager(number + 1, self.folder) for number in range(managers)
        ]
        self._version = 0

    def start(self, queues, advice=0):
        """Start all and wait until all managers are ready.

        :param queues: Routes by name; each a table of fields.
        :param advice: Port of the advice service; 0 for none.
        """
        self.platform.start()
        self.configure(queues)
        for manager in self.managers:
            manager.write_settings(self.platform, advice)
            manager.start()
        until = time.monotonic() + START_TIMEOUT_S
        while not all(self.is_ready(manager) for manager in self.managers):
            if time.monotonic() > until:
                raise TimeoutError(f"not ready:\n{self._read_logs()}")
            gevent.sleep(0.1)
        # The first owner finds all workers.
        gevent.sleep(3.0)

    def stop(self):
        """End all processes and remove their files."""
        for manager in self.managers:
            manager.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _read_logs(self):
        """Return the last lines that the managers wrote."""
        return "\n".join(
            manager.log.read_text("utf-8")[-LOG_TAIL:]
            for manager in self.managers
            if manager.log.exists()
        )

    def configure(self, queues):
        """Write the operator's configuration."""
        self._version += 1
        routes = [
            {
                "name": name,
                "host": CLIENT_HOST,
                "path-prefix": f"/{name}/",
                "kind": "non_idempotent",
                "timeout-ms": 3000,
                "target-latency-ms": 600,
                "priority": 0,
                "max-attempts": 3,
                "stretch": 2.0,
                **fields,
            }
            for name, fields in queues.items()
        ]
        pools = sorted({machine.pool for machine in self._machines})
        document = {
            "version": self._version,
            "routes": routes,
            "services": [
                {
                    "name": pool,
                    "admission-check": True,
                    "spare": pool == "spare",
                }
                for pool in pools
            ],
            "limits": {"max-body-bytes": 262144},
        }
        self.platform.store.put("op/config", json.dumps(document).encode())
        self.record("operator", f"configuration {self._version} is in force")

    @property
    def _machines(self):
        return self.platform.machines.values()

    def is_ready(self, manager):
        """Return whether a manager answers that it is ready."""
        return (
            self._exchange(manager, manager.ready, "GET", "/ready")[0] == 200
        )

    def call(self, manager, method, path, body=None, timeout=3.0):
        """Call a manager as a client, and record the answer.

        :param timeout: The deadline that the client names, in seconds.
        :return: Status and body; status 0 without an answer.
        """
        self.record("client", method, path, "to", manager.name)
        status, found = self._exchange(
            manager, manager.front, method, path, body, timeout
        )
        told = f"{status} {found}" if status else "leaves without an answer"
        self.record("client", method, path, "from", manager.name, "->", told)
        return status, found

    def submit(self, manager, queue, identity, job, timeout=3.0):
        """Hand in a job; return the status, 0 without an answer."""
        self.platform.jobs[identity] = job
        sent = {name: job[name] for name in ("spec", "steps")}
        path = f"/{queue}/{identity}"
        return self.call(manager, "POST", path, sent, timeout)[0]

    def read_state(self, manager, queue, identity):
        """Return a job's state; empty if none is told."""
        status, body = self.call(manager, "GET", f"/{queue}/{identity}")
        return json.loads(body)["state"] if status == 200 else ""

    def find_owner(self):
        """Return the manager that owns the scheduling now, or ``None``."""
        item = self.platform.store.items.get("owner/scheduling")
        if item is None:
            return None
        for manager in self.managers:
            if manager.name in _decode(item["value"]):
                return manager
        return None

    def _exchange(self, manager, port, method, path, body=None, timeout=2.0):
        text = None if body is None else json.dumps(body)
        headers = {
            "Host": CLIENT_HOST,
            "Content-Type": "application/json",
            "Deadline-Ms": str(int(timeout * 1000)),
        }
        client = http.client.HTTPConnection(
            manager.host, port, timeout=timeout
        )
        try:
            client.request(method, path, text, headers)
            answer = client.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            client.close()


def _decode(text):
    return base64.b64decode(text).decode()


def _find_host(number):
    """Return a loopback address on which the metrics port is free."""
    for third in range(256):
        host = f"127.0.{(os.getpid() + third) % 250 + 1}.{number}"
        with socket.socket() as sock:
            try:
                sock.bind((host, METRICS_PORT))
            except OSError:
                continue
            return host
    raise OSError(f"port {METRICS_PORT} is taken everywhere")


def _read_deploy():
    with open(ROOT / "deploy" / "system.toml", "rb") as source:
        return tomllib.load(source)["roles"]["manager"]
