"""The client of one worker: orders, the lease on what runs, and reports."""

from __future__ import annotations

import dataclasses
import enum
import math

import msgspec

from rackvalve.jobs import incarnations
from rackvalve.platform import connections
from rackvalve.platform import reports

STATUS_OK = 200
STATUS_REJECTED = 409
STATUS_OTHER_LIFE = 421
STATUS_UNWELL = frozenset({429, 503})
LIFE_HEADER = "Expect-Instance"
# The longest that a steady clock may have run: 30,000 years.  Leases that end
# after it could not be written, and no answer could tell so any more.
CLOCK_MOST_S = 1e12

# What a worker answers to a hold.
Report = reports.Report


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
        milliseconds since 1970; ``None`` if it tells none.
    :param clock: What its steady clock shows, in seconds; ``None`` for
        another worker.
    """

    born: int | None = None
    clock: float | None = None


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
    # With this it is the answer to a hold.
    running: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


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

    A worker may start again under its name.  A new connection asks first which
    life is there, if the worker tells births, and carries other calls to the
    one that is meant only.

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
        known = incarnations.parse_incarnation(life)
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
        min_clock: float,
    ) -> Outcome:
        """Start a run of a task.

        One that could not be sent to this life was not sent.

        :param task: Name of the task.
        :param run: Number of the run.
        :param spec: The job's text for its tasks.
        :param lease_until: End of the lease on the worker's clock, seconds.
        :param fence: Fencing token of the sender.
        :param checkpoint: Where to go on from, empty for the beginning.
        :param ticket: Admission ticket, empty for none.
        :param min_clock: Lowest clock that a reply can show, in seconds.
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
        return self._order("/run-start", order, min_clock)

    def stop(
        self, *, task: str, run: int, fence: int, min_clock: float
    ) -> Outcome:
        """Stop a run and reject it if it comes later.

        :param task: Name of the task.
        :param run: Number of the run.
        :param fence: Fencing token of the sender.
        :param min_clock: Lowest clock that a reply can show, in seconds.
        """
        return self._order(
            "/run-stop", {"task": task, "run": run, "fence": fence}, min_clock
        )

    def set_pace(
        self,
        *,
        task: str,
        run: int,
        percent: int,
        fence: int,
        min_clock: float,
    ) -> Outcome:
        """Let a task work at a share of its speed.

        :param task: Name of the task.
        :param run: Number of the run.
        :param percent: The share, 0 to 100.
        :param fence: Fencing token of the sender.
        :param min_clock: Lowest clock that a reply can show, in seconds.
        """
        return self._order(
            "/pace",
            {"task": task, "run": run, "percent": percent, "fence": fence},
            min_clock,
        )

    def hold(
        self,
        *,
        lease_until: float | None,
        fence: int,
        acknowledged: int,
        wait: float,
        timeout: float,
        min_clock: float,
    ) -> Report | Outcome:
        """Extend the lease on all that runs and ask what runs and ended.

        :param lease_until: End of the lease on the worker's clock, seconds;
            ``None`` to leave it as it is.
        :param fence: Fencing token of the sender.
        :param acknowledged: Ends up to this number may be forgotten.
        :param wait: Longest wait for an end, in seconds.
        :param timeout: How much later its answer may come, in seconds.
        :param min_clock: Lowest clock that a reply can show, in seconds.
        """
        if self._must_ask(self._holds):
            shown = self._ask_life(self._holds, fence, timeout)
            if not isinstance(shown, Report) or self._holds.has_connection():
                return shown
        order: dict[str, str | int] = {
            "fence": fence,
            "last-seen": acknowledged,
        }
        if lease_until is not None:
            order["until-ms"] = int(lease_until * 1000)
        if wait > 0:
            order["wait-ms"] = int(wait * 1000)
        # The report before, told once more, shows no earlier time than is
        # known: clocks are told in whole milliseconds.
        later = max(min_clock, math.nextafter(self._reported, math.inf))
        return self._take_hold(self._holds, order, wait + timeout, later)

    def _must_ask(self, client: connections.HttpClient) -> bool:
        """Return whether it is to be asked first which life is there.

        A call reaches whatever life has the worker's name.  The one that
        answered on a connection is there for as long as that is open; on a
        new one, a start might run beside another of its task, and ends that
        nobody has read might be forgotten.
        """
        return self._born is not None and not client.has_connection()

    def _ask_life(
        self, client: connections.HttpClient, fence: int, timeout: float
    ) -> Report | Outcome:
        """Ask what a worker has, and change nothing there.

        :return: The report, if it is this life's.
        """
        order: dict[str, str | int] = {"fence": fence, "last-seen": 0}
        return self._take_hold(client, order, timeout, float("-inf"))

    def _take_hold(
        self,
        client: connections.HttpClient,
        order: dict[str, str | int],
        timeout: float,
        min_clock: float,
    ) -> Report | Outcome:
        """Make a hold.

        :param min_clock: Lowest clock that a reply can show, in seconds.
        """
        raw = self._send(client, "/hold", order, timeout)
        if not isinstance(raw, connections.Answer) or raw.status != STATUS_OK:
            return _read_outcome(raw, client, min_clock)
        try:
            report = reports.read_report(raw.body)
            if self._is_others(report, raw):
                client.discard_idle()
                return OtherLife(born=report.born, clock=report.clock)
            _check_clock(report.clock, raw, min_clock)
        except _UNREADABLE as error:
            client.discard_idle()
            return connections.NoAnswer(reason=repr(error), sent=True)
        if client is self._holds:
            self._reported = report.clock
        return report

    def _is_others(self, report: Report, raw: connections.Answer) -> bool:
        """Return whether another life of the worker has made a report.

        The steady clock of a life never goes back, also where its VM was
        suspended: then it stands still.
        """
        if report.born is not None:
            return report.born != self._born
        return raw.first and report.clock < self._reported

    def _order(
        self, path: str, order: dict[str, str | int], min_clock: float
    ) -> Outcome:
        outcome = self._try_order(path, order, min_clock, is_last=False)
        if outcome is not None:
            return outcome
        # Believed, an earlier order's refusal would let a task start
        # elsewhere while it runs here.  An order may come twice.
        self._orders.discard_idle()
        outcome = self._try_order(path, order, min_clock, is_last=True)
        assert outcome is not None
        return outcome

    def _try_order(
        self,
        path: str,
        order: dict[str, str | int],
        min_clock: float,
        *,
        is_last: bool,
    ) -> Outcome | None:
        """Send an order once, to this life only.

        :param is_last: Whether it has a connection to itself.
        :return: What its answer comes to; ``None`` if that may be another
            order's.
        """
        asks = self._must_ask(self._orders)
        if asks:
            fence = int(order["fence"])
            shown = self._ask_life(self._orders, fence, self.timeout)
            if not isinstance(shown, Report):
                return _withhold(shown)
            # That of a worker that was suspended is behind.
            min_clock = min(min_clock, shown.clock)
        raw = self._send(
            self._orders,
            path,
            order,
            self.timeout,
            single_use=is_last and not asks,
        )
        if _shows_nothing(raw) and not asks and not is_last:
            return None
        return _read_outcome(raw, self._orders, min_clock)

    def _send(
        self,
        client: connections.HttpClient,
        path: str,
        order: dict[str, str | int],
        timeout: float,
        *,
        single_use: bool = False,
    ) -> connections.Answer | connections.NoAnswer:
        return client.exchange(
            "POST",
            path,
            msgspec.json.encode(order),
            headers=self._headers,
            timeout=timeout,
            single_use=single_use,
        )


