"""Starts this manager's relay server once it is among the first of its hall.

The server keeps running from then on: peers that know an older membership may
still choose it.
"""

from __future__ import annotations

import gevent
from gevent import event
import msgspec

from rackvalve import logs
from rackvalve.manager.peers import membership as memberships
from rackvalve.manager.peers import registration as registrations
from rackvalve.manager.peers import relay
from rackvalve.manager.peers import relay_loader
from rackvalve.manager import timing


class RelayService:
    """Serves peers' requests, if peers would choose this manager.

    :param own: Registration of this manager.
    :param ports: Ports to try, in order.
    :param membership: The managers that are registered.
    :param registration: Publishes the port that was taken.
    :param loader: Makes the server.
    :param handle: Answers one request.
    """

    __slots__ = (
        "_own",
        "_ports",
        "_membership",
        "_registration",
        "_loader",
        "_handle",
        "_server",
        "_has_failed",
    )

    def __init__(
        self,
        own: memberships.Member,
        ports: range,
        *,
        membership: memberships.Membership,
        registration: registrations.Registration,
        loader: relay_loader.Loader,
        handle: relay.Handle,
    ) -> None:
        self._own = own
        self._ports = ports
        self._membership = membership
        self._registration = registration
        self._loader = loader
        self._handle = handle
        self._server: relay.Server | None = None
        # Whether no server could be started.  The registration then has no
        # address, so that peers choose another manager.
        self._has_failed = False

    def run(self) -> None:
        """Start the server once peers may choose this manager.

        Then wait until killed.
        """
        while self._server is None and not self._has_failed:
            if is_chosen(self._membership.list_members(), self._own):
                self._start()
            gevent.sleep(timing.RELAY_CHECK_INTERVAL_S)
        event.Event().wait()

    def stop(self) -> None:
        """Serve no more."""
        if self._server is not None:
            self._server.stop()

    def _start(self) -> None:
        server = self._loader.make_server(self._handle)
        if server is None:
            self._has_failed = True
            # Peers leave out managers without an address.
            self._registration.set_address("")
            return
        host = self._own.address.rpartition(":")[0]
        address = server.listen(host, self._ports)
        self._registration.set_address(address)
        if not address:
            self._has_failed = True
            logs.write_warning(
                "relay.rejected",
                reason=f"no port of {self._ports.start} to "
                f"{self._ports.stop - 1} is free: enlarge peer_ports",
            )
            return
        self._server = server
        logs.write_event("relay.listening", address=address)


def is_chosen(
    members: list[memberships.Member], own: memberships.Member
) -> bool:
    """Return whether peers choose a manager as a relay target.

    :param members: The managers that are registered.
    :param own: The manager.
    """
    peer = msgspec.structs.replace(own, process="", address="")
    return any(
        target.process == own.process
        for target in memberships.list_relay_targets(
            members, peer, timing.RELAY_TARGETS_PER_HALL
        )
    )
