"""A job's records in the store: keys and encodings.

A job has three keys: its definition, written once by the entry that accepted
it; its cancellation, written once; and its progress, written by the owner
alone.  The progress lies under a prefix of its own, so that the owner's watch
on the other two does not return the owner's own writes.

A definition is written only where there is no cancellation, and the
cancellation of a job that is not stored only where there is no definition.  So
a cancelled job is never taken up by a write that takes effect late.
"""

from __future__ import annotations

import dataclasses
import enum
import itertools

import msgspec

from rackvalve import codec
from rackvalve import errors
from rackvalve.jobs import definition
from rackvalve.jobs import incarnations
from rackvalve.jobs import progress
from rackvalve.jobs import weights

PREFIX = "job/"
PROGRESS_PREFIX = "progress/"


class Part(enum.Enum):
    """Which of a job's records."""

    DEFINITION = "definition"
    CANCEL = "cancel"
    PROGRESS = "progress"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Key:
    """The parts of a record's key.

    :param queue: Name of the job's queue.
    :param identity: The job's identifier.
    :param part: Which record.
    """

    queue: str
    identity: str
    part: Part


class _Definition(msgspec.Struct, omit_defaults=True):
    accepted: float
    job: definition.Job
    # Name of the submitting workspace; empty for none.
    workspace: str = ""


class _DefinitionWorkspace(msgspec.Struct):
    workspace: str = ""


class _Cancellation(msgspec.Struct, omit_defaults=True):
    # Name of the cancelling workspace if the job was not stored.
    workspace: str = ""


class _Task(msgspec.Struct, array_like=True, omit_defaults=True):
    name: str
    done: bool = False
    failures: codec.Integer = 0
    checkpoint: str = ""
    # Number and worker of each run that may be running.
    runs: list[tuple[codec.Integer, str]] = []
    # Crashes that count against the task, those of them in isolation, the
    # longest time to crash in seconds, and the number of the isolated run.
    crashes: codec.Integer = 0
    isolated_crashes: codec.Integer = 0
    lived: float = 0.0
    isolated: codec.Integer = 0
    # Numbers of runs whose workers may still report how they ended.
    untold: list[codec.Integer] = []
    # For each of the runs the start time of its worker's incarnation; 0 if not
    # known.  Earlier releases ignore it and use the names alone.
    births: list[codec.Integer] = []


class _Suspect(msgspec.Struct, omit_defaults=True):
    """Details of the crashes that count against a task."""

    # Crashes at which the task's run was the last to have started on the
    # worker, those of the isolated run soon after its start, and those that
    # another job was found to have caused.
    youngest_crashes: codec.Integer = 0
    prompt_crashes: codec.Integer = 0
    explained: codec.Integer = 0
    # Incarnations of workers that ended in crashes not explained, and the VMs
    # on which workers crashed.
    crashed_lives: list[str] = []
    crashed_on: list[str] = []
    # Runs that were settled on the isolated run's worker when it started.
    settled_beside: list[tuple[str, codec.Integer]] = []


class _Location(msgspec.Struct, array_like=True):
    host: str
    port: codec.Integer
    vm: str


class _Progress(msgspec.Struct, omit_defaults=True):
    phase: progress.Phase
    next_run: codec.Integer = 1
    finished: float = 0.0
    reason: str = ""
    tasks: list[_Task] = []
    # Addresses of the workers that the runs name.  Without them each new owner
    # waits 8.4 s for a worker whose entry is gone; with them it asks, and an
    # answer of another incarnation at that address is proof enough.
    locations: dict[str, _Location] = {}
    # As in the definition, so that one read is enough to answer a caller.
    workspace: str = ""
    # By name of the task.
    suspects: dict[str, _Suspect] = {}
    # Progress of checkpoints, in percent, by name of the task.
    saved: dict[str, float] = {}


