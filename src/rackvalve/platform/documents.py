"""Decodes and encodes the documents in the platform's store.

These are the operator's configuration and maintenance waves, the entries that
workers write about themselves, and the status of waves.  The manager uses it.
"""

from __future__ import annotations

import ipaddress
import math
import re
from typing import TypeVar

import msgspec

from rackvalve import codec
from rackvalve import errors
from rackvalve.jobs import incarnations
from rackvalve.platform import start_times
from rackvalve.scheduling import fleet
from rackvalve.scheduling import queues
from rackvalve.serving import limits as client_limits
from rackvalve.workspaces import account as accounts
from rackvalve.workspaces import credentials
from rackvalve.workspaces import directory as directories

N = TypeVar("N", int, float)

CONFIGURATION_KEY = "op/config"
OPERATOR_PREFIX = "op/"
WAVE_PREFIX = "op/wave/"
EVACUATION_PREFIX = "op/evacuate/"
WAVE_STATUS_PREFIX = "status/wave/"
WORKER_PREFIX = "servers/"
# Index of the rack in a worker's labels; the first label is the worker's kind.
RACK_LABEL = 1
STATE_DRAINING = "draining"
STATES = frozenset({"ready", STATE_DRAINING})
MAX_PORT = 65535
_PORT = re.compile("[0-9]{1,5}")
# A worker's name is sent in a header of each call, hence printable ASCII only.
_NAME = re.compile("[!-~]+")
# Value of a number that is absent.
_ZERO = msgspec.Raw(b"0")


class _WireAdvice(msgspec.Struct):
    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


class _WireRoute(msgspec.Struct, rename="kebab"):
    name: str
    host: str = ""
    path_prefix: str = "/"
    service: str = ""
    priority: codec.Integer = 0
    max_attempts: codec.Integer = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    timeout_ms: float = 0.0
    advice: _WireAdvice | None = None
    # Whether callers need no key; has an effect only if tenants are given.
    no_auth: bool = False


class _WireService(msgspec.Struct, rename="kebab"):
    name: str
    spare: bool = False
    cold_start_s: msgspec.Raw = _ZERO
    cold_per_s: msgspec.Raw = _ZERO


class _WireLimits(msgspec.Struct, rename="kebab"):
    max_header_bytes: codec.Integer = 16384
    max_body_bytes: codec.Integer = 262144
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _WireBound(msgspec.Struct, rename="kebab"):
    # 0 means no limit.
    cpu: codec.Integer = 0
    mem_mb: codec.Integer = 0
    gpu: codec.Integer = 0


class _WireTenant(msgspec.Struct, rename="kebab"):
    """The platform calls a workspace a tenant."""

    name: str
    api_keys: list[str] = []
    # Jobs per second that are guaranteed to the workspace under full load.
    weight: float = 0.0
    # Resources that its runs may use on all workers together.
    upper_bound: _WireBound = msgspec.field(default_factory=_WireBound)


class _WireConfiguration(msgspec.Struct):
    version: codec.Integer
    routes: list[_WireRoute] = []
    services: list[_WireService] = []
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    # Absent in deployments where no caller needs a key.
    tenants: list[_WireTenant] | None = None


class _WireCapacity(msgspec.Struct, rename="kebab"):
    cpu: codec.Integer = 0
    mem_mb: codec.Integer = 0
    gpu: codec.Integer = 0


class _WireServer(msgspec.Struct, rename="kebab"):
    addr: str
    # The platform calls a pool of workers a service.
    service: str = ""
    state: str = ""
    capacity: _WireCapacity = msgspec.field(default_factory=_WireCapacity)
    labels: list[str] = []
    machine: str = ""
    # The data hall.
    zone: str = ""
    remaining_ms: float | None = None
    # Checked only where cold workers matter, hence not decoded with the rest.
    cold_left_ms: msgspec.Raw = _ZERO
    born: msgspec.Raw = start_times.ABSENT


