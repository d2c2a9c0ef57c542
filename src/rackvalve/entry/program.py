"""Composition root of ``rackvalve-entry``."""

from __future__ import annotations

import random
import signal
import uuid

import gevent
from gevent import event

from rackvalve import arguments
from rackvalve.burn import ledger as ledgers
from rackvalve import clocks
from rackvalve.entry import app as apps
from rackvalve.entry import bodies
from rackvalve.entry import claims as claim_module
from rackvalve.entry import dispatcher as dispatchers
from rackvalve.entry import follower as followers
from rackvalve.entry import messages
from rackvalve.entry import prober
from rackvalve.entry import runner as runners
from rackvalve.entry import sender as senders
from rackvalve.entry import servicer
from rackvalve.entry import traces
from rackvalve import logs
from rackvalve import metrics as metric_module
from rackvalve.requests import admission as admissions
from rackvalve.requests import keys
from rackvalve.rpc import channels
from rackvalve.rpc import rackvalve_pb2_grpc
from rackvalve import servers
from rackvalve.serving import limits
from rackvalve.settings import kinds
from rackvalve.settings import reader
from rackvalve.targets import group
from rackvalve import tasks

PROGRAM = "rackvalve-entry"
BUSY_TICK_S = 0.05
IDLE_TICK_S = 0.2
GAUGE_INTERVAL_S = 1.0
PRUNE_INTERVAL_S = 60.0
STOP_POLL_S = 0.02
IDLE_BEFORE_EXIT_S = 0.2


