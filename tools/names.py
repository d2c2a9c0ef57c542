"""Fails if a name of the platform's wire formats is used outside its adapter.

Checks the string literals and names of all modules of the product outside
``rackvalve.platform``.
"""

from __future__ import annotations

import pathlib
import sys
import tokenize

SOURCE = pathlib.Path(__file__).resolve().parent.parent / "src" / "rackvalve"
ADAPTER = SOURCE / "platform"
# Wire names that this project does not use as ordinary words.
NAMES = (
    "after-rev",
    "api-keys",
    "anti-affinity",
    "clock-ms",
    "cloud-api",
    "estimate-ms",
    "expect-instance",
    "expected-rev",
    "fencing-token",
    "first-run-ms",
    "interval-ms",
    "instance-id",
    "kv-",
    "last-checkpoint",
    "last-seen",
    "lease-holder",
    "long-running",
    "machine-move",
    "machine-upkeep",
    "may_miss",
    "mem-mb",
    "next-token",
    "no-auth",
    "page-token",
    "path-prefix",
    "remaining-ms",
    "run-start",
    "run-stop",
    "servers/",
    "status/wave",
    "target-latency",
    "target_ms",
    "until-ms",
    "upper-bound",
    "wait-ms",
)
WORDS = frozenset({"machine", "tenant", "upkeep_s", "zone"})


def find_leaks(path: pathlib.Path) -> list[str]:
    """Return the wire names in a module, with their lines.

    :param path: The module.
    """
    found = []
    with open(path, "rb") as source:
        for token in tokenize.tokenize(source.readline):
            if token.type == tokenize.STRING:
                text = token.string.lower()
                if text.startswith(('"""', "'''")):
                    continue
                leaks = [name for name in NAMES if name in text]
            elif token.type == tokenize.NAME:
                leaks = [token.string] if token.string in WORDS else []
            else:
                continue
            found.extend(f"{path}:{token.start[0]}: {leak}" for leak in leaks)
    return found


def main() -> int:
    """Check all modules outside the adapter."""
    leaks = []
    for path in sorted(SOURCE.rglob("*.py")):
        if ADAPTER not in path.parents and "_pb2" not in path.name:
            leaks.extend(find_leaks(path))
    for leak in leaks:
        print(f"{leak} belongs to rackvalve.platform")
    return 1 if leaks else 0


if __name__ == "__main__":
    sys.exit(main())
