"""Stand-in for targets: several VMs in one process, a port each.

A request's query says how it runs: ``run_ms`` and ``size``.  On command a
VM answers broken, late, truncated, twice or for another request, refuses,
or fails every task.  It counts what it ran, how often, and how many at once.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import collections  # noqa: E402
import hashlib  # noqa: E402
import random  # noqa: E402
import urllib.parse  # noqa: E402

import gevent  # noqa: E402

from standins import serving  # noqa: E402

ID_HEADER = "Rackvalve-Request-Id"


class Target:
    """One VM."""

    def __init__(self, name, slots, seed):
        self.name = name
        self.slots = slots
        self.random = random.Random(f"{seed}/{name}")
        self.fault = ""
        self.fault_ratio = 1.0
        self.latency_ms = 0.0
        self.running = 0
        self.most_running = 0
        self.arrived = 0
        self.refused = 0
        self.runs = collections.Counter()
        self.last_arrival = 0.0

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/-/health":
            status = "200 OK" if self.fault != "fail" else "500 Ill"
            return serving.answer_json(start_response, {}, status)
        if path == "/-/control":
            return self.control(environ, start_response)
        return self.run(environ, start_response)

    def run(self, environ, start_response):
        request_id = environ.get("HTTP_RACKVALVE_REQUEST_ID", "")
        self.arrived += 1
        body = environ["wsgi.input"].read()
        fault = self.draw_fault()
        if fault == "refuse":
            self.refused += 1
            return serving.answer_json(
                start_response, {}, "503 Service Unavailable"
            )
        key = environ.get("HTTP_IDEMPOTENCY_KEY") or request_id
        self.runs[key] += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        # Flushed lines survive a kill of this process.
        print("ran", key, flush=True)
        if self.running > self.slots:
            print("over", self.name, self.running, flush=True)
        try:
            query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
            wait = float(query.get("run_ms", 0)) + self.latency_ms
            if fault == "late":
                wait += 60_000.0
            if wait:
                gevent.sleep(wait / 1000.0)
        finally:
            self.running -= 1
        answer = self.make_body(request_id, body, int(query.get("size", 0)))
        return self.answer(fault, environ, start_response, request_id, answer)

    def draw_fault(self):
        if self.fault and self.random.random() < self.fault_ratio:
            return self.fault
        return ""

    def make_body(self, request_id, body, size):
        digest = hashlib.sha256(body).hexdigest()
        head = f"{self.name} {request_id} {digest}\n".encode()
        return head + b"x" * max(0, size - len(head))

    def answer(self, fault, environ, start_response, request_id, body):
        sock = environ["standin.socket"]
        if fault == "mismatch":
            request_id = "another-request"
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Target-Vm: {self.name}\r\n"
            f"{ID_HEADER}: {request_id}\r\n\r\n"
        ).encode()
        if fault == "truncate":
            sock.sendall(head + body[: len(body) // 2])
            raise ConnectionError("ordered truncation")
        if fault == "garbage":
            sock.sendall(b"\x00\xffnot http at all\r\n\r\n")
            raise ConnectionError("ordered garbage")
        if fault == "reset":
            raise ConnectionError("ordered reset")
        if fault == "twice":
            sock.sendall(head + body)
        if fault == "overlong":
            sock.sendall(head + body + b"more than was announced")
            raise ConnectionError("ordered excess")
        status = "500 Failed" if fault == "fail" else "200 OK"
        headers = [
            (ID_HEADER, request_id),
            ("Content-Length", str(len(body))),
            ("Target-Vm", self.name),
        ]
        start_response(status, headers)
        return [body]

    def control(self, environ, start_response):
        order = serving.read_json(environ)
        for name, value in order.items():
            setattr(self, name, value)
        twice = {key: n for key, n in self.runs.items() if n > 1}
        return serving.answer_json(
            start_response,
            {
                "running": self.running,
                "most_running": self.most_running,
                "arrived": self.arrived,
                "refused": self.refused,
                "ran": sum(self.runs.values()),
                "twice": twice,
                "ids": list(self.runs) if order.get("ids") else [],
            },
        )


def main():
    """Run the stand-ins."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("vms", nargs="+", help="NAME:PORT of each VM")
    given = parser.parse_args()
    for text in given.vms:
        name, port = text.rsplit(":", 1)
        target = Target(name, given.slots, given.seed)
        serving.make_server(given.host, int(port), target).start()
    serving.serve_until_killed()


if __name__ == "__main__":
    main()
