"""Runs experiments and prints one JSON line a figure."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from tools.experiments import entry  # noqa: E402

SEED = 1

EXPERIMENTS = {
    "entry": entry.run,
}


def main(arguments):
    """Run the experiments whose name starts with the first argument.

    ``entry`` runs one experiment, ``entry.added`` prints only the figures
    of it that start so.
    """
    only = arguments[0] if arguments else ""
    wanted = only.split(".")[0]
    found = 0
    for name, run in EXPERIMENTS.items():
        if wanted and name != wanted:
            continue
        for figure in run(SEED):
            if not only.count(".") or figure.figure.startswith(only):
                figure.print()
                found += 1
    if not found:
        print(f"no figure named {only!r}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
