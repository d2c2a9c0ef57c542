"""Steps about what a manager knows of peers and loads for them."""

from __future__ import annotations

import time

import behave
import gevent
import msgspec

from features.steps import relay_steps
from rackvalve.manager.peers import membership
from rackvalve.manager.peers import relay_loader
from rackvalve.manager.peers import relay_service
from rackvalve.platform import store as stores


@behave.then("a manager's earlier process at its address is no target of it")
def check_own_address(context):
    own = relay_steps.make_member(1)
    earlier = msgspec.structs.replace(own, process="vm-1 earlier")
    other = msgspec.structs.replace(own, process="vm-2 0", vm="vm-2")
    found = membership.list_relay_targets([own, earlier, other], own, 3)
    assert found == (other,), found
    assert relay_service.is_chosen([own], own)


@behave.then("a registration that cannot be read is forgotten with its key")
def check_forgotten(context):
    key = membership.make_key("vm-1 0")
    bad = stores.Item(key=key, payload=b"", revision=4, created=4)
    gone = stores.Changes(written=(), removed=((key, 5),), revision=5)
    known = membership.Membership()
    known.apply_range([bad], 0.0)
    assert known._unreadable
    known.apply_changes(gone, 0.0)
    assert not known._unreadable
    known.apply_range([bad], 0.0)
    known.apply_range([], 0.0)
    assert not known._unreadable


@behave.then("gRPC is loaded once, without waiting, when the store fails")
def check_loading(context):
    loads = []

    class SlowLoader(relay_loader.Loader):
        def _load(self, name):
            gevent.sleep(0.05)
            loads.append(name)

    loader = SlowLoader()
    for _ in range(3):
        began = time.monotonic()
        loader.load_in_background()
        assert time.monotonic() - began < 0.04
    gevent.sleep(0.2)
    assert len(loads) == 1, loads
