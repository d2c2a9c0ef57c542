"""Entry points of the console programs.

Each makes the standard library cooperative before anything else is
imported, hence the imports within the functions.
"""

from __future__ import annotations

import sys


def run_entry() -> int:
    """Run ``rackvalve-entry``."""
    _patch()
    from rackvalve.entry import program

    return program.run(sys.argv[1:])


def run_steward() -> int:
    """Run ``rackvalve-steward``."""
    _patch()
    from rackvalve.steward import program

    return program.run(sys.argv[1:])


def run_admin() -> int:
    """Run ``rackvalve-admin``."""
    _patch()
    from rackvalve.admin import program

    return program.run(sys.argv[1:])


def run_manager() -> int:
    """Run ``rackvalve-manager``."""
    from gevent import monkey

    # Only these: the manager uses no threads, and gevent's own sockets.
    monkey.patch_all(thread=False, subprocess=False, ssl=False)
    from rackvalve.manager import program

    return program.run(sys.argv[1:])


def run_load() -> int:
    """Run ``rackvalve-load``."""
    _patch()
    from rackvalve.load import program

    return program.run(sys.argv[1:])


def run_operator() -> int:
    """Run ``rackvalve``."""
    _patch()
    from rackvalve.cli import program

    return program.run(sys.argv[1:])


def _patch() -> None:
    from gevent import monkey

    monkey.patch_all()
    from rackvalve.rpc import channels

    channels.set_up()
