"""Steps about the language."""

from __future__ import annotations

import subprocess

import behave
import hypothesis
from hypothesis import strategies

from rackvalve import commands
from rackvalve.fleet import record
from rackvalve.language import parser
from rackvalve.language import printer
from rackvalve.language import statements
from tools import fleet as fleets
from tools import fuzz

NAMES = strategies.one_of(
    strategies.from_regex(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,20}", fullmatch=True),
    strategies.sampled_from(["pool", "vm", "none", "desc", "5", "to", "a b"]),
)
FIELDS = strategies.from_regex(r"[a-z]{1,8}", fullmatch=True).filter(
    lambda word: word.upper() not in parser.WORDS
)
NUMBERS = strategies.integers(0, 10**6)
MAYBE = strategies.one_of(strategies.none(), NUMBERS)
FILTERS = strategies.builds(
    statements.Filter,
    field=FIELDS,
    comparison=strategies.sampled_from(statements.Comparison),
    value=strategies.one_of(NAMES, NUMBERS),
)
QUERIES = strategies.builds(
    statements.Query,
    kind=strategies.sampled_from(statements.Kind),
    count=strategies.booleans(),
    filters=strategies.lists(FILTERS, max_size=3).map(tuple),
    order=strategies.one_of(
        strategies.none(),
        strategies.builds(
            statements.Order,
            field=FIELDS,
            descending=strategies.booleans(),
        ),
    ),
    limit=MAYBE,
)
WAVES = strategies.one_of(
    strategies.builds(
        commands.StartWave,
        name=NAMES,
        vms=strategies.lists(NAMES, min_size=1, max_size=3),
        preview=strategies.booleans(),
    ),
    strategies.builds(commands.StartWave, name=NAMES, pool=NAMES),
    strategies.builds(commands.StartWave, name=NAMES, rack=NAMES),
)
COMMANDS = strategies.one_of(
    WAVES,
    strategies.builds(commands.Drain, vm=NAMES),
    strategies.builds(commands.Return, vm=NAMES),
    strategies.builds(commands.Move, vm=NAMES, pool=NAMES),
    strategies.builds(
        commands.ChangeWave,
        name=NAMES,
        phase=strategies.sampled_from(
            [
                record.Phase.RUNNING,
                record.Phase.PAUSED,
                record.Phase.ABANDONED,
            ]
        ),
    ),
    strategies.builds(
        commands.SetPriority,
        workspace=NAMES,
        priority=NUMBERS,
        expected=MAYBE,
    ),
    strategies.builds(
        commands.SetQuota, workspace=NAMES, quota=MAYBE, expected=MAYBE
    ),
    strategies.builds(
        commands.SetBudget, pool=NAMES, budget=NUMBERS, expected=MAYBE
    ),
)
STATEMENTS = strategies.one_of(
    QUERIES,
    strategies.builds(
        statements.Why,
        subject=strategies.sampled_from(statements.Subject),
        name=NAMES,
    ),
    COMMANDS.map(lambda command: statements.Instruction(command=command)),
)


@behave.when("{count:d} generated statements are printed and parsed again")
def round_trip(context, count):
    context.different = []
    context.ran = 0

    @hypothesis.settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(STATEMENTS)
    def check(statement):
        context.ran += 1
        text = printer.print_statement(statement)
        if parser.parse(text) != statement:
            context.different.append((text, parser.parse(text)))

    check()


@behave.then("each is the same statement as before")
def check_same(context):
    assert context.ran >= 500, context.ran
    assert not context.different, context.different[:3]


@behave.when('the statement "{statement}" is parsed')
def parse_statement(context, statement):
    context.mistake = parser.parse(statement)


@behave.then('the mistake is at {position:d} and names "{part}"')
def check_mistake(context, position, part):
    mistake = context.mistake
    assert isinstance(mistake, parser.Mistake), mistake
    assert mistake.position == position, mistake
    assert part in str(mistake), str(mistake)


@behave.when("{count:d} generated inputs go to every parser")
def fuzz_parsers(context, count):
    context.result = fuzz.run(count, seed=1)


@behave.then("each is taken or refused by name")
def check_fuzz(context):
    assert context.result.inputs > 0
    assert not context.result.crashes, context.result.crashes[:3]


def operate(context, *words):
    port = context.fleet.entries[0].admin_port
    return subprocess.run(
        [
            fleets.BIN / "rackvalve",
            *words,
            "--admin",
            f"{fleets.HOST}:{port}",
        ],
        capture_output=True,
        text=True,
        timeout=60,
    )


@behave.when('an operator runs "{statement}"')
def run_statement(context, statement):
    context.done = operate(context, "run", statement)


@behave.then('it ends with code {code:d} and says "{part}"')
def check_says(context, code, part):
    done = context.done
    assert done.returncode == code, done
    assert part in done.stdout + done.stderr, done


@behave.when("a request is refused and an operator asks why")
def refuse_and_ask(context):
    context.fleet.request(
        context.fleet.entries[0],
        "nowhere",
        headers={"Rackvalve-Request-Id": "refused-1"},
    )
    context.done = operate(context, "run", "WHY REQUEST refused-1")


@behave.then("the answer names the reason")
def check_reason(context):
    assert context.done.returncode == 0, context.done
    assert "pool-unknown" in context.done.stdout, context.done
