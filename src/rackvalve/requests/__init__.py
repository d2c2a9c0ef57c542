"""Request headers, queueing, scheduling and idempotency keys."""
