"""Steps about the burn report."""

from __future__ import annotations

import dataclasses
import json
import random
import re
import subprocess

import behave

from rackvalve.burn import ledger as ledgers
from rackvalve.burn import objectives
from rackvalve.configuration import document
from tools import fleet as fleets

POOL = "alarms"
SERIES = ledgers.Series(pool=POOL, workspace="ws-1", job_class="quick")


@behave.given(
    "{fast:d} answers of 10 ms, {slow:d} of 900 ms, {refused:d} refusals "
    "and {unknown:d} unknown"
)
def count_answers(context, fast, slow, refused, unknown):
    context.ledger = ledgers.Ledger()
    found = [("served", 0.01)] * fast + [("served", 0.9)] * slow
    found += [("refused", 0.0)] * refused + [("unknown", 1.0)] * unknown
    for outcome, seconds in found:
        context.ledger.record(SERIES, outcome, seconds, 1000.0)


def judge(context, refusals_count):
    objective = document.Objective(
        pool=POOL,
        within_ms=100,
        goal=0.95,
        refusals_count=refusals_count,
    )
    counts = context.ledger.count(300.0, 1000.0)
    context.burn = objectives.judge({"o": objective}, counts)[0]


@behave.when("they are judged by an objective of 95% within 100 ms")
def judge_all(context):
    judge(context, True)


@behave.when("they are judged without refusals")
def judge_without(context):
    judge(context, False)


@behave.then("{bad:d} of {total:d} are bad and the burn rate is {rate:g}")
def check_burn(context, bad, total, rate):
    burn = context.burn
    assert (burn.bad, burn.total) == (bad, total), burn
    assert round(burn.rate, 2) == rate, burn


@behave.given("{entries:d} entries that each count {count:d} generated times")
def count_generated(context, entries, count):
    source = random.Random(2)
    context.times = []
    context.counts = []
    for _ in range(entries):
        ledger = ledgers.Ledger()
        for _ in range(count):
            seconds = source.lognormvariate(-2.0, 1.0)
            context.times.append(seconds)
            ledger.record(SERIES, "served", seconds, 1000.0)
        context.counts += ledger.count(300.0, 1000.0)


@behave.when("their counts are merged after travelling")
def merge(context):
    context.merged = ledgers.make_histogram()
    for count in context.counts:
        context.merged.add(ledgers.decode_times(count))


@behave.then("the merged quantiles are within a tenth of the true ones")
def check_quantiles(context):
    times = sorted(context.times)
    assert context.merged.get_total_count() == len(times)
    for percent in (50, 90, 99):
        true = times[int(len(times) * percent / 100)] * 1000
        found = context.merged.get_value_at_percentile(percent)
        assert abs(found - true) <= 0.1 * true + 1, (percent, found, true)


@behave.given("a ledger with a request every minute for 2 hours")
def count_hours(context):
    context.ledger = ledgers.Ledger()
    for minute in range(120):
        context.ledger.record(SERIES, "served", 0.01, minute * 60.0)
    context.now = 119 * 60.0


@behave.given("a ledger with requests of {count:d} workspaces in one minute")
def count_workspaces(context, count):
    context.ledger = ledgers.Ledger()
    context.now = 30.0
    for number in range(count):
        series = dataclasses.replace(SERIES, workspace=f"ws-{number}")
        context.ledger.record(series, "served", 0.01, context.now)


@behave.when("the counts of 5 minutes and of an hour are taken")
def take_counts(context):
    context.found = [
        context.ledger.count(window, context.now)
        for window in objectives.WINDOWS
    ]


@behave.then("they hold at most {short:d} and {long:d} requests")
def check_windows(context, short, long):
    totals = [sum(c.served for c in counts) for counts in context.found]
    assert 5 <= totals[0] <= short and 60 <= totals[1] <= long, totals


@behave.then("{series:d} series stand for all {count:d} requests")
def check_series(context, series, count):
    for counts in context.found:
        assert len(counts) == series, len(counts)
        assert sum(item.served for item in counts) == count


@behave.given("a fleet of two halls with objectives and traffic")
def start_with_objectives(context):
    if "burn" not in context.fleets:
        halls = {"north": 1, "south": 1}
        configuration = dataclasses.replace(
            fleets.make_configuration({POOL: 2}, sorted(halls)),
            objectives={
                "alarms-quick": document.Objective(pool=POOL, within_ms=50),
                "all": document.Objective(goal=0.9),
            },
        )
        fleet = fleets.Fleet(
            halls, {POOL: 2}, configuration=configuration, with_admin=True
        )
        context.fleets["burn"] = fleet
        fleet.start()
        for entry in fleet.entries:
            for run_ms in (1, 1, 1, 200):
                path = f"/work?run_ms={run_ms}"
                fleet.request(entry, POOL, path=path)
    context.fleet = context.fleets["burn"]


def fetch(context, output):
    port = context.fleet.entries[0].admin_port
    done = subprocess.run(
        [
            fleets.BIN / "rackvalve",
            "report",
            "burn",
            "--output",
            output,
            "--admin",
            f"{fleets.HOST}:{port}",
        ],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 0, done
    return done.stdout


@behave.then("the text, the JSON and the page show each objective")
def check_outputs(context):
    report = json.loads(fetch(context, "json"))
    burns = {
        burn["name"]: burn
        for burn in report["burns"]
        if burn["window"] == objectives.WINDOWS[0]
    }
    assert burns["alarms-quick"]["late"] >= 2, burns
    assert len(report["reached"]) == 2 and not report["missing"], report
    context.page = fetch(context, "html")
    text = fetch(context, "text")
    for name in ("alarms-quick", "all"):
        assert name in text and name in context.page


@behave.then("the page needs nothing from elsewhere")
def check_page(context):
    page = context.page
    assert page.startswith("<!DOCTYPE html>") and "<svg" in page
    assert not re.search(r"(src|href)=|url\(|@import|https?:", page)


@behave.when("an entry of the other hall is killed")
def kill_other(context):
    context.fleet.entries[1].entry.kill()


@behave.then("the report names it or its hall as missing")
def check_missing(context):
    hall = f"hall {context.fleet.entries[1].hall}"
    report = json.loads(fetch(context, "json"))
    assert any(hall in name for name in report["missing"]), report
    text = fetch(context, "text")
    assert re.search(f"MISSING: .*{hall}", text), text
    assert hall in fetch(context, "html")