class _Phase(msgspec.Struct):
    phase: progress.Phase
    workspace: str = ""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Summary:
    """The part of a progress record that callers may see.

    :param phase: Phase of the job.
    :param workspace: Workspace of the job; empty for none.
    """

    phase: progress.Phase
    workspace: str = ""


def format_key(queue: str, identity: str, part: Part) -> str:
    """Return the key of a record.

    :param queue: Name of the job's queue.
    :param identity: The job's identifier.
    :param part: Which record.
    """
    prefix = PROGRESS_PREFIX if part is Part.PROGRESS else PREFIX
    return f"{prefix}{queue}/{identity}/{part.value}"


def parse_key(key: str) -> Key | None:
    """Parse a record's key.

    :param key: The key.
    :return: Its parts, or ``None`` for a key of another kind.
    """
    parts = key.split("/")
    if len(parts) != 4 or parts[0] + "/" not in (PREFIX, PROGRESS_PREFIX):
        return None
    try:
        part = Part(parts[3])
    except ValueError:
        return None
    return Key(queue=parts[1], identity=parts[2], part=part)


def encode_definition(
    job: definition.Job, accepted: float, workspace: str = ""
) -> bytes:
    """Encode a job's definition.

    :param job: The job.
    :param accepted: When it was accepted, seconds since 1970.
    :param workspace: Name of the submitting workspace.
    """
    return msgspec.json.encode(
        _Definition(accepted=accepted, job=job, workspace=workspace)
    )


def decode_definition(
    queue: str, identity: str, payload: bytes
) -> progress.JobState:
    """Decode a job's definition, into a job that has not begun.

    :param queue: Name of the job's queue.
    :param identity: The job's identifier.
    :param payload: The record.
    :raises DocumentInvalidError: The record does not decode, or is beyond the
        bounds of what is accepted: its tasks could exhaust the memory.
    """
    record = codec.decode_as(payload, _Definition)
    definition.validate(record.job)
    return progress.JobState(
        identity,
        queue,
        record.job,
        record.accepted,
        workspace=record.workspace,
        weight=weights.weigh(record.job, len(payload)),
    )


def encode_progress(state: progress.JobState) -> bytes:
    """Encode a job's progress.

    :param state: The job.
    """
    tasks = [
        _Task(
            name=str(task.name),
            done=task.done,
            failures=task.failures,
            checkpoint="" if task.done else task.checkpoint,
            runs=[
                (run.number, incarnations.parse_incarnation(run.worker).worker)
                for run in task.runs.values()
            ],
            births=[
                incarnations.parse_incarnation(run.worker).born or 0
                for run in task.runs.values()
            ],
            crashes=task.crashes,
            isolated_crashes=task.isolated_crashes,
            lived=round(task.time_to_crash, 3),
            isolated=task.isolated_run,
            untold=[] if task.done else sorted(task.unreported_runs),
        )
        for task in state.tasks.values()
        if task.done
        or task.failures
        or task.runs
        or task.checkpoint
        or task.crashes
        or task.unreported_runs
    ]
    return msgspec.json.encode(
        _Progress(
            phase=state.phase,
            next_run=state.next_run,
            finished=state.finished,
            reason=state.reason,
            tasks=tasks,
            locations=_encode_locations(state),
            workspace=state.workspace,
            suspects=_encode_suspects(state),
            saved={
                str(task.name): round(task.saved_percent, 3)
                for task in state.tasks.values()
                if task.checkpoint and not task.done
            },
        )
    )


def encode_outline(state: progress.JobState) -> bytes:
    """Encode a job's progress without its tasks.

    :param state: The job, which has ended.
    """
    return msgspec.json.encode(
        _Progress(
            phase=state.phase,
            next_run=state.next_run,
            finished=state.finished,
            reason=state.reason,
            workspace=state.workspace,
        )
    )


def encode_cancellation(workspace: str = "") -> bytes:
    """Encode a cancellation.

    :param workspace: Name of the cancelling workspace, for a job that is not
        stored; empty for none.
    """
    return msgspec.json.encode(_Cancellation(workspace=workspace))


