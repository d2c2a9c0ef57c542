"""Fails if a Python file is too long to be read in one go."""

from __future__ import annotations

import pathlib
import subprocess
import sys

LIMIT = 500


def main() -> int:
    """Check all Python files that git tracks or would track."""
    listed = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", "*.py"],
        capture_output=True,
        check=True,
        text=True,
    )
    found = 0
    for name in listed.stdout.split():
        path = pathlib.Path(name)
        if "_pb2" in name or not path.exists():
            continue
        lines = len(path.read_text("utf-8").splitlines())
        if lines > LIMIT:
            print(f"{name}: {lines} lines, more than {LIMIT}")
            found += 1
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
