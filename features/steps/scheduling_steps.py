"""Steps about the pool scheduler, on the pure core."""

from __future__ import annotations

import random

import behave
import hypothesis

from features import scheduling_history as histories
from rackvalve.requests import decisions
from rackvalve.requests import job as jobs
from rackvalve.targets import budget
from rackvalve.targets import group as groups
from tools import poolsim

QUICK = jobs.Class.QUICK
LONG = jobs.Class.LONG


def run_histories(kind, count):
    """Run generated histories; return the rule that was broken, if any."""
    ran = []

    @hypothesis.settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(histories.ACTIONS)
    def check(actions):
        ran.append(1)
        histories.History(kind).run(actions)

    try:
        check()
    except histories.BrokenRuleError as error:
        return str(error), len(ran)
    return "", len(ran)


def find_any(kind, rule, count):
    """Run random histories until one breaks the given rule."""
    source = random.Random(3)
    words = ["quick", "long", "long", "finish", "fail", "cancel", "wait"]
    for _ in range(count):
        actions = [
            (source.choice(words), source.randint(0, 3)) for _ in range(60)
        ]
        try:
            histories.History(kind).run(actions)
        except histories.BrokenRuleError as error:
            if str(error) == rule:
                return True
    return False


@behave.when("{count:d} generated histories run on the pool scheduler")
def run_right(context, count):
    context.broken, context.ran = run_histories("right", count)


@behave.then("no rule was broken")
def check_no_rule(context):
    assert context.broken == "", context.broken
    assert context.ran >= 500, context.ran


@behave.when("generated histories run on the {kind} version")
def run_naive(context, kind):
    context.kind = kind


@behave.then('the rule "{rule}" was broken')
def check_rule_broken(context, rule):
    assert find_any(context.kind, rule, 400), rule


def simulate_saturation(kind, weights, declared=None):
    source = random.Random(5)
    arrivals = []
    for index, workspace in enumerate(weights):
        hint = declared if index == 0 else None
        for _ in range(700):
            run = source.expovariate(10.0) + 0.01
            arrivals.append(
                poolsim.Arrival(
                    0.0,
                    workspace,
                    QUICK,
                    run,
                    declared=run * hint if hint else None,
                )
            )
    source.shuffle(arrivals)
    pool = poolsim.make_pool(4, 4, weights, kind=histories.KINDS[kind])
    done = poolsim.Simulation(pool, arrivals).run(30.0)
    total = sum(done.busy.values())
    paid = sum(weights.values())
    return max(
        abs(done.busy[name] / total - weight / paid) / (weight / paid)
        for name, weight in weights.items()
    )


@behave.when(
    "{count:d} workspaces of 4 priorities saturate a pool, scheduled {how}"
)
def saturate(context, count, how):
    weights = {f"ws-{n}": 1 + n % 4 for n in range(count)}
    kind = "right" if how == "fairly" else how
    context.error = simulate_saturation(kind, weights)


@behave.when("one of 12 workspaces declares a hundredth of its run times")
def declare_little(context):
    weights = {f"ws-{n}": 1 for n in range(12)}
    context.error = simulate_saturation("right", weights, declared=0.01)


@behave.then("the greatest error of a share is at most {most:g}")
def check_share(context, most):
    assert context.error <= most, context.error


@behave.then("the greatest error of a share is more than {least:g}")
def check_no_share(context, least):
    assert context.error > least, context.error


@behave.when(
    "long work saturates a pool and quick work arrives, scheduled {how}"
)
def saturate_long(context, how):
    kind = "right" if how == "fairly" else how
    arrivals = [
        poolsim.Arrival(0.0, f"ws-{n % 4}", LONG, 10.0) for n in range(400)
    ]
    arrivals += [
        poolsim.Arrival(1.0 + n * 0.01, f"ws-{n % 4}", QUICK, 0.02)
        for n in range(2000)
    ]
    weights = {f"ws-{n}": 1 for n in range(4)}
    pool = poolsim.make_pool(8, 8, weights, kind=histories.KINDS[kind])
    context.done = poolsim.Simulation(pool, arrivals).run(400.0)


@behave.then("quick work waits less than a tenth of a long run")
def check_quick(context):
    waits = sorted(context.done.waits[QUICK])
    assert len(waits) == 2000, len(waits)
    assert waits[int(len(waits) * 0.99)] < 1.0


@behave.then("quick work waits more than a tenth of a long run")
def check_slow(context):
    waits = sorted(context.done.waits[QUICK])
    assert not waits or waits[int(len(waits) * 0.99)] > 1.0


@behave.then("no long job was dropped")
def check_long(context):
    assert context.done.started[LONG] == 400, context.done.started
    assert not context.done.refusals


@behave.given("a pool in which a workspace has quota 0")
def make_quota_zero(context):
    context.pool = poolsim.make_pool(1, 1, {})
    context.pool.set_account("ws-0", 1.0, 0)


@behave.when("the workspace submits a job")
def submit_one(context):
    job = poolsim.make_job(1, "ws-0", QUICK, 0.0)
    context.reply = context.pool.submit(job, 0.0)


@behave.then('it is refused for "{reason}" without a time to come back')
def check_refused_for_ever(context, reason):
    assert context.reply.reason.value == reason, context.reply
    assert context.reply.retry_after is None, context.reply


@behave.given("a pool whose queue holds 100 seconds of work")
def fill_queue(context):
    context.pool = poolsim.make_pool(1, 1, {"ws-0": 1})
    for number in range(11):
        job = poolsim.make_job(number, "ws-0", QUICK, 0.0, run=10.0)
        context.pool.submit(job, 0.0)


