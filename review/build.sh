#!/bin/sh
# Prepares the scripts of the cases.  Their stand-ins, the project's own among
# them, are Python files that need only what the deploy file's build installs.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:. python3 -m compileall -q standins review || exit 1
PYTHONPATH=target/deps:. python3 -c '
from gevent import monkey

monkey.patch_all()
from review.harness import site
'
