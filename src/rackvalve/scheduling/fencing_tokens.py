"""The fencing tokens that one owner sends to workers.

A worker rejects calls with a lower token than the greatest that it has seen.
A new incarnation has seen none, and would carry out a call that was meant for
an earlier one: a start of a run that is over by now, or a hold that lets the
worker drop ends which the owner has not read.  So each new incarnation is
sent a greater token than any call to the earlier ones.

Each token is the revision of a commit under the ownership: not below the
owner's first token, and below that of any later owner, whose election is a
later commit.
"""

from __future__ import annotations

from rackvalve.scheduling import workers


class FencingTokens:
    """Fencing tokens by incarnation of a worker.

    :param fence: The owner's first token.
    """

    __slots__ = ("_fence", "_tokens", "_greatest")

    def __init__(self, fence: int) -> None:
        self._fence = fence
        # Tokens by identity of the incarnation, and the greatest by name of
        # the worker; the latter are kept as long as this process is owner.
        self._tokens: dict[str, int] = {}
        self._greatest: dict[str, int] = {}

    def find(self, worker: workers.WorkerState) -> int:
        """Return the token for calls to an incarnation.

        :param worker: The incarnation.
        """
        return self._tokens.get(worker.identity, self._fence)

    def raise_for(self, worker: workers.WorkerState, committed: int) -> None:
        """Raise the token of an incarnation that follows an earlier one.

        If nothing was committed since the last token, the token stays: no
        start was ordered and no end acknowledged with it.

        :param worker: The incarnation.
        :param committed: Revision of the owner's last commit.
        """
        name = worker.incarnation.worker
        greatest = max(self._greatest.get(name, self._fence), committed)
        self._greatest[name] = greatest
        self._tokens[worker.identity] = greatest

    def catch_up(self, worker: workers.WorkerState, sent: int) -> bool:
        """Raise a token to the greatest that this owner sent to the worker.

        :param worker: An incarnation that has rejected a token.
        :param sent: The token of the rejected call.
        :return: Whether this owner has sent a greater token; if not, another
            owner has.
        """
        greatest = self._greatest.get(worker.incarnation.worker, self._fence)
        if greatest > self.find(worker):
            self._tokens[worker.identity] = greatest
        return greatest > sent

    def forget(self, identity: str) -> None:
        """Forget an incarnation that has ended.

        :param identity: Identity of the incarnation.
        """
        self._tokens.pop(identity, None)
