"""Time until starts resume after the loss of the owner or of the store.

Runs managers with standbys as real processes, kills the owner repeatedly while
callers submit jobs, and makes the store silent.
"""

from __future__ import annotations

import itertools
import re
import statistics
import time

import gevent
from gevent import pool as greenlet_pools
from geventhttpclient import response as http_response

from tools.experiments import figures
from tools import fleet as fleets
from tools import site as sites

# Numbers of jobs that wait while owners are killed, and kills at each number.
OPEN_JOBS = (0, 700, 3000)
KILLS = 50
OUTAGES = 10
OUTAGE_S = 5.0
# Processors that the settings of the managers state.
CORES = (2.15, 2.15, 2.15, 0.516, 0.516)
# Two VMs run the measured jobs; one is occupied, so that the open jobs wait.
POOLS = {"lookups": 2, "rebuilds": 1}
OCCUPIED_S = 3600
# CPU of each VM, in thousandths of a core.
VM_CPU = 8000
SUBMISSION_INTERVAL_S = 0.05
SUBMITTERS = 16
# Length of the owner's lease, which cannot be shortened.
LEASE_S = 1.0
# Starts that the killed owner ordered arrive within this time.
LAST_ORDERS_S = 0.2
START_LIMIT_S = 30.0
# Time after the restart of a manager in which it registers and the standbys
# read all records.
SETTLE_S = 2.0
# Tasks of the backlog during outages, and the window in which starts are
# counted.
BACKLOG_TASKS = 1200
WORK_MS = 200
WINDOW_S = 0.5
RATE_SHARE = 0.8


def run(seed):
    """Yield the figures."""
    for count in OPEN_JOBS:
        yield from measure_kills(count, seed, standby="on")
    yield from measure_outages(seed, standby="on")


def measure_kills(count, seed, *, standby, kills=KILLS):
    """Yield the times from a kill of the owner to the first start.

    :param count: Number of open jobs.
    :param standby: The setting of this name.
    :param kills: How often the owner is killed.
    """
    site = make_site(standby)
    try:
        site.start()
        submit_waiting(site, count)
        gevent.sleep(SETTLE_S)
        yield from measure_standbys(site, f"failover.open_{count}", seed)
        submitting = gevent.spawn(submit_forever, site)
        times = [kill_owner(site) for _ in range(kills)]
        submitting.kill()
    finally:
        site.stop()
    name = f"failover.open_{count}.{standby}"
    yield from summarize(f"{name}.beyond_lease", times, seed)


def make_site(standby):
    """Make a site of large and small managers."""
    return sites.Site(
        len(CORES),
        pools=POOLS,
        cores=CORES,
        settings=lambda number: {"standby": standby},
    )


def summarize(name, times, seed):
    """Yield the median, the 99th percentile and the maximum of times."""
    ranked = sorted(times)
    values = {
        "p50": statistics.median(ranked),
        "p99": ranked[min(len(ranked) - 1, int(0.99 * len(ranked)))],
        "max": ranked[-1],
    }
    for part, value in values.items():
        yield figures.Figure(
            figure=f"{name}.{part}",
            value=round(value, 3),
            unit="s",
            n=len(ranked),
            seed=seed,
        )


def submit_waiting(site, count):
    """Submit jobs that wait because one of them occupies their pool."""
    steps = [{"count": 4, "cpu": VM_CPU}]
    job = ("rebuild", steps, f"work_ms={OCCUPIED_S * 1000}")
    group = greenlet_pools.Pool(SUBMITTERS)
    for manager, _ in zip(
        itertools.cycle(site.managers), range(count), strict=False
    ):
        group.spawn(site.submit, *job, manager=manager)
    group.join()


def submit_forever(site):
    """Submit a short job at a fixed interval, at each manager in turn."""
    numbers = itertools.count(1 << 40)
    for manager in itertools.cycle(site.managers):
        path = f"/lookup/{next(numbers):016x}"
        body = {"spec": "work_ms=20", "steps": [{"count": 1, "cpu": 100}]}
        gevent.spawn(try_call, site, manager, path, body)
        gevent.sleep(SUBMISSION_INTERVAL_S)


def try_call(site, manager, path, body):
    """Submit a job, at a manager that may be killed meanwhile."""
    try:
        site.call(manager, "POST", path, body)
    except http_response.HTTPParseError:
        # The manager was killed before it answered.
        pass


def list_starts(site):
    """Return the times of all starts so far."""
    journal = site.journal()
    rows = journal["journal"] if journal is not None else []
    return [row[0] for row in rows if row[1] == "start"]