@behave.when("a job with a deadline of {seconds:g} seconds is submitted")
def submit_deadline(context, seconds):
    job = poolsim.make_job(99, "ws-0", QUICK, 0.0, deadline=seconds)
    context.job = job
    context.reply = context.pool.submit(job, 0.0)


@behave.then('it is refused for "{reason}" with a time to come back')
def check_refused_now(context, reason):
    assert context.reply.reason.value == reason, context.reply
    assert 50 <= context.reply.retry_after <= 150, context.reply


@behave.given("a pool whose only slot is taken")
def take_slot(context):
    context.pool = poolsim.make_pool(1, 1, {"ws-0": 1})
    job = poolsim.make_job(1, "ws-0", QUICK, 0.0, run=1.0)
    context.first = context.pool.submit(job, 0.0)


@behave.when(
    "a job with a deadline of {seconds:g} seconds is submitted "
    "and {passed:g} seconds pass"
)
def let_pass(context, seconds, passed):
    submit_deadline(context, seconds)
    assert isinstance(context.reply, decisions.Waiting), context.reply
    context.found = context.pool.dispatch(passed)


@behave.then('it ends for "{reason}" and never starts')
def check_ended(context, reason):
    assert len(context.found) == 1, context.found
    assert context.found[0].refused.reason.value == reason
    attempt = context.first.attempt
    context.pool.finish(attempt, groups.Result.GOOD, 7.0)
    assert context.pool.dispatch(7.0) == []


@behave.given("a pool whose queue holds {count:d} jobs")
def queue_many(context, count):
    context.pool = poolsim.make_pool(1, 1, {"ws-0": 1})
    context.jobs = [
        poolsim.make_job(n, "ws-0", QUICK, 0.0, deadline=1e8)
        for n in range(count + 1)
    ]
    replies = [context.pool.submit(job, 0.0) for job in context.jobs]
    context.first = replies[0]


@behave.when("all of them are cancelled")
def cancel_all(context):
    context.cancelled = sum(map(context.pool.cancel, context.jobs[1:]))


@behave.then("nothing waits and a new job starts as soon as a slot is free")
def check_nothing_left(context):
    pool = context.pool
    assert context.cancelled == len(context.jobs) - 1
    assert pool.waiting == 0
    pool.finish(context.first.attempt, groups.Result.GOOD, 1.0)
    job = poolsim.make_job(10**6, "ws-0", QUICK, 1.0)
    assert isinstance(pool.submit(job, 1.0), decisions.Started)


@behave.given("a pool of {count:d} targets of which {bad:d} fail every job")
def make_bad_pool(context, count, bad):
    context.pool = poolsim.make_pool(count, 1, {"ws-0": 1})
    context.bad = {f"vm-{n}" for n in range(bad)}


@behave.when("{count:d} jobs run one after another")
def run_jobs(context, count):
    slow = getattr(context, "slow", "")
    bad = getattr(context, "bad", set())
    context.most_ejected = 0
    now = 0.0
    for number in range(count):
        job = poolsim.make_job(number, "ws-0", QUICK, now)
        started = context.pool.submit(job, now)
        took = 0.5 if started.vm == slow else 0.1
        good = started.vm not in bad
        result = groups.Result.GOOD if good else groups.Result.FAILED
        now += took
        context.pool.finish(started.attempt, result, now)
        context.most_ejected = max(
            context.most_ejected, context.pool.group.ejected
        )


@behave.then("at most {count:d} targets are ejected")
def check_cap(context, count):
    assert context.most_ejected == count, context.most_ejected


@behave.then("the good target is never ejected")
def check_good(context):
    target = context.pool.group.get_targets()["vm-9"]
    assert target.ejections == 0


@behave.given("a pool whose only target was ejected and probed")
def eject_and_probe(context):
    policy = groups.Policy(failures=1, time=1.0, cap=1.0)
    context.group = groups.TargetGroup(policy, rng=random.Random(1))
    allotment = groups.Allotment(host="h", port=1, share=4)
    context.group.update({"vm-0": allotment})
    context.group.choose(())
    context.group.release("vm-0", groups.Result.FAILED, None, 0.0)
    assert context.group.choose(()) is None
    assert context.group.pop_due(0.5) == []
    assert [t.vm for t in context.group.pop_due(1.5)] == ["vm-0"]
    context.group.conclude_probe("vm-0", True, 1.5)


@behave.then("it may run {count:d} job, and more after each that goes well")
def check_slow_start(context, count):
    group = context.group
    limits = [group.slots]
    for _ in range(8):
        group.choose(())
        group.release("vm-0", groups.Result.GOOD, 1.0, 2.0)
        limits.append(group.slots)
    assert limits[0] == count, limits
    assert limits == sorted(limits) and limits[-1] == 4, limits


@behave.given(
    "a pool of {count:d} targets of which one takes {times:d} times as long"
)
def make_slow_pool(context, count, times):
    context.pool = poolsim.make_pool(count, 8, {"ws-0": 1})
    context.slow = "vm-0"


@behave.then("the slow target may run fewer jobs at once than the others")
def check_slow_limit(context):
    usable = {
        vm: target.usable
        for vm, target in context.pool.group.get_targets().items()
    }
    slow = usable.pop("vm-0")
    assert slow < min(usable.values()), (slow, usable)


@behave.when("{count:d} first attempts all want a retry")
def want_retries(context, count):
    bucket = budget.RetryBudget(0.1)
    context.granted = 0
    for _ in range(count):
        bucket.count_attempt()
        context.granted += bucket.take()


@behave.then("at most {count:d} retries are granted")
def check_retries(context, count):
    assert 90 <= context.granted <= count, context.granted
