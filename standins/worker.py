"""Stand-in for workers: each runs tasks under leases and fencing tokens.

A task's spec sets its behaviour: ``work_ms=200`` is its duration, ``fail``
makes each run fail, ``lasting`` makes it be at work after that time until it
is stopped, ``crash_ms=10`` crashes the worker that long after its start,
``gang=3`` makes it work only beside two others of its run, ``saves`` makes it
save checkpoints.  The site's journal records what each worker did, what ended
each run, and the checkpoint that each member of a gang was started with.

A restarted worker keeps its name, has no state of its former incarnation, and
reports a new start time in ``born``; its clock starts again from zero.

Faults on request: ``dead`` neither answers nor continues its runs, ``silent``
does not answer and continues its runs, ``late`` leaves orders unanswered and
executes them after a delay, ``late calls`` does so with holds as well,
``closing`` closes the connection with each answer, ``stuttering`` answers
twice.
"""

from __future__ import annotations

import socket
import time
import uuid

import gevent
from gevent import event

from standins import gangs
from standins import serving

TICK_S = 0.005
LATE_S = 1.0
SILENCE_S = 3600.0
MAX_HOLD_S = 10.0
STOP_S = 0.05
# Work after which a task saves a checkpoint, in seconds.
SAVE_S = 0.5


