"""Loop that checks racks and halls, apart from the loop of the VMs.

The loop of the VMs waits for the platform's answers, for up to a second each.
"""

from __future__ import annotations

from collections.abc import Callable
import functools

import gevent

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager import timing
from rackvalve.scheduling import suspicion
from rackvalve import telemetry as telemetries


class DomainMonitor:
    """Checks racks and halls for one owner, and logs what changes.

    :param tracker: Decides which are suspected.
    :param telemetry: Has the gauge of suspected racks and halls.
    :param on_change: Called when workers take work no longer, or again.
    """

    __slots__ = ("_tracker", "_telemetry", "_on_change")

    def __init__(
        self,
        tracker: suspicion.SuspicionTracker,
        telemetry: telemetries.Telemetry,
        on_change: Callable[[], None],
    ) -> None:
        self._tracker = tracker
        self._telemetry = telemetry
        self._on_change = on_change

    def run(self) -> None:
        """Check until the greenlet is killed."""
        if not self._tracker.is_active:
            return
        try:
            while True:
                self.check(clocks.read_steady())
                gevent.sleep(timing.CHECK_INTERVAL_S)
        finally:
            # Another process may own, and count them itself.
            self._set_gauge([])

    def check(self, now: float) -> None:
        """Check once.

        :param now: Present time, in seconds.
        """
        changes = self._tracker.check(now)
        for change in changes:
            _log_change(change)
        if changes:
            self._set_gauge(self._tracker.suspected)
            self._on_change()

    def _set_gauge(self, suspected: list[suspicion.Domain]) -> None:
        for kind in suspicion.Kind:
            count = sum(1 for domain in suspected if domain.kind is kind)
            self._telemetry.domains_suspected.labels(kind.value).set(count)


@functools.singledispatch
def _log_change(change: object) -> None:
    """Log that a rack or hall is suspected, or no longer is."""
    raise TypeError(f"add a log line for {type(change).__name__}")


@_log_change.register
def _(change: suspicion.Suspected) -> None:
    logs.write_warning(
        "rack.suspected",
        kind=change.domain.kind.value,
        hall=change.domain.hall,
        rack=change.domain.rack,
        overdue=change.overdue,
        working=change.working,
        workers=list(change.workers),
    )


@_log_change.register
def _(change: suspicion.Cleared) -> None:
    logs.write_event(
        "rack.cleared",
        kind=change.domain.kind.value,
        hall=change.domain.hall,
        rack=change.domain.rack,
        reason=change.reason.value,
        answering=change.answering,
        missing=change.missing,
        seconds=round(change.seconds, 3),
    )
