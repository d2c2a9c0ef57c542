"""Workers by something that several of them share."""

from __future__ import annotations

from rackvalve.scheduling import workers


class Index:
    """Lives of workers by a key, those of one key as they came."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        self._rows: dict[str, dict[str, workers.WorkerState]] = {}

    def add(self, key: str, worker: workers.WorkerState) -> None:
        """Add a worker.

        :param key: Its key.
        :param worker: The worker.
        """
        self._rows.setdefault(key, {})[worker.identity] = worker

    def remove(self, key: str, worker: workers.WorkerState) -> None:
        """Take a worker out, and its key with the last one.

        :param key: Its key.
        :param worker: The worker.
        """
        found = self._rows.get(key, {})
        found.pop(worker.identity, None)
        if not found:
            self._rows.pop(key, None)

    def find(self, key: str) -> list[workers.WorkerState]:
        """Return the workers of a key.

        :param key: The key.
        """
        return list(self._rows.get(key, {}).values())