class Worker:
    """One incarnation of a worker, as a WSGI application."""

    def __init__(
        self, site, machine, pool, port, capacity, rate=1.0, identity=""
    ):
        # Rate of its steady clock.
        self.rate = rate
        self.site = site
        self.identity = identity or f"i-{uuid.uuid4().hex[:10]}"
        # The start time that it reports; ``None`` to report none.
        self.born = (
            int(time.time() * 1000) if site.reports_start_times else None
        )
        # Time at which its clock was zero.
        self.began = time.monotonic() if identity else 0.0
        self.started = time.monotonic()
        self.machine = machine
        self.pool = pool
        self.port = port
        self.capacity = capacity
        self.fault = ""
        self.fence = 0
        self.lease = 0.0
        self.running = {}
        self.ended = []
        self.end_number = 0
        self.closed_runs = {}
        self.run_ended = event.Event()
        self.alive = True
        self.server = None
        # Open connections of its callers.
        self.sockets = set()
        gevent.spawn(self._work_forever)

    def describe(self):
        """Return its entry in the store."""
        return {
            "service": self.pool,
            "addr": f"{self.site.host}:{self.port}",
            "zone": self.site.machines[self.machine].hall,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": self._count_cold_left(),
            "capacity": self.capacity,
            "labels": ["a", self.site.machines[self.machine].rack],
            "machine": self.machine,
            "clock-ms": int(self.clock() * 1000),
            "seq": 1,
            **self._describe_start_time(),
        }

    def _count_cold_left(self):
        """Return how much longer it reports to be cold, in milliseconds."""
        passed = time.monotonic() - self.started
        return max(0, int((self.site.cold - passed) * 1000))

    def _describe_start_time(self):
        return {} if self.born is None else {"born": self.born}

    def clock(self):
        """Return the time of its steady clock, in seconds."""
        return (time.monotonic() - self.began) * self.rate

    def end(self, cause):
        """End this incarnation and all its runs.

        :param cause: The cause, for the journal.
        """
        self.alive = False
        ended, self.running = self.running, {}
        for (task, run), state in ended.items():
            self.site.note("end", self, task, run, cause)
            if state["gang"]:
                self.site.gangs.leave((task, run), cause)

    def close_connections(self):
        """Close all connections, as the end of a process does."""
        for sock in self.sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Its caller has already closed it.
                continue
        self.sockets.clear()

    def __call__(self, environ, start_response):
        self.sockets.add(environ["standin.socket"])
        order = serving.read_json(environ)
        if self.fault in ("dead", "silent"):
            gevent.sleep(SILENCE_S)
        if environ.get("HTTP_EXPECT_INSTANCE") != self.identity:
            return serving.answer_json(start_response, {}, "421 Other life")
        path = environ["PATH_INFO"]
        is_late = self.fault == "late" and path != "/hold"
        if is_late or self.fault == "late calls":
            gevent.spawn_later(LATE_S, self.site.execute, self, path, order)
            gevent.sleep(SILENCE_S)
        status, body = self.execute(path, order)
        # A fault may have begun, or the worker ended, while a hold waited.
        if not self.alive or self.fault in ("dead", "silent"):
            gevent.sleep(SILENCE_S)
        return serving.answer_with_fault(
            environ, start_response, body, status, self.fault
        )

    def execute(self, path, order):
        """Execute an order.

        :return: The status and the body of the answer.
        """
        if not self.alive:
            return "421 Other life", {}
        self._expire_lease()
        if order.get("fence", 0) < self.fence:
            return self._reject("fence")
        self.fence = max(self.fence, order.get("fence", 0))
        if path == "/run-start":
            return self._start(order)
        if path == "/run-stop":
            return self._stop(order)
        if path == "/hold":
            return self._hold(order)
        return "200 OK", self._make_clock_body()

    def _start(self, order):
        key = (order["task"], order["run"])
        until = order["until-ms"] / 1000
        if key in self.running:
            return "200 OK", self._make_clock_body()
        if order["run"] <= self.closed_runs.get(order["task"], 0):
            return self._reject("old")
        if until <= self.clock():
            return self._reject("late")
        self._extend_lease(until)
        self.site.note("start", self, *key, order["spec"])
        words = dict(
            word.partition("=")[::2] for word in order["spec"].split()
        )
        brought = order.get("last-checkpoint", "")
        state = self.running[key] = {
            "joined": self.clock(),
            # When its work began; ``None`` while its gang is incomplete.
            "began": None if "gang" in words else self.clock(),
            "gang": int(words.get("gang", "0")),
            "saves": "saves" in words,
            "brought": brought,
            "saved": brought,
            "before": self.site.gangs.saved.get(brought, 0.0),
            "work": int(words.get("work_ms", "50")) / 1000,
            "fail": "fail" in words,
            "lasting": "lasting" in words,
            "crash": int(words.get("crash_ms", "-1")) / 1000,
            "is_noted": False,
            "stopped": 0.0,
        }
        if state["gang"]:
            self.site.note("brought", self, *key, brought)
            self.site.gangs.join(self, key, state)
        return "200 OK", self._make_clock_body()

    def _stop(self, order):
        task, run = order["task"], order["run"]
        self.closed_runs[task] = max(run, self.closed_runs.get(task, 0))
        running = self.running.get((task, run))
        if running is not None and not running["stopped"]:
            running["stopped"] = self.clock() + STOP_S
        return "200 OK", self._make_clock_body()

    def _hold(self, order):
        if "until-ms" in order:
            self._extend_lease(order["until-ms"] / 1000)
        for row in self.ended:
            if row[0] <= order["last-seen"]:
                self.site.note_known(self, row)
        self.ended = [row for row in self.ended if row[0] > order["last-seen"]]
        until = time.monotonic() + order.get("wait-ms", 0) / 1000
        while not self.ended and self.alive:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.run_ended.wait(left)
        running = [
            [task, run, state["saved"], self._compute_percent(state), 0]
            for (task, run), state in self.running.items()
        ]
        return "200 OK", {
            **self._make_clock_body(),
            **self._describe_start_time(),
            "running": running,
            "ended": self.ended,
        }

    def _compute_percent(self, state):
        done = self._measure_work(state) / max(state["work"], 0.001)
        most = 99 if state["lasting"] and done < 1 else 100
        return min(most, int(100 * done))

    def _measure_work(self, state):
        """Return how much of a run's work is done, in seconds."""
        if state["began"] is None:
            return state["before"]
        return state["before"] + self.clock() - state["began"]

    def _save(self, state, least=SAVE_S):
        """Save a checkpoint if there is enough work since the last one."""
        work = self._measure_work(state)
        known = self.site.gangs.saved.get(state["saved"], 0.0)
        if state["saves"] and work > known and work - known >= least:
            state["saved"] = self.site.gangs.save(work)

    def _extend_lease(self, until):
        self.lease = max(self.lease, min(until, self.clock() + MAX_HOLD_S))

    def _reject(self, reason):
        return "409 Rejected", {**self._make_clock_body(), "reason": reason}

    def _make_clock_body(self):
        return {"clock-ms": int(self.clock() * 1000)}

    def _expire_lease(self):
        if self.clock() >= self.lease:
            for key in list(self.running):
                self.finish(key, "lapsed")

    def _work_forever(self):
        while self.alive:
            gevent.sleep(self.site.tick)
            if self.fault == "dead":
                continue
            self._expire_lease()
            now = self.clock()
            for key, state in list(self.running.items()):
                if key not in self.running:
                    # Its gang has ended with another member here.
                    continue
                if 0 <= state["crash"] <= now - state["joined"]:
                    self.site.crash_by_task(self.machine)
                    return
                self._save(state)
                if state["stopped"]:
                    if now >= state["stopped"]:
                        self.finish(key, "stopped")
                elif state["began"] is None:
                    if now - state["joined"] >= gangs.WAIT_S:
                        self.finish(key, "alone")
                elif self._measure_work(state) < state["work"]:
                    continue
                elif not state["lasting"]:
                    self.finish(key, "failed" if state["fail"] else "done")
                elif not state["is_noted"]:
                    state["is_noted"] = True
                    self.site.note("at work", self, *key, "")

    def finish(self, key, how):
        """End a run, and with it the other members of its gang.

        :param key: Task and number of the run.
        :param how: How it ends.
        """
        state = self.running.pop(key, None)
        if state is None:
            return
        task, run = key
        self._save(state, least=0.0)
        saved = "" if how == "done" else state["saved"]
        self.site.note("end", self, task, run, how)
        self.closed_runs[task] = max(run, self.closed_runs.get(task, 0))
        self.end_number += 1
        self.ended.append([self.end_number, task, run, how, saved])
        previous, self.run_ended = self.run_ended, event.Event()
        previous.set()
        if state["gang"]:
            self.site.gangs.leave(key, how)
