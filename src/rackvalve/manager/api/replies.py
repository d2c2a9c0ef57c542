"""Answers of the job API to callers."""

from __future__ import annotations

import dataclasses
import http

import msgspec


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Reply:
    """The answer to a caller's request.

    :param status: HTTP status.
    :param body: Body in JSON.
    :param reason: Reason for the status, for logs; empty on success.
    :param retry_after: Value of Retry-After, in seconds; 0 if it is left to
        the manager that answers.
    """

    status: http.HTTPStatus
    body: bytes = b"{}"
    reason: str = ""
    retry_after: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unserved:
    """The store did not answer this process, so the request has no answer.

    :param reason: Cause, for logs.
    :param uncertain: Whether the store may have made the request's write.
    """

    reason: str
    uncertain: bool = False


def make_failure(unserved: Unserved) -> Reply:
    """Return the reply to a request that nobody answers.

    :param unserved: Why this process does not.
    """
    if unserved.uncertain:
        return Reply(
            status=http.HTTPStatus.GATEWAY_TIMEOUT, reason=unserved.reason
        )
    return refuse(unserved.reason)


def refuse(reason: str) -> Reply:
    return Reply(status=http.HTTPStatus.SERVICE_UNAVAILABLE, reason=reason)


def forbid() -> Reply:
    return Reply(
        status=http.HTTPStatus.FORBIDDEN,
        reason="the job belongs to another workspace",
    )


def reject(reason: str) -> Reply:
    return Reply(
        status=http.HTTPStatus.BAD_REQUEST,
        body=msgspec.json.encode({"error": reason}),
        reason=reason,
    )
