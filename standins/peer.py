"""Stand-in for a faulty peer of managers, and a caller of their relay.

With ``--port`` it serves relayed requests: ``hang`` never answers, ``odd``
answers with a status that does not exist, ``abort`` ends the call with an
error, ``none`` has no such call.  With ``--ask`` it sends one request to a
manager and prints the status and the reason of the answer.  With ``--stall``
it opens a call to a manager and sends no message.
"""

from __future__ import annotations

import argparse
from concurrent import futures
import json
import time

import grpc

from rackvalve.rpc import rackvalve_pb2
from rackvalve.rpc import rackvalve_pb2_grpc

HANG_S = 3600.0
ASK_TIMEOUT_S = 3.0
STALL_S = 2.0


class Peer(rackvalve_pb2_grpc.PeerServicer):
    """Answers in the way that the command line sets."""

    def __init__(self, how):
        self.how = how

    def Relay(self, request, context):
        """Answer one request."""
        if self.how == "hang":
            time.sleep(HANG_S)
        if self.how == "abort":
            context.abort(grpc.StatusCode.UNAVAILABLE, "going away")
        return rackvalve_pb2.RelayAnswer(status=9999)


def ask(address, release, hops):
    """Send one request to a manager."""
    stub = rackvalve_pb2_grpc.PeerStub(grpc.insecure_channel(address))
    request = rackvalve_pb2.RelayRequest(
        method="GET",
        host="jobs.example",
        path="/lookup/00000000000000aa",
        remaining_ms=1000,
        hops=hops,
        release=release,
    )
    answer = stub.Relay(request, timeout=ASK_TIMEOUT_S)
    print(json.dumps({"status": answer.status, "reason": answer.reason}))


def stall(address):
    """Open a call to a manager and send no message until its deadline."""

    def send_nothing():
        time.sleep(2 * STALL_S)
        yield from ()

    with grpc.insecure_channel(address) as channel:
        call = channel.stream_unary("/rackvalve.Peer/Relay")
        call.future(send_nothing(), timeout=STALL_S).exception()


def main():
    """Serve until killed, or send one request."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int)
    parser.add_argument("--how", default="hang")
    parser.add_argument("--ask")
    parser.add_argument("--stall")
    parser.add_argument("--release", default="")
    parser.add_argument("--hops", type=int, default=1)
    options = parser.parse_args()
    if options.ask:
        ask(options.ask, options.release, options.hops)
        return
    if options.stall:
        stall(options.stall)
        return
    server = grpc.server(futures.ThreadPoolExecutor(max_workers=8))
    if options.how != "none":
        rackvalve_pb2_grpc.add_PeerServicer_to_server(
            Peer(options.how), server
        )
    server.add_insecure_port(f"127.0.0.1:{options.port}")
    server.start()
    server.wait_for_termination()


if __name__ == "__main__":
    main()
