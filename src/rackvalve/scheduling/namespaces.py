"""Namespaces: under which keys the records of a queue's jobs are stored.

A caller names a job by host, path and identifier.  The name of a queue is the
operator's and may change, or pass to another path.  So the records of all jobs
below one address are kept under one namespace, which the address keeps for as
long as it may have jobs.  It is the queue's first name, unless that belongs to
another address: earlier releases use names, and find the records of all queues
that were not renamed.

The directory of all namespaces also keeps the last settings of queues that
were removed, by which their accepted jobs go on.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import hashlib

import msgspec

from rackvalve import codec
from rackvalve import errors
from rackvalve.scheduling import queues

# Time after which the namespace of a removed queue without jobs is given up,
# in seconds.  It exceeds the time for which a manager uses its copy.
KEEP_REMOVED_S = 900.0
# Time since its queue was removed after which an entry takes no new job before
# it is renewed, in seconds: what a manager stores by its copy of the directory
# must not belong to a namespace that was given up meanwhile.
RENEW_AGE_S = KEEP_REMOVED_S / 3
# Most namespaces of removed queues without jobs; the oldest are given up.
MAX_REMOVED = 1024
# Most bytes of a namespace: the store bounds keys to 200 bytes.
MAX_NAMESPACE_BYTES = 128
_DIGEST_BYTES = 6


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Address:
    """How callers name a queue.

    :param host: Host name.
    :param prefix: Path prefix without a slash at its end.
    """

    host: str
    prefix: str


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Entry:
    """The namespace of an address.

    :param namespace: The namespace.
    :param queue: The last queue that was configured at the address.
    :param removed_at: When the queue was removed from the configuration, in
        seconds since 1970; 0 while it is configured.
    """

    namespace: str
    queue: queues.Queue
    removed_at: float = 0.0

    def needs_renewal(self, wall: float) -> bool:
        """Return whether the namespace may soon be given up.

        :param wall: Present time, seconds since 1970.
        """
        return self.removed_at > 0 and wall - self.removed_at > RENEW_AGE_S


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Directory:
    """The namespaces of all addresses.

    :param entries: The entries by address.
    """

    entries: Mapping[Address, Entry] = dataclasses.field(default_factory=dict)

    def find(self, queue: queues.Queue) -> Entry | None:
        """Return the entry of a queue's address.

        :param queue: The queue.
        """
        return self.entries.get(locate(queue))

    def list_namespaces(self, queue: queues.Queue) -> tuple[str, ...]:
        """Return the namespaces that may hold jobs of a queue's address.

        The first one takes new jobs.  Managers of earlier releases store jobs
        under the queue's present name.

        :param queue: The queue.
        :return: The namespaces; none if the address has no entry.
        """
        entry = self.find(queue)
        if entry is None:
            return ()
        if queue.name == entry.namespace or self.is_taken(queue.name):
            return (entry.namespace,)
        return entry.namespace, queue.name

    def is_taken(self, namespace: str) -> bool:
        """Return whether an address has a namespace.

        :param namespace: The namespace.
        """
        return any(
            entry.namespace == namespace for entry in self.entries.values()
        )


EMPTY = Directory()


class _Row(msgspec.Struct, array_like=True, omit_defaults=True):
    namespace: str
    host: str
    prefix: str
    name: str
    pool: str
    priority: codec.Integer
    attempts: codec.Integer
    stretch: float
    allowance: float
    # Seconds of a decision, of each worker in it, and of its validity.
    admission: tuple[float, float, float] | None = None
    needs_key: bool = False
    removed_at: float = 0.0


class _Record(msgspec.Struct):
    queues: list[_Row]


def locate(queue: queues.Queue) -> Address:
    """Return the address of a queue.

    :param queue: The queue.
    """
    return Address(host=queue.host, prefix=queue.prefix.rstrip("/"))


def extend(
    directory: Directory, configured: Iterable[queues.Queue]
) -> Directory:
    """Return a directory that has an entry for each queue.

    An entry whose queue was removed is renewed.

    :param directory: The directory.
    :param configured: The queues.
    :return: The directory itself if nothing is to be changed.
    """
    entries = dict(directory.entries)
    taken = {entry.namespace for entry in entries.values()}
    # Of two prefixes that differ in their last slash the longer one is used.
    for queue in sorted(configured, key=lambda one: -len(one.prefix)):
        address = locate(queue)
        if address in entries:
            entry = entries[address]
            entries[address] = dataclasses.replace(entry, removed_at=0.0)
            continue
        namespace = _choose_namespace(queue, taken)
        taken.add(namespace)
        entries[address] = Entry(namespace=namespace, queue=queue)
    if entries == directory.entries:
        return directory
    return Directory(entries=entries)


def update(
    directory: Directory,
    configuration: queues.Configuration,
    held: Collection[str],
    wall: float,
) -> Directory:
    """Return a directory that has the settings of a configuration.

    :param directory: The directory.
    :param configuration: The configuration in force.
    :param held: Namespaces with jobs that are open or can be asked for.
    :param wall: Present time, seconds since 1970.
    """
    current = _index(configuration)
    extended = extend(directory, configuration.queues)
    entries: dict[Address, Entry] = {}
    for address, entry in extended.entries.items():
        queue = current.get(address)
        entries[address] = Entry(
            namespace=entry.namespace,
            queue=queue or entry.queue,
            removed_at=0.0 if queue else entry.removed_at or wall,
        )
    kept = Directory(entries=_drop_unused(entries, held, wall))
    return directory if kept == directory else kept


def list_queues(
    directory: Directory, configuration: queues.Configuration
) -> dict[str, queues.Queue]:
    """Return the queue by which the jobs of each namespace run.

    Jobs run by the queue that is configured at their address, and without one
    by the last that was.

    :param directory: The directory.
    :param configuration: The configuration in force.
    :return: Queues by namespace.
    """
    found = {queue.name: queue for queue in configuration.queues}
    current = _index(configuration)
    for address, entry in directory.entries.items():
        found[entry.namespace] = current.get(address, entry.queue)
    return found


def encode(directory: Directory) -> bytes:
    """Encode a directory.

    :param directory: The directory.
    """
    return msgspec.json.encode(
        _Record(
            queues=[
                _encode_row(address, entry)
                for address, entry in directory.entries.items()
            ]
        )
    )


def decode(payload: bytes) -> Directory:
    """Decode a directory.

    :param payload: The record.
    :raises DocumentInvalidError: The record does not decode, or two addresses
        share a namespace.
    """
    record = codec.decode_as(payload, _Record)
    entries: dict[Address, Entry] = {}
    for row in record.queues:
        address = Address(host=row.host, prefix=row.prefix.rstrip("/"))
        entries[address] = Entry(
            namespace=row.namespace,
            queue=_decode_queue(row),
            removed_at=row.removed_at,
        )
    names = {entry.namespace for entry in entries.values()}
    if len(names) < len(record.queues):
        raise errors.DocumentInvalidError(
            "two queues have the same address or namespace"
        )
    return Directory(entries=entries)


def _choose_namespace(queue: queues.Queue, taken: Collection[str]) -> str:
    """Return a queue's name, or one that no other address has."""
    name = queue.name
    size = len(name.encode("utf-8", "replace"))
    is_usable = "/" not in name and 0 < size <= MAX_NAMESPACE_BYTES
    if is_usable and name not in taken:
        return name
    address = locate(queue)
    text = f"{address.host}\n{address.prefix}"
    found = hashlib.blake2b(
        text.encode("utf-8", "replace"), digest_size=_DIGEST_BYTES
    ).hexdigest()
    while found in taken:
        found = f"{found}~"
    return found


