"""Composition root of ``rackvalve-load``."""

from __future__ import annotations

import sys

from cleo import application
from cleo.commands import command
from cleo import helpers
from cleo.io.inputs import argv_input

from rackvalve import arguments
from rackvalve import codec
from rackvalve.load import generator
from rackvalve.load import plan as plans
from rackvalve import version

PROGRAM = "rackvalve-load"


class _SendCommand(command.Command):
    """Sends requests and prints a summary of the outcomes as JSON."""

    name = "send"
    description = "Sends requests to entries and prints a JSON summary."
    arguments = [
        helpers.argument("addresses", "Entries, IP:PORT each.", multiple=True)
    ]
    options = [
        helpers.option("connections", None, "Connections.", flag=False,
                       default="1"),
        helpers.option("seconds", None, "Length of the run.", flag=False,
                       default="5"),
        helpers.option("rate", None, "Requests a second, 0 for no limit.",
                       flag=False, default="0"),
        helpers.option("workspaces", None, "Workspaces, by comma.",
                       flag=False, default="ws-1"),
        helpers.option("pool", None, "Pool.", flag=False, default="alarms"),
        helpers.option("job-class", None, "quick or long.", flag=False,
                       default="quick"),
        helpers.option("method", None, "HTTP method.", flag=False,
                       default="GET"),
        helpers.option("path", None, "Path and query.", flag=False,
                       default="/"),
        helpers.option("deadline-ms", None, "Deadline, 0 for none.",
                       flag=False, default="0"),
        helpers.option("body-size", None, "Bytes of the body.", flag=False,
                       default="0"),
        helpers.option("honour-retry-after", None,
                       "Wait as a refusal tells."),
    ]  # fmt: skip

    def handle(self) -> int:
        """Run the plan and print the summary."""
        try:
            plan = self._read_plan()
        except ValueError as error:
            print(f"wrong option: {error}", file=sys.stderr)
            return arguments.EXIT_USAGE
        summary = generator.Generator(plan).run()
        print(codec.encode(summary).decode())
        return arguments.EXIT_OK

    def _read_plan(self) -> plans.Plan:
        return plans.Plan(
            addresses=list(self.argument("addresses")),
            connections=int(self.option("connections")),
            duration=float(self.option("seconds")),
            rate=float(self.option("rate")),
            workspaces=self.option("workspaces").split(","),
            pool=self.option("pool"),
            job_class=self.option("job-class"),
            method=self.option("method"),
            path=self.option("path"),
            deadline_ms=int(self.option("deadline-ms")),
            body_size=int(self.option("body-size")),
            honour_retry_after=bool(self.option("honour-retry-after")),
        )


def run(command_line: list[str]) -> int:
    """Run ``rackvalve-load``.

    :param command_line: Arguments without the program's name.
    :return: The exit code.
    """
    app = application.Application(PROGRAM, version.VERSION)
    app.add(_SendCommand())
    app.auto_exits(False)
    return app.run(argv_input.ArgvInput([PROGRAM, *command_line]))
