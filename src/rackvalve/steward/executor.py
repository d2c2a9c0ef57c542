"""Execution of operators' commands on the documents in the store."""

from __future__ import annotations

import dataclasses
import functools
from typing import Any
from typing import TYPE_CHECKING

from rackvalve import codec
from rackvalve import commands
from rackvalve.configuration import document
from rackvalve.configuration import rules
from rackvalve import errors
from rackvalve.fleet import record
from rackvalve.fleet import transitions
from rackvalve.fleet import waves
from rackvalve.keyvalue import port
from rackvalve import logs
from rackvalve.steward import writer as writers

if TYPE_CHECKING:
    from collections.abc import Callable

    from rackvalve.steward import keeper as keepers
    from rackvalve.steward import stepper as steppers

Result = commands.Answer | commands.Status | commands.Operators


class Executor:
    """Executes commands on the configuration and the hall's record.

    :param hall: Name of the steward's hall.
    :param platform: The port to the platform.
    :param keeper: State of the steward.
    :param stepper: Source of the steps that wait, with their holders.
    :param forward_command: Sends an encoded command to the acting steward of
        the hall and returns its answer, or ``None`` if there is none.
    :param clock: Reads the wall clock, in seconds.
    """

    def __init__(
        self,
        hall: str,
        *,
        platform: port.Platform,
        keeper: keepers.Keeper,
        stepper: steppers.Stepper,
        forward_command: Callable[[bytes], bytes | None],
        clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._forward_command = forward_command
        self._hall = hall
        self._platform = platform
        self._writer = writers.Writer(platform, keeper)
        self._keeper = keeper
        self._stepper = stepper

    def execute(self, payload: bytes) -> bytes:
        """Execute an encoded command.

        :param payload: JSON of the command.
        :return: JSON of the answer.
        """
        try:
            command = commands.decode(payload)
        except errors.DocumentInvalidError as error:
            return codec.encode(
                commands.Answer(outcome="rejected", detail=error.reason)
            )
        if isinstance(command, commands.ShowStatus) and not command.local:
            shown = self._query_acting_steward()
            if shown is not None:
                return shown
        answer = self.run(command)
        if isinstance(answer, commands.Answer):
            logs.write_event(
                "command.done",
                command=type(command).__name__,
                outcome=answer.outcome,
                revision=answer.revision,
                detail=answer.detail,
            )
        return codec.encode(answer)

    def _query_acting_steward(self) -> bytes | None:
        """Query the acting steward, which receives the hall's reports."""
        if self._keeper.acting:
            return None
        return self._forward_command(
            commands.encode(commands.ShowStatus(local=True))
        )

    @functools.singledispatchmethod
    def run(self, command: Any) -> Result:
        """Execute a command.

        :param command: The command.
        """
        raise TypeError(f"unexpected command {command!r}")

    @run.register
    def _run_status(self, command: commands.ShowStatus) -> Result:
        keeper = self._keeper
        configuration, configuration_revision = keeper.get_configuration()
        hall, hall_revision = keeper.get_hall()
        return commands.Status(
            hall_name=self._hall,
            acting=keeper.acting,
            age=keeper.get_age(),
            configuration=configuration,
            configuration_revision=configuration_revision,
            hall=hall,
            hall_revision=hall_revision,
            reports=list(keeper.reports.values()),
            waits=self._stepper.waits,
            divisions=keeper.get_divisions(),
        )

    @run.register
    def _run_operators(self, command: commands.ShowOperators) -> Result:
        configuration, _ = self._keeper.get_configuration()
        return commands.Operators(operators=configuration.operators)

    @run.register
    def _run_replace(self, command: commands.ReplaceConfiguration) -> Result:
        faults = rules.find_faults(command.configuration)
        present, _ = self._keeper.get_configuration()
        if present.key_halls not in ([], command.configuration.key_halls):
            faults.append(
                "key_halls: may not change, since keys would change owners; "
                "new halls serve without being listed"
            )
        if faults:
            return commands.Answer(
                outcome="rejected", detail="; ".join(faults)
            )
        return self._write_configuration(
            command.configuration, command.expected
        )

    @run.register
    def _run_priority(self, command: commands.SetPriority) -> Result:
        return self._change_workspace(
            command.workspace,
            command.expected,
            lambda workspace: dataclasses.replace(
                workspace, priority=command.priority
            ),
        )

    @run.register
    def _run_quota(self, command: commands.SetQuota) -> Result:
        return self._change_workspace(
            command.workspace,
            command.expected,
            lambda workspace: dataclasses.replace(
                workspace, quota=command.quota
            ),
        )

    @run.register
    def _run_budget(self, command: commands.SetBudget) -> Result:
        def change(
            configuration: document.Configuration,
        ) -> document.Configuration:
            pools = dict(configuration.pools)
            pools[command.pool] = dataclasses.replace(
                pools[command.pool], budget=command.budget
            )
            return dataclasses.replace(configuration, pools=pools)

        return self._change_configuration(change, command.expected)

    @run.register
    def _run_drain(self, command: commands.Drain) -> Result:
        return self._change_hall(
            lambda hall: transitions.order_drain(
                hall,
                command.vm,
                budget=self._find_budget(hall, command.vm),
                unavailable=self._keeper.list_unhealthy(),
            )
        )

    @run.register
    def _run_move(self, command: commands.Move) -> Result:
        configuration, _ = self._keeper.get_configuration()
        if command.pool not in configuration.pools:
            detail = f"pool {command.pool!r} is not known"
            return commands.Answer(outcome="rejected", detail=detail)
        return self._change_hall(
            lambda hall: transitions.order_move(
                hall,
                command.vm,
                command.pool,
                budget=self._find_budget(hall, command.vm),
                unavailable=self._keeper.list_unhealthy(),
            )
        )

    @run.register
    def _run_return(self, command: commands.Return) -> Result:
        return self._change_hall(
            lambda hall: transitions.order_return(hall, command.vm)
        )

    @run.register
    def _run_start_wave(self, command: commands.StartWave) -> Result:
        if command.preview:
            return self._preview_wave(command)
        return self._change_hall(
            lambda hall: waves.order_wave(
                hall,
                command.name,
                _choose_vms(hall, command),
                self._clock(),
            )
        )

    @run.register
    def _run_change_wave(self, command: commands.ChangeWave) -> Result:
        return self._change_hall(
            lambda hall: waves.change_phase(hall, command.name, command.phase)
        )

    def _preview_wave(self, command: commands.StartWave) -> Result:
        read = self._read_hall()
        if isinstance(read, commands.Answer):
            return read
        hall, revision = read
        configuration, _ = self._keeper.get_configuration()
        preview = waves.preview_wave(
            hall,
            _choose_vms(hall, command),
            document.list_budgets(configuration),
            self._keeper.list_unhealthy(),
            rack_safe=document.list_rack_safe(configuration),
        )
        return commands.Answer(
            outcome="accepted", revision=revision, preview=preview
        )

    def _find_budget(self, hall: record.Hall, vm: str) -> int:
        configuration, _ = self._keeper.get_configuration()
        target = hall.targets.get(vm)
        pool = configuration.pools.get(target.pool) if target else None
        return pool.budget if pool else 0

    def _change_workspace(
        self,
        name: str,
        expected: int | None,
        change: Callable[[document.Workspace], document.Workspace],
    ) -> commands.Answer:
        """Update one workspace of the configuration."""

        def change_all(
            configuration: document.Configuration,
        ) -> document.Configuration:
            workspaces = dict(configuration.workspaces)
            workspaces[name] = change(workspaces[name])
            return dataclasses.replace(configuration, workspaces=workspaces)

        return self._change_configuration(change_all, expected)

    def _change_configuration(
        self,
        change: Callable[[document.Configuration], document.Configuration],
        expected: int | None,
    ) -> commands.Answer:
        """Read, update, validate and write the configuration."""
        read = self._read_configuration()
        if isinstance(read, commands.Answer):
            return read
        configuration, revision = read
        try:
            changed = change(configuration)
        except KeyError as error:
            detail = f"{error.args[0]!r} is not known"
            return commands.Answer(outcome="rejected", detail=detail)
        faults = rules.find_faults(changed)
        if faults:
            return commands.Answer(
                outcome="rejected", detail="; ".join(faults)
            )
        return self._write_configuration(
            changed, revision if expected is None else expected
        )

    def _change_hall(
        self,
        change: Callable[
            [record.Hall], transitions.Changed | transitions.Rejected
        ],
    ) -> commands.Answer:
        """Read, update and write the hall's record."""
        read = self._read_hall()
        if isinstance(read, commands.Answer):
            return read
        hall, revision = read
        return self._write_hall(change(hall), revision)

    def _read_configuration(
        self,
    ) -> tuple[document.Configuration, int] | commands.Answer:
        value = self._platform.read(document.KEY)
        if isinstance(value, port.Failed):
            return commands.Answer(outcome="failed", detail=value.reason)
        if not value.revision:
            return document.Configuration(), 0
        return document.decode(value.payload), value.revision

    def _read_hall(self) -> tuple[record.Hall, int] | commands.Answer:
        value = self._platform.read(record.get_key(self._hall))
        if isinstance(value, port.Failed):
            return commands.Answer(outcome="failed", detail=value.reason)
        if not value.revision:
            return record.Hall(), 0
        return record.decode(value.payload), value.revision

    def _write_configuration(
        self, configuration: document.Configuration, expected: int
    ) -> commands.Answer:
        result = self._writer.write_configuration(configuration, expected)
        return self._make_answer(document.KEY, result)

    def _write_hall(
        self,
        outcome: transitions.Changed | transitions.Rejected,
        expected: int,
    ) -> commands.Answer:
        if isinstance(outcome, transitions.Rejected):
            return commands.Answer(
                outcome="rejected", revision=expected, detail=outcome.reason
            )
        result = self._writer.write_hall(self._hall, outcome.hall, expected)
        key = record.get_key(self._hall)
        return self._make_answer(key, result)

    def _make_answer(
        self, key: str, result: writers.Result
    ) -> commands.Answer:
        if isinstance(result, writers.Accepted):
            return commands.Answer(
                outcome="accepted", revision=result.revision
            )
        if isinstance(result, writers.Superseded):
            return commands.Answer(
                outcome="conflict",
                revision=result.revision,
                detail=f"{key} is at revision {result.revision} now",
            )
        word = "unknown" if result.applied else "failed"
        return commands.Answer(outcome=word, detail=result.reason)


def _choose_vms(hall: record.Hall, command: commands.StartWave) -> list[str]:
    if command.vms:
        return sorted(set(command.vms))
    return sorted(
        vm
        for vm, target in hall.targets.items()
        if command.pool in ("", target.pool)
        and command.rack in ("", target.rack)
    )
