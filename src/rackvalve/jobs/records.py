"""A job's records in the store: keys and encodings.

A job has three keys: its definition, written once by the entry that accepted
it; its cancellation, written once; and its progress, written by the owner
alone.  The progress of a large job has further keys, for parts of its tasks
(``record_parts``).  It lies under a prefix of its own, so that the owner's
watch on the other two does not return the owner's own writes.

A definition is written only where there is no cancellation, and the
cancellation of a job that is not stored only where there is no definition.  So
a cancelled job is never taken up by a write that takes effect late.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import itertools
import re

import msgspec

from rackvalve import codec
from rackvalve import errors
from rackvalve.jobs import _record_wire
from rackvalve.jobs import definition
from rackvalve.jobs import incarnations
from rackvalve.jobs import progress
from rackvalve.jobs import weights

PREFIX = "job/"
PROGRESS_PREFIX = "progress/"
_PART_NUMBER = re.compile(r"[0-9]{1,4}")


class Part(enum.Enum):
    """Which of a job's records."""

    DEFINITION = "definition"
    CANCEL = "cancel"
    PROGRESS = "progress"
    # The tasks of one part of a progress that is divided.
    TASKS = "tasks"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Key:
    """The parts of a record's key.

    :param queue: Namespace of the job's queue.
    :param identity: The job's identifier.
    :param part: Which record.
    :param number: Number of the part of a progress that is divided.
    """

    queue: str
    identity: str
    part: Part
    number: int = 0


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


def format_tasks_key(queue: str, identity: str, number: int) -> str:
    """Return the key of a part of a job's progress.

    :param queue: Namespace of the job's queue.
    :param identity: The job's identifier.
    :param number: Number of the part, from 0.
    """
    return f"{PROGRESS_PREFIX}{queue}/{identity}/{Part.TASKS.value}-{number}"


