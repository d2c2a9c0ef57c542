"""The project's stand-in of the platform, with gangs that save their progress.

A spec names the number of members, ``gang=4``.  The members of one run work
together from the moment when all of them are there with the same checkpoint;
those that wait for the others for longer than GANG_S end ``alone``.  Each
member saves a text of its own after each SAVE_S of work; a start that brings
the text of any member goes on from there.
"""

from __future__ import annotations

import uuid

import gevent

from standins import site
from standins import worker as workers

GANG_S = 3.0
SAVE_S = 0.5
# Progress in seconds that each checkpoint stands for.
SAVED: dict[str, float] = {}
# Members of each gang that are there: by step and run, the worker and the
# state of each task.
MEMBERS: dict[tuple[str, int], dict[str, tuple[object, dict]]] = {}


class Worker(workers.Worker):
    """A worker that runs gangs."""

    def _start(self, order):
        key = (order["task"], order["run"])
        known = key in self.running
        status, body = super()._start(order)
        state = self.running.get(key)
        if known or state is None:
            return status, body
        text = order.get("last-checkpoint", "")
        words = dict(
            word.partition("=")[::2] for word in order["spec"].split()
        )
        state["size"] = int(words.get("gang", "0"))
        state["brought"] = text
        state["before"] = SAVED.get(text, 0.0)
        state["arrived"] = self.clock()
        state["saved"] = text
        state["together"] = None
        self.site.note("brought", self, *key, text)
        self._list_gang(key)[order["task"]] = (self, state)
        return status, body

    def _list_gang(self, key):
        return MEMBERS.setdefault((key[0].rpartition(".")[0], key[1]), {})

    def _hold(self, order):
        status, body = super()._hold(order)
        for row in body["running"]:
            state = self.running.get((row[0], row[1]))
            row[2] = state["saved"] if state else ""
            row[3] = self._measure(state) if state else 0
        return status, body

    def _measure(self, state):
        done = state["before"]
        if state["together"] is not None:
            done += self.clock() - state["together"]
        return min(100, int(100 * done / state["work"]))

    def _work_forever(self):
        while self.alive:
            gevent.sleep(self.site.tick)
            self._expire_lease()
            now = self.clock()
            for key, state in list(self.running.items()):
                if key in self.running and "size" in state:
                    self._step(key, state, now)

    def _step(self, key, state, now):
        if state["stopped"]:
            if now >= state["stopped"]:
                self._finish(key, "stopped")
            return
        gang = self._list_gang(key)
        if state["together"] is None:
            texts = {one["brought"] for _, one in gang.values()}
            if len(gang) == state["size"] and len(texts) == 1:
                for worker, one in gang.values():
                    one["together"] = worker.clock()
            elif now - state["arrived"] > GANG_S:
                self._finish(key, "alone")
            return
        done = state["before"] + now - state["together"]
        saves = int(done / SAVE_S)
        if saves > state.get("saves", int(state["before"] / SAVE_S)):
            state["saves"] = saves
            state["saved"] = uuid.uuid4().hex[:16]
            SAVED[state["saved"]] = saves * SAVE_S
        if done >= state["work"]:
            self._finish(key, "done")

    def _finish(self, key, how):
        state = self.running.get(key)
        saved = state.get("saved", "") if state else ""
        super()._finish(key, how)
        self.ended[-1][4] = saved
        gang = self._list_gang(key)
        gang.pop(key[0], None)
        if how in ("done", "alone"):
            return
        self._break_others(key)

    def _break_others(self, key):
        for task, (worker, _) in list(self._list_gang(key).items()):
            other = (task, key[1])
            if other in worker.running:
                worker._finish(other, "broken")

    def end(self, cause):
        keys = list(self.running)
        for key in keys:
            self._list_gang(key).pop(key[0], None)
        super().end(cause)
        for key in keys:
            self._break_others(key)


if __name__ == "__main__":
    workers.Worker = Worker
    site.main()
