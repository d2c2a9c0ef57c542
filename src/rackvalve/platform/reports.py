"""Decodes the reports in which workers list their runs."""

from __future__ import annotations

import dataclasses

import msgspec

from rackvalve import codec
from rackvalve.platform import start_times
from rackvalve.scheduling import messages

# Any other word means that the run did not end by itself: stopped; lapsed (the
# lease expired); broken (another member of the gang ended); alone (the other
# members of the gang did not start).
_ENDINGS = {
    "done": messages.Ending.DONE,
    "failed": messages.Ending.FAILED,
}


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Report:
    """A worker's report of its runs.

    :param clock: The worker's steady clock, in seconds.
    :param running: All runs on the worker.
    :param ended: Ends that were not acknowledged yet, oldest first.
    :param born: Start time of the reporting incarnation, in milliseconds since
        1970; ``None`` if not reported.
    """

    clock: float
    running: tuple[messages.RunningRow, ...]
    ended: tuple[messages.EndedRow, ...]
    born: int | None = None


class _WireReport(msgspec.Struct):
    clock: float = msgspec.field(name="clock-ms")
    # Required: an answer without them is one to an order, which, taken for a
    # report, would show all runs as ended.
    running: list[list[str | int | float]]
    ended: list[list[str | int]]
    born: msgspec.Raw = start_times.ABSENT


def read_report(body: bytes) -> Report:
    """Decode a report.

    :param body: The answer to a hold.
    :raises DocumentInvalidError: The body does not decode.
    :raises IndexError: A row is too short.
    :raises ValueError: A field of a row is no number.
    """
    wire = codec.decode_as(body, _WireReport)
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
        born=start_times.parse_start_time(wire.born),
    )
