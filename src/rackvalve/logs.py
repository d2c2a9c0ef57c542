"""JSON-line logs through absl.logging.

Each line has a stable event name, the time, the program, VM and hall, and
the fields of the event.  :data:`EVENTS` names every event and its meaning;
the reference page is made from it.  The volume of each event is bounded, and
writing never waits for who reads the lines.
"""

from __future__ import annotations

import logging as std_logging
import sys
from typing import TextIO

from absl import flags
from absl import logging
from absl.logging import converter
import msgspec

from rackvalve import _log_budget as log_budgets
from rackvalve import _log_outlet as log_outlets
from rackvalve import clocks

EVENTS: dict[str, str] = {
    "program.started": "The program listens.",
    "program.stopping": "A planned stop began.",
    "program.stopped": "The program ended; says what was cut off.",
    "request.refused": "A request was refused and did not run.",
    "request.unknown": "A request may have run; its answer is not whole.",
    "view.applied": "An entry took a newer configuration or hall record.",
    "configuration.accepted": "A steward took a newer configuration.",
    "hall.accepted": "A steward took a newer hall record.",
    "hall.stepped": "The acting steward changed the hall record.",
    "hall.waiting": "A step waits; says for whom.",
    "lease.taken": "This steward became the acting steward of its hall.",
    "lease.lost": "This steward is no longer the acting steward.",
    "platform.failed": "A call to the platform failed.",
    "platform.answered": "The platform answers again.",
    "document.rejected": "A stored document was not taken; says why.",
    "command.done": "An operator's command ended; says with what outcome.",
    "configuration.applied": "A manager took a newer configuration.",
    "namespaces.changed": "The directory of namespaces, which hold the jobs "
    "of one address, has changed; says which queues have other names, and "
    "which were removed.",
    "settings.reloaded": "The settings file was read anew.",
    "settings.rejected": "The changed settings file was not taken.",
    "dependency.lost": "The store or a worker does not answer; says which.",
    "dependency.regained": "The store or a worker answers again.",
    "store.failed": "A write to the store failed and is made again.",
    "record.refused": "The store refuses a record for its content; says which "
    "and how large. A job whose progress is refused ends as failed; one whose "
    "definition is refused is not accepted.",
    "store.recovered": "The store answers again after an outage; calls in "
    "flight are made again.",
    "watch.restarted": "The store has lost history; all is read anew.",
    "ownership.taken": "This process schedules from now on.",
    "ownership.kept": "This process goes on after its lease had ended: its "
    "term stands.",
    "ownership.deposed": "Another owner was found; says by what.",
    "ownership.lost": "This process schedules no more.",
    "ownership.resigned": "This process handed the ownership over; says why.",
    "ownership.requested": "This process asked the owner, on a smaller VM, to "
    "hand over.",
    "member.registered": "This process has registered, so that the others "
    "know it; says at which address it takes relayed requests.",
    "standby.begun": "This process became a standby: it copies the owner's "
    "records.",
    "standby.complete": "A standby has read all of the owner's records.",
    "standby.ended": "A standby dropped its copy; says why.",
    "standby.used": "A new owner used its copy; says which prefixes were "
    "current enough.",
    "relay.listening": "This process takes relayed requests from now on; says "
    "at which address.",
    "relay.sent": "A request was relayed, as the store did not serve this "
    "process; says to which peers, and with what outcome.",
    "relay.rejected": "A relayed request or its answer was not taken, once "
    "for each reason; says why.",
    "owner.ended": "An owner ends; how long it owned, and with how many "
    "workers it had extended the lease.",
    "owner.loaded": "A new owner has read all records.",
    "worker.quarantined": "An error ended a term while this worker's answer "
    "was handled: its lease is extended, its reports are not handled for a "
    "time.",
    "worker.readmitted": "A quarantined worker's reports are handled again.",
    "worker.found": "A worker was seen for the first time.",
    "worker.recorded": "A worker that only records name is asked.",
    "worker.established": "A worker has taken the owner's fencing token.",
    "worker.restarted": "Another incarnation of a worker answers under its "
    "name; says what the earlier one reported last.",
    "worker.draining": "A worker says that it will leave.",
    "rack.suspected": "The workers of a rack or hall stopped answering "
    "together; they get no new runs until they answer.",
    "rack.cleared": "A rack or hall is no longer suspected; says how many of "
    "its workers answer.",
    "worker.lost": "What ran on a worker is over: its VM is off or gone.",
    "worker.released": "Runs of a worker are over without its word; says what "
    "proves it, what became of the worker, and how many.",
    "worker.over": "A worker's incarnation is over; says what proves it.",
    "job.accepted": "A job is stored and its caller was told so.",
    "job.taken": "The owner learned of a job.",
    "job.begun": "A worker has confirmed the first run of a job.",
    "jobs.counted": "How many jobs of each queue have not begun, as the owner "
    "publishes it, and for how many of them a start is under way.",
    "count.told": "A caller was told how many jobs of a queue have not begun.",
    "job.cancel_recorded": "A caller's cancellation is stored.",
    "job.cancelled": "The owner ends a job at its caller's wish.",
    "job.ended": "A job's last state is in the store.",
    "job.standing": "A job is stalled: a task's turn has come and no run is "
    "active; says why, once for each reason.",
    "pool.standing": "How many jobs of a pool are stalled, by reason; says "
    "which one longest, and the state of its workers.",
    "workspace.held": "Tasks wait since their workspace has as much running "
    "as its bound allows.",
    "run.ordered": "A worker is told to start a run.",
    "run.rejected": "A worker did not start a run; says why.",
    "run.stopping": "A worker is told to stop a run; says why.",
    "run.ended": "A run is over; says how.",
    "crash.decided": "Whether a job caused crashes of workers; names those "
    "that count against it, and those that a VM explains, with its crash.",
    "vm.crashing": "A VM crashes repeatedly though no task causes it.",
    "order.failed": "An order to a worker failed.",
    "order.undeliverable": "An order's worker is not known.",
    "admission.given": "The admission service answered for a step.",
    "admission.failed": "The admission service gave no answer; says why.",
    "run.paced": "A worker is told to pace a run at a share.",
    "halls.evacuated": "Nothing more is sent to the VMs of these halls.",
    "evacuation.begun": "The owner moves lasting tasks out of an evacuated "
    "hall; says how many there are.",
    "evacuation.progress": "How many lasting tasks are left in an evacuated "
    "hall.",
    "evacuation.ended": "The order to evacuate a hall is withdrawn; says how "
    "many lasting tasks were left.",
    "evacuation.rejected": "An order to evacuate a hall has no effect; says "
    "why.",
    "wave.taken": "The owner learned of a maintenance wave.",
    "wave.status": "A wave's status is published.",
    "vm.maintained": "The platform was told to maintain a VM; says how it "
    "answered.",
    "vm.moved": "The platform was told to move a VM; says why and how it "
    "answered.",
    "pool.size": "Demand and size of a pool, in VMs.",
    "vms.failed": "A call to the platform's interface to VMs failed.",
    "call.answered": "A caller got another answer than success.",
    "task.failed": "A task met an unexpected error and goes on.",
    "logs.left_out": "Lines were not written; says how many of which event.",
}

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}

