"""Dispatch of calls from native threads to gevent's hub.

For programs that use gRPC without monkey-patched threads: gRPC's native
threads deliver its events, and all code of the program runs in greenlets of
one hub.  With ``grpc.experimental.gevent`` instead, each waiting call blocks a
thread of gevent's pool: 64 concurrent calls between a client and a server of
one process all timed out, and every manager's locks would change.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from concurrent import futures
import functools
import threading
from typing import Any

import gevent


class HubBridge:
    """Runs functions in the hub of the thread that creates the bridge."""

    __slots__ = ("_posted", "_watcher")

    def __init__(self) -> None:
        self._posted: collections.deque[Callable[[], Any]] = (
            collections.deque()
        )
        self._watcher = gevent.get_hub().loop.async_()
        self._watcher.start(self._run_posted)

    def post(self, function: Callable[[], Any]) -> None:
        """Schedule a function in a new greenlet; callable from any thread.

        :param function: Called without arguments.
        """
        self._posted.append(function)
        self._watcher.send()

    def submit(self, function: Callable[[], Any]) -> futures.Future[Any]:
        """Have a function run as by :meth:`post`.

        :param function: Called without arguments.
        :return: Its result, for which other threads may wait.
        """
        future: futures.Future[Any] = futures.Future()
        self.post(functools.partial(_resolve, future, function))
        return future

    def _run_posted(self) -> None:
        while self._posted:
            gevent.spawn(self._posted.popleft())


class ThreadExecutor(futures.Executor):
    """Runs each call in a daemon thread of its own.

    gRPC receives the request of a call inside the function that it submits,
    on a native condition: in a greenlet, a peer that opened a call without
    sending its message stopped the hub for up to the call's deadline.  The
    executor limits nothing; the server has to limit its concurrent calls.
    """

    def submit(
        self, function: Callable[..., Any], /, *args: Any, **options: Any
    ) -> futures.Future[Any]:
        """Submit a call; callable from any thread.

        :param function: The function to call.
        :param args: Its arguments.
        :param options: Its keyword arguments.
        """
        future: futures.Future[Any] = futures.Future()
        call = functools.partial(function, *args, **options)
        threading.Thread(
            target=_resolve, args=(future, call), daemon=True
        ).start()
        return future


def _resolve(future: futures.Future[Any], function: Callable[[], Any]) -> None:
    """Set a future to what a function returns or raises."""
    try:
        result = function()
    except BaseException as error:
        # Including the end of a greenlet, for which a thread would wait.
        future.set_exception(error)
    else:
        future.set_result(result)
