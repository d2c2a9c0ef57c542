"""Writes an owner's decisions and their results to logs and metrics."""

from __future__ import annotations

import collections

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager.owner import evacuation_reporter
from rackvalve.manager import timing
from rackvalve.scheduling import blockers
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import eviction
from rackvalve.scheduling import messages
from rackvalve.scheduling import planner as planners
from rackvalve.scheduling import releases
from rackvalve.scheduling import reports
from rackvalve.scheduling import stalls
from rackvalve.scheduling import workers
from rackvalve import telemetry as telemetries

# Most workers that one log line names.
MAX_LOGGED_WORKERS = 5


class Reporter:
    """Logs and counts one owner's orders, ended runs, bounds and stalled jobs.

    :param cluster: The owner's view of the cluster.
    :param handler: Applies workers' reports.
    :param planner: Plans the runs.
    :param telemetry: The metrics.
    """

    __slots__ = (
        "_cluster",
        "_handler",
        "_planner",
        "_telemetry",
        "_bounds_logged_at",
        "_stall_detector",
        "_scanned_at",
        "_evacuations",
        "_crashing_vms",
        "_vms_logged_at",
    )

    def __init__(
        self,
        cluster: clusters.Cluster,
        handler: reports.Handler,
        planner: planners.Planner,
        telemetry: telemetries.Telemetry,
    ) -> None:
        self._cluster = cluster
        self._handler = handler
        self._planner = planner
        self._telemetry = telemetry
        # When workspaces at their bounds were last logged, in seconds.
        self._bounds_logged_at = float("-inf")
        self._stall_detector = stalls.StallDetector(
            cluster, planner, timing.FRESHNESS_S
        )
        # When the last scan for stalled jobs was made, in seconds.
        self._scanned_at = float("-inf")
        self._evacuations = evacuation_reporter.EvacuationReporter(
            cluster, telemetry
        )
        # How often VMs had crashed by themselves, by VM and pool, when they
        # were last logged, and when that was, in seconds.
        self._crashing_vms: dict[tuple[str, str], int] = {}
        self._vms_logged_at = float("-inf")

    def close(self) -> None:
        """Reset this owner's gauges, since another process may own."""
        self._evacuations.close()
        for _, pool in self._crashing_vms:
            self._telemetry.vms_crashing.labels(pool).set(0)
        for cause in blockers.Cause:
            self._telemetry.jobs_standing.labels(cause.value).set(0)

    def log_end(
        self, fence: int, reason: str, seconds: float, *, is_loaded: bool
    ) -> None:
        """Log how far this owner has come with the workers.

        :param fence: Its fencing token.
        :param reason: Why it ends.
        :param seconds: How long it owned.
        :param is_loaded: Whether it has read all records.
        """
        known = self._cluster.workers.values()
        logs.write_event(
            "owner.ended",
            fence=fence,
            reason=reason,
            seconds=round(seconds, 3),
            loaded=is_loaded,
            workers=len(known),
            established=sum(worker.established for worker in known),
            extended=sum(worker.is_extended for worker in known),
        )

    def log_order(self, order: messages.Order) -> None:
        """Log an order to a worker, and count a start.

        :param order: The order.
        """
        if isinstance(order, messages.StartRun):
            self._count_start(order)
            task = self._cluster.jobs[order.job].tasks[order.task]
            logs.write_event(
                "run.ordered",
                job=order.job,
                task=str(order.task),
                run=order.run,
                worker=order.worker,
                crashes=task.crashes,
                isolated=task.isolated_run == order.run,
            )
        elif isinstance(order, messages.StopRun):
            logs.write_event(
                "run.stopping",
                task=order.task,
                run=order.run,
                worker=order.worker,
                reason=order.reason,
                **self._describe_step(order),
            )
        else:
            logs.write_event(
                "run.paced",
                task=order.task,
                run=order.run,
                worker=order.worker,
                percent=order.percent,
            )

    def _describe_step(self, order: messages.StopRun) -> dict[str, int]:
        """Return how many other tasks of a lasting step are away."""
        worker = self._cluster.workers.get(order.worker)
        placed = (
            worker.runs.get((order.task, order.run))
            if worker is not None
            else None
        )
        if placed is None or not placed.step.lasting:
            return {}
        return {
            "away": eviction.count_away(
                self._cluster, placed.state, placed.task, clocks.read_steady()
            ),
            "most_away": placed.step.most_away,
        }

    def _count_start(self, order: messages.StartRun) -> None:
        state = self._cluster.jobs[order.job]
        self._telemetry.runs_ordered.labels(state.queue).inc()
        if order.run == 1:
            waited = clocks.read_steady() - state.arrived
            self._telemetry.job_wait.labels(state.queue).observe(waited)

    def log_bounds(self, now: float) -> None:
        """Log the workspaces that are at their bounds, once a second.

        :param now: Present time, in seconds.
        """
        if now - self._bounds_logged_at < timing.SIZES_LOG_INTERVAL_S:
            return
        self._bounds_logged_at = now
        for name, tasks in self._planner.held.items():
            workspace = self._cluster.configuration.workspaces.find(name)
            if not tasks or workspace is None:
                continue
            used = self._cluster.usage.used(name)
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
                version=self._cluster.configuration.version,
            )

    def log_load(self, fence: int, seconds: float) -> None:
        """Log that the owner has read all records.

        :param fence: The owner's fencing token.
        :param seconds: How long that took, in seconds.
        """
        logs.write_event(
            "owner.loaded",
            fence=fence,
            jobs=len(self._cluster.jobs),
            workers=len(self._cluster.workers),
            seconds=round(seconds, 3),
        )

    def log_refused(self, key: str, size: int) -> None:
        """Log and count a record that the store refuses for its content.

        :param key: The record's key.
        :param size: Size of its value, in bytes.
        """
        self._telemetry.records_refused.inc()
        logs.write_warning("record.refused", key=key, size=size)

    def log_rejected(
        self,
        placed: workers.PlacedRun,
        result: messages.StartResult,
        *,
        uncertain: bool,
    ) -> None:
        """Log and count a start that was not taken.

        :param placed: The run.
        :param result: Why it was not taken.
        :param uncertain: Whether an earlier attempt may have been taken.
        """
        self._telemetry.starts_rejected.labels(result.value).inc()
        logs.write_warning(
            "run.rejected",
            job=placed.state.identity,
            task=str(placed.task.name),
            run=placed.run.number,
            worker=placed.run.worker,
            reason=result.value,
            uncertain=uncertain,
        )

    def log_begun(self) -> None:
        """Log the jobs that have begun since the last call."""
        now = clocks.read_steady()
        for state in self._cluster.begun:
            logs.write_event(
                "job.begun",
                job=state.identity,
                queue=state.queue,
                seconds=round(now - state.arrived, 3),
            )
        self._cluster.begun.clear()

    def log_ends(self) -> None:
        """Log and count the ended runs handled since the last call."""
        for end in self._handler.ended:
            if end.counted:
                self._stall_detector.note_end(end.task)
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

    def log_release(self, release: releases.Release) -> None:
        """Log and count runs that were released by a proof.

        :param release: The runs and the proof.
        """
        if not release.runs:
            return
        logs.write_event(
            "worker.released",
            on_vm=release.vm,
            proof=release.proof,
            fate=release.fate.value,
            runs=len(release.runs),
        )
        self._telemetry.workers_released.labels(release.fate.value).inc()
        for run in release.runs:
            self._telemetry.runs_ended.labels(release.proof).inc()
            logs.write_event(
                "run.ended",
                task=run.task,
                run=run.number,
                worker=release.worker,
                cause=release.proof,
                counted=True,
                age=round(run.age, 3),
                crashes=run.crashes,
                isolated_crashes=run.isolated_crashes,
            )

    def log_evacuations(self, now: float) -> None:
        """Log and measure the progress of evacuations.

        :param now: Present time, in seconds.
        """
        self._evacuations.report(now)

    def log_crashes(self, now: float) -> None:
        """Log decisions on crashes, and VMs that crash by themselves.

        :param now: Present time, in seconds.
        """
        history = self._cluster.crash_history
        while history.decisions:
            decision = history.decisions.popleft()
            logs.write_event(
                "crash.decided",
                job=decision.job,
                task=decision.task,
                failed=decision.is_failed,
                evidence=list(decision.evidence),
                explained=list(decision.explained),
            )
        if now - self._vms_logged_at < timing.SIZES_LOG_INTERVAL_S:
            return
        self._vms_logged_at = now
        found = history.vms.count_by_vm()
        for (vm, pool), count in found.items():
            if self._crashing_vms.get((vm, pool), 0) < count:
                logs.write_warning(
                    "vm.crashing", on_vm=vm, pool=pool, crashes=count
                )
        pools = {pool for _, pool in found.keys() | self._crashing_vms.keys()}
        for pool in pools:
            own = sum(one == pool for _, one in found)
            self._telemetry.vms_crashing.labels(pool).set(own)
        self._crashing_vms = found

    def log_stalls(self, now: float) -> None:
        """Log and count stalled jobs, once a second.

        :param now: Present time, in seconds.
        """
        if now - self._scanned_at < timing.SIZES_LOG_INTERVAL_S:
            return
        self._scanned_at = now
        found = self._stall_detector.scan(now)
        counts = found.count()
        for cause in blockers.Cause:
            gauge = self._telemetry.jobs_standing.labels(cause.value)
            gauge.set(counts[cause])
        for pool in found.pools:
            _log_pool(pool, found.unjudged)
        for job in found.jobs:
            _log_job(job)