# Stands for lines that a slow reader did not take, whatever their event.
_SLOW_READER = "slow reader"

# Most characters of an error's own text in a line.
_FAULT_SHOWN = 200

_budget = log_budgets.LogBudget()

Field = str | int | float | bool | None | list[str]


class _JsonFormatter(std_logging.Formatter):
    """Formats a record as one JSON object.

    :param identity: Fields that each line carries.
    """

    def __init__(self, identity: dict[str, str]) -> None:
        super().__init__()
        self._identity = identity

    def format(self, record: std_logging.LogRecord) -> str:
        line: dict[str, Field] = {
            "time": round(record.created, 6),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        line.update(self._identity)
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            # Before the traceback, which readers of logs cut short.
            line["fault"] = repr(record.exc_info[1])[:_FAULT_SHOWN]
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def set_up(
    level: str,
    program: str,
    vm: str,
    hall: str,
    stream: TextIO = sys.stderr,
) -> None:
    """Send JSON lines to a stream.

    :param level: Least level written: debug, info, warning or error.
    :param program: Name of the program.
    :param vm: Identity of the VM.
    :param hall: Data hall of the VM.
    :param stream: Where the lines go; nothing waits for its reader.
    """
    outlet = log_outlets.LogOutlet(
        stream.fileno(), lambda: _budget.note_left_out(_SLOW_READER)
    )
    # The programs' settings come from a file; absl's flags stay unused.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = outlet
    handler.setFormatter(
        _JsonFormatter({"program": program, "vm": vm, "hall": hall})
    )
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[level])


def write_event(event: str, **fields: Field) -> None:
    """Write one event at level info.

    :param event: A name of :data:`EVENTS`.
    :param fields: The event's fields.
    """
    _write(logging.INFO, event, fields)


def write_warning(event: str, **fields: Field) -> None:
    """Write one event at level warning.

    :param event: A name of :data:`EVENTS`.
    :param fields: The event's fields.
    """
    _write(logging.WARNING, event, fields)


def write_failure(event: str, **fields: Field) -> None:
    """Write one event at level error, with the current exception.

    :param event: A name of :data:`EVENTS`.
    :param fields: The event's fields.
    """
    _write(logging.ERROR, event, fields, with_exception=True)


def _write(
    level: int,
    event: str,
    fields: dict[str, Field],
    *,
    with_exception: bool = False,
) -> None:
    now = clocks.read_steady()
    left_out = _budget.report(now)
    if left_out:
        counts: list[str] = [f"{name}: {n}" for name, n in left_out.items()]
        _hand_over(logging.WARNING, "logs.left_out", {"lines": counts})
    if _budget.take(event, now):
        _hand_over(level, event, fields, with_exception=with_exception)


def _hand_over(
    level: int,
    event: str,
    fields: dict[str, Field],
    *,
    with_exception: bool = False,
) -> None:
    standard = converter.absl_to_standard(level)
    logging.get_absl_logger().log(
        standard, event, extra={"fields": fields}, exc_info=with_exception
    )
