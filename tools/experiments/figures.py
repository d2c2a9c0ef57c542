"""Figures and shared helpers of experiments."""

from __future__ import annotations

import dataclasses
import json
import os
import pathlib
import subprocess
import time

from tools import fleet as fleets

TICKS = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Figure:
    """One measured value.

    :param figure: Its name.
    :param value: The value.
    :param unit: Its unit.
    :param baseline: The value for comparison, from the same run; ``None``
        without one.
    :param n: Number of observations.
    :param seed: Seed of the run.
    """

    figure: str
    value: float
    unit: str
    baseline: float | None = None
    n: int = 0
    seed: int = 1

    def print(self):
        """Print it as one JSON line."""
        print(json.dumps(dataclasses.asdict(self)), flush=True)


def read_cpu(pid):
    """Return the processor time a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def read_rss_mb(pid):
    """Return the resident memory of a process, in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


def start_load(addresses, **options):
    """Start a load process; ``finish_load`` reads its summary."""
    command = [str(fleets.BIN / "rackvalve-load"), "send", *addresses]
    for name, value in options.items():
        word = "--" + name.replace("_", "-")
        command += [word] if value is True else [word, str(value)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def finish_load(process):
    """Wait for a load process and return its summary."""
    out, _ = process.communicate(timeout=300)
    return json.loads(out)


def run_load(addresses, **options):
    """Run one load process to its end."""
    return finish_load(start_load(addresses, **options))


def measure_cpu(pid, seconds):
    """Return the share of a core that a process uses within a time."""
    before = read_cpu(pid)
    time.sleep(seconds)
    return (read_cpu(pid) - before) / seconds
