"""Decides when this manager is a standby, and keeps its replica meanwhile."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager.election import succession
from rackvalve.manager.peers import membership as memberships
from rackvalve.manager.standby import replica as replicas
from rackvalve.manager import timing
from rackvalve.platform import store as stores
from rackvalve import telemetry as telemetries


class Standby:
    """Keeps a replica of the owner's records while this manager is a standby.

    :param store: The store.
    :param name: Name of this process.
    :param membership: The registered managers.
    :param find_owner: Returns the name of the last known owner's process.
    :param telemetry: Metrics of the replica.
    """

    __slots__ = (
        "_store",
        "_name",
        "_membership",
        "_find_owner",
        "_telemetry",
        "_replica",
        "_begun",
        "_chosen_at",
        "_is_logged",
    )

    def __init__(
        self,
        store: stores.Store,
        name: str,
        *,
        membership: memberships.Membership,
        find_owner: Callable[[], str],
        telemetry: telemetries.Telemetry,
    ) -> None:
        self._store = store
        self._name = name
        self._membership = membership
        self._find_owner = find_owner
        self._telemetry = telemetry
        self._replica: replicas.Replica | None = None
        # When the replica was begun, and when this manager was last one of the
        # standbys, in seconds.
        self._begun = 0.0
        self._chosen_at = float("-inf")
        # Whether the completion of the replica was logged.
        self._is_logged = False

    def run(self) -> None:
        """Begin and drop the replica in time, until the greenlet is killed."""
        while True:
            self.check(clocks.read_steady())
            gevent.sleep(timing.STANDBY_CHECK_INTERVAL_S)

    def check(self, now: float) -> None:
        """Begin or drop the replica if that is due.

        :param now: Present time, in seconds.
        """
        if self._is_chosen(now):
            self._chosen_at = now
            if self._replica is None:
                self._begin(now)
        if self._replica is None:
            return
        if now - self._chosen_at > timing.STANDBY_RETENTION_S:
            self._drop("others are the standbys")
        elif self._replica.has_failed:
            self._drop("an unexpected error")
        elif self._replica.is_complete and not self._is_logged:
            self._is_logged = True
            logs.write_event(
                "standby.complete",
                items=self._replica.count,
                bytes=self._replica.size,
                seconds=round(now - self._begun, 3),
            )

    def take(self) -> replicas.Replica | None:
        """Return the replica for the owner of this process and keep none.

        :return: The replica, which no longer follows the store; ``None`` if
            there is none.
        """
        replica, self._replica = self._replica, None
        if replica is not None:
            replica.stop()
        return replica

    def _is_chosen(self, now: float) -> bool:
        """Return whether this manager is one of the standbys."""
        members = self._membership.list_recent(now)
        owner = self._find_owner()
        ranked = memberships.rank_standbys(members, owner, succession.STANDBYS)
        return any(one.process == self._name for one in ranked)

    def _begin(self, now: float) -> None:
        self._begun = now
        self._is_logged = False
        self._replica = replicas.Replica(self._store, self._telemetry)
        self._replica.start()
        logs.write_event("standby.begun", owner=self._find_owner())

    def _drop(self, reason: str) -> None:
        replica = self.take()
        assert replica is not None
        logs.write_event(
            "standby.ended",
            reason=reason,
            items=replica.count,
            bytes=replica.size,
        )