class _WireWave(msgspec.Struct, rename="kebab"):
    wave: codec.Integer
    machines: list[str] = []
    duration_s: float = 0.0
    # Number of VMs that may be away at once.
    upper_bound: codec.Integer = 1


def read_configuration(payload: bytes) -> queues.Configuration:
    """Decode the operator's configuration.

    :param payload: The stored value.
    :raises DocumentInvalidError: The value does not decode.
    """
    wire = codec.decode_as(payload, _WireConfiguration)
    return queues.Configuration(
        version=wire.version,
        queues=tuple(
            _read_queue(
                route,
                needs_key=wire.tenants is not None and not route.no_auth,
            )
            for route in wire.routes
        ),
        pools={service.name: _read_pool(service) for service in wire.services},
        body_limit=wire.limits.max_body_bytes,
        workspaces=_read_workspaces(wire.tenants or []),
        client_limits=_read_limits(wire.limits),
    )


def read_worker(
    key: str, payload: bytes, *, reads_cold: bool = False
) -> fleet.Entry:
    """Decode a worker's entry.

    :param key: The entry's key in the store, which ends with the worker's
        name.
    :param payload: The stored value.
    :param reads_cold: Whether to decode how long the worker is still cold; it
        counts as warm otherwise, whatever its entry says.
    :raises DocumentInvalidError: The entry does not decode or is unusable.
    """
    wire = codec.decode_as(payload, _WireServer)
    _check_server(parse_worker_key(key), wire)
    host, port = _read_address(wire.addr)
    rack = wire.labels[RACK_LABEL] if len(wire.labels) > RACK_LABEL else ""
    remaining = wire.remaining_ms
    incarnation = incarnations.Incarnation(
        worker=parse_worker_key(key),
        born=start_times.parse_start_time(wire.born),
    )
    return fleet.Entry(
        identity=incarnation.identity,
        pool=wire.service,
        host=host,
        port=port,
        vm=wire.machine,
        rack=rack,
        hall=wire.zone,
        labels=frozenset(wire.labels),
        capacity=fleet.Resources(
            cpu=wire.capacity.cpu,
            memory=wire.capacity.mem_mb,
            gpu=wire.capacity.gpu,
        ),
        draining=wire.state == STATE_DRAINING,
        remaining=None if remaining is None else remaining / 1000,
        cold_left=_read_cold_left(wire.cold_left_ms) if reads_cold else 0.0,
    )


def _read_cold_left(wire: msgspec.Raw) -> float:
    """Decode how long a worker is still cold, in seconds.

    :raises DocumentInvalidError: The field is no number, or is negative.
    """
    left = _parse_number(wire)
    if left is None:
        raise errors.DocumentInvalidError(
            "cold-left-ms is not a number of milliseconds from 0"
        )
    return left / 1000


def _parse_number(wire: msgspec.Raw) -> float | None:
    """Decode a number from 0; ``None`` for any other value."""
    try:
        number = codec.decode_as(wire, float)
    except errors.DocumentInvalidError:
        return None
    return number if 0 <= number < math.inf else None


def _check_server(name: str, wire: _WireServer) -> None:
    """Check that an entry describes a usable worker.

    :raises DocumentInvalidError: A field is invalid; another program may have
        written the entry.
    """
    if not _NAME.fullmatch(name):
        raise errors.DocumentInvalidError(
            f"name is not printable ASCII without spaces: {name!r}"
        )
    if wire.state not in STATES:
        raise errors.DocumentInvalidError(f"unknown state {wire.state!r}")
    if not wire.service:
        raise errors.DocumentInvalidError("service is empty")
    capacity = wire.capacity
    if min(capacity.cpu, capacity.mem_mb, capacity.gpu) < 0:
        raise errors.DocumentInvalidError("capacity is negative")