def _withhold(outcome: Outcome) -> Outcome:
    """Return what becomes of an order that was not sent for an outcome."""
    if isinstance(outcome, connections.NoAnswer):
        return connections.NoAnswer(reason=outcome.reason, sent=False)
    return outcome


def _shows_nothing(raw: connections.Answer | connections.NoAnswer) -> bool:
    """Return whether nothing tells which order an answer belongs to."""
    if isinstance(raw, connections.NoAnswer) or raw.first:
        return False
    return raw.status not in (STATUS_OK, STATUS_REJECTED)


def _check_clock(
    clock: float, raw: connections.Answer, min_clock: float
) -> None:
    """Check that an answer belongs to its call.

    :param clock: What it tells, in seconds.
    :param raw: The answer.
    :param min_clock: Lowest clock that the reply can show, in seconds.
    """
    if not 0 <= clock <= CLOCK_MOST_S:
        raise ValueError(f"no steady clock shows {clock} s")
    if clock < min_clock and not raw.first:
        raise _OtherCallError(
            f"the answer to an earlier call: its clock shows {clock} s, "
            f"{min_clock:.3f} s at least had passed"
        )


def _read_outcome(
    raw: connections.Answer | connections.NoAnswer,
    client: connections.HttpClient,
    min_clock: float,
) -> Outcome:
    """Return what an answer to an order comes to.

    :param raw: The answer.
    :param client: The connections that it came on.
    :param min_clock: Lowest clock that the reply can show, in seconds.
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
        if wire.running is not msgspec.UNSET:
            raise _OtherCallError("the answer to a hold")
        clock = wire.clock / 1000
        _check_clock(clock, raw, min_clock)
    except _UNREADABLE as error:
        client.discard_idle()
        return connections.NoAnswer(reason=repr(error), sent=True)
    if raw.status == STATUS_OK:
        return Done(clock=clock)
    try:
        return Rejected(clock=clock, reason=Reason(wire.reason))
    except ValueError:
        return Rejected(clock=clock, reason=None)
