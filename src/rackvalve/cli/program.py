"""Composition root of ``rackvalve``, the operators' command line."""

from __future__ import annotations

import os
import pathlib
import secrets
from typing import Any

from cleo import application
from cleo.commands import command
from cleo import helpers
from cleo.io.inputs import argv_input
import msgspec

from rackvalve.burn import objectives
from rackvalve.burn import pages
from rackvalve.cli import client as clients
from rackvalve.cli import explanation
from rackvalve.cli import output
from rackvalve.cli import shell
from rackvalve.configuration import operators
from rackvalve.settings import explanation as settings_explanation
from rackvalve.settings import reader
from rackvalve import version

PROGRAM = "rackvalve"
ADMIN_VARIABLE = "RACKVALVE_ADMIN"
TOKEN_VARIABLE = "RACKVALVE_TOKEN"
ADMIN_DEFAULT = "127.0.0.1:8090"

TOKEN_BYTES = 32

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REJECTED = 3
EXIT_CONFLICT = 4
EXIT_UNKNOWN = 5

_EXIT_CODES = {
    200: EXIT_OK,
    400: EXIT_USAGE,
    401: EXIT_REJECTED,
    403: EXIT_REJECTED,
    404: EXIT_REJECTED,
    409: EXIT_CONFLICT,
    422: EXIT_REJECTED,
    504: EXIT_UNKNOWN,
}


class SettingsCheck(command.Command):
    """Validates settings files without starting a process."""

    name = "settings check"
    description = "Checks settings files and names every fault."
    arguments = [helpers.argument("files", "Settings files.", multiple=True)]

    def handle(self) -> int:
        """Check all files and print their faults."""
        found = 0
        for path in self.argument("files"):
            _, faults = reader.check_file(path)
            for fault in faults:
                self.line_error(str(fault).replace("<", "\\<"))
            if not faults:
                self.line(f"{path}: no fault")
            found += len(faults)
        return EXIT_USAGE if found else EXIT_OK


class SettingsExplain(command.Command):
    """Explains every setting."""

    name = "settings explain"
    description = "Prints every setting: type, unit, default, meaning."

    def handle(self) -> int:
        """Print all settings."""
        self.line(settings_explanation.explain_all())
        return EXIT_OK


