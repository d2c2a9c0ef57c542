"""The durable job: what callers hand in, and how far it is."""
