"""Tasks: greenlets that own their state and talk by messages."""

from __future__ import annotations

from typing import Any
from typing import Generic
from typing import TypeVar

import gevent
from gevent import event
from gevent import queue

from rackvalve import logs

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Takes one reply at a time for one waiting greenlet."""

    __slots__ = ("_result",)

    def __init__(self) -> None:
        self._result = event.AsyncResult()

    def put(self, reply: T) -> None:
        """Leave a reply and wake the waiting greenlet.

        :param reply: The reply.
        """
        self._result.set(reply)

    def take(self, timeout: float | None = None) -> T:
        """Wait for the reply, and be ready for another one.

        :param timeout: Longest wait, in seconds.
        :raises gevent.Timeout: There was no reply in time.
        """
        reply: T = self._result.get(timeout=timeout)
        self._result = event.AsyncResult()
        return reply


class Task:
    """A greenlet with an inbox.

    A subclass handles each message type with a method of its own,
    registered on :meth:`handle` (``functools.singledispatchmethod``).
    """

    def __init__(self) -> None:
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to handle messages."""
        self._greenlet = gevent.spawn(self._run)

    def post(self, message: Any) -> None:
        """Send a message to the task.

        :param message: A message that :meth:`handle` knows.
        """
        self._inbox.put(message)

    def handle(self, message: Any) -> None:
        """Handle one message.

        :param message: The message.
        """
        raise NotImplementedError

    def _run(self) -> None:
        while True:
            message = self._inbox.get()
            try:
                self.handle(message)
            except Exception:
                # One bad message must not end the task that owns the state.
                logs.write_failure(
                    "task.failed", message=type(message).__name__
                )


def run_forever(name: str, interval: float, step: Any) -> gevent.Greenlet:
    """Run a step again and again in a greenlet of its own.

    :param name: Name of the task, for logs.
    :param interval: Pause after each step, in seconds.
    :param step: Called without arguments.
    """
    return gevent.spawn(_repeat, name, interval, step)


def _repeat(name: str, interval: float, step: Any) -> None:
    while True:
        try:
            step()
        except Exception:
            logs.write_failure("task.failed", message=name)
        gevent.sleep(interval)
