"""Stand-in for the service that tells which workers may run a step."""

from __future__ import annotations

import http.server
import json
import threading
import time

HOST = "127.0.0.1"


class Adviser:
    """Answers ``POST /advise`` by a fixed policy.

    :param record: The case's record.
    :param may_run: Returns whether a worker may run a step, from the step's
        name and the worker's id.
    :param decide_ms: Time that a call takes, in milliseconds.
    """

    def __init__(self, record, may_run, decide_ms=20):
        adviser = self
        self._record = record
        self._may_run = may_run
        self._decide_s = decide_ms / 1000

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_POST(self):
                adviser.answer(self)

            def log_message(self, *arguments):
                """Write nothing."""

        self._server = http.server.ThreadingHTTPServer((HOST, 0), Handler)
        self._server.daemon_threads = True
        self.port = self._server.server_address[1]
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    def answer(self, handler):
        """Answer one call."""
        length = int(handler.headers.get("Content-Length", "0"))
        asked = json.loads(handler.rfile.read(length))
        time.sleep(self._decide_s)
        good = [
            [worker, f"t-{asked['step']}-{worker}"]
            for worker in asked["workers"]
            if self._may_run(asked["step"], worker)
        ]
        self._record.write(
            f"adviser at {self.port}: step {asked['step']}, asked of "
            f"{len(asked['workers'])} workers, {len(good)} may run it"
        )
        body = json.dumps({"good": good}).encode()
        handler.send_response(200)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def close(self):
        """Stop to listen."""
        self._server.shutdown()
        self._server.server_close()
