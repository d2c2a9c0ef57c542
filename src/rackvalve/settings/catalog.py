"""Catalog of all settings: section, key, kind, default and meaning.

The reader validates against this table, ``rackvalve settings explain`` prints
it, and the reference page is generated from it.
"""

from __future__ import annotations

import dataclasses

from rackvalve.settings import kinds

REQUIRED = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Key:
    """One setting.

    :param section: Section of the INI file.
    :param name: Key within the section.
    :param kind: Type and range of the value.
    :param default: The text used if the key is absent; ``REQUIRED`` for a
        mandatory key.
    :param meaning: Description of the setting, in one sentence.
    """

    section: str
    name: str
    kind: kinds.Kind
    default: str | None
    meaning: str


def _duration(least: float, most: float) -> kinds.Duration:
    return kinds.Duration(least=least, most=most)


def _size(least: int, most: int) -> kinds.Size:
    return kinds.Size(least=least, most=most)


def _count(least: int, most: int) -> kinds.Count:
    return kinds.Count(least=least, most=most)


_SWITCH = kinds.Choice(words=("off", "auto", "on"))
_LEVELS = kinds.Choice(words=("debug", "info", "warning", "error"))

_ROWS: tuple[tuple[str, str, kinds.Kind, str | None, str], ...] = (
    ("instance", "vm", kinds.Text(), REQUIRED,
     "Identity of this VM, as the platform lists it."),
    ("instance", "hall", kinds.Text(), REQUIRED,
     "Data hall in which this VM stands."),
    ("entry", "listen", kinds.Endpoint(), REQUIRED,
     "Address on which callers' HTTP requests are taken."),
    ("entry", "rpc_listen", kinds.Endpoint(), REQUIRED,
     "Address of the entry for other processes of the system."),
    ("entry", "body_limit", _size(0, 64 * 1024**2), "1MiB",
     "Largest request body that is taken."),
    ("entry", "header_limit", _size(16, 8192), "1KiB",
     "Longest value of one of the system's own request headers."),
    ("entry", "memory_limit", _size(1024**2, 8 * 1024**3), "128MiB",
     "Sum of the request bodies held at once; more are refused."),
    ("entry", "connections", _count(1, 2**20), "1024",
     "Connections of callers held at once; beyond that idle ones are closed "
     "for new ones."),
    ("entry", "answer_buffer", _size(1024, 16 * 1024**2), "256KiB",
     "An answer up to this size is checked whole before its first byte "
     "goes to the caller; a larger one is streamed."),
    ("entry", "connect_timeout", _duration(0.001, 60), "500ms",
     "Longest wait for a connection to a target."),
    ("entry", "drain_timeout", _duration(0, 24 * 3600), "30s",
     "Longest wait for requests in flight on a planned stop."),
    ("entry", "ready_delay", _duration(0, 60), "1s",
     "Time between telling the balancer that the entry leaves and closing "
     "the listener."),
    ("entry", "retry_ratio", kinds.Ratio(), "0.1",
     "Retries allowed, as a share of first attempts."),
    ("entry", "eject_failures", _count(1, 1000), "5",
     "Failures in a row after which a target gets no work for a while."),
    ("entry", "eject_time", _duration(0.01, 3600), "5s",
     "First length of an ejection; it doubles with each further one."),
    ("entry", "eject_cap", kinds.Ratio(), "0.5",
     "Largest share of a pool's targets that is ejected at once."),
    ("entry", "key_lifetime", _duration(1, 24 * 3600), "10min",
     "How long an idempotency key is valid after its creation."),
    ("entry", "clock_skew", _duration(0, 60), "2s",
     "Largest difference assumed between the clocks of callers and VMs."),
    ("steward", "listen", kinds.Endpoint(), REQUIRED,
     "Address of the steward for other processes of the system."),
    ("steward", "platform", kinds.Endpoint(), REQUIRED,
     "Address of the platform's key-value service."),
    ("steward", "peers", kinds.Endpoints(), "",
     "Addresses of the other stewards of this hall."),
    ("steward", "platform_timeout", _duration(0.05, 60), "2s",
     "Longest wait for the platform's answer to a call."),
    ("steward", "watch_time", _duration(0.1, 600), "30s",
     "Length of one waiting watch on the platform."),
    ("steward", "report_interval", _duration(0.05, 60), "1s",
     "Time between two reports of an entry when nothing changes."),
    ("steward", "step_interval", _duration(0.05, 60), "500ms",
     "Time between two rounds of the acting steward."),
    ("steward", "lease_time", _duration(0.5, 600), "5s",
     "Length of the lease that names the acting steward of a hall."),
    ("admin", "listen", kinds.Endpoint(), REQUIRED,
     "Address of the administration API."),
    ("admin", "connections", _count(1, 2**20), "64",
     "Connections held at once; beyond that idle ones are closed for new "
     "ones."),
    ("metrics", "statsd", kinds.Endpoint(), "127.0.0.1:8125",
     "Address of the statsd receiver."),
    ("metrics", "interval", _duration(0.1, 600), "1s",
     "Time between two sendings of metrics."),
    ("logs", "level", _LEVELS, "info",
     "Least level that is written."),
)  # fmt: skip

