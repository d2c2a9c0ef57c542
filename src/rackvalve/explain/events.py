"""Log lines as events."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
from typing import Any

from rackvalve import codec
from rackvalve import errors


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Event:
    """One log line.

    :param time: Its time, seconds since 1970.
    :param name: Name of the event.
    :param vm: VM of the process that wrote it.
    :param fields: All fields of the line.
    """

    time: float
    name: str
    vm: str
    fields: dict[str, Any]

    def get(self, field: str) -> Any:
        """Return a field, or an empty text if the line lacks it.

        :param field: Its name.
        """
        return self.fields.get(field, "")


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Lines:
    """The events of log lines.

    :param events: The events, oldest first.
    :param unread: Number of lines that were not events.
    """

    events: tuple[Event, ...]
    unread: int


def read_lines(lines: Iterable[str]) -> Lines:
    """Read log lines of any number of processes.

    Text before the first brace of a line is skipped: log collectors put times
    and names there.

    :param lines: The lines, in any order.
    """
    found: list[Event] = []
    unread = 0
    for line in lines:
        event = _read_line(line)
        if event is not None:
            found.append(event)
        elif line.strip():
            unread += 1
    found.sort(key=lambda event: event.time)
    return Lines(events=tuple(found), unread=unread)


def _read_line(line: str) -> Event | None:
    _, brace, rest = line.partition("{")
    try:
        fields = codec.decode_as(brace + rest, dict[str, Any])
    except errors.DocumentInvalidError:
        return None
    time, name = fields.get("time"), fields.get("event")
    if not isinstance(time, (int, float)) or not isinstance(name, str):
        return None
    if not abs(time) <= codec.MAX_INTEGER:
        return None
    return Event(
        time=float(time),
        name=name,
        vm=str(fields.get("vm", "")),
        fields=fields,
    )
