"""Reads the answer to one call from a connection.

The connection stays the caller's alone.  The library's own reader closes it as
soon as an answer says that it ends there; a second closing, by the caller,
then failed and was taken for an error of ours.
"""

from __future__ import annotations

from collections.abc import Callable

from gevent import socket as gevent_socket
from geventhttpclient import response as http_response

# Most that is read from a connection at once, in bytes; answers of the store
# have up to 1 MB.
READ_BLOCK = 65536
# A status below this belongs to an interim answer; another one follows.
_FINAL_STATUS = 200


class _OverrunError(Exception):
    """More than one answer came to one call."""


class Response(http_response.HTTPResponse):
    """The answer to one call.

    :param method: HTTP method of the call.
    """

    def __init__(self, method: str) -> None:
        super().__init__(method=method)
        self._is_overrun = False

    def should_close(self) -> bool:
        """Return whether the connection is of no use for another call."""
        return self._is_overrun or super().should_close()

    @property
    def body(self) -> bytes:
        """The body, as far as it was read."""
        return bytes(self._body_buffer)

    def has_headers(self) -> bool:
        """Return whether the headers of the final answer are there."""
        return self.headers_complete and self.status_code >= _FINAL_STATUS

    def is_whole(self) -> bool:
        """Return whether the final answer is there."""
        return self.message_complete and self.status_code >= _FINAL_STATUS

    def read(
        self, sock: gevent_socket.socket, is_enough: Callable[[], bool]
    ) -> None:
        """Read until enough of the answer is there.

        :param sock: The connection.
        :param is_enough: Tells whether it is.
        :raises HTTPParseError: What came is no answer, or not a whole one.
        :raises OSError: The connection has failed.
        """
        while not is_enough():
            block = sock.recv(READ_BLOCK)
            self._take(block)
            if not block and not is_enough():
                raise http_response.HTTPConnectionClosed("connection closed")

    def _take(self, block: bytes) -> None:
        """Take what has come; nothing is the end of the connection.

        It may be the end of the answer, too.  What follows the answer in the
        same piece is no part of it, and would be one body with it.
        """
        try:
            self.feed(block)
        except _OverrunError:
            self._is_overrun = True

    def _on_message_begin(self) -> None:
        if self.is_whole():
            raise _OverrunError
        super()._on_message_begin()
