"""Client loop that asks the admission service which workers may run a step.

Run by the owner.  The service is slow and answers one call of this process at
a time.  So calls are made one after the other, for waiting steps only, and
name only workers that could take a task now.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from rackvalve import clocks
from rackvalve.jobs import definition
from rackvalve.jobs import progress
from rackvalve import logs
from rackvalve.manager import timing
from rackvalve.platform import advisers
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import queues


class Admission:
    """Keeps the planner's admission tickets valid.

    :param adviser: The service; ``None`` where there is none.
    :param cluster: The owner's view of the cluster.
    :param planner: The planner that uses the tickets.
    :param on_change: Called when new tickets have arrived.
    """

    def __init__(
        self,
        adviser: advisers.Adviser | None,
        cluster: clusters.Cluster,
        planner: planners.Planner,
        *,
        on_change: Callable[[], None],
    ) -> None:
        self._adviser = adviser
        self._cluster = cluster
        self._planner = planner
        self._on_change = on_change
        # Workers that were asked about and not admitted, by step.
        self._denied: dict[str, set[str]] = {}
        # When a step's tickets expire, in seconds.
        self._expiry: dict[str, float] = {}

    def run(self) -> None:
        """Ask for tickets of waiting steps, until the greenlet is killed."""
        while True:
            if not self._ask_next():
                gevent.sleep(timing.ADMISSION_INTERVAL_S)

    def _ask_next(self) -> bool:
        """Ask for tickets of the first waiting step that needs them.

        :return: Whether there was such a step.
        """
        now = clocks.read_steady()
        self._drop_expired(now)
        for state in self._cluster.open_jobs.values():
            queue = self._cluster.queues.get(state.queue)
            if queue is None or queue.admission is None or not state.waiting:
                continue
            name = next(iter(state.waiting))
            step = state.step_name(name.repetition, name.step)
            if self._is_admitted(step):
                continue
            names = self._find_candidates(state, name, queue, step, now)
            if names:
                self._ask_service(step, names, queue.admission)
                return True
        return False

    def _is_admitted(self, step: str) -> bool:
        """Return whether a known worker has a ticket for a step.

        A ticket is of no use to the worker's next incarnation.
        """
        tickets = self._planner.tickets.get(step, {})
        return any(
            incarnation in self._cluster.workers for incarnation in tickets
        )

    def _drop_expired(self, now: float) -> None:
        for step, expiry in list(self._expiry.items()):
            if now >= expiry:
                del self._expiry[step]
                self._planner.tickets.pop(step, None)
                self._denied.pop(step, None)

    def _find_candidates(
        self,
        state: progress.JobState,
        name: definition.TaskName,
        queue: queues.Queue,
        step: str,
        now: float,
    ) -> list[str]:
        """Return the workers to ask about, those with most free CPU first."""
        denied = self._denied.get(step, set())
        labels = state.step_of(name).labels
        found = [
            worker
            for worker in self._cluster.workers.values()
            if worker.entry is not None
            and worker.entry.pool == queue.pool
            and worker.takes_work(now, timing.FRESHNESS_S)
            and worker.entry.labels.issuperset(labels)
            and worker.identity not in denied
        ]
        found.sort(key=lambda worker: -worker.free.cpu)
        return [
            worker.identity for worker in found[: timing.MAX_ADMISSION_WORKERS]
        ]

    def _ask_service(
        self, step: str, names: list[str], limits: queues.AdmissionLimits
    ) -> None:
        if self._adviser is None:
            logs.write_warning(
                "admission.failed", step=step, reason="no service is set"
            )
            gevent.sleep(timing.ADMISSION_RETRY_DELAY_S)
            return
        expected = limits.decide_time + limits.worker_time * len(names)
        answer = self._adviser.ask(
            step, names, expected + timing.ADMISSION_SLACK_S
        )
        if isinstance(answer, advisers.Unavailable):
            logs.write_warning(
                "admission.failed", step=step, reason=answer.reason
            )
            gevent.sleep(timing.ADMISSION_RETRY_DELAY_S)
            return
        now = clocks.read_steady()
        valid = (answer.valid or limits.valid) - timing.TICKET_EXPIRY_MARGIN_S
        self._expiry[step] = now + max(valid, timing.TICKET_EXPIRY_MARGIN_S)
        denied = set(names) - answer.tickets.keys()
        self._denied.setdefault(step, set()).update(denied)
        self._planner.tickets[step] = answer.tickets
        logs.write_event(
            "admission.given",
            step=step,
            asked=len(names),
            admitted=len(answer.tickets),
            valid=round(valid, 3),
        )
        self._on_change()
