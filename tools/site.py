"""Starts a small site: the platform's stand-in and several managers."""

from __future__ import annotations

import base64
import json
import pathlib
import sys
import tempfile
import time

from tools import fleet as fleets
from tools import processes

POOLS = {"lookups": 3, "rebuilds": 2, "spare": 1}
QUEUES = {"lookup": "lookups", "rebuild": "rebuilds"}
START_TIMEOUT_S = 20.0
END_TIMEOUT_S = 40.0
FINAL = ("completed", "failed", "cancelled")


class Site:
    """Processes of one small site on loopback.

    :param managers: Number of managers.
    :param pools: Number of VMs by pool; the pool ``spare`` holds spare VMs.
    :param queues: Pool by queue.
    :param cores: Processor in the settings of each manager.
    :param make_link: Makes a link to a port and returns the link's port;
        managers then reach the platform, and each worker, through links.
    :param slow_clocks: Whether the clocks of half of the workers are slow.
    :param keys: Keys by workspace; ``None`` if callers need none.
    :param platform: Further options for the platform's command line.
    :param settings: Makes further settings of a manager from its number.
    :param halls: Number of halls over which the managers are spread.
    :param make_command: Makes the command that runs a manager from the site's
        folder and the path of its settings.
    :param limits: The limits in the operator's configuration.
    """

    def __init__(
        self,
        managers=3,
        pools=None,
        queues=None,
        cores=None,
        make_link=None,
        slow_clocks=False,
        keys=None,
        platform=(),
        settings=None,
        halls=1,
        make_command=None,
        limits=None,
    ):
        # All calls send the first key, unless they set the header themselves.
        self.keys = keys
        self.cores = cores or [1] * managers
        self.make_link = make_link or (lambda port: port)
        self.slow_clocks = slow_clocks
        self.pools = pools or POOLS
        self.queues = queues or QUEUES
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rackvalve-site-"))
        self.port = fleets.find_port()
        self.version = 1
        self.jobs = 0
        self.platform = None
        self._platform_words = platform
        self._make_settings = settings or (lambda number: {})
        self._halls = halls
        self._make_command = make_command or _make_command
        self._limits = limits or {"max-body-bytes": 65536}
        self.managers = [self._make_manager(n) for n in range(managers)]

    def start(self):
        """Start all processes and wait until one manager is ready."""
        ports = [fleets.find_port() for _ in range(sum(self.pools.values()))]
        shown = [f"{port}:{self.make_link(port)}" for port in ports]
        pools = ",".join(f"{pool}={n}" for pool, n in self.pools.items())
        self.platform = processes.Process(
            "site",
            [
                sys.executable,
                "-m",
                "standins.site",
                f"--port={self.port}",
                "--worker-ports=" + ",".join(shown),
                f"--pools={pools}",
                *(["--slow-clocks"] if self.slow_clocks else []),
                *self._platform_words,
            ],
            str(self.folder / "site.log"),
        )
        self.platform.start()
        self._wait(lambda: self.order({}) is not None, "the platform")
        self.configure()
        for manager in self.managers:
            manager["process"].start()
        self._wait(
            lambda: all(self._is_ready(m) for m in self.managers),
            "the managers",
        )

    def stop(self):
        """End all processes."""
        for manager in self.managers:
            if manager["process"].popen is not None:
                manager["process"].resume()
                manager["process"].kill()
        if self.platform is not None and self.platform.popen is not None:
            self.platform.kill()

    def configure(self, queues=None, prefixes=None):
        """Write the operator's configuration.

        :param queues: Pool by queue.
        :return: The version, once the store has acknowledged it.
        """
        queues = self.queues if queues is None else queues
        prefixes = prefixes or {}
        routes = [
            {
                "name": name,
                "host": "jobs.example",
                "path-prefix": prefixes.get(name, f"/{name}/"),
                "service": pool,
                "priority": 0,
                "max-attempts": 3,
                "stretch": 2.0,
                "target-latency-ms": 600,
                "timeout-ms": 3000,
            }
            for name, pool in queues.items()
        ]
        services = [
            {
                "name": pool,
                "admission-check": True,
                "spare": pool == "spare",
            }
            for pool in self.pools
        ]
        self.version += 1
        document = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": self._limits,
        }
        if self.keys is not None:
            document["tenants"] = [
                {"name": name, "api-keys": keys, "weight": 100}
                for name, keys in self.keys.items()
            ]
        self.order({"put": "op/config", "value": document})
        return self.version

    def put_invalid_configuration(self, text):
        """Write a document that no manager may take as the configuration."""
        self.order({"put text": "op/config", "text": text})

    def order(self, order):
        """Send an order to the platform's stand-in."""
        return self._call(self.port, "POST", "/-/order", order)

    def set_store_fault(self, fault):
        """Set the fault of the store; empty for none."""
        return self._call(self.port, "POST", "/-/fault", {"fault": fault})

    def refuse_values(self, text, above):
        """Have the store refuse values above a size, by a text in the key."""
        order = {"refuse": text, "above": above}
        return self._call(self.port, "POST", "/-/fault", order)

    def reject_callers(self, rejected):
        """Set which callers the store rejects, by address."""
        order = {"rejected": rejected}
        return self._call(self.port, "POST", "/-/fault", order)

    def revoke(self, key):
        """Remove a key from the store, whoever holds it."""
        return self._call(self.port, "POST", "/-/fault", {"revoke": key})

    def journal(self):
        """Return the journal of workers and the orders to VMs."""
        return self._call(self.port, "GET", "/-/journal")

    def submit(self, queue, steps, spec="work_ms=50", manager=None):
        """Submit a job at any manager until it is accepted.

        :return: The job's identifier.
        """
        self.jobs += 1
        identity = f"{self.jobs:016x}"
        body = {"spec": spec, "steps": steps}
        until = time.monotonic() + END_TIMEOUT_S
        while time.monotonic() < until:
            for one in [manager] if manager else self.managers:
                reply = self.call(one, "POST", f"/{queue}/{identity}", body)
                if reply is not None and reply.status == 200:
                    return identity
            time.sleep(0.05)
        raise TimeoutError(f"job {identity} is not accepted")

    def state(self, queue, identity):
        """Return a job's state from the first manager that answers it."""
        for manager in self.managers:
            reply = self.call(manager, "GET", f"/{queue}/{identity}")
            if reply is not None and reply.status == 200:
                return json.loads(reply.body)["state"]
            if reply is not None and reply.status == 410:
                return "gone"
        return "unknown"

    def wait_final(self, queue, identity):
        """Wait until a job has ended and return its state."""
        until = time.monotonic() + END_TIMEOUT_S
        while time.monotonic() < until:
            state = self.state(queue, identity)
            if state in FINAL:
                return state
            time.sleep(0.05)
        return self.state(queue, identity)

    def owner(self):
        """Return the manager that owns the scheduling, waiting for one.

        On a busy machine an owner's lease may expire; then there is no owner
        until the next one has taken over.

        :return: The manager, or ``None`` after a timeout.
        """
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            found = self.find_owner()
            if found is not None:
                return found
            time.sleep(0.05)
        return None

    def find_owner(self):
        """Return the manager that owns the scheduling now, or ``None``."""
        # The store itself may be under a fault.
        found = self.order({"peek": "owner/scheduling"})
        if not found or found["item"] is None:
            return None
        value = json.loads(base64.b64decode(found["item"]["value"]))
        for manager in self.managers:
            if manager["vm"] == value["process"].split()[0]:
                return manager
        return None

    def list_busiest(self):
        """Return the names of all VMs that are up, the busiest first."""
        loads = self.order({"loads": True})["loads"]
        return sorted(loads, key=loads.get, reverse=True)

    def list_machines(self, state=None):
        """Return the names of all VMs, or of those in a state."""
        listed = self._call(self.port, "GET", "/machines")
        return [
            machine["machine"]
            for machine in listed["machines"]
            if state in (None, machine["state"])
        ]

    def list_halls(self):
        """Return the hall of each VM."""
        listed = self._call(self.port, "GET", "/machines")
        return {vm["machine"]: vm["zone"] for vm in listed["machines"]}

    def list_racks(self):
        """Return the VMs of each rack."""
        listed = self._call(self.port, "GET", "/machines")
        racks = {}
        for vm in listed["machines"]:
            racks.setdefault(vm["labels"][1], []).append(vm["machine"])
        return racks

    def list_members(self, pool):
        """Return the names of a pool's VMs."""
        listed = self._call(self.port, "GET", "/machines")
        return [
            machine["machine"]
            for machine in listed["machines"]
            if machine["pool"] == pool
        ]

    def list_incarnations(self):
        """Return the worker's incarnation on each VM, or ``None``."""
        listed = self._call(self.port, "GET", "/machines")
        return {vm["machine"]: vm["id"] for vm in listed["machines"]}

    def wait_listening(self, manager):
        """Wait until a restarted manager accepts calls."""

        def listens():
            try:
                fleets.call(manager["ready"], "GET", "/ready", timeout=2.0)
            except OSError:
                return False
            return True

        self._wait(listens, manager["vm"])

    def call(self, manager, method, path, body=None, headers=None):
        """Call a manager as a caller would; ``None`` without an answer."""
        if isinstance(body, bytes):
            text = body
        else:
            text = b"" if body is None else json.dumps(body).encode()
        try:
            return fleets.call(
                manager["front"],
                method,
                path,
                text,
                {**self._make_headers(), **(headers or {})},
                timeout=3.0,
            )
        except OSError:
            return None

    def _make_headers(self):
        headers = {"Host": "jobs.example"}
        known = [key for keys in (self.keys or {}).values() for key in keys]
        if known:
            headers["Authorization"] = f"Bearer {known[0]}"
        return headers

    def read_output(self):
        """Return the logs and the metrics of all managers."""
        texts = [path.read_text() for path in self.folder.glob("vm-*.log")]
        for manager in self.managers:
            try:
                reply = fleets.call(manager["metrics"], "GET", "/metrics")
            except OSError:
                continue
            texts.append(str(reply.body))
        return "\n".join(texts)

    def _make_manager(self, number):
        vm = f"vm-{number + 1}"
        front, ready = fleets.find_port(), fleets.find_port()
        metrics = fleets.find_port()
        platform = self.make_link(self.port)
        settings = self.folder / f"{vm}.ini"
        settings.write_text(
            "[instance]\n"
            f"vm = {vm}\n"
            f"hall = hall-{number % self._halls + 1}\n"
            f"processor_speed = {self.cores[number]}\n"
            "[manager]\n"
            f"front_listen = 127.0.0.1:{front}\n"
            f"ready_listen = 127.0.0.1:{ready}\n"
            f"metrics_listen = 127.0.0.1:{metrics}\n"
            f"store = 127.0.0.1:{platform}\n"
            f"machines = 127.0.0.1:{platform}\n"
            "order_pause = 500ms\n"
            + "".join(
                f"{name} = {value}\n"
                for name, value in self._make_settings(number).items()
            )
        )
        process = processes.Process(
            vm,
            self._make_command(self.folder, settings),
            str(self.folder / f"{vm}.log"),
        )
        return {
            "vm": vm,
            "front": front,
            "ready": ready,
            "metrics": metrics,
            "process": process,
        }

    def _is_ready(self, manager):
        try:
            reply = fleets.call(manager["ready"], "GET", "/ready", timeout=2.0)
        except OSError:
            return False
        return reply.status == 200

    def _call(self, port, method, path, body=None):
        text = b"" if body is None else json.dumps(body).encode()
        try:
            reply = fleets.call(port, method, path, text, timeout=5.0)
        except OSError:
            return None
        return json.loads(reply.body)

    def _wait(self, condition, what):
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.05)
        raise TimeoutError(f"{what} did not start; see {self.folder}")


def _make_command(folder, settings):
    return [str(fleets.BIN / "rackvalve-manager"), str(settings)]
