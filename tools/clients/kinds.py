"""The kinds of misbehaving clients, each a function that plays a session."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import itertools
import json

import gevent

from tools.clients import sessions

# Longest body that the site accepts, in bytes.
BODY_LIMIT = 262144
# Length of a body that is far too long, in bytes.
OVERSIZED = 1 << 30
BLOCK = b"x" * 65536
SMALL_JOB = json.dumps(
    {"spec": "work_ms=20", "steps": [{"count": 1, "cpu": 500}]}
).encode()
LONG_JOB = json.dumps(
    {"spec": "work_ms=2000", "steps": [{"count": 1, "cpu": 500}]}
).encode()
# Jobs of few bytes and as many tasks as are accepted, at once and in
# repetitions that are all due.
WIDE_JOB = json.dumps(
    {"spec": "work_ms=2000", "steps": [{"count": 4096, "cpu": 500}]}
).encode()
REPEATED_JOB = json.dumps(
    {
        "spec": "work_ms=2000",
        "steps": [{"count": 4096, "cpu": 500}],
        "first-run-ms": 1,
        "interval-ms": 0.001,
        "repetitions": 10000,
    }
).encode()
# Rejected after it was read whole, so that no job is accepted.
INVALID_JOB = b'{"spec":"work_ms=20","steps":[]'


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Kind:
    """A kind of client.

    :param play: Plays it on an open connection.
    :param connections: Connections that a crowd of this kind opens.
    """

    play: Callable[[sessions.Session], None]
    connections: int


def _frame(length):
    return (f"Content-Length: {length}", "Content-Type: application/json")


def _pad(start, end=b"}"):
    """Return a body of the greatest legal length, padded by white space."""
    return start + b" " * (BODY_LIMIT - len(start) - len(end)) + end


def _fill(start, item, end):
    """Return a body of legal length that repeats a short item."""
    count = (BODY_LIMIT - len(start) - len(end)) // (len(item) + 1)
    return start + b",".join(itertools.repeat(item, count)) + end


WHOLE_BODY = _pad(INVALID_JOB)
# Bodies within the limit that are made of very many short fields.
FIELD_BODIES = (
    _fill(b'{"spec":"","steps":[', b"{}", b"]}"),
    _fill(b'{"spec":"","steps":[{"after-rev":[', b"0", b"]}]}"),
    _fill(b'{"spec":"","steps":[{"requirements":[', b'"a"', b"]}]}"),
    _fill(b'{"spec":"","steps":[],', b'"a":0', b"}"),
    _fill(b'{"spec":"","steps":[{', b'"cpu":1', b"}]}"),
    b'{"spec":"","steps":' + b"[" * (BODY_LIMIT - 20),
)
CHUNKED = ("Transfer-Encoding: chunked",)


def play_whole_bodies(session):
    """Send bodies of the greatest legal length, one after the other."""
    while True:
        session.send(session.make_head(fields=_frame(BODY_LIMIT)))
        session.send(WHOLE_BODY)
        session.read_answer()


def play_held_bodies(session):
    """Send a whole legal body but for its last byte."""
    session.send(session.make_head(fields=_frame(BODY_LIMIT)))
    session.send(WHOLE_BODY[:-1])
    session.hold()


def play_piecewise_bodies(session):
    """Send a legal body in small pieces, and never its last one."""
    session.send(session.make_head(fields=_frame(BODY_LIMIT)))
    session.send_slowly(WHOLE_BODY[:-64], size=1024, pause=0.01)
    session.hold()


def play_chunked_bodies(session):
    """Send a legal body in small chunks, and never its last one."""
    session.send(session.make_head(fields=CHUNKED))
    chunk = b"40\r\n" + b" " * 64 + b"\r\n"
    for _ in range(BODY_LIMIT // 64 // 16):
        session.send(chunk * 15)
        gevent.sleep(0.01)
    session.hold()


def play_oversized_bodies(session):
    """Announce a body far over the limit, and send it without reading."""
    session.send(session.make_head(fields=_frame(OVERSIZED)))
    while True:
        session.send(BLOCK)


def play_oversized_chunks(session):
    """Send chunks without end."""
    session.send(session.make_head(fields=CHUNKED))
    while True:
        session.send(b"10000\r\n" + BLOCK + b"\r\n")


def play_endless_trailers(session):
    """End a chunked body by trailers without end."""
    session.send(session.make_head(fields=CHUNKED) + b"2\r\n{}\r\n0\r\n")
    trailers = b"a: b\r\n" * 8192
    while True:
        session.send(trailers)


def play_endless_extension(session):
    """Send a chunk whose extension does not end."""
    session.send(session.make_head(fields=CHUNKED) + b"2;")
    while True:
        session.send(BLOCK)


def play_many_chunk_fields(session):
    """Send a legal body in chunks of one byte, as fast as possible."""
    while True:
        session.send(session.make_head(fields=CHUNKED))
        session.send(b"1\r\n \r\n" * (BODY_LIMIT - 1) + b"0\r\n\r\n")
        session.read_answer()


def play_header_fields(session):
    """Send header fields without end."""
    session.send(session.make_head()[:-2])
    fields = b"a: b\r\n" * 1024
    while True:
        session.send(fields)


def play_short_header_fields(session):
    """Send requests whose headers are legal and full of short fields."""
    fields = [f"x{number}: y" for number in range(90)]
    while True:
        session.send(session.make_head("GET", fields))
        session.read_answer()


def play_body_fields(session):
    """Send legal bodies made of very many short fields."""
    while True:
        body = session.random.choice(FIELD_BODIES)
        session.send(session.make_head(fields=_frame(len(body))))
        session.send(body)
        session.read_answer()


def play_requests_ahead(session):
    """Send requests without reading any answer."""
    requests = b"".join(session.make_head("GET") for _ in range(64))
    while True:
        session.send(requests)


def play_jobs_ahead(session):
    """Submit small jobs without reading any answer."""
    _submit_ahead(session, SMALL_JOB)


def play_long_jobs_ahead(session):
    """Submit small jobs that take long, without reading any answer."""
    _submit_ahead(session, LONG_JOB)


def play_wide_jobs_ahead(session):
    """Submit jobs of many tasks without reading any answer."""
    _submit_ahead(session, WIDE_JOB)


def play_repeated_jobs(session):
    """Submit jobs of many repetitions, one after the other."""
    head = session.make_head(fields=_frame(len(REPEATED_JOB)))
    while True:
        session.send(head + REPEATED_JOB)
        session.read_answer()


def _submit_ahead(session, job):
    fields = _frame(len(job))
    while True:
        session.send(
            b"".join(session.make_head(fields=fields) + job for _ in range(32))
        )


def play_silence(session):
    """Send nothing."""
    session.hold()


def play_half_headers(session):
    """Stop half-way in the header."""
    session.send(session.make_head()[:-4])
    session.hold()


def play_slow_headers(session):
    """Send the header byte by byte, far too slowly."""
    session.send_slowly(session.make_head(), size=1, pause=0.4)
    session.hold()


def play_slow_bodies(session):
    """Send half of a body at once, and the rest byte by byte."""
    session.send(session.make_head(fields=_frame(BODY_LIMIT)))
    session.send(WHOLE_BODY[: BODY_LIMIT // 2])
    session.send_slowly(WHOLE_BODY[BODY_LIMIT // 2 :], size=1, pause=1.0)


def play_slow_readers(session):
    """Send requests, and read their answers byte by byte."""
    session.shrink_receive_buffer()
    sender = gevent.spawn(session.send, session.make_head("GET") * 4096)
    try:
        session.read_slowly(pause=0.5)
    finally:
        sender.kill()


KINDS = {
    "whole-bodies": Kind(play=play_whole_bodies, connections=400),
    "held-bodies": Kind(play=play_held_bodies, connections=2200),
    "piecewise-bodies": Kind(play=play_piecewise_bodies, connections=1500),
    "chunked-bodies": Kind(play=play_chunked_bodies, connections=1500),
    "oversized-bodies": Kind(play=play_oversized_bodies, connections=200),
    "oversized-chunks": Kind(play=play_oversized_chunks, connections=200),
    "endless-trailers": Kind(play=play_endless_trailers, connections=3),
    "endless-extension": Kind(play=play_endless_extension, connections=50),
    "one-byte-chunks": Kind(play=play_many_chunk_fields, connections=20),
    "header-fields": Kind(play=play_header_fields, connections=400),
    "short-header-fields": Kind(
        play=play_short_header_fields, connections=100
    ),
    "body-fields": Kind(play=play_body_fields, connections=100),
    "requests-ahead": Kind(play=play_requests_ahead, connections=300),
    "jobs-ahead": Kind(play=play_jobs_ahead, connections=300),
    "long-jobs-ahead": Kind(play=play_long_jobs_ahead, connections=300),
    "wide-jobs-ahead": Kind(play=play_wide_jobs_ahead, connections=100),
    "repeated-jobs": Kind(play=play_repeated_jobs, connections=1),
    "silence": Kind(play=play_silence, connections=4600),
    "half-headers": Kind(play=play_half_headers, connections=4600),
    "slow-headers": Kind(play=play_slow_headers, connections=2000),
    "slow-bodies": Kind(play=play_slow_bodies, connections=2000),
    "slow-readers": Kind(play=play_slow_readers, connections=1000),
}
