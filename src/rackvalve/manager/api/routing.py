"""Which queue and which workspace a caller's request selects."""

from __future__ import annotations

import dataclasses

from rackvalve.manager import view as views
from rackvalve.scheduling import queues
from rackvalve.workspaces import account as accounts
from rackvalve.workspaces import credentials


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RouteMatch:
    """The queue and the workspace that a request's path and key select.

    :param queue: The queue; ``None`` if no queue has this path.
    :param workspace: The workspace that the key belongs to, if any.
    """

    queue: queues.Queue | None
    workspace: accounts.Workspace | None

    @property
    def allowed(self) -> bool:
        """Whether the request may be served."""
        if self.queue is None:
            return False
        return not self.queue.needs_key or self.workspace is not None


class Router:
    """Finds the queue and the workspace of a request.

    :param view: The operator's documents as this process knows them.
    """

    __slots__ = ("_view",)

    def __init__(self, view: views.View) -> None:
        self._view = view

    def find_match(
        self,
        host: str,
        path: str,
        shown: credentials.PresentedKey | credentials.UnusableKey,
    ) -> RouteMatch:
        configuration = self._view.configuration
        assert configuration is not None
        return RouteMatch(
            queue=self._find_queue(host, path),
            workspace=configuration.workspaces.find_by_key(shown),
        )

    def _find_queue(self, host: str, path: str) -> queues.Queue | None:
        configuration = self._view.configuration
        assert configuration is not None
        found = configuration.find_queue(host, path)
        if found is None and ":" in host:
            found = configuration.find_queue(host.rpartition(":")[0], path)
        return found
