"""Decodes and encodes the bodies of the job API: jobs, states, counts."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from rackvalve import codec
from rackvalve import errors
from rackvalve.jobs import definition

DEADLINE_HEADER = "HTTP_DEADLINE_MS"
KEY_HEADER = "HTTP_AUTHORIZATION"
SPEC_BYTES = 4000
# Most labels of one step; a worker has a kind, a rack and a few more.
MAX_LABELS = 64


class State(enum.Enum):
    """State of a job as callers see it; the values are the platform's."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class _WireStep(msgspec.Struct, rename="kebab"):
    count: codec.Integer = 1
    cpu: codec.Integer = 0
    mem_mb: codec.Integer = 0
    gpu: codec.Integer = 0
    estimate_ms: float = 0.0
    # Numbers of the steps that have to be done before this one.
    after_rev: Annotated[
        list[int], msgspec.Meta(max_length=definition.MAX_STEPS)
    ] = []
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: (
        str | Annotated[list[str], msgspec.Meta(max_length=MAX_LABELS)]
    ) = ""
    affinity: str = ""
    anti_affinity: codec.Integer = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = msgspec.field(default=0.0, name="target_ms")
    fills: bool = False
    may_miss: codec.Integer = msgspec.field(default=0, name="may_miss")


class _WireJob(msgspec.Struct, rename="kebab"):
    spec: str
    # Decoded once their number is known to be small: a body of legal length
    # may hold 87,000 steps, which take 40 MB.
    steps: msgspec.Raw
    first_run_ms: float = 0.0
    interval_ms: float = 0.0
    repetitions: codec.Integer = 0


# Steps that are counted and not decoded.
_CountedSteps = Annotated[
    list[msgspec.Raw], msgspec.Meta(max_length=definition.MAX_STEPS)
]


def read_job(body: bytes) -> definition.Job:
    """Decode a job that a caller submits.

    :param body: Body of the request.
    :raises DocumentInvalidError: A field is invalid; the message names it.
    """
    wire = codec.decode_as(body, _WireJob)
    codec.decode_as(wire.steps, _CountedSteps)
    steps = codec.decode_as(wire.steps, list[_WireStep])
    if len(wire.spec.encode()) > SPEC_BYTES:
        raise errors.DocumentInvalidError(
            f"spec is longer than {SPEC_BYTES} bytes; make it shorter"
        )
    job = definition.Job(
        spec=wire.spec,
        steps=tuple(_read_step(step) for step in steps),
        first_run=wire.first_run_ms / 1000,
        interval=wire.interval_ms / 1000,
        repetitions=wire.repetitions,
    )
    definition.validate(job)
    definition.check_size(job)
    return job


def encode_state(state: State) -> bytes:
    """Encode a job's state.

    :param state: The state.
    """
    return msgspec.json.encode({"state": state.value})


def encode_waiting(number: int) -> bytes:
    """Encode the number of waiting jobs of a queue.

    :param number: Number of accepted jobs of which no task has started.
    """
    return msgspec.json.encode({"waiting": number})


def _read_step(wire: _WireStep) -> definition.Step:
    labels = wire.requirements
    if isinstance(labels, str):
        labels = [labels] if labels else []
    return definition.Step(
        tasks=wire.count,
        cpu=wire.cpu,
        memory=wire.mem_mb,
        gpu=wire.gpu,
        estimate=wire.estimate_ms / 1000,
        after=tuple(wire.after_rev),
        checkpoints=wire.checkpoints,
        gang=wire.gang,
        same_rack=wire.same_rack,
        labels=tuple(labels),
        data_rack=wire.affinity,
        most_per_worker=wire.anti_affinity,
        copies_allowed=wire.speculative,
        lasting=wire.long_running,
        image=wire.image,
        tail_limit=wire.target_ms / 1000,
        uses_leftover=wire.fills,
        most_away=wire.may_miss,
    )
