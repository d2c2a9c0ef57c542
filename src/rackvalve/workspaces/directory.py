"""All workspaces of a configuration, and whose each key is."""

from __future__ import annotations

from collections.abc import Iterable

from rackvalve.workspaces import account
from rackvalve.workspaces import credentials


class Directory:
    """Finds workspaces by name and by key.

    Where two workspaces name the same key it is the first one's.  Of two
    workspaces of one name the first one's rate and bound hold for the keys of
    both.

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
        """How many keys are in force."""
        return len(self._by_key)

    def find(self, name: str) -> account.Workspace | None:
        """Return a workspace.

        :param name: Its name.
        """
        return self._by_name.get(name)

    def find_by_key(
        self, shown: credentials.PresentedKey | credentials.UnusableKey
    ) -> account.Workspace | None:
        """Return the workspace that a key belongs to.

        :param shown: What the caller has shown.
        """
        if isinstance(shown, credentials.UnusableKey):
            return None
        return self._by_key.get(shown.digest)
