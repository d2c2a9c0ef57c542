"""Racks and halls whose workers stop answering together.

A rack that loses its power or its network takes all its workers at once.  The
first of them that are overdue show it, so that no more runs are started on the
others, whose last answers are still recent.  Suspicion is no proof: the runs
there are released by the same proofs as without it.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum

from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import domains
from rackvalve.scheduling import workers

# A worker that has not answered for this long is overdue, in seconds: holds
# are answered after half a second.
OVERDUE_S = 0.6
# A worker that had not answered for this long before is no part of an event,
# in seconds.  It is the time after which a single worker counts as silent.
SILENCE_S = 1.2
# Workers whose last answers are this close together failed together, in
# seconds.  Holds of half a second spread the last answers of a rack over that
# time, so that the window holds most, and not all, of its workers.
WINDOW_S = 0.3
# Fewest workers that make an event, and the least part of those of the domain
# that worked until then.
MIN_WORKERS = 2
MIN_PART = 0.5
# While this part of all workers is overdue this process itself is cut off;
# the workers are asked again within this time, in seconds.  The first overdue
# workers of a cut-off look like the loss of their racks, so that the events of
# this time before it are withdrawn.
CUT_OFF_PART = 0.5
CUT_OFF_PAUSE_S = 0.6
# A check that comes this long after the one before shows that this process
# was paused for longer than the margin of OVERDUE_S, in seconds.  Answers that
# waited meanwhile are read within the second time.
MAX_CHECK_GAP_S = 0.2
STALL_PAUSE_S = 0.2
# A domain none of whose workers has an entry any more is suspected for this
# long, in seconds: racks are known to be gone for 6 to 8 s.
MAX_EMPTY_S = 10.0


class Kind(enum.Enum):
    """Kind of a failure domain."""

    RACK = "rack"
    HALL = "hall"


class ClearReason(enum.Enum):
    """Why a domain is no longer suspected."""

    ANSWERS = "at least half of its workers answer"
    GONE = "none of its workers has an entry"
    CUT_OFF = "half of all workers are overdue"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Domain:
    """A rack or a hall.

    :param hall: The data hall.
    :param rack: The rack; empty for the whole hall.
    """

    hall: str
    rack: str = ""

    @property
    def kind(self) -> Kind:
        """Whether it is a rack or a hall."""
        return Kind.RACK if self.rack else Kind.HALL


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Suspected:
    """The workers of a domain have stopped answering together.

    :param domain: The rack or hall.
    :param overdue: How many workers are overdue, which shows it.
    :param working: How many of the domain worked until then.
    :param workers: Identities of all its workers, which get no new runs until
        they answer.
    """

    domain: Domain
    overdue: int
    working: int
    workers: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Cleared:
    """A domain is no longer suspected.

    :param domain: The rack or hall.
    :param reason: Why.
    :param answering: How many of its workers have answered since the event.
    :param missing: How many have not and still have an entry.
    :param seconds: Time since the event, in seconds.
    """

    domain: Domain
    reason: ClearReason
    answering: int
    missing: int
    seconds: float


Change = Suspected | Cleared


class SuspicionTracker:
    """Compares the last answers of the workers of each rack and hall.

    :param cluster: The owner's view of the cluster.
    """

    __slots__ = (
        "_cluster",
        "_heard",
        "_checked_at",
        "_quiet_until",
        "_since",
        "missing",
    )

    def __init__(self, cluster: clusters.Cluster) -> None:
        self._cluster = cluster
        # When each worker's last answer came, in seconds.  A worker that is
        # proved lost forgets it, and still belongs to the event.
        self._heard: dict[str, float] | None = None
        self._checked_at = float("inf")
        # Until when no event is found, in seconds.
        self._quiet_until = float("-inf")
        # Time of the last event of each suspected domain, in seconds.
        self._since: dict[Domain, float] = {}
        # Overdue workers of suspected domains, by identity.
        self.missing: frozenset[str] = frozenset()

    @property
    def is_active(self) -> bool:
        """Whether this deployment regards failure domains."""
        return self._cluster.policy.failure_domains

    @property
    def suspected(self) -> list[Domain]:
        """The suspected racks and halls."""
        return list(self._since)

    def covers(self, vm: str) -> bool:
        """Return whether a VM's rack or hall is suspected.

        :param vm: The VM.
        """
        if not self._since:
            return False
        place = self._cluster.locations.find(vm)
        return any(domain in self._since for domain in _list_domains(place))

    def check(self, now: float) -> list[Change]:
        """Find domains that became suspected, or no longer are.

        :param now: Present time, in seconds.
        """
        if not self.is_active:
            return []
        present = [
            worker
            for worker in self._cluster.workers.values()
            if worker.entry is not None and not worker.replaced
        ]
        heard = self._note_answers(present, now)
        judged = [worker for worker in present if _is_judged(worker, heard)]
        overdue = {
            worker.identity
            for worker in judged
            if now - heard[worker.identity] > OVERDUE_S
        }
        changes: list[Change] = []
        changes.extend(self._find_cleared(present, now))
        self._note_stall(now)
        if overdue and len(overdue) >= len(judged) * CUT_OFF_PART:
            self._quiet_until = now + CUT_OFF_PAUSE_S
            changes.extend(self._withdraw(present, now))
        if now < self._quiet_until:
            self.missing = frozenset()
            return changes
        fresh = any(now - heard[name] <= SILENCE_S for name in overdue)
        # The workers are grouped only when there may be an event.
        groups = self._group(judged) if fresh else {}
        for domain, members in groups.items():
            found = self._find_failed(domain, members, overdue, now)
            if found is not None:
                changes.append(self._suspect(domain, found, present, now))
        self.missing = frozenset(
            worker.identity
            for worker in judged
            if worker.identity in overdue and worker.is_suspected
        )
        return changes

    def _note_stall(self, now: float) -> None:
        """Find no event just after this process was paused."""
        if now - self._checked_at > MAX_CHECK_GAP_S:
            self._quiet_until = max(self._quiet_until, now + STALL_PAUSE_S)
        self._checked_at = now

    def _withdraw(
        self, present: Iterable[workers.WorkerState], now: float
    ) -> list[Cleared]:
        """Withdraw the latest events."""
        withdrawn = [
            (domain, since)
            for domain, since in self._since.items()
            if now - since < CUT_OFF_PAUSE_S
        ]
        times = {since for _, since in withdrawn}
        for worker in present:
            if worker.suspected_at in times:
                worker.suspected_at = None
        for domain, _ in withdrawn:
            del self._since[domain]
        return [
            Cleared(
                domain=domain,
                reason=ClearReason.CUT_OFF,
                answering=0,
                missing=0,
                seconds=now - since,
            )
            for domain, since in withdrawn
        ]

    def _note_answers(
        self, present: Iterable[workers.WorkerState], now: float
    ) -> dict[str, float]:
        """Return when each worker was last heard.

        A new owner takes the workers that it finds to have worked until then,
        and gives them the time that a single worker has, as it has yet to
        reach all of them.  A worker that comes later works once it answers.
        """
        known = self._heard
        heard: dict[str, float] = {}
        for worker in present:
            before = float("-inf")
            if known is None:
                before = now + SILENCE_S - OVERDUE_S
            elif worker.identity in known:
                before = known[worker.identity]
            last = max(before, worker.last_answer_at)
            if last > float("-inf"):
                heard[worker.identity] = last
        if known is not None or heard:
            self._heard = heard
        return heard

    def _group(
        self, judged: Iterable[workers.WorkerState]
    ) -> dict[Domain, list[workers.WorkerState]]:
        """Return the workers of each rack and each hall."""
        groups: dict[Domain, list[workers.WorkerState]] = {}
        for worker in judged:
            for domain in _list_domains(self._find_place(worker)):
                groups.setdefault(domain, []).append(worker)
        return groups

    def _find_failed(
        self,
        domain: Domain,
        members: Sequence[workers.WorkerState],
        overdue: set[str],
        now: float,
    ) -> tuple[int, int] | None:
        """Return how many workers failed, and how many worked until then.

        :return: ``None`` if it is no event.
        """
        assert self._heard is not None
        heard = self._heard
        since = self._since.get(domain, float("-inf"))
        # Those that worked until recently, and after any earlier event.
        working = [
            worker
            for worker in members
            if now - heard[worker.identity] <= SILENCE_S
            and heard[worker.identity] > since
        ]
        failed = [worker for worker in working if worker.identity in overdue]
        if not _is_event(len(failed), len(working)):
            return None
        times = sorted(heard[worker.identity] for worker in failed)
        best = max(
            sum(1 for time in times if first <= time <= first + WINDOW_S)
            for first in times
        )
        if not _is_event(best, len(working)):
            return None
        if not domain.rack:
            # Otherwise the loss of one of two racks would suspect the hall.
            places = {self._find_place(worker).domain for worker in failed}
            if len(places) < MIN_WORKERS:
                return None
        return len(failed), len(working)

    def _suspect(
        self,
        domain: Domain,
        counts: tuple[int, int],
        present: Iterable[workers.WorkerState],
        now: float,
    ) -> Suspected:
        self._since[domain] = now
        members = [
            worker
            for worker in present
            if domain in _list_domains(self._find_place(worker))
        ]
        for worker in members:
            worker.suspected_at = now
        overdue, working = counts
        return Suspected(
            domain=domain,
            overdue=overdue,
            working=working,
            workers=tuple(worker.identity for worker in members),
        )

    def _find_cleared(
        self, present: Iterable[workers.WorkerState], now: float
    ) -> list[Cleared]:
        """Clear domains of which at least half answer again.

        More than half would keep a rack of two VMs suspected until both are
        back.
        """
        if not self._since:
            return []
        answering = dict.fromkeys(self._since, 0)
        missing = dict.fromkeys(self._since, 0)
        for worker in present:
            for domain in _list_domains(self._find_place(worker)):
                since = self._since.get(domain)
                if since is None:
                    continue
                if worker.last_answer_at > since:
                    answering[domain] += 1
                elif worker.entry_missing_since is None:
                    missing[domain] += 1
        cleared = []
        for domain, since in list(self._since.items()):
            is_empty = not answering[domain] and not missing[domain]
            if is_empty and now - since <= MAX_EMPTY_S:
                continue
            if not is_empty and answering[domain] < missing[domain]:
                continue
            del self._since[domain]
            cleared.append(
                Cleared(
                    domain=domain,
                    reason=(
                        ClearReason.GONE if is_empty else ClearReason.ANSWERS
                    ),
                    answering=answering[domain],
                    missing=missing[domain],
                    seconds=now - since,
                )
            )
        return cleared

    def _find_place(self, worker: workers.WorkerState) -> domains.Place:
        assert worker.entry is not None
        return self._cluster.locations.find(worker.entry.vm)


def _is_judged(worker: workers.WorkerState, heard: dict[str, float]) -> bool:
    """Return whether a worker's silence counts.

    A worker that drains, or whose VM was ordered to move or to be maintained,
    ends as planned: waves take several VMs of a rack at once.
    """
    entry = worker.entry
    assert entry is not None
    planned = entry.draining or worker.ordered_away
    return worker.identity in heard and not planned


def _is_event(failed: int, working: int) -> bool:
    return failed >= MIN_WORKERS and failed >= working * MIN_PART


def _list_domains(place: domains.Place) -> list[Domain]:
    """Return the rack and the hall of a place, as far as they are known."""
    found = []
    if place.rack:
        found.append(Domain(hall=place.hall, rack=place.rack))
    if place.hall:
        found.append(Domain(hall=place.hall))
    return found
