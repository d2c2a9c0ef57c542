"""Requests: their fields, queueing, scheduling, and idempotency keys."""
