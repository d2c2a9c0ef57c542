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


def _patch() -> None:
    from gevent import monkey

    monkey.patch_all()
    from rackvalve.rpc import channels

    channels.set_up()
