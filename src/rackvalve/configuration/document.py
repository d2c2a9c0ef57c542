"""The configuration document, as stored by the platform and distributed.

One document contains everything that operators configure.  Its revision is
assigned by the platform at each accepted write and strictly increases.
"""

from __future__ import annotations

import dataclasses

import msgspec

from rackvalve import codec

KEY = "configuration"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Pool:
    """Configuration of one pool.

    :param budget: Minimum number of available VMs in each hall.
    :param quick_reserved: Share of the slots that long requests never use,
        0 to 1.
    :param long_guaranteed: Share of the slots that quick requests leave to
        waiting long requests, 0 to 1.
    :param queue_limit: Maximum number of requests queued at one entry.
    :param workspace_queue_limit: Maximum number of requests of one workspace
        queued at one entry.
    :param survive_rack: Whether waves preserve the budget even if a rack
        fails meanwhile, where the pool is large enough for it.
    :param echo_required: Whether a target must return the request
        identifier; an answer without it is rejected.
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
    """Entitlements of one workspace.

    :param priority: Weight of its share of a saturated pool, at least 1.
    :param pools: Pools that it may use.
    :param quota: Maximum number of slots in use at one entry; ``None`` for no
        separate limit.
    """

    priority: int = 1
    pools: list[str] = dataclasses.field(default_factory=list)
    quota: int | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Objective:
    """A service-level objective; an empty name matches all.

    :param pool: Pool to which it applies.
    :param workspace: Workspace to which it applies.
    :param job_class: Class to which it applies.
    :param within_ms: Latency threshold of a good answer, in milliseconds.
    :param goal: Required share of good requests, less than 1.
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
    :param expires: Time at which the token expires, in seconds since 1970;
        ``None`` for never.
    """

    role: str
    token_hash: str
    expires: float | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Configuration:
    """The complete configuration.

    :param pools: Pools by name.
    :param workspaces: Workspaces by name.
    :param objectives: Service-level objectives by name.
    :param operators: Operators by name; while there are none, the
        administration API accepts commands without a token.
    :param key_halls: Halls whose entries own idempotency keys; immutable once
        set, since a key's owner is derived from it.
    :param operation: Identifier of the write that stored this document, by
        which the writer recognizes its write after a lost answer.
    """

    pools: dict[str, Pool] = dataclasses.field(default_factory=dict)
    workspaces: dict[str, Workspace] = dataclasses.field(default_factory=dict)
    objectives: dict[str, Objective] = dataclasses.field(default_factory=dict)
    operators: dict[str, Operator] = dataclasses.field(default_factory=dict)
    key_halls: list[str] = dataclasses.field(default_factory=list)
    operation: str = ""


def list_budgets(configuration: Configuration) -> dict[str, int]:
    """Return the minimum number of available VMs by pool.

    :param configuration: The configuration.
    """
    return {name: pool.budget for name, pool in configuration.pools.items()}


def list_rack_safe(configuration: Configuration) -> frozenset[str]:
    """List the pools whose waves allow for the failure of a rack.

    :param configuration: The configuration.
    """
    return frozenset(
        name for name, pool in configuration.pools.items() if pool.survive_rack
    )


_DECODER = msgspec.json.Decoder(Configuration, strict=True)


def decode(payload: bytes) -> Configuration:
    """Decode a document.

    :param payload: JSON.
    :return: The configuration, not yet validated against the rules.
    :raises DocumentInvalidError: The payload does not match the schema.
    """
    return codec.decode(_DECODER, payload)
