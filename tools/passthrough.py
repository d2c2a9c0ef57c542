"""A naive pass-through on the same libraries: the baseline of the entry.

It takes a request, sends it to the next target in turn, and returns the
answer.  No admission, no shares, no checks, no retries.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import itertools  # noqa: E402

import geventhttpclient  # noqa: E402

from standins import serving  # noqa: E402

DROPPED = ("connection", "transfer-encoding", "date", "content-length")


class Passthrough:
    """The application."""

    def __init__(self, addresses):
        clients = [
            geventhttpclient.HTTPClient(
                host, int(port), concurrency=64, network_timeout=60
            )
            for host, port in (text.rsplit(":", 1) for text in addresses)
        ]
        self.clients = itertools.cycle(clients)

    def __call__(self, environ, start_response):
        headers = {
            name[5:].replace("_", "-").title(): value
            for name, value in environ.items()
            if name.startswith("HTTP_") and name != "HTTP_HOST"
        }
        path = environ["PATH_INFO"]
        if environ["QUERY_STRING"]:
            path += "?" + environ["QUERY_STRING"]
        response = next(self.clients).request(
            environ["REQUEST_METHOD"],
            path,
            body=environ["wsgi.input"].read(),
            headers=headers,
        )
        body = bytes(response.read())
        answer = [
            (name, value)
            for name, value in response.headers
            if name.lower() not in DROPPED
        ]
        answer.append(("Content-Length", str(len(body))))
        start_response(f"{response.status_code} OK", answer)
        return [body]


def main():
    """Run the pass-through."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("targets", nargs="+", help="IP:PORT of each target")
    given = parser.parse_args()
    application = Passthrough(given.targets)
    serving.make_server("127.0.0.1", given.port, application).start()
    serving.serve_until_killed()


if __name__ == "__main__":
    main()
