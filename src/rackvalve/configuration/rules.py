"""Validation rules of the configuration."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from rackvalve.configuration import operators

if TYPE_CHECKING:
    from rackvalve.configuration import document

PRIORITY_MAX = 1000
QUEUE_LIMIT_MAX = 1_000_000
_TOKEN_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


def find_faults(configuration: document.Configuration) -> list[str]:
    """Return the faults of a configuration, one line each.

    :param configuration: The configuration to validate.
    """
    faults = []
    for name, pool in configuration.pools.items():
        faults += [f"pools.{name}: {text}" for text in _check_name(name)]
        faults += [f"pools.{name}.{text}" for text in _check_pool(pool)]
    for name, workspace in configuration.workspaces.items():
        place = f"workspaces.{name}"
        faults += [f"{place}: {text}" for text in _check_name(name)]
        found = _check_workspace(workspace, configuration.pools)
        faults += [f"{place}.{text}" for text in found]
    for name, objective in configuration.objectives.items():
        found = _check_objective(objective, configuration)
        faults += [f"objectives.{name}.{text}" for text in found]
    for name, operator in configuration.operators.items():
        found = _check_operator(operator)
        faults += [f"operators.{name}.{text}" for text in found]
    roles = {operator.role for operator in configuration.operators.values()}
    if roles and operators.Role.ADMINISTER.value not in roles:
        faults.append("operators: one must have the role administer")
    return faults


def _check_operator(operator: document.Operator) -> list[str]:
    faults = []
    known = [role.value for role in operators.Role]
    if operator.role not in known:
        faults.append("role: must be one of " + ", ".join(known))
    if not _TOKEN_HASH_PATTERN.fullmatch(operator.token_hash):
        faults.append("token_hash: must be a SHA-256 in hexadecimal")
    return faults


def _check_objective(
    objective: document.Objective, configuration: document.Configuration
) -> list[str]:
    faults = []
    if not 0.0 < objective.goal < 1.0:
        faults.append("goal: must be more than 0 and less than 1")
    if objective.within_ms < 1:
        faults.append("within_ms: must be 1 or more")
    if objective.pool and objective.pool not in configuration.pools:
        faults.append(f"pool: {objective.pool!r} is not defined")
    known = configuration.workspaces
    if objective.workspace and objective.workspace not in known:
        faults.append(f"workspace: {objective.workspace!r} is not defined")
    if objective.job_class not in ("", "quick", "long"):
        faults.append("job_class: must be quick, long or empty")
    return faults


def _check_name(name: str) -> list[str]:
    if NAME_PATTERN.fullmatch(name):
        return []
    return ["name must be lower-case letters, digits and hyphens"]


def _check_pool(pool: document.Pool) -> list[str]:
    faults = []
    if pool.budget < 0:
        faults.append("budget: must be 0 or more")
    if not 0.0 <= pool.quick_reserved < 1.0:
        faults.append("quick_reserved: must be 0 or more and less than 1")
    if not 0.0 <= pool.long_guaranteed < 1.0:
        faults.append("long_guaranteed: must be 0 or more and less than 1")
    if pool.quick_reserved + pool.long_guaranteed > 1.0:
        faults.append(
            "quick_reserved: must not exceed 1 together with long_guaranteed"
        )
    if not 1 <= pool.queue_limit <= QUEUE_LIMIT_MAX:
        faults.append(f"queue_limit: must be 1 to {QUEUE_LIMIT_MAX}")
    if not 1 <= pool.workspace_queue_limit <= pool.queue_limit:
        faults.append("workspace_queue_limit: must be 1 to queue_limit")
    return faults


def _check_workspace(
    workspace: document.Workspace, pools: dict[str, document.Pool]
) -> list[str]:
    faults = []
    if not 1 <= workspace.priority <= PRIORITY_MAX:
        faults.append(f"priority: must be 1 to {PRIORITY_MAX}")
    if workspace.quota is not None and workspace.quota < 0:
        faults.append("quota: must be 0 or more")
    for name in workspace.pools:
        if name not in pools:
            faults.append(f"pools: pool {name!r} is not defined")
    return faults
