"""Steps about the volume of logs and their slow readers."""

from __future__ import annotations

import os
import pathlib

import behave
from gevent import monkey

from rackvalve import _log_budget as log_budgets
from rackvalve import _log_outlet as log_outlets
from rackvalve.explain import events
from tools import site as sites

LINE = "x" * 99 + "\n"


@behave.given("a budget of {rate:d} lines a second and {burst:d} at once")
def make_budget(context, rate, burst):
    context.budget = log_budgets.LogBudget(float(rate), float(burst))


@behave.when(
    "{many:d} lines of one event and {few:d} of another are written within "
    "1 second"
)
def write_lines(context, many, few):
    context.allowed = {"one": 0, "other": 0}
    for number in range(many):
        now = 100.0 + number / (many - 1)
        context.allowed["one"] += context.budget.take("one", now)
        if number < few:
            context.allowed["other"] += context.budget.take("other", now)


@behave.then(
    "{one:d} lines of the one and {other:d} of the other were allowed"
)
def check_allowed(context, one, other):
    assert context.allowed == {"one": one, "other": other}, context.allowed


@behave.then("it is told once that {count:d} lines of the one were left out")
def check_told(context, count):
    assert context.budget.report(102.0) == {"one": count}
    assert context.budget.report(104.0) == {}


@behave.given("an outlet whose reader has stopped")
def stop_reader(context):
    context.reader, writer = os.pipe()
    context.dropped = 0

    def note_dropped():
        context.dropped += 1

    context.outlet = log_outlets.LogOutlet(writer, note_dropped)


@behave.given("an outlet whose reader is gone")
def end_reader(context):
    stop_reader(context)
    # gevent's own close waits for a later turn of its loop.
    monkey.get_original("os", "close")(context.reader)


@behave.when("2 MB of lines are written to it")
def write_much(context):
    context.written = 2 * 1024 * 1024 // len(LINE)
    for _ in range(context.written):
        context.outlet.write(LINE)


@behave.then("no write has waited and some lines were dropped")
def check_dropped(context):
    # A write that waited would not have come back.
    assert 0 < context.dropped < context.written


@behave.then("once the reader goes on, all that it gets are whole lines")
def check_whole(context):
    got = b""
    os.set_blocking(context.reader, False)
    while True:
        try:
            got += os.read(context.reader, 65536)
        except BlockingIOError:
            break
        context.outlet.flush()
    lines = got.decode().splitlines(keepends=True)
    assert set(lines) == {LINE}
    assert len(lines) + context.dropped == context.written


@behave.then("no line is kept")
def check_nothing_kept(context):
    assert not context.outlet._kept
    assert context.dropped == 0


@behave.given("a manager that is told to end")
def end_manager(context):
    context.own_fleet = sites.Site(1)
    context.own_fleet.start()
    (manager,) = context.own_fleet.managers
    assert manager["process"].terminate() == 0
    context.lines = pathlib.Path(manager["process"].log).read_text()


@behave.then("each line that it has written is an event")
def check_lines(context):
    read = events.read_lines(context.lines.splitlines())
    assert read.events[-1].name == "program.stopped"
    assert not read.unread, context.lines[-2000:]
