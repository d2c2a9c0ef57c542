"""Steps about workers that only records name, as their entries are gone."""

from __future__ import annotations

import json

import behave

from features import job_bench as benches
from features import job_cores as cores
from features.steps import site_steps
from rackvalve.jobs import definition
from rackvalve.jobs import incarnations
from rackvalve.jobs import progress
from rackvalve.jobs import records

LONG = "work_ms=2000"


@behave.when(
    "{count:d} jobs run, their owner is killed and their workers crash, and "
    "the next owner ends too"
)
def lose_owners_and_workers(context, count):
    site = context.own_fleet
    for _ in range(count):
        site_steps.submit(context, spec=LONG)
    site_steps.wait_for(
        lambda: len(read_starts(context)) >= count, "starts of all jobs"
    )
    first = site.owner()
    first["process"].kill()
    context.lost = {row[2] for row in read_starts(context)}
    listed = site.list_incarnations()
    for vm in [
        vm for vm, incarnation in listed.items() if incarnation in context.lost
    ]:
        site.order({"crash": vm})
    site_steps.wait_for(
        lambda: site.find_owner() not in (None, first), "another owner"
    )
    second = site.find_owner()
    site_steps.wait_for(
        lambda: read_events(site, second, "owner.loaded"), "its records"
    )
    second["process"].terminate()


@behave.then(
    "an owner that followed was told by each of these workers' VMs that "
    "another incarnation is there"
)
def check_told(context):
    site = context.own_fleet
    told = {
        incarnations.parse_incarnation(event["worker"]).worker
        for manager in site.managers
        for event in read_events(site, manager, "worker.over")
        if event["reason"] == "another life answers"
    }
    assert context.lost <= told, (context.lost, told)


def read_starts(context):
    return [row for row in site_steps.read_runs(context) if row[1] == "start"]


def read_events(site, manager, name):
    """Return a manager's log lines of one event."""
    text = (site.folder / f"{manager['vm']}.log").read_text()
    lines = [line for line in text.splitlines() if f'"{name}"' in line]
    return [json.loads(line) for line in lines]


@behave.given("a job with a run on a worker at {host}:{port:d} on the VM {vm}")
def make_run(context, host, port, vm):
    bench = benches.Bench(["w1"])
    location = progress.Location(host=host, port=port, vm=vm)
    bench.cluster.workers["w1"].location = location
    context.state = bench.add(definition.Step(tasks=1, cpu=1))
    bench.start_all()


@behave.when("its record is written by {writer} and read by a new owner")
def hand_over(context, writer):
    stored = json.loads(records.encode_progress(context.state))
    if writer == "the release before":
        del stored["locations"]
    job = context.state.job
    read = progress.JobState(context.state.identity, "queue", job, 0.0)
    records.decode_progress(read, json.dumps(stored).encode(), 2000.0)
    cluster = cores.make_cores(2000.0, inherited_lease=5.0).cluster
    cluster.add_job(read, 2000.0, 2000.0)
    context.worker = cluster.workers["w1"]


@behave.then("the new owner knows the run, and no place to ask")
def check_unknown(context):
    assert len(context.worker.runs) == 1
    assert context.worker.location is None


@behave.then(
    "the new owner knows the run, and that {host}:{port:d} on {vm} can be "
    "asked"
)
def check_known(context, host, port, vm):
    assert len(context.worker.runs) == 1
    expected = progress.Location(host=host, port=port, vm=vm)
    assert context.worker.location == expected
