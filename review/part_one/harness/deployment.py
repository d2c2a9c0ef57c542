"""Starts the platform's stand-in and managers, and ends them by their ids."""

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

ROOT = pathlib.Path(__file__).resolve().parents[3]
HOST = "127.0.0.1"
JOBS_HOST = "jobs.example"
START_S = 30.0
# Terms and durations of a small deployment, as its settings fields give them.
TERMS = "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing"
SETTINGS = """\
[instance]
vm = {vm}
hall = {hall}
processor_share = 0.537
processor_speed = 2

[manager]
front_listen = 127.0.0.1:{front}
ready_listen = 127.0.0.1:{ready}
metrics_listen = 127.0.0.1:{metrics}
store = 127.0.0.1:{store}
machines = 127.0.0.1:{store}
adviser = {adviser}
store_writes = 400
memory = 300MiB
descriptors = 4100
grace_time = 6s
keep_time = 120s
order_pause = 3000ms
stop_time = 900ms
pace_interval = 100ms
terms = {terms}
peer_ports = {first_port},{last_port}
standby = auto
relay = auto
failure_domains = auto
evacuation = auto
"""


def has_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start of the script."""
        passed = time.monotonic() - self.began
        self._file.write(f"{passed:8.3f} {text}\n")
        self._file.flush()


class Ports:
    """Free ports that this process has not returned before."""

    def __init__(self) -> None:
        self._taken: set[int] = set()

    def take(self, count: int = 1) -> int:
        """Return the first of some consecutive free ports."""
        while True:
            first = random.randrange(15000, 31000)
            ports = range(first, first + count)
            if not self._taken.intersection(ports) and all(
                _is_free(port) for port in ports
            ):
                self._taken.update(ports)
                return first


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


def call(
    port: int,
    method: str,
    path: str,
    body: object = None,
    timeout: float = 3.0,
) -> tuple[int, object] | None:
    """Make one HTTP call; return its status and body, or nothing."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    headers = {"Host": JOBS_HOST, "Deadline-Ms": str(int(timeout * 1000))}
    text = None if body is None else json.dumps(body).encode()
    if text is not None:
        headers["Content-Type"] = "application/json"
    try:
        connection.request(method, path, body=text, headers=headers)
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read() or b"{}")
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        connection.close()


