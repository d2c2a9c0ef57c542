"""Agrees on the memory of the smallest VM, which any owner's jobs must fit in.

Each manager may become the owner of the scheduling.  So jobs are accepted only
up to what the smallest VM could hold.  That VM's memory is in the store; its
managers confirm it, and after a while without that it is replaced.
"""

from __future__ import annotations

import gevent
import msgspec

from rackvalve import clocks
from rackvalve import codec
from rackvalve import errors
from rackvalve.manager import timing
from rackvalve.platform import store as stores

MEMORY_KEY = "memory"
# Interval of reading the record, time after which a manager on a VM of that
# size confirms it, and time after which an unconfirmed one is replaced, in
# seconds.
INTERVAL_S = 60.0
CONFIRMATION_S = 60.0
EXPIRY_S = 300.0


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """The record in the store.

    :param memory: Memory of the smallest VM, in bytes.
    :param confirmed: When a manager on such a VM wrote it, in seconds since
        1970.
    """

    memory: codec.Integer
    confirmed: float


def is_replaced(record: Record | None, memory: int, wall: float) -> bool:
    """Return whether a manager writes the record anew.

    :param record: The present record; ``None`` for none.
    :param memory: Memory of the manager's VM, in bytes.
    :param wall: Present time, in seconds since 1970.
    """
    if record is None or memory < record.memory:
        return True
    age = wall - record.confirmed
    if memory == record.memory:
        return age > CONFIRMATION_S
    return age > EXPIRY_S


class SmallestMemory:
    """The memory of the smallest VM, as one manager knows it.

    :param store: The store.
    :param memory: Memory of this manager's VM, in bytes.
    """

    __slots__ = ("_store", "_memory", "_record")

    def __init__(self, store: stores.Store, memory: int) -> None:
        self._store = store
        self._memory = memory
        self._record: Record | None = None

    @property
    def memory(self) -> int:
        """Memory of the smallest known VM, in bytes."""
        if self._record is None:
            return self._memory
        return min(self._memory, self._record.memory)

    def run(self) -> None:
        """Keep the record and this view of it, until killed."""
        while True:
            if self.update(clocks.read_wall()):
                gevent.sleep(INTERVAL_S)
            else:
                gevent.sleep(timing.STORE_RETRY_DELAY_S)

    def update(self, wall: float) -> bool:
        """Read the record, and write it if this VM is smaller.

        :param wall: Present time, in seconds since 1970.
        :return: Whether that is done; if not, it is to be tried again.
        """
        found = self._store.read(MEMORY_KEY)
        if isinstance(found, stores.Unavailable):
            return False
        revision = 0
        record = None
        if isinstance(found, stores.Item):
            revision = found.revision
            record = _decode(found.payload)
        if not is_replaced(record, self._memory, wall):
            self._record = record
            return True
        record = Record(memory=self._memory, confirmed=wall)
        outcome = self._store.commit(
            [stores.Condition(key=MEMORY_KEY, revision=revision)],
            [stores.Put(key=MEMORY_KEY, payload=msgspec.json.encode(record))],
        )
        if not isinstance(outcome, stores.Committed):
            return False
        self._record = record
        return True


def _decode(payload: bytes) -> Record | None:
    """Decode the record; ``None`` for what another program has written."""
    try:
        return codec.decode_as(payload, Record)
    except errors.DocumentInvalidError:
        return None
