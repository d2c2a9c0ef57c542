"""A stream for log lines that never waits for its reader.

Who reads the lines may be slow or stopped.  What the system does not take at
once is kept up to a limit; beyond it whole lines are dropped and counted.
"""

from __future__ import annotations

from collections.abc import Callable
import os

# Most bytes that are kept for a slow reader.
KEPT_MOST = 256 * 1024


class LogOutlet:
    """Writes text to a file descriptor without blocking.

    :param descriptor: The descriptor; it is set to non-blocking.
    :param on_dropped: Called for each text that is dropped.
    """

    def __init__(
        self, descriptor: int, on_dropped: Callable[[], None]
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._on_dropped = on_dropped
        self._kept = bytearray()

    def write(self, text: str) -> None:
        """Write a text, or keep it, or drop it.

        :param text: Whole lines.
        """
        data = text.encode("utf-8", "replace")
        if len(self._kept) + len(data) > KEPT_MOST:
            self.flush()
        if len(self._kept) + len(data) > KEPT_MOST:
            self._on_dropped()
            return
        self._kept += data
        self.flush()

    def flush(self) -> None:
        """Write as much of what is kept as the reader takes."""
        while self._kept:
            try:
                written = os.write(self._descriptor, self._kept)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                self._kept.clear()
                return
            del self._kept[:written]

    def close(self) -> None:
        """Write what can be written; the descriptor stays open."""
        self.flush()
