"""Why a request is not read to its end; each error ends its connection.

None of these requests has been carried out.
"""

from __future__ import annotations

import http


class RequestUnreadError(OSError):
    """A request was not read to its end."""

    status = http.HTTPStatus.BAD_REQUEST


class RequestInvalidError(RequestUnreadError):
    """A request is not HTTP/1.1, or ended too early."""


class HeaderTooLongError(RequestUnreadError):
    """A header, or a trailer, is longer than the limit."""

    status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class RequestTimeoutError(RequestUnreadError):
    """The client was too slow."""

    status = http.HTTPStatus.REQUEST_TIMEOUT


class MemoryFullError(RequestUnreadError):
    """There is no memory left for a body."""

    status = http.HTTPStatus.SERVICE_UNAVAILABLE
