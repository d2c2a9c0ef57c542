"""Elects the process that owns the scheduling, by two keys in the store.

The term key has no lease and is written by each process that takes the
ownership.  Its revision is the fencing token: tokens rise with each change of
owner, and each record of the owner is committed only while the term key has
that revision.  The holder key has the owner's lease and keeps others from
campaigning.  The end of that lease does not end the ownership, since an outage
of the store lets it expire although the owner is healthy: while the term key
is unchanged there was no other owner, and the owner opens a new lease and goes
on with its state.  :mod:`rackvalve.manager.election.candidacy` decides which
process goes first.
"""

from __future__ import annotations

from collections.abc import Callable
import random

import gevent
from gevent import event

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager.election import candidacy
from rackvalve.manager.election import failures as failure_histories
from rackvalve.manager.election import leases
from rackvalve.manager.election import ownership_keys
from rackvalve.manager.election import succession
from rackvalve.manager.owner import protocols
from rackvalve.manager.peers import membership as memberships
from rackvalve.manager import timing
from rackvalve.manager import watcher as watchers
from rackvalve.platform import store as stores
from rackvalve import tasks
from rackvalve import telemetry as telemetries

KEY = ownership_keys.HOLDER
TERM_KEY = ownership_keys.TERM
REQUEST_KEY = ownership_keys.REQUEST
# Random delay of candidates, so that they rarely conflict.
CANDIDACY_SPREAD_S = 0.02
_TAKEN_BY_ANOTHER = "another process has taken the ownership"


