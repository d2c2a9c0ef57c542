"""Service-level burn: request counts, objectives and the report."""
