"""Defects of managers that a run of the soak switches on and off.

Each manager of such a run is a :mod:`tools.soak.defective_manager`.
"""

from __future__ import annotations

import sys

# Part of the text of each injected error.
MARK = "injected defect"
# File of the workers whose reports the managers fail on, in a site's folder.
WORKERS = "failing-workers.txt"


def make_command(folder, settings):
    """Return the command that runs a manager with defects.

    :param folder: The site's folder.
    :param settings: Path of the manager's settings.
    """
    return [
        sys.executable,
        "-m",
        "tools.soak.defective_manager",
        str(folder / WORKERS),
        str(settings),
    ]


def add_worker(folder, name):
    """Have the managers fail on a worker's reports.

    :param folder: The site's folder.
    :param name: Name of the worker.
    """
    _write(folder, _read(folder) | {name})


def remove_worker(folder, name):
    """Have the managers handle a worker's reports again."""
    _write(folder, _read(folder) - {name})


def _read(folder):
    path = folder / WORKERS
    return set(path.read_text().split()) if path.exists() else set()


def _write(folder, names):
    # Managers read the file at any time.
    new = folder / f"{WORKERS}.new"
    new.write_text("\n".join(sorted(names)))
    new.rename(folder / WORKERS)
