"""Stand-in for the users' platform: the store, VMs and their workers.

One process on loopback implements the published protocol, accepts the
operator's documents and faults by ``POST /-/order``, and returns the workers'
journal, in order, at ``GET /-/journal``.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import collections  # noqa: E402
import dataclasses  # noqa: E402
import json  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from standins import gangs  # noqa: E402
from standins import keyvalue  # noqa: E402
from standins import serving  # noqa: E402
from standins import worker as workers  # noqa: E402

HOST = "127.0.0.1"
# Default time for which a VM is away for a move, its maintenance or a crash,
# in seconds.
AWAY_S = 0.3
# Interval at which a lagging list of VMs is copied and the process looks for
# stalls of its own, in seconds.
COPY_S = 0.1
# Delay of the process beyond which its stall is recorded, in seconds.
STALL_S = 0.4
# The slowest clock that the platform's pages allow.
SLOW_RATE = 0.98
# After a crash by a task: how long the worker's entry stays, and the delay of
# the next incarnation, with a new name and with the same one, in seconds.
CRASHED_ENTRY_S = 1.5
CRASHED_AWAY_S = 2.5
RESTARTED_AWAY_S = 0.3
WORKER_PREFIX = "servers/"


@dataclasses.dataclass(slots=True, kw_only=True)
class Machine:
    """A VM.

    :param pool: Its pool.
    :param port: Port on which its worker listens.
    :param shown: Port that is published to the worker's callers.
    :param rate: Rate of its workers' steady clocks.
    :param hall: Its data hall.
    :param rack: Its rack.
    :param waves: Waves for which it was maintained.
    :param state: Its state in the platform's list.
    :param worker: The current incarnation of its worker, if any.
    """

    pool: str
    port: int
    shown: int
    rate: float
    hall: str
    rack: str
    waves: set = dataclasses.field(default_factory=set)
    state: str = "up"
    worker: workers.Worker | None = None


class Site:
    """The platform with its VMs and workers, as a WSGI application.

    :param pools: Number of VMs by pool.
    :param ports: Ports of the workers, each with the one that is published to
        callers.
    :param capacity: Capacity of each VM.
    :param options: Options of the command line; ``slow_clocks`` slows the
        clocks of half of the workers.
    """

    def __init__(self, pools, ports, capacity, options):
        self.slow_clocks = options.slow_clocks
        self.away = {"moving": options.move, "upkeep": options.upkeep}
        self.list_lag = options.list_lag
        # Whether workers report their start times.
        self.reports_start_times = not options.no_births
        # Whether workers keep their names after a crash by a task.
        self.keep_names = options.keep_names
        # How long workers report that they are cold after their start, in
        # seconds; their speed does not change.
        self.cold = options.cold
        # Copies of the list of VMs, each with its time.
        self.lists = collections.deque()
        self.host = HOST
        # How often workers look at their runs, in seconds.
        self.tick = options.tick
        self.store = keyvalue.Store()
        self.capacity = capacity
        self.journal = []
        # Incarnations of workers, and the times at which lasting tasks were at
        # work.
        self.states = []
        # Acknowledged ends of runs.
        self.known = []
        self.machines = {}
        self.gangs = gangs.Gangs()
        self.orders = []
        # Beginnings and ends of the times in which this process did nothing.
        self.stalls = []
        gevent.spawn(self._record_stalls_forever)
        for pool, count in pools.items():
            for _ in range(count):
                port, shown = ports.pop()
                name = f"m-{port}"
                self.machines[name] = Machine(
                    pool=pool,
                    port=port,
                    shown=shown,
                    rate=self._choose_rate(),
                    hall=f"hall-{1 + len(self.machines) % options.halls}",
                    rack=f"r{1 + len(self.machines) % options.racks}",
                )
                self.start_worker(name)
        if self.list_lag:
            gevent.spawn(self._copy_list_forever)

    def note(self, kind, worker, task, run, detail):
        """Add a row to the workers' journal."""
        rows = self.journal if kind in ("start", "end") else self.states
        rows.append(
            [time.monotonic(), kind, worker.identity, task, run, detail]
        )

    def note_known(self, worker, row):
        """Record that an end was acknowledged."""
        _, task, run, how, _ = row
        self.known.append([time.monotonic(), worker.identity, task, run, how])

    def execute(self, incarnation, path, order):
        """Execute a delayed call on the present incarnation of a worker.

        A later incarnation without a fencing token does not execute it: it
        could not reject the call, and no caller could prevent that.
        """
        present = self.machines[incarnation.machine].worker
        if present is None or present.identity != incarnation.identity:
            return
        if present is incarnation or present.fence:
            present.execute(path, order)

    def _choose_rate(self):
        slow = self.slow_clocks and len(self.machines) % 2
        return SLOW_RATE if slow else 1.0

    def start_worker(self, name, identity=""):
        """Start a new incarnation on a VM.

        :param name: The VM.
        :param identity: Name of the worker if it keeps its former one.
        """
        machine = self.machines[name]
        if machine.worker is not None:
            return
        incarnation = workers.Worker(
            self,
            name,
            machine.pool,
            machine.shown,
            self.capacity,
            machine.rate,
            identity,
        )
        incarnation.server = serving.make_server(
            HOST, machine.port, incarnation
        )
        incarnation.server.start()
        machine.worker = incarnation
        self.note("life", incarnation, name, 0, machine.pool)
        machine.state = "up"
        self._write_entry(incarnation)

    def end_worker(self, name, cause, entry=0.0, *, is_silent=False):
        """End the incarnation on a VM.

        :param name: The VM.
        :param cause: The cause, for the journal.
        :param entry: How much longer the worker's entry stays, in seconds.
        :param is_silent: Whether its address stays open without answers.
        """
        machine = self.machines[name]
        incarnation = machine.worker
        if incarnation is None:
            return
        incarnation.end(cause)
        self.note("over", incarnation, name, 0, cause)
        if is_silent:
            incarnation.fault = "silent"
        else:
            incarnation.server.stop(timeout=0)
        machine.worker = None
        machine.state = "down"
        gevent.spawn_later(entry, self._remove_entry, incarnation)

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/machines":
            return serving.answer_json(
                start_response, self._get_lagging_list()
            )
        if path in ("/machine-move", "/machine-upkeep"):
            order = serving.read_json(environ)
            status, body = self._execute_vm_order(environ, path, order)
            return serving.answer_json(start_response, body, status)
        if path == "/-/order":
            body = self._apply_order(serving.read_json(environ))
            return serving.answer_json(start_response, body)
        if path == "/-/journal":
            return serving.answer_json(
                start_response,
                {
                    "journal": self.journal,
                    "orders": self.orders,
                    "states": self.states,
                    "known": self.known,
                    "stalls": self.stalls,
                },
            )
        return self.store(environ, start_response)

    def _record_stalls_forever(self):
        while True:
            due = time.monotonic() + COPY_S
            gevent.sleep(COPY_S)
            now = time.monotonic()
            if now - due > STALL_S:
                self.stalls.append([due, now])

    def _copy_list_forever(self):
        while True:
            now = time.monotonic()
            self.lists.append((now, self._make_list()))
            while len(self.lists) > 1 and self.lists[1][0] <= (
                now - self.list_lag
            ):
                self.lists.popleft()
            gevent.sleep(COPY_S)

    def _get_lagging_list(self):
        """Return the list with its lag."""
        return self.lists[0][1] if self.lists else self._make_list()

    def _make_list(self):
        return {
            "machines": [
                {
                    "machine": name,
                    "pool": machine.pool,
                    "state": machine.state,
                    "zone": machine.hall,
                    "labels": ["a", machine.rack],
                    "capacity": self.capacity,
                    "id": (
                        machine.worker.identity if machine.worker else None
                    ),
                }
                for name, machine in self.machines.items()
            ],
            "next-token": None,
        }

    def _execute_vm_order(self, environ, path, order):
        machine = self.machines.get(order["machine"])
        if machine is None:
            return "400 Unknown", {}
        if machine.state != "up":
            return "409 Busy", {"reason": "busy"}
        if self._is_repeated(machine, order):
            return "200 OK", {}
        self.orders.append(
            [
                time.monotonic(),
                path,
                order["machine"],
                environ["HTTP_LEASE_HOLDER"],
                int(environ["HTTP_FENCING_TOKEN"]),
                len(machine.worker.running),
                order.get("wave", 0),
            ]
        )
        state = "moving" if "pool" in order else "upkeep"
        self.end_worker(order["machine"], state)
        machine.state = state
        machine.pool = order.get("pool", machine.pool)
        if "wave" in order:
            machine.waves.add(order["wave"])
        gevent.spawn_later(
            self.away[state], self.start_worker, order["machine"]
        )
        return "200 OK", {}

    def _is_repeated(self, machine, order):
        """Return whether an order repeats one that was executed."""
        if "wave" in order:
            return order["wave"] in machine.waves
        return order["pool"] == machine.pool

    def _apply_order(self, order):
        if "put" in order:
            self.store.put(order["put"], json.dumps(order["value"]).encode())
        if "put text" in order:
            self.store.put(order["put text"], order["text"].encode())
        if "drop" in order:
            self.store.remove(order["drop"])
        if "fault" in order:
            machine = self.machines[order["machine"]]
            if machine.worker is not None:
                machine.worker.fault = order["fault"]
        if "crash" in order:
            self.crash(
                order["crash"],
                entry=order.get("entry", 0.0),
                away=order.get("away", AWAY_S),
            )
        if "restart" in order:
            for name in order["restart"]:
                self.restart(name, entry=order["entry"], away=order["away"])
        if "lose" in order:
            self.end_worker(
                order["lose"], "crash", order["entry"], is_silent=True
            )
        if "unlist" in order:
            self._hide_entry(order["unlist"], order["away"])
        if "loads" in order:
            return {"loads": self._count_runs()}
        if "peek" in order:
            return {"item": self.store.items.get(order["peek"])}
        return {}

    def _count_runs(self):
        """Return the number of runs on each VM that has a worker."""
        return {
            name: len(machine.worker.running)
            for name, machine in self.machines.items()
            if machine.worker is not None
        }

    def crash(self, name, *, entry, away):
        """Crash a worker, and start one with a new name later.

        :param name: The VM.
        :param entry: How much longer the worker's entry stays, in seconds.
        :param away: Delay of the next incarnation, in seconds.
        """
        if self.machines[name].worker is None:
            return
        self.end_worker(name, "crash", entry)
        gevent.spawn_later(away, self.start_worker, name)

    def restart(self, name, *, entry, away):
        """Crash a worker, and restart it under its name later.

        :param name: The VM.
        :param entry: How much longer the worker's entry stays unless the next
            incarnation writes its own, in seconds.
        :param away: Delay of the next incarnation, in seconds.
        """
        incarnation = self.machines[name].worker
        if incarnation is None:
            return
        self.end_worker(name, "crash", entry)
        incarnation.close_connections()
        # The platform considers it the same worker throughout.
        self.machines[name].state = "up"
        gevent.spawn_later(away, self.start_worker, name, incarnation.identity)

    def crash_by_task(self, name):
        """Crash a worker because of a task that it runs."""
        if self.keep_names:
            away = RESTARTED_AWAY_S
            self.restart(name, entry=CRASHED_ENTRY_S, away=away)
            return
        self.crash(name, entry=CRASHED_ENTRY_S, away=CRASHED_AWAY_S)

    def _remove_entry(self, incarnation):
        """Remove an entry unless a later incarnation has written its own."""
        present = self.machines[incarnation.machine].worker
        if present is None or present.identity != incarnation.identity:
            self.store.remove(WORKER_PREFIX + incarnation.identity)

    def _hide_entry(self, name, away):
        """Remove a worker's entry for a time."""
        incarnation = self.machines[name].worker
        if incarnation is None:
            return
        self.store.remove(WORKER_PREFIX + incarnation.identity)
        gevent.spawn_later(away, self._write_entry, incarnation)

    def _write_entry(self, incarnation):
        if incarnation.alive:
            self.store.put(
                WORKER_PREFIX + incarnation.identity,
                json.dumps(incarnation.describe()).encode(),
            )


