"""Decides when a request is relayed, where to, and what its caller is told.

No function or class of this module waits, sends or reads a clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum
import functools
import http
import math

from rackvalve.manager.api import replies
from rackvalve.manager.peers import membership
from rackvalve.manager.peers import relay
from rackvalve.manager import timing

# Methods whose request may change something.
_WRITING = frozenset({"POST", "DELETE"})
# Outcomes of store calls, as the client counts them, with which the store did
# not serve the call: a timeout or a reset, its limit, and its own failures.
_NO_ANSWER = "no answer"
# Outcome of a call that this process has cancelled.
_CANCELLED = "cancelled"
_BUSY = "429"
_FAILURES = "5"
# A timer may end a little before its time, in seconds.
_TIMER_SLACK_S = 0.01


class StoreWait:
    """How long one request waits for a store that does not answer.

    :param deadline: When the request must be answered, in seconds.
    :param limit: Time that may be lost by failed calls, in seconds; infinite
        where requests are not relayed.
    """

    __slots__ = ("deadline", "_limit", "_failing_since")

    def __init__(self, deadline: float, *, limit: float = math.inf) -> None:
        self.deadline = deadline
        self._limit = limit
        # When the first of the calls began that have failed since the last
        # answer, in seconds.
        self._failing_since: float | None = None

    def note_failure(self, began: float) -> None:
        """Record a call that the store did not answer.

        :param began: When the call began, in seconds.
        """
        if self._failing_since is None:
            self._failing_since = began

    def note_answer(self) -> None:
        """Record a call that the store answered."""
        self._failing_since = None

    def is_over(self, now: float) -> bool:
        """Return whether the request waits no longer.

        :param now: Present time, in seconds.
        """
        if now >= self.deadline:
            return True
        if self._failing_since is None:
            return False
        return now - self._failing_since >= self._limit - _TIMER_SLACK_S

    def choose_timeout(self, now: float) -> float | None:
        """Return the timeout of the next call, in seconds.

        :param now: Present time, in seconds.
        :return: The timeout; ``None`` for the client's own.
        """
        if math.isinf(self._limit):
            return None
        began = now if self._failing_since is None else self._failing_since
        left = min(began + self._limit, self.deadline) - now
        return max(left, timing.MIN_RELAY_CALL_S)


class StoreService:
    """Whether the store serves this process."""

    __slots__ = ("_served_at", "_failed_at")

    def __init__(self) -> None:
        # When calls last were answered and failed, in seconds.
        self._served_at = -math.inf
        self._failed_at = -math.inf

    def note_call(self, outcome: str, now: float) -> None:
        """Record a call to the store.

        :param outcome: Its status, or that there was no answer.
        :param now: Present time, in seconds.
        """
        if outcome == _CANCELLED:
            return
        if outcome in (_NO_ANSWER, _BUSY) or outcome.startswith(_FAILURES):
            self._failed_at = now
        else:
            self._served_at = now

    @property
    def is_failing(self) -> bool:
        """Whether the last call has failed."""
        return self._failed_at > self._served_at

    def is_lost(self, now: float) -> bool:
        """Return whether requests need not wait for the store at all.

        A watch without changes is answered after a second, so silence alone
        tells nothing: a call must have failed since the last answer.

        :param now: Present time, in seconds.
        """
        if not self.is_failing:
            return False
        return now - self._served_at >= timing.RELAY_SILENCE_S


def choose_limit(budget: float) -> float:
    """Return how long a request may wait for a store that does not answer.

    :param budget: Time in which the request must be answered, in seconds.
    :return: The time, in seconds.
    """
    return min(timing.RELAY_AFTER_S, budget * timing.RELAY_AFTER_SHARE)


class PeerHealth:
    """Which peers have just failed or are not served by the store."""

    __slots__ = (
        "_failed",
        "_refused",
        "_unanswering",
        "_tried_at",
        "_served_at",
    )

    def __init__(self) -> None:
        # When peers last failed and refused, in seconds, by address.
        self._failed: dict[str, float] = {}
        self._refused: dict[str, float] = {}
        # Peers that gave no answer since a peer last served a request, and
        # when a request was last relayed in spite of them, in seconds.
        self._unanswering: set[str] = set()
        self._tried_at = -math.inf
        # When a peer last served a request, in seconds.
        self._served_at = -math.inf

    def note(self, address: str, outcome: relay.Outcome, now: float) -> None:
        """Record the outcome of an attempt.

        :param address: The peer.
        :param outcome: The outcome.
        :param now: Present time, in seconds.
        """
        effect = judge(outcome, writes=True)
        if effect is Effect.ANSWERED:
            self._failed.pop(address, None)
            self._refused.pop(address, None)
            self._unanswering.clear()
            self._served_at = now
            return
        self._failed[address] = now
        if isinstance(outcome, relay.Unanswered):
            self._unanswering.add(address)
        if effect is Effect.REFUSED:
            self._refused[address] = now

    def rank(
        self, targets: Iterable[membership.Member], now: float
    ) -> list[str]:
        """Return the addresses of targets; those that failed go last.

        :param targets: The targets, the nearest first.
        :param now: Present time, in seconds.
        """
        addresses = [target.address for target in targets]
        return sorted(
            dict.fromkeys(addresses),
            key=lambda address: self._has_failed(address, now),
        )

    def may_serve(self, addresses: Sequence[str], now: float) -> bool:
        """Return whether a peer may be able to serve.

        :param addresses: The targets.
        :param now: Present time, in seconds.
        """
        since = now - timing.RELAY_REFUSAL_MEMORY_S
        unanswering = self._unanswering.intersection(addresses)
        hopeful = [
            address
            for address in addresses
            if address not in unanswering
            and self._refused.get(address, -math.inf) < since
        ]
        if not hopeful and not unanswering:
            return False
        if hopeful and len(self._unanswering) < timing.MIN_UNANSWERING_PEERS:
            return True
        # Attempts that began before a peer served may still time out.
        if now - self._served_at < timing.RELAY_TRIAL_INTERVAL_S:
            return True
        # This manager is cut off, or its other peers refuse.  Each request
        # would wait for its time to pass, so one at a time finds out when
        # peers can be reached again.
        return now - self._tried_at >= timing.RELAY_TRIAL_INTERVAL_S

    def note_relayed(self, now: float) -> None:
        """Record that a request is relayed.

        :param now: Present time, in seconds.
        """
        if self._unanswering:
            self._tried_at = now

    def _has_failed(self, address: str, now: float) -> bool:
        failed = self._failed.get(address, -math.inf)
        return now - failed <= timing.RELAY_FAILURE_MEMORY_S


class Effect(enum.Enum):
    """What one attempt says about its request."""

    # The peer's answer is the request's.
    ANSWERED = "answered"
    # This attempt has not carried the request out and will not do so.
    REFUSED = "refused"
    # This attempt may have carried the request out.
    UNKNOWN = "unknown"


@functools.singledispatch
def judge(outcome: relay.Outcome, *, writes: bool) -> Effect:
    """Return what an attempt says about its request.

    :param outcome: Outcome of the attempt.
    :param writes: Whether the request may change something.
    """
    raise NotImplementedError(type(outcome).__name__)


@judge.register
def _(outcome: relay.NotSent, *, writes: bool) -> Effect:
    return Effect.REFUSED


@judge.register
def _(outcome: relay.Unanswered, *, writes: bool) -> Effect:
    return Effect.UNKNOWN if writes else Effect.REFUSED


@judge.register
def _(outcome: relay.Answered, *, writes: bool) -> Effect:
    if outcome.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        return Effect.REFUSED
    if outcome.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return Effect.UNKNOWN if writes else Effect.REFUSED
    return Effect.ANSWERED


class Attempts:
    """The attempts to have one request answered by peers.

    :param method: HTTP method of the request.
    :param unserved: Why this manager could not answer it.
    :param now: Present time, in seconds.
    :param deadline: When the request must be answered, in seconds.
    """

    __slots__ = (
        "_writes",
        "_unserved",
        "_deadline",
        "_next_at",
        "_uncertain",
        "_answer",
        "_refusal",
        "_reason",
        "pending",
    )

    def __init__(
        self,
        method: str,
        unserved: replies.Unserved,
        now: float,
        deadline: float,
    ) -> None:
        self._writes = method in _WRITING
        self._unserved = unserved
        self._deadline = deadline
        # When the next attempt may begin beside one in flight, in seconds.
        self._next_at = now
        # Whether the request may have been carried out without an answer.
        self._uncertain = unserved.uncertain
        self._answer: relay.Answered | None = None
        self._refusal: relay.Answered | None = None
        self._reason = ""
        # Attempts in flight.
        self.pending = 0

    def may_begin(self, now: float) -> bool:
        """Return whether another attempt may begin.

        :param now: Present time, in seconds.
        """
        if self.is_settled or now >= self._deadline:
            return False
        if self._answer is not None:
            return False
        if not self.pending:
            return True
        return (
            now >= self._next_at and self.pending < timing.MAX_RELAY_ATTEMPTS
        )

    def note_begun(self, now: float) -> None:
        """Record the begin of an attempt.

        :param now: Present time, in seconds.
        """
        self.pending += 1
        self._next_at = now + (self._deadline - now) / 2

    def note_outcome(self, address: str, outcome: relay.Outcome) -> None:
        """Record the end of an attempt.

        :param address: The peer.
        :param outcome: Its outcome.
        """
        self.pending -= 1
        effect = judge(outcome, writes=self._writes)
        if effect is Effect.ANSWERED:
            assert isinstance(outcome, relay.Answered)
            if self._answer is None or _is_success(outcome):
                self._answer = outcome
        else:
            self._uncertain |= effect is Effect.UNKNOWN
            if isinstance(outcome, relay.Answered):
                self._refusal = outcome
        if outcome.reason:
            self._reason = f"{address}: {outcome.reason}"

    def note_refused(self, reason: str) -> None:
        """Record why no further attempt is made.

        :param reason: The reason, for logs.
        """
        self._reason = reason

    @property
    def is_settled(self) -> bool:
        """Whether no further outcome can change the reply."""
        if self._answer is None:
            return False
        return _is_success(self._answer) or not (self._writes and self.pending)

    def choose_wait(self, now: float, *, may_begin: bool) -> float:
        """Return how long to wait for an outcome, in seconds.

        :param now: Present time, in seconds.
        :param may_begin: Whether there is another peer to try.
        """
        until = self._deadline
        if (
            may_begin
            and self._answer is None
            and self.pending < timing.MAX_RELAY_ATTEMPTS
        ):
            until = min(until, self._next_at)
        return max(0.0, until - now)

    def conclude(self) -> replies.Reply:
        """Return the reply to the caller.

        A peer's rejection is passed on only if no attempt, of this manager or
        by a peer, can have carried the request out.
        """
        uncertain = self._uncertain or (self._writes and self.pending > 0)
        answer = self._answer
        if answer is not None and (_is_success(answer) or not uncertain):
            return replies.Reply(
                status=http.HTTPStatus(answer.status),
                body=answer.body,
                reason=self._reason if not _is_success(answer) else "",
            )
        reason = self._unserved.reason
        if self._reason:
            reason = f"{reason}; relayed: {self._reason}"
        refusal = self._refusal
        return dataclasses.replace(
            replies.make_failure(
                replies.Unserved(reason=reason, uncertain=uncertain)
            ),
            retry_after=refusal.retry_after if refusal else 0,
        )


def _is_success(answer: relay.Answered) -> bool:
    return answer.status < http.HTTPStatus.MULTIPLE_CHOICES


def choose_retry_after(draw: float, *, is_outage: bool) -> int:
    """Return the value of Retry-After where requests are relayed, in seconds.

    :param draw: Random number, from 0 to below 1.
    :param is_outage: Whether the store does not serve this process.
    """
    if not is_outage:
        return timing.RETRY_AFTER_S
    span = timing.MAX_RETRY_AFTER_OUTAGE_S - timing.RETRY_AFTER_S + 1
    return timing.RETRY_AFTER_S + int(draw * span)


def limit_retry_after(seconds: int, deadline: float | None) -> int:
    """Return a Retry-After with which the caller can still be served.

    A caller that is told to return after its deadline is lost, even if the
    outage ends before.

    :param seconds: Retry-After, in seconds.
    :param deadline: The caller's deadline from now, in seconds; ``None`` if it
        gave none.
    """
    if deadline is None:
        return seconds
    most = int(deadline * timing.RETRY_AFTER_SHARE)
    return max(timing.RETRY_AFTER_S, min(seconds, most))
