"""Checks that callers are answered by the configuration in force.

An operator's change adds and removes queues.  Which version a manager answered
by is seen from which queues it serves and which it does not know.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import math

from tools.soak import checks
from tools.soak import spans as fault_spans

# Within this time from its acknowledgement a change is in force, in seconds.
APPLY_S = 3.0
# A manager that has answered by a version goes on doing so from this time
# later, in seconds: calls on several connections overtake each other.
DOWNGRADE_SLACK_S = 0.25
# Kinds of faults, beside those of the store, that hit several managers.
ALL_MANAGERS = frozenset(
    {"start", "all killed", "managers rejected", "power lost"}
)
IN_TIME = "a confirmed configuration is in force in time"
NEVER_OLDER = "a manager never goes back to an older configuration"
NO_INVALID = "no invalid configuration is taken"
SERVED = "an added queue is served"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Change:
    """A configuration that the operator has written.

    :param version: Its version.
    :param sent: When it was sent, on the monotonic clock.
    :param acknowledged: When the store had acknowledged it.
    :param queues: Names of its queues.
    :param is_valid: Whether managers are to take it.
    :param is_readable: Whether it is invalid for its version alone, which a
        manager that has held no configuration cannot know.
    """

    version: int
    sent: float
    acknowledged: float
    queues: frozenset[str]
    is_valid: bool = True
    is_readable: bool = False


class History:
    """The valid configurations, oldest first.

    :param changes: All changes of the operator, as they were sent.
    """

    def __init__(self, changes):
        valid = [change for change in changes if change.is_valid]
        self.changes = sorted(valid, key=lambda change: change.version)
        self._sent = [change.sent for change in self.changes]

    def find_newest(self, time):
        """Return the index of the newest version sent before a time."""
        return bisect.bisect_left(self._sent, time) - 1

    def find_oldest(self, time):
        """Return the index of the oldest version that may be in force."""
        due = [
            index
            for index, change in enumerate(self.changes)
            if change.acknowledged + APPLY_S <= time
        ]
        return due[-1] if due else 0

    def find_matching(self, answer, first, last):
        """Return the versions that explain an answer, oldest first.

        :param answer: The answer.
        :param first: Index of the oldest version.
        :param last: Index of the newest version.
        """
        return [
            index
            for index in range(first, last + 1)
            if (answer.queue in self.changes[index].queues) == answer.is_known
        ]


def check_configurations(changes, answers, downtimes, spans):
    """Return answers that break a promise about configurations.

    :param changes: All changes of the operator.
    :param answers: Answers about queues.
    :param downtimes: Times at which a manager was down.
    :param spans: Faults with their times.
    """
    history = History(changes)
    if not history.changes:
        return
    valid = {name for one in history.changes for name in one.queues}
    told = [answer for answer in answers if answer.is_known is not None]
    invalid = [one for one in told if one.is_known and one.queue not in valid]
    told = [answer for answer in told if answer not in invalid]
    for answer in invalid:
        if _is_first(changes, answer, downtimes):
            continue
        yield checks.Violation(
            promise=NO_INVALID,
            detail=f"manager {answer.manager} served {answer.queue} "
            f"at {answer.began:.3f}",
        )
    for answer in told:
        yield from _check_in_time(history, answer, spans)
    yield from _check_order(history, told, downtimes)
    for answer in answers:
        yield from _check_served(history, answer, spans)


def _is_first(changes, answer, downtimes):
    """Return whether an older version was the first one a manager read.

    It restarted while the store held that version, and may serve it until the
    next valid one is in force.
    """
    for written, change in enumerate(changes):
        if not change.is_readable or answer.queue not in change.queues:
            continue
        later = [one for one in changes[written:] if one.is_valid]
        replaced = later[0].acknowledged if later else math.inf
        return answer.began <= replaced + APPLY_S and any(
            one.manager == answer.manager
            and one.began < replaced
            and one.ended > change.sent
            for one in downtimes
        )
    return False


def _check_in_time(history, answer, spans):
    first = history.find_oldest(answer.began)
    last = history.find_newest(answer.ended)
    if history.find_matching(answer, first, last):
        return
    if not _is_in_touch(answer, spans):
        return
    yield _make_violation(IN_TIME, answer, history, first)


def _check_order(history, told, downtimes):
    """Check that no process of a manager goes back to an older version."""
    for _, answers in _group_by_process(told, downtimes).items():
        answers.sort(key=lambda answer: answer.ended)
        # When each version or a later one was first seen, by the end of the
        # answer that shows it.
        seen = [(-math.inf, 0)]
        for answer in answers:
            last = history.find_newest(answer.ended)
            least = _find_least(seen, answer.began - DOWNGRADE_SLACK_S)
            matching = history.find_matching(answer, least, last)
            if not matching and history.find_matching(answer, 0, last):
                yield _make_violation(NEVER_OLDER, answer, history, least)
                continue
            if matching and matching[0] > seen[-1][1]:
                seen.append((answer.ended, matching[0]))


def _find_least(seen, time):
    """Return the oldest version that a call sent at a time may meet."""
    return max(version for at, version in seen if at <= time)


def _group_by_process(told, downtimes):
    """Group answers by their manager's process."""
    ends = collections.defaultdict(list)
    for one in downtimes:
        ends[one.manager].append(one.began)
    groups = collections.defaultdict(list)
    for answer in told:
        ends_of_manager = sorted(ends[answer.manager])
        number = bisect.bisect_left(ends_of_manager, answer.ended)
        groups[answer.manager, number].append(answer)
    return groups


def _check_served(history, answer, spans):
    """Check that a queue of all versions that may be in force is served."""
    if answer.status in (200, 404):
        return
    first = history.find_oldest(answer.began)
    last = history.find_newest(answer.ended)
    in_force = history.changes[first : last + 1]
    if not all(answer.queue in change.queues for change in in_force):
        return
    if not _is_in_touch(answer, spans):
        return
    yield _make_violation(SERVED, answer, history, first)


def _is_in_touch(answer, spans):
    """Return whether no fault of a manager or the store is near a call."""
    began = answer.began - fault_spans.CALM_BEFORE_S
    return not any(
        span.began < answer.ended
        and span.ended > began
        and _affects(span, answer.manager)
        for span in spans
    )


def _affects(span, manager):
    """Return whether a fault may affect a manager's answers."""
    if span.manager is not None:
        return span.manager == manager
    return span.kind in ALL_MANAGERS or span.kind.startswith("store ")


def _make_violation(promise, answer, history, first):
    version = history.changes[first].version
    return checks.Violation(
        promise=promise,
        detail=f"manager {answer.manager} answered {answer.status} for "
        f"{answer.queue} at {answer.began:.3f}; version {version} or later "
        "is in force",
    )
