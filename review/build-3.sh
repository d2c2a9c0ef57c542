#!/bin/sh
# Builds the stand-ins that the scripts of review/9 to review/13 start. They are
# Python, with the libraries that the build of the deploy file put into
# target/deps, so this compiles them in memory and imports what they need.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 - <<'CODE'
import pathlib

for folder in ("standins", "review/harness_3"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text("utf-8"), str(path), "exec")
import gevent.pywsgi
CODE
