"""Starts a small fleet as separate processes on loopback, and ends it."""

from __future__ import annotations

import base64
import dataclasses
import json
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

import geventhttpclient
from geventhttpclient import response as http_response
import uuid_utils

from rackvalve import codec
from rackvalve.configuration import document
from rackvalve.fleet import record
from rackvalve.keyvalue import packing
from tools import processes

BIN = pathlib.Path(sys.executable).parent
START_TIMEOUT_S = 20.0
POLL_S = 0.02
HOST = "127.0.0.1"
KEYS_TRIED = 8
# Below the ports of outgoing connections, which begin at 32768 on Linux.
PORTS = range(15000, 32000)
_returned_ports: set[int] = set()
# Ports that runs on this machine have drawn recently, one file each: no two
# runs draw the same port, even before its server has bound it.
RESERVATIONS = pathlib.Path(tempfile.gettempdir()) / "rackvalve-ports"
# A drawn port is released after this time, in seconds: a complete run takes
# half of it.
RESERVATION_S = 1200.0
_random = random.SystemRandom()


def find_port() -> int:
    """Return a free port that this process has not returned before.

    Ports of outgoing connections are excluded: such a connection may take a
    port between this check and the start of its server.
    """
    while True:
        port = _random.choice(PORTS)
        if port in _returned_ports or not _reserve(port):
            continue
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        _returned_ports.add(port)
        return port


def _reserve(port: int) -> bool:
    """Reserve a port; return whether no other run has drawn it recently."""
    RESERVATIONS.mkdir(exist_ok=True)
    path = RESERVATIONS / str(port)
    try:
        if time.time() - path.stat().st_mtime > RESERVATION_S:
            path.unlink()
    except FileNotFoundError:
        # No run has drawn it, or another run has just released it.
        pass
    try:
        path.open("x").close()
    except FileExistsError:
        return False
    return True


def call(port, method, path, body=b"", headers=None, timeout=30.0):
    """Send one HTTP request on a connection of its own."""
    client = geventhttpclient.HTTPClient(
        HOST, port, connection_timeout=timeout, network_timeout=timeout
    )
    try:
        # POST is never repeated by the client of its own accord.
        response = client.request(method, path, body=body, headers=headers)
        text = response.read()
        return Reply(
            response.status_code,
            {key.lower(): value for key, value in response.headers},
            bytes(text),
        )
    finally:
        client.close()


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """An HTTP answer."""

    status: int
    headers: dict
    body: bytes

    @property
    def outcome(self):
        """The outcome header."""
        return self.headers.get("rackvalve-outcome", "")

    @property
    def reason(self):
        """The reason header."""
        return self.headers.get("rackvalve-reason", "")


def make_key():
    """Make a new idempotency key."""
    return str(uuid_utils.uuid7())


@dataclasses.dataclass(slots=True)
class EntryVm:
    """One entry VM and the ports of its programs."""

    vm: str
    hall: str
    entry_port: int
    rpc_port: int
    steward_port: int
    admin_port: int
    settings: str = ""
    entry: processes.Process | None = None
    steward: processes.Process | None = None
    admin: processes.Process | None = None


