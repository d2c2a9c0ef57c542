"""Steps about orders to VMs, which the store confirms first."""

from __future__ import annotations

import contextlib
import dataclasses
from unittest import mock

import behave
import gevent

from features import job_bench as benches
from features import job_models as models
from features import vm_bench as vms
from rackvalve.jobs import definition
from rackvalve.manager.owner import vm_controller
from rackvalve.manager import timing
from rackvalve.manager import view
from rackvalve.platform import machines
from rackvalve.platform import store as stores
from rackvalve.scheduling import fleet
from rackvalve.scheduling import releases
from rackvalve.scheduling import sizing
from rackvalve import telemetry


class FakeWriter:
    """Commits each record at once; the clock may jump meanwhile."""

    def __init__(self, clock, jumps):
        self.clock = clock
        self.jumps = jumps
        self.number = 0
        self.records = {}

    def is_stored(self, key, number):
        return key in self.records and number <= self.number

    def enqueue(self, key, make, urgent=True):
        self.number += 1
        self.records[key] = make
        if self.jumps:
            self.clock["now"] += self.jumps.pop(0)


class FakeMachines:
    """Answers orders with the given answers, then with success."""

    def __init__(self, answers, writer):
        self.answers = answers
        self.writer = writer
        self.sent = []

    def maintain(self, vm, wave, fence):
        self.sent.append((vm, wave, fence, self.writer.number))
        if self.answers:
            return self.answers.pop(0)
        return machines.Ordered()

    def move(self, vm, pool, fence):
        if self.answers:
            return self.answers.pop(0)
        # The owner ends before the answer.
        raise gevent.GreenletExit


def make_controller(context, jumps, answers, order_pause=3.0):
    clock = context.clock = {"now": 100.0}
    bench = context.bench = benches.Bench(["w0"])
    writer = FakeWriter(clock, jumps)
    context.machines = FakeMachines(answers, writer)
    context.read_steady = lambda: clock["now"]
    context.controller = vm_controller.VmController(
        context.machines,
        view.View(),
        bench.cluster,
        writer,
        7,
        telemetry=telemetry.Telemetry(),
        order_pause=order_pause,
        spawn=lambda function: function(),
        on_change=lambda: None,
    )


@behave.given(
    "an owner that is frozen for 5 seconds while the store answers it"
)
def freeze_owner(context):
    make_controller(context, [5.0], [])


@behave.given("an owner whose order to a VM was answered 2 seconds ago")
def order_earlier(context):
    make_controller(context, [], [])
    with mock.patch.object(
        vm_controller.clocks, "read_steady", context.read_steady
    ):
        context.controller._send_order(
            "w0", lambda: context.machines.maintain("w0", 1, 7)
        )
        context.clock["now"] += 2.0
        context.controller._ordered["w1"] = None
        context.payload = context.controller._make_orders_record().payload


@behave.when("another owner takes over, with a pause of {pause:g} seconds")
def take_over(context, pause):
    make_controller(context, [], [], pause)
    item = stores.Item(
        key=vm_controller.ORDERS_KEY,
        payload=context.payload,
        revision=1,
        created=1,
    )
    context.held = {}
    with mock.patch.object(
        vm_controller.clocks, "read_steady", context.read_steady
    ):
        context.controller.load((item,))
        for tenths in range(40):
            context.controller._release_held(context.clock["now"])
            for vm in context.controller._maintenance.held:
                context.held[vm] = tenths / 10
            context.clock["now"] += 0.1


@behave.then("it leaves that VM alone for 1 second more")
def check_rest(context):
    assert 0.8 <= context.held["w0"] <= 1.0, context.held


@behave.then("a VM whose order is on its way for {seconds:d} seconds")
def check_whole_pause(context, seconds):
    assert seconds - 0.2 <= context.held["w1"] <= seconds, context.held


