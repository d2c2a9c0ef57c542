"""Explains what happened to one job."""

from __future__ import annotations

import collections
import dataclasses

from rackvalve.explain import evacuations
from rackvalve.explain import events as log_events

# Shorter pauses need no explanation, in seconds.
MIN_PAUSE_S = 1.0
# Events up to this long before a pause may be its cause, in seconds: leases on
# workers last 4 s.
LOOKBACK_S = 5.0
# Events that concern all jobs.
_OWNERSHIP_EVENTS = frozenset(
    {"ownership.taken", "ownership.lost", "ownership.resigned"}
)
# Events that concern the jobs that run on the worker which they name.
_WORKER_EVENTS = frozenset(
    {
        "dependency.lost",
        "worker.over",
        "worker.released",
        "worker.restarted",
    }
)
# Events that show that a job waited for a start.
_START_WAIT_EVENTS = frozenset({"run.ordered", "pool.standing"})
# The event that reports a pause and does not end it.
_STALL_EVENT = "job.standing"

Event = log_events.Event


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Pause:
    """A time without events of a job.

    :param began: The event before it.
    :param ended: The event after it; ``None`` if there was none.
    :param seconds: Its length, up to the last line if no event ended it.
    """

    began: Event
    ended: Event | None
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Report:
    """The explanation of one job.

    :param job: Its identifier.
    :param timeline: The job's own events, oldest first.
    :param result: Its result, in one line.
    :param causes: Causes of the result, the most important first.
    """

    job: str
    timeline: tuple[Event, ...]
    result: str
    causes: tuple[str, ...]


def make_report(job: str, lines: log_events.Lines) -> Report:
    """Explain what happened to a job.

    :param job: Its identifier.
    :param lines: Log lines of all managers around the time of the job.
    """
    own = tuple(event for event in lines.events if _concerns(event, job))
    if not own:
        return _report_unknown(job)
    if not any(e.name in ("job.accepted", "job.taken") for e in own):
        return _report_refused(job, own, lines)
    ended = _find_first(own, "job.ended")
    if ended is None:
        return _report_open(job, own, lines)
    if ended.get("phase") == "failed":
        return _report_failed(job, own, ended)
    if ended.get("phase") == "cancelled":
        return _report_cancelled(job, own)
    return _report_completed(job, own, ended, lines)


def _concerns(event: Event, job: str) -> bool:
    return (
        event.get("job") == job
        or str(event.get("task")).startswith(f"{job}.")
        or str(event.get("path")).endswith(f"/{job}")
    )


def _find_first(own: tuple[Event, ...], name: str) -> Event | None:
    return next((event for event in own if event.name == name), None)


def _report_unknown(job: str) -> Report:
    return Report(
        job=job,
        timeline=(),
        result="no line names this job",
        causes=(
            "no manager that these lines are of has accepted, refused or "
            "scheduled it; give the lines of all VMs",
        ),
    )


def _report_refused(
    job: str, own: tuple[Event, ...], lines: log_events.Lines
) -> Report:
    answers = [event for event in own if event.name == "call.answered"]
    causes = []
    for event in answers:
        silence = event.get("silence")
        causes.append(
            f"{event.vm} answered {event.get('method')} with "
            f"{event.get('status')}: {event.get('reason')} (the store had "
            f"been silent for {silence} s, configuration "
            f"{event.get('version')})"
        )
        causes.extend(_find_lost_store(event, lines))
    return Report(
        job=job,
        timeline=own,
        result="never accepted",
        causes=tuple(dict.fromkeys(causes)),
    )


def _find_lost_store(event: Event, lines: log_events.Lines) -> list[str]:
    """Return since when a manager had lost the store, if it had."""
    last = None
    for other in lines.events:
        if other.time > event.time:
            break
        if other.vm == event.vm and other.get("dependency") == "store":
            last = other
    if last is None or last.name != "dependency.lost":
        return []
    return [
        f"{event.vm} had lost the store since {event.time - last.time:.1f} s "
        f"before: {last.get('reason')}"
    ]


