"""The client of one worker: orders, the lease on what runs, and reports."""

from __future__ import annotations

import dataclasses
import enum
import math

import msgspec

from rackvalve.platform import births
from rackvalve.platform import connections
from rackvalve.scheduling import lives
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
# The longest that a steady clock may have run: 30,000 years.  Leases that end
# after it could not be written, and no answer could tell so any more.
CLOCK_MOST_S = 1e12


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
    :param born: When the life began that tells this, in milliseconds since
        1970; ``None`` if it does not tell.
    """

    clock: float
    running: tuple[messages.RunningRow, ...]
    ended: tuple[messages.EndedRow, ...]
    born: int | None = None


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
    """Another life of a worker answers at this address.

    :param born: Its birth if it has the name of the one that was called, in
        milliseconds since 1970; ``None`` for another worker.
    """

    born: int | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Malformed:
    """The worker does not understand the order.

    :param status: HTTP status.
    """

    status: int


# What the reading of an odd answer raises.
_UNREADABLE = (
    msgspec.DecodeError,
    ValueError,
    TypeError,
    IndexError,
    OverflowError,
)

Outcome = (
    Done | Rejected | Unwell | OtherLife | Malformed | connections.NoAnswer
)


class _WireAnswer(msgspec.Struct):
    clock: float = msgspec.field(name="clock-ms")
    reason: str = ""


class _WireReport(msgspec.Struct):
    clock: float = msgspec.field(name="clock-ms")
    # Without these it is the answer to an order: taken for a report, it would
    # prove all runs over.
    running: list[list[str | int | float]]
    ended: list[list[str | int]]
    born: msgspec.Raw = births.MISSING


class _OtherCallError(ValueError):
    """An answer whose clock shows a time before the call."""


class Worker:
    """Calls one life of a worker.

    Answers may be late ones to earlier calls on the same connection.  Each
    call says the least that the worker's clock can show by now, which a late
    answer does not reach: an older report that stands for a newer one would
    prove runs over that have begun in between, and they would start
    elsewhere.  A clock that is behind on a new connection is a worker that was
    suspended.

    :param host: IP number of its address.
    :param port: Port of its address.
    :param life: Its identity.
    :param timeout: Longest wait for the answer to an order, in seconds.
    """

    __slots__ = (
        "_orders",
        "_holds",
        "_reported",
        "_headers",
        "_born",
        "timeout",
    )

    def __init__(
        self, host: str, port: int, life: str, *, timeout: float
    ) -> None:
        # A late answer to an order, which tells of no runs, meets no hold.
        self._orders = connections.HttpClient(host, port)
        self._holds = connections.HttpClient(host, port)
        # What the clock showed in the last report, in seconds.
        self._reported = float("-inf")
        known = lives.read_life(life)
        # By its name a call reaches whatever life the worker has now.
        self._headers = ((LIFE_HEADER, known.worker),)
        self._born = known.born
        # Longest wait for the answer to an order, in seconds.
        self.timeout = timeout

    def close(self) -> None:
        """Close the connections."""
        self._orders.close()
        self._holds.close()

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
        least: float,
    ) -> Outcome:
        """Start a run of a task.

        :param task: Name of the task.
        :param run: Number of the run.
        :param spec: The job's text for its tasks.
        :param lease_until: End of the lease on the worker's clock, seconds.
        :param fence: Fencing token of the sender.
        :param checkpoint: Where to go on from, empty for the beginning.
        :param ticket: Admission ticket, empty for none.
        :param least: The least that the worker's clock can show, in seconds.
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
        return self._order("/run-start", order, least)

    def stop(
        self, *, task: str, run: int, fence: int, least: float
    ) -> Outcome:
        """Stop a run and reject it if it comes later.

        :param task: Name of the task.
        :param run: Number of the run.
        :param fence: Fencing token of the sender.
        :param least: The least that the worker's clock can show, in seconds.
        """
        return self._order(
            "/run-stop", {"task": task, "run": run, "fence": fence}, least
        )

    def set_pace(
        self, *, task: str, run: int, percent: int, fence: int, least: float
    ) -> Outcome:
        """Let a task work at a share of its speed.

        :param task: Name of the task.
        :param run: Number of the run.
        :param percent: The share, 0 to 100.
        :param fence: Fencing token of the sender.
        :param least: The least that the worker's clock can show, in seconds.
        """
        return self._order(
            "/pace",
            {"task": task, "run": run, "percent": percent, "fence": fence},
            least,
        )

    def hold(
        self,
        *,
        lease_until: float | None,
        fence: int,
        acknowledged: int,
        wait: float,
        timeout: float,
        least: float,
    ) -> Report | Outcome:
        """Extend the lease on all that runs and ask what runs and ended.

        :param lease_until: End of the lease on the worker's clock, seconds;
            ``None`` to leave it as it is.
        :param fence: Fencing token of the sender.
        :param acknowledged: Ends up to this number may be forgotten.
        :param wait: Longest wait for an end, in seconds.
        :param timeout: How much later its answer may come, in seconds.
        :param least: The least that the worker's clock can show, in seconds.
        """
        order: dict[str, str | int] = {
            "fence": fence,
            "last-seen": acknowledged,
        }
        if lease_until is not None:
            order["until-ms"] = int(lease_until * 1000)
        if wait > 0:
            order["wait-ms"] = int(wait * 1000)
        raw = self._send(self._holds, "/hold", order, wait + timeout)
        if not isinstance(raw, connections.Answer) or raw.status != STATUS_OK:
            return _read_outcome(raw, self._holds, least)
        try:
            report = _read_report(raw.body)
            # Clocks are told in whole milliseconds: the report before, told
            # once more, shows no earlier time than is known.
            later = math.nextafter(self._reported, math.inf)
            if self._is_others(report):
                return OtherLife(born=report.born)
            _check_clock(report.clock, raw, max(least, later))
        except _UNREADABLE as error:
            self._holds.distrust()
            return connections.NoAnswer(reason=repr(error), sent=True)
        self._reported = report.clock
        return report

    def _is_others(self, report: Report) -> bool:
        """Return whether another life of the worker has made a report."""
        return report.born is not None and report.born != self._born

    def _order(
        self, path: str, order: dict[str, str | int], least: float
    ) -> Outcome:
        raw = self._send(self._orders, path, order, self.timeout)
        if _shows_nothing(raw):
            # Believed, an earlier order's refusal would let a task start
            # elsewhere while it runs here.  An order may come twice.
            self._orders.distrust()
            raw = self._send(
                self._orders, path, order, self.timeout, alone=True
            )
        return _read_outcome(raw, self._orders, least)

    def _send(
        self,
        client: connections.HttpClient,
        path: str,
        order: dict[str, str | int],
        timeout: float,
        *,
        alone: bool = False,
    ) -> connections.Answer | connections.NoAnswer:
        return client.exchange(
            "POST",
            path,
            msgspec.json.encode(order),
            headers=self._headers,
            timeout=timeout,
            alone=alone,
        )


