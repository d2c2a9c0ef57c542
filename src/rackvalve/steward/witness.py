"""Proves the end of this VM's entry process when it reports no more.

The entry holds its address as long as it lives, a frozen one included.
That the steward can take the address proves that no process of the entry
is left, so that its rights are revoked without its acknowledgement.  An
entry that starts later gets its documents from this steward, hence none
older than those that the steward vouched for.
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
    """Looks whether the entry of this VM is gone.

    :param vm: Identity of the VM.
    :param address: Address that the entry holds.
    :param keeper: Has the entry's reports.
    :param pass_on: Passes reports on to the acting steward.
    :param patience: Silence after which to look, in seconds.
    :param clock: Reads the steady clock, in seconds.
    """

    def __init__(
        self,
        *,
        vm: str,
        address: kinds.Address,
        keeper: keepers.Keeper,
        pass_on: Callable[[list[record.Report]], None],
        patience: float,
        clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._address = address
        self._keeper = keeper
        self._pass_on = pass_on
        self._patience = patience
        self._clock = clock

    def look(self) -> None:
        """Report the entry as gone if it is silent and its address free."""
        silent = self._clock() - self._keeper.reported_at
        if silent < self._patience or not self._keeper.trusted:
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
            self._pass_on([report])


def _is_free(address: kinds.Address) -> bool:
    with socket.socket() as sock:
        # Connections that linger after a process do not hold the address.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((address.host, address.port))
            sock.listen(1)
        except OSError:
            return False
    return True
