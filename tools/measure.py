"""Runs experiments and prints each figure as one JSON line."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from tools.experiments import capacity  # noqa: E402
from tools.experiments import commits  # noqa: E402
from tools.experiments import control  # noqa: E402
from tools.experiments import cores  # noqa: E402
from tools.experiments import crashes  # noqa: E402
from tools.experiments import decisions  # noqa: E402
from tools.experiments import entry  # noqa: E402
from tools.experiments import failover  # noqa: E402
from tools.experiments import faults  # noqa: E402
from tools.experiments import jobs  # noqa: E402
from tools.experiments import once  # noqa: E402
from tools.experiments import overload  # noqa: E402
from tools.experiments import records  # noqa: E402
from tools.experiments import shares  # noqa: E402
from tools.experiments import vm_crashes  # noqa: E402
from tools.experiments import waves  # noqa: E402

SEED = 1

EXPERIMENTS = {
    "entry": entry.run,
    "cores": cores.run,
    "jobs": jobs.run,
    "decisions": decisions.run,
    "shares": shares.run,
    "writer": commits.run,
    "records": records.run,
    "once": once.run,
    "overload": overload.run,
    "faults": faults.run,
    "waves": waves.run,
    "control": control.run,
    "capacity": capacity.run,
    "crashes": crashes.run,
    "failover": failover.run,
    "vm_crashes": vm_crashes.run,
}


def main(arguments):
    """Run one experiment, by the first argument, or all of them."""
    only = arguments[0] if arguments else ""
    found = 0
    for name, run in EXPERIMENTS.items():
        if only in ("", name):
            for figure in run(SEED):
                figure.print()
                found += 1
    if not found:
        known = ", ".join(EXPERIMENTS)
        print(f"no experiment {only!r}; there are {known}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
