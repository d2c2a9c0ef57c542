"""Pauses of a job that evacuated halls explain."""

from __future__ import annotations

from collections.abc import Sequence

from rackvalve.explain import events as log_events

# Beginning and end of the reason why a run in such a hall is stopped.
_REASON = ("its hall ", " is evacuated")

Event = log_events.Event


def find_moves(own: Sequence[Event], since: float, until: float) -> list[str]:
    """Return tasks of a job that were stopped because of an evacuation.

    :param own: The job's own events.
    :param since: Beginning of the period, seconds since 1970.
    :param until: Its end, seconds since 1970.
    """
    begin, end = _REASON
    found = []
    for event in own:
        if event.name != "run.stopping" or not since <= event.time <= until:
            continue
        reason = str(event.get("reason"))
        if reason.startswith(begin) and reason.endswith(end):
            found.append(
                f"{event.vm}: {event.get('task')} was moved off worker "
                f"{event.get('worker')}: {reason}"
            )
    return found


def find_halls(
    lines: log_events.Lines, began: float, until: float
) -> list[str]:
    """Return halls in which nothing could start during part of a pause.

    :param lines: Log lines of all managers.
    :param began: Beginning of the pause, seconds since 1970.
    :param until: Its end, seconds since 1970.
    """
    # Managers learn of an order at different times.
    before: dict[str, list[str]] = {}
    halls: set[str] = set()
    for event in lines.events:
        if event.name != "halls.evacuated" or event.time > until:
            continue
        if event.time <= began:
            before[event.vm] = event.get("halls")
        else:
            halls.update(event.get("halls"))
    for known in before.values():
        halls.update(known)
    return [
        f"hall {hall} was evacuated: nothing was started there"
        for hall in sorted(halls)
    ]