def kill_owner(site):
    """Kill the owner; return when the next start came, beyond the lease."""
    owner = site.owner()
    killed = time.monotonic()
    owner["process"].kill()
    until = killed + START_LIMIT_S
    first = None
    while first is None and time.monotonic() < until:
        gevent.sleep(0.1)
        later = [at for at in list_starts(site) if at > killed + LAST_ORDERS_S]
        first = min(later, default=None)
    owner["process"].start()
    site.wait_listening(owner)
    gevent.sleep(SETTLE_S)
    return (first or until) - killed - LEASE_S


def measure_standbys(site, name, seed):
    """Yield what a standby holds, and its calls and changes a second."""
    before = read_metrics(site)
    gevent.sleep(SETTLE_S)
    after = read_metrics(site)
    for vm, metrics in after.items():
        held = metrics["standby_bytes"]
        if not held:
            continue
        watches = metrics["watches"] - before[vm]["watches"]
        values = {
            "standby_bytes": (held, "bytes"),
            "standby_items": (metrics["standby_items"], "records"),
            "standby_watches": (watches / SETTLE_S, "calls/s"),
            "standby_rss": (metrics["rss"], "MB"),
        }
        others = [m["rss"] for m in after.values() if not m["standby_bytes"]]
        for part, (value, unit) in values.items():
            yield figures.Figure(
                figure=f"{name}.{part}",
                value=round(value, 1),
                unit=unit,
                baseline=(
                    round(min(others), 1)
                    if part == "standby_rss" and others
                    else None
                ),
                n=1,
                seed=seed,
            )


def read_metrics(site):
    """Return the metrics of each manager's standby, by VM."""
    found = {}
    for manager in site.managers:
        reply = fleets.call(manager["metrics"], "GET", "/metrics")
        text = reply.body.decode()
        found[manager["vm"]] = {
            "standby_bytes": sum_samples(text, "rackvalve_standby_bytes{"),
            "standby_items": sum_samples(text, "rackvalve_standby_items{"),
            "watches": sum_samples(
                text, 'rackvalve_store_calls_total{call="watch"'
            ),
            "rss": figures.read_rss_mb(manager["process"].popen.pid),
        }
    return found


def sum_samples(text, begin):
    """Return the sum of the samples whose line begins with a text."""
    pattern = re.compile(re.escape(begin) + r".*\} (\S+)$", re.MULTILINE)
    return sum(float(value) for value in pattern.findall(text))


def measure_outages(seed, *, standby, outages=OUTAGES):
    """Yield how soon managers and the start rate are back after an outage."""
    site = make_site(standby)
    contacts, times = [], []
    try:
        site.start()
        gevent.sleep(SETTLE_S)
        for _ in range(outages):
            contact, taken = time_outage(site)
            contacts.append(contact)
            times.append(taken)
    finally:
        site.stop()
    yield from summarize(f"failover.outage.{standby}.contact", contacts, seed)
    yield from summarize(f"failover.outage.{standby}.rate_back", times, seed)


def time_outage(site):
    """Make the store silent for a while.

    :return: How soon after its recovery all managers are ready, and how soon
        the start rate is back, in seconds.
    """
    steps = [{"count": BACKLOG_TASKS // 10, "cpu": VM_CPU // 8}]
    jobs = [
        site.submit("lookup", steps, f"work_ms={WORK_MS}") for _ in range(10)
    ]
    gevent.sleep(SETTLE_S)
    silenced = time.monotonic()
    site.set_store_fault("silent")
    gevent.sleep(OUTAGE_S)
    site.set_store_fault("")
    recovered = time.monotonic()
    contact = time_contact(site, recovered)
    gevent.sleep(SETTLE_S + WINDOW_S)
    starts = sorted(list_starts(site))
    before = [at for at in starts if silenced - 1.0 <= at < silenced]
    wanted = RATE_SHARE * len(before) * WINDOW_S
    for job in jobs:
        site.call(site.managers[0], "DELETE", f"/lookup/{job}")
    for at in starts:
        inside = sum(at <= other < at + WINDOW_S for other in starts)
        if at >= recovered and inside >= wanted:
            return contact, at - recovered
    return contact, SETTLE_S


def time_contact(site, recovered):
    """Return how soon after a time all managers are ready, in seconds."""
    waiting = list(site.managers)
    while waiting and time.monotonic() < recovered + SETTLE_S:
        waiting = [one for one in waiting if not is_ready(one)]
        gevent.sleep(0.005)
    return time.monotonic() - recovered


def is_ready(manager):
    """Return whether a manager says that callers may come."""
    try:
        reply = fleets.call(manager["ready"], "GET", "/ready", timeout=1.0)
    except OSError:
        return False
    return reply.status == 200