@behave.given("an interface to VMs whose first 2 answers are lost")
def lose_answers(context):
    lost = machines.Unavailable(reason="no answer in time")
    make_controller(context, [], [lost, lost])


@behave.when("it gives an order to a VM")
def give_order(context):
    with mock.patch.object(
        vm_controller.clocks, "read_steady", context.read_steady
    ):
        context.outcome = context.controller._send_order(
            "w0", lambda: context.machines.maintain("w0", 1, 7)
        )


@behave.then("it asks the store again before the order is sent")
def check_asked_again(context):
    ((_, _, _, marks),) = context.machines.sent
    assert marks == 2, context.machines.sent


@behave.then("the same order was sent 3 times and has succeeded")
def check_repeated(context):
    assert len(context.machines.sent) == 3
    assert len({order[:3] for order in context.machines.sent}) == 1
    assert isinstance(context.outcome, machines.Ordered)


WAVE = fleet.Wave(number=1, vms=("w0",), duration=30.0, most_away=1)
# Jump of the time of day against the steady clock, in seconds.
JUMPS = {"not jumped": 0, "gone back by 5 s": -5, "jumped ahead by 5 s": 5}


class FakeClocks:
    """A steady clock and the time of day."""

    def __init__(self):
        self.steady = 1000.0
        self.jumped = 0.0

    def read_steady(self):
        return self.steady

    def read_wall(self):
        return 5000.0 + self.steady + self.jumped


@behave.given("an owner that took a wave of 30 seconds 12 seconds ago")
def take_wave(context):
    context.clocks = FakeClocks()
    make_controller(context, [], [])
    with mock.patch.object(vm_controller, "clocks", context.clocks):
        context.controller._view.waves[1] = WAVE
        context.controller._add_waves()
        context.clocks.steady += 12.0
        context.controller._writer = mock.Mock()
        context.controller._record_waves()
        rows = context.controller._writer.enqueue.call_args_list
        context.payload = rows[0].args[1]().payload


@behave.when(
    "another owner takes over 2 seconds later, by a clock that has {jumped}"
)
def take_over_wave(context, jumped):
    make_controller(context, [], [])
    context.clocks.steady += 2.0
    context.clocks.jumped = JUMPS[jumped]
    item = stores.Item(
        key=f"{vm_controller.PREFIX}1",
        payload=context.payload,
        revision=1,
        created=1,
    )
    with mock.patch.object(vm_controller, "clocks", context.clocks):
        context.controller._view.waves[1] = WAVE
        context.controller.load((item,))


@behave.then("the wave has {left:d} seconds left")
def check_time_left(context, left):
    state = context.controller._maintenance.waves[1]
    until = state.began + WAVE.duration
    assert until - context.clocks.steady == left, until


@behave.given("an owner whose order to move a VM is on its way")
def order_move(context):
    make_controller(context, [], [])
    context.items = give_orders(context, "w0")


@behave.given("an owner whose order to maintain a VM is on its way")
def order_upkeep(context):
    # The record names no new pool, like that of the previous release.
    item = stores.Item(
        key=vm_controller.ORDERS_KEY,
        payload=b'{"w0": 0.0}',
        revision=1,
        created=1,
    )
    context.items = (item,)


def give_orders(context, vm):
    """Order a VM to move; return the records in the store by then."""
    care = context.controller
    care._writer = writer = mock.Mock(number=0)
    with mock.patch.object(
        vm_controller.clocks, "read_steady", context.read_steady
    ):
        with contextlib.suppress(gevent.GreenletExit):
            care._move(sizing.MoveVm(vm=vm, pool=vms.OTHER))
        made = [call.args for call in writer.enqueue.call_args_list]
        return tuple(
            stores.Item(key=key, payload=make().payload, revision=1, created=1)
            for key, make in made
        )


def take_over_moves(context):
    """Start a new owner from the records of the previous one."""
    make_controller(context, [], [])
    vms.make_pools(context.bench.cluster, vms.OTHER)
    context.bench.add(definition.Step(tasks=1, cpu=1, lasting=True))
    with mock.patch.object(
        vm_controller.clocks, "read_steady", context.read_steady
    ):
        context.controller.load(context.items)


