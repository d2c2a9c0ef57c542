"""Steps about pages and examples."""

from __future__ import annotations

import pathlib
import re

import behave

from rackvalve.configuration import document
from rackvalve.configuration import rules
from rackvalve.settings import reader
from tools import reference

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
EXAMPLES = ROOT / "docs" / "examples"


@behave.then("each made page is committed as it is")
def check_pages(context):
    for name, text in reference.make_pages().items():
        committed = (reference.FOLDER / name).read_text("utf-8")
        assert committed == text, f"{name}: run make reference"


@behave.then("each example of settings and configuration has no fault")
def check_examples(context):
    settings = list(EXAMPLES.glob("*.ini"))
    configurations = list(EXAMPLES.glob("*.json"))
    assert len(settings) >= 2 and len(configurations) >= 2
    for path in settings:
        _, faults = reader.check_file(str(path))
        assert not faults, faults
    for path in configurations:
        found = document.decode(path.read_bytes())
        assert not rules.find_faults(found), path


@behave.then("no page has a link to a file that is not there")
def check_links(context):
    pages = [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]
    for page in pages:
        for link in re.findall(r"\]\(([^)#]+)\)", page.read_text("utf-8")):
            assert (page.parent / link).exists(), (page.name, link)
