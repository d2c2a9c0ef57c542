"""Gangs of a site's workers: runs of one number that work only together.

A gang works from the moment at which all its members are there with the same
checkpoint, and its members end together.
"""

from __future__ import annotations

import collections
import itertools

# A member ends by itself after it has waited this long for the others, in
# seconds.
WAIT_S = 3.0


class Gangs:
    """The gangs of a site, by step and number of the run."""

    def __init__(self):
        self._members = collections.defaultdict(dict)
        # Work that each checkpoint has saved, in seconds.
        self.saved = {"": 0.0}
        self._numbers = itertools.count(1)

    def save(self, work):
        """Return a new checkpoint.

        :param work: The work that it saves, in seconds.
        """
        text = f"saved-{next(self._numbers):08d}"
        self.saved[text] = work
        return text

    def join(self, worker, key, state):
        """Add a member, and let the gang work if it is complete."""
        group = _name_group(key)
        members = self._members[group]
        members[key] = (worker, state)
        brought = {one["brought"] for _, one in members.values()}
        if len(members) == state["gang"] and len(brought) == 1:
            for other, one in members.values():
                one["began"] = other.clock()

    def leave(self, key, how):
        """Remove a member that has ended, and end the others.

        :param key: Task and number of its run.
        :param how: How it ended.
        """
        members = self._members.pop(_name_group(key), {})
        members.pop(key, None)
        for other, (worker, _) in members.items():
            worker.finish(other, "done" if how == "done" else "broken")


def _name_group(key):
    """Return the step and the number of a run."""
    task, run = key
    return task.rpartition(".")[0], run
