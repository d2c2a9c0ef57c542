"""Keeps an owner's queues and their stored settings up to date.

A job runs by the queue that is configured at its address.  Without one it runs
by the last that was, whose settings are in the store for later owners.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import event

from rackvalve import clocks
from rackvalve.manager import namespace_registry
from rackvalve.manager import timing
from rackvalve.platform import store as stores
from rackvalve.scheduling import attempts
from rackvalve.scheduling import cluster as clusters
from rackvalve.scheduling import namespaces
from rackvalve.scheduling import queues

# Shortest and longest time between two readings of the directory because of
# jobs whose namespace is not known, in seconds.
MIN_SEARCH_INTERVAL_S = 2.0
MAX_SEARCH_INTERVAL_S = 64.0


class QueueDirectory:
    """The queues of one owner's jobs.

    :param cluster: The owner's view of the cluster.
    :param registry: The stored directory of namespaces.
    :param ownership: The condition that this process is the owner.
    :param spawn: Runs a function in a greenlet that ends with the owner.
    """

    __slots__ = (
        "_cluster",
        "_registry",
        "_ownership",
        "_spawn",
        "_changed",
        "_search_interval",
        "_searched_at",
    )

    def __init__(
        self,
        cluster: clusters.Cluster,
        registry: namespace_registry.NamespaceRegistry,
        ownership: stores.Condition,
        *,
        spawn: Callable[[Callable[[], None]], None],
    ) -> None:
        self._cluster = cluster
        self._registry = registry
        self._ownership = ownership
        self._spawn = spawn
        # Set when the stored directory may have to be changed.
        self._changed = event.Event()
        self._search_interval = MIN_SEARCH_INTERVAL_S
        self._searched_at = float("-inf")

    def load(self, wall: float) -> None:
        """Read the directory, before any job is read.

        :param wall: Present time, seconds since 1970.
        """
        self._registry.load()
        self.set_configuration(self._cluster.configuration, wall)

    def follow(
        self,
        configuration: queues.Configuration | None,
        now: float,
        wall: float,
    ) -> None:
        """Use the newest configuration, and find the queues of all jobs.

        :param configuration: The configuration; ``None`` if it is not known.
        :param now: Present time, in seconds.
        :param wall: Present time, seconds since 1970.
        """
        if configuration is not None:
            if configuration.version != self._cluster.configuration.version:
                self.set_configuration(configuration, wall)
        self._search_unknown(now)

    def set_configuration(
        self, configuration: queues.Configuration, wall: float
    ) -> None:
        """Use a configuration, and have its settings stored.

        :param configuration: The configuration.
        :param wall: Present time, seconds since 1970.
        """
        wanted = self._make_directory(configuration, wall)
        self._cluster.set_configuration(configuration, wanted)
        attempts.fail_all_exhausted(self._cluster, wall)
        if wanted is not self._registry.directory:
            self._changed.set()

    def run(self) -> None:
        """Store changed settings, until the greenlet is killed."""
        while True:
            self._changed.wait()
            self._changed.clear()
            while not self._write(clocks.read_wall()):
                gevent.sleep(timing.STORE_RETRY_DELAY_S)

    def _write(self, wall: float) -> bool:
        """Write the directory; return whether the store has it."""
        configuration = self._cluster.configuration
        wanted = self._make_directory(configuration, wall)
        if wanted is self._registry.directory:
            return True
        if not self._registry.may_write(clocks.read_steady()):
            # It is written with the next change.
            return True
        if not self._registry.write(wanted, self._ownership):
            return False
        # After a conflict the other manager's entries are merged.
        self.set_configuration(self._cluster.configuration, wall)
        return self._registry.directory is wanted

    def _search_unknown(self, now: float) -> None:
        """Have the directory read again if a job's queue is not known.

        A manager with an earlier configuration may have added its entry.

        :param now: Present time, in seconds.
        """
        if now - self._searched_at < self._search_interval:
            return
        known = self._cluster.queues
        if all(
            state.queue in known for state in self._cluster.open_jobs.values()
        ):
            self._search_interval = MIN_SEARCH_INTERVAL_S
            return
        self._searched_at = now
        self._search_interval = min(
            2 * self._search_interval, MAX_SEARCH_INTERVAL_S
        )
        self._spawn(self._search)

    def _search(self) -> None:
        if self._registry.refresh():
            self.set_configuration(
                self._cluster.configuration, clocks.read_wall()
            )

    def _make_directory(
        self, configuration: queues.Configuration, wall: float
    ) -> namespaces.Directory:
        held = {state.queue for state in self._cluster.jobs.values()}
        return namespaces.update(
            self._registry.directory, configuration, held, wall
        )
