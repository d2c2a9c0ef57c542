"""HTTP response parser for the client in ``connections``.

Only the caller closes the connection.  The HTTP library's own reader closes it
as soon as a response announces the close; when the caller closed it again, the
call failed and the owner took that error for its own.
"""

from __future__ import annotations

from collections.abc import Callable

from gevent import socket as gevent_socket
from geventhttpclient import response as http_response

# Largest block read from a connection at once, in bytes; the store's answers
# have up to 1 MB.
READ_BLOCK = 65536
# A lower status belongs to an interim response; another response follows.
_FINAL_STATUS = 200


class _OverrunError(Exception):
    """More than one response arrived for one call."""


class Response(http_response.HTTPResponse):
    """The response to one call.

    :param method: HTTP method of the call.
    """

    def __init__(self, method: str) -> None:
        super().__init__(method=method)
        self._is_overrun = False

    def should_close(self) -> bool:
        """Return whether the connection cannot carry another call."""
        return self._is_overrun or super().should_close()

    @property
    def body(self) -> bytes:
        """The part of the body that was read so far."""
        return bytes(self._body_buffer)

    def has_headers(self) -> bool:
        """Return whether all headers of the final response were read."""
        return self.headers_complete and self.status_code >= _FINAL_STATUS

    def is_whole(self) -> bool:
        """Return whether the final response was read completely."""
        return self.message_complete and self.status_code >= _FINAL_STATUS

    def read(
        self, sock: gevent_socket.socket, is_enough: Callable[[], bool]
    ) -> None:
        """Read until enough of the response was received.

        :param sock: The connection.
        :param is_enough: Returns whether enough was read.
        :raises HTTPParseError: The response is malformed or incomplete.
        :raises OSError: The connection has failed.
        """
        while not is_enough():
            block = sock.recv(READ_BLOCK)
            self._parse(block)
            if not block and not is_enough():
                raise http_response.HTTPConnectionClosed("connection closed")

    def _parse(self, block: bytes) -> None:
        """Parse a block; an empty one is the end of the connection.

        The end of the connection may complete the response.  Bytes after the
        response in the same block are not part of it; without the check of
        their start they would be appended to its body.
        """
        try:
            self.feed(block)
        except _OverrunError:
            self._is_overrun = True

    def _on_message_begin(self) -> None:
        if self.is_whole():
            raise _OverrunError
        super()._on_message_begin()
