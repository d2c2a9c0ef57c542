"""Processes that tests and experiments start, and end by their ids."""

from __future__ import annotations

import pathlib
import signal
import subprocess

ROOT = pathlib.Path(__file__).resolve().parent.parent


class Process:
    """One started process."""

    def __init__(self, name, command, log):
        self.name = name
        self.command = command
        self.log = log
        self.popen = None

    def start(self):
        """Start it."""
        with open(self.log, "ab") as out:
            self.popen = subprocess.Popen(
                self.command, stdout=out, stderr=out, cwd=ROOT
            )

    def kill(self):
        """Kill it without warning."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def terminate(self, timeout=30.0):
        """Ask it to stop, and return its exit code."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(timeout)

    def signal(self, number):
        """Send a signal."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def hang_up(self):
        """Send the signal to reload its settings."""
        self.signal(signal.SIGHUP)

    def freeze(self):
        """Freeze it."""
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Resume it after a freeze."""
        self.signal(signal.SIGCONT)
