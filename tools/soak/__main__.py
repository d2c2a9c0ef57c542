"""The command line of the soak."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

from tools.soak import plan  # noqa: E402
from tools.soak import regressions  # noqa: E402
from tools.soak import runner  # noqa: E402
from tools.soak import sizes  # noqa: E402

# Exit code that a shell reports for a process ended by SIGTERM.
EXIT_ENDED = 143
# Limit of the violations of a run that are printed.
MAX_PRINTED = 10


def main(arguments):
    """Run the seeds one after the other.

    :return: 0 if no promise was broken, 1 otherwise.
    """
    options = read_options(arguments)
    # Exiting normally on SIGTERM also ends the processes that a run started.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(EXIT_ENDED))
    seconds = options.minutes * 60
    bad = 0
    for seed, managers, shape, only in list_runs(options):
        size = sizes.SIZES[options.size]
        run = runner.Runner(seed, seconds, managers, shape, only, size)
        result = run.run()
        bad += bool(result.violations)
        print_result(seed, seconds, result)
    return 1 if bad else 0


def read_options(arguments):
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--minutes", type=float, default=0.5)
    parser.add_argument("--managers", type=int, default=4)
    parser.add_argument(
        "--shape", choices=(plan.STEADY, plan.BURSTS), default=plan.BURSTS
    )
    parser.add_argument(
        "--size",
        choices=tuple(sizes.SIZES),
        default="small",
        help="size of the site and of its traffic",
    )
    parser.add_argument(
        "--only",
        nargs="*",
        choices=plan.NAMED_KINDS,
        default=(),
        help="kinds of faults in bursts",
    )
    parser.add_argument(
        "--regressions",
        action="store_true",
        help="run the seeds that once failed",
    )
    return parser.parse_args(arguments)


def list_runs(options):
    """Return the arguments of the requested runs, without their duration."""
    if options.regressions:
        return [
            (one.seed, one.managers, one.shape, one.only)
            for one in regressions.REGRESSIONS
        ]
    seeds = range(options.seed, options.seed + options.seeds)
    return [
        (seed, options.managers, options.shape, options.only) for seed in seeds
    ]


def print_result(seed, seconds, result):
    """Print a run's figures as one JSON line, and its violations."""
    figures = {
        "seed": seed,
        "seconds": seconds,
        "faults": result.faults,
        "accepted": result.accepted,
        "calls": result.calls,
        "broken": len(result.violations),
        "longest gap": result.longest,
        "longest calm gap": result.longest_calm,
        "logs": result.folder,
    }
    print(json.dumps(figures), flush=True)
    for violation in result.violations[:MAX_PRINTED]:
        print(f"  {violation.promise}: {violation.detail}", flush=True)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
