"""The configuration document, as kept by the platform and sent around.

One document holds everything operators decide.  Its revision is given by
the platform on each accepted write and rises strictly.
"""

from __future__ import annotations

import dataclasses

import msgspec

from rackvalve import codec

KEY = "configuration"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Pool:
    """What operators set for one pool.

    :param budget: Least number of available VMs in each hall.
    :param quick_reserved: Share of the slots that long work never takes,
        0 to 1.
    :param long_guaranteed: Share of the slots that quick work leaves to
        waiting long work, 0 to 1.
    :param queue_limit: Most requests that wait at one entry.
    :param workspace_queue_limit: Most requests of one workspace that wait
        at one entry.
    :param survive_rack: Whether waves leave the budget intact even if a
        rack is lost meanwhile, where the pool is large enough for it.
    :param echo_required: Whether a target must return the request
        identifier; an answer without it is not taken as whole.
    """

    budget: int = 0
    quick_reserved: float = 0.25
    long_guaranteed: float = 0.25
    queue_limit: int = 1000
    workspace_queue_limit: int = 200
    survive_rack: bool = False
    echo_required: bool = True


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Workspace:
    """What one workspace has paid for.

    :param priority: Weight of its share of a saturated pool, 1 or more.
    :param pools: Pools that it may use.
    :param quota: Most slots it holds at once at one entry, ``None`` for
        no limit of its own.
    """

    priority: int = 1
    pools: list[str] = dataclasses.field(default_factory=list)
    quota: int | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Objective:
    """A service-level objective; an empty name stands for all.

    :param pool: Pool that it is about.
    :param workspace: Workspace that it is about.
    :param job_class: Class that it is about.
    :param within_ms: Time in which an answer is good, in milliseconds.
    :param goal: Share of the requests that must be good, less than 1.
    :param refusals_count: Whether a refusal counts as bad.
    """

    pool: str = ""
    workspace: str = ""
    job_class: str = ""
    within_ms: int = 1000
    goal: float = 0.99
    refusals_count: bool = True


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Operator:
    """One operator of the administration API.

    :param role: ``read``, ``operate`` or ``administer``.
    :param token_hash: SHA-256 of the operator's token, in hexadecimal.
    :param expires: Time after which the token is not taken, in seconds
        since 1970; ``None`` for never.
    """

    role: str
    token_hash: str
    expires: float | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Configuration:
    """Everything operators decide.

    :param pools: Pools by name.
    :param workspaces: Workspaces by name.
    :param objectives: Service-level objectives by name.
    :param operators: Operators by name; while there are none, the
        administration API takes commands without a token.
    :param key_halls: Halls whose entries own idempotency keys; fixed once
        it is set, since a key's owner follows from it.
    :param operation: Identifier of the write that stored this document, by
        which its writer recognises it after a lost answer.
    """

    pools: dict[str, Pool] = dataclasses.field(default_factory=dict)
    workspaces: dict[str, Workspace] = dataclasses.field(default_factory=dict)
    objectives: dict[str, Objective] = dataclasses.field(default_factory=dict)
    operators: dict[str, Operator] = dataclasses.field(default_factory=dict)
    key_halls: list[str] = dataclasses.field(default_factory=list)
    operation: str = ""


def list_budgets(configuration: Configuration) -> dict[str, int]:
    """Return the least number of available VMs by pool.

    :param configuration: The configuration.
    """
    return {name: pool.budget for name, pool in configuration.pools.items()}


def list_rack_safe(configuration: Configuration) -> frozenset[str]:
    """List the pools whose waves leave room for the loss of a rack.

    :param configuration: The configuration.
    """
    return frozenset(
        name for name, pool in configuration.pools.items() if pool.survive_rack
    )


_DECODER = msgspec.json.Decoder(Configuration, strict=True)


def decode(payload: bytes) -> Configuration:
    """Decode a document.

    :param payload: JSON.
    :return: The configuration; its rules are not yet checked.
    :raises DocumentInvalidError: The payload has not the right shape.
    """
    return codec.decode(_DECODER, payload)