def decode_progress(
    state: progress.JobState, payload: bytes, now: float
) -> None:
    """Decode a job's progress into a job that was just decoded.

    :param state: The job, without progress.
    :param payload: The progress record.
    :param now: Present time, in seconds.
    :raises DocumentInvalidError: The record does not decode.
    """
    record = codec.decode_as(payload, _Progress)
    state.phase = record.phase
    state.next_run = record.next_run
    state.finished = record.finished
    state.reason = record.reason
    for row in record.tasks:
        name = definition.parse_task_name(row.name)
        task = state.task(name) if name is not None else None
        if task is None:
            raise errors.DocumentInvalidError(f"unknown task {row.name!r}")
        task.done = row.done
        task.failures = row.failures
        task.checkpoint = row.checkpoint
        task.saved_percent = record.saved.get(row.name, 0.0)
        task.crashes = row.crashes
        task.isolated_crashes = row.isolated_crashes
        task.time_to_crash = row.lived
        task.isolated_run = row.isolated
        task.unreported_runs |= frozenset(row.untold)
        if task.crashes:
            state.suspects.add(task.name)
            # How long the task has waited for isolation is not stored.
            task.not_before = now
            _decode_suspect(task, record.suspects.get(row.name))
        births = itertools.chain(row.births, itertools.repeat(0))
        for (number, worker), born in zip(row.runs, births, strict=False):
            incarnation = incarnations.Incarnation(
                worker=worker, born=born or None
            )
            run = progress.Run(
                number,
                incarnation.identity,
                progress.Stage.ORDERED,
                now,
                location=_decode_location(record.locations.get(worker)),
            )
            run.inherited = True
            run.pace = None
            task.runs[number] = run


def _encode_suspects(state: progress.JobState) -> dict[str, _Suspect]:
    """Return the details of crashes that count against tasks."""
    return {
        str(task.name): _Suspect(
            youngest_crashes=task.youngest_crashes,
            prompt_crashes=task.prompt_crashes,
            explained=task.explained,
            crashed_lives=sorted(task.crashed_incarnations),
            crashed_on=sorted(task.crashed_on),
            settled_beside=sorted(task.settled_beside),
        )
        for task in state.tasks.values()
        if task.crashes and not task.done
    }


def _decode_suspect(task: progress.Task, wire: _Suspect | None) -> None:
    """Decode the details of crashes; earlier releases store none."""
    if wire is None:
        return
    task.youngest_crashes = wire.youngest_crashes
    task.prompt_crashes = wire.prompt_crashes
    task.explained = wire.explained
    task.crashed_incarnations |= frozenset(wire.crashed_lives)
    task.crashed_on |= frozenset(wire.crashed_on)
    task.settled_beside |= frozenset(wire.settled_beside)


def _encode_locations(state: progress.JobState) -> dict[str, _Location]:
    """Return the addresses of the workers of a job's runs."""
    return {
        incarnations.parse_incarnation(run.worker).worker: _Location(
            host=run.location.host,
            port=run.location.port,
            vm=run.location.vm,
        )
        for task in state.tasks.values()
        for run in task.runs.values()
        if run.location is not None
    }


def _decode_location(wire: _Location | None) -> progress.Location | None:
    """Decode the address of a worker; earlier releases store none."""
    if wire is None:
        return None
    return progress.Location(host=wire.host, port=wire.port, vm=wire.vm)


def decode_summary(payload: bytes) -> Summary:
    """Decode only what callers may see of a progress record.

    :param payload: The progress record.
    :raises DocumentInvalidError: The record does not decode.
    """
    record = codec.decode_as(payload, _Phase)
    return Summary(phase=record.phase, workspace=record.workspace)


def parse_workspace(payload: bytes) -> str:
    """Decode only the workspace of a job.

    :param payload: The record of its definition or cancellation.
    :return: Name of the workspace; empty for none.
    """
    return codec.decode_as(payload, _DefinitionWorkspace).workspace
