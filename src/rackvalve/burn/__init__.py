"""Service-level burn: what entries count, objectives, and the report."""
