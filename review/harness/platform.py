"""Stand-in of the platform: store, VMs, advice, and the workers' world.

It follows the published protocol.  The store is the project's own stand-in;
the rest is here, since gangs, checkpoints and advice are missing there.
"""

from __future__ import annotations

import dataclasses
import itertools
import json
import random
import socket
import time

import gevent

from review.harness import worker as workers
from standins import keyvalue
from standins import serving

HOST = "127.0.0.1"
TICK_S = 0.01
MOVE_S = 1.5
UPKEEP_S = 2.0
FAR_X = 2.0
HEARTBEAT_S = 1.5
# A worker's entry goes after three heartbeats without a write.
ENTRY_LEFT_S = 3 * HEARTBEAT_S
ADVICE_VALID_MS = 3000
PORTS = range(15000, 32000)
CAPACITY = {"cpu": 32000, "mem-mb": 131072, "gpu": 0}


@dataclasses.dataclass(slots=True, kw_only=True)
class Machine:
    """A machine of the platform."""

    name: str
    kind: str
    pool: str
    rack: str
    zone: str
    port: int
    state: str = "up"
    waves: set = dataclasses.field(default_factory=set)
    worker: workers.Worker | None = None
    server: object = None


def find_port(host: str = HOST) -> int:
    """Return a free port below those of outgoing connections.

    Such a connection could take a port while its worker is down.
    """
    while True:
        port = _random.choice(PORTS)
        if port in _taken:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        _taken.add(port)
        return port


_taken: set[int] = set()
_random = random.SystemRandom()


