"""Crowds of misbehaving clients in a run of the soak."""

from __future__ import annotations

import sys

import gevent

from tools.clients import memory
from tools.clients import trial
from tools import processes
from tools.soak import checks

# Kinds of clients, none of which has a job accepted, and their number.
KINDS = (
    ("held-bodies", 800),
    ("chunked-bodies", 400),
    ("oversized-bodies", 100),
    ("endless-trailers", 3),
    ("body-fields", 30),
    ("half-headers", 1000),
    ("silence", 1500),
    ("slow-headers", 500),
    ("slow-readers", 300),
    ("requests-ahead", 100),
)
PLACES = ("route", "no-route", "ready", "metrics")
# How long the process that plays a crowd may take to end, in seconds.
END_TIMEOUT_S = 5.0
# Memory of the managers' VMs, in bytes.
MEMORY = trial.MEMORY_MB * memory.MB
SETTINGS = {"memory": f"{MEMORY}B", "descriptors": str(trial.DESCRIPTORS)}


def play_crowd(site, number, fault):
    """Play a crowd at one manager, which may end and start meanwhile.

    :param site: The site.
    :param number: Number of the manager.
    :param fault: The fault, which chooses the kind and the place.
    :return: The kind and the place.
    """
    draw = int(fault.length * 1000)
    kind, count = KINDS[draw % len(KINDS)]
    place = PLACES[draw // len(KINDS) % len(PLACES)]
    manager = site.managers[number]
    port, path = trial.PATHS[place]
    process = processes.Process(
        "crowd",
        [
            sys.executable,
            "-m",
            "tools.clients",
            kind,
            f"--port={manager[port]}",
            f"--path={path}",
            f"--seconds={fault.length}",
            f"--connections={count}",
            f"--seed={draw}",
        ],
        str(site.folder / "crowds.log"),
    )
    process.start()
    gevent.sleep(fault.length)
    process.terminate(END_TIMEOUT_S)
    return f"{kind} at {place}"


def watch_memory(site):
    """Begin to watch the memory of a site's managers.

    :param site: The site, started.
    """
    watch = memory.MemoryWatch(site.managers, MEMORY)
    watch.start()
    return watch


def check_memory(watch):
    """Return the violations of managers that took too much memory.

    :param watch: The watch, which is stopped.
    """
    watch.stop()
    return [
        checks.Violation(
            promise="no process takes more memory than its VM has",
            detail=f"{vm}: {used} of {MEMORY} bytes",
        )
        for vm, used in watch.exceeded.items()
    ]
