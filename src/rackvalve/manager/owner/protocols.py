"""Protocols of the owner, as the election and worker sessions see it.

They keep these modules from importing ``owner``.
"""

from __future__ import annotations

from typing import Protocol

from rackvalve.manager.election import failures
from rackvalve.scheduling import fencing_tokens
from rackvalve.scheduling import messages
from rackvalve.scheduling import workers


class ElectedOwner(Protocol):
    """The owner as the election sees it.

    :ivar fence: The owner's fencing token.
    :ivar deposed: Why the owner was deposed or stopped; empty before that.
    :ivar failure: The unexpected error that ended its term, if one did.
    :ivar is_loaded: Whether the owner has read all records.
    """

    fence: int
    deposed: str
    failure: failures.Failure | None
    is_loaded: bool

    def start(self) -> None:
        """Start scheduling."""

    def stop(self, reason: str) -> None:
        """Stop scheduling at once; runs on workers continue.

        :param reason: The reason, for logs.
        """

    def note_confirmation(self, now: float) -> None:
        """Record that the store confirmed this process as the owner.

        :param now: When the confirming call was sent, in seconds.
        """


class SessionOwner(Protocol):
    """The owner as its worker sessions see it.

    :ivar tokens: The fencing tokens that the owner shows to workers.
    """

    tokens: fencing_tokens.FencingTokens

    @property
    def committed_revision(self) -> int:
        """The store's revision of the last commit; 0 before the first."""

    def is_stored(self, job: str, write: int) -> bool:
        """Return whether a job's changes up to a write are in the store.

        :param job: The job's identifier.
        :param write: Sequence number of the write.
        """

    def wait_for_commit(self, timeout: float) -> None:
        """Wait until the next commit is in the store.

        :param timeout: Longest wait, in seconds.
        """

    def may_extend(self, now: float) -> bool:
        """Return whether leases on workers may still be extended.

        :param now: Present time, in seconds.
        """

    def depose(self, reason: str) -> None:
        """Record that another owner has taken over.

        :param reason: How this owner learned that.
        """

    def fail(self, worker: str) -> None:
        """Record an unexpected error while a worker's answer was handled.

        :param worker: Identity of the worker.
        """

    def apply_report(
        self, worker: workers.WorkerState, report: messages.Report, now: float
    ) -> None:
        """Apply a worker's report.

        :param worker: The worker.
        :param report: Its report.
        :param now: Present time, in seconds.
        """

    def apply_start_result(
        self,
        placed: workers.PlacedRun,
        result: messages.StartResult,
        uncertain: bool,
    ) -> None:
        """Apply the result of an order to start a run.

        :param placed: The run.
        :param result: The worker's answer.
        :param uncertain: Whether an earlier attempt may still take effect.
        """

    def confirm_stop(self, worker: str, key: workers.RunKey) -> None:
        """Record that a worker has accepted an order to stop a run.

        :param worker: Identity of the worker.
        :param key: Full name of the task and number of the run.
        """

    def switch_incarnation(
        self, worker: workers.WorkerState, born: int
    ) -> None:
        """Switch to the incarnation that answers in place of an earlier one.

        :param worker: The worker's earlier incarnation.
        :param born: When the later one began, in milliseconds since 1970.
        """

    def end_incarnation(self, identity: str, reason: str) -> None:
        """Remove a worker whose incarnation has ended.

        :param identity: The worker's identity.
        :param reason: The proof that it has ended.
        """