def format_key(queue: str, identity: str, part: Part) -> str:
    """Return the key of a record.

    :param queue: Namespace of the job's queue.
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
    name, _, number = parts[3].partition("-")
    if (name == Part.TASKS.value) != bool(_PART_NUMBER.fullmatch(number)):
        return None
    try:
        part = Part(name)
    except ValueError:
        return None
    return Key(
        queue=parts[1],
        identity=parts[2],
        part=part,
        number=int(number or 0),
    )


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

    :param queue: Namespace of the job's queue.
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
    """Encode a job's progress as one value.

    :param state: The job.
    """
    rows = _encode_tasks(list(state.tasks.values()))
    return msgspec.json.encode(_encode_head(state, rows))


def encode_division(state: progress.JobState) -> bytes:
    """Encode the head of a job's progress that is divided.

    :param state: The job, whose record has parts.
    """
    rows = _record_wire.Tasks(tasks=_record_wire.Division(parts=state.parts))
    return msgspec.json.encode(_encode_head(state, rows))


def encode_tasks(
    tasks: Sequence[progress.Task], without: Collection[str] = ()
) -> bytes:
    """Encode the tasks of a part of a job's progress.

    :param tasks: The tasks.
    :param without: Names of the tasks whose checkpoints are left out.
    """
    rows = _encode_tasks(tasks)
    if without:
        assert isinstance(rows.tasks, list)
        for row in rows.tasks:
            if row.name in without:
                row.checkpoint = ""
                rows.saved.pop(row.name, None)
    return msgspec.json.encode(rows)


def _encode_head(
    state: progress.JobState, rows: _record_wire.Tasks
) -> _record_wire.Progress:
    return _record_wire.Progress(
        phase=state.phase,
        next_run=state.next_run,
        finished=state.finished,
        reason=state.reason,
        workspace=state.workspace,
        tasks=rows.tasks,
        locations=rows.locations,
        suspects=rows.suspects,
        saved=rows.saved,
    )


def _encode_tasks(tasks: Sequence[progress.Task]) -> _record_wire.Tasks:
    rows = [
        _encode_task(task)
        for task in tasks
        if task.done
        or task.failures
        or task.runs
        or task.checkpoint
        or task.crashes
        or task.unreported_runs
    ]
    return _record_wire.Tasks(
        tasks=rows,
        locations=_encode_locations(tasks),
        suspects=_encode_suspects(tasks),
        saved={
            str(task.name): round(task.saved_percent, 3)
            for task in tasks
            if task.checkpoint and not task.done
        },
    )


def _encode_task(task: progress.Task) -> _record_wire.Task:
    if task.done and not task.runs:
        return _record_wire.Task(
            name=str(task.name),
            done=True,
            failures=task.failures,
            crashes=task.crashes,
            isolated_crashes=task.isolated_crashes,
            lived=round(task.time_to_crash, 3),
            isolated=task.isolated_run,
        )
    incarnated = [
        (run.number, incarnations.parse_incarnation(run.worker))
        for run in task.runs.values()
    ]
    return _record_wire.Task(
        name=str(task.name),
        done=task.done,
        failures=task.failures,
        checkpoint="" if task.done else task.checkpoint,
        runs=[(number, one.worker) for number, one in incarnated],
        births=[one.born or 0 for _, one in incarnated],
        crashes=task.crashes,
        isolated_crashes=task.isolated_crashes,
        lived=round(task.time_to_crash, 3),
        isolated=task.isolated_run,
        untold=[] if task.done else sorted(task.unreported_runs),
    )


def encode_outline(state: progress.JobState) -> bytes:
    """Encode a job's progress without its tasks.

    :param state: The job, which has ended.
    """
    return msgspec.json.encode(
        _record_wire.Progress(
            phase=state.phase,
            next_run=state.next_run,
            finished=state.finished,
            reason=state.reason,
            workspace=state.workspace,
            tasks=_record_wire.Division(parts=state.parts)
            if state.parts
            else [],
        )
    )


def encode_cancellation(workspace: str = "") -> bytes:
    """Encode a cancellation.

    :param workspace: Name of the cancelling workspace, for a job that is not
        stored; empty for none.
    """
    return msgspec.json.encode(_Cancellation(workspace=workspace))


def decode_progress(
    state: progress.JobState,
    payload: bytes,
    now: float,
    parts: Mapping[int, bytes] | None = None,
) -> None:
    """Decode a job's progress into a job that was just decoded.

    :param state: The job, without progress.
    :param payload: The progress record.
    :param now: Present time, in seconds.
    :param parts: The parts of the record by number; one without tasks may be
        missing.
    :raises DocumentInvalidError: The record does not decode.
    """
    record = codec.decode_as(payload, _record_wire.Progress)
    state.phase = record.phase
    state.next_run = record.next_run
    state.finished = record.finished
    state.reason = record.reason
    if not isinstance(record.tasks, _record_wire.Division):
        _decode_tasks(state, record, now)
        return
    state.parts = record.tasks.parts
    for number in range(state.parts):
        part = (parts or {}).get(number)
        if part is not None:
            _decode_tasks(
                state, codec.decode_as(part, _record_wire.Tasks), now
            )


def _decode_tasks(
    state: progress.JobState, record: _record_wire.Tasks, now: float
) -> None:
    if isinstance(record.tasks, _record_wire.Division):
        raise errors.DocumentInvalidError("a part is divided itself")
    for row in record.tasks:
        name = definition.parse_task_name(row.name)
        task = state.task(name) if name is not None else None
        if task is None:
            raise errors.DocumentInvalidError(f"unknown task {row.name!r}")
        _decode_task(state, task, row, record, now)


def _decode_task(
    state: progress.JobState,
    task: progress.Task,
    row: _record_wire.Task,
    record: _record_wire.Tasks,
    now: float,
) -> None:
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


def _encode_suspects(
    tasks: Sequence[progress.Task],
) -> dict[str, _record_wire.Suspect]:
    """Return the details of crashes that count against tasks."""
    return {
        str(task.name): _record_wire.Suspect(
            youngest_crashes=task.youngest_crashes,
            prompt_crashes=task.prompt_crashes,
            explained=task.explained,
            crashed_lives=sorted(task.crashed_incarnations),
            crashed_on=sorted(task.crashed_on),
            settled_beside=sorted(task.settled_beside),
        )
        for task in tasks
        if task.crashes and not task.done
    }


def _decode_suspect(
    task: progress.Task, wire: _record_wire.Suspect | None
) -> None:
    """Decode the details of crashes; earlier releases store none."""
    if wire is None:
        return
    task.youngest_crashes = wire.youngest_crashes
    task.prompt_crashes = wire.prompt_crashes
    task.explained = wire.explained
    task.crashed_incarnations |= frozenset(wire.crashed_lives)
    task.crashed_on |= frozenset(wire.crashed_on)
    task.settled_beside |= frozenset(wire.settled_beside)


def _encode_locations(
    tasks: Sequence[progress.Task],
) -> dict[str, _record_wire.Location]:
    """Return the addresses of the workers of a job's runs."""
    return {
        incarnations.parse_incarnation(
            run.worker
        ).worker: _record_wire.Location(
            host=run.location.host,
            port=run.location.port,
            vm=run.location.vm,
        )
        for task in tasks
        for run in task.runs.values()
        if run.location is not None
    }


def _decode_location(
    wire: _record_wire.Location | None,
) -> progress.Location | None:
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