class Fleet:
    """A platform, targets and entry VMs.

    Shape: ``halls`` maps a hall to the number of its entry VMs; ``pools``
    maps a pool to the number of its targets in each hall.
    """

    def __init__(
        self,
        halls,
        pools,
        *,
        slots=8,
        seed=1,
        configuration=None,
        overrides=None,
        with_admin=False,
    ):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rackvalve-"))
        self.halls = halls
        self.pools = pools
        self.slots = slots
        self.seed = seed
        self.configuration = configuration or make_configuration(
            pools, sorted(halls)
        )
        self.overrides = overrides or {}
        self.with_admin = with_admin
        self.platform_port = find_port()
        self.statsd_port = find_port()
        self.targets = {}
        self.target_pools = {}
        self.entries = []
        self.platform = None
        self.target_process = {}

    def start(self, wait=True):
        """Start everything and wait until requests can be served."""
        self._start_platform()
        self._start_targets()
        for hall, count in self.halls.items():
            for number in range(1, count + 1):
                self.entries.append(self._make_entry(hall, number))
        self.list_vms()
        for entry in self.entries:
            self._write_settings(entry)
            self.start_steward(entry)
            self.start_entry(entry)
            if self.with_admin:
                self.start_admin(entry)
        if wait:
            self.wait_ready()

    def stop(self):
        """End all processes that this fleet started."""
        processes = [self.platform, *self.target_process.values()]
        for entry in self.entries:
            processes += [entry.admin, entry.entry, entry.steward]
        for process in processes:
            if process is not None and process.popen is not None:
                process.resume()
                process.signal(signal.SIGKILL)
        for process in processes:
            if process is not None and process.popen is not None:
                process.popen.wait()

    def heal_platform(self):
        """Clear the faults of the platform."""
        self.control_platform(
            faults={
                "outage": False,
                "delay_s": 0.0,
                "lose_answers": 0,
                "lose_ratio": 0.0,
                "blocked": [],
            }
        )

    def heal(self):
        """Clear all faults of the platform and of targets."""
        self.heal_platform()
        for vm in self.targets:
            self.control_target(vm, fault="", fault_ratio=1.0, latency_ms=0.0)

    def wait_ready(self, timeout=START_TIMEOUT_S):
        """Wait until each entry serves a request of each pool."""
        workspace = next(iter(self.configuration.workspaces))
        for entry in self.entries:
            for pool in self.pools:
                wait_until(
                    lambda e=entry, p=pool: self.try_request(e, p, workspace),
                    timeout,
                    f"{entry.vm} serves {pool}",
                )
            wait_until(
                lambda e=entry: self.try_keys(e, workspace),
                timeout,
                f"{entry.vm} serves requests with keys",
            )

    def try_keys(self, entry, workspace):
        """Return whether requests with new keys are served."""
        pool = next(iter(self.pools))
        for _ in range(KEYS_TRIED):
            headers = {"Idempotency-Key": make_key()}
            reply = self.request(
                entry, pool, workspace, method="POST", headers=headers
            )
            if reply.outcome != "served":
                return False
        return True

    def try_request(self, entry, pool, workspace):
        """Return whether a simple request is served."""
        try:
            reply = self.request(entry, pool, workspace, timeout=3.0)
        except (OSError, http_response.HTTPParseError):
            return False
        return reply.outcome == "served"

    def request(
        self,
        entry,
        pool,
        workspace="ws-1",
        *,
        method="GET",
        path="/work",
        body=b"",
        headers=None,
        timeout=60.0,
    ):
        """Send a request to an entry."""
        fields = {
            "Rackvalve-Workspace": workspace,
            "Rackvalve-Pool": pool,
            **(headers or {}),
        }
        return call(entry.entry_port, method, path, body, fields, timeout)

    def control_platform(self, **order):
        """Set faults of the platform, or read its counters."""
        reply = call(
            self.platform_port, "POST", "/control", json.dumps(order).encode()
        )
        return json.loads(reply.body)

    def count_running(self, pool, hall="north"):
        """Count the requests that run on a pool's targets."""
        return sum(
            self.control_target(f"{hall}-{pool}-{number + 1}")["running"]
            for number in range(self.pools[pool])
        )

    def control_target(self, vm, **order):
        """Set faults of a target, or read its counters."""
        reply = call(
            self.targets[vm],
            "POST",
            "/-/control",
            json.dumps(order).encode(),
        )
        return json.loads(reply.body)

    def list_vms(self, without=()):
        """Set the platform's list of VMs."""
        vms = list(self.targets) + [entry.vm for entry in self.entries]
        present = [vm for vm in vms if vm not in without]
        self.control_platform(vms=present)

    def read_hall(self, hall):
        """Read a hall's record from the platform."""
        value = self._read_key(record.get_key(hall))
        return record.decode(value[0]), value[1]

    def read_configuration(self):
        """Read the configuration from the platform."""
        value = self._read_key(document.KEY)
        return document.decode(value[0]), value[1]

    def write_configuration(self, configuration):
        """Write a configuration by compare-and-swap, as an operator does."""
        _, revision = self.read_configuration()
        self._put(document.KEY, codec.encode(configuration), revision)

    def start_steward(self, entry):
        """Start a steward."""
        entry.steward = self._spawn(
            f"{entry.vm}-steward",
            [BIN / "rackvalve-steward", "run", entry.settings],
        )

    def start_entry(self, entry):
        """Start an entry."""
        entry.entry = self._spawn(
            f"{entry.vm}-entry",
            [BIN / "rackvalve-entry", "run", entry.settings],
        )

    def start_admin(self, entry):
        """Start an administration service."""
        entry.admin = self._spawn(
            f"{entry.vm}-admin",
            [BIN / "rackvalve-admin", "run", entry.settings],
        )

    def restart_platform(self):
        """Start a new platform without the state of the old one."""
        self._start_platform()

    def read_log(self, name):
        """Read a process's log lines that are JSON."""
        path = self.folder / f"{name}.log"
        lines = []
        for line in path.read_text("utf-8").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"event": "", "text": line})
        return lines

    def _read_key(self, key):
        reply = call(
            self.platform_port, "GET", f"/v1/keys/{key.replace('/', '%2F')}"
        )
        answer = json.loads(reply.body)
        value = base64.b64decode(answer["payload"])
        return packing.unpack(value), answer["revision"]

    def _put(self, key, payload, expected):
        path = f"/v1/keys/{key.replace('/', '%2F')}?expected={expected}"
        reply = call(self.platform_port, "POST", path, payload)
        if reply.status != 200:
            raise RuntimeError(f"write of {key}: status {reply.status}")

    def _start_platform(self):
        self.platform = self._spawn(
            "platform",
            [
                sys.executable,
                "-m",
                "standins.platform",
                "--port",
                str(self.platform_port),
                "--seed",
                str(self.seed),
            ],
        )
        wait_until(lambda: is_open(self.platform_port), 10, "platform")
        self._put(document.KEY, codec.encode(self.configuration), 0)

    def _start_targets(self):
        for hall in self.halls:
            targets = {}
            words = []
            for pool, count in self.pools.items():
                for number in range(1, count + 1):
                    vm = f"{hall}-{pool}-{number}"
                    port = find_port()
                    self.targets[vm] = port
                    self.target_pools[vm] = pool
                    words.append(f"{vm}:{port}")
                    targets[vm] = record.Target(
                        pool=pool,
                        host=HOST,
                        port=port,
                        slots=self.slots,
                        rack=f"{hall}-r{(number + 3) // 4}",
                    )
            self.target_process[hall] = self._spawn(
                f"{hall}-targets",
                [
                    sys.executable,
                    "-m",
                    "standins.target",
                    "--slots",
                    str(self.slots),
                    "--seed",
                    str(self.seed),
                    *words,
                ],
            )
            hall_record = record.Hall(targets=targets)
            self._put(record.get_key(hall), codec.encode(hall_record), 0)

    def _make_entry(self, hall, number):
        vm = f"{hall}-entry-{number}"
        ports = [find_port() for _ in range(4)]
        entry = EntryVm(vm, hall, *ports)
        entry.settings = str(self.folder / f"{vm}.ini")
        return entry

    def _write_settings(self, entry):
        peers = ", ".join(
            f"{HOST}:{other.steward_port}"
            for other in self.entries
            if other.hall == entry.hall
        )
        sections = {
            "instance": {"vm": entry.vm, "hall": entry.hall},
            "entry": {
                "listen": f"{HOST}:{entry.entry_port}",
                "rpc_listen": f"{HOST}:{entry.rpc_port}",
                "ready_delay": "200ms",
                "clock_skew": "50ms",
                "eject_time": "500ms",
            },
            "steward": {
                "listen": f"{HOST}:{entry.steward_port}",
                "platform": f"{HOST}:{self.platform_port}",
                "peers": peers,
                "report_interval": "200ms",
                "step_interval": "100ms",
                "lease_time": "1s",
                "watch_time": "5s",
            },
            "admin": {"listen": f"{HOST}:{entry.admin_port}"},
            "metrics": {"statsd": f"{HOST}:{self.statsd_port}"},
        }
        for (section, key), value in self.overrides.items():
            sections.setdefault(section, {})[key] = value
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        pathlib.Path(entry.settings).write_text("\n".join(lines) + "\n")

    def _spawn(self, name, command):
        process = processes.Process(
            name, [str(word) for word in command], self.folder / f"{name}.log"
        )
        process.start()
        return process


def make_configuration(pools, halls, workspaces=None):
    """Make a configuration in which each workspace may use each pool."""
    names = workspaces or {"ws-1": 1, "ws-2": 3}
    return document.Configuration(
        pools={pool: document.Pool(budget=1) for pool in pools},
        workspaces={
            name: document.Workspace(priority=priority, pools=sorted(pools))
            for name, priority in names.items()
        },
        key_halls=list(halls),
    )


def wait_until(condition, timeout, what):
    """Wait until a condition holds."""
    end = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"waited {timeout}s in vain: {what}")
        time.sleep(POLL_S)


def is_open(port):
    """Return whether a port takes connections."""
    with socket.socket() as sock:
        sock.settimeout(1.0)
        return sock.connect_ex((HOST, port)) == 0
