"""Tasks: greenlets that own their state and talk by messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Generic
from typing import TypeVar

import gevent
from gevent import event
from gevent import queue

from rackvalve import logs

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Takes replies for one waiting greenlet."""

    __slots__ = ("_replies", "_arrived")

    def __init__(self) -> None:
        self._replies: list[T] = []
        self._arrived: event.Event | None = None

    def put(self, reply: T) -> None:
        """Leave a reply and wake the waiting greenlet.

        :param reply: The reply.
        """
        self._replies.append(reply)
        if self._arrived is not None:
            self._arrived.set()

    def take(self) -> T:
        """Take the oldest reply, or wait for one."""
        if not self._replies:
            self._arrived = event.Event()
            self._arrived.wait()
            self._arrived = None
        return self._replies.pop(0)


class Task:
    """State with an inbox; one message is handled at a time.

    A subclass passes a ``functools.singledispatch`` function that takes a
    message and the task, with one implementation for each message type.
    An implementation never waits, hence a message may be handled in the
    greenlet of its sender (:meth:`tell`) without two being handled at once.

    :param handle: Handles one message.
    """

    def __init__(self, handle: Callable[[Any, Any], None]) -> None:
        self._handle = handle
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()

    def start(self) -> None:
        """Start to handle posted messages in a greenlet of its own."""
        gevent.spawn(self._run)

    def post(self, message: Any) -> None:
        """Leave a message, to be handled soon.

        :param message: A message that the task knows.
        """
        self._inbox.put(message)

    def tell(self, message: Any) -> None:
        """Have a message handled before this returns.

        :param message: A message that the task knows.
        """
        self._handle(message, self)

    def _run(self) -> None:
        while True:
            message = self._inbox.get()
            try:
                self._handle(message, self)
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
