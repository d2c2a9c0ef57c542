"""Steps about what an owner knows of workers whose entries are gone."""

from __future__ import annotations

import json

import behave

from features.steps import site_steps

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
    listed = site.list_lives()
    for vm in [vm for vm, life in listed.items() if life in context.lost]:
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
    "another life is there"
)
def check_told(context):
    site = context.own_fleet
    told = {
        event["worker"]
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