def _index(
    configuration: queues.Configuration,
) -> dict[Address, queues.Queue]:
    """Return the configured queues by address."""
    by_length = sorted(configuration.queues, key=lambda one: len(one.prefix))
    return {locate(queue): queue for queue in by_length}


def _drop_unused(
    entries: dict[Address, Entry], held: Collection[str], wall: float
) -> dict[Address, Entry]:
    """Return the entries that are configured, recent or have jobs."""
    unused = [
        (entry.removed_at, address)
        for address, entry in entries.items()
        if entry.removed_at and entry.namespace not in held
    ]
    unused.sort(key=lambda row: -row[0])
    dropped = {
        address
        for number, (removed_at, address) in enumerate(unused)
        if number >= MAX_REMOVED or wall - removed_at > KEEP_REMOVED_S
    }
    return {
        address: entry
        for address, entry in entries.items()
        if address not in dropped
    }


def _encode_row(address: Address, entry: Entry) -> _Row:
    queue = entry.queue
    admission = queue.admission
    return _Row(
        namespace=entry.namespace,
        host=address.host,
        prefix=queue.prefix,
        name=queue.name,
        pool=queue.pool,
        priority=queue.priority,
        attempts=queue.attempts,
        stretch=queue.stretch,
        allowance=queue.allowance,
        admission=(
            None
            if admission is None
            else (
                admission.decide_time,
                admission.worker_time,
                admission.valid,
            )
        ),
        needs_key=queue.needs_key,
        removed_at=entry.removed_at,
    )


def _decode_queue(row: _Row) -> queues.Queue:
    admission = None
    if row.admission is not None:
        decide_time, worker_time, valid = row.admission
        admission = queues.AdmissionLimits(
            decide_time=decide_time, worker_time=worker_time, valid=valid
        )
    return queues.Queue(
        name=row.name,
        host=row.host,
        prefix=row.prefix,
        pool=row.pool,
        priority=row.priority,
        attempts=row.attempts,
        stretch=row.stretch,
        allowance=row.allowance,
        admission=admission,
        needs_key=row.needs_key,
    )
