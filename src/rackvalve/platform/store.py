"""Client of the platform's key-value store, used by the managers.

A connection may deliver a second answer to an earlier call.  A commit detects
it by its revision: otherwise a write that was never made would count as done.
Watches of one prefix share connections with each other only, so that a second
answer holds changes of the same prefix, which are filtered by revision.  All
other calls use a connection once.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import TypeVar

import msgspec

from rackvalve import codec
from rackvalve import errors
from rackvalve.platform import _store_wire
from rackvalve.platform import connections
from rackvalve.platform import store_statuses as statuses

T = TypeVar("T")

# Outcome of a call that its caller has cancelled, which says nothing about
# the store.
CANCELLED = "cancelled"

# The store's limit on conditions, writes and removals in one commit.
COMMIT_ENTRIES = 32
# The store's limit on a value, in bytes, unless the settings name another.
VALUE_BYTES = 1_048_576
# Longest wait for the rest of an answer after its headers, in seconds: a page
# of 1 MB takes 2.7 s on the users' slowest link, 5 Mbit/s.
BODY_TIMEOUT_S = 4.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Item:
    """A stored value.

    :param key: Key of the value.
    :param payload: The value.
    :param revision: Store revision of the last change.
    :param created: Store revision of the creation.
    """

    key: str
    payload: bytes
    revision: int
    created: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Missing:
    """The key does not exist."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unavailable:
    """A call without a usable answer; a commit was not made.

    :param reason: Cause of the failure, for logs.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Range:
    """All items below a prefix.

    :param items: The items, sorted by key.
    :param revision: Store revision after which a watch has to start to miss no
        change.
    """

    items: tuple[Item, ...]
    revision: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Changes:
    """Changes that a watch returned.

    :param written: Items that were written, oldest first.
    :param removed: Keys that were removed, with the revision of the removal.
    :param revision: Store revision after which the next watch starts.
    :param at: The store's own revision as of this answer, which is lower than
        the watch's start if the store was replaced by an earlier state.
    """

    written: tuple[Item, ...]
    removed: tuple[tuple[str, int], ...]
    revision: int
    at: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class HistoryLost:
    """The store no longer has the changes after the given revision."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Condition:
    """A precondition of a commit: the revision of a key.

    :param key: The key.
    :param revision: Expected revision; 0 if the key must be absent.
    """

    key: str
    revision: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Put:
    """A value to write.

    :param key: The key.
    :param payload: The value.
    :param lease: Lease with whose end the key is removed; 0 for none.
    """

    key: str
    payload: bytes
    lease: int = 0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Committed:
    """The commit was made.

    :param revision: Store revision of all writes of the commit.
    """

    revision: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Conflict:
    """A condition did not hold; nothing was written.

    :param items: Present items of the keys in the conditions, by key; absent
        keys are left out.
    """

    items: dict[str, Item]


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Refused:
    """The store refuses a commit for its content; nothing was written.

    :param reason: Cause of the refusal, for logs.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class LeaseOver:
    """The lease has ended."""


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unknown:
    """A write with an unknown outcome; the store may still make it later.

    :param reason: Cause of the failure, for logs.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Lease:
    """A lease that has not expired.

    :param identity: Number of the lease.
    :param duration: Time until it expires, in seconds from the arrival of the
        last call that opened or renewed it at the store.
    """

    identity: int
    duration: float


