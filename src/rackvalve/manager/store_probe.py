"""Prober of the store, which detects the end of an outage.

Calls that hang in an outage are never answered, and their timeouts are up to
1.6 s.  While the store does not answer, cheap calls at a short interval show
when it answers again; then the calls in flight are made anew.  While the store
answers, the prober makes no calls.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import event

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager import timing
from rackvalve.platform import store as stores
from rackvalve.platform import store_statuses as statuses

# Lowest status by which a server says that it cannot serve a call.
_SERVER_ERROR = 500


class StoreProber:
    """Probes the store from the first failed call until it answers again.

    :param store: Client of the store for the probes alone.
    :param key: The key that probes read; it may be absent.
    :param on_recovery: Called when an outage has ended.
    """

    __slots__ = ("_store", "_key", "_on_recovery", "_suspected", "_answers")

    def __init__(
        self,
        store: stores.Store,
        *,
        key: str,
        on_recovery: Callable[[], None],
    ) -> None:
        self._store = store
        self._key = key
        self._on_recovery = on_recovery
        # Set when a call has failed.
        self._suspected = event.Event()
        # Number of calls, other than probes, that the store has answered.
        self._answers = 0

    def set_address(self, host: str, port: int) -> None:
        """Use another address for all further probes.

        :param host: IP address of the store.
        :param port: Port of the store.
        """
        self._store.set_address(host, port)

    def note_call(self, outcome: str) -> None:
        """Note the outcome of a call to the store that is not a probe.

        :param outcome: Its status, or why there is none.
        """
        if outcome == stores.CANCELLED:
            # Cancelled by this prober: probing again would cancel the calls
            # to a slow store again and again.
            return
        if _is_answered(outcome):
            self._answers += 1
        else:
            self._suspected.set()

    def run(self) -> None:
        """Probe the store in each outage, until the greenlet is killed."""
        while True:
            self._suspected.wait()
            self._probe_until_answered()

    def _probe_until_answered(self) -> None:
        began = clocks.read_steady()
        failures = 0
        timeout = timing.PROBE_TIMEOUT_S
        while True:
            sent = clocks.read_steady()
            answers = self._answers
            found = self._store.read(self._key, timeout=timeout)
            # Calls that failed until now are explained by this probe.
            self._suspected.clear()
            if not isinstance(found, stores.Unavailable):
                break
            failures += 1
            taken = clocks.read_steady() - sent
            if taken >= timeout and self._answers > answers:
                timeout = min(2 * timeout, timing.MAX_PROBE_TIMEOUT_S)
            gevent.sleep(max(0.0, timing.PROBE_INTERVAL_S - taken))
        if failures < timing.PROBES_OF_OUTAGE:
            # Single calls that fail cost at most one probe in this time.
            gevent.sleep(timing.PROBE_INTERVAL_S)
            return
        logs.write_event(
            "store.recovered",
            probes=failures,
            seconds=round(clocks.read_steady() - began, 3),
        )
        self._on_recovery()


def _is_answered(outcome: str) -> bool:
    """Return whether the outcome of a call shows that the store serves."""
    if not outcome.isdigit():
        return False
    status = int(outcome)
    return status < _SERVER_ERROR and status not in statuses.BUSY
