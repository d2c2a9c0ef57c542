"""Stand-in of one worker, by the published protocol.

A task's spec is a list of words: ``work_ms=6000`` is how long it works.  A
life of a worker reports to the platform's stand-in, which keeps the record.
"""

from __future__ import annotations

import dataclasses
import time

from gevent import event

from standins import serving

# How long a stop takes; the pages allow `stop_ms`, 900.
STOP_S = 0.1
MAX_HOLD_S = 10.0
SAVE_S = 0.5
RESTORE_S = 0.25
GANG_S = 3.0
MAX_ENDS = 500
# Time that a worker's steady clock shows at its start, in seconds.
CLOCK_START_S = 100.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """One run on a worker.

    :param task: Full name of the task.
    :param number: Number of the run.
    :param need: What it takes of the worker's capacity.
    :param brought: Checkpoint that its start brought.
    :param checkpoints: Whether it saves its progress.
    :param work: How long it works in all, in seconds.
    :param began: When it was started, in seconds.
    :param resumed: Work that the brought checkpoint stands for, in seconds.
    """

    task: str
    number: int
    need: dict
    brought: str
    checkpoints: bool
    work: float
    began: float
    resumed: float
    # When it began to work; ``None`` while it waits for its gang.
    at_work_since: float | None = None
    saved: str = ""
    saves: int = 0
    # When its stop takes effect.
    stops_at: float | None = None

    @property
    def key(self) -> tuple:
        """Name of the task and number of the run."""
        return self.task, self.number

    def count_worked(self, now: float) -> float:
        """Return how long it has worked, with what it resumed from."""
        if self.at_work_since is None:
            return self.resumed
        return self.resumed + max(0.0, now - self.at_work_since)

    def count_percent(self, now: float) -> int:
        """Return its progress in whole percent."""
        worked = self.count_worked(now)
        return min(99, int(100 * worked / max(self.work, 0.001)))


class Worker:
    """One life of a worker, as a WSGI application.

    :param world: The platform's stand-in.
    :param identity: Its id.
    :param capacity: Its capacity.
    """

    def __init__(self, world, identity, capacity):
        self.world = world
        self.identity = identity
        self.capacity = capacity
        self.alive = True
        self.sockets = set()
        self.runs = {}
        self.ended = []
        self._began = time.monotonic()
        self._fence = 0
        self._lease = 0.0
        self._end_number = 0
        # Highest number of a run that was stopped or has ended, by task.
        self._closed = {}
        self._run_ended = event.Event()

    def clock(self) -> float:
        """Return the time of its steady clock, in seconds."""
        return CLOCK_START_S + time.monotonic() - self._began

    def __call__(self, environ, start_response):
        self.sockets.add(environ["standin.socket"])
        order = serving.read_json(environ)
        if environ.get("HTTP_EXPECT_INSTANCE") != self.identity:
            return serving.answer_json(start_response, {}, "421 Other life")
        status, body = self._execute(environ["PATH_INFO"], order)
        return serving.answer_json(start_response, body, status)

    def _execute(self, path, order):
        fence = order.get("fence", 0)
        if fence < self._fence:
            return self._reject("fence")
        self._fence = fence
        if path == "/run-start":
            return self._start(order)
        if path == "/run-stop":
            return self._stop(order)
        if path == "/hold":
            return self._hold(order)
        if path == "/pace":
            return "200 OK", self._make_body()
        return "400 Unknown", self._make_body()

    def _start(self, order):
        task, number = order["task"], order["run"]
        until = order["until-ms"] / 1000
        if (task, number) in self.runs:
            return "200 OK", self._make_body()
        if number <= self._closed.get(task, 0):
            self._extend_lease(until)
            return self._reject("old")
        if until <= self.clock():
            return self._reject("late")
        if not self.world.accepts_ticket(task, self, order.get("ticket", "")):
            return self._reject("ticket")
        self._extend_lease(until)
        need = self.world.find_need(task)
        if not self._fits(need):
            return self._reject("room")
        brought = order.get("last-checkpoint", "")
        words = dict(
            word.partition("=")[::2] for word in order["spec"].split()
        )
        run = Run(
            task=task,
            number=number,
            need=need,
            brought=brought,
            checkpoints=self.world.has_checkpoints(task),
            work=int(words.get("work_ms", "500"))
            / 1000
            * self.world.count_times(task, self),
            began=time.monotonic(),
            resumed=self.world.find_saved_work(task, brought),
            saved=brought,
        )
        self.runs[run.key] = run
        self.world.note_start(self, run, fence=order.get("fence", 0))
        return "200 OK", self._make_body()

    def _fits(self, need):
        return all(
            sum(run.need[name] for run in self.runs.values()) + need[name]
            <= self.capacity[name]
            for name in self.capacity
        )

    def _stop(self, order):
        task, number = order["task"], order["run"]
        self._closed[task] = max(number, self._closed.get(task, 0))
        run = self.runs.get((task, number))
        if run is not None and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
        return "200 OK", self._make_body()

    def _hold(self, order):
        if "until-ms" in order:
            self._extend_lease(order["until-ms"] / 1000)
        seen = order.get("last-seen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        until = time.monotonic() + order.get("wait-ms", 0) / 1000
        while self.alive and not self.ended:
            left = until - time.monotonic()
            if left <= 0:
                break
            self._run_ended.wait(left)
        now = time.monotonic()
        return "200 OK", {
            **self._make_body(),
            "running": [
                [*run.key, run.saved, run.count_percent(now), 0]
                for run in self.runs.values()
            ],
            "ended": self.ended[:MAX_ENDS],
        }

    def _extend_lease(self, until):
        self._lease = max(self._lease, min(until, self.clock() + MAX_HOLD_S))

    def _make_body(self):
        return {"clock-ms": int(self.clock() * 1000)}

    def _reject(self, reason):
        return "409 Rejected", {**self._make_body(), "reason": reason}

    def work(self, now: float) -> None:
        """Let time pass: lapse, stop, save and end runs."""
        for run in list(self.runs.values()):
            if self.clock() >= self._lease:
                self.finish(run, "lapsed")
            elif run.stops_at is not None and now >= run.stops_at:
                self._save(run, now)
                self.finish(run, "stopped")
            elif run.at_work_since is not None:
                self._work_on(run, now)
            elif self.world.find_gang(run) is None:
                run.at_work_since = now + (RESTORE_S if run.brought else 0.0)
            elif now - run.began >= GANG_S:
                self.finish(run, "alone")

    def _work_on(self, run, now):
        worked = run.count_worked(now)
        if worked - run.resumed >= (run.saves + 1) * SAVE_S:
            self._save(run, now)
        if worked >= run.work:
            self.finish(run, "done")

    def _save(self, run, now):
        if run.at_work_since is not None and run.checkpoints:
            run.saves += 1
            run.saved = self.world.save(run, run.count_worked(now))

    def finish(self, run: Run, how: str) -> None:
        """End a run, and list its end."""
        if self.runs.pop(run.key, None) is None:
            return
        if how == "broken":
            self._save(run, time.monotonic())
        task, number = run.key
        self._closed[task] = max(number, self._closed.get(task, 0))
        self._end_number += 1
        self.ended.append([self._end_number, task, number, how, run.saved])
        previous, self._run_ended = self._run_ended, event.Event()
        previous.set()
        self.world.note_end(self, run, how)

    def die(self) -> None:
        """End this life at once, with all that runs."""
        self.alive = False
        lost, self.runs = list(self.runs.values()), {}
        for run in lost:
            self.world.note_end(self, run, "lost with its worker")
        self._run_ended.set()
