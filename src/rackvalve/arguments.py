"""The command line that the daemons share: settings file, version, help."""

from __future__ import annotations

from collections.abc import Callable
import sys

from cleo import application
from cleo.commands import command
from cleo import helpers
from cleo.io.inputs import argv_input

from rackvalve import errors
from rackvalve import logs
from rackvalve.settings import reader
from rackvalve import version

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

Main = Callable[[reader.Settings], int]


class _RunCommand(command.Command):
    """Runs a daemon until it is told to stop.

    :param program: Name of the program, for logs.
    :param main: The composition root; returns the exit code.
    """

    name = "run"
    description = "Runs the program until SIGTERM or SIGINT."
    arguments = [
        helpers.argument("settings", "Path of the VM's settings file.")
    ]

    def __init__(self, program: str, main: Main) -> None:
        self._program = program
        self._main = main
        super().__init__()

    def handle(self) -> int:
        """Read the settings and run."""
        try:
            settings = reader.read_file(self.argument("settings"))
        except errors.SettingsInvalidError as error:
            for fault in error.faults:
                print(fault, file=sys.stderr)
            return EXIT_USAGE
        logs.set_up(
            settings.get("logs", "level", str),
            self._program,
            settings.get("instance", "vm", str),
            settings.get("instance", "hall", str),
        )
        return self._main(settings)


def run_daemon(name: str, main: Main, arguments: list[str]) -> int:
    """Read a daemon's command line and settings, set up logs, and run it.

    :param name: Name of the program.
    :param main: The composition root; returns the exit code.
    :param arguments: The command line without the program's name.
    :return: Exit code: 0 stopped as ordered, 1 failed, 2 wrong settings.
    """
    app = application.Application(name, version.VERSION)
    app.add(_RunCommand(name, main))
    app.auto_exits(False)
    return app.run(argv_input.ArgvInput([name, *arguments]))