class Deployment:
    """The platform's stand-in with workers, and managers.

    :param record: Where calls and answers are written.
    :param pools: Number of VMs by pool.
    :param queues: Further fields of each queue, by its name.
    :param program: Module of the platform's stand-in.
    :param words: Further words of its command line.
    :param managers: Number of managers.
    :param adviser: Address of the admission service; empty for none.
    """

    def __init__(
        self,
        record: Record,
        *,
        pools: dict[str, int],
        queues: dict[str, dict[str, object]],
        program: str = "standins.site",
        words: tuple[str, ...] = (),
        managers: int = 3,
        adviser: str = "",
    ) -> None:
        self.record = record
        self.ports = Ports()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rackvalve-case-"))
        self.pools = pools
        self.queues = queues
        self.platform = self.ports.take()
        self.version = 0
        self._program = program
        self._words = words
        self._adviser = adviser
        self._count = managers
        self.managers: list[dict[str, object]] = []
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        """Start all processes and wait until the managers are ready."""
        ports = [self.ports.take() for _ in range(sum(self.pools.values()))]
        pools = ",".join(f"{name}={n}" for name, n in self.pools.items())
        self._run(
            [
                sys.executable,
                "-m",
                self._program,
                f"--port={self.platform}",
                "--worker-ports=" + ",".join(f"{p}:{p}" for p in ports),
                f"--pools={pools}",
                *self._words,
            ],
            "platform",
            {},
        )
        self._wait(lambda: self.order({}) is not None, "the platform")
        self.configure()
        for number in range(self._count):
            self._start_manager(number)
        self._wait(self._are_ready, "the managers")

    def stop(self) -> None:
        """End all processes that were started."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()

    def configure(self, queues: dict[str, dict[str, object]] | None = None) -> None:
        """Write the operator's configuration."""
        self.version += 1
        self.queues = self.queues if queues is None else queues
        routes = [
            {
                "name": name,
                "host": JOBS_HOST,
                "path-prefix": f"/{name}/",
                "priority": 0,
                "max-attempts": 3,
                "stretch": 1.6,
                "target-latency-ms": 600,
                "timeout-ms": 3000,
                **fields,
            }
            for name, fields in self.queues.items()
        ]
        services = [
            {"name": pool, "admission-check": True, "spare": pool == "spare"}
            for pool in self.pools
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {"max-body-bytes": 262144},
        }
        self.order({"put": "op/config", "value": document})
        self.record.write(f"operator writes configuration {self.version}")

    def order(self, order: dict[str, object]) -> object:
        """Send an order to the platform's stand-in."""
        answer = call(self.platform, "POST", "/-/order", order)
        return None if answer is None else answer[1]

    def journal(self) -> dict[str, list[list[object]]]:
        """Return what the workers did."""
        answer = call(self.platform, "GET", "/-/journal", timeout=10.0)
        assert answer is not None and isinstance(answer[1], dict)
        return answer[1]

    def list_machines(self) -> list[dict[str, object]]:
        """Return the platform's list of VMs."""
        answer = call(self.platform, "GET", "/machines")
        assert answer is not None and isinstance(answer[1], dict)
        found: list[dict[str, object]] = answer[1]["machines"]
        return found

    def send(
        self, method: str, path: str, body: object = None
    ) -> tuple[int, object]:
        """Send a client's call to one manager after the other."""
        until = time.monotonic() + START_S
        while time.monotonic() < until:
            for manager in self.managers:
                answer = call(int(str(manager["front"])), method, path, body)
                self.record.write(
                    f"client {method} {path} at {manager['vm']}: {answer}"
                )
                if answer is not None and answer[0] < 429:
                    return answer
            time.sleep(0.2)
        raise TimeoutError(f"{method} {path}: no answer")

    def read_state(self, queue: str, identity: str) -> str:
        """Return a job's state as clients see it; empty without an answer."""
        for manager in self.managers:
            answer = call(
                int(str(manager["front"])), "GET", f"/{queue}/{identity}"
            )
            if answer is not None and answer[0] == 200:
                assert isinstance(answer[1], dict)
                return str(answer[1]["state"])
            if answer is not None and answer[0] == 410:
                return "410"
        return ""

    def _start_manager(self, number: int) -> None:
        vm = f"edge-{number + 1}"
        peers = self.ports.take(8)
        manager: dict[str, object] = {
            "vm": vm,
            "front": self.ports.take(),
            "ready": self.ports.take(),
            "metrics": self.ports.take(),
        }
        path = self.folder / f"{vm}.ini"
        path.write_text(
            SETTINGS.format(
                hall=f"hall-{number % 3 + 1}",
                store=self.platform,
                adviser=self._adviser,
                terms=TERMS,
                first_port=peers,
                last_port=peers + 7,
                **manager,
            )
        )
        # The line of the deploy file.
        manager["process"] = self._run(
            ["python3", "bin/rackvalve-manager"],
            vm,
            {"RACKVALVE_CONFIG": str(path)},
        )
        self.managers.append(manager)

    def _run(
        self, command: list[str], name: str, extra: dict[str, str]
    ) -> subprocess.Popen[bytes]:
        paths = [str(ROOT / "target" / "deps"), str(ROOT)]
        environ = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(paths),
            **extra,
        }
        with open(self.folder / f"{name}.log", "wb") as log:
            process = subprocess.Popen(
                command, cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self._processes.append(process)
        return process

    def _are_ready(self) -> bool:
        answers = [
            call(int(str(manager["ready"])), "GET", "/ready")
            for manager in self.managers
        ]
        return all(found is not None and found[0] == 200 for found in answers)

    def _wait(self, condition, what: str) -> None:  # type: ignore[no-untyped-def]
        until = time.monotonic() + START_S
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.05)
        raise TimeoutError(f"{what} did not start; see {self.folder}")
