"""What becomes of a request: served, refused, or unknown.

A caller reads the outcome in the header ``Rackvalve-Outcome``.  *Refused*
promises that no byte of the request reached a target.
"""

from __future__ import annotations

import dataclasses
import enum

OUTCOME_HEADER = "Rackvalve-Outcome"
REASON_HEADER = "Rackvalve-Reason"


class Reason(enum.Enum):
    """Why a request was refused, or why its outcome is unknown."""

    FIELD_MALFORMED = "field-malformed"
    FIELD_TOO_LONG = "field-too-long"
    WORKSPACE_UNKNOWN = "workspace-unknown"
    POOL_UNKNOWN = "pool-unknown"
    POOL_FORBIDDEN = "pool-forbidden"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TRUNCATED = "body-truncated"
    KEY_MISSING = "key-missing"
    KEY_EXPIRED = "key-expired"
    KEY_IN_FUTURE = "key-in-future"
    KEY_NOT_VOUCHED = "key-not-vouched"
    KEY_USED = "key-used"
    OWNER_UNREACHABLE = "owner-unreachable"
    NOT_CONFIGURED = "not-configured"
    NO_TARGET = "no-target"
    QUEUE_FULL = "queue-full"
    WORKSPACE_QUEUE_FULL = "workspace-queue-full"
    MEMORY_FULL = "memory-full"
    QUOTA_ZERO = "quota-zero"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    DEADLINE_PASSED = "deadline-passed"
    TARGETS_UNREACHABLE = "targets-unreachable"
    STOPPING = "stopping"
    CANCELLED = "cancelled"
    ANSWER_LATE = "answer-late"
    ANSWER_BROKEN = "answer-broken"
    ANSWER_MISMATCHED = "answer-mismatched"


STATUSES: dict[Reason, str] = {
    Reason.FIELD_MALFORMED: "400 Bad Request",
    Reason.FIELD_TOO_LONG: "431 Request Header Fields Too Large",
    Reason.WORKSPACE_UNKNOWN: "403 Forbidden",
    Reason.POOL_UNKNOWN: "404 Not Found",
    Reason.POOL_FORBIDDEN: "403 Forbidden",
    Reason.BODY_TOO_LARGE: "413 Content Too Large",
    Reason.BODY_TRUNCATED: "400 Bad Request",
    Reason.KEY_MISSING: "400 Bad Request",
    Reason.KEY_EXPIRED: "400 Bad Request",
    Reason.KEY_IN_FUTURE: "400 Bad Request",
    Reason.KEY_NOT_VOUCHED: "409 Conflict",
    Reason.KEY_USED: "409 Conflict",
    Reason.OWNER_UNREACHABLE: "503 Service Unavailable",
    Reason.NOT_CONFIGURED: "503 Service Unavailable",
    Reason.NO_TARGET: "503 Service Unavailable",
    Reason.QUEUE_FULL: "503 Service Unavailable",
    Reason.WORKSPACE_QUEUE_FULL: "429 Too Many Requests",
    Reason.MEMORY_FULL: "503 Service Unavailable",
    Reason.QUOTA_ZERO: "403 Forbidden",
    Reason.DEADLINE_TOO_SHORT: "503 Service Unavailable",
    Reason.DEADLINE_PASSED: "503 Service Unavailable",
    Reason.TARGETS_UNREACHABLE: "503 Service Unavailable",
    Reason.STOPPING: "503 Service Unavailable",
    Reason.CANCELLED: "503 Service Unavailable",
    Reason.ANSWER_LATE: "504 Gateway Timeout",
    Reason.ANSWER_BROKEN: "502 Bad Gateway",
    Reason.ANSWER_MISMATCHED: "502 Bad Gateway",
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Refused:
    """The request did not run.

    :param reason: Why.
    :param detail: The field at fault, or what is short, for a reader.
    :param retry_after: Seconds after which a place is expected, or
        ``None`` when the same request would be refused again.
    """

    reason: Reason
    detail: str = ""
    retry_after: float | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unknown:
    """The request may have run; there is no whole answer.

    :param reason: Why.
    :param detail: What happened, for a reader.
    """

    reason: Reason
    detail: str = ""
