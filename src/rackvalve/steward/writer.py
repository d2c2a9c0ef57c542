"""Writer of documents by compare-and-swap, with detection of own writes.

A write whose answer was lost is read back: the operation identifier in the
value shows whether it took effect.  It is never repeated without that check.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
import uuid

import gevent

from rackvalve import codec
from rackvalve.configuration import document
from rackvalve import errors
from rackvalve.fleet import record
from rackvalve.keyvalue import port
from rackvalve.rpc import documents as document_module
from rackvalve.steward import keeper as keepers

if TYPE_CHECKING:
    from collections.abc import Callable

READ_ATTEMPTS = 5
READ_RETRY_DELAY_S = 0.2


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Accepted:
    """The write took effect.

    :param revision: Revision of the write.
    :param payload: The value written.
    """

    revision: int
    payload: bytes


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Superseded:
    """Another write came first; this one has no effect.

    :param revision: The current revision.
    """

    revision: int


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Unfinished:
    """The platform's call failed.

    :param reason: Description of the failure.
    :param applied: Whether the write may have taken effect.
    """

    reason: str
    applied: bool


Result = Accepted | Superseded | Unfinished


class Writer:
    """Writes to the platform and posts accepted documents to the steward.

    :param platform: The port to the platform.
    :param keeper: Receives the accepted documents.
    """

    def __init__(
        self, platform: port.Platform, keeper: keepers.Keeper
    ) -> None:
        self._platform = platform
        self._keeper = keeper

    def write_configuration(
        self, configuration: document.Configuration, expected: int
    ) -> Result:
        """Write the configuration if its revision is as expected.

        :param configuration: The configuration.
        :param expected: Revision that it must have.
        """
        return self._write(
            document.KEY,
            configuration,
            expected,
            lambda payload: document.decode(payload).operation,
        )

    def write_hall(
        self, name: str, hall: record.Hall, expected: int
    ) -> Result:
        """Write a hall's record if its revision is as expected.

        :param name: Name of the hall.
        :param hall: The record.
        :param expected: Revision that it must have.
        """
        return self._write(
            record.get_key(name),
            hall,
            expected,
            lambda payload: record.decode(payload).operation,
        )

    def _write(
        self,
        key: str,
        value: document.Configuration | record.Hall,
        expected: int,
        read_operation: Callable[[bytes], str],
    ) -> Result:
        operation = str(uuid.uuid4())
        payload = codec.encode(dataclasses.replace(value, operation=operation))
        result = self._compare_and_swap(key, payload, expected)
        if result is None:
            result = self._read_back(key, operation, read_operation)
        if isinstance(result, Accepted):
            offered = document_module.Document(
                name=key, revision=result.revision, payload=result.payload
            )
            self._keeper.post(keepers.DocumentOffered(offered))
        return result

    def _compare_and_swap(
        self, key: str, payload: bytes, expected: int
    ) -> Result | None:
        """Write once; ``None`` if the outcome has to be read back."""
        outcome = self._platform.write(key, payload, expected)
        if isinstance(outcome, port.Written):
            return Accepted(revision=outcome.revision, payload=payload)
        if isinstance(outcome, port.Failed) and not outcome.applied:
            return Unfinished(reason=outcome.reason, applied=False)
        return None

    def _read_back(
        self, key: str, operation: str, read_operation: Callable[[bytes], str]
    ) -> Result:
        reason = ""
        for _ in range(READ_ATTEMPTS):
            value = self._platform.read(key)
            if isinstance(value, port.Failed):
                reason = value.reason
                gevent.sleep(READ_RETRY_DELAY_S)
                continue
            if _matches(value, operation, read_operation):
                return Accepted(revision=value.revision, payload=value.payload)
            # A write that was overwritten cannot be told from one that never
            # took effect; its expected revision is outdated in both cases.
            return Superseded(revision=value.revision)
        return Unfinished(reason=reason, applied=True)


def _matches(
    value: port.Value, operation: str, read_operation: Callable[[bytes], str]
) -> bool:
    try:
        return read_operation(value.payload) == operation
    except errors.DocumentInvalidError:
        return False
