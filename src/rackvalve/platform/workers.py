"""The client of one worker: orders, the lease on what runs, and reports."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

from rackvalve.platform import connections
from rackvalve.scheduling import messages

STATUS_OK = 200
STATUS_REJECTED = 409
STATUS_OTHER_LIFE = 421
STATUS_UNWELL = frozenset({429, 503})
# The other words mean that a run did not end by itself: stopped; lapsed (its
# lease ran out); broken (another member of its gang ended); alone (the other
# members did not come).
_ENDINGS = {
    "done": messages.Ending.DONE,
    "failed": messages.Ending.FAILED,
}
LIFE_HEADER = "Expect-Instance"


class Reason(enum.Enum):
    """Why a worker rejected a start, in the platform's words."""

    # The worker has taken a greater fencing token.
    FENCED = "fence"
    # The run is not above one that was stopped or has ended here.
    OUTDATED_RUN = "old"
    # The time that was to be leased is over on the worker's clock.
    LEASE_OVER = "late"
    NO_ROOM = "room"
    TICKET = "ticket"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Report:
    """What a worker says of itself.

    :param clock: The worker's steady clock, in seconds.
    :param running: All runs on it.
    :param ended: Ends that were not acknowledged yet, oldest first.
    """

    clock: float
    running: tuple[messages.RunningRow, ...]
    ended: tuple[messages.EndedRow, ...]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Done:
    """The worker has carried out the order.

    :param clock: The worker's steady clock, in seconds.
    """

    clock: float


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Rejected:
    """The worker did not carry out the order.

    :param clock: The worker's steady clock, in seconds.
    :param reason: Why; ``None`` for a reason that this client does not know.
    """

    clock: float
    reason: Reason | None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unwell:
    """The worker says that it is not well and has done nothing.

    :param status: HTTP status.
    """

    status: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class OtherLife:
    """Another life of a worker answers at this address."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Malformed:
    """The worker does not understand the order.

    :param status: HTTP status.
    """

    status: int


Outcome = (
    Done | Rejected | Unwell | OtherLife | Malformed | connections.NoAnswer
)


class _WireHold(msgspec.Struct):
    clock: float = msgspec.field(default=0.0, name="clock-ms")
    running: list[list[str | int | float]] = []
    ended: list[list[str | int]] = []
    reason: str = ""


class Worker:
    """Calls one life of a worker.

    :param client: Connections to its address.
    :param life: Its identity, which appears nowhere else.
    :param timeout: Longest wait for the answer to an order, in seconds.
    """

    __slots__ = ("_client", "_headers", "timeout")

    def __init__(
        self, client: connections.HttpClient, life: str, *, timeout: float
    ) -> None:
        self._client = client
        self._headers = ((LIFE_HEADER, life),)
        # Longest wait for the answer to an order, in seconds.
        self.timeout = timeout

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def start(
        self,
        *,
        task: str,
        run: int,
        spec: str,
        lease_until: float,
        fence: int,
        checkpoint: str,
        ticket: str,
    ) -> Outcome:
        """Start a run of a task.

        :param task: Name of the task.
        :param run: Number of the run.
        :param spec: The job's text for its tasks.
        :param lease_until: End of the lease on the worker's clock, seconds.
        :param fence: Fencing token of the sender.
        :param checkpoint: Where to go on from, empty for the beginning.
        :param ticket: Admission ticket, empty for none.
        """
        order: dict[str, str | int] = {
            "task": task,
            "run": run,
            "spec": spec,
            "until-ms": int(lease_until * 1000),
            "fence": fence,
        }
        if checkpoint:
            order["last-checkpoint"] = checkpoint
        if ticket:
            order["ticket"] = ticket
        return self._order("/run-start", order)

    def stop(self, *, task: str, run: int, fence: int) -> Outcome:
        """Stop a run and reject it if it comes later.

        :param task: Name of the task.
        :param run: Number of the run.
        :param fence: Fencing token of the sender.
        """
        return self._order(
            "/run-stop", {"task": task, "run": run, "fence": fence}
        )

    def set_pace(
        self, *, task: str, run: int, percent: int, fence: int
    ) -> Outcome:
        """Let a task work at a share of its speed.

        :param task: Name of the task.
        :param run: Number of the run.
        :param percent: The share, 0 to 100.
        :param fence: Fencing token of the sender.
        """
        return self._order(
            "/pace",
            {"task": task, "run": run, "percent": percent, "fence": fence},
        )

    def hold(
        self,
        *,
        lease_until: float | None,
        fence: int,
        acknowledged: int,
        wait: float,
        timeout: float,
    ) -> Report | Outcome:
        """Extend the lease on all that runs and ask what runs and ended.

        :param lease_until: End of the lease on the worker's clock, seconds;
            ``None`` to leave it as it is.
        :param fence: Fencing token of the sender.
        :param acknowledged: Ends up to this number may be forgotten.
        :param wait: Longest wait for an end, in seconds.
        :param timeout: How much later its answer may come, in seconds.
        """
        order: dict[str, str | int] = {
            "fence": fence,
            "last-seen": acknowledged,
        }
        if lease_until is not None:
            order["until-ms"] = int(lease_until * 1000)
        if wait > 0:
            order["wait-ms"] = int(wait * 1000)
        raw = self._send("/hold", order, wait + timeout)
        if not isinstance(raw, connections.Answer) or raw.status != STATUS_OK:
            return _read_outcome(raw)
        try:
            return _read_report(raw.body)
        except (
            msgspec.DecodeError,
            ValueError,
            TypeError,
            IndexError,
            OverflowError,
        ) as error:
            return connections.NoAnswer(reason=repr(error), sent=True)

    def _order(self, path: str, order: dict[str, str | int]) -> Outcome:
        return _read_outcome(self._send(path, order, self.timeout))

    def _send(
        self, path: str, order: dict[str, str | int], timeout: float
    ) -> connections.Answer | connections.NoAnswer:
        return self._client.exchange(
            "POST",
            path,
            msgspec.json.encode(order),
            headers=self._headers,
            timeout=timeout,
        )


def _read_outcome(
    raw: connections.Answer | connections.NoAnswer,
) -> Outcome:
    if isinstance(raw, connections.NoAnswer):
        return raw
    if raw.status in STATUS_UNWELL:
        return Unwell(status=raw.status)
    if raw.status == STATUS_OTHER_LIFE:
        return OtherLife()
    if raw.status not in (STATUS_OK, STATUS_REJECTED):
        return Malformed(status=raw.status)
    try:
        wire = msgspec.json.decode(raw.body, type=_WireHold)
    except msgspec.DecodeError as error:
        return connections.NoAnswer(reason=repr(error), sent=True)
    clock = wire.clock / 1000
    if raw.status == STATUS_OK:
        return Done(clock=clock)
    try:
        return Rejected(clock=clock, reason=Reason(wire.reason))
    except ValueError:
        return Rejected(clock=clock, reason=None)


def _read_report(body: bytes) -> Report:
    wire = msgspec.json.decode(body, type=_WireHold)
    running = tuple(
        messages.RunningRow(
            task=str(row[0]),
            run=int(row[1]),
            checkpoint=str(row[2]),
            percent=float(row[3]),
            load=float(row[4]) if len(row) > 4 else 0.0,
        )
        for row in wire.running
    )
    ended = tuple(
        messages.EndedRow(
            number=int(row[0]),
            task=str(row[1]),
            run=int(row[2]),
            ending=_ENDINGS.get(str(row[3]), messages.Ending.CUT_SHORT),
            cause=str(row[3]),
            checkpoint=str(row[4]),
        )
        for row in wire.ended
    )
    return Report(clock=wire.clock / 1000, running=running, ended=ended)
