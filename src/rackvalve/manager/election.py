"""Who owns the scheduling: one process of the site, by two keys in the store.

An owner's term is a key without a lease, written by whoever takes the
ownership; its revision is the fencing token, so that tokens rise with each
change of owner, and every record of the owner is written under the condition
that it still stands.  Beside it a key with the owner's lease keeps others from
trying.  The end of that lease proves nothing against the owner: an outage of
the store ends it though the owner is well.  While the term stands nobody else
has owned meanwhile, and the owner opens a new lease and goes on with all that
it knows.  :mod:`rackvalve.manager.candidacy` decides which process goes first.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import random

import gevent
from gevent import event

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager import candidacy
from rackvalve.manager import protocols
from rackvalve.manager import timing
from rackvalve.manager import watcher as watchers
from rackvalve.platform import store as stores
from rackvalve import tasks
from rackvalve import telemetry as telemetries

PREFIX = "owner/"
KEY = PREFIX + "scheduling"
TERM_KEY = PREFIX + "term"
# The last process that has asked the owner to hand over.
REQUEST_KEY = PREFIX + "request"
# Candidates try at different times, so that one wins without conflict.
CANDIDACY_SPREAD_S = 0.02
# A lease is replaced if it is too long or too short by more than this, in
# seconds: that takes two calls.
LEASE_TOLERANCE_S = 0.3
_TAKEN_BY_ANOTHER = "another process has taken the ownership"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Lease:
    """A lease that was opened.

    :param identity: Its number.
    :param length: The length that was asked for, in seconds: the store may
        give a longer one, which is no reason to open another.
    """

    identity: int
    length: float


class Election:
    """Takes the ownership whenever it is free.

    :param store: The store.
    :param name: Name of this process, unlike those of all others.
    :param cores: Processor of this VM, in cores of the usual speed.
    :param make_owner: Makes the owner for a fencing token.
    :param may_own: Whether this process knows enough to own.
    :param telemetry: Counts the changes.
    :param on_contact: Called at each answer of the store.
    """

    def __init__(
        self,
        store: stores.Store,
        name: str,
        *,
        cores: float,
        make_owner: Callable[[int], protocols.ElectedOwner | None],
        may_own: Callable[[], bool],
        telemetry: telemetries.Telemetry,
        on_contact: Callable[[], None],
    ) -> None:
        self._store = store
        self._name = name
        self._make_owner = make_owner
        self._may_own = may_own
        self._telemetry = telemetry
        self._on_contact = on_contact
        self._known_cores = candidacy.KnownCores(own=cores, largest=cores)
        self._holder: stores.Item | None = None
        self._term: stores.Item | None = None
        # When the store last answered, and when it last did so after a pause
        # that no answer of a store that is well takes, in seconds.
        self._answered = clocks.read_steady()
        self._returned = float("-inf")
        # Since when the present holder is known, in seconds.
        self._held_since = 0.0
        self._request: stores.Item | None = None
        self._known = False
        self._changed = event.Event()
        self._owner: protocols.ElectedOwner | None = None
        self._lease = 0
        # Its length, in seconds, and what it should be as late as we are.
        self._lease_length = timing.MIN_OWNER_LEASE_S
        # Whether the key is known to end with that lease, and with no other.
        self._is_bound = True
        self._lateness = candidacy.DelayHistory()
        self._resigned = False
        self._tries = 0

    def start(self) -> tuple[gevent.Greenlet, ...]:
        """Take part, until the greenlets that this returns are killed.

        Each begins anew after an error that nobody expected: a process that
        takes no part any more looks well, and is of no use to the others.
        """
        watcher = watchers.Watcher(
            self._store,
            PREFIX,
            on_range=self._take_range,
            on_changes=self._take_changes,
            on_contact=self._note_answer,
        )
        pause = timing.TASK_RESTART_DELAY_S
        return (
            tasks.run_forever("ownership watch", pause, watcher.run),
            tasks.run_forever("ownership", pause, self._take_part),
        )

    def _take_part(self) -> None:
        while True:
            self._wait()
            if self._owner is not None:
                self._keep()
            elif not self._known or not self._may_own() or self._resigned:
                continue
            elif self._holder is None:
                self._campaign()
            else:
                self._ask_holder()

    def _wait(self) -> None:
        """Wait for a change, or until it is time for the next renewal."""
        began = clocks.read_steady()
        self._changed.wait(timing.OWNER_RENEWAL_INTERVAL_S)
        self._changed.clear()
        now = clocks.read_steady()
        self._lateness.note(now - began - timing.OWNER_RENEWAL_INTERVAL_S, now)

    def _open_lease(self) -> _Lease | None:
        """Open a lease as long as this process needs one.

        :return: The lease; ``None`` if the store does not answer.
        """
        length = self._lateness.choose_lease_length(clocks.read_steady())
        lease = self._open_lease_of(length)
        wanted = self._lateness.choose_lease_length(clocks.read_steady())
        if lease is not None and wanted - length > LEASE_TOLERANCE_S:
            # This very call has told that it is too short.
            return self._open_lease_of(wanted)
        return lease

    def _open_lease_of(self, length: float) -> _Lease | None:
        began = clocks.read_steady()
        lease = self._store.open_lease(length)
        if isinstance(lease, stores.Unavailable):
            return None
        now = clocks.read_steady()
        self._lateness.note(now - began, now)
        return _Lease(identity=lease.identity, length=length)

    def _take_lease(self, lease: _Lease) -> None:
        self._lease = lease.identity
        self._lease_length = lease.length
        self._is_bound = True

    def _note_answer(self) -> None:
        """Note that the store has answered, and whether it was away."""
        now = clocks.read_steady()
        if now - self._answered > timing.STORE_OUTAGE_S:
            self._returned = now
        self._answered = now
        self._on_contact()

    def resign(self) -> None:
        """Hand over at once and take no further part."""
        self._resigned = True
        self._hand_over("the process is to end")

    def _hand_over(self, reason: str) -> None:
        """Give the ownership up; what runs on workers runs on."""
        owner, self._owner = self._owner, None
        if owner is None:
            return
        owner.stop(reason)
        ended = self._store.end_lease(self._lease)
        logs.write_event(
            "ownership.resigned",
            fence=owner.fence,
            reason=reason,
            ended=str(ended),
        )

    def _take_range(self, items: tuple[stores.Item, ...]) -> None:
        self._known = True
        by_key = {item.key: item for item in items}
        self._set_holder(by_key.get(KEY))
        self._term = by_key.get(TERM_KEY)
        self._set_request(by_key.get(REQUEST_KEY))
        self._changed.set()

    def _take_changes(self, changes: stores.Changes) -> None:
        newest = 0
        for item in changes.written:
            if item.key == KEY and item.revision > newest:
                newest = item.revision
                self._set_holder(item)
            elif item.key == TERM_KEY:
                self._term = item
            elif item.key == REQUEST_KEY:
                self._set_request(item)
        for key, revision in changes.removed:
            if key == KEY and revision > newest:
                newest = revision
                self._set_holder(None)
        self._changed.set()

    def _set_holder(self, item: stores.Item | None) -> None:
        known = self._holder
        if item is None or known is None or known.created != item.created:
            self._held_since = clocks.read_steady()
        self._holder = item
        if item is not None:
            holder = candidacy.read_holder(item.payload)
            self._known_cores = self._known_cores.include(holder)

    def _set_request(self, item: stores.Item | None) -> None:
        self._request = item
        if item is not None:
            asking = candidacy.read_holder(item.payload)
            self._known_cores = self._known_cores.include(asking)

    def _describe(self) -> bytes:
        """Return a value for the store that no other try writes."""
        self._tries += 1
        return candidacy.Holder(
            process=self._name,
            attempt=self._tries,
            cores=self._known_cores.own,
        ).encode()

    def _ask_holder(self) -> None:
        """Ask the owner to hand over, if its VM is much smaller."""
        item = self._holder
        assert item is not None
        holder = candidacy.read_holder(item.payload)
        held_for = clocks.read_steady() - self._held_since
        if not candidacy.should_request_handover(
            self._known_cores, holder, held_for
        ):
            return
        request = self._request
        if request is not None and request.revision > item.created:
            # This owner was asked already.
            return
        gevent.sleep(random.uniform(0, CANDIDACY_SPREAD_S))
        known = request.revision if request is not None else 0
        outcome = self._store.commit(
            [
                stores.Condition(key=KEY, revision=item.revision),
                stores.Condition(key=REQUEST_KEY, revision=known),
            ],
            [stores.Put(key=REQUEST_KEY, payload=self._describe())],
        )
        logs.write_event(
            "ownership.requested",
            fence=item.created,
            holder=holder.process if holder is not None else "",
            outcome=type(outcome).__name__,
        )

    def _is_asked(self, owner: protocols.ElectedOwner) -> bool:
        """Return whether a larger VM has asked this owner to hand over."""
        request = self._request
        return request is not None and request.revision > owner.fence

    def _campaign(self) -> None:
        """Take the free ownership, after those that go first had their turn.

        Larger VMs do, and after an outage the owner before.
        """
        since_return = clocks.read_steady() - self._returned
        wait = candidacy.compute_candidacy_delay(
            self._known_cores, since_return
        )
        gevent.sleep(wait + random.uniform(0, CANDIDACY_SPREAD_S))
        if self._holder is not None or self._resigned:
            return
        lease = self._open_lease()
        if lease is None:
            return
        payload = self._describe()
        outcome = self._store.commit(
            [stores.Condition(key=KEY, revision=0)],
            [
                stores.Put(key=KEY, payload=payload, lease=lease.identity),
                stores.Put(key=TERM_KEY, payload=payload),
            ],
        )
        fence = self._find_fence(outcome, payload)
        if fence is not None and not self._resigned:
            self._begin_owning(fence, lease)

    def _begin_owning(self, fence: int, lease: _Lease) -> None:
        self._take_lease(lease)
        logs.write_event("ownership.taken", fence=fence)
        self._telemetry.ownership.labels("taken").inc()
        self._owner = self._make_owner(fence)
        if self._owner is not None:
            self._owner.start()

    def _find_fence(self, outcome: object, payload: bytes) -> int | None:
        """Return the fencing token if the term is this process's."""
        if isinstance(outcome, stores.Committed):
            return outcome.revision
        if isinstance(outcome, stores.Unknown):
            # If it takes effect later still, its lease has run out by then.
            found = self._store.read(TERM_KEY)
            if isinstance(found, stores.Item) and found.payload == payload:
                return found.revision
        return None

    def _keep(self) -> None:
        """Stay the owner, unless another should be or already is."""
        owner = self._owner
        assert owner is not None
        if self._is_asked(owner):
            self._hand_over("a larger VM has asked for it")
            return
        reason = self._find_successor(owner) or self._renew(owner)
        if reason:
            owner.stop(reason)
            logs.write_warning(
                "ownership.lost", fence=owner.fence, reason=reason
            )
            self._telemetry.ownership.labels("lost").inc()
            self._owner = None
            self._changed.set()

    def _find_successor(self, owner: protocols.ElectedOwner) -> str:
        """Look whether another owner is known already.

        :return: What shows it, empty if none is known.
        """
        if owner.deposed:
            return owner.deposed
        if self._term is not None and self._term.revision > owner.fence:
            return _TAKEN_BY_ANOTHER
        return ""

    def _renew(self, owner: protocols.ElectedOwner) -> str:
        """Renew the lease, or open another one in its place.

        :return: Why the ownership is lost, empty if it is not.
        """
        began = clocks.read_steady()
        renewed = self._store.renew_lease(
            self._lease, timing.RENEWAL_TIMEOUT_S
        )
        if isinstance(renewed, stores.Unavailable):
            return ""
        self._note_answer()
        now = clocks.read_steady()
        self._lateness.note(now - began, now)
        if not renewed:
            return self._hold_again(owner, known=0)
        if self._is_bound:
            # Else the lease may run though the key has ended.
            owner.note_confirmation(began)
        if self._holder is None and self._known:
            return self._check_key(owner)
        if self._holder is not None and self._is_lease_unfit(now):
            return self._hold_again(owner, known=self._holder.revision)
        return ""

    def _is_lease_unfit(self, now: float) -> bool:
        """Return whether the key needs another lease."""
        if not self._is_bound:
            return True
        wanted = self._lateness.choose_lease_length(now)
        return abs(wanted - self._lease_length) > LEASE_TOLERANCE_S

    def _check_key(self, owner: protocols.ElectedOwner) -> str:
        """Look whether the key is really gone though the lease runs."""
        found = self._store.read(KEY)
        if isinstance(found, stores.Item):
            self._holder = found
        if isinstance(found, stores.Missing):
            return self._hold_again(owner, known=0)
        return ""

    def _hold_again(self, owner: protocols.ElectedOwner, *, known: int) -> str:
        """Write the key anew, with another lease, under the term that stands.

        :param owner: The owner.
        :param known: The key's revision; 0 if its lease has ended it.
        :return: Why the ownership is lost, empty if it is not.
        """
        lease = self._open_lease()
        if lease is None:
            return ""
        began = clocks.read_steady()
        outcome = self._write_key(owner, lease, known)
        if isinstance(outcome, stores.Conflict):
            if not _stands(outcome, owner):
                return _TAKEN_BY_ANOTHER
            # An earlier try without an answer took effect, or the key ended.
            self._holder = outcome.items.get(KEY)
            found = self._holder.revision if self._holder is not None else 0
            outcome = self._write_key(owner, lease, found)
        if isinstance(outcome, stores.Unknown):
            # It may take effect yet; the next write settles that.
            self._is_bound = False
        if isinstance(outcome, stores.Committed):
            if self._owner is not owner:
                # It was told to hand over meanwhile.
                self._store.end_lease(lease.identity)
                return ""
            self._take_lease(lease)
            owner.note_confirmation(began)
            logs.write_event(
                "ownership.kept",
                fence=owner.fence,
                lease=lease.length,
                was_over=known == 0,
            )
        return ""

    def _write_key(
        self, owner: protocols.ElectedOwner, lease: _Lease, known: int
    ) -> object:
        """Write the key with a lease, if it and the term are as known."""
        return self._store.commit(
            [
                stores.Condition(key=KEY, revision=known),
                stores.Condition(key=TERM_KEY, revision=owner.fence),
            ],
            [
                stores.Put(
                    key=KEY, payload=self._describe(), lease=lease.identity
                )
            ],
        )


def _stands(conflict: stores.Conflict, owner: protocols.ElectedOwner) -> bool:
    """Return whether an owner's term stands, by what a commit was told."""
    term = conflict.items.get(TERM_KEY)
    return term is not None and term.revision == owner.fence
