"""Registry of one owner's workers, with a session for each of them.

The owner's watch over the workers' entries feeds it, and the owner sends
orders to workers through it.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from rackvalve import clocks
from rackvalve import errors
from rackvalve.jobs import incarnations
from rackvalve.jobs import progress
from rackvalve import logs
from rackvalve.manager.owner import protocols
from rackvalve.manager.owner import worker_session as worker_sessions
from rackvalve.manager import timing
from rackvalve.platform import documents
from rackvalve.platform import store as stores
from rackvalve.platform import workers as clients
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import coldness
from rackvalve.scheduling import endings
from rackvalve.scheduling import fleet
from rackvalve.scheduling import messages
from rackvalve.scheduling import releases
from rackvalve.scheduling import worker_restarts
from rackvalve.scheduling import workers


class WorkerRegistry:
    """Applies workers' entries to the owner's view and manages sessions.

    :param owner: Receives the reports and answers of workers.
    :param cluster: The owner's view of the cluster.
    :param on_change: Called after workers were added, changed or removed.
    """

    __slots__ = (
        "_owner",
        "_cluster",
        "_on_change",
        "_sessions",
        "_pending_stops",
        "_rejected",
    )

    def __init__(
        self,
        owner: protocols.SessionOwner,
        cluster: clusters.Cluster,
        *,
        on_change: Callable[[], None],
    ) -> None:
        self._owner = owner
        self._cluster = cluster
        self._on_change = on_change
        self._sessions: dict[str, worker_sessions.WorkerSession] = {}
        # Orders to stop runs on workers without a session: an entry may be
        # missing for some seconds while its worker goes on.
        self._pending_stops: dict[str, list[messages.StopRun]] = {}
        # Revision of the last invalid entry that was logged, by key; all
        # entries are read again when the store loses its history.
        self._rejected: dict[str, int] = {}

    def find_session(
        self, identity: str
    ) -> worker_sessions.WorkerSession | None:
        """Return the session with a worker; ``None`` if there is none.

        :param identity: The worker.
        """
        return self._sessions.get(identity)

    def send(self, order: messages.Order) -> bool:
        """Send an order to its worker; keep a stop until it has an entry.

        :param order: The order.
        :return: Whether there is a session with the worker.
        """
        session = self._sessions.get(order.worker)
        if session is not None:
            session.send(order)
            return True
        if isinstance(order, messages.StopRun):
            self._pending_stops.setdefault(order.worker, []).append(order)
        return False

    def close(self) -> None:
        """Close all sessions; runs on workers go on."""
        for session in self._sessions.values():
            session.close()
        self._sessions.clear()

    def apply_range(self, items: tuple[stores.Item, ...]) -> None:
        """Apply all entries, at first and after the store lost its history.

        :param items: All entries.
        """
        present = set()
        for item in items:
            self._apply_entry(item)
            present.add(documents.parse_worker_key(item.key))
        keys = {item.key for item in items}
        for key in self._rejected.keys() - keys:
            del self._rejected[key]
        now = clocks.read_steady()
        for worker in self._cluster.workers.values():
            name = worker.incarnation.worker
            if worker.entry is not None and name not in present:
                self._cluster.remove_entry(name, now)
        self._open_recorded(now)
        self._on_change()

    def apply_changes(self, changes: stores.Changes) -> None:
        """Apply entries that were just written or removed.

        :param changes: The changes.
        """
        for item in changes.written:
            self._apply_entry(item)
        now = clocks.read_steady()
        written = {item.key: item.revision for item in changes.written}
        for key, revision in changes.removed:
            if written.get(key, 0) < revision:
                self._rejected.pop(key, None)
                self._cluster.remove_entry(
                    documents.parse_worker_key(key), now
                )
        self._on_change()

    def end_incarnation(
        self, identity: str, reason: str
    ) -> releases.Release | None:
        """Forget a worker's incarnation that is over.

        :param identity: The worker.
        :param reason: How it is known to be over.
        :return: The runs that are over with it; ``None`` for an unknown
            worker.
        """
        self.forget(identity)
        worker = self._cluster.workers.get(identity)
        if worker is not None:
            logs.write_event(
                "worker.over",
                worker=identity,
                reason=reason,
                runs=len(worker.runs),
            )
        release = endings.end_incarnation(
            self._cluster,
            identity,
            reason,
            now=clocks.read_steady(),
            wall=clocks.read_wall(),
        )
        if release is not None:
            self._on_change()
        return release

    def forget(self, identity: str) -> None:
        """Close the session with an incarnation that is over.

        :param identity: The incarnation.
        """
        self._pending_stops.pop(identity, None)
        self._owner.tokens.forget(identity)
        session = self._sessions.pop(identity, None)
        if session is not None:
            # In another greenlet, as one of the session's own may call this.
            gevent.spawn(session.close)

    def switch_incarnation(
        self, worker: workers.WorkerState, born: int
    ) -> None:
        """Open a session with the incarnation that replaces another one.

        :param worker: The earlier incarnation.
        :param born: When the later one began, in milliseconds since 1970.
        """
        now = clocks.read_steady()
        later = worker_restarts.note_replaced(self._cluster, worker, born, now)
        if later is None or later.location is None:
            return
        coldness.note_restarted(self._cluster, later, now)
        logs.write_event(
            "worker.restarted",
            worker=later.identity,
            before=worker.identity,
            handled=worker.handled,
            runs=len(worker.runs),
        )
        self.forget(worker.identity)
        if later.identity not in self._sessions:
            self._open_session(later, later.location)

    def forget_lost_workers(self, now: float) -> None:
        """Forget workers that left: no entry, answers, runs or lease.

        :param now: Present time, in seconds.
        """
        for identity, worker in list(self._cluster.workers.items()):
            if worker.runs or not worker.is_expired(now):
                continue
            is_missing = (
                worker.entry_missing_since is not None
                and now - worker.entry_missing_since > timing.ENTRY_GRACE_S
                and now - worker.last_alive_at > timing.ENTRY_GRACE_S
            )
            if worker.entry is None or worker.replaced or is_missing:
                self.end_incarnation(
                    identity, "its entry is gone, it is silent"
                )

    def _open_recorded(self, now: float) -> None:
        """Open sessions with workers that only jobs' records name.

        Their entries are missing and they may have ended.  The worker, or
        another incarnation at its address, can still report what became of
        the runs; otherwise each owner in turn would wait for the longest lease
        that an earlier one may have granted.
        """
        for identity, worker in self._cluster.workers.items():
            if worker.entry is not None or worker.location is None:
                continue
            if identity in self._sessions:
                continue
            if worker.entry_missing_since is None:
                worker.entry_missing_since = now
            logs.write_event(
                "worker.recorded",
                worker=identity,
                on_vm=worker.location.vm,
                runs=len(worker.runs),
            )
            self._open_session(worker, worker.location)

    def _open_session(
        self, worker: workers.WorkerState, location: progress.Location
    ) -> worker_sessions.WorkerSession:
        """Open the session with a worker.

        :param worker: The worker.
        :param location: Address of the worker.
        """
        client = clients.Worker(
            location.host,
            location.port,
            worker.identity,
            timeout=timing.ORDER_TIMEOUT_S,
        )
        if (
            len(self._cluster.workers_by_name.find(worker.incarnation.worker))
            > 1
        ):
            # A greater token, so that this incarnation rejects calls that
            # were sent to earlier ones.
            self._owner.tokens.raise_for(
                worker, self._owner.committed_revision
            )
        session = worker_sessions.WorkerSession(self._owner, worker, client)
        self._sessions[worker.identity] = session
        session.start()
        return session

    def _apply_entry(self, item: stores.Item) -> None:
        """Apply one entry; an unexpected error costs no other one."""
        try:
            self._set_entry(item)
        except Exception:
            if self._rejected.get(item.key) != item.revision:
                self._rejected[item.key] = item.revision
                logs.write_failure("task.failed", message=item.key)
            name = documents.parse_worker_key(item.key)
            self._cluster.remove_entry(name, clocks.read_steady())

    def _set_entry(self, item: stores.Item) -> None:
        try:
            entry = documents.read_worker(
                item.key,
                item.payload,
                reads_cold=self._cluster.policy.evacuation,
            )
        except errors.DocumentInvalidError as error:
            self._log_rejected(item, error)
            # The worker gets no work, but an incarnation that had a valid
            # entry before is not over.
            name = documents.parse_worker_key(item.key)
            self._cluster.remove_entry(name, clocks.read_steady())
            return
        self._rejected.pop(item.key, None)
        self._log_entry(entry, item.revision)
        worker = self._cluster.set_entry(entry)
        name = worker.incarnation.worker
        now = clocks.read_steady()
        coldness.note_entry(self._cluster, worker, item.revision, now)
        self._cluster.remove_entry(name, now, besides=worker)
        if worker.identity not in self._sessions:
            session = self._open_session(worker, entry.location)
            for order in self._pending_stops.pop(worker.identity, []):
                session.send(order)

    def _log_rejected(
        self, item: stores.Item, error: errors.DocumentInvalidError
    ) -> None:
        """Log that an entry is invalid, once however often it is read."""
        if self._rejected.get(item.key) != item.revision:
            self._rejected[item.key] = item.revision
            logs.write_warning(
                "document.rejected", key=item.key, reason=error.reason
            )

    def _log_entry(self, entry: fleet.Entry, revision: int) -> None:
        known = self._cluster.workers.get(entry.identity)
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
