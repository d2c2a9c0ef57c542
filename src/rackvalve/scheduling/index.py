"""Index of workers by a key that several may share, such as their pool."""

from __future__ import annotations

from rackvalve.scheduling import workers


class Index:
    """Incarnations of workers by key, each key's in the order of addition."""

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
        """Remove a worker, and its key with the last worker.

        :param key: Its key.
        :param worker: The worker.
        """
        found = self._rows.get(key, {})
        found.pop(worker.identity, None)
        if not found:
            self._rows.pop(key, None)

    def find(self, key: str) -> list[workers.WorkerState]:
        """Return the workers of a key, oldest addition first.

        :param key: The key.
        """
        return list(self._rows.get(key, {}).values())