class _AdminCommand(command.Command):
    """Base of the commands that call the administration API."""

    options = [
        helpers.option(
            "admin", None, f"Address, IP:PORT; else ${ADMIN_VARIABLE}.",
            flag=False,
        ),
        helpers.option(
            "output", None, "table or json.", flag=False, default="table"
        ),
    ]  # fmt: skip

    def call(  # type: ignore[override]
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> clients.Reply:
        """Call the API at the configured address."""
        address = self.option("admin") or os.environ.get(
            ADMIN_VARIABLE, ADMIN_DEFAULT
        )
        token = os.environ.get(TOKEN_VARIABLE, "")
        client = clients.Client(address, token)
        return client.call(method, path, body, headers)

    def send_command(self, kind: str, body: dict[str, Any]) -> int:
        """Send a command and print its outcome."""
        payload = msgspec.json.encode({"kind": kind, "body": body})
        return self.conclude(self.call("POST", "/v1/commands", payload))

    def conclude(self, reply: clients.Reply) -> int:
        """Print the outcome of a command and return the exit code."""
        if self.option("output") == "json":
            output.print_json(self.io, reply.value)
        elif reply.ok and reply.value.get("preview"):
            self.line(output.explain_preview(reply.value["preview"]))
        elif reply.ok:
            self.line(f"accepted as revision {reply.value['revision']}")
        if not reply.ok:
            title = reply.value.get("title", "no answer")
            self.line_error(f"{title}: {reply.value.get('detail', '')}")
        return _EXIT_CODES.get(reply.status, EXIT_FAILED)


class Status(_AdminCommand):
    """Shows the hall's VMs, waves and waiting steps."""

    name = "status"
    description = "Shows VMs, entries, revisions, and what waits for whom."

    def handle(self) -> int:
        """Show the status."""
        reply = self.call("GET", "/v1/status")
        if not reply.ok or self.option("output") == "json":
            return self.conclude(reply)
        status = reply.value
        age = status["age"]
        self.line(
            f"hall {status['hall_name']}: configuration "
            f"{status['configuration_revision']}, hall record "
            f"{status['hall_revision']}"
        )
        if age < 0 or age > 60:
            self.line("the platform does not answer; this may be old")
        headers = ["VM", "pool", "state", "rack", "slots"]
        output.print_table(self.io, headers, output.list_targets(status))
        for line in output.list_waves(status):
            self.line(line)
        for wait in status["waits"]:
            holders = ", ".join(wait["holders"])
            self.line(f"{wait['subject']} waits for {holders}")
        return EXIT_OK


class Why(_AdminCommand):
    """Explains the routing and outcome of a request."""

    name = "why"
    description = "Says why a request ran where it did, or was refused."
    arguments = [helpers.argument("request", "Identifier of the request.")]

    def handle(self) -> int:
        """Fetch and print the explanation."""
        reply = self.call("GET", f"/v1/requests/{self.argument('request')}")
        if not reply.ok or self.option("output") == "json":
            return self.conclude(reply)
        for line in output.explain_trace(reply.value):
            self.line(line)
        return EXIT_OK


class Drain(_AdminCommand):
    """Drains a VM."""

    name = "drain"
    description = "Lets a VM leave: no new work, none cut off."
    arguments = [helpers.argument("vm", "The VM.")]

    def handle(self) -> int:
        """Order the drain."""
        return self.send_command("drain", {"vm": self.argument("vm")})


class Return(_AdminCommand):
    """Returns a drained VM to service."""

    name = "return"
    description = "Lets a VM that is away serve again."
    arguments = [helpers.argument("vm", "The VM.")]

    def handle(self) -> int:
        """Order the return."""
        return self.send_command("return", {"vm": self.argument("vm")})


class Priority(_AdminCommand):
    """Changes a workspace's priority."""

    name = "priority"
    description = "Changes the priority of a workspace."
    arguments = [
        helpers.argument("workspace", "The workspace."),
        helpers.argument("priority", "The new priority, 1 to 1000."),
    ]

    def handle(self) -> int:
        """Order the change."""
        text = self.argument("priority")
        if not text.isdigit():
            self.line_error("priority: give a whole number")
            return EXIT_USAGE
        body = {
            "workspace": self.argument("workspace"),
            "priority": int(text),
        }
        return self.send_command("set-priority", body)


class Move(_AdminCommand):
    """Moves a VM to another pool."""

    name = "move"
    description = "Lets a VM join another pool, within its pool's budget."
    arguments = [
        helpers.argument("vm", "The VM."),
        helpers.argument("pool", "The pool to join."),
    ]

    def handle(self) -> int:
        """Order the move."""
        body = {"vm": self.argument("vm"), "pool": self.argument("pool")}
        return self.send_command("move", body)


class WaveStart(_AdminCommand):
    """Starts a maintenance wave."""

    name = "wave start"
    description = "Starts a maintenance wave, or previews it."
    arguments = [helpers.argument("name", "Name of the wave.")]
    options = [
        *_AdminCommand.options,
        helpers.option("pool", None, "Only VMs of this pool.", flag=False),
        helpers.option("rack", None, "Only VMs of this rack.", flag=False),
        helpers.option("vms", None, "These VMs, by comma.", flag=False),
        helpers.option("preview", None, "Show the effect only."),
    ]

    def handle(self) -> int:
        """Order or preview the wave."""
        body = {
            "name": self.argument("name"),
            "pool": self.option("pool") or "",
            "rack": self.option("rack") or "",
            "vms": list(filter(None, (self.option("vms") or "").split(","))),
            "preview": bool(self.option("preview")),
        }
        return self.send_command("start-wave", body)


class WaveChange(_AdminCommand):
    """Pauses, resumes or abandons a wave."""

    name = "wave change"
    description = "Pauses, resumes or abandons a wave."
    arguments = [
        helpers.argument("name", "Name of the wave."),
        helpers.argument("phase", "paused, running or abandoned."),
    ]

    def handle(self) -> int:
        """Order the change."""
        body = {"name": self.argument("name"), "phase": self.argument("phase")}
        return self.send_command("change-wave", body)


class Budget(_AdminCommand):
    """Changes a pool's availability budget."""

    name = "budget"
    description = "Changes the least number of available VMs of a pool."
    arguments = [
        helpers.argument("pool", "The pool."),
        helpers.argument("budget", "Least available VMs in each hall."),
    ]

    def handle(self) -> int:
        """Order the change."""
        text = self.argument("budget")
        if not text.isdigit():
            self.line_error("budget: give a whole number")
            return EXIT_USAGE
        body = {"pool": self.argument("pool"), "budget": int(text)}
        return self.send_command("set-budget", body)


class Quota(_AdminCommand):
    """Changes a workspace's quota."""

    name = "quota"
    description = "Changes the most slots that a workspace holds."
    arguments = [
        helpers.argument("workspace", "The workspace."),
        helpers.argument("quota", "Most slots in a hall's pool, or 'none'."),
    ]

    def handle(self) -> int:
        """Order the change."""
        text = self.argument("quota")
        if text != "none" and not text.isdigit():
            self.line_error("quota: give a whole number, or none")
            return EXIT_USAGE
        quota = None if text == "none" else int(text)
        body = {"workspace": self.argument("workspace"), "quota": quota}
        return self.send_command("set-quota", body)


class Run(_AdminCommand):
    """Runs one statement of the query and command language."""

    name = "run"
    description = "Runs one statement of the query and command language."
    arguments = [helpers.argument("statement", "The statement, quoted.")]

    def handle(self) -> int:
        """Run the statement and print its answer."""
        return self.run_statement(self.argument("statement"))

    def run_statement(self, text: str) -> int:
        """Run a statement and print its answer.

        :param text: The statement.
        :return: The exit code.
        """
        reply = self.call("POST", "/v1/statements", text.encode())
        if not reply.ok or self.option("output") == "json":
            return self.conclude(reply)
        if not output.print_answer(self.io, reply.value):
            return self.conclude(reply)
        return EXIT_OK


class Shell(Run):
    """Interactive shell for statements."""

    name = "shell"
    description = "Reads statements from the terminal, with history."
    arguments = []

    def handle(self) -> int:
        """Read and run statements until the end of input."""
        shell.set_up_history()
        code = EXIT_OK
        while True:
            try:
                text = input("rackvalve> ").strip()
            except EOFError:
                return code
            if text:
                code = self.run_statement(text)


class TokenNew(command.Command):
    """Generates a token for an operator."""

    name = "token new"
    description = "Makes a token, and the hash for the configuration."

    def handle(self) -> int:
        """Generate and print token and hash; neither is stored."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        self.line(f"token (for the operator): {token}")
        digest = operators.hash_token(token)
        self.line(f"token_hash (for the configuration): {digest}")
        return EXIT_OK


class ReportBurn(_AdminCommand):
    """Reports service-level burn."""

    name = "report burn"
    description = "Reports service-level burn as text, JSON or HTML."
    options = [
        _AdminCommand.options[0],
        helpers.option(
            "output", None, "text, json or html.", flag=False, default="text"
        ),
    ]

    def handle(self) -> int:
        """Fetch and print the report."""
        reply = self.call("GET", "/v1/burn")
        if not reply.ok:
            return self.conclude(reply)
        if self.option("output") == "json":
            output.print_json(self.io, reply.value)
            return EXIT_OK
        report = msgspec.convert(reply.value, objectives.Report)
        write = pages.write_text
        if self.option("output") == "html":
            write = pages.write_page
        print(write(report))
        return EXIT_OK


class ConfigurationShow(_AdminCommand):
    """Prints the current configuration."""

    name = "configuration show"
    description = "Prints the configuration in force and its revision."

    def handle(self) -> int:
        """Fetch and print the configuration."""
        reply = self.call("GET", "/v1/configuration")
        if not reply.ok:
            return self.conclude(reply)
        output.print_json(self.io, reply.value)
        return EXIT_OK


class ConfigurationPut(_AdminCommand):
    """Replaces the configuration."""

    name = "configuration put"
    description = "Puts a configuration (JSON file) in force."
    arguments = [
        helpers.argument("file", "The configuration, a JSON file."),
        helpers.argument("revision", "Revision that it is based on."),
    ]

    def handle(self) -> int:
        """Send the configuration."""
        try:
            body = pathlib.Path(self.argument("file")).read_bytes()
        except OSError as error:
            self.line_error(f"{self.argument('file')}: {error}")
            return EXIT_USAGE
        headers = {"If-Match": self.argument("revision")}
        reply = self.call("PUT", "/v1/configuration", body, headers)
        return self.conclude(reply)


_COMMANDS: tuple[type[command.Command], ...] = (
    SettingsCheck,
    SettingsExplain,
    explanation.ExplainDay,
    explanation.ExplainJob,
    Status,
    Why,
    Drain,
    Return,
    Priority,
    Quota,
    Budget,
    Move,
    WaveStart,
    WaveChange,
    Run,
    Shell,
    ReportBurn,
    TokenNew,
    ConfigurationShow,
    ConfigurationPut,
)


def run(command_line: list[str]) -> int:
    """Run ``rackvalve``.

    :param command_line: Arguments without the program's name.
    :return: The exit code.
    """
    app = application.Application(PROGRAM, version.VERSION)
    for command_type in _COMMANDS:
        app.add(command_type())
    app.auto_exits(False)
    return app.run(argv_input.ArgvInput([PROGRAM, *command_line]))
