"""Structures of the progress records of jobs."""

from __future__ import annotations

from typing import Annotated

import msgspec

from rackvalve import codec
from rackvalve.jobs import progress

# Most parts that a stored progress may have; this release writes fewer.
MAX_DECODED_PARTS = 1024


class Task(msgspec.Struct, array_like=True, omit_defaults=True):
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


class Suspect(msgspec.Struct, omit_defaults=True):
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


class Location(msgspec.Struct, array_like=True):
    host: str
    port: codec.Integer
    vm: str


class Division(msgspec.Struct):
    """Stands for the tasks of a progress that is divided."""

    # How many parts hold the tasks.
    parts: Annotated[int, msgspec.Meta(ge=1, le=MAX_DECODED_PARTS)]


class Tasks(msgspec.Struct, omit_defaults=True):
    """Tasks of a job, all of them or those of a part."""

    # Earlier releases do not decode a division: they run no task of a job
    # whose tasks they can't read, and lose the ends of its runs.
    tasks: list[Task] | Division = []
    # Addresses of the workers that the runs name.  Without them each new owner
    # waits 8.4 s for a worker whose entry is gone; with them it asks, and an
    # answer of another incarnation at that address is proof enough.
    locations: dict[str, Location] = {}
    # By name of the task.
    suspects: dict[str, Suspect] = {}
    # Progress of checkpoints, in percent, by name of the task.
    saved: dict[str, float] = {}


class Progress(Tasks, omit_defaults=True, kw_only=True):
    phase: progress.Phase
    next_run: codec.Integer = 1
    finished: float = 0.0
    reason: str = ""
    # As in the definition, so that one read is enough to answer a caller.
    workspace: str = ""
