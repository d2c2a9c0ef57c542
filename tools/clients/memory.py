"""Watches the memory of processes, and ends one that takes too much.

Bytes that have arrived at a process and that it has not read yet count as its
memory, as they do on the users' VMs.
"""

from __future__ import annotations

import pathlib
import resource

import gevent

PAGE = resource.getpagesize()
INTERVAL_S = 0.05
# The unread bytes are summed in every so many rounds, since the table of
# connections is long.
UNREAD_EVERY = 10
MB = 1000 * 1000


class MemoryWatch:
    """Watches the managers of a site.

    :param managers: The managers.
    :param limit: Greatest memory of a process, in bytes.
    """

    def __init__(self, managers, limit):
        self._managers = managers
        self._limit = limit
        self._unread = {}
        self._greenlet = None
        # Greatest memory of each process, in bytes, by name of its VM.
        self.peaks = {manager["vm"]: 0 for manager in managers}
        # The part of it that was not read yet.
        self.unread = {manager["vm"]: 0 for manager in managers}
        # Processes that were ended for their memory, and their memory then.
        self.exceeded = {}

    def start(self):
        """Begin to watch, in a greenlet."""
        self._greenlet = gevent.spawn(self._watch_forever)

    def stop(self):
        """Stop watching."""
        self._greenlet.kill()

    def _watch_forever(self):
        rounds = 0
        while True:
            if rounds % UNREAD_EVERY == 0:
                self._unread = read_unread_bytes()
            rounds += 1
            for manager in self._managers:
                self._check(manager)
            gevent.sleep(INTERVAL_S)

    def _check(self, manager):
        process = manager["process"]
        if process.popen is None or process.popen.poll() is not None:
            return
        ports = (manager["front"], manager["ready"], manager["metrics"])
        unread = sum(self._unread.get(port, 0) for port in ports)
        used = read_resident_bytes(process.popen.pid) + unread
        vm = manager["vm"]
        if used > self.peaks[vm]:
            self.peaks[vm] = used
            self.unread[vm] = unread
        if used > self._limit and vm not in self.exceeded:
            self.exceeded[vm] = used
            process.kill()


def read_resident_bytes(pid):
    """Return the resident memory of a process, in bytes; 0 if it is gone."""
    try:
        text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return 0
    return int(text.split()[1]) * PAGE


def read_unread_bytes():
    """Return the bytes that wait to be read, by local port."""
    unread = {}
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()
    for line in lines[1:]:
        words = line.split()
        waiting = int(words[4].partition(":")[2], 16)
        # In the row of a listener the number is its queue of connections.
        if waiting and words[3] != "0A":
            port = int(words[1].partition(":")[2], 16)
            unread[port] = unread.get(port, 0) + waiting
    return unread
