#!/bin/sh
# Builds what the scripts of review/4 to review/8 start besides the product.
# The stand-ins are Python modules that use the libraries of the deploy file's
# build, so they are only compiled, which shows whether all of them load.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:.:review python3 - <<'EOF'
import compileall
import pathlib
import sys

import gevent  # noqa: F401

FOLDERS = ["standins", "review/harness_2"] + [
    f"review/{number}" for number in range(4, 9)
]
found = [name for name in FOLDERS if pathlib.Path(name).is_dir()]
sys.exit(not all(compileall.compile_dir(name, quiet=1) for name in found))
EOF
