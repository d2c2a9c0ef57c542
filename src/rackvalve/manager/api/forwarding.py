"""Has peers answer requests while the store fails this manager."""

from __future__ import annotations

import dataclasses
import functools

from gevent import queue

from rackvalve import clocks
from rackvalve import logs
from rackvalve.manager.api import relaying
from rackvalve.manager.api import replies
from rackvalve.manager.peers import membership as memberships
from rackvalve.manager.peers import relay
from rackvalve.manager.peers import relay_loader
from rackvalve.manager import timing
from rackvalve import telemetry as telemetries

_Ended = tuple[str, relay.Outcome]


class Forwarder:
    """Relays requests to the managers that serve them.

    :param own: Registration of this manager.
    :param membership: The managers that are registered.
    :param loader: Makes the client.
    :param service: Whether the store serves this process.
    :param telemetry: Metrics of the attempts.
    """

    __slots__ = (
        "_own",
        "_membership",
        "_loader",
        "service",
        "_telemetry",
        "_health",
        "_active",
    )

    def __init__(
        self,
        own: memberships.Member,
        membership: memberships.Membership,
        loader: relay_loader.Loader,
        *,
        service: relaying.StoreService,
        telemetry: telemetries.Telemetry,
    ) -> None:
        self._own = own
        self._membership = membership
        self._loader = loader
        self.service = service
        self._telemetry = telemetry
        self._health = relaying.PeerHealth()
        # Attempts in flight, of all requests.
        self._active = 0

    def forward(
        self,
        request: relay.RelayedRequest,
        unserved: replies.Unserved,
        deadline: float,
    ) -> replies.Reply:
        """Have a request answered by a peer.

        :param request: The request; its remaining time is set here.
        :param unserved: Why this manager could not answer it.
        :param deadline: When it must be answered, in seconds.
        """
        began = clocks.read_steady()
        attempts = relaying.Attempts(request.method, unserved, began, deadline)
        targets = self._choose_targets(attempts, began)
        client = self._loader.get_client() if targets else None
        if client is None:
            return attempts.conclude()
        ended: queue.SimpleQueue[_Ended] = queue.SimpleQueue()
        tried: list[str] = []
        while True:
            now = clocks.read_steady()
            if targets and attempts.may_begin(now):
                if self._active >= timing.MAX_RELAYED_OUT:
                    attempts.note_refused("too many requests are relayed")
                    targets.clear()
                    continue
                tried.append(targets.pop(0))
                attempts.note_begun(now)
                self._send(client, tried[-1], request, deadline - now, ended)
            if attempts.is_settled or not attempts.pending or now >= deadline:
                break
            wait = attempts.choose_wait(now, may_begin=bool(targets))
            try:
                address, outcome = ended.get(timeout=wait)
            except queue.Empty:
                continue
            attempts.note_outcome(address, outcome)
        reply = attempts.conclude()
        logs.write_event(
            "relay.sent",
            method=request.method,
            path=request.path[-40:],
            peers=tried,
            status=int(reply.status),
            unserved=unserved.reason,
            seconds=round(clocks.read_steady() - began, 4),
        )
        return reply

    def _choose_targets(
        self, attempts: relaying.Attempts, now: float
    ) -> list[str]:
        """Return the peers to try, in order; none if none can serve."""
        # Managers whose registration has just ended, as all do in an outage
        # of the store, are tried after those that are registered.
        found = [
            member
            for known in (
                self._membership.list_members(),
                self._membership.list_recent(now),
            )
            for member in memberships.list_relay_targets(
                known, self._own, timing.RELAY_TARGETS_PER_HALL
            )
        ]
        targets = self._health.rank(found, now)
        if not targets:
            attempts.note_refused("no manager takes relayed requests")
        elif not self._health.may_serve(targets, now):
            attempts.note_refused("no manager that was tried serves it")
            return []
        self._health.note_relayed(now)
        return targets

    def _send(
        self,
        client: relay.Client,
        address: str,
        request: relay.RelayedRequest,
        remaining: float,
        ended: queue.SimpleQueue[_Ended],
    ) -> None:
        self._active += 1
        remaining = min(remaining, timing.RELAY_ATTEMPT_TIMEOUT_S)
        on_end = functools.partial(
            self._note_end, request.method, address, ended
        )
        try:
            client.send(
                address,
                dataclasses.replace(request, remaining=remaining),
                on_end,
            )
        except Exception as error:
            # The request may have been sent before the error.
            logs.write_failure("task.failed", message="relaying a request")
            on_end(relay.Unanswered(reason=repr(error)))

    def _note_end(
        self,
        method: str,
        address: str,
        ended: queue.SimpleQueue[_Ended],
        outcome: relay.Outcome,
    ) -> None:
        self._active -= 1
        self._health.note(address, outcome, clocks.read_steady())
        effect = relaying.judge(outcome, writes=method != "GET")
        self._telemetry.relay_sent.labels(effect.value).inc()
        ended.put((address, outcome))
