"""Figures of concurrent commits, in virtual time, beside sequential ones."""

from __future__ import annotations

from rackvalve.manager.owner import backlog as backlogs
from rackvalve.platform import store as stores
from tools.experiments import figures

TICK_S = 0.001
# Records per commit when there is one at a time: its chain takes 3 places.
CHAINED_RECORDS = stores.COMMIT_ENTRIES - 3
# Answer times of a healthy store, of a busy one, and of one 60 times slower,
# in seconds.
ANSWERS_S = (0.005, 0.06, 0.24)
# Records that 272 workers make in a turn, and how long it lasts.
RATE = 500
SECONDS = 3


def run(seed):
    """Yield all figures.

    :param seed: Not used; the marks are evenly spaced.
    """
    times = [number / RATE for number in range(RATE * SECONDS)]
    for answer in ANSWERS_S:
        waits, calls = simulate_backlog(answer, times)
        chained, chain_calls = simulate_chain(answer, times)
        name = f"{round(answer * 1000)}_ms"
        yield figures.Figure(
            figure=f"writer.wait_p99_ms.{name}",
            value=waits[len(waits) * 99 // 100] * 1000,
            unit="ms",
            n=len(waits),
            baseline=chained[len(chained) * 99 // 100] * 1000,
        )
        yield figures.Figure(
            figure=f"writer.calls.{name}",
            value=calls,
            unit="calls",
            n=len(waits),
            baseline=chain_calls,
        )


def simulate_backlog(answer, times):
    """Return waits from mark to store, and calls, in virtual time.

    :param answer: Time of an answer, in seconds.
    :param times: When each record is marked, in seconds, rising.
    """
    backlog = backlogs.Backlog()
    marked, waits, under_way = {}, [], []
    calls = 0
    now = 0.0
    left = list(times)
    while left or len(waits) < len(times):
        while left and left[0] <= now:
            key = f"r{len(marked)}"
            marked[key] = left.pop(0)
            backlog.enqueue(key, lambda: None, now, urgent=True)
        for due, batch in [row for row in under_way if row[0] <= now]:
            under_way.remove((due, batch))
            backlog.complete_batch(batch, now)
            waits.extend(now - marked[key] for key in batch.writes)
        while backlog.find_wait(now) == 0:
            under_way.append((now + answer, backlog.take(now)))
            calls += 1
        now += TICK_S
    return sorted(waits), calls


def simulate_chain(answer, times):
    """Return the same for one commit at a time.

    :param answer: Time of an answer, in seconds.
    :param times: When each record is marked, in seconds, rising.
    """
    waits, calls = [], 0
    now = 0.0
    left = list(times)
    while left:
        now = max(now, left[0])
        batch = [time for time in left[:CHAINED_RECORDS] if time <= now]
        del left[: len(batch)]
        now += answer
        calls += 1
        waits.extend(now - time for time in batch)
    return sorted(waits), calls