KEYS: tuple[Key, ...] = tuple(
    Key(section=section, name=name, kind=kind, default=default, meaning=text)
    for section, name, kind, default, text in _ROWS
)

_MANAGER_ROWS: tuple[tuple[str, str, kinds.Kind, str | None, str], ...] = (
    ("instance", "vm", kinds.Text(), REQUIRED,
     "Identity of this VM, as the platform lists it."),
    ("instance", "hall", kinds.Text(), REQUIRED,
     "Data hall in which this VM stands."),
    ("instance", "processor_share", kinds.Number(least=0.001, most=1000), "1",
     "Share of a core that this VM has."),
    ("instance", "processor_speed", kinds.Number(least=0.001, most=1000), "1",
     "How many times as fast as a usual core that core is."),
    ("manager", "front_listen", kinds.Endpoint(), REQUIRED,
     "Address on which callers hand in jobs."),
    ("manager", "ready_listen", kinds.Endpoint(), REQUIRED,
     "Address on which the balancer asks whether callers may come."),
    ("manager", "metrics_listen", kinds.Endpoint(), REQUIRED,
     "Address on which counters and histograms are told."),
    ("manager", "store", kinds.Endpoint(), REQUIRED,
     "Address of the platform's store."),
    ("manager", "machines", kinds.Endpoint(), REQUIRED,
     "Address of the platform's interface to its VMs."),
    ("manager", "adviser", kinds.Endpoints(), "",
     "Address of the service that admits workers to steps; empty for none."),
    ("manager", "memory", _size(64 * 1024**2, 1024**4), "256MiB",
     "Memory that the process may take; callers' connections, bodies and "
     "jobs are refused beyond their shares of it."),
    ("manager", "descriptors", _count(64, 2**30), "4096",
     "Descriptors that the process may open; callers' connections are closed "
     "beyond their share of them."),
    ("manager", "store_writes", kinds.Number(least=1, most=1e9), "400",
     "Writes per second that the store takes from all managers; submissions "
     "beyond this manager's share of them are refused."),
    ("manager", "store_value", _size(64 * 1024, 1024**3), "1MiB",
     "Largest value that the store keeps; the records of larger jobs are "
     "written in parts."),
    ("manager", "grace_time", _duration(0.1, 3600), "6s",
     "Time between SIGTERM and the kill."),
    ("manager", "keep_time", _duration(0, 7 * 24 * 3600), "120s",
     "How long the state of an ended job can be asked for."),
    ("manager", "order_pause", _duration(0, 60), "3s",
     "How long a new owner gives no orders to VMs, so that two holders do "
     "not take turns."),
    ("manager", "stop_time", _duration(0, 60), "900ms",
     "How long a worker takes at most to stop a run."),
    ("manager", "pace_interval", _duration(0, 60), "100ms",
     "Shortest time between two changes of a task's pace."),
    ("manager", "terms", kinds.Words(), "",
     "Parts of the platform's rules in force here; they decide what a switch "
     "set to auto does."),
    ("manager", "peer_ports", kinds.Ports(), "",
     "Ports that managers may use among themselves, the same on all VMs; "
     "empty for none."),
    ("manager", "standby", _SWITCH, "off",
     "Whether some managers keep the owner's view current, to take over "
     "without loading it."),
    ("manager", "relay", _SWITCH, "off",
     "Whether a manager that the store does not serve passes callers' "
     "requests to one that it serves; needs peer_ports."),
    ("manager", "failure_domains", _SWITCH, "off",
     "Whether tasks and VMs are spread over racks and halls, and workers "
     "that fall silent together are one failure."),
    ("manager", "evacuation", _SWITCH, "off",
     "Whether lasting tasks are moved out of evacuated halls and cold "
     "workers come into use gradually."),
    ("logs", "level", _LEVELS, "info",
     "Least level that is written."),
)  # fmt: skip

MANAGER_KEYS: tuple[Key, ...] = tuple(
    Key(section=section, name=name, kind=kind, default=default, meaning=text)
    for section, name, kind, default, text in _MANAGER_ROWS
)
