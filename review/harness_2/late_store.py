"""A proxy before the store that loses the answers of chosen writes.

A chosen write reaches the store some seconds later, and its connection says
nothing further, as the store's page describes.
"""

from __future__ import annotations

import http.client
import http.server
import threading
import time

HOST = "127.0.0.1"
TIMEOUT_S = 40.0
KEPT_HEADERS = ("Content-Type",)


class LateStore:
    """Passes calls on to the store.

    :param record: The case's record.
    :param port: Port of the store.
    :param is_lost: Returns whether the answer of a write is lost, from its
        body.
    :param delay: How much later a lost write is made, in seconds.
    """

    def __init__(self, record, port, is_lost, delay):
        self._record = record
        self._target = port
        self._is_lost = is_lost
        self._delay = delay
        self.writes = 0
        self.lost = 0
        proxy = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_call(self):
                proxy.pass_on(self)

            do_GET = do_POST = do_DELETE = handle_call

            def log_message(self, *arguments):
                """Write nothing."""

        self._server = http.server.ThreadingHTTPServer((HOST, 0), Handler)
        self._server.daemon_threads = True
        self.port = self._server.server_address[1]
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    def pass_on(self, handler):
        """Answer one call, or lose its answer."""
        length = int(handler.headers.get("Content-Length", "0"))
        body = handler.rfile.read(length)
        is_write = handler.path.startswith("/kv-txn")
        self.writes += is_write
        if is_write and self._is_lost(body):
            self.lost += 1
            self._record.write(
                f"disruption: the answer of a write is lost, and the write "
                f"is made {self._delay} s later"
            )
            time.sleep(self._delay)
            status, _ = self._call(handler, body)
            self._record.write(f"store: the late write ended with {status}")
            handler.close_connection = True
            return
        try:
            status, answer = self._call(handler, body)
        except (OSError, http.client.HTTPException):
            handler.close_connection = True
            return
        try:
            handler.send_response(status)
            handler.send_header("Content-Type", "application/json")
            handler.send_header("Content-Length", str(len(answer)))
            handler.end_headers()
            handler.wfile.write(answer)
        except OSError:
            handler.close_connection = True

    def _call(self, handler, body):
        connection = http.client.HTTPConnection(
            HOST, self._target, timeout=TIMEOUT_S
        )
        try:
            headers = {
                name: handler.headers[name]
                for name in KEPT_HEADERS
                if name in handler.headers
            }
            connection.request(
                handler.command, handler.path, body or None, headers
            )
            reply = connection.getresponse()
            return reply.status, reply.read()
        finally:
            connection.close()
