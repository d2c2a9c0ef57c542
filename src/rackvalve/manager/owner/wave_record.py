"""The record of a wave's progress, for the next owner."""

from __future__ import annotations

import msgspec


class WaveRecord(msgspec.Struct):
    """Progress of a wave, as it is stored.

    :param ordered: VMs whose maintenance was ordered.
    :param done: VMs whose maintenance has ended.
    :param elapsed: Time since the wave's start when this was written, in
        seconds.
    :param written: When it was written, in seconds since 1970; 0 if an earlier
        release wrote it.
    """

    ordered: list[str] = []
    done: list[str] = []
    # Without these times each owner gave a wave its whole time again.
    elapsed: float = 0.0
    written: float = 0.0

    def count_elapsed(self, wall: float) -> float:
        """Return the time since the wave's start, in seconds.

        If the time of day has jumped ahead, the wave only ends earlier.

        :param wall: Present time, in seconds since 1970.
        """
        if not self.written:
            return 0.0
        return self.elapsed + max(0.0, wall - self.written)

    def encode(self, began: float, *, now: float, wall: float) -> bytes:
        """Return the record with its times, as JSON.

        :param began: When the wave started, in seconds.
        :param now: Present time, in seconds.
        :param wall: Present time, in seconds since 1970.
        """
        timed = msgspec.structs.replace(
            self, elapsed=now - began, written=wall
        )
        return msgspec.json.encode(timed)
