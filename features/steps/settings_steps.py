"""Steps about settings files."""

from __future__ import annotations

import pathlib
import subprocess
import tempfile

import behave
import hypothesis
from hypothesis import strategies

from rackvalve.settings import catalog
from rackvalve.settings import explanation
from rackvalve.settings import reader
from tools import fleet as fleets

GOOD = {
    "instance": {"vm": "vm-1", "hall": "north"},
    "entry": {"listen": "127.0.0.1:7001", "rpc_listen": "127.0.0.1:7002"},
    "steward": {"listen": "127.0.0.1:7003", "platform": "127.0.0.1:7004"},
    "admin": {"listen": "127.0.0.1:7005"},
}


def write_file(changes):
    sections = {name: dict(values) for name, values in GOOD.items()}
    for section, key, value in changes:
        sections.setdefault(section, {})[key] = value
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {value}" for key, value in values.items()]
    path = pathlib.Path(tempfile.mkdtemp()) / "vm.ini"
    path.write_text("\n".join(lines))
    return str(path)


@behave.given('a settings file in which [{section}] {key} is "{value}"')
def write_one_fault(context, section, key, value):
    context.path = write_file([(section, key, value)])


@behave.given("a settings file with three faults")
def write_three_faults(context):
    context.path = write_file(
        [
            ("entry", "body_limit", "much"),
            ("steward", "lease", "5s"),
            ("metric", "statsd", "127.0.0.1:1"),
        ]
    )


@behave.when("the settings are checked")
def check_settings(context):
    context.done = subprocess.run(
        [fleets.BIN / "rackvalve", "settings", "check", context.path],
        capture_output=True,
        text=True,
    )


@behave.then('the fault names the file, "{section}", "{key}" and "{mend}"')
def check_fault(context, section, key, mend):
    text = context.done.stderr
    assert context.done.returncode == 2, context.done
    assert f"{context.path}: {section}" in text, text
    assert key in text or "unknown section" in text, text
    assert mend in text, text


@behave.then("{count:d} faults are named and the exit code is {code:d}")
def check_faults(context, count, code):
    assert len(context.done.stderr.splitlines()) == count, context.done
    assert context.done.returncode == code


@behave.then('"{program}" does not start on it')
def check_no_start(context, program):
    done = subprocess.run(
        [fleets.BIN / program, "run", context.path],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == 2, done
    assert done.stderr == context.done.stderr, done


@behave.when("the settings are explained")
def explain_settings(context):
    context.explained = explanation.explain_all()


@behave.then("every key of the catalog stands there with its unit and meaning")
def check_explained(context):
    for key in catalog.KEYS:
        assert f"  {key.name}: " in context.explained
        assert key.kind.unit in context.explained
        assert key.meaning in context.explained


@behave.when("{count:d} generated settings files are checked")
def check_generated(context, count):
    folder = pathlib.Path(tempfile.mkdtemp())
    words = strategies.sampled_from(
        ["[entry]", "[", "listen = ", "\n", "=", "body_limit=", "\x00", "é"]
    )
    texts = strategies.one_of(
        strategies.binary(max_size=300),
        strategies.lists(words, max_size=30).map(
            lambda parts: "".join(parts).encode()
        ),
    )
    context.ended = 0

    @hypothesis.settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(texts)
    def check(text):
        path = folder / "fuzzed.ini"
        path.write_bytes(text)
        settings, faults = reader.check_file(str(path))
        assert (settings is None) == bool(faults)
        context.ended += 1

    check()


@behave.then("each ends with settings or with faults")
def check_ended(context):
    assert context.ended > 0
