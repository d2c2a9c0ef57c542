"""The ``rackvalve-manager`` program: builds its parts and runs them."""

from __future__ import annotations

import functools
import os
import random
import signal
import sys

import gevent
from gevent import event

from rackvalve import clocks
from rackvalve import errors
from rackvalve.jobs import weights
from rackvalve import logs
from rackvalve.manager.api import forwarding
from rackvalve.manager.api import job_api
from rackvalve.manager.api import relaying
from rackvalve.manager import connection_reporter
from rackvalve.manager.election import election
from rackvalve.manager.election import failures
from rackvalve.manager import features as feature_switches
from rackvalve.manager import listeners
from rackvalve.manager import memory_record
from rackvalve.manager import namespace_registry
from rackvalve.manager.owner import owner as owners
from rackvalve.manager.owner import resources as owner_resources
from rackvalve.manager.peers import membership as memberships
from rackvalve.manager.peers import registration as registrations
from rackvalve.manager.peers import relay_loader
from rackvalve.manager.peers import relay_service
from rackvalve.manager.standby import replica as replicas
from rackvalve.manager.standby import standby as standbys
from rackvalve.manager import store_probe
from rackvalve.manager import timing
from rackvalve.manager import view as views
from rackvalve.manager import watcher as watchers
from rackvalve.platform import advisers
from rackvalve.platform import connections
from rackvalve.platform import documents
from rackvalve.platform import machines as machine_clients
from rackvalve.platform import store as stores
from rackvalve.scheduling import policy as policies
from rackvalve.settings import catalog
from rackvalve.settings import kinds
from rackvalve.settings import reader
from rackvalve import tasks
from rackvalve import telemetry

PROGRAM = "rackvalve-manager"
SETTINGS_VARIABLE = "RACKVALVE_CONFIG"
EXIT_OK = 0
EXIT_SETTINGS = 2
# Interval at which the settings file is checked for changes, in seconds.
SETTINGS_CHECK_INTERVAL_S = 2.0


