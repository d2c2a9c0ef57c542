"""A job is cancelled whose write the store makes seconds later."""

from __future__ import annotations

import pathlib
import time

from harness_2 import late_store
from harness_2 import site as sites

IDENTITY = "7a3d91c0be5f2468"
PATH = f"/rebuilds/{IDENTITY}"
# The second step begins long after the disruption.
JOB = {
    "spec": "work_ms=9000",
    "steps": [
        {"count": 2, "cpu": 2000, "mem-mb": 1024, "estimate-ms": 9000},
        {
            "count": 2,
            "cpu": 2000,
            "mem-mb": 1024,
            "estimate-ms": 9000,
            "after-rev": [0],
        },
    ],
}
# The pages let a write without an answer be made 1 to 6 s later, and give
# cancel_ms 3,000.
LATE_S = 5.0
CANCEL_S = 3.0
WATCH_S = 30.0


class Case:
    """One play of the case."""

    def __init__(self):
        self._record = None
        self.is_losing = False

    def prepare(self, record):
        """Return the options of the site."""
        self._record = record
        return {"make_store": self._make_store}

    def _make_store(self, number, port):
        """Give the first manager its store behind the proxy."""
        if number:
            return port
        store = late_store.LateStore(self._record, port, self._is_lost, LATE_S)
        return store.port

    def _is_lost(self, body):
        return (
            self.is_losing
            and IDENTITY.encode() in body
            and b"/definition" in body
        )

    def play(self, site, has_trouble):
        """Submit a job, cancel it, and see whether tasks start later."""
        self.is_losing = has_trouble
        site.ask(site.managers[0], "POST", PATH, JOB)
        self.is_losing = False
        cancelled = site.ask(site.managers[1], "DELETE", PATH)
        acknowledged = time.monotonic()
        if cancelled is None or cancelled[0] not in (200, 410):
            raise sites.NotStartedError("the cancelling was not acknowledged")
        time.sleep(WATCH_S)
        site.ask_state(PATH)
        site.write_runs(IDENTITY)
        late = [
            row
            for row in site.list_runs(IDENTITY)
            if row[1] == "start" and row[0] > acknowledged + CANCEL_S
        ]
        for row in late:
            site.record.write(
                f"{row[3]} started {row[0] - acknowledged:.1f} s after the "
                "cancelling was acknowledged"
            )
        return not late


def main():
    """Run the case."""
    case = Case()
    sites.run_case(
        pathlib.Path(__file__).parent,
        case.play,
        pools={"rebuilds": 4},
        prepare=case.prepare,
    )


if __name__ == "__main__":
    main()
