"""Client of one worker: orders, lease renewals and reports.

A worker's session uses it.
"""

from __future__ import annotations

import dataclasses
import enum
import math

import msgspec

from rackvalve import codec
from rackvalve import errors
from rackvalve.jobs import incarnations
from rackvalve.platform import connections
from rackvalve.platform import reports

STATUS_OK = 200
STATUS_REJECTED = 409
STATUS_OTHER_INCARNATION = 421
STATUS_UNWELL = frozenset({429, 503})
INCARNATION_HEADER = "Expect-Instance"
# Highest accepted reading of a steady clock, 30,000 years.  Lease ends beyond
# it could not be encoded, so that no later answer could correct the reading.
MAX_CLOCK_S = 1e12

# The answer to a hold.
Report = reports.Report


class Reason(enum.Enum):
    """Why a worker rejected an order; the values are the platform's."""

    # The worker has seen a greater fencing token.
    FENCED = "fence"
    # The run's number is not above that of a run which was stopped or has
    # ended on the worker.
    OUTDATED_RUN = "old"
    # The lease has expired on the worker's clock.
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
    :param reason: Reason; ``None`` for one that this client does not know.
    """

    clock: float
    reason: Reason | None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unwell:
    """The worker reports that it is unhealthy and has done nothing.

    :param status: HTTP status.
    """

    status: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class OtherLife:
    """Another incarnation, or another worker, answers at this address.

    :param born: Start time of the answering incarnation if the worker's name
        is the same, in milliseconds since 1970; ``None`` if not reported.
    :param clock: The worker's steady clock, in seconds; ``None`` for another
        worker.
    """

    born: int | None = None
    clock: float | None = None


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Malformed:
    """The worker could not decode the order.

    :param status: HTTP status.
    """

    status: int


# Errors that decoding a malformed answer raises.
_UNREADABLE = (
    errors.DocumentInvalidError,
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
    # Only answers to a hold have this field.
    running: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class _OtherCallError(ValueError):
    """An answer belongs to another call.

    Its clock shows a time before the call, or it is of another kind.
    """


class Worker:
    """Client of one incarnation of a worker.

    A connection may deliver a second answer to an earlier call.  Callers
    therefore pass the lowest reading that the worker's clock can have by now;
    an answer with a lower one is rejected.  An old report taken for a new one
    would show runs that were started in between as ended, and they would start
    elsewhere.  A lower clock in the first answer on a new connection is taken
    as it is: it belongs to a worker that was suspended.

    A worker may restart under the same name.  If it reports start times, the
    first call on a new connection checks which incarnation answers, and other
    calls are made only to the intended one.

    :param host: IP address of the worker.
    :param port: Port of the worker.
    :param incarnation: Identity of the incarnation.
    :param timeout: Longest wait for the answer to an order, in seconds.
    """

    __slots__ = (
        "_orders",
        "_holds",
        "_last_report_clock",
        "_headers",
        "_born",
        "timeout",
    )

    def __init__(
        self, host: str, port: int, incarnation: str, *, timeout: float
    ) -> None:
        # Holds have their own connections, so that the second answer to an
        # order, which lists no runs, is never read as a report.
        self._orders = connections.HttpClient(host, port)
        self._holds = connections.HttpClient(host, port)
        # The worker's clock in the last report, in seconds.
        self._last_report_clock = float("-inf")
        known = incarnations.parse_incarnation(incarnation)
        # The header holds the worker's name only: any incarnation accepts it.
        self._headers = ((INCARNATION_HEADER, known.worker),)
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

        The order is not sent if another incarnation answers or the check of
        the incarnation fails.

        :param task: Name of the task.
        :param run: Number of the run.
        :param spec: The job's text that each task is started with.
        :param lease_until: End of the lease on the worker's clock, in seconds.
        :param fence: Fencing token of the sender.
        :param checkpoint: Checkpoint to resume from; empty to start afresh.
        :param ticket: Admission ticket; empty for none.
        :param min_clock: Lowest clock that the answer can show, in seconds.
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
        """Stop a run; the worker rejects a start of it that arrives later.

        :param task: Name of the task.
        :param run: Number of the run.
        :param fence: Fencing token of the sender.
        :param min_clock: Lowest clock that the answer can show, in seconds.
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
        """Throttle a run to a share of its full speed.

        :param task: Name of the task.
        :param run: Number of the run.
        :param percent: The share, 0 to 100.
        :param fence: Fencing token of the sender.
        :param min_clock: Lowest clock that the answer can show, in seconds.
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
        """Renew the lease on all runs and return the worker's report.

        :param lease_until: End of the lease on the worker's clock, in seconds;
            ``None`` to leave the lease unchanged.
        :param fence: Fencing token of the sender.
        :param acknowledged: Number of the last recorded end; the worker may
            forget ends up to it.
        :param wait: Longest time that the worker waits for a run to end before
            answering, in seconds.
        :param timeout: Time added to the wait for the answer to arrive, in
            seconds.
        :param min_clock: Lowest clock that the answer can show, in seconds.
        """
        if self._must_probe(self._holds):
            found = self._probe_incarnation(self._holds, fence, timeout)
            if not isinstance(found, Report) or self._holds.has_connection():
                return found
        order: dict[str, str | int] = {
            "fence": fence,
            "last-seen": acknowledged,
        }
        if lease_until is not None:
            order["until-ms"] = int(lease_until * 1000)
        if wait > 0:
            order["wait-ms"] = int(wait * 1000)
        # Clocks have whole milliseconds: a repeat of the last report within
        # one millisecond is not below min_clock, so its reading is excluded.
        lowest = max(
            min_clock, math.nextafter(self._last_report_clock, math.inf)
        )
        return self._exchange_hold(self._holds, order, wait + timeout, lowest)

    def _must_probe(self, client: connections.HttpClient) -> bool:
        """Return whether the next call needs a check of the incarnation.

        Any incarnation with the worker's name accepts calls.  On an open
        connection the incarnation cannot change.  On a new one, a start sent
        to another incarnation might run beside another run of its task, and a
        hold might make it forget ends that were never read.
        """
        return self._born is not None and not client.has_connection()

    def _probe_incarnation(
        self, client: connections.HttpClient, fence: int, timeout: float
    ) -> Report | Outcome:
        """Get a report without changing anything on the worker.

        :return: The report, or :class:`OtherLife` for another incarnation.
        """
        order: dict[str, str | int] = {"fence": fence, "last-seen": 0}
        return self._exchange_hold(client, order, timeout, float("-inf"))

    def _exchange_hold(
        self,
        client: connections.HttpClient,
        order: dict[str, str | int],
        timeout: float,
        min_clock: float,
    ) -> Report | Outcome:
        """Send a hold and decode the report.

        :param min_clock: Lowest clock that the answer can show, in seconds.
        """
        raw = self._send(client, "/hold", order, timeout)
        if not isinstance(raw, connections.Answer) or raw.status != STATUS_OK:
            return _read_outcome(raw, client, min_clock)
        try:
            report = reports.read_report(raw.body)
            if self._is_other_incarnation(report, raw):
                client.discard_idle()
                return OtherLife(born=report.born, clock=report.clock)
            _check_clock(report.clock, raw, min_clock)
        except _UNREADABLE as error:
            client.discard_idle()
            return connections.NoAnswer(reason=repr(error), sent=True)
        if client is self._holds:
            self._last_report_clock = report.clock
        return report

    def _is_other_incarnation(
        self, report: Report, raw: connections.Answer
    ) -> bool:
        """Return whether a report is of another incarnation.

        The steady clock of an incarnation never goes back; while its VM is
        suspended, it stops.
        """
        if report.born is not None:
            return report.born != self._born
        return raw.first and report.clock < self._last_report_clock

    def _order(
        self, path: str, order: dict[str, str | int], min_clock: float
    ) -> Outcome:
        outcome = self._try_order(path, order, min_clock, is_last=False)
        if outcome is not None:
            return outcome
        # The refusal may be that of an earlier order.  Taken for this one's,
        # it would let the task start elsewhere while it runs here.  Orders are
        # idempotent, so this one is repeated on a new connection.
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
        """Send an order once, to this incarnation only.

        :param is_last: Whether this is the second attempt, on a new
            connection.
        :return: The outcome; ``None`` if the answer may be another order's.
        """
        probes = self._must_probe(self._orders)
        if probes:
            fence = int(order["fence"])
            found = self._probe_incarnation(self._orders, fence, self.timeout)
            if not isinstance(found, Report):
                return _to_unsent(found)
            # The clock of a worker that was suspended is behind.
            min_clock = min(min_clock, found.clock)
        raw = self._send(
            self._orders,
            path,
            order,
            self.timeout,
            single_use=is_last and not probes,
        )
        if _is_ambiguous(raw) and not probes and not is_last:
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


def _to_unsent(outcome: Outcome) -> Outcome:
    """Return the outcome of an order that a failed probe held back.

    :param outcome: Outcome of the probe.
    """
    if isinstance(outcome, connections.NoAnswer):
        return connections.NoAnswer(reason=outcome.reason, sent=False)
    return outcome


def _is_ambiguous(raw: connections.Answer | connections.NoAnswer) -> bool:
    """Return whether an answer may belong to an earlier order.

    Only answers with a clock reading can be matched to their order.
    """
    if isinstance(raw, connections.NoAnswer) or raw.first:
        return False
    return raw.status not in (STATUS_OK, STATUS_REJECTED)


def _check_clock(
    clock: float, raw: connections.Answer, min_clock: float
) -> None:
    """Check that an answer belongs to its call.

    :param clock: The worker's clock in the answer, in seconds.
    :param raw: The answer.
    :param min_clock: Lowest clock that the answer can show, in seconds.
    """
    if not 0 <= clock <= MAX_CLOCK_S:
        raise ValueError(f"steady clock out of range: {clock} s")
    if clock < min_clock and not raw.first:
        raise _OtherCallError(
            f"answer to an earlier call: its clock shows {clock} s, "
            f"below the lowest possible reading of {min_clock:.3f} s"
        )


def _read_outcome(
    raw: connections.Answer | connections.NoAnswer,
    client: connections.HttpClient,
    min_clock: float,
) -> Outcome:
    """Decode the answer to an order.

    :param raw: The answer.
    :param client: Client that received the answer.
    :param min_clock: Lowest clock that the answer can show, in seconds.
    """
    if isinstance(raw, connections.NoAnswer):
        return raw
    if raw.status in STATUS_UNWELL:
        return Unwell(status=raw.status)
    if raw.status == STATUS_OTHER_INCARNATION:
        return OtherLife()
    if raw.status not in (STATUS_OK, STATUS_REJECTED):
        return Malformed(status=raw.status)
    try:
        wire = codec.decode_as(raw.body, _WireAnswer)
        if wire.running is not msgspec.UNSET:
            raise _OtherCallError("answer to a hold instead of an order")
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
