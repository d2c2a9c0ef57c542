"""The fencing tokens that one owner shows to workers.

A worker does nothing for a lower token than the greatest that it has seen.  A
life that follows another one has seen none, and would carry out a call that
was meant for the one before: a start of a run that is over by now, or a hold
that lets it forget ends which nobody has read.  So each later life is shown a
greater token than any call to those before it.

Each token is the revision of a commit under the ownership: above the owner's
own, and below that of any later owner, whose taking on is a later change.
"""

from __future__ import annotations

from rackvalve.scheduling import workers


class FencingTokens:
    """Fencing tokens by the life of a worker.

    :param fence: The owner's own.
    """

    __slots__ = ("_fence", "_shown", "_greatest")

    def __init__(self, fence: int) -> None:
        self._fence = fence
        # What lives are shown, by identity; the greatest by name, kept for as
        # long as this process owns.
        self._shown: dict[str, int] = {}
        self._greatest: dict[str, int] = {}

    def find(self, worker: workers.WorkerState) -> int:
        """Return the token that a life is shown.

        :param worker: The life.
        """
        return self._shown.get(worker.identity, self._fence)

    def raise_for(self, worker: workers.WorkerState, committed: int) -> None:
        """Show a life that follows another one a greater token.

        Where nothing was committed since the last one, no start and no end
        was told to the worker under that.

        :param worker: The life.
        :param committed: Revision of the owner's newest commit.
        """
        name = worker.life.worker
        greatest = max(self._greatest.get(name, self._fence), committed)
        self._greatest[name] = greatest
        self._shown[worker.identity] = greatest

    def catch_up(self, worker: workers.WorkerState) -> bool:
        """Take up the greatest token that the worker was shown by this owner.

        :param worker: A life that has refused a token.
        :return: Whether that is a greater one; if not, another owner has
            shown it.
        """
        greatest = self._greatest.get(worker.life.worker, self._fence)
        if greatest <= self.find(worker):
            return False
        self._shown[worker.identity] = greatest
        return True

    def forget(self, identity: str) -> None:
        """Forget a life that is over.

        :param identity: The life.
        """
        self._shown.pop(identity, None)