def _read_address(text: str) -> tuple[str, int]:
    """Decode an IP address and a port.

    :raises DocumentInvalidError: The address or the port is invalid.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise errors.DocumentInvalidError(
            f"addr has no valid IP address: {text!r}"
        ) from error
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise errors.DocumentInvalidError(f"addr has no valid port: {text!r}")
    return host, int(port)


def parse_worker_key(key: str) -> str:
    """Return the name of the worker in the key of an entry.

    :param key: The key of a worker's entry.
    """
    return key.removeprefix(WORKER_PREFIX)


def parse_evacuation_key(key: str) -> str | None:
    """Return the hall in the key of an evacuation order.

    :param key: Key of any document.
    :return: The hall; ``None`` for the key of another document.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX) or None


def read_wave(payload: bytes) -> fleet.Wave:
    """Decode the operator's order of a maintenance wave.

    :param payload: The stored value.
    :raises DocumentInvalidError: The value does not decode.
    """
    wire = codec.decode_as(payload, _WireWave)
    return fleet.Wave(
        number=wire.wave,
        vms=tuple(wire.machines),
        duration=wire.duration_s,
        most_away=wire.upper_bound,
    )


def encode_wave_status(completed: bool) -> bytes:
    """Encode the status of a maintenance wave.

    :param completed: Whether all VMs of the wave have begun their maintenance.
    """
    state = "completed" if completed else "running"
    return msgspec.json.encode({"state": state})


def _read_pool(service: _WireService) -> queues.Pool:
    """Decode a pool; what cannot be kept of cold workers means warm ones.

    A configuration was accepted whatever these fields held, and one that is
    rejected for them would leave the pool without its queues.
    """
    return queues.Pool(
        name=service.name,
        spare=service.spare,
        cold_start=_parse_number(service.cold_start_s) or 0.0,
        cold_rate=_parse_number(service.cold_per_s) or 0.0,
    )


def _read_limits(wire: _WireLimits) -> client_limits.Limits:
    """Decode the limits of callers; no request fits into one that is not > 0.

    The default takes the place of such a limit, since a configuration was
    accepted whatever these fields held.
    """
    default = client_limits.DEFAULT_LIMITS
    return client_limits.Limits(
        header_bytes=_choose_positive(
            wire.max_header_bytes, default.header_bytes
        ),
        header_timeout=_choose_positive(
            wire.header_timeout_ms / 1000, default.header_timeout
        ),
        idle_timeout=_choose_positive(
            wire.idle_timeout_ms / 1000, default.idle_timeout
        ),
    )


def _choose_positive(found: N, default: N) -> N:
    return found if found > 0 else default


def _read_workspaces(tenants: list[_WireTenant]) -> directories.Directory:
    """Decode the workspaces, keeping only digests of their keys."""
    return directories.Directory(
        [
            accounts.Workspace(
                name=tenant.name,
                rate=max(0.0, tenant.weight),
                bound=_read_bound(tenant.upper_bound),
                keys=frozenset(map(credentials.digest, tenant.api_keys)),
            )
            for tenant in tenants
        ]
    )


def _read_bound(bound: _WireBound) -> fleet.Resources:
    """Decode a bound; a negative one cannot be kept and means no limit."""
    return fleet.Resources(
        cpu=max(0, bound.cpu),
        memory=max(0, bound.mem_mb),
        gpu=max(0, bound.gpu),
    )


def _read_queue(route: _WireRoute, *, needs_key: bool) -> queues.Queue:
    admission = None
    if route.advice is not None:
        admission = queues.AdmissionLimits(
            decide_time=route.advice.decide_ms / 1000,
            worker_time=route.advice.each_ms / 1000,
            valid=route.advice.valid_ms / 1000,
        )
    return queues.Queue(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        pool=route.service,
        priority=route.priority,
        attempts=route.max_attempts,
        stretch=route.stretch,
        allowance=route.target_latency_ms / 1000,
        admission=admission,
        needs_key=needs_key,
    )
