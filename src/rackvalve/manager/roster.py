"""Follows the entries of workers and keeps a contact with each of them."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from rackvalve import clocks
from rackvalve import errors
from rackvalve.jobs import incarnations
from rackvalve.jobs import progress
from rackvalve import logs
from rackvalve.manager import contact as contacts
from rackvalve.manager import protocols
from rackvalve.manager import timing
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from rackvalve.platform import workers as clients
from rackvalve.scheduling import book as books
from rackvalve.scheduling import endings
from rackvalve.scheduling import fleet
from rackvalve.scheduling import messages
from rackvalve.scheduling import releases
from rackvalve.scheduling import worker_restarts
from rackvalve.scheduling import workers


class Roster:
    """The workers of one owner.

    :param owner: Whom contacts tell what workers say.
    :param book: The owner's book.
    :param on_change: Called after workers came, changed or went.
    """

    __slots__ = ("_owner", "_book", "_on_change", "_contacts", "_early")

    def __init__(
        self,
        owner: protocols.SessionOwner,
        book: books.Book,
        *,
        on_change: Callable[[], None],
    ) -> None:
        self._owner = owner
        self._book = book
        self._on_change = on_change
        self._contacts: dict[str, contacts.Contact] = {}
        # Orders to stop runs on workers whose entries are not there yet: an
        # entry may be away for some seconds while its worker runs on.
        self._early: dict[str, list[messages.StopRun]] = {}

    def contact(self, identity: str) -> contacts.Contact | None:
        """Return the contact with a worker.

        :param identity: The worker.
        """
        return self._contacts.get(identity)

    def send(self, order: messages.Order) -> bool:
        """Send an order to its worker; keep a stop until it has an entry.

        :param order: The order.
        :return: Whether there is a contact with the worker.
        """
        contact = self._contacts.get(order.worker)
        if contact is not None:
            contact.send(order)
            return True
        if isinstance(order, messages.StopRun):
            self._early.setdefault(order.worker, []).append(order)
        return False

    def close(self) -> None:
        """End all contacts; what runs on workers runs on."""
        for contact in self._contacts.values():
            contact.close()
        self._contacts.clear()

    def take_range(self, items: tuple[stores.Item, ...]) -> None:
        """Take all entries, at first and after lost history.

        :param items: All entries.
        """
        present = set()
        for item in items:
            self._take(item)
            present.add(documents.worker_of(item.key))
        now = clocks.read_steady()
        for worker in self._book.workers.values():
            name = worker.incarnation.worker
            if worker.entry is not None and name not in present:
                self._book.remove_entry(name, now)
        self._ask_recorded(now)
        self._on_change()

    def take_changes(self, changes: stores.Changes) -> None:
        """Take entries that were just written or removed.

        :param changes: The changes.
        """
        for item in changes.written:
            self._take(item)
        now = clocks.read_steady()
        written = {item.key: item.revision for item in changes.written}
        for key, revision in changes.removed:
            if written.get(key, 0) < revision:
                self._book.remove_entry(documents.worker_of(key), now)
        self._on_change()

    def end_life(self, identity: str, reason: str) -> releases.Release | None:
        """Forget a worker whose life is over.

        :param identity: The worker.
        :param reason: What proves it.
        :return: The runs that are over by that; ``None`` for a worker that
            is not known.
        """
        self.forget(identity)
        worker = self._book.workers.get(identity)
        if worker is not None:
            logs.write_event(
                "worker.over",
                worker=identity,
                reason=reason,
                runs=len(worker.runs),
            )
        release = endings.end_incarnation(
            self._book,
            identity,
            reason,
            now=clocks.read_steady(),
            wall=clocks.read_wall(),
        )
        if release is not None:
            self._on_change()
        return release

    def forget(self, identity: str) -> None:
        """End the contact with a life that is over.

        :param identity: The life.
        """
        self._early.pop(identity, None)
        self._owner.fences.forget(identity)
        contact = self._contacts.pop(identity, None)
        if contact is not None:
            # May be called by one of the contact's own greenlets.
            gevent.spawn(contact.close)

    def follow(self, worker: workers.WorkerState, born: int) -> None:
        """Ask the life that answers in place of another one.

        :param worker: The earlier one.
        :param born: When the later one began, in milliseconds since 1970.
        """
        now = clocks.read_steady()
        later = worker_restarts.note_replaced(self._book, worker, born, now)
        if later is None or later.location is None:
            return
        logs.write_event(
            "worker.restarted",
            worker=later.identity,
            before=worker.identity,
            handled=worker.handled,
            runs=len(worker.runs),
        )
        self.forget(worker.identity)
        if later.identity not in self._contacts:
            self._open_contact(later, later.location)

    def forget_gone(self, now: float) -> None:
        """Forget workers that have left: no entry, no answer, no lease.

        :param now: Present time, in seconds.
        """
        for identity, worker in list(self._book.workers.items()):
            if worker.runs or not worker.is_expired(now):
                continue
            is_missing = (
                worker.entry_missing_since is not None
                and now - worker.entry_missing_since > timing.ENTRY_GRACE_S
                and now - worker.last_alive_at > timing.ENTRY_GRACE_S
            )
            if worker.entry is None or worker.replaced or is_missing:
                self.end_life(identity, "its entry is gone, it is silent")

    def _ask_recorded(self, now: float) -> None:
        """Open contacts with workers that only jobs' records name.

        Their entries are gone, perhaps with them.  The worker itself, or
        another life at its address, can still tell what became of the runs;
        else each owner in turn would wait for the longest lease that an
        earlier one may have given.
        """
        for identity, worker in self._book.workers.items():
            if worker.entry is not None or worker.location is None:
                continue
            if identity in self._contacts:
                continue
            if worker.entry_missing_since is None:
                worker.entry_missing_since = now
            logs.write_event(
                "worker.recorded",
                worker=identity,
                on_vm=worker.location.vm,
                runs=len(worker.runs),
            )
            self._open_contact(worker, worker.location)

    def _open_contact(
        self, worker: workers.WorkerState, location: progress.Location
    ) -> contacts.Contact:
        """Begin to ask a worker.

        :param worker: The worker.
        :param location: Where it can be asked.
        """
        client = clients.Worker(
            location.host,
            location.port,
            worker.identity,
            timeout=timing.ORDER_TIMEOUT_S,
        )
        if len(self._book.workers_by_name.find(worker.incarnation.worker)) > 1:
            # Calls to the lives before do nothing at this one.
            self._owner.fences.raise_for(
                worker, self._owner.committed_revision
            )
        contact = contacts.Contact(self._owner, worker, client)
        self._contacts[worker.identity] = contact
        contact.start()
        return contact

    def _take(self, item: stores.Item) -> None:
        try:
            entry = documents.read_worker(item.key, item.payload)
        except errors.DocumentInvalidError as error:
            logs.write_warning(
                "document.rejected", key=item.key, reason=error.reason
            )
            # It names no worker to use; a life that had a good one before
            # is not over by that.
            name = documents.worker_of(item.key)
            self._book.remove_entry(name, clocks.read_steady())
            return
        self._log(entry, item.revision)
        worker = self._book.set_entry(entry)
        name = worker.incarnation.worker
        self._book.remove_entry(name, clocks.read_steady(), besides=worker)
        if worker.identity not in self._contacts:
            contact = self._open_contact(worker, entry.location)
            for order in self._early.pop(worker.identity, []):
                contact.send(order)

    def _log(self, entry: fleet.Entry, revision: int) -> None:
        known = self._book.workers.get(entry.identity)
        if known is None or known.entry is None:
            logs.write_event(
                "worker.found",
                worker=entry.identity,
                pool=entry.pool,
                on_vm=entry.vm,
                revision=revision,
                born=incarnations.parse_incarnation(entry.identity).born,
            )
        elif entry.draining and not known.entry.draining:
            logs.write_event(
                "worker.draining",
                worker=entry.identity,
                remaining=entry.remaining,
                runs=len(known.runs),
            )