def _shows_nothing(raw: connections.Answer | connections.NoAnswer) -> bool:
    """Return whether nothing tells which order an answer belongs to."""
    if isinstance(raw, connections.NoAnswer) or raw.first:
        return False
    return raw.status not in (STATUS_OK, STATUS_REJECTED)


def _check_clock(clock: float, raw: connections.Answer, least: float) -> None:
    """Check that an answer belongs to its call.

    :param clock: What it tells, in seconds.
    :param raw: The answer.
    :param least: The least that the answer to the call can tell.
    """
    if not 0 <= clock <= CLOCK_MOST_S:
        raise ValueError(f"no steady clock shows {clock} s")
    if clock < least and not raw.first:
        raise _OtherCallError(
            f"the answer to an earlier call: its clock shows {clock} s, "
            f"{least:.3f} s at least had passed"
        )


def _read_outcome(
    raw: connections.Answer | connections.NoAnswer,
    client: connections.HttpClient,
    least: float,
) -> Outcome:
    """Return what an answer to an order comes to.

    :param raw: The answer.
    :param client: The connections that it came on.
    :param least: The least that its clock can tell, in seconds.
    """
    if isinstance(raw, connections.NoAnswer):
        return raw
    if raw.status in STATUS_UNWELL:
        return Unwell(status=raw.status)
    if raw.status == STATUS_OTHER_LIFE:
        return OtherLife()
    if raw.status not in (STATUS_OK, STATUS_REJECTED):
        return Malformed(status=raw.status)
    try:
        wire = msgspec.json.decode(raw.body, type=_WireAnswer)
        clock = wire.clock / 1000
        _check_clock(clock, raw, least)
    except _UNREADABLE as error:
        client.distrust()
        return connections.NoAnswer(reason=repr(error), sent=True)
    if raw.status == STATUS_OK:
        return Done(clock=clock)
    try:
        return Rejected(clock=clock, reason=Reason(wire.reason))
    except ValueError:
        return Rejected(clock=clock, reason=None)


def _read_report(body: bytes) -> Report:
    wire = msgspec.json.decode(body, type=_WireReport)
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
    return Report(
        clock=wire.clock / 1000,
        running=running,
        ended=ended,
        born=births.read_birth(wire.born),
    )