class Program:
    """One running manager.

    :param path: Path of the settings file.
    :param settings: Its checked contents.
    """

    def __init__(self, path: str, settings: reader.Settings) -> None:
        self._path = path
        self._settings = settings
        self._stopping = False
        self._ended = event.Event()
        vm = settings.get("instance", "vm", str)
        self._name = f"{vm} {random.getrandbits(32):08x}"
        self._cores = settings.get(
            "instance", "processor_share", float
        ) * settings.get("instance", "processor_speed", float)
        self._features = feature_switches.read_features(settings)
        self._membership = (
            memberships.Membership() if self._features.membership else None
        )
        address = settings.get("manager", "store", kinds.Address)
        self._telemetry = telemetry.Telemetry()
        self._connection_reporter = connection_reporter.ConnectionReporter(
            self._telemetry
        )
        self._store = stores.Store(
            address.host,
            address.port,
            timeout=timing.STORE_TIMEOUT_S,
            on_call=self._count_store_call,
        )
        self._prober = self._make_prober(address)
        machines = settings.get("manager", "machines", kinds.Address)
        self._machine_client = connections.HttpClient(
            machines.host, machines.port
        )
        self._machines = machine_clients.Machines(
            self._machine_client, vm, timeout=timing.VM_API_TIMEOUT_S
        )
        self._adviser = self._make_adviser()
        self._view = views.View()
        self._measure_view()
        self._namespaces = namespace_registry.NamespaceRegistry(
            self._store, self._view
        )
        self._listeners = listeners.Listeners(
            settings, self._view, self._telemetry, self._connection_reporter
        )
        self._member = self._make_member()
        self._smallest_memory = memory_record.SmallestMemory(
            self._store, settings.get("manager", "memory", int)
        )
        self._store_service = relaying.StoreService()
        self._relay_loader = relay_loader.Loader()
        self._job_api = job_api.JobApi(
            self._store,
            self._view,
            self._telemetry,
            is_stopping=lambda: self._stopping,
            get_job_bytes=self._get_job_bytes,
            write_rate=settings.get("manager", "store_writes", float),
            value_limit=settings.get("manager", "store_value", int),
            keep=settings.get("manager", "keep_time", float),
            registry=self._namespaces,
            forwarder=self._make_forwarder(),
        )
        self._failures = failures.FailureHistory()
        self._election = election.Election(
            self._store,
            self._name,
            cores=self._cores,
            make_owner=self._make_owner,
            may_own=lambda: self._view.configuration is not None,
            telemetry=self._telemetry,
            on_contact=self._view.note_contact,
            membership=self._membership,
            failures=self._failures,
            standby=self._features.standby,
        )
        self._registration = self._make_registration()
        self._standby = self._make_standby()
        self._relay_service = self._make_relay_service()

    def run(self) -> int:
        """Serve until a signal ends the process.

        :return: Exit code.
        """
        gevent.signal_handler(signal.SIGTERM, self._begin_shutdown)
        gevent.signal_handler(signal.SIGINT, self._begin_shutdown)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        self._listeners.start(
            self._job_api, self._answer_ready, self._telemetry.make_app()
        )
        operator = watchers.Watcher(
            self._store,
            documents.OPERATOR_PREFIX,
            on_range=self._view.apply_range,
            on_changes=self._view.apply_changes,
            on_contact=self._view.note_contact,
            on_confirmed=self._view.note_confirmed,
        )
        pause = timing.TASK_RESTART_DELAY_S
        tasks.run_forever("operator watch", pause, operator.run)
        tasks.run_forever("settings", pause, self._watch_settings)
        tasks.run_forever("smallest memory", pause, self._smallest_memory.run)
        tasks.run_forever(
            "connection report", pause, self._connection_reporter.run
        )
        self._election.start()
        if self._registration is not None:
            tasks.run_forever("registration", pause, self._registration.run)
        if self._prober is not None:
            tasks.run_forever("store probe", pause, self._prober.run)
        if self._standby is not None:
            tasks.run_forever("standby", pause, self._standby.run)
        if self._relay_service is not None:
            tasks.run_forever("relay", pause, self._relay_service.run)
        logs.write_event(
            "program.started",
            standby=self._features.standby,
            relay=self._features.relay,
            failure_domains=self._features.failure_domains,
            evacuation=self._features.evacuation,
        )
        self._ended.wait()
        self._listeners.stop()
        if self._relay_service is not None:
            self._relay_service.stop()
        logs.write_event(
            "program.stopped", unanswered=self._job_api.active_requests
        )
        return EXIT_OK

    def _get_job_bytes(self) -> int:
        """Return the memory that the jobs of any owner may take, in bytes."""
        return weights.share_memory(self._smallest_memory.memory)

    def _count_store_call(self, call: str, outcome: str) -> None:
        self._telemetry.store_calls.labels(call, outcome).inc()
        if self._prober is not None:
            self._prober.note_call(outcome)
        self._store_service.note_call(outcome, clocks.read_steady())
        if self._features.relay and self._store_service.is_failing:
            # The first relayed request does not wait for gRPC's import.
            self._relay_loader.load_in_background()

    def _measure_view(self) -> None:
        """Have the measures tell which configuration this process holds."""
        self._telemetry.configuration_version.set_function(
            lambda: self._view.version
        )
        self._telemetry.configuration_age.set_function(
            lambda: self._view.age(clocks.read_steady())
        )

    def _make_prober(
        self, address: kinds.Address
    ) -> store_probe.StoreProber | None:
        """Make what detects the store's recovery, if that is switched on."""
        if not self._features.standby:
            return None
        return store_probe.StoreProber(
            # Not the client whose calls are cancelled on recovery.
            stores.Store(
                address.host,
                address.port,
                timeout=timing.PROBE_TIMEOUT_S,
                on_call=lambda _, outcome: self._telemetry.store_calls.labels(
                    "probe", outcome
                ).inc(),
            ),
            key=election.TERM_KEY,
            on_recovery=self._resume_store_calls,
        )

    def _resume_store_calls(self) -> None:
        """Make all calls to the store again that hang since an outage."""
        self._view.note_contact()
        self._store.cancel_calls()
        self._election.note_recovery()
        if self._registration is not None:
            self._registration.retry_now()

    def _make_member(self) -> memberships.Member:
        """Make what this manager registers, if managers register."""
        return memberships.Member(
            process=self._name,
            vm=self._settings.get("instance", "vm", str),
            hall=self._settings.get("instance", "hall", str),
            cores=self._cores,
            address=self._choose_peer_address(),
        )

    def _make_registration(self) -> registrations.Registration | None:
        """Make what registers this manager, if managers register."""
        if self._membership is None:
            return None
        return registrations.Registration(
            self._store,
            self._member,
            may_register=lambda: self._view.configuration is not None,
        )

    def _make_standby(self) -> standbys.Standby | None:
        """Make what keeps the owner's records, if that is switched on."""
        if self._membership is None or not self._features.standby:
            return None
        return standbys.Standby(
            self._store,
            self._name,
            membership=self._membership,
            find_owner=lambda: self._election.last_owner,
            telemetry=self._telemetry,
        )

    def _take_replica(self) -> replicas.Replica | None:
        return self._standby.take() if self._standby is not None else None

    def _make_forwarder(self) -> forwarding.Forwarder | None:
        """Make what relays requests, if they are relayed."""
        if self._membership is None or not self._features.relay:
            return None
        return forwarding.Forwarder(
            self._member,
            self._membership,
            self._relay_loader,
            service=self._store_service,
            telemetry=self._telemetry,
        )

    def _make_relay_service(self) -> relay_service.RelayService | None:
        """Make what serves relayed requests, if they are relayed."""
        if (
            self._membership is None
            or self._registration is None
            or not self._features.relay
        ):
            return None
        ports = self._settings.get("manager", "peer_ports", kinds.PortRange)
        return relay_service.RelayService(
            self._member,
            range(ports.first, ports.last + 1),
            membership=self._membership,
            registration=self._registration,
            loader=self._relay_loader,
            handle=functools.partial(
                self._listeners.answer_relayed, self._job_api
            ),
        )

    def _choose_peer_address(self) -> str:
        """Return where peers reach this manager; empty if they do not."""
        if not self._features.relay:
            return ""
        host = self._settings.get("manager", "front_listen", kinds.Address)
        ports = self._settings.get("manager", "peer_ports", kinds.PortRange)
        return f"{host.host}:{ports.first}"

    def _make_owner(self, fence: int) -> owners.Owner | None:
        configuration = self._view.configuration
        if configuration is None:
            return None
        resources = owner_resources.Resources(
            store=self._store,
            machines=self._machines,
            adviser=self._adviser,
            view=self._view,
            namespaces=self._namespaces,
            telemetry=self._telemetry,
            on_contact=self._view.note_contact,
            take_replica=self._take_replica,
            value_limit=self._settings.get("manager", "store_value", int),
            get_job_bytes=self._get_job_bytes,
            failures=self._failures,
        )
        durations = owner_resources.Durations(
            keep=self._settings.get("manager", "keep_time", float),
            order_pause=self._settings.get("manager", "order_pause", float),
            pace_interval=self._settings.get(
                "manager", "pace_interval", float
            ),
            stop_time=self._settings.get("manager", "stop_time", float),
        )
        policy = policies.Policy(
            failure_domains=self._features.failure_domains,
            evacuation=self._features.evacuation,
        )
        return owners.Owner(
            resources, durations, configuration, fence, policy=policy
        )

    def _make_adviser(self) -> advisers.Adviser | None:
        addresses = self._settings.get("manager", "adviser", tuple)
        if not addresses:
            return None
        return advisers.Adviser(
            connections.HttpClient(addresses[0].host, addresses[0].port)
        )

    def _answer_ready(
        self, environ: dict[str, str], start_response: job_api.StartResponse
    ) -> list[bytes]:
        silence = self._view.silence(clocks.read_steady())
        ready = (
            not self._stopping
            and self._view.configuration is not None
            and silence <= timing.MAX_STORE_SILENCE_S
        )
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, [("Content-Type", "application/json")])
        return [b"{}"]

    def _begin_shutdown(self) -> None:
        if self._stopping:
            return
        self._stopping = True
        logs.write_event(
            "program.stopping", requests=self._job_api.active_requests
        )
        gevent.spawn(self._shut_down)

    def _shut_down(self) -> None:
        self._election.resign()
        if self._registration is not None:
            gevent.spawn(self._registration.end)
        grace = self._settings.get("manager", "grace_time", float)
        began = clocks.read_steady()
        gevent.sleep(min(timing.SHUTDOWN_DELAY_S, grace / 2))
        self._listeners.close_front()
        self._wait_for_requests(began + grace - timing.SHUTDOWN_MARGIN_S)
        self._ended.set()

    def _wait_for_requests(self, until: float) -> None:
        """Wait until no request has been active for a while.

        :param until: When to give up, in seconds.
        """
        idle_since = clocks.read_steady()
        while clocks.read_steady() < until:
            now = clocks.read_steady()
            if self._job_api.active_requests:
                idle_since = now
            elif now - idle_since >= timing.SHUTDOWN_IDLE_S:
                return
            gevent.sleep(timing.SHUTDOWN_IDLE_S / 4)

    def _reload(self) -> None:
        settings, faults = reader.check_file(self._path, catalog.MANAGER_KEYS)
        if settings is None:
            logs.write_warning(
                "settings.rejected", faults=[str(fault) for fault in faults]
            )
            return
        self._settings = settings
        address = settings.get("manager", "store", kinds.Address)
        self._store.set_address(address.host, address.port)
        if self._prober is not None:
            self._prober.set_address(address.host, address.port)
        machines = settings.get("manager", "machines", kinds.Address)
        self._machine_client.set_address(machines.host, machines.port)
        logs.write_event("settings.reloaded", store=str(address))

    def _watch_settings(self) -> None:
        """Reload the settings when their file changes, without a signal."""
        known = _read_file_stamp(self._path)
        while True:
            gevent.sleep(SETTINGS_CHECK_INTERVAL_S)
            stamp = _read_file_stamp(self._path)
            if stamp is not None and stamp != known:
                known = stamp
                self._reload()


def _read_file_stamp(path: str) -> tuple[int, int] | None:
    try:
        found = os.stat(path)
    except OSError as error:
        logs.write_warning("settings.rejected", faults=[repr(error)])
        return None
    return found.st_mtime_ns, found.st_size


def run(arguments: list[str]) -> int:
    """Read the settings, set up logs, and serve.

    :param arguments: Path of the settings file, if the environment does not
        name it.
    :return: Exit code: 0 after a signal, 2 for invalid settings.
    """
    path = arguments[0] if arguments else os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(
            f"pass the settings file's path, or set {SETTINGS_VARIABLE}",
            file=sys.stderr,
        )
        return EXIT_SETTINGS
    try:
        settings = reader.read_file(path, catalog.MANAGER_KEYS)
    except errors.SettingsInvalidError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        return EXIT_SETTINGS
    logs.set_up(
        settings.get("logs", "level", str),
        PROGRAM,
        settings.get("instance", "vm", str),
        settings.get("instance", "hall", str),
        stream=sys.stdout,
    )
    return Program(path, settings).run()
