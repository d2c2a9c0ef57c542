"""Callers that submit, poll and cancel jobs while faults are injected."""

from __future__ import annotations

import dataclasses
import json
import math
import random
import time

import gevent
from geventhttpclient import client as http_clients
from geventhttpclient import response as http_response

from tools.soak import sizes

HOST = "127.0.0.1"
KEY = "soak-key-north"
# The number of the call is appended, so that each such key differs.
INVENTED_KEY = "soak-key-invented-"
# A submission sends an invented key first if the number of the caller's calls
# so far is a multiple of this.
INVENTED_EVERY = 10
HEADERS = {
    "Host": "jobs.example",
    "Content-Type": "application/json",
    "Authorization": f"Bearer {KEY}",
}
FINAL = frozenset({"completed", "failed", "cancelled"})
TIMEOUT_S = 4.0
# Statuses that tell a caller that its job is not accepted.
REFUSAL_STATUSES = frozenset({429, 503})
# Attempts to submit a job before a caller gives up.
MAX_ATTEMPTS = 6
# A caller polls or cancels one of its newest jobs: this many.
RECENT_JOBS = 8
CANCEL_RATIO = 0.1
# Bounds of a caller's pause in a burst, in seconds.
BURST_PAUSE_S = (0.05, 0.3)
# Start time of a lasting task, in milliseconds.
LASTING_START_MS = 1000
# Limit of the tasks of a crashing job, and how long after their start they
# crash their workers, in milliseconds.
CRASHING_TASKS = 3
CRASH_MS = 10
# Tasks of a gang, their work in milliseconds, and the bounds of the pause
# between two gangs in seconds.
GANG_TASKS = 3
GANG_WORK_MS = 2500
GANG_PAUSE_S = (3.0, 6.0)
# Interval at which one manager is asked for a count, in seconds.
COUNT_INTERVAL_S = 0.25
# Queues that configurations add and remove; no other queue is named so.
EXTRA_PREFIX = "extra"
# Interval at which one manager is asked for such a queue, in seconds, and how
# many of the last ones, and of names that never existed, are asked for.
PROBE_INTERVAL_S = 0.1
PROBED_QUEUES = 3
UNKNOWN_QUEUE = "never"


@dataclasses.dataclass(slots=True)
class Call:
    """One call as its caller saw it.

    :param manager: Number of the manager.
    :param began: When it was sent, on the monotonic clock.
    :param ended: When its answer arrived or the connection ended.
    :param status: HTTP status; 0 without a complete answer.
    :param timed_out: Whether the caller gave up.
    :param error: Why there was no complete answer.
    :param refused: Whether the connection was refused.
    :param invented: Whether it sent a key that never existed.
    """

    manager: int
    began: float
    ended: float
    status: int
    timed_out: bool = False
    error: str = ""
    refused: bool = False
    invented: bool = False


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class CountAnswer:
    """An answer about how many jobs of a queue have not begun.

    :param manager: Number of the manager.
    :param queue: The queue.
    :param began: When it was asked, on the monotonic clock.
    :param ended: When its answer arrived.
    :param waiting: The number of waiting jobs.
    """

    manager: int
    queue: str
    began: float
    ended: float
    waiting: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class QueueAnswer:
    """An answer that shows whether a manager knows a queue.

    :param manager: Number of the manager.
    :param queue: Name of the queue.
    :param began: When it was asked, on the monotonic clock.
    :param ended: When its answer arrived.
    :param status: HTTP status; 0 without an answer.
    """

    manager: int
    queue: str
    began: float
    ended: float
    status: int

    @property
    def is_known(self):
        """Whether the manager serves the queue; ``None`` if not told."""
        return {200: True, 404: False}.get(self.status)


@dataclasses.dataclass(slots=True)
class Job:
    """One job as its caller saw it."""

    identity: str
    queue: str
    steps: list
    accepted: bool = False
    # Whether each attempt was answered that the job is not accepted.
    refused: bool = True
    cancel_sent: bool = False
    # Whether its tasks crash each worker that starts them.
    crashing: bool = False
    # When its cancellation was requested and when it was accepted, on the
    # monotonic clock.
    cancelled_at: float = math.inf
    accepted_at: float = math.inf
    states: list = dataclasses.field(default_factory=list)
    # Pool of its queue.
    pool: str = ""

    @property
    def lasting(self):
        """Whether its tasks run until it is cancelled."""
        return any(step.get("long-running") for step in self.steps)

    @property
    def is_gang(self):
        """Whether its tasks work only together."""
        return any(step.get("gang") for step in self.steps)

    def list_tasks(self):
        """Return the names of all its tasks."""
        return [
            f"{self.identity}.0.{number}.{index}"
            for number, step in enumerate(self.steps)
            for index in range(step["count"])
        ]


