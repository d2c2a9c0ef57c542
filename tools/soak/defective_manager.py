"""Runs a manager that has a defect: it fails on the reports of some workers.

The names of these workers stand in a file, one a line, which may change while
the manager runs.  No defect of this kind is known; what it may cost is judged.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
import sys  # noqa: E402

from rackvalve.jobs import incarnations  # noqa: E402
from rackvalve.manager import program  # noqa: E402
from rackvalve.scheduling import reports  # noqa: E402
from tools.soak import defects  # noqa: E402


class InjectedError(Exception):
    """The error that a defect raises."""


def main(arguments):
    """Run the manager.

    :param arguments: Path of the file of workers, and of the settings.
    """
    listed, settings = arguments
    _inject(pathlib.Path(listed))
    return program.run([settings])


def _inject(listed):
    """Have the handling of reports fail for the workers in a file."""
    apply = reports.Handler.apply

    def apply_or_fail(self, worker, report, *, now, wall):
        name = incarnations.parse_incarnation(worker.identity).worker
        if listed.exists() and name in listed.read_text().split():
            raise InjectedError(f"{defects.MARK}: {name}")
        apply(self, worker, report, now=now, wall=wall)

    reports.Handler.apply = apply_or_fail


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
