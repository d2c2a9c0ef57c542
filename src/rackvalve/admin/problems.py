"""Errors of the administration API as problem details (RFC 9457)."""

from __future__ import annotations

import dataclasses

CONTENT_TYPE = "application/problem+json"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Problem:
    """Problem details of one error.

    :param type: Stable name of the error type.
    :param title: Summary of the error type.
    :param status: HTTP status code.
    :param detail: Description of this occurrence and how to fix it.
    :param revision: Current revision of the document; 0 if the error does not
        concern a document.
    """

    type: str
    title: str
    status: int
    detail: str = ""
    revision: int = 0


STATUSES: dict[int, str] = {
    200: "200 OK",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    403: "403 Forbidden",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    409: "409 Conflict",
    413: "413 Content Too Large",
    422: "422 Unprocessable Content",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}


def make_malformed(detail: str) -> Problem:
    """Return the error for a malformed request.

    :param detail: Description of the error.
    """
    return Problem(
        type="malformed",
        title="The request cannot be read",
        status=400,
        detail=detail,
    )


def make_missing(detail: str) -> Problem:
    """Return the error for a resource that does not exist.

    :param detail: The missing resource.
    """
    return Problem(
        type="missing", title="Not found", status=404, detail=detail
    )


def make_unreachable(detail: str) -> Problem:
    """Return the error for a process that does not answer.

    :param detail: The process and the failure.
    """
    return Problem(
        type="unreachable",
        title="A process of the system does not answer",
        status=503,
        detail=detail,
    )


def make_denied(needed: str, *, known: bool) -> Problem:
    """Return the error for a token without the required role.

    :param needed: The required role.
    :param known: Whether the token belongs to an operator.
    """
    if known:
        return Problem(
            type="forbidden",
            title="The operator's role does not allow it",
            status=403,
            detail=f"role {needed!r} is needed",
        )
    return Problem(
        type="unauthorized",
        title="No operator has this token, or it has expired",
        status=401,
        detail="Authorization: give a bearer token",
    )
