"""The platform's stand-in with workers that run gangs and save checkpoints.

The tasks of a gang work only together, from the moment when all members of
one run are there with the same checkpoint.  A member that waits for GANG_S
ends ``alone``; when a member is gone, the others end ``broken``.  The word
``gang=3`` of a spec gives the size of the gang.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402

import gevent  # noqa: E402

from standins import site  # noqa: E402
from standins import worker as workers  # noqa: E402

GANG_S = 3.0
SAVE_S = 0.5
STOP_S = 0.2


class Gangs:
    """All members of all gangs that have started, by step and run."""

    members: dict[tuple[str, int], dict[str, dict]] = {}

    @classmethod
    def find(cls, task, run):
        """Return the members of a task's gang, by task."""
        return cls.members.setdefault((task.rpartition(".")[0], run), {})


class GangWorker(workers.Worker):
    """A worker that runs gangs."""

    def end(self, cause):
        """End this incarnation; the members on it are gone."""
        for member in self.running.values():
            member["gone"] = True
        super().end(cause)

    def _start(self, order):
        key = (order["task"], order["run"])
        is_known = key in self.running
        answer = super()._start(order)
        if is_known or key not in self.running:
            return answer
        member = self.running[key]
        words = dict(
            word.partition("=")[::2] for word in order["spec"].split()
        )
        saved = order.get("last-checkpoint", "")
        member.update(
            {
                "size": int(words["gang"]),
                "brought": saved,
                "saved": saved,
                "worked": int(saved[:8], 16) / 1000 if saved else 0.0,
                "formed": False,
                "gone": False,
            }
        )
        Gangs.find(*key)[key[0]] = member
        self.site.note("brought", self, *key, saved)
        return answer

    def _hold(self, order):
        status, body = super()._hold(order)
        body["running"] = [
            [task, run, member["saved"], self._compute_percent(member), 0]
            for (task, run), member in self.running.items()
        ]
        return status, body

    def _compute_percent(self, member):
        return min(100, int(100 * member["worked"] / member["work"]))

    def _work_forever(self):
        while self.alive:
            gevent.sleep(self.site.tick)
            self._expire_lease()
            for key in list(self.running):
                self._work(key, self.running[key])

    def _work(self, key, member):
        now = self.clock()
        if member["stopped"]:
            if now >= member["stopped"]:
                self._save(member)
                self._finish(key, "stopped")
            return
        gang = Gangs.find(*key)
        together = [
            other
            for other in gang.values()
            if not other["gone"] and other["brought"] == member["brought"]
        ]
        if len(together) == member["size"]:
            member["formed"] = True
            member["worked"] += self.site.tick
            if member["worked"] >= member["work"]:
                self._finish(key, "done", is_gone=False)
            elif int(member["worked"] / SAVE_S) > int(
                (member["worked"] - self.site.tick) / SAVE_S
            ):
                self._save(member)
        elif member["formed"]:
            self._finish(key, "broken")
        elif now - member["began"] >= GANG_S:
            self._finish(key, "alone")

    def _save(self, member):
        done = int(member["worked"] * 1000)
        member["saved"] = f"{done:08x}{random.getrandbits(32):08x}"

    def _finish(self, key, how, *, is_gone=True):
        member = self.running[key]
        if is_gone:
            member["gone"] = True
        super()._finish(key, how)
        self.ended[-1][4] = "" if how == "done" else member["saved"]


if __name__ == "__main__":
    workers.Worker = GangWorker
    workers.STOP_S = STOP_S
    site.main()