def _report_failed(job: str, own: tuple[Event, ...], ended: Event) -> Report:
    failures: dict[str, list[str]] = collections.defaultdict(list)
    for event in own:
        if event.name == "run.ended" and event.get("cause") == "failed":
            failures[event.get("task")].append(event.get("worker"))
    causes = [f"{ended.get('reason')}"]
    for task, workers in failures.items():
        places = "one worker" if len(set(workers)) == 1 else "several workers"
        causes.append(
            f"{task} failed {len(workers)} times on {places}: "
            + ", ".join(workers)
        )
    for task, workers in _find_counted_crashes(own).items():
        causes.append(
            f"{len(workers)} workers crashed under {task}: "
            + ", ".join(workers)
        )
    causes.extend(_list_explained_crashes(own))
    return Report(job=job, timeline=own, result="failed", causes=tuple(causes))


def _list_explained_crashes(own: tuple[Event, ...]) -> list[str]:
    """Return crashes that were attributed to a VM, not to the job."""
    decided = [event for event in own if event.name == "crash.decided"]
    if not decided:
        return []
    return [
        f"not counted against the job: {crash}"
        for crash in decided[-1].get("explained") or ()
    ]


def _find_counted_crashes(own: tuple[Event, ...]) -> dict[str, list[str]]:
    """Return the workers whose crashes were counted against each task."""
    crashed: dict[str, list[str]] = collections.defaultdict(list)
    counted: dict[str, int] = {}
    for event in own:
        count = event.get("crashes") or 0
        task = event.get("task")
        if event.name == "run.ended" and count > counted.get(task, 0):
            crashed[task].append(event.get("worker"))
        if event.name == "run.ended":
            counted[task] = count
    return crashed


def _report_cancelled(job: str, own: tuple[Event, ...]) -> Report:
    recorded = _find_first(own, "job.cancel_recorded")
    cause = (
        "no line says who asked for it; give the lines of all VMs"
        if recorded is None
        else f"a caller asked {recorded.vm} to cancel it"
    )
    return Report(job=job, timeline=own, result="cancelled", causes=(cause,))


def _report_open(
    job: str, own: tuple[Event, ...], lines: log_events.Lines
) -> Report:
    last = lines.events[-1].time
    began = _drop_stall_events(own)[-1]
    pause = Pause(began=began, ended=None, seconds=last - began.time)
    return Report(
        job=job,
        timeline=own,
        result=f"accepted and not ended {pause.seconds:.1f} s after its "
        "last event",
        causes=(*_explain(pause, own, lines), *_list_explained_crashes(own)),
    )


def _report_completed(
    job: str,
    own: tuple[Event, ...],
    ended: Event,
    lines: log_events.Lines,
) -> Report:
    causes: list[str] = []
    until_end = own[: own.index(ended) + 1]
    for pause in _find_pauses(until_end):
        causes.extend(_explain(pause, own, lines))
    return Report(
        job=job,
        timeline=own,
        result=f"completed {ended.time - own[0].time:.1f} s after its first "
        "line",
        causes=tuple(dict.fromkeys(causes)),
    )


def _find_pauses(own: tuple[Event, ...]) -> list[Pause]:
    """Return the pauses to explain, the longest first."""
    moves = _drop_stall_events(own)
    pauses = [
        Pause(began=one, ended=other, seconds=other.time - one.time)
        for one, other in zip(moves, moves[1:], strict=False)
        if other.time - one.time >= MIN_PAUSE_S
    ]
    return sorted(pauses, key=lambda pause: -pause.seconds)


def _explain(
    pause: Pause, own: tuple[Event, ...], lines: log_events.Lines
) -> list[str]:
    """Return the causes of a pause."""
    until = pause.began.time + pause.seconds
    since = pause.began.time - LOOKBACK_S
    around = [e for e in lines.events if since <= e.time <= until]
    workers = _find_workers(own, pause.began.time)
    causes = [
        f"nothing happened for {pause.seconds:.1f} s after "
        f"{pause.began.name} ({describe(pause.began)})"
    ]
    causes.extend(_find_stalls(pause, own, until))
    causes.extend(evacuations.find_moves(own, since, until))
    causes.extend(
        f"{event.vm}: {event.name} ({describe(event)})"
        for event in around
        if event.name in _OWNERSHIP_EVENTS
        or (
            event.name in _WORKER_EVENTS
            and _find_incarnation(event) in workers
        )
    )
    causes.extend(_find_failed_domains(workers, around))
    if pause.ended is None or pause.ended.name == "run.ordered":
        causes.extend(_find_workspace_limits(own, around))
        causes.extend(_find_short_pools(pause, own, around))
    if pause.ended is None or pause.ended.name in _START_WAIT_EVENTS:
        causes.extend(evacuations.find_halls(lines, pause.began.time, until))
    return causes


