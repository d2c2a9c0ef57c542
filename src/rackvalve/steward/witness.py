"""Detects that this VM's entry process has ended without reporting it.

The entry process keeps its address bound until it exits, even while it is
frozen.  If the steward can bind the address, no process of the entry is
left, and its rights can be revoked without its acknowledgement.  An entry
that starts later fetches its documents from this steward, hence none older
than the revision in the steward's report.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from rackvalve.fleet import record
from rackvalve.steward import keeper as keepers

if TYPE_CHECKING:
    from collections.abc import Callable

    from rackvalve.settings import kinds


class Witness:
    """Checks whether the entry process of this VM has ended.

    :param vm: Identity of the VM.
    :param address: Address that the entry binds.
    :param keeper: State of the steward, with the entry's reports.
    :param forward_reports: Sends reports to the acting steward.
    :param silence_timeout: Time without a report after which the address is
        checked, in seconds.
    :param clock: Reads the steady clock, in seconds.
    """

    def __init__(
        self,
        *,
        vm: str,
        address: kinds.Address,
        keeper: keepers.Keeper,
        forward_reports: Callable[[list[record.Report]], None],
        silence_timeout: float,
        clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._address = address
        self._keeper = keeper
        self._forward_reports = forward_reports
        self._silence_timeout = silence_timeout
        self._clock = clock

    def check(self) -> None:
        """Report the entry as leaving if it is silent and its address free."""
        silent = self._clock() - self._keeper.reported_at
        if silent < self._silence_timeout or not self._keeper.trusted:
            return
        if not _is_free(self._address):
            return
        _, revision = self._keeper.get_hall()
        report = record.Report(
            vm=self._vm,
            incarnation="",
            address=str(self._address),
            hall_revision=revision,
            leaving=True,
            round=self._keeper.round,
        )
        self._keeper.post(keepers.ReportReceived(report))
        if not self._keeper.acting:
            self._forward_reports([report])


def _is_free(address: kinds.Address) -> bool:
    with socket.socket() as sock:
        # Lingering connections of an ended process do not bind the address.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((address.host, address.port))
            sock.listen(1)
        except OSError:
            return False
    return True
