"""What a worker tells of its runs, decoded."""

from __future__ import annotations

import dataclasses

import msgspec

from rackvalve.platform import births
from rackvalve.scheduling import messages

# The other words mean that a run did not end by itself: stopped; lapsed (its
# lease ran out); broken (another member of its gang ended); alone (the other
# members did not come).
_ENDINGS = {
    "done": messages.Ending.DONE,
    "failed": messages.Ending.FAILED,
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Report:
    """What a worker says of itself.

    :param clock: The worker's steady clock, in seconds.
    :param running: All runs on it.
    :param ended: Ends that were not acknowledged yet, oldest first.
    :param born: When the life began that tells this, in milliseconds since
        1970; ``None`` if it does not tell.
    """

    clock: float
    running: tuple[messages.RunningRow, ...]
    ended: tuple[messages.EndedRow, ...]
    born: int | None = None


class _WireReport(msgspec.Struct):
    clock: float = msgspec.field(name="clock-ms")
    # Without these it is the answer to an order: taken for a report, it would
    # prove all runs over.
    running: list[list[str | int | float]]
    ended: list[list[str | int]]
    born: msgspec.Raw = births.MISSING


def read_report(body: bytes) -> Report:
    """Decode a report.

    :param body: The answer to a hold.
    :raises msgspec.DecodeError: It does not decode; a row that is none raises
        what its reading does.
    """
    wire = msgspec.json.decode(body, type=_WireReport)
    running = tuple(
        messages.RunningRow(
            task=str(row[0]),
            run=int(row[1]),
            checkpoint=str(row[2]),
            percent=float(row[3]),
            load=float(row[4]) if len(row) > 4 else 0.0,
        )
        for row in wire.running
    )
    ended = tuple(
        messages.EndedRow(
            number=int(row[0]),
            task=str(row[1]),
            run=int(row[2]),
            ending=_ENDINGS.get(str(row[3]), messages.Ending.CUT_SHORT),
            cause=str(row[3]),
            checkpoint=str(row[4]),
        )
        for row in wire.ended
    )
    return Report(
        clock=wire.clock / 1000,
        running=running,
        ended=ended,
        born=births.read_birth(wire.born),
    )
