"""Intake of submitted and cancelled jobs from the store by an owner.

The owner passes on what its watch over the jobs' records reports.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from rackvalve import clocks
from rackvalve import errors
from rackvalve.jobs import progress
from rackvalve.jobs import records
from rackvalve import logs
from rackvalve.platform import store as stores
from rackvalve.scheduling import cluster as clusters


@dataclasses.dataclass(slots=True, kw_only=True)
class _Stored:
    """What is stored of a job.

    :param items: Its records.
    :param parts: The parts of its progress by number.
    """

    items: dict[records.Part, stores.Item] = dataclasses.field(
        default_factory=dict
    )
    parts: dict[int, bytes] = dataclasses.field(default_factory=dict)


class JobIntake:
    """Applies the records of jobs to one owner's view of the cluster.

    :param cluster: The owner's view of the cluster.
    :param progress: Progress records that were read before the first range.
    :param on_change: Called after records were applied.
    """

    __slots__ = ("_cluster", "_progress", "_on_change")

    def __init__(
        self,
        cluster: clusters.Cluster,
        progress: tuple[stores.Item, ...],
        *,
        on_change: Callable[[], None],
    ) -> None:
        self._cluster = cluster
        self._progress = progress
        self._on_change = on_change

    def apply_range(self, items: tuple[stores.Item, ...]) -> None:
        """Apply all records, at first and after lost history.

        Jobs that are known already stay as they are.

        :param items: All definitions and cancellations.
        """
        by_job = _group(items + self._progress)
        self._progress = ()
        self._apply_all(by_job)
        self._on_change()

    def apply_changes(self, changes: stores.Changes) -> None:
        """Apply submissions and cancellations that the watch reports.

        :param changes: The changes.
        """
        self._apply_all(_group(changes.written))
        self._on_change()

    def _apply_all(self, by_job: dict[tuple[str, str], _Stored]) -> None:
        """Apply the records of several jobs, the first accepted first.

        The order decides which jobs count as sent within the rate of their
        workspace.
        """
        found = [
            self._decode(queue, identity, stored)
            for (queue, identity), stored in by_job.items()
            if records.Part.DEFINITION in stored.items
            and identity not in self._cluster.jobs
        ]
        states = [state for state in found if state is not None]
        for state in sorted(states, key=lambda state: state.accepted):
            self._add(state)
        for (queue, identity), stored in by_job.items():
            if records.Part.CANCEL in stored.items:
                self._cancel(queue, identity)

    def _decode(
        self, queue: str, identity: str, stored: _Stored
    ) -> progress.JobState | None:
        """Decode a job's records; return ``None`` if they are invalid."""
        now = clocks.read_steady()
        defined = stored.items[records.Part.DEFINITION]
        known = stored.items.get(records.Part.PROGRESS)
        try:
            state = records.decode_definition(queue, identity, defined.payload)
            if known is not None:
                records.decode_progress(
                    state, known.payload, now, stored.parts
                )
        except errors.DocumentInvalidError as error:
            logs.write_warning(
                "document.rejected", key=defined.key, reason=error.reason
            )
            return None
        except Exception:
            # One job must not keep the others from being taken.
            logs.write_failure("task.failed", message=defined.key)
            return None
        return state

    def _add(self, state: progress.JobState) -> None:
        self._cluster.add_job(state, clocks.read_steady(), clocks.read_wall())
        logs.write_event(
            "job.taken",
            job=state.identity,
            queue=state.queue,
            workspace=state.workspace,
            guaranteed=state.guaranteed,
            phase=state.phase.value,
            tasks=sum(step.tasks for step in state.job.steps),
            lasting=any(step.lasting for step in state.job.steps),
        )

    def _cancel(self, queue: str, identity: str) -> None:
        state = self._cluster.jobs.get(identity)
        if state is None or state.is_final:
            return
        if state.queue != queue:
            # A job of this identifier was cancelled that is not stored.
            return
        self._cluster.cancel_job(identity, clocks.read_wall())
        logs.write_event(
            "job.cancelled",
            job=identity,
            runs=sum(len(task.runs) for task in state.tasks.values()),
        )


def _group(
    items: tuple[stores.Item, ...],
) -> dict[tuple[str, str], _Stored]:
    """Return the newest records by queue and identifier of their job."""
    by_job: dict[tuple[str, str], _Stored] = {}
    for item in items:
        key = records.parse_key(item.key)
        if key is None:
            continue
        stored = by_job.setdefault((key.queue, key.identity), _Stored())
        if key.part is records.Part.TASKS:
            stored.parts[key.number] = item.payload
        else:
            stored.items[key.part] = item
    return by_job
