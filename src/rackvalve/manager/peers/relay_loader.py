"""Loads the client and the server of the relay, and gRPC, on first use.

gRPC costs 13 MB when it is imported and 21 MB once it has served calls, which
the managers that neither relay nor serve should not pay.
"""

from __future__ import annotations

import importlib
import os
from typing import Any

import gevent
from gevent import lock

from rackvalve import logs
from rackvalve.manager.peers import relay

# gRPC writes lines of its own to stderr, one for each port in use, which are
# no JSON; an operator who needs them sets the variable.
_VERBOSITY = ("GRPC_VERBOSITY", "NONE")
_BRIDGE = "rackvalve.rpc.hub_bridge"
_CLIENT = "rackvalve.manager.peers.relay_client"
_SERVER = "rackvalve.manager.peers.relay_server"


class Loader:
    """Makes the client and servers of one manager."""

    __slots__ = ("_lock", "_bridge", "_client", "_is_missing", "_is_begun")

    def __init__(self) -> None:
        self._lock = lock.BoundedSemaphore()
        self._bridge: Any = None
        self._client: relay.Client | None = None
        # Whether gRPC is not installed.
        self._is_missing = False
        # Whether loading in the background was begun.
        self._is_begun = False

    def load_in_background(self) -> None:
        """Make the client without waiting, unless that was begun before."""
        if not self._is_begun:
            self._is_begun = True
            gevent.spawn(self.get_client)

    def get_client(self) -> relay.Client | None:
        """Return the client; ``None`` if gRPC is not installed."""
        if self._client is None:
            with self._lock:
                if self._client is None:
                    module = self._load(_CLIENT)
                    if module is not None:
                        self._client = module.make_client(self._bridge)
        return self._client

    def make_server(self, handle: relay.Handle) -> relay.Server | None:
        """Make a server; ``None`` if gRPC is not installed.

        :param handle: Answers one request.
        """
        with self._lock:
            module = self._load(_SERVER)
            if module is None:
                return None
            server: relay.Server = module.make_server(self._bridge, handle)
            return server

    def _load(self, name: str) -> Any:
        """Import a module, in a thread so that requests are still served."""
        if self._is_missing:
            return None
        os.environ.setdefault(*_VERBOSITY)
        run = gevent.get_hub().threadpool.apply
        try:
            if self._bridge is None:
                bridges = run(importlib.import_module, (_BRIDGE,))
                self._bridge = bridges.HubBridge()
            return run(importlib.import_module, (name,))
        except ImportError as error:
            self._is_missing = True
            logs.write_warning(
                "relay.rejected",
                reason=f"{error}: install deploy/requirements.txt",
            )
            return None
