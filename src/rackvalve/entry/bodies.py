"""Request bodies, buffered whole within a size and a memory limit."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import gevent

from rackvalve import outcomes

if TYPE_CHECKING:
    from collections.abc import Mapping

TIMEOUT_S = 30.0
LENGTH_DIGITS_MAX = 18
MEMORY_RETRY_S = 1.0


class Bodies:
    """Memory accounting and reading of request bodies.

    :param body_limit: Maximum size of a body, in bytes.
    :param memory_limit: Maximum total size of all bodies reserved, in bytes.
    """

    def __init__(self, *, body_limit: int, memory_limit: int) -> None:
        self._body_limit = body_limit
        self._free_memory = memory_limit

    def reserve(self, environ: Mapping[str, Any]) -> int | outcomes.Refused:
        """Reserve memory for a request's body.

        :param environ: The WSGI environment.
        :return: The bytes reserved, to be passed to :meth:`release`.
        """
        size = self._read_size(environ)
        if isinstance(size, outcomes.Refused):
            return size
        if size > self._body_limit:
            return self._refuse_size()
        if size > self._free_memory:
            return outcomes.Refused(
                reason=outcomes.Reason.MEMORY_FULL,
                detail="body: no memory to hold it now",
                retry_after=MEMORY_RETRY_S,
            )
        self._free_memory -= size
        return size

    def release(self, reserved: int) -> None:
        """Release reserved memory.

        :param reserved: The bytes that were reserved.
        """
        self._free_memory += reserved

    def read(self, environ: Mapping[str, Any]) -> bytes | outcomes.Refused:
        """Read the whole body of a request.

        :param environ: The WSGI environment.
        """
        if not _has_body(environ):
            return b""
        length = environ.get("CONTENT_LENGTH")
        wanted = int(length) if length else self._body_limit + 1
        try:
            with gevent.Timeout(TIMEOUT_S):
                body: bytes = environ["wsgi.input"].read(wanted)
        except (OSError, ValueError, gevent.Timeout):
            return _refuse_truncated()
        if length and len(body) < wanted:
            return _refuse_truncated()
        if len(body) > self._body_limit:
            return self._refuse_size()
        return body

    def _read_size(self, environ: Mapping[str, Any]) -> int | outcomes.Refused:
        """Return how much memory a body may need, in bytes."""
        if not _has_body(environ):
            return 0
        text = environ.get("CONTENT_LENGTH") or ""
        if not text:
            return self._body_limit
        digits = text.isascii() and text.isdigit()
        if not digits or len(text) > LENGTH_DIGITS_MAX:
            return outcomes.Refused(
                reason=outcomes.Reason.FIELD_MALFORMED,
                detail="Content-Length: not a number of bytes",
            )
        return int(text)

    def _refuse_size(self) -> outcomes.Refused:
        return outcomes.Refused(
            reason=outcomes.Reason.BODY_TOO_LARGE,
            detail=f"body: larger than {self._body_limit} bytes",
        )


def _has_body(environ: Mapping[str, Any]) -> bool:
    if environ.get("CONTENT_LENGTH"):
        return True
    return "HTTP_TRANSFER_ENCODING" in environ


def _refuse_truncated() -> outcomes.Refused:
    return outcomes.Refused(
        reason=outcomes.Reason.BODY_TRUNCATED,
        detail="body: ended before its length",
    )
