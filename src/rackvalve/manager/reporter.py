"""Tells in log lines and measures what an owner decides."""

from __future__ import annotations

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager import timing
from rackvalve.scheduling import book as books
from rackvalve.scheduling import messages
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import reports
from rackvalve import telemetry as telemetries


class Reporter:
    """Tells of one owner's orders, of ends of runs, and of bounds.

    :param book: The owner's book.
    :param handler: Handles the reports of workers.
    :param planner: Plans the runs.
    :param telemetry: Counts what happens.
    """

    __slots__ = ("_book", "_handler", "_planner", "_telemetry", "_held_at")

    def __init__(
        self,
        book: books.Book,
        handler: reports.Handler,
        planner: planners.Planner,
        telemetry: telemetries.Telemetry,
    ) -> None:
        self._book = book
        self._handler = handler
        self._planner = planner
        self._telemetry = telemetry
        # When workspaces at their bounds were told of last, in seconds.
        self._held_at = float("-inf")

    def log_order(self, order: messages.Order) -> None:
        """Tell of an order to a worker.

        :param order: The order.
        """
        if isinstance(order, messages.StartRun):
            self._count_start(order)
            logs.write_event(
                "run.ordered",
                job=order.job,
                task=str(order.task),
                run=order.run,
                worker=order.worker,
            )
        elif isinstance(order, messages.StopRun):
            logs.write_event(
                "run.stopping",
                task=order.task,
                run=order.run,
                worker=order.worker,
                reason=order.reason,
            )
        else:
            logs.write_event(
                "run.paced",
                task=order.task,
                run=order.run,
                worker=order.worker,
                percent=order.percent,
            )

    def _count_start(self, order: messages.StartRun) -> None:
        state = self._book.jobs[order.job]
        self._telemetry.runs_ordered.labels(state.queue).inc()
        if order.run == 1:
            waited = clocks.read_steady() - state.arrived
            self._telemetry.job_wait.labels(state.queue).observe(waited)

    def log_held(self, now: float) -> None:
        """Tell which workspaces are at their bounds, once a second.

        :param now: Present time, in seconds.
        """
        if now - self._held_at < timing.SIZES_LOG_INTERVAL_S:
            return
        self._held_at = now
        for name, tasks in self._planner.held.items():
            workspace = self._book.configuration.workspaces.find(name)
            if not tasks or workspace is None:
                continue
            used = self._book.usage.used(name)
            logs.write_event(
                "workspace.held",
                workspace=name,
                tasks=tasks,
                cpu=used.cpu,
                cpu_bound=workspace.bound.cpu,
                memory=used.memory,
                memory_bound=workspace.bound.memory,
                gpu=used.gpu,
                gpu_bound=workspace.bound.gpu,
                version=self._book.configuration.version,
            )

    def log_ends(self) -> None:
        """Tell of the ends that were handled since the last time."""
        for end in self._handler.ended:
            self._telemetry.runs_ended.labels(end.cause).inc()
            logs.write_event(
                "run.ended",
                task=end.task,
                run=end.run,
                worker=end.worker,
                cause=end.cause,
                counted=end.counted,
            )
        self._handler.ended.clear()
