"""Stand-in for the platform: key-value service and list of VMs.

Compare-and-swap, leases, watches, a list that lags, rate limits; and on
command an outage, slowness, and writes whose answer is lost.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import base64  # noqa: E402
import collections  # noqa: E402
import random  # noqa: E402
import time  # noqa: E402
import urllib.parse  # noqa: E402

import gevent  # noqa: E402
from gevent import event  # noqa: E402

from standins import serving  # noqa: E402

VALUE_LIMIT = 1024 * 1024


class Faults:
    """Faults that tests set."""

    def __init__(self):
        self.outage = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.lose_ratio = 0.0
        self.blocked = []


class Platform:
    """The state of the service, as a WSGI application."""

    def __init__(self, seed, vm_lag, reads_per_s, writes_per_s):
        self.values = {}
        self.revision = 0
        self.leases = {}
        self.vms = {}
        self.vm_history = collections.deque([(0.0, ())])
        self.vm_lag = vm_lag
        self.faults = Faults()
        self.random = random.Random(seed)
        self.changed = event.Event()
        self.calls = collections.Counter()
        self.limits = {"read": reads_per_s, "write": writes_per_s}
        self.window = collections.Counter()
        self.window_start = 0.0

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/control":
            return self.control(environ, start_response)
        caller = environ.get("HTTP_RACKVALVE_VM", "")
        if self.faults.outage or caller in self.faults.blocked:
            raise ConnectionError("ordered outage")
        kind = "read" if environ["REQUEST_METHOD"] == "GET" else "write"
        self.calls[kind] += 1
        if self.is_over_limit(kind):
            return serving.answer_json(
                start_response, {}, "429 Too Many Requests"
            )
        if self.faults.delay_s:
            gevent.sleep(self.faults.delay_s * self.random.uniform(0.5, 1.5))
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        if path.startswith("/v1/keys/"):
            name = path[len("/v1/keys/") :]
            if kind == "read":
                return self.read(name, query, start_response)
            return self.write(name, query, environ, start_response)
        if path.startswith("/v1/leases/"):
            name = path[len("/v1/leases/") :]
            return self.lease(name, query, start_response)
        if path == "/v1/vms":
            return serving.answer_json(start_response, self.list_vms())
        return serving.answer_json(start_response, {}, "404 Not Found")

    def is_over_limit(self, kind):
        now = time.monotonic()
        if now - self.window_start >= 1.0:
            self.window.clear()
            self.window_start = now
        self.window[kind] += 1
        return self.window[kind] > self.limits[kind]

    def read(self, name, query, start_response):
        after = int(query.get("after", -1))
        end = time.monotonic() + float(query.get("wait", 0))
        while "after" in query and self.get_revision(name) <= after:
            left = end - time.monotonic()
            if left <= 0:
                start_response("204 No Content", [("Content-Length", "0")])
                return [b""]
            changed = self.changed
            changed.wait(left)
            if self.faults.outage:
                raise ConnectionError("ordered outage")
        payload, revision = self.values.get(name, (b"", 0))
        answer = {
            "payload": base64.b64encode(payload).decode(),
            "revision": revision,
        }
        return serving.answer_json(start_response, answer)

    def write(self, name, query, environ, start_response):
        payload = environ["wsgi.input"].read()
        if len(payload) > VALUE_LIMIT:
            return serving.answer_json(
                start_response, {}, "413 Content Too Large"
            )
        present = self.get_revision(name)
        if present != int(query["expected"]):
            return serving.answer_json(
                start_response, {"revision": present}, "409 Conflict"
            )
        self.revision += 1
        self.values[name] = (payload, self.revision)
        changed, self.changed = self.changed, event.Event()
        changed.set()
        if self.loses_answer():
            raise ConnectionError("ordered loss of the answer")
        return serving.answer_json(start_response, {"revision": self.revision})

    def loses_answer(self):
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return True
        return self.random.random() < self.faults.lose_ratio

    def get_revision(self, name):
        return self.values.get(name, (b"", 0))[1]

    def lease(self, name, query, start_response):
        now = time.monotonic()
        holder, end = self.leases.get(name, ("", 0.0))
        if end <= now or holder == query["holder"]:
            holder = query["holder"]
            self.leases[name] = (holder, now + float(query["duration"]))
        return serving.answer_json(start_response, {"holder": holder})

    def list_vms(self):
        horizon = time.monotonic() - self.vm_lag
        shown = ()
        for when, vms in self.vm_history:
            if when <= horizon:
                shown = vms
        return {"vms": list(shown)}

    def control(self, environ, start_response):
        order = serving.read_json(environ)
        for name, value in order.get("faults", {}).items():
            setattr(self.faults, name, value)
        if "vm_lag" in order:
            self.vm_lag = order["vm_lag"]
        if "vms" in order:
            self.vm_history.append((time.monotonic(), tuple(order["vms"])))
        return serving.answer_json(
            start_response,
            {
                "calls": dict(self.calls),
                "revision": self.revision,
                "leases": {
                    key: value[0] for key, value in self.leases.items()
                },
            },
        )


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--vm-lag", type=float, default=0.0)
    parser.add_argument("--reads-per-s", type=float, default=2000.0)
    parser.add_argument("--writes-per-s", type=float, default=100.0)
    given = parser.parse_args()
    platform = Platform(
        given.seed, given.vm_lag, given.reads_per_s, given.writes_per_s
    )
    serving.make_server(given.host, given.port, platform).start()
    serving.serve_until_killed()


if __name__ == "__main__":
    main()
