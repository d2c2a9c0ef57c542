"""The exception tree.

Decisions return outcomes as values.  An exception stands for a broken
invariant, for settings that do not allow a start, or for a library's edge,
where it is turned into an outcome at once.
"""

from __future__ import annotations


class RackvalveError(Exception):
    """Base of all errors that this package raises."""


class InvariantBrokenError(RackvalveError):
    """A state that the code excludes was met; the process must stop."""


class SettingsInvalidError(RackvalveError):
    """The settings do not allow a start.

    :param faults: One line a fault, each naming file, section and key.
    """

    def __init__(self, faults: list[str]) -> None:
        self.faults = faults
        super().__init__("\n".join(faults))


class DocumentInvalidError(RackvalveError):
    """A document from the platform or a caller does not decode.

    :param reason: What is wrong, with the path of the field.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)
