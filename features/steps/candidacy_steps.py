"""Steps about which process owns the scheduling."""

from __future__ import annotations

import behave

from features.steps import site_steps
from rackvalve.manager.election import candidacy
from tools import site as sites

JOBS = 6


def make_holder(cores):
    return candidacy.Holder(process="other", attempt=1, cores=cores)


@behave.given("a VM of {own:f} cores that has seen one of {seen:f} cores")
def make_standing(context, own, seen):
    known_cores = candidacy.KnownCores(own=own, largest=own)
    context.known_cores = known_cores.include(make_holder(seen))


@behave.then("it waits {wait:d} ms before it takes a free ownership")
def check_wait(context, wait):
    found = candidacy.compute_candidacy_delay(
        context.known_cores, float("inf")
    )
    assert round(found * 1000) == wait, found


@behave.then("it asks an owner of {cores:f} cores after {time:d} s: {answer}")
def check_asking(context, cores, time, answer):
    asks = candidacy.should_request_handover(
        context.known_cores, make_holder(cores), float(time)
    )
    assert asks == (answer == "yes")


@behave.given("a site of managers with {small:g} and {large:g} cores")
def start_uneven_site(context, small, large):
    context.own_fleet = sites.Site(2, cores=(small, large))
    context.own_fleet.start()
    context.submitted = []


def owns(context, manager):
    return context.own_fleet.owner() is manager


@behave.when("jobs run and the larger one is killed and started again")
def replace_larger(context):
    fleet = context.own_fleet
    small, large = fleet.managers
    site_steps.wait_for(lambda: owns(context, large), "the larger owner")
    for _ in range(JOBS):
        site_steps.submit(context, spec="work_ms=300")
    large["process"].kill()
    site_steps.wait_for(lambda: owns(context, small), "the smaller owner")
    large["process"].start()


@behave.then("the larger one comes to own the scheduling again")
def check_larger(context):
    large = context.own_fleet.managers[1]
    site_steps.wait_for(lambda: owns(context, large), "the larger owner")