def _find_incarnation(event: Event) -> object:
    """Return the incarnation of a worker that an event concerns."""
    return event.get("before") or event.get("worker")


def _drop_stall_events(own: tuple[Event, ...]) -> tuple[Event, ...]:
    return tuple(event for event in own if event.name != _STALL_EVENT)


def _find_stalls(
    pause: Pause, own: tuple[Event, ...], until: float
) -> list[str]:
    """Return the owner's reports of a stalled job in a pause."""
    return [
        f"{event.vm}: stood still for {event.get('seconds')} s: "
        + _describe_stall(event)
        for event in own
        if event.name == _STALL_EVENT
        and pause.began.time <= event.time <= until
    ]


def _describe_stall(event: Event) -> str:
    parts = [str(event.get("reason"))]
    if event.get("task"):
        parts.append(f"task {event.get('task')}")
    if event.get("workers"):
        parts.append("workers " + ", ".join(event.get("workers")))
    if event.get("proof_in") != "":
        parts.append(
            f"to be proved over in {event.get('proof_in')} s at the latest, "
            f"by {event.get('awaited')}"
        )
    return "; ".join(parts)


def _find_workspace_limits(
    own: tuple[Event, ...], around: list[Event]
) -> list[str]:
    """Return limits of its workspace for which a job waited."""
    taken = _find_first(own, "job.taken")
    workspace = taken.get("workspace") if taken is not None else ""
    if taken is None or not workspace:
        return []
    causes = []
    if taken.get("guaranteed") is False:
        causes.append(
            f"workspace {workspace} had sent more jobs than its rate: others "
            "went first where room was short"
        )
    held = [
        event
        for event in around
        if event.name == "workspace.held"
        and event.get("workspace") == workspace
    ]
    if held:
        last = held[-1]
        causes.append(
            f"workspace {workspace} was at its bound: {last.get('cpu')} of "
            f"{last.get('cpu_bound')} cpu, {last.get('memory')} of "
            f"{last.get('memory_bound')} MB ran or may have run"
        )
    return causes


def _find_workers(own: tuple[Event, ...], time: float) -> set[str]:
    """Return the workers that had an active run of the job at a time."""
    running: dict[tuple[str, int], str] = {}
    for event in own:
        if event.time > time:
            break
        key = (_name_task(event), event.get("run"))
        if event.name == "run.ordered":
            running[key] = event.get("worker")
        elif event.name == "run.ended":
            running.pop(key, None)
    return set(running.values())


def _name_task(event: Event) -> str:
    """Return the name of an event's task within its job.

    Some events prefix it with the job.
    """
    task = str(event.get("task"))
    return task.split(".", 1)[-1] if task.count(".") > 2 else task


def _find_failed_domains(workers: set[str], around: list[Event]) -> list[str]:
    """Return racks and halls that failed with workers of the job."""
    causes = []
    for event in around:
        if event.name != "rack.suspected":
            continue
        affected = sorted(workers.intersection(event.get("workers")))
        if affected:
            rack = f"rack {event.get('rack')} of " if event.get("rack") else ""
            causes.append(
                f"{event.vm}: {rack}hall {event.get('hall')} stopped "
                f"answering at once: {event.get('overdue')} of "
                f"{event.get('working')} workers, and with it "
                + ", ".join(affected)
            )
    return causes


def _find_short_pools(
    pause: Pause, own: tuple[Event, ...], around: list[Event]
) -> list[str]:
    """Return pools that had fewer VMs than they asked for."""
    worst: dict[str, Event] = {}
    for event in around:
        if event.name != "pool.size" or event.time < pause.began.time:
            continue
        if event.get("demand") <= event.get("have"):
            continue
        known = worst.get(event.get("pool"))
        if known is None or event.get("demand") > known.get("demand"):
            worst[event.get("pool")] = event
    return [
        f"pool {pool} asked for {event.get('demand')} VMs and had "
        f"{event.get('have')}"
        for pool, event in worst.items()
    ]


def describe(event: Event) -> str:
    """Return the most informative fields of an event as text.

    :param event: The event.
    """
    names = ("worker", "task", "run", "reason", "fence", "cause", "dependency")
    return ", ".join(
        f"{name} {event.get(name)}" for name in names if event.get(name) != ""
    )