class Caller:
    """Submits jobs one after the other, over persistent connections.

    :param number: Its number, which is part of its jobs' identifiers.
    :param seed: The run's seed.
    :param ports: Ports of the managers.
    :param size: Size of the traffic.
    """

    def __init__(self, number, seed, ports, size=sizes.SMALL):
        self.number = number
        self._size = size
        self._queues = tuple(size.queues)
        self.jobs = []
        self.calls = []
        # Answers about waiting jobs.
        self.count_answers = []
        # Answers about queues that configurations add and remove.
        self.queue_answers = []
        self._ports = ports
        self._rng = random.Random(seed * 1000 + number)
        self._clients = {}

    def run(self, until):
        """Submit and follow jobs until a time on the monotonic clock."""
        began = time.monotonic()
        while (now := time.monotonic()) < until:
            turn, into = divmod(now - began, self._size.turn)
            is_burst = into < self._size.burst
            queue = self._queues[int(turn) % len(self._queues)]
            if not is_burst:
                queue = self._rng.choice(self._queues)
            job = self._make_job(queue)
            self.jobs.append(job)
            self._submit(job)
            self._poll_or_cancel(self._rng.choice(self.jobs[-RECENT_JOBS:]))
            pause = BURST_PAUSE_S if is_burst else self._size.idle_pause
            left = self._size.burst if is_burst else self._size.turn - into
            gevent.sleep(min(left, self._rng.uniform(*pause)))

    def submit_lasting_jobs(self):
        """Submit lasting jobs for all queues."""
        size = self._size
        for queue in self._queues * size.lasting_jobs:
            step = {
                "count": size.lasting_tasks,
                "cpu": size.lasting_cpu,
                "long-running": True,
                "may_miss": size.max_missing,
                "anti-affinity": self._rng.choice((2, 4)),
            }
            job = self._name_job(queue, [step])
            self.jobs.append(job)
            self._submit(job)

    def submit_gangs(self, until):
        """Submit gangs that save checkpoints, until a time."""
        while time.monotonic() < until:
            step = {
                "count": GANG_TASKS,
                "cpu": self._size.task_cpu,
                "gang": True,
                "checkpoints": True,
                # On workers of their own, so that a crash hits one member.
                "anti-affinity": 1,
            }
            job = self._name_job(self._rng.choice(self._queues), [step])
            self.jobs.append(job)
            self._submit(job)
            gevent.sleep(self._rng.uniform(*GANG_PAUSE_S))

    def count(self, manager, until):
        """Ask one manager repeatedly how many jobs wait, until a time."""
        while time.monotonic() < until:
            queue = self._rng.choice(self._queues)
            call, body = self._send(manager, "GET", f"/{queue}/")
            if call.status == 200:
                self.count_answers.append(
                    CountAnswer(
                        manager=manager,
                        queue=queue,
                        began=call.began,
                        ended=call.ended,
                        waiting=json.loads(body)["waiting"],
                    )
                )
            gevent.sleep(COUNT_INTERVAL_S)

    def probe(self, manager, changes, until):
        """Ask one manager repeatedly for changing queues, until a time.

        :param manager: Number of the manager.
        :param changes: The operator's changes so far, oldest first.
        :param until: When to end, on the monotonic clock.
        """
        while time.monotonic() < until:
            queue = self._choose_changing(changes)
            call, _ = self._send(manager, "GET", f"/{queue}/")
            self.queue_answers.append(
                QueueAnswer(
                    manager=manager,
                    queue=queue,
                    began=call.began,
                    ended=call.ended,
                    status=call.status,
                )
            )
            gevent.sleep(PROBE_INTERVAL_S)

    def _choose_changing(self, changes):
        """Choose a queue that was just added or removed, or never existed."""
        recent = {
            name
            for change in changes[-PROBED_QUEUES:]
            for name in change.queues
            if name.startswith(EXTRA_PREFIX)
        }
        return self._rng.choice([*sorted(recent), UNKNOWN_QUEUE])

    def submit_crashing_job(self, draw):
        """Submit a job whose tasks crash each worker that starts them.

        :param draw: Chooses its queue and how many tasks it has, from 0 to 1.
        :return: The job.
        """
        queue = self._queues[int(draw * len(self._queues))]
        step = {"count": 1 + int(draw * 10) % CRASHING_TASKS, "cpu": 500}
        job = self._name_job(queue, [step])
        job.crashing = True
        self.jobs.append(job)
        self._submit(job)
        return job

    def cancel_all(self, until):
        """Cancel all accepted jobs, with retries until a time."""
        for job in self.jobs:
            while job.accepted and time.monotonic() < until:
                if self._cancel(job):
                    break
                gevent.sleep(self._rng.uniform(0.05, 0.5))

    def read_state(self, job):
        """Ask any manager for a job's state.

        :return: The state, ``gone``, or ``None`` without an answer.
        """
        status, body = self._call("GET", job)
        if status == 200:
            state = json.loads(body)["state"]
            job.states.append(state)
            return state
        return "gone" if status == 410 else None

    def close(self):
        """Close all connections."""
        for client in self._clients.values():
            client.close()

    def _make_job(self, queue):
        rng = self._rng
        steps = []
        for number in range(rng.choice((1, 1, 2, 3))):
            step = {"count": rng.randint(1, 4), "cpu": self._size.task_cpu}
            if number:
                step["after-rev"] = [number - 1]
            steps.append(step)
        return self._name_job(queue, steps)

    def _name_job(self, queue, steps):
        identity = f"{self.number:04x}{len(self.jobs):012x}"
        pool = self._size.queues[queue]
        return Job(identity=identity, queue=queue, steps=steps, pool=pool)

    def _submit(self, job):
        work = self._rng.choice((20, 100, 400, 900, 2500))
        spec = f"work_ms={work}"
        if job.lasting:
            spec = f"lasting work_ms={LASTING_START_MS}"
        if job.crashing:
            spec = f"crash_ms={CRASH_MS}"
        if job.is_gang:
            spec = f"gang={GANG_TASKS} saves work_ms={GANG_WORK_MS}"
        body = {"spec": spec, "steps": job.steps}
        if len(self.calls) % INVENTED_EVERY == 0:
            self._call("POST", job, body, invented=True)
        for _ in range(MAX_ATTEMPTS):
            status, _ = self._call("POST", job, body)
            if status == 200:
                job.accepted = True
                job.accepted_at = time.monotonic()
                job.refused = False
                return
            if status not in REFUSAL_STATUSES:
                job.refused = False
            gevent.sleep(self._rng.uniform(0.05, 0.5))

    def _poll_or_cancel(self, job):
        if not job.accepted:
            return
        if self._rng.random() < CANCEL_RATIO:
            self._cancel(job)
        else:
            self.read_state(job)

    def _cancel(self, job):
        """Request the cancellation of a job.

        :return: Whether the request succeeded.
        """
        job.cancel_sent = True
        job.cancelled_at = min(job.cancelled_at, time.monotonic())
        status, _ = self._call("DELETE", job)
        return status in (200, 410)

    def _call(self, method, job, body=None, *, invented=False):
        """Call any manager and record the call.

        :return: The HTTP status, 0 without a complete answer, and the body.
        """
        manager = self._rng.randrange(len(self._ports))
        path = f"/{job.queue}/{job.identity}"
        call, answer = self._send(manager, method, path, body, invented)
        return call.status, answer

    def _send(self, manager, method, path, body=None, invented=False):
        """Call a manager and record the call.

        :return: The call, and the body of its answer.
        """
        text = b"" if body is None else json.dumps(body).encode()
        began = time.monotonic()
        call = Call(manager, began, began, 0, invented=invented)
        answer = b""
        headers = dict(HEADERS)
        if invented:
            key = f"{INVENTED_KEY}{len(self.calls)}"
            headers["Authorization"] = f"Bearer {key}"
        client = self._acquire_client(manager)
        try:
            response = client.request(method, path, text, headers)
            answer = bytes(response.read())
            call.status = response.status_code
        except TimeoutError:
            call.timed_out = True
        except (OSError, http_response.HTTPParseError) as found:
            # Cut off or refused; the checks decide whether that is allowed.
            call.error = repr(found)
            call.refused = isinstance(found, ConnectionRefusedError)
        self._release_client(manager, client, is_sound=bool(call.status))
        call.ended = time.monotonic()
        self.calls.append(call)
        return call, answer

    def _acquire_client(self, manager):
        """Return a client of a manager that no other call uses."""
        kept = self._clients.pop(manager, None)
        return kept or http_clients.HTTPClient(
            HOST,
            self._ports[manager],
            connection_timeout=TIMEOUT_S,
            network_timeout=TIMEOUT_S,
        )

    def _release_client(self, manager, client, *, is_sound):
        """Keep a client for the next call if it is usable and the only one."""
        if is_sound and manager not in self._clients:
            self._clients[manager] = client
        else:
            client.close()
