"""Stand-in for the users' platform, made of the project's own stand-ins.

It adds what the cases need and the pages describe: a worker's connections end
with its process, and the store takes no value beyond a size.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import base64  # noqa: E402
import time  # noqa: E402

from standins import keyvalue  # noqa: E402
from standins import serving  # noqa: E402
from standins import site as sites  # noqa: E402
from standins import worker as workers  # noqa: E402

# `platform.value_bytes` of the users' page.
VALUE_BYTES = 1048576


class Store(keyvalue.Store):
    """A store that takes no value beyond `value_bytes`."""

    refused: list = []

    def _transact(self, order):
        for put in order.get("put", []):
            size = len(base64.b64decode(put["value"]))
            if size > VALUE_BYTES:
                self.refused.append([time.monotonic(), put["key"], size])
                return "400 Too large a value", {}
        return super()._transact(order)


class Site(sites.Site):
    """The platform with its workers."""

    def end_worker(self, name, cause, entry=0.0, *, is_silent=False):
        """End a worker; its connections end with it."""
        incarnation = self.machines[name].worker
        super().end_worker(name, cause, entry, is_silent=is_silent)
        if incarnation is not None and not is_silent:
            incarnation.close_connections()

    def _apply_order(self, order):
        if "refused values" in order:
            return {"refused": Store.refused}
        return super()._apply_order(order)


def main():
    """Serve until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--worker-ports", required=True)
    parser.add_argument("--pools", required=True)
    parser.add_argument("--racks", type=int, default=1)
    found = parser.parse_args()
    options = argparse.Namespace(
        slow_clocks=False,
        move=1.5,
        upkeep=2.0,
        list_lag=0.0,
        no_births=True,
        keep_names=False,
        cold=0.0,
        tick=workers.TICK_S,
        halls=1,
        racks=found.racks,
    )
    keyvalue.Store = Store
    pools = {
        name: int(count)
        for name, _, count in (
            part.partition("=") for part in found.pools.split(",")
        )
    }
    capacity = {"cpu": 32000, "mem-mb": 131072, "gpu": 0}
    ports = [(int(port), int(port)) for port in found.worker_ports.split(",")]
    site = Site(pools, ports, capacity, options)
    serving.make_server(sites.HOST, found.port, site).start()
    serving.serve_until_killed()


if __name__ == "__main__":
    main()
