"""Stand-in for the platform's store: items, commits, leases, watches.

Faults on request (``POST /-/fault``): ``busy`` answers 503 without effect,
``silent`` never answers, ``slow`` answers late, ``lost`` executes the call and
drops the answer, ``closing`` closes the connection with each answer,
``stuttering`` answers twice, ``forget`` drops the history at once.
``refuse`` names a part of the keys whose values ``above`` a size are refused.
``rejected`` maps callers' IP addresses to ``503``, ``429``, ``reset`` or
``hang``: only these callers are not served, and their leases are revoked.
"""

from __future__ import annotations

import base64
import time
import urllib.parse

import gevent
from gevent import event

from standins import serving

MAX_HISTORY = 10000
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
MAX_ENTRIES = 32
KEY_BYTES = 200
VALUE_BYTES = 1_048_576
SLOW_S = 0.2
SILENCE_S = 3600.0


class Store:
    """The store, as a WSGI application."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.forgotten = 0
        self.leases = {}
        self.next_lease = 1
        self.changed = event.Event()
        self.fault = ""
        # How callers are rejected, by address.
        self.rejected = {}
        # Address of the caller that opened each lease.
        self.lease_callers = {}
        self.calls = 0
        # Commits that were refused for the size of a key or value.
        self.refused = 0
        # Text in the keys whose values above a size are refused, in bytes;
        # empty for none.
        self.refused_keys = ""
        self.refused_above = 0
        gevent.spawn(self._expire_forever)

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/-/fault":
            return self._set_fault(environ, start_response)
        self.calls += 1
        caller = environ["REMOTE_ADDR"]
        if caller in self.rejected:
            return self._reject(environ, start_response, self.rejected[caller])
        if self.fault == "busy":
            return serving.answer_json(start_response, {}, "503 Busy")
        if self.fault == "silent":
            gevent.sleep(SILENCE_S)
        if self.fault == "slow":
            gevent.sleep(SLOW_S)
        status, body = self._answer(environ, path)
        # A watch may have begun before its caller was rejected.
        if caller in self.rejected:
            return self._reject(environ, start_response, self.rejected[caller])
        if self.fault == "lost":
            environ["standin.socket"].close()
            raise OSError("the answer is lost")
        return serving.answer_with_fault(
            environ, start_response, body, status, self.fault
        )

    def put(self, key, payload, lease=0):
        """Write a key without a condition; for the site."""
        self._commit([(key, payload, lease)], [])

    def remove(self, key):
        """Remove a key without a condition; for the site and for faults."""
        self._commit([], [key])

    def _reject(self, environ, start_response, how):
        """Reject a call in one of the ways of the fault ``rejected``."""
        if how == "hang":
            gevent.sleep(SILENCE_S)
        if how == "reset":
            environ["standin.socket"].close()
            raise OSError("the caller is rejected")
        return serving.answer_json(start_response, {}, f"{how} Rejected")

    def _set_fault(self, environ, start_response):
        order = serving.read_json(environ)
        if order.get("fault") == "forget":
            self.forgotten = self.revision
            self.history.clear()
        elif "rejected" in order:
            self.rejected = order["rejected"]
            for number, caller in list(self.lease_callers.items()):
                if caller in self.rejected and number in self.leases:
                    self._end_lease(number)
        elif "refuse" in order:
            self.refused_keys = order["refuse"]
            self.refused_above = order["above"]
        elif "revoke" in order:
            self.remove(order["revoke"])
        else:
            self.fault = order.get("fault", "")
        return serving.answer_json(
            start_response, {"calls": self.calls, "refused": self.refused}
        )

    def _answer(self, environ, path):
        query = {
            key: values[0]
            for key, values in urllib.parse.parse_qs(
                environ.get("QUERY_STRING", "")
            ).items()
        }
        method = environ["REQUEST_METHOD"]
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return "404 Missing", {}
            return "200 OK", {**item, "at": self.revision}
        if path == "/kv-range":
            return "200 OK", self._read_range(query)
        if path == "/kv-watch":
            return self._watch(query)
        if path == "/kv-txn":
            return self._transact(serving.read_json(environ))
        if path == "/kv-lease":
            self.lease_callers[self.next_lease] = environ["REMOTE_ADDR"]
            return self._open_lease(serving.read_json(environ))
        number = int(path.rpartition("/")[2])
        if number not in self.leases:
            return "404 Over", {}
        if method == "DELETE":
            self._end_lease(number)
            return "200 OK", {}
        ttl = self.leases[number][0]
        self.leases[number] = (ttl, time.monotonic() + ttl)
        return "200 OK", {"ttl_ms": int(ttl * 1000)}

    def _read_range(self, query):
        prefix = query["path-prefix"]
        after = query.get("after-rev", "")
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix) and key > after
        ]
        page, size = [], 0
        for item in found[:PAGE_ITEMS]:
            size += len(item["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(item)
        return {
            "items": page,
            "more": len(found) > len(page),
            "at": self.revision,
        }

    def _watch(self, query):
        after = int(query["after-rev"])
        until = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if after < self.forgotten:
                return "410 Gone", {}
            events = [
                change
                for change in self.history
                if change["rev"] > after
                and change["key"].startswith(query["path-prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return "200 OK", {"events": events, "at": self.revision}
            self.changed.wait(left)

    def _transact(self, order):
        conditions = order.get("expected-rev", [])
        puts = order.get("put", [])
        removals = order.get("remove", [])
        if len(conditions) + len(puts) + len(removals) > MAX_ENTRIES:
            return "400 Too many entries", {}
        if any(self._refuses(put) for put in puts):
            self.refused += 1
            return "400 Too large", {}
        for condition in conditions:
            item = self.items.get(condition["key"])
            if (item["rev"] if item else 0) != condition["rev"]:
                present = [
                    self.items[row["key"]]
                    for row in conditions
                    if row["key"] in self.items
                ]
                return "412 Conflict", {"items": present}
        for put in puts:
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return "404 No such lease", {}
        self._commit(
            [
                (
                    put["key"],
                    base64.b64decode(put["value"]),
                    put.get("lease", 0),
                )
                for put in puts
            ],
            removals,
        )
        return "200 OK", {"rev": self.revision}

    def _refuses(self, put):
        """Return whether a write is refused for its content."""
        size = len(base64.b64decode(put["value"]))
        if self.refused_keys and self.refused_keys in put["key"]:
            return size > self.refused_above
        return len(put["key"].encode()) > KEY_BYTES or size > VALUE_BYTES

    def _commit(self, puts, removals):
        self.revision += 1
        for key, payload, lease in puts:
            known = self.items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(payload).decode(),
                "rev": self.revision,
                "made": known["made"] if known else self.revision,
                "lease": lease,
            }
            self.items[key] = item
            self.history.append(item)
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.history.append(
                    {"key": key, "rev": self.revision, "gone": True}
                )
        del self.history[:-MAX_HISTORY]
        previous, self.changed = self.changed, event.Event()
        previous.set()

    def _open_lease(self, order):
        ttl = order["ttl_ms"] / 1000
        number = self.next_lease
        self.next_lease += 1
        self.leases[number] = (ttl, time.monotonic() + ttl)
        return "200 OK", {"lease": number, "ttl_ms": order["ttl_ms"]}

    def _end_lease(self, number):
        del self.leases[number]
        self.lease_callers.pop(number, None)
        keys = [
            key for key, item in self.items.items() if item["lease"] == number
        ]
        if keys:
            self._commit([], keys)

    def _expire_forever(self):
        while True:
            gevent.sleep(0.05)
            now = time.monotonic()
            for number, (_, until) in list(self.leases.items()):
                if now >= until and not self.fault:
                    self._end_lease(number)