class Store:
    """Client of the store.

    :param host: IP address of the store.
    :param port: Port of the store.
    :param timeout: Longest wait for an answer, in seconds.
    :param on_call: Callback that gets the name and the outcome of each call.
    """

    __slots__ = (
        "_address",
        "_client",
        "_watch_clients",
        "timeout",
        "_on_call",
        "_last_committed",
    )

    def __init__(
        self,
        host: str,
        port: int,
        *,
        timeout: float,
        on_call: Callable[[str, str], None],
    ) -> None:
        self._address = (host, port)
        self._on_call = on_call
        self._client = connections.HttpClient(host, port)
        # Clients of watches, by prefix.
        self._watch_clients: dict[str, connections.HttpClient] = {}
        self.timeout = timeout
        # Highest revision of the commits that were answered.
        self._last_committed = 0

    def set_address(self, host: str, port: int) -> None:
        """Use another address for all further calls.

        :param host: IP address of the store.
        :param port: Port of the store.
        """
        self._address = (host, port)
        for client in (self._client, *self._watch_clients.values()):
            client.set_address(host, port)

    def cancel_calls(self) -> None:
        """Cancel all calls in flight; writes among them end as unknown."""
        for client in (self._client, *self._watch_clients.values()):
            client.cancel_calls()

    def read(
        self, key: str, *, timeout: float | None = None
    ) -> Item | Missing | Unavailable:
        """Read one key.

        :param key: The key.
        :param timeout: Longest wait, in seconds; ``None`` for the default.
        """
        path = "/kv-key?key=" + _store_wire.quote(key)
        answer = self._call("GET", path, timeout=timeout, single_use=True)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == statuses.MISSING:
            return Missing()
        item = _decode(answer.body, _store_wire.WireItem)
        return item if isinstance(item, Unavailable) else _to_item(item)

    def read_range(self, prefix: str) -> Range | Unavailable:
        """Read all items below a prefix, page by page.

        :param prefix: The prefix.
        """
        items: list[Item] = []
        first = -1
        query = "/kv-range?path-prefix=" + _store_wire.quote(prefix)
        path = query
        while True:
            answer = self._call("GET", path, single_use=True)
            if isinstance(answer, Unavailable):
                return answer
            page = _decode(answer.body, _store_wire.WirePage)
            if isinstance(page, Unavailable):
                return page
            items.extend(_to_item(item) for item in page.items)
            # Later pages may show later revisions: only a watch from the first
            # page's revision misses no change.
            first = page.at if first < 0 else first
            if not page.more or not page.items:
                return Range(items=tuple(items), revision=first)
            path = f"{query}&after-rev={_store_wire.quote(page.items[-1].key)}"

    def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
        *,
        slack: float,
        body_timeout: float = BODY_TIMEOUT_S,
    ) -> Changes | HistoryLost | Unavailable:
        """Wait for changes below a prefix.

        :param prefix: The prefix.
        :param after: Store revision after which changes are returned.
        :param wait: Longest wait for a change, in seconds.
        :param slack: Time added to the wait for the answer to arrive, in
            seconds.
        :param body_timeout: Longest wait for the rest of an answer after its
            headers, in seconds; 0 to have it within the wait and slack, too.
        """
        path = _store_wire.make_watch_path(prefix, after, wait)
        client = self._get_watch_client(prefix)
        raw = client.exchange(
            "GET", path, timeout=wait + slack, body_timeout=body_timeout
        )
        self._count_call("watch", raw)
        if isinstance(raw, connections.NoAnswer):
            return Unavailable(reason=raw.reason)
        if raw.status == statuses.GONE:
            return HistoryLost()
        if raw.status != statuses.OK:
            return Unavailable(reason=f"status {raw.status}")
        answer = _decode(raw.body, _store_wire.WireEvents)
        if isinstance(answer, Unavailable):
            client.discard_idle()
            return answer
        # A second answer to an earlier watch may repeat older changes.
        events = [event for event in answer.events if event.rev > after]
        return Changes(
            written=tuple(
                _to_item(event) for event in events if not event.gone
            ),
            removed=tuple(
                (event.key, event.rev) for event in events if event.gone
            ),
            revision=max(after, answer.at),
            at=answer.at,
        )

    def _get_watch_client(self, prefix: str) -> connections.HttpClient:
        if prefix not in self._watch_clients:
            client = connections.HttpClient(*self._address)
            self._watch_clients[prefix] = client
        return self._watch_clients[prefix]

    def commit(
        self,
        conditions: list[Condition],
        puts: list[Put],
        removals: list[str] | None = None,
        *,
        timeout: float | None = None,
    ) -> Committed | Conflict | LeaseOver | Refused | Unavailable | Unknown:
        """Write and remove keys atomically if all conditions hold.

        :param conditions: Expected revisions of keys.
        :param puts: Values to write.
        :param removals: Keys to remove.
        :param timeout: Longest wait for an answer, in seconds; ``None`` for
            the client's default.
        """
        body = _store_wire.encode_commit(
            [(item.key, item.revision) for item in conditions],
            [(put.key, put.payload, put.lease) for put in puts],
            removals or [],
        )
        min_revision = self._last_committed + 1
        raw = self._client.exchange(
            "POST",
            "/kv-txn",
            body,
            timeout=self.timeout if timeout is None else timeout,
            body_timeout=BODY_TIMEOUT_S,
        )
        self._count_call("commit", raw)
        if isinstance(raw, connections.NoAnswer):
            kind = Unknown if raw.sent else Unavailable
            return kind(reason=raw.reason)
        if raw.status in statuses.BUSY:
            return Unavailable(reason=f"status {raw.status}")
        if raw.status == statuses.MISSING:
            return LeaseOver()
        outcome = self._read_commit(raw, min_revision)
        if isinstance(outcome, (Refused, Unknown)):
            self._client.discard_idle()
        return outcome

    def _read_commit(
        self, raw: connections.Answer, min_revision: int
    ) -> Committed | Conflict | Refused | Unknown:
        """Decode the answer to a commit.

        :param raw: The answer.
        :param min_revision: Lowest revision that the commit can have.
        """
        if raw.status in statuses.INVALID:
            return Refused(reason=f"status {raw.status}")
        if raw.status not in (statuses.OK, statuses.CONFLICT):
            return Unknown(reason=f"status {raw.status}")
        if raw.status == statuses.CONFLICT:
            found = _decode(raw.body, _store_wire.WireConflict)
            if isinstance(found, Unavailable):
                return Unknown(reason=found.reason)
            return Conflict(
                items={item.key: _to_item(item) for item in found.items}
            )
        done = _decode(raw.body, _store_wire.WireCommitted)
        if isinstance(done, Unavailable):
            return Unknown(reason=done.reason)
        if done.rev < min_revision and not raw.first:
            return Unknown(reason="answer to an earlier commit")
        # A lower revision means that the store was replaced.
        known = self._last_committed if done.rev >= min_revision else 0
        self._last_committed = max(known, done.rev)
        return Committed(revision=done.rev)

    def open_lease(self, duration: float) -> Lease | Unavailable:
        """Open a lease.

        :param duration: Requested length, in seconds.
        """
        body = msgspec.json.encode({"ttl_ms": int(duration * 1000)})
        answer = self._call("POST", "/kv-lease", body, single_use=True)
        if isinstance(answer, Unavailable):
            return answer
        wire = _decode(answer.body, _store_wire.WireLease)
        if isinstance(wire, Unavailable):
            return wire
        return Lease(identity=wire.lease, duration=wire.ttl_ms / 1000)

    def renew_lease(self, identity: int, timeout: float) -> bool | Unavailable:
        """Renew a lease.

        :param identity: Number of the lease.
        :param timeout: Longest wait for an answer, in seconds.  A renewal
            whose answer is lost has taken effect, and waiting longer for it
            would delay the next renewal.
        :return: Whether the lease still runs.
        """
        answer = self._call(
            "POST", f"/kv-keep/{identity}", timeout=timeout, single_use=True
        )
        if isinstance(answer, Unavailable):
            return answer
        return answer.status == statuses.OK

    def end_lease(self, identity: int) -> bool | Unavailable:
        """End a lease and remove its keys.

        :param identity: Number of the lease.
        :return: Whether the lease was still running.
        """
        answer = self._call(
            "DELETE", f"/kv-lease-end/{identity}", single_use=True
        )
        if isinstance(answer, Unavailable):
            return answer
        return answer.status == statuses.OK

    def _count_call(
        self, call: str, raw: connections.Answer | connections.NoAnswer
    ) -> None:
        outcome = "no answer"
        if isinstance(raw, connections.Answer):
            outcome = str(raw.status)
        elif raw.reason == connections.CANCELLED:
            outcome = CANCELLED
        self._on_call(call, outcome)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        timeout: float | None = None,
        single_use: bool = False,
    ) -> connections.Answer | Unavailable:
        raw = self._client.exchange(
            method,
            path,
            body,
            timeout=self.timeout if timeout is None else timeout,
            body_timeout=BODY_TIMEOUT_S,
            single_use=single_use,
        )
        self._count_call(_store_wire.name_call(path), raw)
        if isinstance(raw, connections.NoAnswer):
            return Unavailable(reason=raw.reason)
        allowed = (
            {statuses.OK} if path.startswith("/kv-range") else statuses.FOUND
        )
        if raw.status not in allowed:
            return Unavailable(reason=f"status {raw.status}")
        return raw


def _decode(body: bytes, kind: type[T]) -> T | Unavailable:
    try:
        return codec.decode_as(body, kind)
    except errors.DocumentInvalidError as error:
        return Unavailable(reason=repr(error))


def _to_item(wire: _store_wire.WireItem) -> Item:
    return Item(
        key=wire.key,
        payload=wire.value,
        revision=wire.rev,
        created=wire.made,
    )