def place_tasks(context, tenths, identity="w0"):
    """Run the owner; return the tenths of a second in which tasks start."""
    found = []
    for tenth in range(tenths):
        context.bench.report(identity, context.bench.rows(identity))
        if context.bench.start_all():
            found.append(tenth)
        with mock.patch.object(
            vm_controller.clocks, "read_steady", context.read_steady
        ):
            context.clock["now"] += 0.1
            context.bench.now += 0.1
            context.controller._release_held(context.clock["now"])
            context.controller._prune_orders(context.clock["now"])
            context.controller._step(context.clock["now"])
    return found


@behave.when(
    "another owner takes over, with a pause of 3 seconds, and work waits"
)
def take_over_with_work(context):
    take_over_moves(context)
    context.tenths = place_tasks(context, 40)


@behave.then("no task is placed on that VM in the pause, and one after it")
def check_placed_late(context):
    assert context.tenths and 29 <= context.tenths[0] <= 32, context.tenths


@behave.when(
    "another owner takes over and a worker comes to the new pool on that VM"
)
def take_over_moved(context):
    take_over_moves(context)
    cluster = context.bench.cluster
    queue = dataclasses.replace(models.QUEUE, pool=vms.OTHER)
    cluster.set_configuration(
        dataclasses.replace(cluster.configuration, queues=(queue,))
    )
    entry = cluster.workers["w0"].entry
    cluster.set_entry(
        dataclasses.replace(entry, identity="w0x", pool=vms.OTHER)
    )
    context.bench.numbers["w0x"] = 0
    context.tenths = place_tasks(context, 2, identity="w0x")


@behave.when("{what} with a worker of its {age} pool on that VM, which ends")
def end_worker(context, what, age):
    is_taken_over = what == "another owner takes over"
    if is_taken_over:
        make_controller(context, [], [])
        vms.make_pools(context.bench.cluster, vms.OTHER)
    cluster, controller = context.bench.cluster, context.controller
    identity = "w0"
    if age == "new":
        identity = "w0x"
        entry = cluster.workers["w0"].entry
        cluster.set_entry(
            dataclasses.replace(entry, identity=identity, pool=vms.OTHER)
        )
    with mock.patch.object(
        vm_controller.clocks, "read_steady", context.read_steady
    ):
        if is_taken_over:
            controller.load(context.items)
        elif what == "the order is given again":
            controller._send_order("w0", machines.Ordered)
        else:
            with contextlib.suppress(gevent.GreenletExit):
                controller._move(sizing.MoveVm(vm="w0", pool=models.POOL))
    context.fate = releases.determine_fate(
        cluster.workers[identity], releases.LISTED_OFF
    )


@behave.then("its end counts as {fate}")
def check_fate(context, fate):
    assert context.fate.value == fate, context.fate


@behave.then("a task is placed there at once")
def check_placed_soon(context):
    assert context.tenths[:1] == [0], context.tenths


@behave.when(
    "another owner orders another VM, and a third takes over and work waits"
)
def take_over_twice(context):
    take_over_moves(context)
    context.items = give_orders(context, "w1")
    take_over_with_work(context)


@behave.when("the platform answers none of its orders and work waits")
def answer_nothing(context):
    lost = machines.Unavailable(reason="no answer in time")
    context.items = ()
    take_over_moves(context)
    context.machines.answers = [lost] * timing.VM_ORDER_ATTEMPTS
    with mock.patch.object(vm_controller.gevent, "sleep"):
        give_orders(context, "w0")
    context.tenths = place_tasks(context, 40)


@behave.then("its own record names no VM any more")
def check_record(context):
    made = context.controller._writer.records[vm_controller.ORDERS_KEY]()
    assert made.payload == b"{}", made.payload
