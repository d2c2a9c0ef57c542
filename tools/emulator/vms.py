"""VMs of an emulated fleet and their workers."""

from __future__ import annotations

import dataclasses

from rackvalve.scheduling import fleet
from rackvalve.scheduling import messages


@dataclasses.dataclass(slots=True)
class Run:
    """A run on a worker.

    :param task: Full name of the task.
    :param number: Number of the run.
    :param ends: When it is done; infinity for a lasting task.
    :param began: When it began.
    """

    task: str
    number: int
    began: float
    ends: float

    def row(self, now: float) -> messages.RunningRow:
        """Return the run as a worker reports it.

        :param now: Present time, in seconds.
        """
        percent = 100.0
        if self.ends != float("inf"):
            length = max(0.01, self.ends - self.began)
            percent = min(99.0, 100 * (now - self.began) / length)
        return messages.RunningRow(
            task=self.task,
            run=self.number,
            checkpoint="",
            percent=percent,
            load=0.0,
        )


class Worker:
    """One incarnation of a worker.

    :param identity: Its identity.
    """

    __slots__ = ("identity", "runs", "ended", "numbers", "lease", "reported")

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.runs: dict[tuple[str, int], Run] = {}
        # Ends that have not been reported.
        self.ended: list[messages.EndedRow] = []
        self.numbers = 0
        self.lease = float("inf")
        self.reported = float("-inf")

    def end(self, run: Run, ending: messages.Ending) -> None:
        """End a run and keep its end until it is reported.

        :param run: The run.
        :param ending: How it ends.
        """
        if self.runs.pop((run.task, run.number), None) is None:
            return
        self.numbers += 1
        self.ended.append(
            messages.EndedRow(
                number=self.numbers,
                task=run.task,
                run=run.number,
                ending=ending,
                cause=ending.value,
                checkpoint="",
            )
        )


class Vm:
    """A VM.

    :param name: Its name.
    :param rack: Its rack.
    :param hall: Its data hall.
    :param pool: Its initial pool.
    """

    __slots__ = (
        "name",
        "rack",
        "hall",
        "pool",
        "condition",
        "incarnations",
        "worker",
        "slow_until",
        "slowness",
    )

    def __init__(self, name: str, rack: int, hall: int, pool: str) -> None:
        self.name = name
        self.rack = rack
        self.hall = hall
        self.pool = pool
        self.condition = fleet.Condition.UP
        self.incarnations = 0
        self.worker: Worker | None = None
        self.slow_until = float("-inf")
        self.slowness = 1.0

    def start_incarnation(self) -> Worker:
        """Start a new worker."""
        self.incarnations += 1
        self.condition = fleet.Condition.UP
        self.worker = Worker(f"{self.name}-{self.incarnations}")
        return self.worker

    @property
    def up(self) -> bool:
        """Whether it is neither being moved nor maintained."""
        return self.condition is fleet.Condition.UP

    def list_entry(self) -> fleet.Vm:
        """Return its entry in the platform's list."""
        condition = self.condition
        if self.up and self.worker is None:
            condition = fleet.Condition.DOWN
        return fleet.Vm(
            identity=self.name,
            pool=self.pool,
            condition=condition,
            worker=self.worker.identity if self.worker else "",
            hall=f"h{self.hall}",
        )

    def entry(self, capacity: fleet.Resources) -> fleet.Entry:
        """Return the entry that its worker writes.

        :param capacity: The capacity of the VM.
        """
        assert self.worker is not None
        return fleet.Entry(
            identity=self.worker.identity,
            pool=self.pool,
            host="",
            port=0,
            vm=self.name,
            rack=f"r{self.rack}",
            hall=f"h{self.hall}",
            labels=frozenset(),
            capacity=capacity,
            draining=False,
            remaining=None,
        )