class Platform:
    """The platform's parts, all in this process.

    :param record: Called with the words of each line of the record.
    :param pools: Number of machines by pool.
    :param kinds: Kinds of machines by their numbers, from 1; the others are
        of kind ``a``.
    """

    def __init__(self, record, pools, kinds=None):
        self.record = record
        self.store = keyvalue.Store()
        self.store_port = find_port()
        self.cloud_port = find_port()
        self.machines = {}
        # Steps of the jobs that clients sent, by identifier.
        self.jobs = {}
        self.specs = {}
        # Whose work each checkpoint stands for, and how long it took.
        self.checkpoints = {}
        # Starts and ends, as time, kind, task, run, worker and detail.
        self.starts = []
        self.ends = []
        self.advised = 0
        self._ids = itertools.count(1)
        self._tickets = {}
        self._advice_servers = {}
        numbers = itertools.count(1)
        for pool, count in pools.items():
            for _ in range(count):
                number = next(numbers)
                machine = Machine(
                    name=f"m-{number:05x}",
                    kind=(kinds or {}).get(number, "a"),
                    pool=pool,
                    rack=f"r1-{1 + number // 4}",
                    zone="muc-a",
                    port=find_port(),
                )
                self.machines[machine.name] = machine

    def start(self) -> None:
        """Serve all parts."""
        serving.make_server(HOST, self.store_port, self.store).start()
        serving.make_server(HOST, self.cloud_port, self._answer_cloud).start()
        for machine in self.machines.values():
            self._start_worker(machine)
        gevent.spawn(self._work_forever)

    def _work_forever(self):
        while True:
            gevent.sleep(TICK_S)
            now = time.monotonic()
            for machine in self.machines.values():
                if machine.worker is not None:
                    machine.worker.work(now)
            self._begin_gangs(now)

    # -- workers -----------------------------------------------------------

    def _start_worker(self, machine):
        life = workers.Worker(self, f"i-{next(self._ids):08x}", CAPACITY)
        machine.worker = life
        machine.state = "up"
        machine.server = serving.make_server(HOST, machine.port, life)
        machine.server.start()
        self.record("worker", life.identity, "is up on", machine.name)
        entry = {
            "service": machine.pool,
            "addr": f"{HOST}:{machine.port}",
            "zone": machine.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "capacity": CAPACITY,
            "labels": [machine.kind, machine.rack],
            "machine": machine.name,
            "clock-ms": int(life.clock() * 1000),
            "seq": 1,
        }
        self.store.put(f"servers/{life.identity}", json.dumps(entry).encode())

    def _end_worker(self, machine, entry_left):
        life, machine.worker = machine.worker, None
        machine.server.stop(timeout=0)
        life.die()
        for sock in life.sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Its caller has closed it.
                continue
        gevent.spawn_later(
            entry_left, self.store.remove, f"servers/{life.identity}"
        )
        return life

    def crash(self, name: str, away: float) -> None:
        """Crash a worker; another life comes on its machine later.

        :param name: The machine.
        :param away: How long the machine is down, in seconds.
        """
        machine = self.machines[name]
        life = self._end_worker(machine, ENTRY_LEFT_S)
        machine.state = "down"
        self.record("worker", life.identity, "crashes on", name)
        gevent.spawn_later(away, self._start_worker, machine)

    def find_machine(self, task: str) -> str | None:
        """Return the machine on which a task runs now."""
        for machine in self.machines.values():
            if machine.worker is not None and any(
                run.task == task for run in machine.worker.runs.values()
            ):
                return machine.name
        return None

    # -- what runs ---------------------------------------------------------

    def _find_step(self, task):
        identity, _, step, _ = task.split(".")
        return self.jobs[identity]["steps"][int(step)]

    def find_need(self, task: str) -> dict:
        """Return what a task takes of a worker's capacity."""
        step = self._find_step(task)
        return {name: step.get(name, 0) for name in CAPACITY}

    def has_checkpoints(self, task: str) -> bool:
        """Return whether a task saves its progress."""
        return bool(self._find_step(task).get("checkpoints"))

    def count_times(self, task: str, worker: workers.Worker) -> float:
        """Return how many times as long a task takes on a worker."""
        rack = self._find_step(task).get("affinity")
        is_far = rack and all(
            machine.rack != rack
            for machine in self.machines.values()
            if machine.worker is worker
        )
        return FAR_X if is_far else 1.0

    def find_gang(self, run: workers.Run) -> tuple | None:
        """Return the key of a run's gang; ``None`` if it has none."""
        identity, repetition, step, _ = run.task.split(".")
        if not self._find_step(run.task).get("gang"):
            return None
        return identity, repetition, step, run.number

    def _begin_gangs(self, now):
        """Let the gangs work all of whose members are there.

        All members have to bring the same checkpoint.
        """
        waiting = {}
        for machine in self.machines.values():
            if machine.worker is None:
                continue
            for run in machine.worker.runs.values():
                key = self.find_gang(run)
                if key is not None and run.at_work_since is None:
                    members = waiting.setdefault((*key, run.brought), [])
                    members.append(run)
        for members in waiting.values():
            if len(members) == self._find_step(members[0].task)["count"]:
                for run in members:
                    restore = workers.RESTORE_S if run.brought else 0.0
                    run.at_work_since = now + restore

    def save(self, run: workers.Run, worked: float) -> str:
        """Return a new checkpoint of a run."""
        text = f"{len(self.checkpoints) + 1:016x}"
        self.checkpoints[text] = (run.task, worked)
        return text

    def find_saved_work(self, task: str, text: str) -> float:
        """Return the work that a checkpoint stands for, in seconds."""
        return self.checkpoints[text][1] if text in self.checkpoints else 0.0

    def note_start(self, worker, run, *, fence):
        """Record a start."""
        self.starts.append((time.monotonic(), run.task, run.number, run))
        self.record(
            "start",
            run.task,
            f"run {run.number} on {worker.identity}, fence {fence},",
            f"brings checkpoint {run.brought or 'none'}",
        )

    def note_end(self, worker, run, how):
        """Record an end; the other members of a gang break with it."""
        self.ends.append((time.monotonic(), run.task, run.number, how, run))
        self.record(
            "end",
            run.task,
            f"run {run.number} on {worker.identity}: {how},",
            f"saved {run.saved or 'none'}",
        )
        key = self.find_gang(run)
        if key is None or how == "broken":
            return
        others = "done" if how == "done" else "broken"
        for machine in self.machines.values():
            if machine.worker is None:
                continue
            for other in list(machine.worker.runs.values()):
                if self.find_gang(other) == key:
                    machine.worker.finish(other, others)

    # -- VMs ---------------------------------------------------------------

    def _answer_cloud(self, environ, start_response):
        if environ["PATH_INFO"] == "/machines":
            return serving.answer_json(start_response, self._list_machines())
        order = serving.read_json(environ)
        status, body = self._order_machine(environ["PATH_INFO"], order)
        return serving.answer_json(start_response, body, status)

    def _list_machines(self):
        return {
            "machines": [
                {
                    "machine": machine.name,
                    "pool": machine.pool,
                    "state": machine.state,
                    "zone": machine.zone,
                    "labels": [machine.kind, machine.rack],
                    "capacity": CAPACITY,
                    "id": (
                        machine.worker.identity if machine.worker else None
                    ),
                }
                for machine in self.machines.values()
            ],
            "next-token": None,
        }

    def _order_machine(self, path, order):
        machine = self.machines.get(order["machine"])
        if machine is None:
            return "400 Unknown", {}
        is_move = path == "/machine-move"
        if is_move and order["pool"] == machine.pool:
            return "200 OK", {}
        if not is_move and order["wave"] in machine.waves:
            return "200 OK", {}
        if machine.state != "up":
            return "409 Busy", {"reason": "busy"}
        self._end_worker(machine, 0.0)
        if is_move:
            machine.state, machine.pool = "moving", order["pool"]
        else:
            machine.state = "upkeep"
            machine.waves.add(order["wave"])
        self.record("cloud", path, json.dumps(order))
        away = MOVE_S if is_move else UPKEEP_S
        gevent.spawn_later(away, self._start_worker, machine)
        return "200 OK", {}

    # -- advice ------------------------------------------------------------

    def start_advice(self) -> int:
        """Start the advice service at an address of its own."""
        port = find_port()
        server = serving.make_server(HOST, port, self._advise)
        server.start()
        self._advice_servers[port] = server
        self.record("advice", f"serves at {HOST}:{port}")
        return port

    def stop_advice(self, port: int) -> None:
        """End the advice service at an address, which resets from then on."""
        self._advice_servers.pop(port).stop(timeout=0)
        self.record("advice", f"no longer serves at {HOST}:{port}")

    def _advise(self, environ, start_response):
        order = serving.read_json(environ)
        self.advised += 1
        gevent.sleep(0.02)
        good = []
        for identity in order["workers"][:100]:
            ticket = f"{len(self._tickets) + 1:012x}"
            self._tickets[ticket] = (
                order["step"],
                identity,
                time.monotonic() + ADVICE_VALID_MS / 1000,
            )
            good.append([identity, ticket])
        self.record("advice", f"asked for {order['step']}")
        return serving.answer_json(
            start_response, {"good": good, "valid_ms": ADVICE_VALID_MS}
        )

    def accepts_ticket(self, task, worker, ticket) -> bool:
        """Return whether a start of a task has the ticket that it needs."""
        identity, repetition, step, _ = task.split(".")
        if not self.jobs[identity].get("advised"):
            return True
        known = self._tickets.get(ticket)
        return (
            known is not None
            and known[:2]
            == (f"{identity}.{repetition}.{step}", worker.identity)
            and time.monotonic() < known[2]
        )
