"""Plays managers of this release and of another one side by side.

During an upgrade both releases serve callers at once and follow each other as
owner.  Each reads what the other has stored.
"""

from __future__ import annotations

import argparse
import collections
import json
import pathlib
import sys
import time

from tools import fleet as fleets
from tools import site as sites

QUEUE = "lookup"
STEPS = [{"count": 4, "cpu": 500}, {"count": 2, "cpu": 500, "after-rev": [0]}]
LARGE_STEPS = [{"count": 2100, "cpu": 1}]
# No worker has room for it.
HUGE_STEPS = [{"count": 1, "cpu": 10**8}]
# The users' bounds on the time until a cancelled job is gone, and until a job
# is counted, in seconds.
CANCEL_S = 3.9
VISIBLE_S = 5.0
# Time for which an owner that was killed stays away, in seconds.
AWAY_S = 3.0
# Time until all runs of a job have been ordered, in seconds.
START_S = 0.8
MAX_CHANGES = 10


class ReleaseTrial:
    """One site with a manager of each release.

    :param other: Root of a checkout of the other release.
    """

    def __init__(self, other: pathlib.Path) -> None:
        commands = {
            "vm-1": [str(fleets.BIN / "rackvalve-manager")],
            "vm-2": [sys.executable, str(other / "bin" / "rackvalve-manager")],
        }
        self.site = sites.Site(
            2,
            make_command=lambda folder, settings: [
                *commands[settings.stem],
                str(settings),
            ],
        )
        self.names = {"vm-1": "this release", "vm-2": "the other release"}
        self.bad = 0

    def run(self) -> int:
        """Play all of it; return how many checks failed."""
        this, other = self.site.managers
        try:
            self.site.start()
            for owner in (other, this):
                self._make_owner(owner)
                for manager in (this, other):
                    self._check_job(manager, owner)
                self._check_cancel(this, other)
                self._check_cancel(other, this)
                self._check_count(other)
            for first, second in ((other, this), (this, other)):
                self._check_takeover(first, second, STEPS, work_ms=2000)
                self._check_takeover(first, second, LARGE_STEPS, work_ms=1500)
        finally:
            self.site.stop()
        return self.bad

    def _report(self, title: str, good: bool, **fields: object) -> None:
        self.bad += not good
        print(json.dumps({"check": title, "good": good, **fields}), flush=True)

    def _make_owner(self, wanted: dict) -> None:
        """Have a manager own the scheduling, by killing the other one."""
        for _ in range(MAX_CHANGES):
            owner = self.site.owner()
            if owner is wanted:
                return
            owner["process"].kill()
            time.sleep(AWAY_S)
            self._restart(owner)
        raise TimeoutError(f"{wanted['vm']} does not become the owner")

    def _restart(self, manager: dict) -> None:
        manager["process"].start()
        self.site.wait_listening(manager)

    def _count_ends(self, job: str) -> dict[str, int]:
        """Return how often each task of a job has ended well."""
        return collections.Counter(
            row[3]
            for row in self.site.journal()["journal"]
            if row[1] == "end" and row[5] == "done" and row[3].startswith(job)
        )

    def _has_ended_once(self, job: str, tasks: int) -> bool:
        ends = self._count_ends(job)
        return len(ends) == tasks and set(ends.values()) == {1}

    def _list_shown(self, job: str) -> list[str]:
        """Return what each manager answers for a job."""
        shown = []
        for manager in self.site.managers:
            reply = self.site.call(manager, "GET", f"/{QUEUE}/{job}")
            known = reply is not None and reply.status == 200
            shown.append(json.loads(reply.body)["state"] if known else "")
        return shown

    def _check_job(self, manager: dict, owner: dict) -> None:
        """Check that a job runs, whoever has taken and whoever runs it."""
        job = self.site.submit(QUEUE, STEPS, "work_ms=800", manager=manager)
        shown = self._list_shown(job)
        state = self.site.wait_final(QUEUE, job)
        self._report(
            f"a job taken by {self.names[manager['vm']]}, and run by "
            f"{self.names[owner['vm']]}",
            state == "completed"
            and all(shown)
            and self._has_ended_once(job, tasks=6),
            state=state,
            shown=shown,
        )

    def _check_cancel(self, taker: dict, canceller: dict) -> None:
        """Check that one release cancels what the other has taken."""
        job = self.site.submit(QUEUE, STEPS, "work_ms=9000", manager=taker)
        time.sleep(START_S)
        reply = self.site.call(canceller, "DELETE", f"/{QUEUE}/{job}")
        time.sleep(CANCEL_S)
        shown = self._list_shown(job)
        self._report(
            f"a job taken by {self.names[taker['vm']]} is cancelled at "
            f"{self.names[canceller['vm']]}",
            reply is not None
            and reply.status == 200
            and set(shown) == {"cancelled"},
            shown=shown,
        )

    def _check_count(self, taker: dict) -> None:
        """Check that both releases count a job that waits."""
        job = self.site.submit(QUEUE, HUGE_STEPS, manager=taker)
        time.sleep(VISIBLE_S)
        replies = [
            self.site.call(manager, "GET", f"/{QUEUE}/")
            for manager in self.site.managers
        ]
        counts = [
            json.loads(reply.body)["waiting"] if reply is not None else None
            for reply in replies
        ]
        self._report("a job that waits is counted", counts == [1, 1])
        self.site.call(taker, "DELETE", f"/{QUEUE}/{job}")

    def _check_takeover(
        self, first: dict, second: dict, steps: list[dict], *, work_ms: int
    ) -> None:
        """Check that a job goes on while the ownership goes to and fro."""
        self._make_owner(first)
        tasks = sum(step["count"] for step in steps)
        job = self.site.submit(
            QUEUE, steps, f"work_ms={work_ms}", manager=second
        )
        time.sleep(START_S)
        self._make_owner(second)
        self._make_owner(first)
        state = self.site.wait_final(QUEUE, job)
        self._report(
            f"a job of {tasks} tasks goes on while "
            f"{self.names[second['vm']]} follows {self.names[first['vm']]} as "
            "owner, and is followed by it",
            state == "completed" and self._has_ended_once(job, tasks),
            state=state,
        )


def main(arguments: list[str]) -> int:
    """Run the trial.

    :return: 0 if all checks hold.
    """
    parser = argparse.ArgumentParser(prog="releases")
    parser.add_argument(
        "other", type=pathlib.Path, help="a checkout of the other release"
    )
    other = parser.parse_args(arguments).other.resolve()
    if not (other / "bin" / "rackvalve-manager").is_file():
        parser.error(
            f"{other} is no checkout: bin/rackvalve-manager is absent"
        )
    return 1 if ReleaseTrial(other).run() else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
