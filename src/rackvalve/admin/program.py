"""Composition root of ``rackvalve-admin``."""

from __future__ import annotations

import signal

import gevent
from gevent import event

from rackvalve.admin import app as apps
from rackvalve.admin import backend
from rackvalve import arguments
from rackvalve import clocks
from rackvalve import logs
from rackvalve import servers
from rackvalve.serving import limits
from rackvalve.settings import kinds
from rackvalve.settings import reader

PROGRAM = "rackvalve-admin"
STOP_TIMEOUT_S = 5.0
# Longest bodies that are held at once.
BODIES = 8


def run(command_line: list[str]) -> int:
    """Run ``rackvalve-admin``.

    :param command_line: Arguments without the program's name.
    :return: The exit code.
    """
    return arguments.run_daemon(PROGRAM, _main, command_line)


def _main(settings: reader.Settings) -> int:
    steward = settings.get("steward", "listen", kinds.Address)
    listen = settings.get("admin", "listen", kinds.Address)
    application = apps.App(
        backend.Backend(str(steward)), clock=clocks.read_wall
    )
    guard = servers.Guard(
        capacity=limits.Capacity(
            connections=settings.get("admin", "connections", int),
            body_bytes=limits.weigh_body(apps.BODY_LIMIT + 1) * BODIES,
        )
    )
    server = servers.make_server(
        listen.host, listen.port, application, guard=guard
    )
    stop = event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    try:
        server.start()
    except OSError as error:
        logs.write_warning("program.stopped", reason=repr(error))
        return arguments.EXIT_FAILED
    logs.write_event("program.started", listen=str(listen))
    stop.wait()
    server.stop(STOP_TIMEOUT_S)
    logs.write_event("program.stopped")
    return arguments.EXIT_OK
