"""Composition root of ``rackvalve-steward``."""

from __future__ import annotations

import signal

import gevent
from gevent import event

from rackvalve import arguments
from rackvalve import clocks
from rackvalve.fleet import record
from rackvalve.keyvalue import http
from rackvalve.keyvalue import port
from rackvalve import logs
from rackvalve import metrics as metric_module
from rackvalve.rpc import channels
from rackvalve.rpc import rackvalve_pb2_grpc
from rackvalve.settings import kinds
from rackvalve.settings import reader
from rackvalve.steward import executor as executors
from rackvalve.steward import keeper as keepers
from rackvalve.steward import servicer
from rackvalve.steward import sources
from rackvalve.steward import stepper as steppers
from rackvalve.steward import witness as witnesses
from rackvalve import tasks

PROGRAM = "rackvalve-steward"
LEASE_PREFIX = "acting/"
RENEWALS_PER_LEASE = 3
MISSED_REPORTS = 5
ACTING_MARGIN_S = 3.0


class Steward:
    """The steward process: creates its parts and connects them.

    :param settings: The VM's settings.
    """

    def __init__(self, settings: reader.Settings) -> None:
        self._vm = settings.get("instance", "vm", str)
        self._hall = settings.get("instance", "hall", str)
        self._listen = settings.get("steward", "listen", kinds.Address)
        self._lease_time = settings.get("steward", "lease_time", float)
        self._step_interval = settings.get("steward", "step_interval", float)
        self.metrics = metric_module.Metrics(
            settings.get("metrics", "statsd", kinds.Address),
            "steward",
            interval=settings.get("metrics", "interval", float),
        )
        self.platform = http.HttpPlatform(
            settings.get("steward", "platform", kinds.Address),
            timeout=settings.get("steward", "platform_timeout", float),
            metrics=self.metrics,
        )
        self.keeper = keepers.Keeper(
            self._vm, self._hall, clock=clocks.read_steady
        )
        self.stepper = steppers.Stepper(
            self._hall,
            platform=self.platform,
            keeper=self.keeper,
            clock=clocks.read_wall,
        )
        self._source = sources.PlatformSource(
            self._hall,
            platform=self.platform,
            keeper=self.keeper,
            watch_time=settings.get("steward", "watch_time", float),
        )
        self._peers = self._make_peers(settings)
        self._report_interval = settings.get(
            "steward", "report_interval", float
        )
        self._entry_address = settings.get(
            "entry", "rpc_listen", kinds.Address
        )
        self._entry = rackvalve_pb2_grpc.EntryStub(
            channels.make_channel(str(self._entry_address))
        )
        self._lease_renewed_at: float | None = None

    def run(self) -> int:
        """Run until SIGTERM or SIGINT.

        :return: The exit code.
        """
        server = channels.make_server()
        executor = executors.Executor(
            self._hall,
            platform=self.platform,
            keeper=self.keeper,
            stepper=self.stepper,
            forward_command=self._forward_command,
            clock=clocks.read_wall,
        )
        rackvalve_pb2_grpc.add_StewardServicer_to_server(
            servicer.StewardServicer(
                vm=self._vm,
                keeper=self.keeper,
                executor=executor,
                forward_reports=self._forward_reports,
            ),
            server,
        )
        if not channels.listen(server, str(self._listen)):
            logs.write_warning("program.stopped", reason="address is taken")
            return arguments.EXIT_FAILED
        stop = event.Event()
        gevent.signal_handler(signal.SIGTERM, stop.set)
        gevent.signal_handler(signal.SIGINT, stop.set)
        self.keeper.start()
        # Before the server starts: the entry may hold newer documents than
        # any other process.
        sources.fetch_from_entry(self._entry, self.keeper)
        server.start()
        self._source.start()
        for peer in self._peers:
            peer.start()
        gevent.spawn(self.metrics.run)
        tasks.run_forever(
            "lease", self._lease_time / RENEWALS_PER_LEASE, self._renew_lease
        )
        witness = witnesses.Witness(
            vm=self._vm,
            address=self._entry_address,
            keeper=self.keeper,
            forward_reports=self._forward_reports,
            silence_timeout=MISSED_REPORTS * self._report_interval,
            clock=clocks.read_steady,
        )
        tasks.run_forever("witness", self._report_interval, witness.check)
        tasks.run_forever("stepper", self._step_interval, self.stepper.step)
        logs.write_event("program.started", listen=str(self._listen))
        stop.wait()
        server.stop(0)
        self.metrics.send()
        logs.write_event("program.stopped")
        return arguments.EXIT_OK

    def _make_peers(
        self, settings: reader.Settings
    ) -> list[sources.PeerSource]:
        addresses = settings.get("steward", "peers", tuple)
        return [
            sources.PeerSource(
                address,
                vm=self._vm,
                hall=self._hall,
                keeper=self.keeper,
                clock=clocks.read_steady,
            )
            for address in addresses
            if address != self._listen
        ]

    def _renew_lease(self) -> None:
        """Renew the lease, or acquire it if no peer is acting."""
        now = clocks.read_steady()
        if not self.keeper.acting and self._has_acting_peer():
            return
        held = self.platform.take_lease(
            LEASE_PREFIX + self._hall, self._vm, self._lease_time
        )
        if isinstance(held, port.Failed):
            expired = (
                self._lease_renewed_at is None
                or now - self._lease_renewed_at > self._lease_time
            )
            if expired:
                self.keeper.post(keepers.ActingChanged(False))
            return
        self.keeper.post(keepers.SourceHeard(0.0))
        if held.holder == self._vm:
            self._lease_renewed_at = now
        self.keeper.post(keepers.ActingChanged(held.holder == self._vm))

    def _has_acting_peer(self) -> bool:
        return self._find_acting_peer() is not None

    def _find_acting_peer(self) -> sources.PeerSource | None:
        within = sources.PEER_WAIT_S + ACTING_MARGIN_S
        for peer in self._peers:
            if peer.is_acting(within):
                return peer
        return None

    def _forward_reports(self, reports: list[record.Report]) -> None:
        acting = self._find_acting_peer()
        if acting is not None:
            acting.send_reports(reports)

    def _forward_command(self, payload: bytes) -> bytes | None:
        acting = self._find_acting_peer()
        return acting.execute(payload) if acting is not None else None


def run(command_line: list[str]) -> int:
    """Run ``rackvalve-steward``.

    :param command_line: Arguments without the program's name.
    :return: The exit code.
    """
    return arguments.run_daemon(PROGRAM, _main, command_line)


def _main(settings: reader.Settings) -> int:
    return Steward(settings).run()
