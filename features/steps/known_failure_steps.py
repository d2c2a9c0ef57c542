"""Steps about the list of known failures."""

from __future__ import annotations

import dataclasses

import behave

from tools import check

NAME = "Feature: A scenario -- @1.1"
ENTRIES = {
    "as failing": f"{NAME} | make test, seed 1: it ends | issue 2",
    "as failing in 11 of 18": (
        f"{NAME} | make test, seed 1: it fails in 11 of 18 runs | issue 2"
    ),
    "as failing in 4 of 4": (
        f"{NAME} | make test, seed 1: it fails in 4 of 4 runs | issue 2"
    ),
    "under another name": "Feature: Another one | make test, seed 1: it "
    "fails in 1 of 2 runs | issue 2",
}


@behave.given("a scenario listed {how}")
def list_scenario(context, how):
    context.entry = ENTRIES[how]
    assert check.ENTRY.fullmatch(context.entry)


@behave.when("it {ends:w}")
def end_scenario(context, ends):
    context.verdict = check.judge({NAME: ends == "passes"}, [context.entry])


@behave.then("it is judged {judged:w}")
def check_verdict(context, judged):
    found = {
        field.name
        for field in dataclasses.fields(check.Verdict)
        if NAME in getattr(context.verdict, field.name)
    }
    assert found == {judged}, context.verdict