def _log_pool(pool: stalls.StalledPool, unjudged: int) -> None:
    logs.write_event(
        "pool.standing",
        pool=pool.pool,
        jobs=pool.causes.total(),
        unjudged=unjudged,
        reasons=_list_counts(pool.causes),
        workers=_list_counts(pool.workers),
        job=pool.oldest.job,
        task=pool.oldest.task,
        queue=pool.oldest.queue,
        seconds=round(pool.oldest.seconds, 3),
        reason=pool.oldest.cause.value,
        overtaken=pool.overtaken,
    )


def _log_job(job: stalls.StalledJob) -> None:
    fields: dict[str, logs.Field] = {}
    blocker = job.blocker
    if blocker.need is not None:
        fields["cpu"] = blocker.need.cpu
        fields["memory"] = blocker.need.memory
        fields["gpu"] = blocker.need.gpu
    if blocker.workers:
        fields["workers"] = list(blocker.workers[:MAX_LOGGED_WORKERS])
    if blocker.proof_in is not None:
        fields["proof_in"] = round(blocker.proof_in, 3)
    if blocker.awaited is not None:
        fields["awaited"] = blocker.awaited.value
    logs.write_event(
        "job.standing",
        job=job.job,
        task=job.task,
        queue=job.queue,
        pool=blocker.pool,
        workspace=job.workspace,
        reason=job.cause.value,
        seconds=round(job.seconds, 3),
        waiting=job.waiting,
        **fields,
    )


def _list_counts(
    counts: collections.Counter[blockers.Cause]
    | collections.Counter[blockers.Availability],
) -> list[str]:
    """Return non-zero counts as texts, the greatest first."""
    return [
        f"{key.value}: {count}" for key, count in counts.most_common() if count
    ]