def main():
    """Serve until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--worker-ports", required=True, help="1:1,2:3")
    parser.add_argument("--slow-clocks", action="store_true")
    parser.add_argument("--pools", required=True, help="pool=3,other=2")
    parser.add_argument("--cpu", type=int, default=8000)
    parser.add_argument("--move", type=float, default=AWAY_S)
    parser.add_argument("--upkeep", type=float, default=AWAY_S)
    parser.add_argument("--list-lag", type=float, default=0.0)
    parser.add_argument("--closing", type=int, default=0)
    parser.add_argument("--keep-names", action="store_true")
    parser.add_argument("--no-births", action="store_true")
    parser.add_argument("--halls", type=int, default=1)
    parser.add_argument("--racks", type=int, default=1)
    parser.add_argument("--cold", type=float, default=0.0)
    parser.add_argument("--tick", type=float, default=workers.TICK_S)
    options = parser.parse_args()
    serving.Closing.every = options.closing
    pools = {
        name: int(count)
        for name, _, count in (
            part.partition("=") for part in options.pools.split(",")
        )
    }
    capacity = {"cpu": options.cpu, "mem-mb": 100000, "gpu": 0}
    ports = [
        tuple(map(int, pair.split(":")))
        for pair in options.worker_ports.split(",")
    ]
    site = Site(pools, ports, capacity, options)
    serving.make_server(HOST, options.port, site).start()
    serving.serve_until_killed()


if __name__ == "__main__":
    main()
