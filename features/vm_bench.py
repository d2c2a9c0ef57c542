"""A pool of VMs with waves and sizes, for steps about them."""

from __future__ import annotations

import dataclasses

from features import job_bench as benches
from features import job_models as models
from rackvalve.scheduling import failure_detector
from rackvalve.scheduling import fleet
from rackvalve.scheduling import maintenance
from rackvalve.scheduling import queues
from rackvalve.scheduling import sizing

OTHER = "other"
SPARE = "spare"
WIDE = fleet.Resources(cpu=4, memory=4, gpu=0)


def make_pools(cluster, *names):
    cluster.set_configuration(
        dataclasses.replace(
            models.CONFIGURATION,
            pools={
                name: queues.Pool(name=name, spare=name == SPARE)
                for name in (models.POOL, SPARE, *names)
            },
        )
    )


def list_vm(
    identity, pool=models.POOL, worker=None, up=True, hall="h", lost=False
):
    condition = fleet.Condition.UP if up else fleet.Condition.MAINTAINED
    return fleet.Vm(
        identity=identity,
        pool=pool,
        condition=fleet.Condition.DOWN if lost else condition,
        worker=identity if worker is None else worker,
        hall=hall,
    )


def make_sizing(context, count, spares):
    """Give a context a cluster, waves and sizes of a pool and spare VMs."""
    names = [f"w{number}" for number in range(count)]
    context.bench = benches.Bench(names, capacity=WIDE)
    make_pools(context.bench.cluster)
    context.maintenance = maintenance.MaintenancePlanner(context.bench.cluster)
    context.detector = failure_detector.FailureDetector(
        context.bench.cluster, context.maintenance
    )
    context.sizing = sizing.Sizer(
        context.bench.cluster, context.maintenance, context.detector
    )
    context.listed = {name: list_vm(name) for name in names}
    for number in range(spares):
        vm = f"s{number}"
        context.listed[vm] = list_vm(vm, pool=SPARE, worker="")
    context.names = names


def step_sizing(context, seconds):
    """Let time pass and collect the moves."""
    moves = []
    until = context.bench.now + seconds
    while context.bench.now < until:
        context.bench.now += 0.1
        context.maintenance.take_list(
            list(context.listed.values()), context.bench.now
        )
        for name in context.names:
            context.bench.report(name, context.bench.rows(name))
        context.detector.check(context.bench.now)
        moves.extend(context.sizing.decide(context.bench.now))
    return moves
