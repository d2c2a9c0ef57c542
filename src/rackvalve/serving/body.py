"""The body of one request, as the stream that WSGI applications read."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
from gevent import socket as gevent_socket

from rackvalve.serving import errors
from rackvalve.serving import limits
from rackvalve.serving import reader as readers

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Longest line with the length of a chunk and its extensions, in bytes.
CHUNK_LINE_BYTES = 1024
# Digits of the length of a chunk.
CHUNK_DIGITS = 16
_HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")
# Bytes that may frame each byte in chunks; a chunk of one byte has five.
FRAMING_PER_BYTE = 8
# Length of the part by which a body of unknown length is taken to go on, in
# bytes.
HOLD_STEP = 32768
# Time for which the rest of a body is read that nobody wants, in seconds, so
# that a client that still sends sees its answer.
DRAIN_TIMEOUT_S = 0.5


class Body:
    """The body of one request.

    :param reader: The stream of the connection.
    :param length: Length from the header, in bytes; 0 for none.
    :param chunked: Whether the body is sent in chunks.
    :param continue_to: Connection whose client waits to be told to send the
        body; ``None`` if it does not wait.
    """

    __slots__ = (
        "_reader",
        "_left",
        "_chunked",
        "_continue_to",
        "_position",
        "_framing",
        "is_complete",
        "is_abandoned",
    )

    def __init__(
        self,
        reader: readers.RequestReader,
        *,
        length: int,
        chunked: bool,
        continue_to: gevent_socket.socket | None = None,
    ) -> None:
        self._reader = reader
        # Bytes left of the body, or of the present chunk.
        self._left = 0 if chunked else length
        self._chunked = chunked
        self._continue_to = continue_to
        # Bytes of the body, and of what frames its chunks, that were read.
        self._position = 0
        self._framing = 0
        # Whether the body was read to its end.
        self.is_complete = not chunked and not length
        # Whether the rest of the body is of no use to the application.
        self.is_abandoned = False

    def read(self, size: int = -1) -> bytes:
        """Read the body, or a part of it.

        What surely does not fit into the memory is refused before it is read.
        Of a body in chunks that is known once it is not a short one.

        :param size: Most bytes that are returned; all if negative.
        :raises RequestUnreadError: The client was too slow, sent too much
            or something else than a body, or there is no memory left.
        """
        found = bytearray()
        if not self._chunked:
            self._hold(self._left, size)
        while size < 0 or len(found) < size:
            wanted = readers.READ_BLOCK
            if size >= 0:
                wanted = min(wanted, size - len(found))
            block = self._read_block(wanted)
            if not block:
                break
            found += block
            if self._chunked and self._is_long(len(found)):
                self._hold(len(found) + HOLD_STEP, size)
        return bytes(found)

    def readline(self, size: int = -1) -> bytes:
        """Read a line with its end, or a part of it.

        :param size: Most bytes that are returned; not limited if negative.
        :raises RequestUnreadError: As for ``read``.
        """
        found = bytearray()
        while (size < 0 or len(found) < size) and found[-1:] != b"\n":
            block = self._read_block(1)
            if not block:
                break
            found += block
            if len(found) > limits.FREE_BODY_BYTES:
                self._hold(len(found) + HOLD_STEP, size)
        return bytes(found)

    def readlines(self, hint: int = -1) -> list[bytes]:
        """Read all lines.

        :param hint: Not used, as PEP 3333 allows.
        """
        return list(self)

    def __iter__(self) -> Iterator[bytes]:
        """Return the lines."""
        return iter(self.readline, b"")

    def drain(self) -> None:
        """Read and drop the rest of the body, as far as that is short."""
        with gevent.Timeout(DRAIN_TIMEOUT_S, False):
            try:
                while self._reader.may_drain(readers.READ_BLOCK):
                    if not self._read_block(readers.READ_BLOCK):
                        return
            except OSError:
                return

    def _discard(self) -> None:
        """Do nothing; the server calls this after each request."""

    def _is_long(self, length: int) -> bool:
        """Return whether a body in chunks takes memory by its length.

        Chunks take long to read, so where there is no memory for long bodies
        that is asked for sooner.
        """
        if length <= limits.SHORT_BODY_BYTES:
            return False
        return length > limits.FREE_BODY_BYTES or self._reader.is_full()

    def _hold(self, length: int, size: int) -> None:
        """Account for the memory of what one call reads.

        :param length: Bytes that are expected.
        :param size: Bytes that the call returns at most; negative for all.
        """
        if size >= 0:
            length = size if self._chunked else min(length, size)
        self._reader.hold(length)

    def _read_block(self, size: int) -> bytes:
        """Read a part of the body; empty at its end."""
        if self.is_complete:
            return b""
        if self._continue_to is not None:
            self._continue_to.sendall(CONTINUE)
            self._continue_to = None
        if not self._left:
            self._begin_chunk()
            if self.is_complete:
                return b""
        block = self._reader.read(min(size, self._left))
        if not block:
            raise errors.RequestInvalidError(
                f"the body ended after {self._position} bytes"
            )
        self._left -= len(block)
        self._position += len(block)
        if not self._left:
            self._end_part()
        return block

    def _end_part(self) -> None:
        """Handle the end of the body, or of a chunk."""
        if not self._chunked:
            self.is_complete = True
        elif self._read_line(2) != b"\r\n":
            raise errors.RequestInvalidError(
                "a chunk is longer than the length before it"
            )

    def _begin_chunk(self) -> None:
        line = self._read_line(CHUNK_LINE_BYTES)
        digits = line.partition(b";")[0].strip()
        if (
            not line.endswith(b"\r\n")
            or not 0 < len(digits) <= CHUNK_DIGITS
            or not _HEX_DIGITS.issuperset(digits)
        ):
            raise errors.RequestInvalidError(
                f"a chunk has no length in hexadecimal digits: {line[:20]!r}"
            )
        self._left = int(digits, 16)
        if not self._left:
            self._skip_trailer()
            self.is_complete = True

    def _skip_trailer(self) -> None:
        left = self._reader.limits.header_bytes
        while left > 0:
            line = self._reader.readline(left)
            if line == b"\r\n":
                return
            if not line:
                raise errors.RequestInvalidError("the trailer has no end")
            left -= len(line)
        raise errors.HeaderTooLongError(
            f"the trailer has more than {self._reader.limits.header_bytes} "
            "bytes; send fewer or shorter fields"
        )

    def _read_line(self, size: int) -> bytes:
        """Read a line that frames chunks."""
        line = self._reader.readline(size)
        self._framing += len(line)
        most = FRAMING_PER_BYTE * self._position
        if self._framing > most + self._reader.limits.header_bytes:
            raise errors.RequestInvalidError(
                "the chunks are framed by too many bytes; send longer chunks"
            )
        return line
