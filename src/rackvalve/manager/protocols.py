"""What the tasks of one owner, and the election, need of it and no more."""

from __future__ import annotations

from typing import Protocol

from rackvalve.scheduling import fencing_tokens
from rackvalve.scheduling import messages
from rackvalve.scheduling import workers


class ElectedOwner(Protocol):
    """One owner as the election sees it.

    :ivar fence: Its fencing token.
    :ivar deposed: How it learned of another owner; empty while it has not.
    """

    fence: int
    deposed: str

    def start(self) -> None:
        """Begin to schedule."""

    def stop(self, reason: str) -> None:
        """End all work at once; what runs on workers runs on.

        :param reason: Why, for logs.
        """

    def note_confirmation(self, now: float) -> None:
        """Note that the store knew this process as the owner.

        :param now: When the call that told so was sent, in seconds.
        """


class SessionOwner(Protocol):
    """One owner as its sessions with workers see it.

    :ivar tokens: The fencing tokens that it shows to workers.
    """

    tokens: fencing_tokens.FencingTokens

    @property
    def committed_revision(self) -> int:
        """The store's revision of the newest commit; 0 before the first."""

    @property
    def durable(self) -> int:
        """Number of the last write that is in the store."""

    def wait_for_commit(self, timeout: float) -> None:
        """Wait until something more may be in the store.

        :param timeout: Longest wait, in seconds.
        """

    def may_extend(self, now: float) -> bool:
        """Return whether leases on workers may still be extended.

        :param now: Present time, in seconds.
        """

    def depose(self, reason: str) -> None:
        """Note that another owner has taken over.

        :param reason: How that was learned.
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
        """Apply what became of an order to start a run.

        :param placed: The run.
        :param result: What the worker said.
        :param uncertain: Whether an earlier try may still be carried out.
        """

    def confirm_stop(self, worker: str, key: workers.RunKey) -> None:
        """Note that a worker has taken an order to stop a run.

        :param worker: Identity of the worker.
        :param key: Full name of the task and number of the run.
        """

    def switch_incarnation(
        self, worker: workers.WorkerState, born: int
    ) -> None:
        """Turn to the life that answers in place of an earlier one.

        :param worker: The earlier one.
        :param born: When the later one began, in milliseconds since 1970.
        """

    def end_incarnation(self, identity: str, reason: str) -> None:
        """Forget a worker whose life is over.

        :param identity: The worker.
        :param reason: What proves it.
        """