class Election:
    """Takes the ownership whenever it is free, and renews it.

    :param store: The store.
    :param name: Unique name of this process.
    :param cores: Processor of this VM, in cores of the usual speed.
    :param make_owner: Creates the owner for a fencing token.
    :param may_own: Whether this process has all it needs to be the owner.
    :param telemetry: Counts the changes.
    :param on_contact: Called at each answer of the store.
    :param membership: The managers that run, kept from the same watch;
        ``None`` if managers do not register.
    :param failures: Unexpected errors of this process's owners.
    :param standby: Whether registered managers take the ownership in the order
        of :mod:`~rackvalve.manager.election.succession`.
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
        membership: memberships.Membership | None = None,
        failures: failure_histories.FailureHistory | None = None,
        standby: bool = False,
    ) -> None:
        self._store = store
        self._keys = ownership_keys.OwnershipKeys(store)
        self._failures = failures or failure_histories.FailureHistory()
        self._name = name
        self._membership = membership
        # The managers that take the ownership in their order, if they do.
        self._successors = membership if standby else None
        self._make_owner = make_owner
        self._may_own = may_own
        self._telemetry = telemetry
        self._on_contact = on_contact
        self._known_cores = candidacy.KnownCores(own=cores, largest=cores)
        self._holder: stores.Item | None = None
        self._term: stores.Item | None = None
        # When the store last answered, and when it first answered after the
        # last outage, in seconds.
        self._last_answer = clocks.read_steady()
        self._reachable_since = float("-inf")
        # When this process learned of the holder or its absence, in seconds.
        self._held_since = 0.0
        # When this process last took the ownership, and when it last handed it
        # over because it was still loading, in seconds.
        self._owned_since = self._handed_over_at = float("-inf")
        # Process of the last known holder; empty before the first.
        self._last_holder = ""
        self._handover_request: stores.Item | None = None
        self._is_loaded = False
        self._changed = event.Event()
        self._owner: protocols.ElectedOwner | None = None
        self._lease = 0
        # Requested length of that lease, in seconds.
        self._lease_length = timing.MIN_OWNER_LEASE_S
        # Whether the holder key is known to be bound to that lease.
        self._is_key_bound = True
        self._delays = candidacy.DelayHistory()
        self._resigned = False
        self._attempts = 0

    def start(self) -> tuple[gevent.Greenlet, ...]:
        """Start the greenlets that take part in the election.

        Each is restarted after an unexpected error: a process that no longer
        takes part seems healthy but can never own.

        :return: The greenlets; the process takes part until they are killed.
        """
        watcher = watchers.Watcher(
            self._store,
            ownership_keys.PREFIX,
            on_range=self._apply_range,
            on_changes=self._apply_changes,
            on_contact=self._note_answer,
        )
        pause = timing.TASK_RESTART_DELAY_S
        return (
            tasks.run_forever("ownership watch", pause, watcher.run),
            tasks.run_forever("ownership", pause, self._participate),
        )

    def _participate(self) -> None:
        while True:
            self._wait()
            if self._owner is not None:
                self._retain_ownership(self._owner)
            elif not self._may_take_part(clocks.read_steady()):
                continue
            elif self._holder is None:
                self._campaign()
            else:
                self._request_handover()

    def _may_take_part(self, now: float) -> bool:
        """Return whether this process may own, or ask for the ownership."""
        return (
            self._is_loaded
            and self._may_own()
            and not self._resigned
            and not self._failures.is_paused(now)
        )

    def _wait(self) -> None:
        """Wait for a change, or until it is time for the next renewal."""
        began = clocks.read_steady()
        self._changed.wait(timing.OWNER_RENEWAL_INTERVAL_S)
        self._changed.clear()
        now = clocks.read_steady()
        self._delays.record(now - began - timing.OWNER_RENEWAL_INTERVAL_S, now)

    def _adopt_lease(self, lease: leases.Lease) -> None:
        self._lease, self._lease_length = lease.identity, lease.length
        self._is_key_bound = True

    def _note_answer(self) -> None:
        """Note an answer of the store, and whether it ended an outage."""
        now = clocks.read_steady()
        if now - self._last_answer > timing.STORE_OUTAGE_S:
            self._reachable_since = now
        self._last_answer = now
        self._on_contact()

    @property
    def last_owner(self) -> str:
        """Process of the last known owner; empty before the first."""
        return self._name if self._owner is not None else self._last_holder

    def note_recovery(self) -> None:
        """Note that the store answers again, and renew at once."""
        self._note_answer()
        self._changed.set()

    def resign(self) -> None:
        """Give up the ownership at once and leave the election."""
        self._resigned = True
        self._hand_over("the process is to end")

    def _hand_over(self, reason: str) -> None:
        """Give up the ownership; runs on workers go on."""
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

    def _apply_range(self, items: tuple[stores.Item, ...]) -> None:
        self._is_loaded = True
        by_key = {item.key: item for item in items}
        self._set_holder(by_key.get(KEY))
        self._term = by_key.get(TERM_KEY)
        self._set_request(by_key.get(REQUEST_KEY))
        if self._membership is not None:
            self._membership.apply_range(items, clocks.read_steady())
        self._changed.set()

    def _apply_changes(self, changes: stores.Changes) -> None:
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
        if self._membership is not None:
            self._membership.apply_changes(changes, clocks.read_steady())
        self._changed.set()

    def _set_holder(self, item: stores.Item | None) -> None:
        known = self._holder
        if not self._held_since or not leases.is_same_key(item, known):
            self._held_since = clocks.read_steady()
        self._holder = item
        if item is not None:
            holder = candidacy.read_holder(item.payload)
            self._known_cores = self._known_cores.include(holder)
            self._last_holder = holder.process if holder is not None else ""

    def _set_request(self, item: stores.Item | None) -> None:
        self._handover_request = item
        if item is not None:
            asking = candidacy.read_holder(item.payload)
            self._known_cores = self._known_cores.include(asking)

    def _encode_holder(self) -> bytes:
        """Return a value for the store that is unique to this attempt."""
        self._attempts += 1
        return candidacy.Holder(
            process=self._name,
            attempt=self._attempts,
            cores=self._known_cores.own,
        ).encode()

    def _request_handover(self) -> None:
        """Request a handover if the owner's VM is much smaller."""
        item = self._holder
        assert item is not None
        holder = candidacy.read_holder(item.payload)
        ownership_age = clocks.read_steady() - self._held_since
        if not candidacy.should_request_handover(
            self._known_cores, holder, ownership_age
        ):
            return
        request = self._handover_request
        if request is not None and request.revision > item.created:
            # A handover was already requested from this owner.
            return
        gevent.sleep(random.uniform(0, CANDIDACY_SPREAD_S))
        known = request.revision if request is not None else 0
        outcome = self._keys.request(
            self._encode_holder(), holder=item.revision, known=known
        )
        logs.write_event(
            "ownership.requested",
            fence=item.created,
            holder=holder.process if holder is not None else "",
            outcome=type(outcome).__name__,
        )

    def _is_handover_requested(self, owner: protocols.ElectedOwner) -> bool:
        """Return whether a larger VM requested a handover from this owner."""
        request = self._handover_request
        return request is not None and request.revision > owner.fence

    def _campaign(self) -> None:
        """Take the free ownership after the delay of this process.

        Larger VMs go first, and after an outage the previous owner.
        """
        wait = self._compute_candidacy_delay(clocks.read_steady())
        gevent.sleep(wait + random.uniform(0, CANDIDACY_SPREAD_S))
        if self._holder is not None or self._resigned:
            return
        lease = leases.open_lease(self._store, self._delays)
        if lease is None:
            return
        fence = self._keys.take(self._encode_holder(), lease.identity)
        if isinstance(fence, stores.Unknown):
            if self._successors is not None:
                # A commit cut on the store's recovery may take effect after
                # the read.  Without its key, the next campaign begins at once.
                self._store.end_lease(lease.identity)
        elif fence is not None and not self._resigned:
            self._begin_owning(fence, lease)

    def _compute_candidacy_delay(self, now: float) -> float:
        """Return how long to wait before taking the free ownership."""
        since_recovery = now - self._reachable_since
        successors = self._successors
        recent = successors.list_recent(now) if successors is not None else []
        if not recent:
            return candidacy.compute_candidacy_delay(
                self._known_cores, since_recovery
            )
        return succession.compute_delay(
            recent,
            self._name,
            self._known_cores.own,
            previous_owner=self._last_holder,
            since_recovery=since_recovery,
            free_for=now - self._held_since,
        )

    def _begin_owning(self, fence: int, lease: leases.Lease) -> None:
        self._adopt_lease(lease)
        self._owned_since = clocks.read_steady()
        logs.write_event("ownership.taken", fence=fence)
        self._telemetry.ownership.labels("taken").inc()
        self._owner = self._make_owner(fence)
        if self._owner is not None:
            self._owner.start()

    def _retain_ownership(self, owner: protocols.ElectedOwner) -> None:
        """Renew the ownership, hand it over, or stop if it is lost."""
        if owner.failure is not None:
            self._recover(owner, owner.failure)
            return
        if self._is_handover_requested(owner):
            self._hand_over("a larger VM has asked for it")
            return
        if self._loads_too_long(owner, clocks.read_steady()):
            self._hand_over("a larger VM loads the jobs faster")
            return
        reason = self._find_successor(owner) or self._renew(owner)
        if reason:
            self._end_term(owner, reason)
            self._changed.set()

    def _end_term(self, owner: protocols.ElectedOwner, reason: str) -> None:
        """Stop the owner; runs on workers go on."""
        owner.stop(reason)
        logs.write_warning("ownership.lost", fence=owner.fence, reason=reason)
        self._telemetry.ownership.labels("lost").inc()
        self._owner = None

    def _recover(
        self,
        owner: protocols.ElectedOwner,
        failure: failure_histories.Failure,
    ) -> None:
        """Begin another term after an unexpected error, or let others own.

        Either happens at once: nobody extends workers' leases in between.
        """
        self._end_term(owner, owner.deposed)
        may_own = self._failures.note_failure(failure, clocks.read_steady())
        scope = "worker" if may_own else "process"
        self._telemetry.owner_failures.labels(scope).inc()
        lease = leases.Lease(identity=self._lease, length=self._lease_length)
        if may_own and not self._resigned:
            fence = self._keys.succeed(
                self._encode_holder(), lease.identity, owner.fence
            )
            if isinstance(fence, int):
                self._begin_owning(fence, lease)
                return
        self._store.end_lease(lease.identity)
        self._changed.set()

    def _loads_too_long(
        self, owner: protocols.ElectedOwner, now: float
    ) -> bool:
        """Return whether to hand over to a larger VM that loads faster."""
        if self._successors is None or owner.is_loaded:
            return False
        is_due = succession.should_hand_over_loading(
            self._successors.list_members(),
            self._known_cores.own,
            owned_for=now - self._owned_since,
            since_handover=now - self._handed_over_at,
        )
        if is_due:
            self._handed_over_at = now
        return is_due

    def _find_successor(self, owner: protocols.ElectedOwner) -> str:
        """Check whether a later owner is known.

        :return: How it became known; empty if there is none.
        """
        if owner.deposed:
            return owner.deposed
        if self._term is not None and self._term.revision > owner.fence:
            return _TAKEN_BY_ANOTHER
        return ""

    def _renew(self, owner: protocols.ElectedOwner) -> str:
        """Renew the lease, or replace it by another one.

        :return: Why the ownership is lost; empty if it is not.
        """
        began = clocks.read_steady()
        renewed = self._store.renew_lease(
            self._lease, timing.RENEWAL_TIMEOUT_S
        )
        if isinstance(renewed, stores.Unavailable):
            return ""
        self._note_answer()
        now = clocks.read_steady()
        self._delays.record(now - began, now)
        if not renewed:
            return self._rewrite_key(owner, known=0)
        if self._is_key_bound:
            # Otherwise the key may be gone although the lease still runs.
            owner.note_confirmation(began)
        if self._holder is None and self._is_loaded:
            return self._check_key(owner)
        if self._holder is not None and self._needs_new_lease(now):
            return self._rewrite_key(owner, known=self._holder.revision)
        return ""

    def _needs_new_lease(self, now: float) -> bool:
        """Return whether the holder key needs another lease."""
        if not self._is_key_bound:
            return True
        wanted = self._delays.choose_lease_length(now)
        return abs(wanted - self._lease_length) > leases.TOLERANCE_S

    def _check_key(self, owner: protocols.ElectedOwner) -> str:
        """Read whether the holder key is gone although its lease runs.

        :return: Why the ownership is lost; empty if it is not.
        """
        found = self._store.read(KEY)
        if isinstance(found, stores.Item):
            self._holder = found
        if isinstance(found, stores.Missing):
            return self._rewrite_key(owner, known=0)
        return ""

    def _rewrite_key(
        self, owner: protocols.ElectedOwner, *, known: int
    ) -> str:
        """Write the holder key with another lease if the term is unchanged.

        :param owner: The owner.
        :param known: Revision of the holder key; 0 if it ended with its lease.
        :return: Why the ownership is lost; empty if it is not.
        """
        lease = leases.open_lease(self._store, self._delays)
        if lease is None:
            return ""
        began = clocks.read_steady()
        outcome = self._write_holder(owner, lease, known)
        if isinstance(outcome, stores.Conflict):
            if not leases.has_revision(outcome, TERM_KEY, owner.fence):
                return _TAKEN_BY_ANOTHER
            # An earlier unanswered attempt took effect, or the key is gone.
            self._holder = outcome.items.get(KEY)
            found = self._holder.revision if self._holder is not None else 0
            outcome = self._write_holder(owner, lease, found)
        if isinstance(outcome, stores.Unknown):
            # The commit may still take effect; the next write resolves that.
            self._is_key_bound = False
        if isinstance(outcome, stores.Committed):
            if self._owner is not owner:
                # The ownership was handed over in the meantime.
                self._store.end_lease(lease.identity)
                return ""
            self._adopt_lease(lease)
            owner.note_confirmation(began)
            logs.write_event(
                "ownership.kept",
                fence=owner.fence,
                lease=lease.length,
                was_over=known == 0,
            )
        return ""

    def _write_holder(
        self, owner: protocols.ElectedOwner, lease: leases.Lease, known: int
    ) -> object:
        payload = self._encode_holder()
        return self._keys.write_holder(
            payload, lease.identity, fence=owner.fence, known=known
        )
