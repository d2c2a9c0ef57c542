"""Request data for the scheduler, and parsing of the request headers.

The entry calls :func:`read_job`; a job here is one request.
"""

from __future__ import annotations

import dataclasses
import enum
import re
from typing import TYPE_CHECKING

from rackvalve import outcomes

if TYPE_CHECKING:
    from collections.abc import Mapping

WORKSPACE_HEADER = "Rackvalve-Workspace"
POOL_HEADER = "Rackvalve-Pool"
CLASS_HEADER = "Rackvalve-Class"
DEADLINE_HEADER = "Rackvalve-Deadline"
REPEATABLE_HEADER = "Rackvalve-Repeatable"
RUN_HEADER = "Rackvalve-Expected-Run"
REQUEST_ID_HEADER = "Rackvalve-Request-Id"
KEY_HEADER = "Idempotency-Key"

HEADERS = (
    WORKSPACE_HEADER,
    POOL_HEADER,
    CLASS_HEADER,
    DEADLINE_HEADER,
    REPEATABLE_HEADER,
    RUN_HEADER,
    REQUEST_ID_HEADER,
    KEY_HEADER,
)

REPEATABLE_METHODS = frozenset(("GET", "HEAD", "PUT", "DELETE", "OPTIONS"))
MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_ID_LENGTH = 128

_ENVIRON_NAMES = {
    header: "HTTP_" + header.upper().replace("-", "_") for header in HEADERS
}
_TOKEN = re.compile(r"[A-Za-z0-9._:-]+")
_DIGITS = re.compile(r"[0-9]{1,12}")


class Class(enum.Enum):
    """Scheduling class of a request: quick, or long and able to wait."""

    QUICK = "quick"
    LONG = "long"


DEFAULT_DEADLINE_S = {Class.QUICK: 30.0, Class.LONG: 3600.0}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Job:
    """One request as the scheduler handles it.

    :param number: Number of the request within this process.
    :param request_id: Identifier set by the caller, or a generated one.
    :param workspace: Name of the workspace.
    :param pool: Name of the pool.
    :param job_class: Class of the request.
    :param received: Time of arrival, in seconds.
    :param deadline: Time by which the answer must be complete, in seconds.
    :param repeatable: Whether the request may run more than once.
    :param key: Idempotency key; empty if a repeatable request has none.
    :param declared_run: Run time that the caller expects, in seconds, or
        ``None``; only a hint.
    """

    number: int
    request_id: str
    workspace: str
    pool: str
    job_class: Class
    received: float
    deadline: float
    repeatable: bool
    key: str
    declared_run: float | None


def read_job(
    environ: Mapping[str, object],
    method: str,
    new_id: str,
    *,
    number: int,
    header_limit: int,
    now: float,
) -> Job | outcomes.Refused:
    """Parse the Rackvalve headers and idempotency key of a request.

    :param environ: The WSGI environment.
    :param method: The HTTP method.
    :param new_id: Identifier for a request without one.
    :param number: Number of the request within this process.
    :param header_limit: Maximum length of a header value, in characters.
    :param now: Present time, in seconds.
    :return: The job, or a refusal that names the invalid header.
    """
    values = {}
    for header, name in _ENVIRON_NAMES.items():
        value = environ.get(name)
        if value is None:
            continue
        text = str(value).strip()
        if len(text) > header_limit:
            return _refuse(
                outcomes.Reason.FIELD_TOO_LONG,
                f"{header}: longer than {header_limit} characters",
            )
        values[header] = text
    error = _find_invalid_header(values)
    if error:
        return _refuse(outcomes.Reason.FIELD_MALFORMED, error)
    job_class = Class(values.get(CLASS_HEADER, Class.QUICK.value))
    repeatable = method in REPEATABLE_METHODS
    if REPEATABLE_HEADER in values:
        repeatable = values[REPEATABLE_HEADER] == "yes"
    if not repeatable and KEY_HEADER not in values:
        return _refuse(
            outcomes.Reason.KEY_MISSING,
            f"{KEY_HEADER}: required for a request that is not repeatable",
        )
    limit = DEFAULT_DEADLINE_S[job_class]
    if DEADLINE_HEADER in values:
        limit = int(values[DEADLINE_HEADER]) / 1000.0
    run = None
    if RUN_HEADER in values:
        run = int(values[RUN_HEADER]) / 1000.0
    return Job(
        number=number,
        request_id=values.get(REQUEST_ID_HEADER, new_id),
        workspace=values[WORKSPACE_HEADER],
        pool=values[POOL_HEADER],
        job_class=job_class,
        received=now,
        deadline=now + limit,
        repeatable=repeatable,
        key=values.get(KEY_HEADER, ""),
        declared_run=run,
    )


def _find_invalid_header(values: Mapping[str, str]) -> str:
    for header in (WORKSPACE_HEADER, POOL_HEADER):
        if not values.get(header):
            return f"{header}: missing"
    for header in (WORKSPACE_HEADER, POOL_HEADER, KEY_HEADER):
        if header in values and not _TOKEN.fullmatch(values[header]):
            return f"{header}: not a word of letters, digits, '.', '_', ':'"
    choices = {
        CLASS_HEADER: [item.value for item in Class],
        REPEATABLE_HEADER: ["yes", "no"],
    }
    for header, allowed in choices.items():
        if header in values and values[header] not in allowed:
            return f"{header}: not one of {', '.join(allowed)}"
    for header in (DEADLINE_HEADER, RUN_HEADER):
        text = values.get(header, "1")
        if not _DIGITS.fullmatch(text):
            return f"{header}: not a whole number of milliseconds"
        if not 1 <= int(text) <= MAX_DEADLINE_MS:
            return f"{header}: not from 1 to {MAX_DEADLINE_MS} milliseconds"
    request_id = values.get(REQUEST_ID_HEADER, "-")
    if len(request_id) > MAX_ID_LENGTH or not _TOKEN.fullmatch(request_id):
        return f"{REQUEST_ID_HEADER}: not a word of {MAX_ID_LENGTH} or less"
    return ""


def _refuse(reason: outcomes.Reason, detail: str) -> outcomes.Refused:
    return outcomes.Refused(reason=reason, detail=detail)
