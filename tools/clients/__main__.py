"""Plays a crowd of one kind, and prints what it counted as JSON.

``python -m tools.clients KIND --port PORT --path PATH --seconds 10``
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import resource  # noqa: E402

import gevent  # noqa: E402

from tools.clients import kinds  # noqa: E402
from tools.clients import sessions  # noqa: E402

# Connections that are opened in each step, and the pause after it, in seconds.
STEP = 50
STEP_PAUSE_S = 0.01


def read_arguments():
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="python -m tools.clients")
    parser.add_argument("kind", choices=sorted(kinds.KINDS))
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--path", default="/lookup/{}")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--connections", type=int)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def main():
    """Play the crowd for the given time."""
    options = read_arguments()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    kind = kinds.KINDS[options.kind]
    count = options.connections or kind.connections
    seeds = random.Random(options.seed)
    counts = sessions.make_counts()
    with gevent.Timeout(options.seconds, False):
        for number in range(count):
            session = sessions.Session(
                options.port, options.path, seeds.getrandbits(32), counts
            )
            gevent.spawn(session.run, kind.play)
            if number % STEP == STEP - 1:
                gevent.sleep(STEP_PAUSE_S)
        gevent.get_hub().join()
    print(json.dumps(counts, sort_keys=True), flush=True)


if __name__ == "__main__":
    main()
