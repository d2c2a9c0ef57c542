"""HTTP statuses of the store's answers."""

from __future__ import annotations

OK = 200
MISSING = 404
GONE = 410
CONFLICT = 412
BUSY = frozenset({429, 503})
# The store refuses what the call contains, and has done nothing.
INVALID = frozenset({400, 413})
# Statuses of usable answers about one key or lease, which may be missing.  A
# range without keys is empty and not missing.
FOUND = frozenset({OK, MISSING})
