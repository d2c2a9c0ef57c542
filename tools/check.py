"""Runs the tests and ends with the line ``N passed, N failed``.

A scenario listed in ``KNOWN-RED.txt`` may fail; it is printed and counted
separately.  A listed scenario that passes is an error, as its line must be
removed, unless the line says that it ``fails in N of M runs``, N below M:
such a scenario is printed whichever way it ends.
"""

from __future__ import annotations

from collections.abc import Collection
import dataclasses
import json
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# An entry names the test, its command and seed with what was seen, and the
# open issue: ``test | command, seed: what was seen | issue 7``.
ENTRY = re.compile(r"[^|]+\|[^|]*\bseeds?\b[^|]*: [^|]+\| issue [1-9][0-9]*")
# How often the test of an entry fails, if it does not always.
FREQUENCY = re.compile(r"\bfails in ([0-9]+) of ([0-9]+) runs\b")
REPORT = ROOT / "build" / "behave.json"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Verdict:
    """What the results of scenarios mean beside the known failures.

    :param failed: Scenarios that failed and are not listed.
    :param known: Listed scenarios that failed.
    :param intermittent: Scenarios listed as failing in some runs that passed.
    :param stale: Scenarios listed as failing always that passed.
    :param not_run: Listed tests that were not run.
    """

    failed: list[str]
    known: list[str]
    intermittent: list[str]
    stale: list[str]
    not_run: list[str]


def main(arguments: list[str]) -> int:
    """Run behave with the given arguments.

    :return: 0 if only scenarios in ``KNOWN-RED.txt`` failed.
    """
    REPORT.parent.mkdir(exist_ok=True)
    REPORT.unlink(missing_ok=True)
    command = [
        sys.executable,
        "-m",
        "behave",
        "--format=progress3",
        "--outfile=/dev/stdout",
        "--format=json",
        f"--outfile={REPORT}",
        *arguments,
    ]
    code = subprocess.run(command, cwd=ROOT).returncode
    results = read_results()
    verdict = judge(results, list_entries())
    for name in verdict.known:
        print(f"known red: {name}")
    for name in verdict.intermittent:
        print(f"known red, passed in this run: {name}")
    for name in verdict.failed:
        print(f"FAILED: {name}")
    for name in verdict.stale:
        print(f"FAILED: known red passes, take its line out: {name}")
    if not arguments:
        for name in verdict.not_run:
            print(f"known red, run by hand: {name}")
    bad = len(verdict.failed) + len(verdict.stale)
    for line in list_incomplete():
        print(f"FAILED: an entry of KNOWN-RED.txt lacks a part: {line}")
        bad += 1
    failed = len(verdict.failed) + len(verdict.known)
    if code and not failed:
        print(f"FAILED: behave ended with {code} and no failed scenario")
        bad += 1
    if not results:
        print("FAILED: no scenario was run")
        bad += 1
    print(f"{len(results) - failed} passed, {bad} failed")
    return 1 if bad else 0


def judge(results: dict[str, bool], entries: Collection[str]) -> Verdict:
    """Compare the results of scenarios with the known failures.

    :param results: Whether each scenario passed, by name.
    :param entries: The entries of ``KNOWN-RED.txt``.
    """
    listed = {read_name(entry): is_intermittent(entry) for entry in entries}
    failed = [name for name, good in results.items() if not good]
    passed = [name for name in listed if results.get(name)]
    return Verdict(
        failed=[name for name in failed if name not in listed],
        known=[name for name in failed if name in listed],
        intermittent=[name for name in passed if listed[name]],
        stale=[name for name in passed if not listed[name]],
        not_run=sorted(listed.keys() - results.keys()),
    )


def read_results() -> dict[str, bool]:
    """Return whether each scenario passed, by ``feature: scenario``."""
    if not REPORT.exists():
        return {}
    results = {}
    for feature in json.loads(REPORT.read_text("utf-8") or "[]"):
        for element in feature.get("elements", []):
            if element.get("type") == "background":
                continue
            # The name of an outline's row ends with a space.
            name = f"{feature['name']}: {element['name']}".strip()
            results[name] = element.get("status") == "passed"
    return results


def list_entries() -> list[str]:
    """Return the entries of ``KNOWN-RED.txt``, one a line."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text("utf-8").splitlines()
    return [line.strip() for line in lines if line.strip()]


def list_incomplete() -> list[str]:
    """Return the entries that lack one of their parts."""
    return [line for line in list_entries() if not ENTRY.fullmatch(line)]


def read_name(entry: str) -> str:
    """Return the name of the test of an entry."""
    return entry.split("|")[0].strip()


def is_intermittent(entry: str) -> bool:
    """Return whether an entry says that its test fails in some runs only."""
    found = FREQUENCY.search(entry)
    return found is not None and int(found[1]) < int(found[2])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
