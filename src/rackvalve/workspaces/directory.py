"""Look-up of a configuration's workspaces by name and by key."""

from __future__ import annotations

from collections.abc import Iterable

from rackvalve.workspaces import account
from rackvalve.workspaces import credentials


class Directory:
    """Finds workspaces by name and by key.

    A key that two workspaces list belongs to the first of them.  If two
    workspaces have the same name, the rate and bound of the first apply to
    the keys of both.

    :param workspaces: The workspaces, in the operator's order.
    """

    __slots__ = ("_by_name", "_by_key")

    def __init__(self, workspaces: Iterable[account.Workspace] = ()) -> None:
        self._by_name: dict[str, account.Workspace] = {}
        self._by_key: dict[credentials.Digest, account.Workspace] = {}
        for workspace in workspaces:
            known = self._by_name.setdefault(workspace.name, workspace)
            for key in workspace.keys:
                self._by_key.setdefault(key, known)

    def __len__(self) -> int:
        return len(self._by_name)

    @property
    def key_count(self) -> int:
        """Number of distinct keys."""
        return len(self._by_key)

    def find(self, name: str) -> account.Workspace | None:
        """Return a workspace, or ``None`` if there is none of the name.

        :param name: Name of the workspace.
        """
        return self._by_name.get(name)

    def find_by_key(
        self, shown: credentials.PresentedKey | credentials.UnusableKey
    ) -> account.Workspace | None:
        """Return the workspace of a key, or ``None`` if it is unknown.

        :param shown: Result of parsing the caller's header.
        """
        if isinstance(shown, credentials.UnusableKey):
            return None
        return self._by_key.get(shown.digest)