class Entry:
    """The entry process: creates its parts and connects them.

    :param settings: The VM's settings.
    """

    def __init__(self, settings: reader.Settings) -> None:
        self._settings = settings
        self._vm = settings.get("instance", "vm", str)
        self._hall = settings.get("instance", "hall", str)
        self._listen = settings.get("entry", "listen", kinds.Address)
        self._rpc_listen = settings.get("entry", "rpc_listen", kinds.Address)
        incarnation = str(uuid.uuid4())
        self.metrics = metric_module.Metrics(
            settings.get("metrics", "statsd", kinds.Address),
            "entry",
            interval=settings.get("metrics", "interval", float),
        )
        self.dispatcher = self._make_dispatcher()
        registry = keys.KeyRegistry(
            self._vm,
            started=clocks.read_wall(),
            policy=keys.Policy(
                lifetime=settings.get("entry", "key_lifetime", float),
                skew=settings.get("entry", "clock_skew", float),
            ),
        )
        claims = claim_module.Claims(
            self._vm, incarnation, registry=registry, clock=clocks.read_wall
        )
        history = traces.Traces()
        ledger = ledgers.Ledger()
        self.app = self._make_app(claims, history, ledger)
        steward = settings.get("steward", "listen", kinds.Address)
        self.follower = followers.Follower(
            vm=self._vm,
            hall=self._hall,
            incarnation=incarnation,
            address=str(self._rpc_listen),
            stub=rackvalve_pb2_grpc.StewardStub(
                channels.make_channel(str(steward))
            ),
            dispatcher=self.dispatcher,
            claims=claims,
            interval=settings.get("steward", "report_interval", float),
        )
        self._servicer = servicer.EntryServicer(
            vm=self._vm,
            hall=self._hall,
            registry=registry,
            history=history,
            ledger=ledger,
            dispatcher=self.dispatcher,
            follower=self.follower,
            clock=clocks.read_wall,
        )

    def run(self) -> int:
        """Run until SIGTERM or SIGINT.

        :return: The exit code.
        """
        rpc_server = channels.make_server()
        rackvalve_pb2_grpc.add_EntryServicer_to_server(
            self._servicer, rpc_server
        )
        # The address is bound first: this proves that no earlier entry
        # process of this VM is still running.
        if not channels.listen(rpc_server, str(self._rpc_listen)):
            logs.write_warning("program.stopped", reason="address is taken")
            return arguments.EXIT_FAILED
        server = servers.make_server(
            self._listen.host,
            self._listen.port,
            self.app,
            guard=self._make_guard(),
        )
        stop = event.Event()
        gevent.signal_handler(signal.SIGTERM, stop.set)
        gevent.signal_handler(signal.SIGINT, stop.set)
        rpc_server.start()
        self.dispatcher.start()
        self.follower.start()
        server.start()
        gevent.spawn(self.metrics.run)
        gevent.spawn(self._run_ticks)
        tasks.run_forever("gauges", GAUGE_INTERVAL_S, self._set_gauges)
        tasks.run_forever("targets", PRUNE_INTERVAL_S, self._prune_connections)
        logs.write_event("program.started", listen=str(self._listen))
        stop.wait()
        self._stop(server, stop)
        rpc_server.stop(0)
        return arguments.EXIT_OK

    def _make_guard(self) -> servers.Guard:
        """Make the limits of callers; ``bodies`` accounts for the bodies."""
        memory = self._settings.get("entry", "memory_limit", int)
        return servers.Guard(
            capacity=limits.Capacity(
                connections=self._settings.get("entry", "connections", int),
                body_bytes=memory * limits.BYTES_PER_BODY_BYTE,
            )
        )

    def _make_dispatcher(self) -> dispatchers.Dispatcher:
        settings = self._settings
        core = admissions.Admission(
            self._vm,
            policy=group.Policy(
                failures=settings.get("entry", "eject_failures", int),
                time=settings.get("entry", "eject_time", float),
                cap=settings.get("entry", "eject_cap", float),
            ),
            retry_ratio=settings.get("entry", "retry_ratio", float),
            rng=random.Random(),
        )
        return dispatchers.Dispatcher(
            core, clock=clocks.read_steady, probe=self._probe
        )

    def _make_app(
        self,
        claims: claim_module.Claims,
        history: traces.Traces,
        ledger: ledgers.Ledger,
    ) -> apps.App:
        settings = self._settings
        self.sender = senders.Sender(
            connect_timeout=settings.get("entry", "connect_timeout", float),
            answer_limit=settings.get("entry", "answer_buffer", int),
        )
        runner = runners.Runner(
            dispatcher=self.dispatcher,
            sender=self.sender,
            claims=claims,
            history=history,
            metrics=self.metrics,
            ledger=ledger,
            clock=clocks.read_steady,
        )
        return apps.App(
            runner=runner,
            body_store=bodies.Bodies(
                body_limit=settings.get("entry", "body_limit", int),
                memory_limit=settings.get("entry", "memory_limit", int),
            ),
            header_limit=settings.get("entry", "header_limit", int),
            steady_clock=clocks.read_steady,
            wall_clock=clocks.read_wall,
        )

    def _probe(self, pool: str, vm: str, host: str, port: int) -> None:
        prober.start_probe(pool, vm, host, port, self.dispatcher.post)

    def _run_ticks(self) -> None:
        while True:
            pending = self.dispatcher.admission.is_pending()
            gevent.sleep(BUSY_TICK_S if pending else IDLE_TICK_S)
            self.dispatcher.post(messages.TimePassed())

    def _prune_connections(self) -> None:
        """Close the connections to targets that have left the hall."""
        view = self.dispatcher.admission.view
        if view is not None:
            targets = view.hall.targets.values()
            self.sender.prune(
                {(target.host, target.port) for target in targets}
            )

    def _set_gauges(self) -> None:
        counts = self.dispatcher.admission.count()
        self.metrics.set_gauge("requests.waiting", counts.waiting)
        self.metrics.set_gauge("requests.running", counts.running)
        self.metrics.set_gauge("targets.ejected", counts.ejected)

    def _stop(self, server: servers.Server, stop: event.Event) -> None:
        """Shut down gracefully: finish the requests in flight, take no others.

        :param stop: Set again by a second signal, which ends the wait for
            requests in flight.
        """
        stop.clear()
        logs.write_event("program.stopping", in_flight=self.app.in_flight)
        self.app.stopping = True
        stop.wait(self._settings.get("entry", "ready_delay", float))
        server.close()
        self._finish_requests(stop)
        self.follower.announce_leaving()
        self.dispatcher.post(messages.StopOrdered())
        gevent.sleep(IDLE_BEFORE_EXIT_S)
        self.metrics.send()
        logs.write_event("program.stopped", cut_off=self.app.in_flight)

    def _finish_requests(self, stop: event.Event) -> None:
        timeout = self._settings.get("entry", "drain_timeout", float)
        end = clocks.read_steady() + timeout
        idle_since = clocks.read_steady()
        while clocks.read_steady() < end and not stop.is_set():
            now = clocks.read_steady()
            if self.app.in_flight:
                idle_since = now
            elif now - idle_since >= IDLE_BEFORE_EXIT_S:
                return
            gevent.sleep(STOP_POLL_S)


def run(command_line: list[str]) -> int:
    """Run ``rackvalve-entry``.

    :param command_line: Arguments without the program's name.
    :return: The exit code.
    """
    return arguments.run_daemon(PROGRAM, _main, command_line)


def _main(settings: reader.Settings) -> int:
    return Entry(settings).run()
