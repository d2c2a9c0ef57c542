"""An owner's memory of crashes beyond the counts of single tasks."""

from __future__ import annotations

import collections
import dataclasses

from rackvalve.jobs import progress
from rackvalve.scheduling import crash_series
from rackvalve.scheduling import crashes
from rackvalve.scheduling import crashing_jobs
from rackvalve.scheduling import vm_crashes
from rackvalve.scheduling import workers

# Tasks wait this much longer than until their decision is due, in seconds: a
# plan may come before the check that makes it.  Without it tasks started a
# sixth time right before their job failed.
DECISION_DELAY_S = 0.3


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Decision:
    """What was decided of a job's crashes, for logs.

    :param job: The job.
    :param task: Its task with the most crashes.
    :param is_failed: Whether the job failed.
    :param evidence: The crashes that count against it.
    :param explained: The crashes that a VM explains.
    """

    job: str
    task: str
    is_failed: bool
    evidence: tuple[str, ...]
    explained: tuple[str, ...]


class IsolatedCrash:
    """A crash that counts against one job alone, unless a VM explains it.

    :param crash: The crash.
    :param placed: The isolated run.
    :param is_prompt: Whether it came soon after the run's confirmed start.
    """

    __slots__ = (
        "crash",
        "placed",
        "is_prompt",
        "is_counted",
        "cause",
        "other",
    )

    def __init__(
        self,
        crash: vm_crashes.WorkerCrash,
        placed: workers.PlacedRun,
        *,
        is_prompt: bool,
    ) -> None:
        self.crash = crash
        self.placed = placed
        self.is_prompt = is_prompt
        # Whether it was added to the task's prompt crashes.
        self.is_counted = False
        # What explains it in place of the job; empty for nothing.
        self.cause = ""
        # The other crash, if that is the explanation.
        self.other: vm_crashes.WorkerCrash | None = None

    def describe(self) -> str:
        """Return what callers and operators are told of the crash."""
        age = self.crash.latest - self.placed.run.since
        vm = self.crash.vm or "an unknown VM"
        return (
            f"{self.crash.incarnation} on {vm} at most {age:.2f} s after "
            f"run {self.placed.run.number} was ordered"
        )


class CrashHistory:
    """Recent crashes by pool and VM, and the jobs that failed for crashes."""

    __slots__ = (
        "series",
        "crashing_jobs",
        "vms",
        "prone",
        "isolated",
        "due",
        "is_successor",
        "delayed",
        "decisions",
    )

    def __init__(self) -> None:
        self.series = crash_series.CrashSeries()
        self.crashing_jobs = crashing_jobs.CrashingJobs()
        self.vms = vm_crashes.VmCrashes()
        # VMs that crash repeatedly by themselves.
        self.prone: frozenset[str] = frozenset()
        # Crashes that count against one job each, by job.
        self.isolated: dict[str, list[IsolatedCrash]] = {}
        # When the decision on a job is made, in seconds, by job.
        self.due: dict[str, float] = {}
        # Whether an earlier owner has started runs, and may have seen VMs
        # crash by themselves.
        self.is_successor = False
        # Tasks, with their count of crashes, whose decision was postponed.
        self.delayed: set[tuple[str, int]] = set()
        # Decisions that are not logged yet.
        self.decisions: collections.deque[Decision] = collections.deque()

    def resume(self, state: progress.JobState, now: float) -> None:
        """Have a job decided on whose decision an earlier owner may have left.

        :param state: The job, with the state that its record holds.
        :param now: Present time, in seconds.
        """
        if state.next_run > 1:
            self.is_successor = True
        tasks = [state.tasks[name] for name in state.suspects]
        spent = [one for one in tasks if one.crashes >= crashes.MAX_CRASHES]
        if state.is_final or not spent:
            return
        self.due[state.identity] = now + crash_series.SAME_CAUSE_S
        for task in tasks:
            task.not_before = self.due[state.identity] + DECISION_DELAY_S

    def forget(self, identity: str) -> None:
        """Forget the evidence against a job that has ended.

        :param identity: The job's identifier.
        """
        self.due.pop(identity, None)
        self.isolated.pop(identity, None)
        if not self.delayed:
            return
        self.delayed = {
            key for key in self.delayed if key[0].partition(".")[0] != identity
        }
