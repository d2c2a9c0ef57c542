"""Errors of the administration API in one shape (RFC 9457)."""

from __future__ import annotations

import dataclasses

CONTENT_TYPE = "application/problem+json"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Problem:
    """One error.

    :param type: Stable name of the kind of error.
    :param title: What went wrong, in general.
    :param status: HTTP status code.
    :param detail: What went wrong here, with the mend.
    :param revision: Present revision of the document, 0 if it is not
        about one.
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
    """Return the error for a request that cannot be read.

    :param detail: What is wrong.
    """
    return Problem(
        type="malformed",
        title="The request cannot be read",
        status=400,
        detail=detail,
    )


def make_missing(detail: str) -> Problem:
    """Return the error for something that does not exist.

    :param detail: What does not exist.
    """
    return Problem(
        type="missing", title="Not found", status=404, detail=detail
    )


def make_unreachable(detail: str) -> Problem:
    """Return the error for a process that does not answer.

    :param detail: Which one.
    """
    return Problem(
        type="unreachable",
        title="A process of the system does not answer",
        status=503,
        detail=detail,
    )


def make_denied(needed: str, *, known: bool) -> Problem:
    """Return the error for a token that does not allow what was asked.

    :param needed: The role needed.
    :param known: Whether the token is an operator's.
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
